#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "fleet/servicetimes.h"
#include "fleet/targetqueue.h"
}

namespace {

constexpr int64_t MS = US_PER_MS;

struct Slots : testing::Test {
    struct targetqueue *queue = targetqueue_create(2);
    std::deque<struct targetqueue_request> new_requests;
    ~Slots() override
    {
        targetqueue_destroy(queue);
    }

    struct targetqueue_request *NewRequest(unsigned priority,
                                           int64_t objective_deadline_us,
                                           int64_t start_deadline_us)
    {
        new_requests.push_back({});
        new_requests.back().priority = priority;
        new_requests.back().objective_deadline_us = objective_deadline_us;
        new_requests.back().start_deadline_us = start_deadline_us;
        return &new_requests.back();
    }
};

/* Otherwise an overloaded target runs only requests that are just too late. */
TEST_F(Slots, QueuesRequestsThatBecameLateBehindThoseInTime)
{
    enum targetqueue_verdict verdict;
    targetqueue_set_limit(queue, 1);
    struct targetqueue_request *running = NewRequest(1, 900 * MS, 900 * MS);
    struct targetqueue_request *late = NewRequest(1, 100 * MS, 900 * MS);
    struct targetqueue_request *in_time = NewRequest(1, 300 * MS, 900 * MS);
    struct targetqueue_request *urgent = NewRequest(0, 90 * MS, 900 * MS);
    for (struct targetqueue_request *entry :
         {running, late, in_time, urgent}) {
        entry->expected_service_us = 50 * MS;
        targetqueue_admit(queue, entry, 0);
    }
    targetqueue_release(queue, running, 80 * MS, true);
    for (struct targetqueue_request *expected : {urgent, in_time, late}) {
        EXPECT_EQ(expected, targetqueue_next(queue, 80 * MS, &verdict));
        EXPECT_EQ(TARGETQUEUE_START, verdict);
        targetqueue_release(queue, expected, 80 * MS, true);
    }
}

/* Guards against: when a target slows down, requests are queued by its former
 * speed and refused only at their latest start. */
TEST_F(Slots, SlowdownIsKnownBeforeTheFirstSlowRequestEnds)
{
    constexpr int64_t WORK_US = 1000 * MS;
    constexpr int64_t LATEST_START_US = 400 * MS;
    constexpr int64_t PROMPT_US = 30 * MS;
    std::vector<std::pair<int64_t, struct targetqueue_request *>> running;
    std::vector<int64_t> waits_us;
    for (int64_t now_us = 0; now_us < 3 * US_PER_SECOND; now_us += 5 * MS) {
        enum targetqueue_verdict verdict;
        while (!running.empty() && running[0].first <= now_us) {
            targetqueue_release(queue, running[0].second, now_us, true);
            running.erase(running.begin());
        }
        struct targetqueue_request *next;
        while ((next = targetqueue_next(queue, now_us, &verdict)) != nullptr) {
            if (verdict == TARGETQUEUE_START) {
                running.emplace_back(now_us + WORK_US, next);
            }
            else {
                waits_us.push_back(now_us + LATEST_START_US -
                                   next->start_deadline_us);
            }
        }
        struct targetqueue_request *request =
            NewRequest(0, now_us + US_PER_SECOND, now_us + LATEST_START_US);
        verdict = targetqueue_admit(queue, request, now_us);
        if (verdict == TARGETQUEUE_START) {
            running.emplace_back(now_us + WORK_US, request);
        }
        else if (verdict == TARGETQUEUE_REFUSE) {
            waits_us.push_back(0);
        }
    }
    const auto prompt =
        std::count_if(waits_us.begin(), waits_us.end(),
                      [](int64_t wait_us) { return wait_us < PROMPT_US; });
    EXPECT_GT(static_cast<double>(prompt),
              0.99 * static_cast<double>(waits_us.size()))
        << prompt << " of " << waits_us.size();
}

/* Guards against: while more urgent requests alone fill the target, none of
 * the others is served; with 0.95 of the slots they leave almost nothing. */
TEST_F(Slots, LessUrgentRequestsGetAShareOfAnOverloadedTarget)
{
    constexpr int64_t WORK_US = 100 * MS; /* of 20 starts a second */
    std::vector<std::pair<int64_t, struct targetqueue_request *>> running;
    int sent[2] = {};
    int served[2] = {};
    struct random_state random;
    random_seed(&random, 3);
    for (int64_t now_us = 0; now_us < 120 * US_PER_SECOND; now_us += 5 * MS) {
        enum targetqueue_verdict verdict;
        for (size_t i = running.size(); i-- > 0;) {
            if (running[i].first <= now_us) {
                targetqueue_release(queue, running[i].second, now_us, true);
                running.erase(running.begin() + static_cast<long>(i));
            }
        }
        struct targetqueue_request *next;
        while ((next = targetqueue_next(queue, now_us, &verdict)) != nullptr) {
            if (verdict == TARGETQUEUE_START) {
                served[next->priority]++;
                running.emplace_back(now_us + WORK_US, next);
            }
        }
        const double draw = random_unit(&random);
        if (draw > (19.0 + 6.5) / 200) {
            continue;
        }
        const unsigned priority = draw < 19.0 / 200 ? 0 : 1;
        struct targetqueue_request *request =
            NewRequest(priority, now_us + 500 * MS, now_us + 400 * MS);
        request->expected_service_us = WORK_US;
        sent[priority]++;
        if (targetqueue_admit(queue, request, now_us) == TARGETQUEUE_START) {
            served[priority]++;
            running.emplace_back(now_us + WORK_US, request);
        }
    }
    EXPECT_GT(served[1], 0.45 * sent[1]) << served[1] << " of " << sent[1];
    EXPECT_GT(served[0], 0.80 * sent[0]) << served[0] << " of " << sent[0];
}

/* Guards against: the ages of requests that have ended count as those of the
 * running ones. */
TEST_F(Slots, LaterSlowdownIsKnownFromTheRunningRequests)
{
    for (const int64_t start_us : {1000 * MS, 1100 * MS}) {
        struct targetqueue_request *a = NewRequest(0, 9000 * MS, 9000 * MS);
        struct targetqueue_request *b = NewRequest(0, 9000 * MS, 9000 * MS);
        ASSERT_EQ(TARGETQUEUE_START, targetqueue_admit(queue, a, start_us));
        ASSERT_EQ(TARGETQUEUE_START, targetqueue_admit(queue, b, start_us));
        if (start_us == 1000 * MS) {
            targetqueue_release(queue, a, 1100 * MS, true);
            targetqueue_release(queue, b, 1100 * MS, true);
        }
    }
    EXPECT_EQ(TARGETQUEUE_REFUSE,
              targetqueue_admit(queue, NewRequest(0, 9000 * MS, 2500 * MS),
                                2100 * MS));
}

/* Guards against: a less urgent request is refused on arrival for more urgent
 * ones that will not all start before it. */
TEST_F(Slots, AdmissionCountsOnTheShareOfLessUrgentRequests)
{
    targetqueue_set_limit(queue, 1);
    for (int i = 0; i < 11; i++) {
        targetqueue_admit(queue, NewRequest(0, 9000 * MS, 9000 * MS), 0);
    }
    EXPECT_EQ(TARGETQUEUE_WAIT,
              targetqueue_admit(queue, NewRequest(1, 9000 * MS, 700 * MS), 0));
}

TEST(WorkTimes, KeepsMeanPerRouteAndAdapts)
{
    struct servicetimes times = {};
    EXPECT_EQ(7 * MS, servicetimes_mean_us(&times, 1, 7 * MS)) << "unknown";
    for (int i = 0; i < 100; i++) {
        servicetimes_record(&times, 1, 400 * MS);
        servicetimes_record(&times, 2, 40 * MS);
    }
    EXPECT_EQ(400 * MS, servicetimes_mean_us(&times, 1, 0));
    EXPECT_EQ(40 * MS, servicetimes_mean_us(&times, 2, 0));
    for (int i = 0; i < 100; i++) {
        servicetimes_record(&times, 1, 80 * MS);
    }
    EXPECT_NEAR(80 * MS, servicetimes_mean_us(&times, 1, 0), 2 * MS);
    servicetimes_record(&times, 1 + SERVICETIMES_ROUTES_MAX, 5 * MS);
    EXPECT_EQ(7 * MS, servicetimes_mean_us(&times, 1, 7 * MS)) << "replaced";
}

TEST_F(Slots, RunsUpToLimitThenByPriorityAndDeadline)
{
    enum targetqueue_verdict verdict;
    struct targetqueue_request *a = NewRequest(1, 100 * MS, 900 * MS);
    struct targetqueue_request *b = NewRequest(1, 100 * MS, 900 * MS);
    EXPECT_EQ(TARGETQUEUE_START, targetqueue_admit(queue, a, 0));
    EXPECT_EQ(TARGETQUEUE_START, targetqueue_admit(queue, b, 0));
    struct targetqueue_request *late = NewRequest(1, 300 * MS, 900 * MS);
    struct targetqueue_request *soon = NewRequest(1, 200 * MS, 900 * MS);
    struct targetqueue_request *urgent = NewRequest(0, 500 * MS, 900 * MS);
    EXPECT_EQ(TARGETQUEUE_WAIT, targetqueue_admit(queue, late, 0));
    EXPECT_EQ(TARGETQUEUE_WAIT, targetqueue_admit(queue, soon, 0));
    EXPECT_EQ(TARGETQUEUE_WAIT, targetqueue_admit(queue, urgent, 0));
    EXPECT_EQ(nullptr, targetqueue_next(queue, 1, &verdict));
    for (struct targetqueue_request *next : {urgent, soon, late}) {
        targetqueue_release(queue, a, 50 * MS, true);
        a = targetqueue_next(queue, 50 * MS, &verdict);
        EXPECT_EQ(next, a);
        EXPECT_EQ(TARGETQUEUE_START, verdict);
    }
}

TEST_F(Slots, RefusesRequestThatCannotStartInTime)
{
    targetqueue_admit(queue, NewRequest(1, 0, 900 * MS), 0);
    targetqueue_admit(queue, NewRequest(1, 0, 900 * MS), 0);
    EXPECT_EQ(TARGETQUEUE_REFUSE,
              targetqueue_admit(queue, NewRequest(1, 0, 1 * MS), 0));
    EXPECT_GT(targetqueue_expected_wait_us(queue, 0), 0);
}

TEST_F(Slots, RefusesRequestAfterItsLatestStart)
{
    enum targetqueue_verdict verdict;
    targetqueue_admit(queue, NewRequest(1, 0, 900 * MS), 0);
    targetqueue_admit(queue, NewRequest(1, 0, 900 * MS), 0);
    struct targetqueue_request *waiting = NewRequest(1, 0, 200 * MS);
    EXPECT_EQ(TARGETQUEUE_WAIT, targetqueue_admit(queue, waiting, 0));
    EXPECT_EQ(200 * MS, targetqueue_wakeup_us(queue, 0));
    EXPECT_EQ(waiting, targetqueue_next(queue, 200 * MS, &verdict));
    EXPECT_EQ(TARGETQUEUE_REFUSE, verdict);
    EXPECT_EQ(0U, targetqueue_waiting(queue));
}

TEST_F(Slots, LimitsStartsOfColdTargetInAnySecond)
{
    struct random_state random;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct targetqueue *cold = targetqueue_create(1000);
        std::vector<int64_t> starts;
        std::deque<struct targetqueue_request> requests;
        random_seed(&random, seed);
        targetqueue_set_cold(cold, 60 * US_PER_SECOND, 25);
        int64_t now_us = 0;
        while (now_us < 5 * US_PER_SECOND) {
            enum targetqueue_verdict verdict;
            now_us += random_range(&random, 0, 10 * MS);
            requests.push_back({});
            requests.back().start_deadline_us = now_us + 300 * MS;
            if (targetqueue_admit(cold, &requests.back(), now_us) ==
                TARGETQUEUE_START) {
                starts.push_back(now_us);
            }
            while (targetqueue_next(cold, now_us, &verdict) != nullptr) {
                if (verdict == TARGETQUEUE_START) {
                    starts.push_back(now_us);
                }
            }
        }
        for (size_t i = 0; i + 25 < starts.size(); i++) {
            EXPECT_GT(starts[i + 25] - starts[i], US_PER_SECOND);
        }
        EXPECT_GT(starts.size(), 90U);
        targetqueue_destroy(cold);
    }
}

} // namespace
