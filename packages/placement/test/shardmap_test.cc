#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/invariant.h"
#include "placement/ownertable.h"
#include "placement/shardmap.h"
}

namespace {

constexpr const char *kService = "patrymau";
constexpr uint32_t kShards = 100;

struct Changes {
    std::vector<std::string> lines;

    static std::string Text(const struct shardpage_entry *entry)
    {
        return entry == nullptr ? "-"
                                : std::string(entry->owner) + "@" +
                                      std::to_string(entry->epoch);
    }

    static void Add(void *ctx, const struct shardpage_entry *before,
                    const struct shardpage_entry *after)
    {
        uint32_t shard = before != nullptr ? before->shard : after->shard;
        static_cast<Changes *>(ctx)->lines.push_back(
            std::to_string(shard) + " " + Text(before) + " " + Text(after));
    }
};

class ShardMap : public testing::Test {
  protected:
    void SetUp() override
    {
        invariant_reset();
        map = shardmap_create();
        ASSERT_TRUE(shardmap_add_service(map, kService, kShards, nullptr));
        shardpage_init(&page, kService, 1, kShards);
    }

    void TearDown() override
    {
        shardmap_destroy(map);
    }

    void Own(uint32_t shard, const char *owner, uint32_t epoch)
    {
        struct shardpage_entry *entry = shardpage_find(&page, shard);
        snprintf(entry->owner, sizeof(entry->owner), "%s", owner);
        entry->epoch = epoch;
    }

    bool Apply(uint64_t version)
    {
        return shardmap_apply(map, &page, version, Changes::Add, &changes);
    }

    struct shardmap *map = nullptr;
    struct shardpage page;
    Changes changes;
};

TEST_F(ShardMap, NumberOfShardsOfAServiceIsFixed)
{
    struct error err = {};

    EXPECT_EQ(page.shard_count, 36u);
    EXPECT_EQ(shardpage_count(kShards), 2u);
    EXPECT_TRUE(shardmap_add_service(map, kService, kShards, &err));
    EXPECT_FALSE(shardmap_add_service(map, kService, kShards + 1, &err));
    EXPECT_EQ(err.code, ERROR_FIELD_RANGE);
}

TEST_F(ShardMap, AppliesOnlyNewerPages)
{
    struct shardmap_location location;

    Own(70, "a", 1);
    EXPECT_TRUE(Apply(10));
    Own(70, "b", 2);
    EXPECT_FALSE(Apply(10));
    EXPECT_FALSE(Apply(9));
    EXPECT_TRUE(Apply(11));
    ASSERT_TRUE(shardmap_find(map, kService, 70, &location));
    EXPECT_STREQ(location.owner, "b");
    EXPECT_EQ(location.epoch, 2u);
    EXPECT_EQ(changes.lines,
              (std::vector<std::string>{"70 @0 a@1", "70 a@1 b@2"}));
    EXPECT_EQ(shardmap_owned_count(map, "a"), 0u);
    EXPECT_EQ(shardmap_owned_count(map, "b"), 1u);
}

TEST_F(ShardMap, RefusesALowerEpochAndASecondOwnerOfAnEpoch)
{
    Own(70, "a", 5);
    ASSERT_TRUE(Apply(10));
    Own(70, "a", 4);
    EXPECT_FALSE(Apply(11));
    Own(70, "b", 5);
    EXPECT_FALSE(Apply(12));
    EXPECT_EQ(invariant_violations(INVARIANT_EPOCH_RISES), 2);
}

TEST_F(ShardMap, SplitsAndMergesSingleKeys)
{
    std::string key = "camel-saddle";
    uint64_t hash = shardmap_hash(kService, key.data(), key.size());
    uint32_t shard = shardmap_shard_of(hash, kShards);
    uint32_t single = shardmap_key_shard(hash);
    struct shardmap_location location;

    shardpage_init(&page, kService, shard / SHARDPAGE_SHARDS, kShards);
    EXPECT_EQ(shardpage_split(&page, shard, single), nullptr);
    Own(shard, "a", 3);
    ASSERT_NE(shardpage_split(&page, shard, single), nullptr);
    EXPECT_EQ(shardpage_split(&page, shard, single), nullptr);
    Own(single, "b", 5);
    EXPECT_FALSE(shardpage_merge(&page, single));
    ASSERT_TRUE(Apply(10));
    ASSERT_TRUE(
        shardmap_lookup(map, kService, key.data(), key.size(), &location));
    EXPECT_EQ(location.shard, single);
    EXPECT_STREQ(location.owner, "b");
    ASSERT_TRUE(shardmap_lookup(map, kService, "other", 5, &location));
    EXPECT_EQ(location.shard & SHARD_KEY_FLAG, 0u);
    Own(single, "a", 6);
    ASSERT_TRUE(shardpage_merge(&page, single));
    EXPECT_EQ(shardpage_find(&page, shard)->epoch, 7u);
    ASSERT_TRUE(Apply(11));
    ASSERT_TRUE(
        shardmap_lookup(map, kService, key.data(), key.size(), &location));
    EXPECT_EQ(location.shard, shard);
    EXPECT_EQ(location.epoch, 7u);
}

TEST_F(ShardMap, PageIsUnchangedByAJsonRoundTrip)
{
    struct shardpage copy;
    struct error err = {};

    Own(70, "a", 5);
    Own(71, "b", 6);
    shardpage_find(&page, 71)->wait = true;
    shardpage_split(&page, 70, SHARD_KEY_FLAG | 99);
    json_t *value = shardpage_to_json(&page);
    ASSERT_TRUE(shardpage_from_json(&copy, value, &err));
    json_t *again = shardpage_to_json(&copy);
    EXPECT_TRUE(json_equal(value, again));
    EXPECT_TRUE(copy.entries[7].wait);
    json_object_set_new(value, "owners", json_array());
    EXPECT_FALSE(shardpage_from_json(&copy, value, &err));
    EXPECT_EQ(err.code, ERROR_FIELD_REFERENCE);
    json_decref(value);
    json_decref(again);
}

TEST_F(ShardMap, SnapshotRestoresTheSameMap)
{
    struct shardmap *copy = shardmap_create();
    struct shardmap_location location;
    struct error err = {};

    Own(70, "a", 5);
    ASSERT_TRUE(Apply(10));
    json_t *snapshot = shardmap_snapshot(map, 42);
    ASSERT_TRUE(shardmap_add_service(copy, kService, kShards, &err));
    EXPECT_EQ(shardmap_restore(copy, snapshot, nullptr, nullptr, &err), 42u);
    ASSERT_TRUE(shardmap_find(copy, kService, 70, &location));
    EXPECT_STREQ(location.owner, "a");
    EXPECT_EQ(shardmap_page_version(copy, kService, 1), 10u);
    EXPECT_EQ(shardmap_restore(copy, json_null(), nullptr, nullptr, &err), 0u);
    json_decref(snapshot);
    shardmap_destroy(copy);
}

TEST_F(ShardMap, OwnerHintsApplyUntilALaterPage)
{
    struct shardmap_location location;

    Own(70, "a", 5);
    ASSERT_TRUE(Apply(10));
    EXPECT_FALSE(shardmap_add_owner_hint(map, kService, 70, "b", 5));
    EXPECT_TRUE(shardmap_add_owner_hint(map, kService, 70, "c", 7));
    ASSERT_TRUE(shardmap_find(map, kService, 70, &location));
    EXPECT_STREQ(location.owner, "c");
    Own(70, "b", 6);
    EXPECT_TRUE(Apply(11));
    ASSERT_TRUE(shardmap_find(map, kService, 70, &location));
    EXPECT_STREQ(location.owner, "c");
    Own(70, "d", 8);
    EXPECT_TRUE(Apply(12));
    ASSERT_TRUE(shardmap_find(map, kService, 70, &location));
    EXPECT_STREQ(location.owner, "d");
    EXPECT_EQ(invariant_violations(INVARIANT_EPOCH_RISES), 0);
}

TEST_F(ShardMap, UsesAtMostNineBytesPerShard)
{
    constexpr uint32_t kMany = 1u << 18;
    size_t before = shardmap_memory(map);

    ASSERT_TRUE(shardmap_add_service(map, "many", kMany, nullptr));
    EXPECT_LE(shardmap_memory(map) - before, kMany * 9);
}

TEST(OwnerTable, ReusesNumbersOfOwnersWithoutShards)
{
    struct ownertable *table = ownertable_create();
    uint16_t a = ownertable_acquire(table, "a");

    EXPECT_EQ(ownertable_acquire(table, ""), 0);
    EXPECT_EQ(ownertable_acquire(table, "a"), a);
    EXPECT_EQ(ownertable_shard_count(table, "a"), 2u);
    ownertable_release(table, a);
    ownertable_release(table, a);
    EXPECT_EQ(ownertable_shard_count(table, "a"), 0u);
    EXPECT_EQ(ownertable_acquire(table, "b"), a);
    for (int i = 0; i < 1000; i++) {
        std::string name = "instance-" + std::to_string(i);
        uint16_t number = ownertable_acquire(table, name.c_str());
        EXPECT_STREQ(ownertable_name(table, number), name.c_str());
    }
    ownertable_destroy(table);
}

} // namespace
