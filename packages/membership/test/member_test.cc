#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C" {
#include "membership/guardianselect.h"
#include "membership/member.h"
#include "membership/membertable.h"
}

namespace {

struct member
make_member(int number, const std::string &zone, const std::string &service)
{
    struct member row = {};
    member_copy_name(row.self.instance,
                     ("instance-" + std::to_string(number)).c_str());
    row.self.incarnation = 1000 + static_cast<uint64_t>(number);
    member_copy_name(row.zone, zone.c_str());
    member_copy_name(row.region, "powys");
    member_copy_name(row.service, service.c_str());
    std::string port = std::to_string(10000 + number);
    EXPECT_TRUE(
        address_parse(("127.0.0.1:" + port).c_str(), &row.rpc, nullptr));
    EXPECT_TRUE(address_parse(("[::1]:" + port).c_str(), &row.http, nullptr));
    row.state = MEMBER_ACTIVE;
    row.slots = 20;
    row.longest_request_us = 5000000;
    row.lease_us = 750000;
    row.renewal_max_us = 3600000000;
    row.version = static_cast<uint64_t>(number) + 1;
    return row;
}

std::string
dump(const struct member &row)
{
    json_t *value = member_to_json(&row);
    char *text = json_dumps(value, JSON_SORT_KEYS | JSON_COMPACT);
    std::string result = text;
    free(text);
    json_decref(value);
    return result;
}

TEST(Member, JsonRoundTrip)
{
    struct member row = make_member(1, "rhayader", "archebion");
    struct member_ref guardian = {"instance-2", 77};
    row.checks_grants = true;
    guardian_set_add(&row.guardians, &guardian);
    guardian_set_add(&row.outgoing, &row.self);
    json_t *value = member_to_json(&row);
    struct member copy;
    struct error err = {};
    ASSERT_TRUE(member_from_json(value, 9, &copy, &err));
    EXPECT_EQ(dump(row), dump(copy));
    EXPECT_EQ(9u, copy.version);
    json_decref(value);
}

TEST(Member, FieldOfWrongTypeIsRejected)
{
    struct member row = make_member(1, "rhayader", "archebion");
    struct member copy;
    for (const char *field :
         {"instance", "incarnation", "zone", "state", "rpc", "lease_us"}) {
        json_t *value = member_to_json(&row);
        json_object_set_new(value, field, json_null());
        struct error err = {};
        EXPECT_FALSE(member_from_json(value, 1, &copy, &err)) << field;
        EXPECT_EQ(ERROR_FIELD_TYPE, err.code) << field;
        json_decref(value);
    }
}

TEST(Member, HoldAndFenceQuorumsAlwaysOverlap)
{
    for (size_t count = 1; count <= MEMBER_GUARDIANS_MAX; count++) {
        EXPECT_GT(guardian_quorum_hold(count) + guardian_quorum_fence(count),
                  count);
    }
}

TEST(Directory, OlderRowVersionIsIgnored)
{
    struct membertable *table = membertable_create();
    struct member row = make_member(1, "rhayader", "archebion");
    struct membertable_view view;
    EXPECT_FALSE(membertable_find(table, "instance-1", &view));
    row.version = 5;
    EXPECT_TRUE(membertable_apply(table, &row, 100));
    row.version = 4;
    row.state = MEMBER_FENCED;
    EXPECT_FALSE(membertable_apply(table, &row, 200));
    ASSERT_TRUE(membertable_find(table, "instance-1", &view));
    EXPECT_EQ(MEMBER_ACTIVE, view.state);
    EXPECT_EQ(100, view.first_seen_us);
    row.version = 6;
    EXPECT_TRUE(membertable_apply(table, &row, 300));
    EXPECT_EQ(0u, membertable_live_count(table));
    EXPECT_EQ(6u, membertable_version(table));
    membertable_destroy(table);
}

TEST(Directory, LookupsReturnCompleteRows)
{
    struct membertable *table = membertable_create();
    for (int i = 0; i < 300; i++) {
        struct member row =
            make_member(i, i % 3 == 0 ? "yaba" : "ikeja", "slot-viewer");
        struct member_ref guardian = {"only-named", 3};
        guardian_set_add(&row.guardians, &guardian);
        if (i == 7) {
            guardian_set_add(&row.outgoing, &guardian);
        }
        EXPECT_TRUE(membertable_apply(table, &row, i));
        struct member copy;
        ASSERT_TRUE(membertable_row(table, row.self.instance, &copy));
        EXPECT_EQ(dump(row), dump(copy));
        ASSERT_TRUE(membertable_row_by_incarnation(table, 1000 + i, &copy));
        EXPECT_STREQ(row.self.instance, copy.self.instance);
        ASSERT_TRUE(membertable_row_by_address(table, &row.http, &copy));
        EXPECT_STREQ(row.self.instance, copy.self.instance);
    }
    EXPECT_EQ(300u, membertable_count(table));
    struct membertable_view view;
    EXPECT_FALSE(membertable_find(table, "only-named", &view));
    size_t visits = 0;
    struct membertable_filter filter = {"yaba", "slot-viewer", true};
    membertable_visit(
        table, &filter,
        [](void *ctx, const struct membertable_view *) {
            ++*static_cast<size_t *>(ctx);
        },
        &visits);
    EXPECT_EQ(100u, visits);
    membertable_destroy(table);
}

/** Highest guarded_count after count members joined one by one. */
unsigned
join_all(struct membertable *table, int count, int zones)
{
    for (int i = 0; i < count; i++) {
        struct member row =
            make_member(i, "zone-" + std::to_string(i % zones), "archebion");
        guardianselect_add(table, &row, nullptr, 0, &row.guardians);
        membertable_apply(table, &row, 0);
    }
    for (int i = 0; i < count; i++) {
        struct member row;
        membertable_row(table, ("instance-" + std::to_string(i)).c_str(),
                        &row);
        row.version += 100000;
        guardianselect_add(table, &row, nullptr, 0, &row.guardians);
        membertable_apply(table, &row, 0);
    }
    unsigned most = 0;
    struct membertable_filter filter = {};
    membertable_visit(
        table, &filter,
        [](void *ctx, const struct membertable_view *view) {
            auto *max = static_cast<unsigned *>(ctx);
            *max = std::max(*max, view->guarded_count);
        },
        &most);
    return most;
}

TEST(Choice, GuardiansAreSpreadOverZonesAndMembers)
{
    struct membertable *table = membertable_create();
    EXPECT_LE(join_all(table, 120, 3), 5u);
    for (int i = 0; i < 120; i++) {
        struct member row;
        ASSERT_TRUE(membertable_row(
            table, ("instance-" + std::to_string(i)).c_str(), &row));
        ASSERT_EQ(3u, row.guardians.count);
        size_t others = 0;
        for (size_t g = 0; g < 3; g++) {
            struct membertable_view view;
            ASSERT_TRUE(membertable_find(table, row.guardians.refs[g].instance,
                                         &view));
            others += std::string(view.zone) != row.zone;
            EXPECT_STRNE(row.self.instance, view.instance);
        }
        EXPECT_GE(others, 2u) << i;
    }
    membertable_destroy(table);
}

TEST(Choice, KeepsChosenGuardiansAndAddsAvoidedMembersLast)
{
    struct membertable *table = membertable_create();
    for (int i = 0; i < 4; i++) {
        struct member row = make_member(i, "zone-0", "archebion");
        membertable_apply(table, &row, 0);
    }
    struct member holder = make_member(0, "zone-0", "archebion");
    struct member_ref kept = {"instance-3", 1003};
    struct member_ref avoided = {"instance-1", 1001};
    struct guardian_set chosen = {};
    guardian_set_add(&chosen, &kept);
    guardianselect_add(table, &holder, &avoided, 1, &chosen);
    ASSERT_EQ(3u, chosen.count);
    EXPECT_STREQ("instance-3", chosen.refs[0].instance);
    EXPECT_STREQ("instance-2", chosen.refs[1].instance);
    EXPECT_STREQ("instance-1", chosen.refs[2].instance);
    membertable_destroy(table);
}

} // namespace
