/* A request that waited on a link for longer than its caller did must not be
 * taken for a new one. */
#include <gtest/gtest.h>

extern "C" {
#include "base/timeunits.h"
#include "fleet/transittime.h"
}

namespace {

constexpr uint64_t kProcess = 0x1234567890abcdef;
constexpr int64_t kOffset = 7'777'777'777; /* between the two clocks */

struct TransitTime : testing::Test {
    struct transittime *times = transittime_create();

    ~TransitTime() override
    {
        transittime_destroy(times);
    }

    /** A message sent at that time, in transit for transit_us. */
    int64_t Receive(int64_t sent_us, int64_t transit_us,
                    uint64_t process = kProcess)
    {
        return transittime_record(times, process, sent_us - kOffset,
                                  sent_us + transit_us);
    }
};

TEST_F(TransitTime, WaitIsWhatAMessageTookLongerThanTheFastest)
{
    EXPECT_EQ(0, Receive(1000, 900));
    EXPECT_EQ(0, Receive(2000, 900));
    EXPECT_EQ(500 * US_PER_MS, Receive(3000, 900 + 500 * US_PER_MS));
    EXPECT_EQ(0, Receive(US_PER_SECOND, 900));
}

TEST_F(TransitTime, FirstMessageThatWaitedIsCorrectedByAFasterOne)
{
    EXPECT_EQ(0, Receive(0, 400 * US_PER_MS));
    EXPECT_EQ(0, Receive(US_PER_SECOND, 900));
    EXPECT_EQ(400 * US_PER_MS - 900,
              Receive(2 * US_PER_SECOND, 400 * US_PER_MS));
}

TEST_F(TransitTime, WaitThatGrowsOverSecondsIsSeenAllTheTime)
{
    Receive(0, 900);
    for (int64_t ms = 100; ms <= 10'000; ms += 100) {
        EXPECT_EQ(ms * US_PER_MS / 10 - 900,
                  Receive(ms * US_PER_MS, ms * US_PER_MS / 10));
    }
}

TEST_F(TransitTime, OtherProcessesHaveClocksOfTheirOwn)
{
    Receive(0, 900);
    EXPECT_EQ(0, transittime_record(times, kProcess + 1, 5, 1000));
    EXPECT_EQ(10, transittime_record(times, kProcess + 1, 1005, 2010));
    EXPECT_EQ(100, Receive(5000, 1000));
}

/* Clocks drift: an old minimum would look like a growing wait. */
TEST_F(TransitTime, DriftOfAClockIsFollowed)
{
    int64_t wait_us = 0;
    for (int64_t second = 0; second < 3600; second++) {
        const int64_t drift_us = second * 50; /* 50 ppm */
        wait_us = transittime_record(times, kProcess, second * US_PER_SECOND,
                                     second * US_PER_SECOND + drift_us + 900);
        ASSERT_LE(wait_us, 30 * 50);
    }
}

TEST_F(TransitTime, TimesFromOutsideDontOverflow)
{
    transittime_record(times, kProcess, INT64_MIN, INT64_MAX / 2);
    transittime_record(times, kProcess, INT64_MAX, INT64_MAX / 2 + 1);
    EXPECT_EQ(0, transittime_record(times, 0, 5, 10));
    EXPECT_EQ(0, transittime_record(times, 0, 5, 100));
}

} // namespace
