#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>

extern "C" {
#include "base/runtime.h"
#include "fleet/feedsource.h"
}

namespace {

struct Feedsource : testing::Test {
    struct instancetable table = {};
    struct feedsource source = {};
    int64_t now_us = 1000 * US_PER_SECOND;

    ~Feedsource() override
    {
        instancetable_clear(&table);
    }

    static std::string Name(int number)
    {
        char text[16];
        snprintf(text, sizeof(text), "n%04d", number);
        return text;
    }

    /** Instances started later have higher numbers. */
    void Add(int number, const char *zone = "z1",
             enum instancetable_state state = INSTANCETABLE_SERVING)
    {
        struct instancetable_row row = {};
        strcpy(row.instance, Name(number).c_str());
        strcpy(row.zone, zone);
        strcpy(row.service, "s");
        row.started_ms = 1000 + number;
        row.state = state;
        const std::string address =
            "127.0.0.1:" + std::to_string(10000 + number);
        address_parse(address.c_str(), &row.address, nullptr);
        instancetable_update(&table, &row, static_cast<uint64_t>(number) + 1);
    }

    std::string Choose(int number, const char *zone = "z1")
    {
        const std::string name = Name(number);
        const struct feedsource_self self = {name.c_str(), zone,
                                             1000 + number};
        const auto *chosen = feedsource_choose(&source, &table, &self, now_us);
        return chosen != nullptr ? chosen->instance_row.instance : "store";
    }
};

TEST_F(Feedsource, OneInstanceOfEachZoneReadsTheStore)
{
    for (int i = 0; i < 40; i++) {
        Add(i, i % 2 == 0 ? "z1" : "z2");
    }
    int readers = 0;
    for (int i = 0; i < 40; i++) {
        const std::string from = Choose(i, i % 2 == 0 ? "z1" : "z2");
        readers += from == "store";
        if (from != "store") {
            EXPECT_EQ(i % 2 == 0 ? Name(0) : Name(1), from);
        }
    }
    EXPECT_EQ(2, readers);
}

TEST_F(Feedsource, LargeZoneIsReadThroughFewHops)
{
    constexpr int count = 1200;
    std::map<std::string, std::string> parents;
    std::map<std::string, int> followers;
    for (int i = 0; i < count; i++) {
        Add(i);
    }
    for (int i = 0; i < count; i += 7) {
        parents[Name(i)] = Choose(i);
        followers[parents[Name(i)]]++;
    }
    for (const auto &item : followers) {
        EXPECT_LE(item.second, FEEDSOURCE_FANOUT);
    }
    for (const auto &item : parents) {
        int hops = 0;
        for (std::string at = item.first; at != "store"; hops++) {
            at = Choose(std::stoi(at.substr(1)));
        }
        EXPECT_LE(hops - 1, FEEDSOURCE_HOPS_MAX) << item.first;
    }
}

TEST_F(Feedsource, SkipsInstancesThatFailedOrDoNotServe)
{
    Add(0);
    Add(1, "z1", INSTANCETABLE_LEAVING);
    Add(2);
    Add(3);
    EXPECT_EQ(Name(0), Choose(3));
    feedsource_record_peer(&source, Name(0).c_str(), false, now_us);
    EXPECT_EQ(Name(2), Choose(3));
    EXPECT_EQ("store", Choose(2));
    now_us += 3 * US_PER_SECOND;
    EXPECT_EQ(Name(0), Choose(3));
    feedsource_record_peer(&source, Name(0).c_str(), false, now_us);
    now_us += 3 * US_PER_SECOND;
    EXPECT_EQ(Name(2), Choose(3)); /* excluded for longer each time */
    feedsource_record_peer(&source, Name(0).c_str(), true, now_us);
    EXPECT_EQ(Name(0), Choose(3));
}

TEST_F(Feedsource, ReadsFromAnotherWhileTheStoreTurnsItAway)
{
    Add(0);
    Add(1);
    EXPECT_EQ("store", Choose(0));
    feedsource_record_store(&source, false, now_us);
    EXPECT_EQ(Name(1), Choose(0));
    feedsource_record_store(&source, true, now_us);
    EXPECT_EQ("store", Choose(0));
}

/* One that is turned away must not ask the same ones again before it has asked
 * all: those that it asked first were forgotten. */
TEST_F(Feedsource, RemembersAllThatFailed)
{
    constexpr int count = 30;
    for (int i = 0; i < count; i++) {
        Add(i);
    }
    feedsource_record_store(&source, false, now_us);
    for (int i = 1; i < count - 1; i++) {
        EXPECT_EQ(Name(i), Choose(0));
        feedsource_record_peer(&source, Name(i).c_str(), false, now_us);
    }
    EXPECT_EQ(Name(count - 1), Choose(0));
}

/* Who refuses is asked again soon each time: that costs no time. */
TEST_F(Feedsource, RefusalsDoNotExcludeForLonger)
{
    Add(0);
    Add(1);
    for (int i = 0; i < 5; i++) {
        EXPECT_EQ(Name(0), Choose(1));
        feedsource_record_refusal(&source, Name(0).c_str(), now_us);
        EXPECT_EQ("store", Choose(1));
        now_us += 2 * US_PER_SECOND;
    }
    EXPECT_EQ(Name(0), Choose(1));
}

/* Of two instances that would read from each other, one must refuse. */
TEST_F(Feedsource, OneOfTwoInstancesStartedBeforeTheOther)
{
    Add(0);
    Add(1);
    const struct instancetable_row *rows[] = {
        &instancetable_find(&table, Name(0).c_str())->instance_row,
        &instancetable_find(&table, Name(1).c_str())->instance_row,
    };
    const struct feedsource_self first = {rows[0]->instance, "z1", 1000};
    struct feedsource_self second = {rows[1]->instance, "z1", 1001};
    EXPECT_TRUE(feedsource_started_before(rows[0], &second));
    EXPECT_FALSE(feedsource_started_before(rows[1], &first));
    second.started_ms = 1000; /* at the same time: by name */
    EXPECT_TRUE(feedsource_started_before(rows[0], &second));
}

TEST_F(Feedsource, AloneOrUnknownInstanceReadsTheStore)
{
    EXPECT_EQ("store", Choose(5));
    Add(5);
    EXPECT_EQ("store", Choose(5));
    feedsource_record_store(&source, false, now_us);
    EXPECT_EQ("store", Choose(5));
}

} // namespace
