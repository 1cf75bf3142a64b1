#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "fleet/firstplan.h"
#include "fleet/keyshed.h"
}

namespace {

struct keymap_holder
Holder(const std::string &name)
{
    struct keymap_holder holder = {};
    snprintf(holder.instance, sizeof(holder.instance), "%s", name.c_str());
    return holder;
}

struct Shed : testing::Test {
    struct keymap map;
    struct keyload_curve *curve = keyload_curve_create();
    std::vector<struct keymap_holder> targets;
    const struct keymap_holder own = Holder("own");

    Shed()
    {
        keymap_init(&map);
        keymap_assign(&map, 0, 65535, &own, nullptr);
    }

    ~Shed() override
    {
        keymap_clear(&map);
        keyload_curve_destroy(curve);
    }

    void AddTargets(int count)
    {
        for (int i = 0; i < count; i++) {
            targets.push_back(Holder("t" + std::to_string(i)));
        }
    }

    std::vector<struct keyplan_move> Compute()
    {
        const struct keyshed_input input = {&map, &own, targets.data(),
                                            targets.size(), curve};
        std::vector<struct keyplan_move> moves(KEYPLAN_MOVES_MAX);
        moves.resize(keyshed_compute(&input, moves.data()));
        return moves;
    }

    void Apply(const std::vector<struct keyplan_move> &moves)
    {
        for (const struct keyplan_move &move : moves) {
            EXPECT_STREQ("own",
                         keymap_find(&map, move.first)->holder.instance);
            EXPECT_LE(move.last, keymap_find(&map, move.first)->last);
            keymap_assign(&map, move.first, move.last, &move.to, nullptr);
        }
    }
};

/* Guards against an owner of everything that gives nothing away. */
TEST_F(Shed, OwnerOfAllKeysGivesEachOtherTargetItsShare)
{
    AddTargets(32);
    const auto moves = Compute();
    EXPECT_EQ(32U, moves.size());
    Apply(moves);
    for (const struct keymap_holder &target : targets) {
        EXPECT_NEAR(1.0 / 33, keymap_share(&map, target.instance), 0.001);
    }
    EXPECT_NEAR(1.0 / 33, keymap_share(&map, "own"), 0.001);
    EXPECT_TRUE(Compute().empty());
}

/* Guards against an excess that stays where the moves of one round are not
 * enough. */
TEST_F(Shed, MoreTargetsThanMovesOfARoundGetKeysInTheNext)
{
    AddTargets(195);
    size_t rounds = 0;
    while (true) {
        const auto moves = Compute();
        if (moves.empty()) {
            break;
        }
        Apply(moves);
        rounds++;
    }
    EXPECT_LE(rounds, 4U);
    for (const struct keymap_holder &target : targets) {
        EXPECT_NEAR(1.0 / 196, keymap_share(&map, target.instance), 0.002);
    }
}

/* Guards against shares of keys where a few of them have the load. */
TEST_F(Shed, MovesHaveEqualLoads)
{
    const struct keyload_step hot[] = {
        {0, 100 * KEYLOAD_UNITS_PER_REQUEST},
        {100, 0},
        {40000, 300 * KEYLOAD_UNITS_PER_REQUEST},
        {50000, 0}};
    keyload_curve_add(curve, hot, 4);
    AddTargets(9);
    const double total = keyload_curve_load(curve, 0, 65535);
    Apply(Compute());
    for (const struct keymap_holder &target : targets) {
        double load = 0;
        for (size_t i = 0; i < map.count; i++) {
            const struct keymap_segment &segment = map.segments[i];
            if (keymap_holder_equal(&segment.holder, &target)) {
                load += keyload_curve_load(curve, segment.first, segment.last);
            }
        }
        EXPECT_NEAR(0.1, load / total, 0.005);
    }
}

/* Guards against moves between owners that all have keys, or where the excess
 * is small: those are the planner's. */
TEST_F(Shed, GivesNothingWithoutFarMoreThanItsShare)
{
    AddTargets(3);
    EXPECT_TRUE(Compute().empty());
    AddTargets(29);
    for (size_t i = 0; i < targets.size(); i++) {
        keymap_assign(&map, (uint32_t)i, (uint32_t)i, &targets[i], nullptr);
    }
    EXPECT_TRUE(Compute().empty());
}

/* Guards against a plan that takes nothing from an owner that answers late, or
 * that leaves other targets without keys in its place. */
TEST_F(Shed, PlanTakesKeysFromOwnerThatAnswersLate)
{
    const struct keyload_step even[] = {
        {0, 10000 * KEYLOAD_UNITS_PER_REQUEST}};
    keyload_curve_add(curve, even, 1);
    AddTargets(3);
    std::vector<struct keyplan_target> all = {
        {own, 1, false, false, false, true}};
    for (const struct keymap_holder &target : targets) {
        all.push_back({target, 1, true, false});
    }
    const struct keyplan_input input = {&map, all.data(), all.size(), curve,
                                        1.25};
    std::vector<struct keyplan_move> moves(KEYPLAN_MOVES_MAX);
    moves.resize(keyplan_compute(&input, moves.data()));
    Apply(moves);
    for (const struct keymap_holder &target : targets) {
        EXPECT_GT(keymap_share(&map, target.instance), 0.2);
    }
}

/* Guards against a first plan that knows only its own instance. */
TEST(FirstPlan, WaitsUntilNoInstanceAppears)
{
    struct firstplan plan;
    firstplan_init(&plan, 0);
    firstplan_observe(&plan, 1, 500 * US_PER_MS);
    EXPECT_FALSE(firstplan_is_due(&plan, 1740 * US_PER_MS));
    firstplan_observe(&plan, 33, 1900 * US_PER_MS);
    EXPECT_FALSE(firstplan_is_due(&plan, 3800 * US_PER_MS));
    /* One that goes away and comes back is not new. */
    firstplan_observe(&plan, 32, 3000 * US_PER_MS);
    firstplan_observe(&plan, 33, 3500 * US_PER_MS);
    EXPECT_TRUE(firstplan_is_due(&plan, 3900 * US_PER_MS));
}

/* Guards against keys that stay unowned while instances keep appearing. */
TEST(FirstPlan, WaitIsBounded)
{
    struct firstplan plan;
    firstplan_init(&plan, 0);
    for (int64_t now_us = 0; now_us < FIRSTPLAN_WAIT_MAX_US;
         now_us += US_PER_SECOND) {
        firstplan_observe(&plan, 1 + (size_t)(now_us / US_PER_SECOND), now_us);
        EXPECT_FALSE(firstplan_is_due(&plan, now_us));
    }
    EXPECT_TRUE(firstplan_is_due(&plan, FIRSTPLAN_WAIT_MAX_US));
}

} // namespace
