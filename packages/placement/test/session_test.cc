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
#include "placement/placemodel.h"
#include "placement/placemodelruns.h"
#include "placement/shardmap.h"
}

namespace {

/* Runs a small model and compares its trace with a golden file. */
class Session : public testing::Test {
  protected:
    void SetUp() override
    {
        log_init(stderr, LOG_LEVEL_OFF);
        invariant_reset();
        stream = open_memstream(&text, &size);
        options = placemodel_defaults();
        options.members = 3;
        options.shards = 6;
        options.trace = stream;
    }

    void TearDown() override
    {
        placemodel_destroy(model);
        fclose(stream);
        free(text);
        EXPECT_EQ(invariant_violations(INVARIANT_ONE_OWNER), 0);
        EXPECT_EQ(invariant_violations(INVARIANT_EPOCH_RISES), 0);
    }

    void Start(unsigned members)
    {
        model = placemodel_create(&options);
        for (uint32_t i = 0; i < options.shards; i++) {
            placemodel_set_load(model, i, 5);
        }
        for (unsigned i = 0; i < members; i++) {
            placemodel_start(model, i);
        }
    }

    void Golden(const std::string &name)
    {
        std::string path = std::string(SOURCE_DIR) +
                           "/packages/placement/test/golden/" + name + ".txt";

        EXPECT_TRUE(placemodel_all_served(model));
        EXPECT_EQ(placemodel_result(model).violations, 0)
            << placemodel_result(model).first_violation;
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
    struct placemodel_options options;
    struct placemodel *model = nullptr;
};

TEST_F(Session, ClaimsOnceAtFirstStartAndMovesOnlyTheFairShareToAJoiningMember)
{
    Start(2);
    placemodel_run(model, 6 * US_PER_SECOND);
    EXPECT_EQ(placemodel_served_by(model, 0), 3u);
    EXPECT_EQ(placemodel_served_by(model, 1), 3u);
    placemodel_start(model, 2);
    placemodel_run(model, 20 * US_PER_SECOND);
    for (unsigned i = 0; i < 3; i++) {
        EXPECT_EQ(placemodel_served_by(model, i), 2u);
    }
    EXPECT_EQ(placemodel_shards_moved(model), 2);
    Golden("join");
}

TEST_F(Session, ZoneOutMovesAllShardsAndZoneBackRebalances)
{
    Start(3);
    placemodel_run(model, 6 * US_PER_SECOND);
    placemodel_set_zone_out(model, 0, true);
    placemodel_run(model, 2 * US_PER_SECOND);
    EXPECT_EQ(placemodel_served_by(model, 0), 0u);
    placemodel_set_zone_out(model, 0, false);
    placemodel_run(model, 20 * US_PER_SECOND);
    EXPECT_EQ(placemodel_served_by(model, 0), 2u);
    Golden("zone");
}

TEST_F(Session, LeavingMemberMovesAllShardsAway)
{
    Start(3);
    placemodel_run(model, 6 * US_PER_SECOND);
    placemodel_leave(model, 1);
    placemodel_run(model, 2 * US_PER_SECOND);
    EXPECT_EQ(placemodel_served_by(model, 1), 0u);
    Golden("leave");
}

TEST_F(Session, MoveIsRetriedAfterAWriteConflict)
{
    Start(3);
    placemodel_run(model, 6 * US_PER_SECOND);
    placemodel_conflict_next_commit(model);
    placemodel_leave(model, 1);
    placemodel_run(model, 2 * US_PER_SECOND);
    EXPECT_EQ(placemodel_result(model).conflicts, 1);
    Golden("conflict");
}

TEST_F(Session, MoveCompletesAfterALostCommitAnswer)
{
    Start(3);
    placemodel_run(model, 6 * US_PER_SECOND);
    placemodel_lose_next_answer(model);
    placemodel_leave(model, 1);
    placemodel_run(model, 5 * US_PER_SECOND);
    EXPECT_EQ(placemodel_result(model).unknown, 1);
    Golden("lost_answer");
}

TEST_F(Session, ShardsOfACrashedOwnerAreReassignedAndRebalanced)
{
    Start(3);
    placemodel_run(model, 12 * US_PER_SECOND);
    placemodel_crash(model, 2);
    placemodel_run(model, 2 * US_PER_SECOND);
    EXPECT_TRUE(placemodel_all_served(model));
    placemodel_start(model, 2);
    placemodel_run(model, 20 * US_PER_SECOND);
    EXPECT_EQ(placemodel_served_by(model, 2), 2u);
    Golden("crash");
}

TEST_F(Session, RestartOfAllMembersMovesNoShards)
{
    Start(3);
    placemodel_run(model, 12 * US_PER_SECOND);
    placemodel_set_store_down(model, true);
    for (unsigned i = 0; i < 3; i++) {
        placemodel_crash(model, i);
    }
    placemodel_run(model, 5 * US_PER_SECOND);
    for (unsigned i = 0; i < 3; i++) {
        placemodel_start(model, i);
    }
    placemodel_set_store_down(model, false);
    placemodel_run(model, 10 * US_PER_SECOND);
    EXPECT_EQ(placemodel_shards_moved(model), 0);
    for (unsigned i = 0; i < 3; i++) {
        EXPECT_EQ(placemodel_served_by(model, i), 2u);
    }
    Golden("restart_of_all");
}

TEST_F(Session, StoreOutageStopsMovesButNotService)
{
    Start(3);
    placemodel_run(model, 6 * US_PER_SECOND);
    placemodel_set_store_down(model, true);
    placemodel_set_zone_out(model, 0, true);
    placemodel_run(model, 10 * US_PER_SECOND);
    EXPECT_EQ(placemodel_served_by(model, 0), 2u);
    placemodel_set_store_down(model, false);
    placemodel_run(model, 6 * US_PER_SECOND);
    EXPECT_EQ(placemodel_served_by(model, 0), 0u);
    EXPECT_TRUE(placemodel_all_served(model));
}

TEST_F(Session, HotKeyIsSplitOutAndMergedAfterCoolingDown)
{
    uint64_t hash = shardmap_hash("archebion", "hides", 5);
    uint32_t key = shardmap_key_shard(hash);

    Start(3);
    placemodel_run(model, 6 * US_PER_SECOND);
    placemodel_set_load(model, 0, 14);
    placemodel_set_hot_key(model, 0, hash, 9);
    placemodel_run(model, 2 * US_PER_SECOND);
    EXPECT_EQ(placemodel_result(model).splits, 1);
    placemodel_set_load(model, 0, 5);
    placemodel_set_hot_key(model, 0, 0, 0);
    placemodel_set_load(model, key, 9);
    placemodel_run(model, 10 * US_PER_SECOND);
    placemodel_set_load(model, key, 0);
    placemodel_run(model, 140 * US_PER_SECOND);
    EXPECT_EQ(placemodel_result(model).merges, 1);
    Golden("hot_key");
}

TEST(Soak, FixedSeedsViolateNoInvariant)
{
    log_init(stderr, LOG_LEVEL_ERROR);
    for (uint64_t seed = 1; seed <= 80; seed++) {
        struct placemodel_result result = placemodel_random_run(seed, nullptr);
        ASSERT_EQ(result.violations, 0)
            << "seed " << seed << ": " << result.first_violation;
    }
}

} // namespace
