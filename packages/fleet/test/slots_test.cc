#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "fleet/slots.h"
#include "fleet/worktimes.h"
}

namespace {

constexpr int64_t MS = US_PER_MS;

struct Slots : testing::Test {
    struct slots *slots = slots_create(2);
    std::deque<struct slots_entry> entries;
    ~Slots() override
    {
        slots_destroy(slots);
    }

    struct slots_entry *Entry(unsigned priority, int64_t due_us,
                              int64_t give_up_us)
    {
        entries.push_back({});
        entries.back().priority = priority;
        entries.back().due_us = due_us;
        entries.back().give_up_us = give_up_us;
        return &entries.back();
    }
};

/* Without this a target under overload works only on what is just too late. */
TEST_F(Slots, WhatBecameLateWhileItWaitedGoesBehindWhatIsInTime)
{
    enum slots_verdict verdict;
    slots_set_limit(slots, 1);
    struct slots_entry *running = Entry(1, 900 * MS, 900 * MS);
    struct slots_entry *late = Entry(1, 100 * MS, 900 * MS);
    struct slots_entry *in_time = Entry(1, 300 * MS, 900 * MS);
    struct slots_entry *urgent = Entry(0, 90 * MS, 900 * MS);
    for (struct slots_entry *entry : {running, late, in_time, urgent}) {
        entry->work_us = 50 * MS;
        slots_arrive(slots, entry, 0);
    }
    slots_leave(slots, running, 80 * MS, true);
    for (struct slots_entry *expected : {urgent, in_time, late}) {
        EXPECT_EQ(expected, slots_next(slots, 80 * MS, &verdict));
        EXPECT_EQ(SLOTS_START, verdict);
        slots_leave(slots, expected, 80 * MS, true);
    }
}

TEST(WorkTimes, AreKeptForEachRouteAndForgotten)
{
    struct worktimes times = {};
    EXPECT_EQ(7 * MS, worktimes_usual_us(&times, 1, 7 * MS)) << "not known";
    for (int i = 0; i < 100; i++) {
        worktimes_note(&times, 1, 400 * MS);
        worktimes_note(&times, 2, 40 * MS);
    }
    EXPECT_EQ(400 * MS, worktimes_usual_us(&times, 1, 0));
    EXPECT_EQ(40 * MS, worktimes_usual_us(&times, 2, 0));
    for (int i = 0; i < 100; i++) {
        worktimes_note(&times, 1, 80 * MS);
    }
    EXPECT_NEAR(80 * MS, worktimes_usual_us(&times, 1, 0), 2 * MS);
    worktimes_note(&times, 1 + WORKTIMES_MAX, 5 * MS);
    EXPECT_EQ(7 * MS, worktimes_usual_us(&times, 1, 7 * MS)) << "replaced";
}

TEST_F(Slots, RunsUpToTheLimitThenServesTheUrgentFirst)
{
    enum slots_verdict verdict;
    struct slots_entry *a = Entry(1, 100 * MS, 900 * MS);
    struct slots_entry *b = Entry(1, 100 * MS, 900 * MS);
    EXPECT_EQ(SLOTS_START, slots_arrive(slots, a, 0));
    EXPECT_EQ(SLOTS_START, slots_arrive(slots, b, 0));
    struct slots_entry *late = Entry(1, 300 * MS, 900 * MS);
    struct slots_entry *soon = Entry(1, 200 * MS, 900 * MS);
    struct slots_entry *urgent = Entry(0, 500 * MS, 900 * MS);
    EXPECT_EQ(SLOTS_WAIT, slots_arrive(slots, late, 0));
    EXPECT_EQ(SLOTS_WAIT, slots_arrive(slots, soon, 0));
    EXPECT_EQ(SLOTS_WAIT, slots_arrive(slots, urgent, 0));
    EXPECT_EQ(nullptr, slots_next(slots, 1, &verdict));
    for (struct slots_entry *next : {urgent, soon, late}) {
        slots_leave(slots, a, 50 * MS, true);
        a = slots_next(slots, 50 * MS, &verdict);
        EXPECT_EQ(next, a);
        EXPECT_EQ(SLOTS_START, verdict);
    }
}

TEST_F(Slots, RefusesAtOnceWhatCannotStartInTime)
{
    slots_arrive(slots, Entry(1, 0, 900 * MS), 0);
    slots_arrive(slots, Entry(1, 0, 900 * MS), 0);
    EXPECT_EQ(SLOTS_REFUSE, slots_arrive(slots, Entry(1, 0, 1 * MS), 0));
    EXPECT_GT(slots_wait_us(slots, 0), 0);
}

TEST_F(Slots, RefusesWhatHasWaitedTooLong)
{
    enum slots_verdict verdict;
    slots_arrive(slots, Entry(1, 0, 900 * MS), 0);
    slots_arrive(slots, Entry(1, 0, 900 * MS), 0);
    struct slots_entry *waiting = Entry(1, 0, 200 * MS);
    EXPECT_EQ(SLOTS_WAIT, slots_arrive(slots, waiting, 0));
    EXPECT_EQ(200 * MS, slots_wake_us(slots, 0));
    EXPECT_EQ(waiting, slots_next(slots, 200 * MS, &verdict));
    EXPECT_EQ(SLOTS_REFUSE, verdict);
    EXPECT_EQ(0U, slots_waiting(slots));
}

/** Whatever comes, no second sees more starts than a cold target bears. */
TEST_F(Slots, AColdTargetGetsNoMoreThanItBearsInAnySecond)
{
    struct random_state random;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct slots *cold = slots_create(1000);
        std::vector<int64_t> starts;
        std::deque<struct slots_entry> requests;
        random_seed(&random, seed);
        slots_set_cold(cold, 60 * US_PER_SECOND, 25);
        int64_t now_us = 0;
        while (now_us < 5 * US_PER_SECOND) {
            enum slots_verdict verdict;
            now_us += random_range(&random, 0, 10 * MS);
            requests.push_back({});
            requests.back().give_up_us = now_us + 300 * MS;
            if (slots_arrive(cold, &requests.back(), now_us) == SLOTS_START) {
                starts.push_back(now_us);
            }
            while (slots_next(cold, now_us, &verdict) != nullptr) {
                if (verdict == SLOTS_START) {
                    starts.push_back(now_us);
                }
            }
        }
        for (size_t i = 0; i + 25 < starts.size(); i++) {
            EXPECT_GT(starts[i + 25] - starts[i], US_PER_SECOND);
        }
        EXPECT_GT(starts.size(), 90U);
        slots_destroy(cold);
    }
}

} // namespace
