#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C" {
#include "membership/choice.h"
#include "membership/directory.h"
#include "membership/member.h"
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

TEST(Member, BrokenRowsAreRefusedWithTheField)
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

TEST(Member, QuorumsOfHolderAndFenceAlwaysMeet)
{
    for (size_t count = 1; count <= MEMBER_GUARDIANS_MAX; count++) {
        EXPECT_GT(guardian_quorum_hold(count) + guardian_quorum_fence(count),
                  count);
    }
}

TEST(Directory, RowsOnlyMoveForward)
{
    struct directory *directory = directory_create();
    struct member row = make_member(1, "rhayader", "archebion");
    struct directory_view view;
    EXPECT_FALSE(directory_find(directory, "instance-1", &view));
    row.version = 5;
    EXPECT_TRUE(directory_apply(directory, &row, 100));
    row.version = 4;
    row.state = MEMBER_FENCED;
    EXPECT_FALSE(directory_apply(directory, &row, 200));
    ASSERT_TRUE(directory_find(directory, "instance-1", &view));
    EXPECT_EQ(MEMBER_ACTIVE, view.state);
    EXPECT_EQ(100, view.first_seen_us);
    row.version = 6;
    EXPECT_TRUE(directory_apply(directory, &row, 300));
    EXPECT_EQ(0u, directory_live_count(directory));
    EXPECT_EQ(6u, directory_version(directory));
    directory_destroy(directory);
}

TEST(Directory, KeepsWholeRowsAndFindsThem)
{
    struct directory *directory = directory_create();
    for (int i = 0; i < 300; i++) {
        struct member row =
            make_member(i, i % 3 == 0 ? "yaba" : "ikeja", "slot-viewer");
        struct member_ref guardian = {"only-named", 3};
        guardian_set_add(&row.guardians, &guardian);
        if (i == 7) {
            guardian_set_add(&row.outgoing, &guardian);
        }
        EXPECT_TRUE(directory_apply(directory, &row, i));
        struct member copy;
        ASSERT_TRUE(directory_row(directory, row.self.instance, &copy));
        EXPECT_EQ(dump(row), dump(copy));
        ASSERT_TRUE(directory_row_by_incarnation(directory, 1000 + i, &copy));
        EXPECT_STREQ(row.self.instance, copy.self.instance);
        ASSERT_TRUE(directory_row_by_address(directory, &row.http, &copy));
        EXPECT_STREQ(row.self.instance, copy.self.instance);
    }
    EXPECT_EQ(300u, directory_count(directory));
    struct directory_view view;
    EXPECT_FALSE(directory_find(directory, "only-named", &view));
    size_t visits = 0;
    struct directory_filter filter = {"yaba", "slot-viewer", true};
    directory_visit(
        directory, &filter,
        [](void *ctx, const struct directory_view *) {
            ++*static_cast<size_t *>(ctx);
        },
        &visits);
    EXPECT_EQ(100u, visits);
    directory_destroy(directory);
}

/** Most wards of any member, after count members joined one by one. */
unsigned
join_all(struct directory *directory, int count, int zones)
{
    for (int i = 0; i < count; i++) {
        struct member row =
            make_member(i, "zone-" + std::to_string(i % zones), "archebion");
        choice_add_guardians(directory, &row, nullptr, 0, &row.guardians);
        directory_apply(directory, &row, 0);
    }
    for (int i = 0; i < count; i++) {
        struct member row;
        directory_row(directory, ("instance-" + std::to_string(i)).c_str(),
                      &row);
        row.version += 100000;
        choice_add_guardians(directory, &row, nullptr, 0, &row.guardians);
        directory_apply(directory, &row, 0);
    }
    unsigned most = 0;
    struct directory_filter filter = {};
    directory_visit(
        directory, &filter,
        [](void *ctx, const struct directory_view *view) {
            auto *max = static_cast<unsigned *>(ctx);
            *max = std::max(*max, view->wards);
        },
        &most);
    return most;
}

TEST(Choice, SpreadsOverZonesAndMembers)
{
    struct directory *directory = directory_create();
    EXPECT_LE(join_all(directory, 120, 3), 5u);
    for (int i = 0; i < 120; i++) {
        struct member row;
        ASSERT_TRUE(directory_row(
            directory, ("instance-" + std::to_string(i)).c_str(), &row));
        ASSERT_EQ(3u, row.guardians.count);
        size_t others = 0;
        for (size_t g = 0; g < 3; g++) {
            struct directory_view view;
            ASSERT_TRUE(directory_find(directory,
                                       row.guardians.refs[g].instance, &view));
            others += std::string(view.zone) != row.zone;
            EXPECT_STRNE(row.self.instance, view.instance);
        }
        EXPECT_GE(others, 2u) << i;
    }
    directory_destroy(directory);
}

TEST(Choice, KeepsWhatItHasAndTakesAvoidedMembersLast)
{
    struct directory *directory = directory_create();
    for (int i = 0; i < 4; i++) {
        struct member row = make_member(i, "zone-0", "archebion");
        directory_apply(directory, &row, 0);
    }
    struct member holder = make_member(0, "zone-0", "archebion");
    struct member_ref kept = {"instance-3", 1003};
    struct member_ref avoided = {"instance-1", 1001};
    struct guardian_set chosen = {};
    guardian_set_add(&chosen, &kept);
    choice_add_guardians(directory, &holder, &avoided, 1, &chosen);
    ASSERT_EQ(3u, chosen.count);
    EXPECT_STREQ("instance-3", chosen.refs[0].instance);
    EXPECT_STREQ("instance-2", chosen.refs[1].instance);
    EXPECT_STREQ("instance-1", chosen.refs[2].instance);
    directory_destroy(directory);
}

} // namespace
