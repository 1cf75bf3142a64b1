#include <gtest/gtest.h>

#include <set>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "placement/hotkeys.h"
#include "placement/zipfkeys.h"
}

namespace {

/* Adds requests by Zipf's law for many more keys than there are counters. */
void
AddRequests(struct hotkeys *hotkeys, const struct zipfkeys *keys,
            struct random_state *random, int64_t *now_us, int requests)
{
    for (int i = 0; i < requests; i++) {
        double at = random_unit(random);
        size_t key = 0;
        while (key + 1 < keys->count && at >= keys->share[key]) {
            at -= keys->share[key++];
        }
        *now_us += 1000;
        hotkeys_add(hotkeys, keys->hash[key],
                    static_cast<uint32_t>(keys->hash[key] % 64), 1, *now_us);
    }
}

size_t
CountFoundHotKeys(const struct hotkeys *hotkeys, const struct zipfkeys *keys,
                  size_t hot)
{
    struct hotkey top[HOTKEYS_COUNTERS];
    std::set<uint64_t> hashes;
    size_t found = 0;
    size_t count = hotkeys_top(hotkeys, top, HOTKEYS_COUNTERS);

    for (size_t i = 0; i < count; i++) {
        hashes.insert(top[i].hash);
    }
    for (size_t i = 0; i < hot; i++) {
        found += hashes.count(keys->hash[i]);
    }
    return found;
}

TEST(HotKeys, FindsTheHottestKeysAlsoAfterTheyChange)
{
    struct zipfkeys *keys = zipfkeys_create(10000, 1.0, 3);
    struct hotkeys *hotkeys = hotkeys_create(0);
    struct random_state random;
    int64_t now_us = 0;
    double share = 0;

    random_seed(&random, 9);
    AddRequests(hotkeys, keys, &random, &now_us, 60000);
    EXPECT_EQ(CountFoundHotKeys(hotkeys, keys, 50), 50u);
    EXPECT_EQ(hotkeys_hottest_of_shard(
                  hotkeys, static_cast<uint32_t>(keys->hash[0] % 64), &share),
              keys->hash[0]);
    EXPECT_NEAR(share, zipfkeys_hottest_share(keys), 0.02);
    zipfkeys_swap_hot(keys, 200);
    AddRequests(hotkeys, keys, &random, &now_us, 60000);
    EXPECT_EQ(CountFoundHotKeys(hotkeys, keys, 50), 50u);
    hotkeys_destroy(hotkeys);
    zipfkeys_destroy(keys);
}

TEST(HotKeys, DecaysWithoutHangingAfterALongIdleTime)
{
    struct hotkeys *hotkeys = hotkeys_create(0);
    double share = 1;

    EXPECT_EQ(hotkeys_hottest_of_shard(hotkeys, 3, &share), 0u);
    EXPECT_EQ(share, 0);
    hotkeys_add(hotkeys, 7, 3, 5, 1);
    hotkeys_add(hotkeys, 8, 4, 1, INT64_C(1000000) * 86400 * 365);
    EXPECT_EQ(hotkeys_hottest_of_shard(hotkeys, 4, &share), 8u);
    EXPECT_GT(share, 0.99);
    hotkeys_destroy(hotkeys);
}

} // namespace
