#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

extern "C" {
#include "base/runtime.h"
#include "fleet/budget.h"
#include "fleet/roster.h"
}

namespace {

bool
ZoneIsOut(void *ctx, const char *zone)
{
    return *static_cast<std::string *>(ctx) == zone;
}

struct Roster : testing::Test {
    struct roster roster = {};
    struct random_state random;
    std::string out;

    Roster()
    {
        random_seed(&random, 1);
    }
    ~Roster() override
    {
        roster_clear(&roster);
    }

    struct roster_instance *Add(const std::string &name,
                                const std::string &zone,
                                enum roster_state state = ROSTER_SERVING,
                                uint64_t version = 1,
                                const std::string &given = "")
    {
        const std::string address =
            given.empty() ? "10.0.0." + std::to_string(name[0]) + ":7600"
                          : given;
        struct roster_notice notice = {};
        strncpy(notice.instance, name.c_str(), KEYMAP_NAME_MAX);
        strncpy(notice.zone, zone.c_str(), KEYMAP_NAME_MAX);
        strncpy(notice.service, "s", KEYMAP_NAME_MAX);
        strncpy(notice.target, ("t-" + name).c_str(), KEYMAP_NAME_MAX);
        address_parse(address.c_str(), &notice.address, nullptr);
        notice.slots = 10;
        notice.state = state;
        return roster_update(&roster, &notice, version);
    }

    struct roster_choice Choice(int64_t now_us = 0)
    {
        struct roster_choice choice = {};
        choice.service = "s";
        choice.zone = "z1";
        choice.zone_is_out = ZoneIsOut;
        choice.ctx = &out;
        choice.now_us = now_us;
        return choice;
    }

    struct roster_instance *Choose(const struct roster_choice &choice)
    {
        return roster_choose(&roster, &choice, &random);
    }
};

TEST_F(Roster, ChoosesOnlyWhatServesIsReachableAndNotOut)
{
    struct roster_instance *a = Add("a", "z1");
    struct roster_instance *b = Add("b", "z2");
    Add("c", "z3", ROSTER_LEAVING);
    Add("d", "z3", ROSTER_ABSENT);
    out = "z1";
    EXPECT_EQ(b, Choose(Choice()));
    out = "";
    roster_note_unreachable(b, 0);
    EXPECT_EQ(a, Choose(Choice()));
    struct roster_choice choice = Choice();
    choice.excluded[choice.excluded_count++] = a;
    EXPECT_EQ(nullptr, Choose(choice));
    choice.now_us = 10 * US_PER_SECOND;
    EXPECT_EQ(b, Choose(choice));
}

TEST_F(Roster, PrefersTheOneThatAnswersSoonest)
{
    struct roster_instance *a = Add("a", "z1");
    struct roster_instance *b = Add("b", "z1");
    a->service_us = 100 * US_PER_MS;
    b->service_us = 300 * US_PER_MS;
    EXPECT_EQ(a, Choose(Choice()));
    roster_note_load(a, 60, false);
    EXPECT_EQ(b, Choose(Choice()));
    roster_note_load(a, 0, false);
    for (int i = 0; i < 40; i++) {
        roster_note_result(a, 0, 0, true);
    }
    EXPECT_EQ(b, Choose(Choice()));
}

TEST_F(Roster, ANewOrFormerlySlowInstanceIsTriedAgain)
{
    struct roster_instance *a = Add("a", "z1");
    struct roster_instance *b = Add("b", "z1");
    a->service_us = 50 * US_PER_MS;
    int chosen = 0;
    for (int i = 0; i < 200; i++) {
        chosen += Choose(Choice()) == b;
    }
    EXPECT_GT(chosen, 20);
    b->service_us = 2 * US_PER_SECOND;
    EXPECT_EQ(a, Choose(Choice(0)));
    chosen = 0;
    for (int i = 0; i < 200; i++) {
        chosen += Choose(Choice(30 * US_PER_SECOND)) == b;
    }
    EXPECT_GT(chosen, 20);
}

TEST_F(Roster, AnInstanceThatFallsSilentGetsNoMoreRequests)
{
    struct roster_instance *a = Add("a", "z1");
    struct roster_instance *b = Add("b", "z2");
    a->service_us = b->service_us = 100 * US_PER_MS;
    roster_note_sent(a, 0);
    EXPECT_EQ(a, Choose(Choice(100 * US_PER_MS)));
    for (int i = 0; i < 50; i++) {
        EXPECT_EQ(b, Choose(Choice(400 * US_PER_MS)));
    }
    roster_note_reached(a, 400 * US_PER_MS);
    roster_note_ended(a);
    EXPECT_EQ(a, Choose(Choice(410 * US_PER_MS)));
}

TEST_F(Roster, OlderRowsChangeNothing)
{
    struct roster_instance *a = Add("a", "z1", ROSTER_LEAVING, 9);
    Add("a", "z1", ROSTER_SERVING, 8);
    EXPECT_EQ(ROSTER_LEAVING, a->notice.state);
    roster_remove(&roster, "a");
    EXPECT_EQ(ROSTER_ABSENT, a->notice.state);
}

TEST_F(Roster, AnAddressThatIsUsedAgainEndsItsFormerInstance)
{
    struct roster_instance *a =
        Add("a", "z1", ROSTER_SERVING, 3, "10.1.1.1:1");
    Add("b", "z1", ROSTER_SERVING, 5, "10.1.1.1:1");
    EXPECT_EQ(ROSTER_ABSENT, a->notice.state);
    Add("a", "z1", ROSTER_SERVING, 7, "10.1.1.1:1");
    EXPECT_EQ(ROSTER_SERVING, a->notice.state);
}

TEST_F(Roster, RowsAreReadBackAndBadRowsRefused)
{
    struct roster_instance *a = Add("a", "z1");
    a->notice.accused[a->notice.accused_count++] = 0xfeedface12345678U;
    char *text = roster_print(&a->notice);
    struct roster_notice read;
    ASSERT_TRUE(roster_parse(&read, "a", text, strlen(text), nullptr));
    EXPECT_STREQ("t-a", read.target);
    EXPECT_EQ(ROSTER_SERVING, read.state);
    ASSERT_EQ(1U, read.accused_count);
    EXPECT_EQ(0xfeedface12345678U, read.accused[0]);
    EXPECT_EQ(1U, roster_accusers(&roster, 0xfeedface12345678U));
    std::string bad = text;
    for (size_t i = 0; i < bad.size(); i++) {
        std::string changed = bad;
        changed[i] = '\0';
        roster_parse(&read, "a", changed.data(), changed.size(), nullptr);
    }
    struct error err = {};
    EXPECT_FALSE(roster_parse(&read, "a", "[]", 2, &err));
    EXPECT_EQ(ERROR_DOCUMENT_SYNTAX, err.code);
    free(text);
}

TEST(Budget, KeepsToAShareOfTheRequests)
{
    struct budget budget;
    budget_init(&budget, 0.1, 3);
    int spent = 0;
    for (int i = 0; i < 1000; i++) {
        budget_earn(&budget);
        spent += budget_spend(&budget);
    }
    EXPECT_LE(spent, 103);
    EXPECT_GE(spent, 99);
}

} // namespace
