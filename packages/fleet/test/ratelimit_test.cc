#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "fleet/ratelimit.h"
#include "fleet/targetqueue.h"
}

namespace {

constexpr int64_t MS = US_PER_MS;
constexpr int64_t SPAN_US = 4 * US_PER_SECOND;

/** The most of the sorted times within any SPAN_US. */
size_t
MostInSpan(const std::vector<int64_t> &times_us)
{
    size_t most = 0;
    for (size_t i = 0; i < times_us.size(); i++) {
        const auto end = std::lower_bound(times_us.begin(), times_us.end(),
                                          times_us[i] + SPAN_US);
        most = std::max(most, static_cast<size_t>(end - times_us.begin()) - i);
    }
    return most;
}

/** Starts for 30 s whatever the limit allows, at random moments. */
std::vector<int64_t>
StartAll(struct ratelimit *limit, struct random_state *random,
         int64_t pause_max_us)
{
    std::vector<int64_t> starts_us;
    for (int64_t now_us = 0; now_us < 30 * US_PER_SECOND;
         now_us += random_range(random, 0, pause_max_us)) {
        if (now_us >= ratelimit_ready_us(limit)) {
            ratelimit_record_start(limit, now_us);
            starts_us.push_back(now_us);
        }
    }
    return starts_us;
}

TEST(Ratelimit, KeepsTheRateInAnySpan)
{
    struct random_state random;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        random_seed(&random, seed);
        const double per_s =
            static_cast<double>(random_range(&random, 5, 4000)) / 10;
        struct ratelimit limit = {};
        ratelimit_set(&limit, per_s, 0);
        const auto starts_us = StartAll(&limit, &random, 2 * MS);
        /* The burst is a quarter of a second. */
        EXPECT_LE(static_cast<double>(MostInSpan(starts_us)), per_s * 4.25 + 1)
            << per_s;
        EXPECT_GE(static_cast<double>(starts_us.size()), per_s * 29 - 1)
            << per_s;
    }
}

/* Guards against a limit that each change begins anew. */
TEST(Ratelimit, KeepsTheRateWhileItChanges)
{
    struct random_state random;
    struct ratelimit limit = {};
    std::vector<int64_t> starts_us;
    random_seed(&random, 1);
    for (int64_t now_us = 0; now_us < 30 * US_PER_SECOND; now_us += MS) {
        ratelimit_set(&limit, now_us / MS % 2 == 0 ? 20 : 19, now_us);
        if (now_us >= ratelimit_ready_us(&limit)) {
            ratelimit_record_start(&limit, now_us);
            starts_us.push_back(now_us);
        }
    }
    EXPECT_LE(MostInSpan(starts_us), 86U);
    ratelimit_set(&limit, 2, 30 * US_PER_SECOND);
    EXPECT_GT(ratelimit_wait_us(&limit, 1, 30 * US_PER_SECOND), 400 * MS);
}

/* Guards against a lower limit that lets nothing start for many intervals, and
 * a higher one that allows more than the burst. */
TEST(Ratelimit, NextStartIsAtMostOneIntervalAfterAChange)
{
    struct ratelimit limit = {};
    ratelimit_set(&limit, 100, 0);
    ratelimit_set(&limit, 0.2, 0);
    EXPECT_LE(ratelimit_ready_us(&limit), 0);
    ratelimit_record_start(&limit, 0);
    EXPECT_EQ(5 * US_PER_SECOND, ratelimit_ready_us(&limit));
    ratelimit_set(&limit, 100, US_PER_SECOND);
    EXPECT_EQ(US_PER_SECOND + 8 * MS, ratelimit_ready_us(&limit));
}

TEST(Ratelimit, NearZeroOneStartInALongTimeRemains)
{
    for (double per_s : {0.0, 1e-300, 0.01}) {
        struct ratelimit limit = {};
        ratelimit_set(&limit, per_s, 0);
        EXPECT_LE(ratelimit_ready_us(&limit), 0);
        ratelimit_record_start(&limit, 0);
        EXPECT_EQ(RATELIMIT_INTERVAL_MAX_US, ratelimit_ready_us(&limit));
    }
}

TEST(Ratelimit, WithoutALimitNothingWaits)
{
    struct ratelimit limit = {};
    ratelimit_record_start(&limit, 5);
    EXPECT_EQ(INT64_MIN, ratelimit_ready_us(&limit));
    EXPECT_EQ(0, ratelimit_wait_us(&limit, 1000, 5));
    EXPECT_TRUE(ratelimit_has_reserve(&limit, 5));
    ratelimit_set(&limit, 1, 5);
    ratelimit_record_start(&limit, 5);
    ratelimit_clear(&limit);
    EXPECT_EQ(INT64_MIN, ratelimit_ready_us(&limit));
}

/* Guards against refused callers who return at the same moment. */
TEST(Ratelimit, RefusedRequestsReturnOneAfterTheOther)
{
    const int64_t now_us = 10 * US_PER_SECOND;
    struct ratelimit limit = {};
    const auto assign = [&](int64_t at_us) {
        return ratelimit_assign_return_us(&limit, 70 * MS, at_us);
    };
    EXPECT_EQ(70 * MS, assign(now_us));
    ratelimit_set(&limit, 10, now_us);
    EXPECT_EQ(70 * MS, assign(now_us));
    EXPECT_EQ(170 * MS, assign(now_us));
    EXPECT_EQ(260 * MS, assign(now_us + 10 * MS));
    for (int i = 0; i < 100; i++) {
        EXPECT_LE(assign(now_us + 10 * MS),
                  70 * MS + RATELIMIT_RETURN_SPREAD_US);
    }
}

struct LimitedQueue : testing::Test {
    struct targetqueue *queue = targetqueue_create(100);
    std::deque<struct targetqueue_request> requests;

    LimitedQueue()
    {
        targetqueue_set_rate(queue, 10, 0);
    }

    ~LimitedQueue() override
    {
        targetqueue_destroy(queue);
    }

    struct targetqueue_request *NewRequest(unsigned priority,
                                           bool repeated = false)
    {
        requests.push_back({});
        requests.back().priority = priority;
        requests.back().repeated = repeated;
        requests.back().objective_deadline_us = 400 * MS;
        requests.back().start_deadline_us = 250 * MS;
        return &requests.back();
    }

    enum targetqueue_verdict Admit(struct targetqueue_request *request)
    {
        return targetqueue_admit(queue, request, 0);
    }
};

TEST_F(LimitedQueue, RefusesAtOnceWhatCannotStartInTime)
{
    EXPECT_EQ(TARGETQUEUE_BOUND_NONE, targetqueue_bound(queue, 0));
    EXPECT_EQ(TARGETQUEUE_START, Admit(NewRequest(1)));
    EXPECT_EQ(TARGETQUEUE_BOUND_RATE, targetqueue_bound(queue, 0));
    EXPECT_EQ(TARGETQUEUE_WAIT, Admit(NewRequest(1)));
    EXPECT_EQ(TARGETQUEUE_WAIT, Admit(NewRequest(1)));
    EXPECT_EQ(TARGETQUEUE_REFUSE, Admit(NewRequest(1)));
    EXPECT_EQ(100 * MS, targetqueue_wakeup_us(queue, 0));
    EXPECT_EQ(300 * MS, targetqueue_expected_wait_us(queue, 0));
}

/* Guards against a less urgent request that is held until its deadline though
 * it can't start in time any more. */
TEST_F(LimitedQueue, UrgentRequestsOvertakeAndTheOvertakenAreRefused)
{
    enum targetqueue_verdict verdict;
    Admit(NewRequest(1));
    Admit(NewRequest(1));
    struct targetqueue_request *overtaken = NewRequest(1);
    overtaken->objective_deadline_us = 410 * MS;
    EXPECT_EQ(TARGETQUEUE_WAIT, Admit(overtaken));
    struct targetqueue_request *urgent = NewRequest(0);
    EXPECT_EQ(TARGETQUEUE_WAIT, Admit(urgent));
    EXPECT_EQ(overtaken, targetqueue_next(queue, 0, &verdict));
    EXPECT_EQ(TARGETQUEUE_REFUSE, verdict);
    EXPECT_EQ(nullptr, targetqueue_next(queue, 99 * MS, &verdict));
    EXPECT_EQ(urgent, targetqueue_next(queue, 100 * MS, &verdict));
    EXPECT_EQ(TARGETQUEUE_START, verdict);
}

/* Guards against late requests that wait while others always overtake them. */
TEST_F(LimitedQueue, LateKeyedRequestsAreRefusedAtOnceUnderSaturation)
{
    for (bool keyed : {false, true}) {
        targetqueue_clear_rate(queue);
        targetqueue_set_rate(queue, 10, 0);
        for (int i = 0; i < 10; i++) {
            NewRequest(1)->keyed = keyed;
            if (Admit(&requests.back()) == TARGETQUEUE_WAIT) {
                targetqueue_release(queue, &requests.back(), 0, false);
            }
        }
        struct targetqueue_request *late = NewRequest(1);
        late->keyed = keyed;
        late->objective_deadline_us = -1;
        EXPECT_EQ(keyed ? TARGETQUEUE_REFUSE : TARGETQUEUE_WAIT, Admit(late));
        struct targetqueue_request *in_time = NewRequest(1);
        in_time->keyed = keyed;
        EXPECT_EQ(TARGETQUEUE_WAIT, Admit(in_time));
        targetqueue_release(queue, in_time, 0, false);
        targetqueue_release(queue, late, 0, false);
    }
}

/* Guards against retries that use up the limit. */
TEST_F(LimitedQueue, RepeatedRequestsTakeOnlyWhatIsLeftOver)
{
    EXPECT_EQ(TARGETQUEUE_REFUSE, Admit(NewRequest(1, true)));
    EXPECT_EQ(TARGETQUEUE_START, Admit(NewRequest(1)));
    struct targetqueue_request *repeated = NewRequest(1, true);
    EXPECT_EQ(TARGETQUEUE_START,
              targetqueue_admit(queue, repeated, 5 * US_PER_SECOND));
}

} // namespace
