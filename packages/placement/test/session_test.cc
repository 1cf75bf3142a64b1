#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

extern "C" {
#include "base/invariant.h"
#define LOG_MODULE "test"
#include "base/log.h"
#include "base/runtime.h"
#include "placement/model.h"
#include "placement/modelruns.h"
}

namespace {

/* Runs a small model and compares its whole session with a golden file. */
class Session : public testing::Test {
  protected:
    void SetUp() override
    {
        log_init(stderr, LOG_LEVEL_OFF);
        invariant_reset();
        stream = open_memstream(&text, &size);
        options = model_defaults();
        options.members = 3;
        options.shards = 6;
        options.trace = stream;
    }

    void TearDown() override
    {
        model_destroy(model);
        fclose(stream);
        free(text);
        EXPECT_EQ(invariant_violations(INVARIANT_ONE_OWNER), 0);
        EXPECT_EQ(invariant_violations(INVARIANT_EPOCH_RISES), 0);
    }

    void Start(unsigned members)
    {
        model = model_create(&options);
        for (uint32_t i = 0; i < options.shards; i++) {
            model_set_load(model, i, 5);
        }
        for (unsigned i = 0; i < members; i++) {
            model_start(model, i);
        }
    }

    void Golden(const std::string &name)
    {
        std::string path = std::string(SOURCE_DIR) +
                           "/packages/placement/test/golden/" + name + ".txt";

        EXPECT_TRUE(model_is_whole(model));
        EXPECT_EQ(model_result(model).violations, 0)
            << model_result(model).first_violation;
        fflush(stream);
        std::string session(text, size);
        if (getenv("CHESTNUTGAP_UPDATE_GOLDEN") != nullptr) {
            std::ofstream(path) << session;
        }
        std::ifstream file(path);
        std::stringstream expected;
        expected << file.rdbuf();
        EXPECT_EQ(session, expected.str());
    }

    char *text = nullptr;
    size_t size = 0;
    FILE *stream = nullptr;
    struct model_options options;
    struct model *model = nullptr;
};

TEST_F(Session, FirstStartClaimsOnceAndJoinTakesItsShare)
{
    Start(2);
    model_run(model, 6 * US_PER_SECOND);
    EXPECT_EQ(model_served_by(model, 0), 3u);
    EXPECT_EQ(model_served_by(model, 1), 3u);
    model_start(model, 2);
    model_run(model, 20 * US_PER_SECOND);
    for (unsigned i = 0; i < 3; i++) {
        EXPECT_EQ(model_served_by(model, i), 2u);
    }
    EXPECT_EQ(model_shards_moved(model), 2);
    Golden("join");
}

TEST_F(Session, ZoneOutAndBack)
{
    Start(3);
    model_run(model, 6 * US_PER_SECOND);
    model_set_zone_out(model, 0, true);
    model_run(model, 2 * US_PER_SECOND);
    EXPECT_EQ(model_served_by(model, 0), 0u);
    model_set_zone_out(model, 0, false);
    model_run(model, 20 * US_PER_SECOND);
    EXPECT_EQ(model_served_by(model, 0), 2u);
    Golden("zone");
}

TEST_F(Session, LeavingMemberGivesAllAway)
{
    Start(3);
    model_run(model, 6 * US_PER_SECOND);
    model_leave(model, 1);
    model_run(model, 2 * US_PER_SECOND);
    EXPECT_EQ(model_served_by(model, 1), 0u);
    Golden("leave");
}

TEST_F(Session, MoveAfterAConflict)
{
    Start(3);
    model_run(model, 6 * US_PER_SECOND);
    model_conflict_next(model);
    model_leave(model, 1);
    model_run(model, 2 * US_PER_SECOND);
    EXPECT_EQ(model_result(model).conflicts, 1);
    Golden("conflict");
}

TEST_F(Session, MoveWhoseAnswerIsLost)
{
    Start(3);
    model_run(model, 6 * US_PER_SECOND);
    model_lose_next_answer(model);
    model_leave(model, 1);
    model_run(model, 5 * US_PER_SECOND);
    EXPECT_EQ(model_result(model).unknown, 1);
    Golden("lost_answer");
}

TEST_F(Session, CrashedOwnerIsReplacedAndReturns)
{
    Start(3);
    model_run(model, 12 * US_PER_SECOND);
    model_crash(model, 2);
    model_run(model, 2 * US_PER_SECOND);
    EXPECT_TRUE(model_is_whole(model));
    model_start(model, 2);
    model_run(model, 20 * US_PER_SECOND);
    EXPECT_EQ(model_served_by(model, 2), 2u);
    Golden("crash");
}

TEST_F(Session, RestartOfAllMovesNothing)
{
    Start(3);
    model_run(model, 12 * US_PER_SECOND);
    model_set_store_down(model, true);
    for (unsigned i = 0; i < 3; i++) {
        model_crash(model, i);
    }
    model_run(model, 5 * US_PER_SECOND);
    for (unsigned i = 0; i < 3; i++) {
        model_start(model, i);
    }
    model_set_store_down(model, false);
    model_run(model, 10 * US_PER_SECOND);
    EXPECT_EQ(model_shards_moved(model), 0);
    for (unsigned i = 0; i < 3; i++) {
        EXPECT_EQ(model_served_by(model, i), 2u);
    }
    Golden("restart_of_all");
}

TEST_F(Session, StoreOutageStopsMovesButNotService)
{
    Start(3);
    model_run(model, 6 * US_PER_SECOND);
    model_set_store_down(model, true);
    model_set_zone_out(model, 0, true);
    model_run(model, 10 * US_PER_SECOND);
    EXPECT_EQ(model_served_by(model, 0), 2u);
    model_set_store_down(model, false);
    model_run(model, 6 * US_PER_SECOND);
    EXPECT_EQ(model_served_by(model, 0), 0u);
    EXPECT_TRUE(model_is_whole(model));
}

TEST(Soak, FixedSeedsKeepAllPromises)
{
    log_init(stderr, LOG_LEVEL_ERROR);
    for (uint64_t seed = 1; seed <= 80; seed++) {
        struct model_result result = model_random_run(seed, nullptr);
        ASSERT_EQ(result.violations, 0)
            << "seed " << seed << ": " << result.first_violation;
    }
}

} // namespace
