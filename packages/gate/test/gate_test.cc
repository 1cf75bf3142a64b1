#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/invariant.h"
#include "base/log.h"
#include "gate/gate.h"
}

namespace {

constexpr int64_t kMs = 1000;

struct Answer {
    forward_outcome outcome;
    forward_reason reason;
    bool replayed;
    uint32_t retry_after_ms;
    std::string data;
};

/* The test plays the target and the entry. */
class Gate : public testing::Test {
  protected:
    struct Request {
        gate_request gate = {};
        std::string id;
    };

    void SetUp() override
    {
        suspects_ = suspects_create(64);
        admission_ =
            admission_create(&limits_, suspects_, Owns, this, now_us_);
        const dedup_config config = {60000 * kMs, 500 * kMs, 1 << 20, false};
        dedup_ = dedup_create(&config);
        const gate_ops ops = {
            [](void *ctx, gate_request *request) {
                self(ctx)->dispatched_.push_back(request);
            },
            [](void *ctx, gate_request *request) {
                self(ctx)->delegated_.push_back(request);
            },
            [](void *ctx, gate_request *request) {
                self(ctx)->stopped_.push_back(request);
            },
            [](void *ctx, gate_request *request, const gate_answer *answer) {
                self(ctx)->answers_[request] = {
                    answer->outcome, answer->reason, answer->replayed,
                    answer->retry_after_ms,
                    std::string(static_cast<const char *>(answer->data),
                                answer->size)};
            },
            [](void *ctx, gate_request *request) {
                self(ctx)->done_.push_back(request);
            },
        };
        gate_ =
            gate_create(admission_, dedup_, nullptr, suspects_, &ops, this);
        const dedup_time time = {now_us_, 1800000000000};
        dedup_acquire_shard(dedup_, 1, DEDUP_ACQUIRED_NEW, &time);
        admission_set_lease(admission_, now_us_ + 3600000 * kMs);
        invariant_reset();
    }
    void TearDown() override
    {
        for (int i = 0; i < INVARIANT_COUNT; i++) {
            EXPECT_EQ(0, invariant_violations(static_cast<invariant>(i)));
        }
        gate_destroy(gate_);
        dedup_destroy(dedup_);
        admission_destroy(admission_);
        suspects_destroy(suspects_);
    }
    static Gate *self(void *ctx)
    {
        return static_cast<Gate *>(ctx);
    }
    static admission_ownership Owns(void *ctx, uint32_t, uint64_t *epoch)
    {
        *epoch = self(ctx)->epoch_;
        return self(ctx)->ownership_;
    }

    gate_request *Prepare(const std::string &id, bool idempotent = false,
                          uint64_t fingerprint = 0)
    {
        auto request = std::make_unique<Request>();
        request->id = id;
        gate_request *gate = &request->gate;
        gate->id = request->id.c_str();
        gate->body_hash = 1;
        gate->admission.entry.deadline_us = now_us_ + 1000 * kMs;
        gate->admission.entry.idempotent = idempotent;
        gate->admission.keyed = !idempotent;
        gate->admission.shard = 1;
        gate->admission.epoch = request_epoch_;
        gate->admission.fingerprint = fingerprint;
        gate->may_delegate = may_delegate_;
        requests_.push_back(std::move(request));
        return gate;
    }
    gate_request *Arrive(const std::string &id, bool idempotent = false,
                         uint64_t fingerprint = 0)
    {
        gate_request *gate = Prepare(id, idempotent, fingerprint);
        const dedup_time time = {now_us_, 1800000000000 + now_us_ / kMs};
        gate_arrive(gate_, gate, &time);
        return gate;
    }
    void Finish(gate_request *request, gate_result end = GATE_RESULT_ANSWERED)
    {
        gate_finish(gate_, request, end, 200, "ok", 2, now_us_);
    }
    gate_request *SendNext()
    {
        gate_request *request = dispatched_.back();
        dispatched_.pop_back();
        EXPECT_TRUE(gate_begin_send(gate_, request, now_us_));
        return request;
    }
    /* Answers requests until the limit is warm and at least 8. */
    void WarmUp()
    {
        while (limit_phase(admission_limit(admission_)) != LIMIT_WARM ||
               limit_current(admission_limit(admission_), now_us_) < 8) {
            while (dispatched_.size() < 8) {
                const size_t before = dispatched_.size();
                Arrive("", true);
                if (dispatched_.size() == before) {
                    break;
                }
            }
            Advance(5 * kMs);
            while (!dispatched_.empty()) {
                Finish(SendNext());
            }
        }
        answers_.clear();
    }
    void Advance(int64_t us)
    {
        now_us_ += us;
        gate_tick(gate_, now_us_);
    }

    int64_t now_us_ = 1000000;
    limit_config limits_ = {8, 100, 2, 500 * kMs};
    admission_ownership ownership_ = ADMISSION_OWNED;
    uint64_t epoch_ = 5;
    uint64_t request_epoch_ = 5;
    bool may_delegate_ = false;
    struct suspects *suspects_ = nullptr;
    struct admission *admission_ = nullptr;
    struct dedup *dedup_ = nullptr;
    struct gate *gate_ = nullptr;
    std::vector<std::unique_ptr<Request>> requests_;
    std::vector<gate_request *> dispatched_;
    std::vector<gate_request *> delegated_;
    std::vector<gate_request *> stopped_;
    std::vector<gate_request *> done_;
    std::map<gate_request *, Answer> answers_;
};

TEST_F(Gate, RefusesWithoutLeaseOrOwnership)
{
    struct Case {
        forward_reason reason;
        std::function<void()> set;
    };
    const std::vector<Case> cases = {
        {FORWARD_REASON_NOT_OWNER, [&] { ownership_ = ADMISSION_MOVING; }},
        {FORWARD_REASON_NOT_OWNER, [&] { request_epoch_ = 6; }},
        {FORWARD_REASON_NO_LEASE,
         [&] { admission_set_lease(admission_, now_us_); }},
    };
    for (const Case &c : cases) {
        c.set();
        const Answer answer = answers_[Arrive("x")];
        EXPECT_EQ(FORWARD_NOT_RUN, answer.outcome);
        EXPECT_EQ(c.reason, answer.reason);
        ownership_ = ADMISSION_OWNED;
        request_epoch_ = 5;
    }
    EXPECT_TRUE(dispatched_.empty());
    EXPECT_EQ(0U, dedup_count(dedup_));
}

TEST_F(Gate, RecordedRequestRunsWhileItsShardDrains)
{
    gate_request *recorded = Prepare("recorded");
    ownership_ = ADMISSION_DRAINING;
    EXPECT_EQ(FORWARD_REASON_NOT_OWNER, answers_[Arrive("late")].reason);
    gate_on_execution_verdict(gate_, &recorded->insert, EXECUTIONS_RECORDED);
    ASSERT_EQ(1U, dispatched_.size());
    Finish(SendNext());
    EXPECT_EQ(FORWARD_ANSWERED, answers_[recorded].outcome);
}

TEST_F(Gate, LeavingAndZoneOutStopNewRequestsAfterGraceTime)
{
    for (int round = 0; round < 2; round++) {
        const bool leaving = round == 0;
        admission_set_leaving(admission_, leaving, now_us_);
        admission_set_zone_out(admission_, !leaving, now_us_);
        EXPECT_EQ(leaving ? FORWARD_REASON_DRAINING : FORWARD_REASON_ZONE_OUT,
                  answers_[Arrive("", true)].reason);
        Arrive("early" + std::to_string(round));
        ASSERT_EQ(1U, dispatched_.size())
            << "this instance still owns the shard";
        Finish(SendNext());
        Advance(ADMISSION_GRACE_US);
        EXPECT_EQ(FORWARD_NOT_RUN,
                  answers_[Arrive("late" + std::to_string(round))].outcome);
    }
    EXPECT_TRUE(admission_idle(admission_));
}

TEST_F(Gate, LeaseThatEndsBetweenDispatchAndSendMeansNotRun)
{
    gate_request *request = Arrive("a");
    admission_set_lease(admission_, now_us_ + 10 * kMs);
    now_us_ += 20 * kMs; /* the process was paused */
    EXPECT_FALSE(gate_begin_send(gate_, request, now_us_));
    EXPECT_EQ(FORWARD_REASON_NO_LEASE, answers_[request].reason);
    EXPECT_EQ(FORWARD_NOT_RUN, answers_[request].outcome);
}

TEST_F(Gate, ColdStartStaysWithinColdLimitThenWarmsUp)
{
    EXPECT_EQ(1U, limit_current(admission_limit(admission_), now_us_));
    size_t most_dispatched = 0;
    for (int i = 0; i < 80; i++) {
        Arrive("", true);
        Arrive("", true);
        Arrive("", true);
        most_dispatched = std::max(most_dispatched, dispatched_.size());
        Advance(5 * kMs);
        while (!dispatched_.empty()) {
            Finish(SendNext());
        }
    }
    EXPECT_EQ(2U, most_dispatched);
    WarmUp();
    EXPECT_EQ(LIMIT_WARM, limit_phase(admission_limit(admission_)));
}

TEST_F(Gate, SheddingSlowdownStallAndRestartLowerLimit)
{
    struct limit *limit = admission_limit(admission_);
    WarmUp();
    for (int i = 0; i < 5; i++) {
        Arrive("", true);
    }
    Finish(SendNext(), GATE_RESULT_SHED);
    EXPECT_EQ(4U, limit_current(limit, now_us_))
        << "as many as were in flight";
    Finish(SendNext(), GATE_RESULT_SHED);
    Finish(SendNext(), GATE_RESULT_SHED);
    EXPECT_EQ(LIMIT_COLD, limit_phase(limit));
    while (!dispatched_.empty()) {
        Finish(SendNext());
    }
    Advance(6000 * kMs); /* raises the cap set by the shed answer */
    WarmUp();
    for (int i = 0; i < 20 && limit_phase(limit) == LIMIT_WARM; i++) {
        Arrive("", true);
        now_us_ += 50 * kMs;
        Finish(SendNext());
    }
    EXPECT_EQ(LIMIT_DEGRADED, limit_phase(limit)) << "ten times the latency";
    EXPECT_LE(limit_current(limit, now_us_), limits_.cold_limit);
    WarmUp();
    for (int i = 0; i < 8; i++) {
        Arrive("", true);
    }
    for (int i = 0; i < 10; i++) {
        Advance(LIMIT_TICK_US);
    }
    EXPECT_EQ(LIMIT_DEGRADED, limit_phase(limit)) << "no answers";
    while (!dispatched_.empty()) {
        Finish(SendNext());
    }
    WarmUp();
    limit_report_capacity(limit, now_us_, 3);
    EXPECT_EQ(3U, limit_current(limit, now_us_));
    limit_report_capacity(limit, now_us_, 100);
    EXPECT_EQ(8U, limit_current(limit, now_us_))
        << "a report never raises the limit";
    gate_target_crashed(gate_, 1, now_us_);
    EXPECT_EQ(1U, limit_current(limit, now_us_));
}

TEST_F(Gate, ProbesOnlyWithoutTraffic)
{
    struct limit *limit = admission_limit(admission_);
    int probes = 0;
    for (int i = 0; i < 500; i++) {
        Advance(LIMIT_TICK_US);
        probes += limit_probe_due(limit, now_us_);
    }
    EXPECT_EQ(5, probes);
    WarmUp();
    EXPECT_FALSE(limit_probe_due(limit, now_us_));
}

TEST_F(Gate, FullQueueRefusesAndOrdersDisplaceReads)
{
    WarmUp();
    std::vector<gate_request *> reads;
    for (int i = 0; i < 8 + 16; i++) {
        reads.push_back(Arrive("", true));
    }
    EXPECT_EQ(8U, dispatched_.size());
    gate_request *refused = Arrive("", true);
    EXPECT_EQ(FORWARD_REASON_OVERLOADED, answers_[refused].reason);
    EXPECT_GT(answers_[refused].retry_after_ms, 0U);
    EXPECT_LT(answers_[refused].retry_after_ms, 100U);
    gate_request *order = Arrive("order");
    EXPECT_EQ(FORWARD_NOT_RUN, answers_[reads.back()].outcome);
    EXPECT_EQ(0U, answers_.count(order));
    gate_request *first = dispatched_.front();
    dispatched_.erase(dispatched_.begin());
    EXPECT_TRUE(gate_begin_send(gate_, first, now_us_));
    Finish(first);
    EXPECT_EQ(order, dispatched_.back()) << "ahead of queued reads";
    Advance(2000 * kMs);
    EXPECT_EQ(reads.size() + 1, answers_.size() + dispatched_.size() - 1)
        << "requests that miss their deadline are refused";
}

TEST_F(Gate, RetriedOrderWaitsAndGetsReplayedAnswer)
{
    gate_request *first = Arrive("a");
    gate_request *second = Arrive("a");
    SendNext();
    gate_cancel(gate_, first, now_us_); /* its entry is lost */
    EXPECT_TRUE(stopped_.empty()) << "an order that was sent continues";
    Finish(first);
    EXPECT_EQ(0U, answers_.count(first));
    EXPECT_EQ("ok", answers_[second].data);
    EXPECT_TRUE(answers_[second].replayed);
    EXPECT_TRUE(answers_[Arrive("a")].replayed);
}

TEST_F(Gate, ExpiredOrderWithWaitersIsUnknown)
{
    Arrive("", true);
    Arrive("", true);
    gate_request *first = Arrive("order-1");
    EXPECT_EQ(GATE_STATE_QUEUED, first->state);
    gate_request *second = Arrive("order-1");
    EXPECT_EQ(GATE_STATE_WAITING, second->state);
    gate_expire(gate_, first, now_us_);
    EXPECT_EQ(FORWARD_UNKNOWN, answers_[first].outcome);
    while (answers_.count(second) == 0) {
        Finish(SendNext());
    }
    EXPECT_EQ(FORWARD_ANSWERED, answers_[second].outcome);
}

TEST_F(Gate, OrderWithCutAnswerIsUnknownAndNotRunAgain)
{
    gate_request *request = Arrive("a");
    Finish(SendNext(), GATE_RESULT_CUT);
    EXPECT_EQ(FORWARD_UNKNOWN, answers_[request].outcome);
    EXPECT_EQ(FORWARD_REASON_TARGET_CUT, answers_[request].reason);
    EXPECT_EQ(FORWARD_REASON_ID_UNKNOWN, answers_[Arrive("a")].reason);
    gate_request *stopped = Arrive("c");
    Finish(SendNext(), GATE_RESULT_CANCELLED);
    EXPECT_EQ(FORWARD_REASON_CANCELLED, answers_[stopped].reason);
    EXPECT_EQ(FORWARD_UNKNOWN, answers_[stopped].outcome);
    gate_request *unsent = Arrive("b");
    Finish(unsent, GATE_RESULT_CONNECT_FAILED);
    EXPECT_EQ(FORWARD_NOT_RUN, answers_[unsent].outcome);
}

/* The target stops after gate_begin_send() but before the first byte is
 * written. */
TEST_F(Gate, RequestWithoutAnyByteSentIsNotRun)
{
    for (const char *id : {"a", ""}) {
        gate_request *request = Arrive(id, id[0] == '\0');
        Finish(SendNext(), GATE_RESULT_CONNECT_FAILED);
        EXPECT_EQ(FORWARD_NOT_RUN, answers_[request].outcome);
        EXPECT_EQ(FORWARD_REASON_TARGET_CONNECT, answers_[request].reason);
    }
}

TEST_F(Gate, OrderIsDelegatedOnceIfTargetLacksCapacity)
{
    may_delegate_ = true;
    limit_report_capacity(admission_limit(admission_), now_us_, 0);
    Arrive("", true);
    gate_request *order = Arrive("a");
    ASSERT_EQ(1U, delegated_.size());
    gate_request *again = Arrive("a");
    const struct gate_delegated result = {
        FORWARD_ANSWERED, FORWARD_REASON_NONE, 0, 201, "done", 4};
    gate_delegated(gate_, order, &result, now_us_);
    EXPECT_EQ("done", answers_[order].data);
    EXPECT_EQ("done", answers_[again].data);
    EXPECT_EQ("done", answers_[Arrive("a")].data);
    EXPECT_EQ(1U, delegated_.size());
    gate_request *lost = Arrive("b");
    const struct gate_delegated unknown = {
        FORWARD_UNKNOWN, FORWARD_REASON_PEER_LOST, 0, 0, nullptr, 0};
    gate_delegated(gate_, lost, &unknown, now_us_);
    EXPECT_EQ(FORWARD_UNKNOWN, answers_[Arrive("b")].outcome);
}

TEST_F(Gate, CrashingRequestRunsAloneThenIsQuarantined)
{
    WarmUp();
    for (uint64_t fingerprint = 1; fingerprint <= 4; fingerprint++) {
        Arrive("", true, fingerprint);
    }
    gate_set_incarnation(gate_, 100);
    while (!dispatched_.empty()) {
        Finish(SendNext(), GATE_RESULT_CUT);
    }
    EXPECT_EQ(4U, suspects_count(suspects_));
    Advance(1000 * kMs);
    gate_request *other = Arrive("", true, 9);
    gate_request *suspect = Arrive("", true, 1);
    ASSERT_EQ(1U, dispatched_.size()) << "the suspect waits to run alone";
    Finish(SendNext());
    EXPECT_EQ(FORWARD_ANSWERED, answers_[other].outcome);
    ASSERT_EQ(1U, dispatched_.size());
    EXPECT_EQ(suspect, dispatched_.back());
    gate_set_incarnation(gate_, 101);
    Finish(SendNext(), GATE_RESULT_CUT);
    Advance(1000 * kMs);
    EXPECT_EQ(FORWARD_REASON_SUSPECT, answers_[Arrive("", true, 1)].reason);
    EXPECT_EQ(FORWARD_NOT_RUN, answers_[Arrive("", true, 1)].outcome);
    gate_request *innocent = Arrive("", true, 2);
    Finish(SendNext());
    EXPECT_EQ(FORWARD_ANSWERED, answers_[innocent].outcome);
    EXPECT_EQ(SUSPECTS_CLEAR, suspects_get_status(suspects_, now_us_, 2));
    EXPECT_TRUE(suspects_lift(suspects_, 1));
    EXPECT_EQ(SUSPECTS_CLEAR, suspects_get_status(suspects_, now_us_, 1));
}

TEST(Suspects, ImportedItemsMergeAndExpire)
{
    struct suspects *a = suspects_create(8);
    struct suspects *b = suspects_create(8);
    const uint64_t first[] = {1, 2, 3};
    const uint64_t second[] = {3, 4};
    suspects_add_crash(a, 0, 10, first, 3);
    suspects_add_crash(b, 0, 11, second, 2);
    suspects_item items[8];
    size_t count = suspects_export(a, 0, items, 8);
    for (size_t i = 0; i < count; i++) {
        EXPECT_TRUE(suspects_import(b, 0, &items[i]));
        EXPECT_FALSE(suspects_import(b, 0, &items[i])) << "already imported";
    }
    EXPECT_EQ(SUSPECTS_QUARANTINED, suspects_get_status(b, 1, 3))
        << "the only request in both crashes";
    EXPECT_EQ(SUSPECTS_SUSPECT, suspects_get_status(b, 1, 1));
    suspects_item bad = items[0];
    bad.crash_count = 99;
    EXPECT_FALSE(suspects_import(b, 0, &bad));
    suspects_tick(b, SUSPECTS_SUSPICION_US);
    EXPECT_EQ(1U, suspects_count(b));
    suspects_tick(b, SUSPECTS_QUARANTINE_US);
    EXPECT_EQ(0U, suspects_count(b));
    for (uint64_t i = 0; i < 100; i++) {
        suspects_add_crash(a, 0, 100 + i, &i, 1);
    }
    EXPECT_EQ(8U, suspects_count(a)) << "limited to its capacity";
    suspects_destroy(a);
    suspects_destroy(b);
}

} // namespace
