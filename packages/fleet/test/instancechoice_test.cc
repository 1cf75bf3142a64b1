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

} // namespace
