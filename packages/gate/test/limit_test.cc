#include <gtest/gtest.h>

extern "C" {
#include "base/invariant.h"
#include "gate/limit.h"
}

namespace {

const int64_t MS = 1000;

class LimitTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        invariant_reset();
        struct limit_config config = {};
        config.slots = 20;
        config.connections = 130;
        config.cold_limit = 2;
        limit = limit_create(&config, now_us);
    }

    void TearDown() override
    {
        limit_destroy(limit);
    }

    /** Runs requests in sequence until the target is warm. */
    void Warm(int64_t latency_us)
    {
        for (int i = 0; i < 400; i++) {
            ASSERT_TRUE(limit_start(limit, now_us));
            now_us += latency_us;
            limit_finish(limit, now_us, latency_us, LIMIT_SAMPLE_ANSWERED);
        }
        ASSERT_EQ(LIMIT_WARM, limit_phase(limit));
    }

    /** Starts up to eight requests and answers none of them for a time. */
    void Stall(int64_t duration_us)
    {
        for (int i = 0; i < 8 && limit_has_capacity(limit, now_us); i++) {
            limit_start(limit, now_us);
        }
        const int64_t end_us = now_us + duration_us;
        while (now_us < end_us) {
            now_us += MS;
            limit_tick(limit, now_us);
        }
    }

    struct limit *limit = nullptr;
    int64_t now_us = 1000000;
};

TEST_F(LimitTest, SchedulerPauseDoesNotDegradeFastTarget)
{
    Warm(200);
    Stall(6 * MS);
    EXPECT_EQ(LIMIT_WARM, limit_phase(limit));
    while (limit_in_flight(limit) > 0) {
        limit_finish(limit, now_us, 6 * MS, LIMIT_SAMPLE_ANSWERED);
    }
    EXPECT_EQ(LIMIT_WARM, limit_phase(limit));
    EXPECT_GE(limit_current(limit, now_us), 2U);
}

TEST_F(LimitTest, StalledTargetIsDegraded)
{
    Warm(200);
    Stall(100 * MS);
    EXPECT_EQ(LIMIT_DEGRADED, limit_phase(limit));
    EXPECT_LE(limit_current(limit, now_us), 2U);
}

TEST_F(LimitTest, RepeatedShedAnswersMeanCold)
{
    Warm(5 * MS);
    for (int i = 0; i < 8; i++) {
        ASSERT_TRUE(limit_start(limit, now_us));
        limit_finish(limit, now_us, MS, LIMIT_SAMPLE_SHED);
    }
    EXPECT_EQ(LIMIT_COLD, limit_phase(limit));
}

} // namespace
