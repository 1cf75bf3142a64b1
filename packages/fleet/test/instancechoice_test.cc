/* Where requests without a key go, under the loads that the choice answers. */
#include <gtest/gtest.h>

extern "C" {
#include "fleet/choicemodel.h"
}

namespace {

struct Choice : testing::Test {
    struct choicemodel_options options;
    struct choicemodel_result result;

    Choice()
    {
        choicemodel_init(&options, 0.4);
    }
};

TEST_F(Choice, EvenLoadStaysInItsZone)
{
    choicemodel_run(&options, &result);
    EXPECT_GT(result.in_zone, 0.95);
    EXPECT_GT(result.in_objective, 0.97);
}

/* One zone has more requests than slots; together the zones have enough. */
TEST_F(Choice, HotZoneUsesOtherZones)
{
    options.requests_per_s[0] *= 3;
    choicemodel_run(&options, &result);
    EXPECT_GT(result.in_objective, 0.95);
    EXPECT_GT(result.in_zone, 0.6);
}

TEST_F(Choice, ZoneThatLostMostTargetsUsesOtherZones)
{
    options.slowness[0][0] = 0;
    options.slowness[0][1] = 0;
    choicemodel_run(&options, &result);
    EXPECT_GT(result.in_objective, 0.95);
    EXPECT_GT(result.in_zone, 0.6);
}

TEST_F(Choice, StragglerInTheOwnZoneIsAvoided)
{
    options.slowness[0][0] = 5;
    choicemodel_run(&options, &result);
    EXPECT_GT(result.in_objective, 0.95);
    EXPECT_GT(result.in_zone, 0.8);
}

/* 200 entries with reports of up to seconds sent requests to targets that had
 * once reported a short queue, and out of the zone for it. */
TEST_F(Choice, OldReportsOfALargeFleetKeepLoadEven)
{
    choicemodel_init_fleet(&options, 0.8, 50, 3, 1);
    choicemodel_run(&options, &result);
    EXPECT_GT(result.in_objective, 0.96);
    EXPECT_LT(result.wait_mean_ms, 31);
    EXPECT_GT(result.in_zone, 0.97);
}

/* Guards small fleets, which behaved so before loads were weighed by age. */
TEST_F(Choice, SmallFleetStaysInItsZone)
{
    choicemodel_init_fleet(&options, 0.2, 3, 9, 1);
    choicemodel_run(&options, &result);
    EXPECT_GT(result.in_objective, 0.99);
    EXPECT_GT(result.in_zone, 0.999);
}

} // namespace
