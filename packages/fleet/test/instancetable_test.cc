#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

extern "C" {
#include "base/runtime.h"
#include "fleet/instancechoice.h"
#include "fleet/ratelimit.h"
#include "fleet/retrybudget.h"
}

namespace {

bool
ZoneIsOut(void *ctx, const char *zone)
{
    return *static_cast<std::string *>(ctx) == zone;
}

struct Roster : testing::Test {
    struct instancetable table = {};
    struct random_state random;
    std::string zone_out;

    Roster()
    {
        random_seed(&random, 1);
    }
    ~Roster() override
    {
        instancetable_clear(&table);
    }

    struct instancetable_instance *
    Add(const std::string &name, const std::string &zone,
        enum instancetable_state state = INSTANCETABLE_SERVING,
        uint64_t version = 1, const std::string &given = "")
    {
        const std::string address =
            given.empty() ? "10.0.0." + std::to_string(name[0]) + ":7600"
                          : given;
        struct instancetable_row row = {};
        strncpy(row.instance, name.c_str(), KEYMAP_NAME_MAX);
        strncpy(row.zone, zone.c_str(), KEYMAP_NAME_MAX);
        strncpy(row.service, "s", KEYMAP_NAME_MAX);
        strncpy(row.target, ("t-" + name).c_str(), KEYMAP_NAME_MAX);
        address_parse(address.c_str(), &row.address, nullptr);
        row.slots = 10;
        row.state = state;
        return instancetable_update(&table, &row, version);
    }

    struct instancechoice_criteria Criteria(int64_t now_us = 0)
    {
        struct instancechoice_criteria criteria = {};
        criteria.service = "s";
        criteria.zone = "z1";
        criteria.zone_is_out = ZoneIsOut;
        criteria.ctx = &zone_out;
        criteria.now_us = now_us;
        return criteria;
    }

    struct instancetable_instance *
    Choose(const struct instancechoice_criteria &criteria)
    {
        return instancechoice_pick(&table, &criteria, &random);
    }
};

TEST_F(Roster, ChoosesOnlyServingReachableInstancesOfActiveZones)
{
    struct instancetable_instance *a = Add("a", "z1");
    struct instancetable_instance *b = Add("b", "z2");
    Add("c", "z3", INSTANCETABLE_LEAVING);
    Add("d", "z3", INSTANCETABLE_ABSENT);
    zone_out = "z1";
    EXPECT_EQ(b, Choose(Criteria()));
    zone_out = "";
    instancetable_record_unreachable(b, 0);
    EXPECT_EQ(a, Choose(Criteria()));
    struct instancechoice_criteria criteria = Criteria();
    criteria.excluded[criteria.excluded_count++] = a;
    EXPECT_EQ(nullptr, Choose(criteria));
    criteria.now_us = 10 * US_PER_SECOND;
    EXPECT_EQ(b, Choose(criteria));
}

TEST_F(Roster, PrefersShortestExpectedLatency)
{
    struct instancetable_instance *a = Add("a", "z1");
    struct instancetable_instance *b = Add("b", "z1");
    a->service_us = 100 * US_PER_MS;
    b->service_us = 300 * US_PER_MS;
    EXPECT_EQ(a, Choose(Criteria()));
    instancetable_record_load(a, 0, 60, false);
    EXPECT_EQ(b, Choose(Criteria()));
    instancetable_record_load(a, 0, 0, false);
    for (int i = 0; i < 40; i++) {
        instancetable_record_result(a, 0, 0, true);
    }
    EXPECT_EQ(b, Choose(Criteria()));
}

TEST_F(Roster, RetriesNewAndFormerlySlowInstances)
{
    struct instancetable_instance *a = Add("a", "z1");
    struct instancetable_instance *b = Add("b", "z1");
    a->service_us = 50 * US_PER_MS;
    int chosen = 0;
    for (int i = 0; i < 200; i++) {
        chosen += Choose(Criteria()) == b;
    }
    EXPECT_GT(chosen, 20);
    b->service_us = 2 * US_PER_SECOND;
    EXPECT_EQ(a, Choose(Criteria(0)));
    chosen = 0;
    for (int i = 0; i < 200; i++) {
        chosen += Choose(Criteria(30 * US_PER_SECOND)) == b;
    }
    EXPECT_GT(chosen, 20);
}

TEST_F(Roster, AvoidsUnresponsiveInstance)
{
    struct instancetable_instance *a = Add("a", "z1");
    struct instancetable_instance *b = Add("b", "z2");
    a->service_us = b->service_us = 100 * US_PER_MS;
    instancetable_record_sent(a, 0);
    EXPECT_EQ(a, Choose(Criteria(100 * US_PER_MS)));
    for (int i = 0; i < 50; i++) {
        EXPECT_EQ(b, Choose(Criteria(400 * US_PER_MS)));
    }
    instancetable_record_reached(a, 400 * US_PER_MS);
    instancetable_record_ended(a);
    EXPECT_EQ(a, Choose(Criteria(410 * US_PER_MS)));
}

TEST_F(Roster, IgnoresOlderRows)
{
    struct instancetable_instance *a =
        Add("a", "z1", INSTANCETABLE_LEAVING, 9);
    Add("a", "z1", INSTANCETABLE_SERVING, 8);
    EXPECT_EQ(INSTANCETABLE_LEAVING, a->instance_row.state);
    instancetable_remove(&table, "a");
    EXPECT_EQ(INSTANCETABLE_ABSENT, a->instance_row.state);
}

TEST_F(Roster, ReusedAddressMarksFormerInstanceAbsent)
{
    struct instancetable_instance *a =
        Add("a", "z1", INSTANCETABLE_SERVING, 3, "10.1.1.1:1");
    Add("b", "z1", INSTANCETABLE_SERVING, 5, "10.1.1.1:1");
    EXPECT_EQ(INSTANCETABLE_ABSENT, a->instance_row.state);
    Add("a", "z1", INSTANCETABLE_SERVING, 7, "10.1.1.1:1");
    EXPECT_EQ(INSTANCETABLE_SERVING, a->instance_row.state);
}

TEST_F(Roster, ParsesPrintedRowsAndRefusesInvalidOnes)
{
    struct instancetable_instance *a = Add("a", "z1");
    a->instance_row.crash_suspects[a->instance_row.crash_suspect_count++] =
        0xfeedface12345678U;
    char *text = instancetable_print(&a->instance_row, nullptr, nullptr);
    struct instancetable_row read;
    ASSERT_TRUE(instancetable_parse(&read, "a", text, strlen(text), nullptr));
    EXPECT_STREQ("t-a", read.target);
    EXPECT_EQ(INSTANCETABLE_SERVING, read.state);
    ASSERT_EQ(1U, read.crash_suspect_count);
    EXPECT_EQ(0xfeedface12345678U, read.crash_suspects[0]);
    EXPECT_EQ(1U, instancetable_crash_reporters(&table, 0xfeedface12345678U));
    std::string bad = text;
    for (size_t i = 0; i < bad.size(); i++) {
        std::string changed = bad;
        changed[i] = '\0';
        instancetable_parse(&read, "a", changed.data(), changed.size(),
                            nullptr);
    }
    struct error err = {};
    EXPECT_FALSE(instancetable_parse(&read, "a", "[]", 2, &err));
    EXPECT_EQ(ERROR_DOCUMENT_SYNTAX, err.code);
    /* A name that was cut short would be another one, or no text. */
    EXPECT_FALSE(instancetable_parse(
        &read, std::string(KEYMAP_NAME_MAX + 1, 'a').c_str(), text,
        strlen(text), &err));
    EXPECT_FALSE(
        instancetable_parse(&read, "a\xff", text, strlen(text), &err));
    free(text);
}

/* Guards against: a row whose text isn't UTF-8 ends the process. */
TEST_F(Roster, ReportsARowThatCannotBePrinted)
{
    struct instancetable_instance *a = Add("a", "z1");
    struct error err = {};
    strncpy(a->instance_row.target, "\xff", KEYMAP_NAME_MAX);
    EXPECT_EQ(nullptr, instancetable_print(&a->instance_row, nullptr, &err));
    EXPECT_EQ(ERROR_TEXT_ENCODING, err.code);
}

/* Guards against a row from before a departure that brings the target back. */
TEST_F(Roster, OlderRowsDontUndoADeparture)
{
    struct instancetable_row row = Add("a", "z1")->instance_row;
    struct instancetable_instance *a = instancetable_find(&table, "a");
    const auto update = [&](const char *target, int64_t started_ms,
                            uint64_t version) {
        strncpy(row.target, target, KEYMAP_NAME_MAX);
        row.target_started_ms = started_ms;
        instancetable_update(&table, &row, version);
        return a->instance_row.state;
    };
    EXPECT_EQ(INSTANCETABLE_SERVING, update("t1", 1000, 2));
    instancetable_record_departure(a, "t1", 1000, 5);
    EXPECT_EQ(INSTANCETABLE_LEAVING, a->instance_row.state);
    EXPECT_EQ(INSTANCETABLE_LEAVING, update("t1", 1000, 3));
    EXPECT_EQ(INSTANCETABLE_SERVING, update("t1", 2000, 4))
        << "a new incarnation of that name";
    instancetable_record_departure(a, "t1", 1000, 6);
    EXPECT_EQ(INSTANCETABLE_SERVING, a->instance_row.state);
    instancetable_record_departure(a, "t2", 3000, 7);
    EXPECT_EQ(INSTANCETABLE_LEAVING, a->instance_row.state)
        << "its row doesn't name that incarnation yet";
    EXPECT_EQ(INSTANCETABLE_SERVING, update("t3", 4000, 5));
}

TEST_F(Roster, LimitIsOfOneIncarnationAndCountsWhatIsSent)
{
    struct instancetable_instance *a = Add("a", "z1");
    struct instancenotice *notice = &a->notice;
    instancenotice_set_limit(notice, "t-a", 0, 10, 50 * US_PER_MS, 0);
    EXPECT_EQ(50 * US_PER_MS, instancenotice_wait_us(notice, 0));
    instancetable_record_sent(a, 0);
    EXPECT_EQ(150 * US_PER_MS, instancenotice_wait_us(notice, 0));
    EXPECT_EQ(0, instancenotice_wait_us(notice, US_PER_SECOND));
    Add("a", "z1", INSTANCETABLE_SERVING, 2);
    EXPECT_TRUE(notice->limited);
    instancenotice_set_limit(notice, "t-b", 0, -1, 0, 0);
    EXPECT_EQ(10, notice->per_s) << "a peer may send anything";
    for (int64_t wait_us : {INT64_MAX, INT64_MIN}) {
        instancenotice_set_limit(notice, "t-a", 0, 10, wait_us, US_PER_SECOND);
        EXPECT_EQ(RATELIMIT_INTERVAL_MAX_US,
                  instancenotice_wait_us(notice, US_PER_SECOND));
    }
    instancenotice_set_limit(notice, "t-b", 0, 10, 0, 0);
    Add("a", "z1", INSTANCETABLE_SERVING, 3);
    EXPECT_FALSE(notice->limited);
}

/* Guards against requests that are refused at a target with a rate limit while
 * others have room. */
TEST_F(Roster, TargetsGetAboutTheRateThatTheyTake)
{
    int64_t now_us = 0;
    int sent[2] = {};
    struct instancetable_instance *limited = Add("a", "z1");
    struct instancetable_instance *free = Add("b", "z2");
    instancenotice_set_limit(&limited->notice, "t-a", 0, 10, 0, 0);
    for (int i = 0; i < 1000; i++) {
        now_us += 10 * US_PER_MS;
        struct instancechoice_criteria criteria = Criteria(now_us);
        criteria.objective_us = 400 * US_PER_MS;
        struct instancetable_instance *chosen =
            instancechoice_pick(&table, &criteria, &random);
        sent[chosen == free]++;
        instancetable_record_sent(chosen, now_us);
        instancetable_record_load(chosen, now_us, 1, false);
        instancetable_record_result(chosen, now_us, 100 * US_PER_MS, false);
        instancetable_record_ended(chosen);
    }
    EXPECT_GE(sent[0], 95);
    EXPECT_LE(sent[0], 110);
}

TEST(Budget, LimitsRetriesToShareOfRequests)
{
    struct retrybudget budget;
    retrybudget_init(&budget, 0.1, 3);
    int spent = 0;
    for (int i = 0; i < 1000; i++) {
        retrybudget_deposit(&budget);
        spent += retrybudget_withdraw(&budget);
    }
    EXPECT_LE(spent, 103);
    EXPECT_GE(spent, 99);
}

} // namespace
