#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/random.h"
#include "fleet/declared.h"
#include "fleet/keylease.h"
#include "fleet/keymap.h"
#include "fleet/keyplan.h"
#include "fleet/keyweight.h"
}

namespace {

struct keymap_holder
Holder(const std::string &name)
{
    struct keymap_holder holder = {};
    strncpy(holder.instance, name.c_str(), KEYMAP_NAME_MAX);
    return holder;
}

/** Checks that segments cover each key once, with fences below the next ones
 * of their pages. */
void
CheckComplete(const struct keymap &map)
{
    uint32_t first = 0;
    for (size_t i = 0; i < map.count; i++) {
        ASSERT_EQ(first, map.segments[i].first);
        ASSERT_LE(map.segments[i].first, map.segments[i].last);
        for (unsigned page = keymap_page_of(map.segments[i].first);
             page <= keymap_page_of(map.segments[i].last); page++) {
            ASSERT_LT(map.segments[i].fence, map.pages[page].next_fence);
        }
        first = map.segments[i].last + 1;
    }
    ASSERT_EQ(static_cast<uint32_t>(DECLARED_KEY_COUNT), first);
}

struct Keymap : testing::Test {
    struct keymap map;
    Keymap()
    {
        keymap_init(&map);
    }
    ~Keymap() override
    {
        keymap_clear(&map);
    }
};

TEST_F(Keymap, AssignmentHasHigherFenceThanAllEarlierOnesOfItsKeys)
{
    struct random_state random;
    std::vector<uint64_t> fences(DECLARED_KEY_COUNT, 0);
    random_seed(&random, 3);
    for (int round = 0; round < 500; round++) {
        const auto first =
            static_cast<uint32_t>(random_below(&random, DECLARED_KEY_COUNT));
        const uint32_t last =
            first + static_cast<uint32_t>(
                        random_below(&random, DECLARED_KEY_COUNT - first));
        const struct keymap_holder to = Holder(
            std::string(1, static_cast<char>('a' + random_below(&random, 5))));
        keymap_assign(&map, first, last, &to, "token");
        CheckComplete(map);
        for (uint32_t key = first; key <= last; key += 97) {
            const struct keymap_segment *segment = keymap_find(&map, key);
            ASSERT_TRUE(keymap_holder_equal(&to, &segment->holder));
            ASSERT_GT(segment->fence, fences[key]);
            fences[key] = segment->fence;
        }
    }
}

/** Copies all pages of a map by way of their rows. */
void
CopyByRows(const struct keymap &from, struct keymap *to)
{
    for (unsigned page = 0; page < KEYMAP_PAGES; page++) {
        char *text = keymap_print_page(&from, page);
        ASSERT_TRUE(keymap_parse_page(to, page, text, strlen(text), page + 9,
                                      nullptr));
        free(text);
    }
}

TEST_F(Keymap, PagesKeepSegmentsThatSpanThem)
{
    struct random_state random;
    struct keymap read;
    random_seed(&random, 5);
    keymap_init(&read);
    for (int round = 0; round < 200; round++) {
        const auto first =
            static_cast<uint32_t>(random_below(&random, DECLARED_KEY_COUNT));
        const uint32_t last =
            first + static_cast<uint32_t>(random_below(
                        &random,
                        std::min<uint32_t>(6000, DECLARED_KEY_COUNT - first)));
        const struct keymap_holder to = Holder(
            std::string(1, static_cast<char>('a' + random_below(&random, 5))));
        keymap_assign(&map, first, last, &to, "tok");
        CopyByRows(map, &read);
        CheckComplete(read);
        ASSERT_LE(read.count, map.count);
        for (unsigned page = 0; page < KEYMAP_PAGES; page++) {
            ASSERT_TRUE(keymap_page_equal(&map, &read, page)) << page;
            ASSERT_EQ(page + 9, read.pages[page].version);
            ASSERT_EQ(map.pages[page].next_fence, read.pages[page].next_fence);
        }
    }
    keymap_clear(&read);
}

/* A grant for each page would multiply the calls to targets. */
TEST_F(Keymap, RangeAssignedAsOneIsOneSegmentAfterReading)
{
    const struct keymap_holder a = Holder("a");
    struct keymap read;
    keymap_init(&read);
    keymap_assign(&map, 500, 30000, &a, "tok");
    CopyByRows(map, &read);
    EXPECT_EQ(3U, read.count);
    EXPECT_EQ(500U, keymap_find(&read, 9000)->first);
    EXPECT_EQ(30000U, keymap_find(&read, 9000)->last);
    keymap_clear(&read);
}

TEST_F(Keymap, ChangeIsSeenInItsPagesOnly)
{
    struct keymap before;
    const struct keymap_holder a = Holder("a");
    keymap_copy(&before, &map);
    keymap_assign(&map, 1023, 1024, &a, nullptr);
    for (unsigned page = 0; page < KEYMAP_PAGES; page++) {
        EXPECT_EQ(page > 1, keymap_page_equal(&before, &map, page)) << page;
    }
    keymap_clear(&before);
}

/* The owner learns late that its write took effect, and that the next owner
 * has moved part of the keys on. */
TEST_F(Keymap, HandoverDoesNotTakeKeysFromLaterOwners)
{
    const struct keymap_holder a = Holder("a");
    const struct keymap_holder b = Holder("b");
    const struct keymap_holder c = Holder("c");
    keymap_assign(&map, 0, 9999, &a, nullptr);
    const struct keymap_handover handover = {
        500, 3000, "a", keymap_find(&map, 500)->fence, &b, "tok"};
    EXPECT_TRUE(keymap_handover_pending(&map, &handover));
    keymap_assign(&map, 500, 1200, &c, nullptr);
    keymap_assign(&map, 2000, 2100, &a, nullptr);
    EXPECT_TRUE(keymap_apply_handover(&map, &handover));
    CheckComplete(map);
    EXPECT_STREQ("c", keymap_find(&map, 1200)->holder.instance);
    EXPECT_STREQ("b", keymap_find(&map, 1201)->holder.instance);
    EXPECT_STREQ("a", keymap_find(&map, 2050)->holder.instance);
    EXPECT_STREQ("b", keymap_find(&map, 3000)->holder.instance);
    EXPECT_STREQ("a", keymap_find(&map, 3001)->holder.instance);
    EXPECT_FALSE(keymap_handover_pending(&map, &handover));
    EXPECT_FALSE(keymap_apply_handover(&map, &handover));
}

TEST_F(Keymap, KeepsMapOnInvalidText)
{
    const struct keymap_holder a = Holder("a");
    keymap_assign(&map, 100, 200, &a, "tok");
    char *text = keymap_print_page(&map, 0);
    struct keymap read;
    keymap_init(&read);
    ASSERT_TRUE(keymap_parse_page(&read, 0, text, strlen(text), 9, nullptr));
    EXPECT_STREQ("tok", keymap_find(&read, 150)->token);
    struct random_state random;
    random_seed(&random, 11);
    const std::string good = text;
    for (int i = 0; i < 3000; i++) {
        std::string bad = good;
        for (int k = 0; k < 3; k++) {
            bad[random_below(&random, bad.size())] =
                static_cast<char>(random_below(&random, 256));
        }
        if (keymap_parse_page(&read, 0, bad.data(), bad.size(), 9, nullptr)) {
            CheckComplete(read);
        }
    }
    EXPECT_FALSE(keymap_parse_page(&read, 0, "{}", 2, 9, nullptr));
    EXPECT_FALSE(
        keymap_parse_page(&read, 1, good.data(), good.size(), 9, nullptr));
    CheckComplete(read);
    keymap_clear(&read);
    free(text);
}

struct Plan : Keymap {
    std::vector<struct keyplan_target> targets;
    struct keyload_curve *curve = keyload_curve_create();
    std::vector<struct keyload_step> steps;
    ~Plan() override
    {
        keyload_curve_destroy(curve);
    }

    void AddTarget(const std::string &name, bool can_receive = true,
                   bool must_release_all = false, double weight = 1)
    {
        targets.push_back(
            {Holder(name), weight, can_receive, must_release_all});
    }

    std::vector<struct keyplan_move> Compute(double tolerance)
    {
        const struct keyplan_input input = {&map, targets.data(),
                                            targets.size(), curve, tolerance};
        std::vector<struct keyplan_move> moves(KEYPLAN_MOVES_MAX);
        moves.resize(keyplan_compute(&input, moves.data()));
        for (const struct keyplan_move &move : moves) {
            keymap_assign(&map, move.first, move.last, &move.to, nullptr);
        }
        CheckComplete(map);
        return moves;
    }

    std::map<std::string, double> Loads()
    {
        std::map<std::string, double> loads;
        for (size_t i = 0; i < map.count; i++) {
            const struct keymap_segment &s = map.segments[i];
            loads[s.holder.instance] +=
                keyload_curve_load(curve, s.first, s.last);
        }
        return loads;
    }
};

TEST_F(Plan, SpreadsUnownedKeysByLoad)
{
    /* 200 adjacent keys have nearly half of the load. */
    constexpr uint32_t unit = KEYLOAD_UNITS_PER_REQUEST;
    const struct keyload_step hot[] = {
        {0, 500 * unit}, {30000, 400 * unit}, {30200, 500 * unit}};
    keyload_curve_add(curve, hot, 3);
    for (const char *name : {"a", "b", "c", "d"}) {
        AddTarget(name);
    }
    EXPECT_GE(Compute(0).size(), 4U);
    const auto loads = Loads();
    EXPECT_EQ(0U, loads.count(""));
    for (const auto &load : loads) {
        EXPECT_NEAR(load.second / unit, 1490.0 / 4, 60) << load.first;
    }
}

TEST_F(Plan, MovesAllKeysOfLeavingOwnerAndNoneOfUnknownOwner)
{
    const struct keymap_holder a = Holder("a");
    const struct keymap_holder unknown = Holder("gone");
    keymap_assign(&map, 0, 29999, &a, nullptr);
    keymap_assign(&map, 30000, 65535, &unknown, nullptr);
    AddTarget("a", false, true);
    AddTarget("b");
    const auto moves = Compute(0);
    ASSERT_FALSE(moves.empty());
    EXPECT_EQ(0.0, keymap_share(&map, "a"));
    EXPECT_NEAR(30000.0 / 65536, keymap_share(&map, "b"), 1e-9);
    EXPECT_NEAR(35536.0 / 65536, keymap_share(&map, "gone"), 1e-9);
}

/* Guards against keys that stay with a target with a rate limit, or that are
 * taken from it though it can serve them. */
TEST_F(Plan, LimitedTargetKeepsTheShareOfItsLimitAndGetsNoMore)
{
    const struct keyload_step even[] = {
        {0, 10000 * KEYLOAD_UNITS_PER_REQUEST}};
    keyload_curve_add(curve, even, 1);
    for (const char *name : {"a", "b", "c"}) {
        AddTarget(name);
    }
    Compute(0);
    targets[0].weight = 0.2;
    targets[0].can_receive = false;
    targets[0].limited = true;
    Compute(1.2);
    Compute(1.2);
    EXPECT_NEAR(0.2 / 2.2, keymap_share(&map, "a"), 0.03);
    const struct keymap_holder nobody = Holder("");
    keymap_assign(&map, 40000, 65535, &nobody, nullptr);
    const double before = keymap_share(&map, "a");
    for (const struct keyplan_move &move : Compute(0)) {
        EXPECT_STRNE("a", move.to.instance);
    }
    EXPECT_EQ(before, keymap_share(&map, "a"));
}

TEST(Keyweight, FollowsSpeedAndRateLimit)
{
    const std::vector<struct keyweight_target> known = {
        {100000, 0, 10, false, false, false},  /* 100 a second */
        {100000, 20, 10, false, false, true},  /* limited to 20 */
        {100000, 500, 10, false, false, true}, /* no slower for that */
        {0, 0, 10, false, false, false},       /* unknown */
        {100000, 0, 10, true, false, false},   /* cold */
        {100000, 20, 10, false, true, true},   /* leaving */
    };
    std::vector<struct keyplan_target> targets(known.size());
    keyweight_compute(known.data(), known.size(), targets.data());
    EXPECT_EQ(1.0, targets[0].weight);
    EXPECT_EQ(0.2, targets[1].weight);
    EXPECT_EQ(1.0, targets[2].weight);
    EXPECT_EQ(1.0, targets[3].weight);
    EXPECT_EQ(0.4, targets[4].weight);
    const std::vector<bool> can_receive = {true, false, false,
                                           true, false, false};
    for (size_t i = 0; i < known.size(); i++) {
        EXPECT_EQ(can_receive[i], targets[i].can_receive) << i;
        EXPECT_EQ(i == 1 || i == 2, targets[i].limited) << i;
        EXPECT_EQ(i == 5, targets[i].must_release_all) << i;
    }
    /* Where all are limited, they share the keys by their limits. */
    keyweight_compute(known.data() + 1, 2, targets.data());
    EXPECT_TRUE(targets[0].can_receive);
    EXPECT_FALSE(targets[0].limited);
    EXPECT_NEAR(0.2, targets[0].weight / targets[1].weight, 1e-9);
}

TEST_F(Plan, RebalancesWithOneMoveAndOnlyAboveTolerance)
{
    AddTarget("a");
    AddTarget("b");
    const struct keyload_step even[] = {{0, 1000}};
    keyload_curve_add(curve, even, 1);
    const struct keymap_holder a = Holder("a");
    const struct keymap_holder b = Holder("b");
    keymap_assign(&map, 0, 35000, &a, nullptr);
    keymap_assign(&map, 35001, 65535, &b, nullptr);
    EXPECT_TRUE(Compute(1.2).empty());
    keymap_assign(&map, 0, 49999, &a, nullptr);
    EXPECT_EQ(1U, Compute(1.2).size());
    EXPECT_NEAR(0.5, keymap_share(&map, "a"), 0.02);
}

/** Load pattern: one key asks for more than one target can do. */
struct HotKey : Plan {
    static constexpr uint32_t key = 20000;
    static constexpr uint32_t hot_load = 2600; /* of 10,000 in all */
    static constexpr uint32_t unit = KEYLOAD_UNITS_PER_REQUEST;

    HotKey()
    {
        for (int i = 0; i < 9; i++) {
            AddTarget(std::string(1, static_cast<char>('a' + i)));
        }
        const struct keyload_step even[] = {{0, 7400 * unit}};
        const struct keyload_step hot[] = {{key, hot_load * unit},
                                           {key + 1, 0}};
        keyload_curve_add(curve, even, 1);
        keyload_curve_add(curve, hot, 2);
        for (uint32_t i = 0; i < 9; i++) {
            const uint32_t last =
                i == 8 ? DECLARED_KEY_COUNT - 1 : (i + 1) * 7281 - 1;
            keymap_assign(&map, i * 7281, last, &targets[i].holder, nullptr);
        }
    }

    /** Load of a target's keys without the hot one. */
    double OtherLoad(const std::string &name)
    {
        double load = 0;
        for (size_t i = 0; i < map.count; i++) {
            const struct keymap_segment &segment = map.segments[i];
            if (name == segment.holder.instance) {
                load += keyload_curve_load(curve, segment.first, segment.last);
            }
        }
        const bool owner = name == keymap_find(&map, key)->holder.instance;
        load -= owner ? keyload_curve_load(curve, key, key) : 0;
        return load / unit;
    }
};

/* Guards against a hot key that stays with a target with a rate limit. */
TEST_F(HotKey, LeavesATargetWithARateLimit)
{
    Compute(1.2);
    const std::string owner = keymap_find(&map, key)->holder.instance;
    for (struct keyplan_target &target : targets) {
        if (owner == target.holder.instance) {
            target.weight = 0.1;
            target.can_receive = false;
            target.limited = true;
        }
    }
    Compute(1.2);
    EXPECT_STRNE(owner.c_str(), keymap_find(&map, key)->holder.instance);
}

TEST_F(HotKey, StaysAndTheOtherKeysOfItsOwnerMove)
{
    const std::string owner = keymap_find(&map, key)->holder.instance;
    for (int round = 0; round < 3; round++) {
        for (const struct keyplan_move &move : Compute(1.2)) {
            EXPECT_FALSE(move.first <= key && key <= move.last);
        }
    }
    EXPECT_EQ(owner, keymap_find(&map, key)->holder.instance);
    const double fair = (7400 * 1.05 + 500) / 8;
    EXPECT_LT(OtherLoad(owner), fair * 0.1);
    for (const auto &target : targets) {
        EXPECT_LT(OtherLoad(target.holder.instance), fair * 1.3);
    }
    EXPECT_TRUE(Compute(1.2).empty());
}

/* One busy range does not keep another from being divided. */
TEST_F(HotKey, DoesNotKeepOtherOwnersOverloaded)
{
    const struct keyload_step busy[] = {{50000, 3000 * unit}, {51000, 0}};
    keyload_curve_add(curve, busy, 2);
    const std::string other = keymap_find(&map, 50500)->holder.instance;
    for (int round = 0; round < 3; round++) {
        Compute(1.2);
    }
    EXPECT_LT(OtherLoad(other), (7400 + 3000) / 8 * 1.3);
}

TEST_F(Plan, AssignsAllUnownedKeysFromRandomMaps)
{
    struct random_state random;
    for (uint64_t seed = 1; seed <= 200; seed++) {
        random_seed(&random, seed);
        targets.clear();
        keymap_clear(&map);
        keymap_init(&map);
        const uint64_t count = 1 + random_below(&random, 8);
        for (uint64_t i = 0; i < count; i++) {
            AddTarget("m" + std::to_string(i), i == 0 || seed % 3 != 0,
                      i > 0 && random_chance(&random, 0.2),
                      0.5 + random_unit(&random));
            targets.back().can_receive =
                targets.back().can_receive && !targets.back().must_release_all;
        }
        for (int i = 0; i < 12; i++) {
            const auto first = static_cast<uint32_t>(
                random_below(&random, DECLARED_KEY_COUNT - 5000));
            keymap_assign(&map, first, first + 4999,
                          &targets[random_below(&random, count)].holder,
                          nullptr);
        }
        Compute(1.2);
        Compute(1.2);
        EXPECT_EQ(0U, Loads().count("")) << seed;
        for (const auto &target : targets) {
            if (target.must_release_all) {
                EXPECT_EQ(0.0, keymap_share(&map, target.holder.instance))
                    << seed;
            }
        }
    }
}

TEST(Keyload, StepsSumToCountsAndHotKeysHaveOwnSteps)
{
    struct keyload *load = keyload_create();
    std::vector<struct keyload_step> steps(KEYLOAD_STEPS_MAX);
    for (int i = 0; i < 300; i++) {
        keyload_record_request(load, 1000);
        keyload_record_request(load, static_cast<uint32_t>(i * 211));
    }
    const size_t count = keyload_steps(load, steps.data());
    uint32_t sum = 0;
    bool alone = false;
    for (size_t i = 0; i < count; i++) {
        sum += steps[i].load;
        alone = alone || (steps[i].first == 1000 &&
                          steps[i].load >= 300 * KEYLOAD_UNITS_PER_REQUEST &&
                          steps[i + 1].first == 1001);
    }
    EXPECT_EQ(600U * KEYLOAD_UNITS_PER_REQUEST, sum);
    EXPECT_TRUE(alone);
    keyload_destroy(load);
}

/* Two owners with the same requests, whose counts are halved a second apart,
 * have the same load. */
TEST(Keyload, ScaledLoadDoesNotDependOnTheMomentOfDecay)
{
    constexpr int64_t half_life_us = 2000000;
    struct keyload *loads[2] = {keyload_create(), keyload_create()};
    std::vector<struct keyload_step> steps(KEYLOAD_STEPS_MAX);
    double sums[2] = {0, 0};
    for (int ms = 0; ms < 20700; ms += 10) {
        for (int i = 0; i < 2; i++) {
            if ((ms + 1000 * i) % 2000 == 0) {
                keyload_decay(loads[i]);
            }
            keyload_record_request(loads[i],
                                   static_cast<uint32_t>(ms * 7 % 60000));
        }
    }
    for (int i = 0; i < 2; i++) {
        const size_t count = keyload_steps(loads[i], steps.data());
        keyload_scale(steps.data(), count, (20700 + 1000 * i) % 2000 * 1000,
                      half_life_us);
        for (size_t k = 0; k < count; k++) {
            sums[i] += steps[k].load;
        }
        keyload_destroy(loads[i]);
    }
    EXPECT_NEAR(sums[0], sums[1], sums[0] * 0.06);
}

/* Load pattern: requests arrive at random, evenly over the keys. */
TEST_F(Plan, DifferencesByChanceMoveNothing)
{
    struct random_state random;
    random_seed(&random, 9);
    constexpr uint32_t count = 64;
    for (uint32_t i = 0; i < count; i++) {
        AddTarget("t" + std::to_string(i));
        keymap_assign(&map, i * 1024, i * 1024 + 1023, &targets[i].holder,
                      nullptr);
        uint32_t requests = 0;
        for (int k = 0; k < 270; k++) {
            requests += random_chance(&random, 0.1);
        }
        const struct keyload_step steps_of_target[] = {
            {i * 1024, requests * KEYLOAD_UNITS_PER_REQUEST},
            {(i + 1) * 1024, 0}};
        keyload_curve_add(curve, steps_of_target, i + 1 < count ? 2 : 1);
    }
    EXPECT_LE(Compute(1.25).size(), 3U);
}

TEST(Keylease, LeaseEndIsCountedFromStartOfWrite)
{
    struct keylease lease = {};
    EXPECT_EQ(0, keylease_until_us(&lease));
    EXPECT_TRUE(keylease_record_write(&lease, 1000, 5, 5));
    EXPECT_EQ(1000 + KEYLEASE_DURATION_US, keylease_until_us(&lease));
    EXPECT_FALSE(keylease_record_write(&lease, 2000, 6, 6));
    EXPECT_EQ(2000 + KEYLEASE_DURATION_US, keylease_until_us(&lease));
    EXPECT_EQ(5U, lease.acquired_version);
    keylease_record_loss(&lease, 9);
    EXPECT_EQ(0, keylease_until_us(&lease));
    EXPECT_TRUE(keylease_record_write(&lease, 3000, 10, 10));
    EXPECT_EQ(10U, lease.acquired_version);
}

TEST(Keylease, PromisesExtendLeaseForLimitedTime)
{
    struct keylease lease = {};
    keylease_record_promises(&lease, 1000);
    EXPECT_EQ(0, keylease_until_us(&lease));
    keylease_record_write(&lease, 0, 5, 5);
    keylease_record_promises(&lease, KEYLEASE_DURATION_US - 1);
    const int64_t until_us = KEYLEASE_DURATION_US - 1 + KEYLEASE_PROMISE_US;
    EXPECT_EQ(until_us, keylease_until_us(&lease));
    keylease_record_promises(&lease, until_us);
    EXPECT_EQ(until_us, keylease_until_us(&lease));
    int64_t now_us = until_us - 1;
    while (now_us < 2 * KEYLEASE_PROMISED_MAX_US) {
        keylease_record_promises(&lease, now_us);
        now_us += KEYLEASE_PROMISE_US / 2;
    }
    EXPECT_LE(keylease_until_us(&lease),
              KEYLEASE_DURATION_US + KEYLEASE_PROMISED_MAX_US);
    EXPECT_GT(keylease_until_us(&lease), KEYLEASE_PROMISED_MAX_US);
    /* A takeover waits longer than the lease, even if the holder's clock is
     * 2 % slow. */
    EXPECT_GT(KEYLEASE_TAKEOVER_US, KEYLEASE_DURATION_US * 102 / 100);
}

} // namespace
