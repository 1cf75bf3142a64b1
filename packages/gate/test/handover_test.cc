#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/hash.h"
#include "base/invariant.h"
#include "base/random.h"
#include "base/runtime.h"
#include "gate/gate.h"
#include "store/storememory.h"
}

namespace {

constexpr uint32_t kShard = 1;
constexpr uint32_t kKey = 0x80000007;

struct Owner;

struct Order {
    gate_request gate = {};
    std::string id;
    Owner *owner = nullptr;
    bool dispatched = false; /* waits at the target for its end */
    bool answered = false;
    forward_outcome outcome = FORWARD_UNKNOWN;
};

Order *
OrderOf(gate_request *request)
{
    return reinterpret_cast<Order *>(request);
}

/* A gate with its execution records; several share a store. The test plays the
 * target and the entry. */
struct Owner {
    Owner(struct runtime *runtime, const struct store *store,
          random_state *random, const std::string &name)
        : runtime_(runtime), name_(name)
    {
        const int64_t now_us = runtime_now_us(runtime);
        const limit_config limits = {100, 100, 100, 0};
        const dedup_config ids = {60 * US_PER_SECOND, US_PER_SECOND, 1 << 20,
                                  true};
        const gate_ops ops = {
            [](void *ctx, gate_request *request) {
                static_cast<Owner *>(ctx)->Dispatch(OrderOf(request));
            },
            nullptr,
            [](void *, gate_request *request) {
                OrderOf(request)->dispatched = false;
            },
            [](void *, gate_request *request, const gate_answer *answer) {
                OrderOf(request)->answered = true;
                OrderOf(request)->outcome = answer->outcome;
            },
            [](void *ctx, gate_request *) {
                static_cast<Owner *>(ctx)->in_progress_--;
            },
        };
        suspects_ = suspects_create(16);
        admission_ = admission_create(&limits, suspects_, Owns, this, now_us);
        dedup_ = dedup_create(&ids);
        gate_ =
            gate_create(admission_, dedup_, nullptr, suspects_, &ops, this);
        const executions_config config = {"archebion", name_.c_str(),
                                          5 * US_PER_MS, 60 * US_PER_SECOND};
        executions_ = executions_create(&config, store, random,
                                        gate_on_execution_verdict, gate_);
        gate_set_executions(gate_, executions_);
        admission_set_lease(admission_, now_us + 36000 * US_PER_SECOND);
    }
    ~Owner()
    {
        executions_destroy(executions_);
        gate_destroy(gate_);
        dedup_destroy(dedup_);
        admission_destroy(admission_);
        suspects_destroy(suspects_);
    }
    static admission_ownership Owns(void *ctx, uint32_t, uint64_t *epoch)
    {
        *epoch = 1;
        return static_cast<Owner *>(ctx)->ownership_;
    }
    [[nodiscard]] dedup_time Time() const
    {
        const int64_t now_us = runtime_now_us(runtime_);
        return {now_us, 1800000000000 + now_us / US_PER_MS};
    }
    void Dispatch(Order *order)
    {
        order->dispatched = true;
        dispatched_.push_back(order);
    }
    void Arrive(Order *order, int64_t timeout_us)
    {
        const dedup_time time = Time();
        gate_request *request = &order->gate;
        order->owner = this;
        request->id = order->id.c_str();
        request->key = kKey;
        request->body_hash = 1;
        request->admission.entry.deadline_us = time.now_us + timeout_us;
        request->admission.keyed = true;
        request->admission.shard = kShard;
        request->admission.fingerprint =
            hash_bytes(order->id.data(), order->id.size(), 0);
        in_progress_++;
        gate_arrive(gate_, request, &time);
    }
    bool Send(Order *order)
    {
        return gate_begin_send(gate_, &order->gate, runtime_now_us(runtime_));
    }
    void Finish(Order *order, gate_result end = GATE_RESULT_ANSWERED)
    {
        gate_finish(gate_, &order->gate, end, 200, "ok", 2,
                    runtime_now_us(runtime_));
    }

    struct runtime *runtime_;
    std::string name_;
    struct suspects *suspects_;
    struct admission *admission_;
    struct dedup *dedup_;
    struct gate *gate_;
    struct executions *executions_;
    admission_ownership ownership_ = ADMISSION_NOT_OWNED;
    int in_progress_ = 0;
    std::vector<Order *> dispatched_;
};

class Handover : public testing::Test {
  protected:
    void SetUp() override
    {
        invariant_reset();
        runtime_ = runtime_create_manual(0, nullptr);
        memory_ = store_memory_create(runtime_, 1);
        store_ = store_memory_store(memory_);
        random_seed(&random_, 1);
        SetFaults({.latency_us = 2000});
        a_ = std::make_unique<Owner>(runtime_, &store_, &random_, "a/1");
        b_ = std::make_unique<Owner>(runtime_, &store_, &random_, "b/1");
        a_->ownership_ = ADMISSION_OWNED;
        const dedup_time time = a_->Time();
        dedup_acquire_shard(a_->dedup_, kShard, DEDUP_ACQUIRED_NEW, &time);
    }
    void TearDown() override
    {
        for (int i = 0; i < INVARIANT_COUNT; i++) {
            EXPECT_EQ(0, invariant_violations(static_cast<invariant>(i)));
        }
        a_.reset();
        b_.reset();
        store_memory_destroy(memory_);
        runtime_destroy(runtime_);
    }
    void SetFaults(const store_faults &faults)
    {
        store_memory_set_faults(memory_, &faults);
    }
    void Run(int64_t duration_us)
    {
        for (int64_t i = 0; i < duration_us; i += US_PER_MS) {
            gate_tick(a_->gate_, runtime_now_us(runtime_));
            gate_tick(b_->gate_, runtime_now_us(runtime_));
            runtime_advance(runtime_, US_PER_MS);
            Expire();
        }
    }
    /* Ends orders at their deadline, as the gate's task does. */
    void Expire()
    {
        const int64_t now_us = runtime_now_us(runtime_);
        for (const auto &order : orders_) {
            if (order->gate.state != GATE_STATE_DONE &&
                now_us >= order->gate.admission.entry.deadline_us) {
                gate_expire(order->owner->gate_, &order->gate, now_us);
            }
        }
    }
    Order *Arrive(Owner *owner, const std::string &id,
                  int64_t timeout_us = US_PER_SECOND)
    {
        auto &order = orders_.emplace_back(std::make_unique<Order>());
        order->id = id;
        owner->Arrive(order.get(), timeout_us);
        return order.get();
    }
    /* Moves the shard as planned: when nothing of it is in progress and all
     * its rows are settled, with the table of ids. */
    void Move(Owner *from, Owner *to)
    {
        from->ownership_ = ADMISSION_DRAINING;
        for (int ms = 0; ms < 10000 && !Drained(from); ms++) {
            Run(US_PER_MS);
        }
        ASSERT_TRUE(Drained(from));
        const int64_t now_us = runtime_now_us(runtime_);
        size_t size = 0;
        void *blob =
            dedup_export(from->dedup_, kShard, 1 << 20, now_us, &size);
        from->ownership_ = ADMISSION_NOT_OWNED;
        dedup_drop_shard(from->dedup_, kShard);
        ASSERT_TRUE(
            dedup_import(to->dedup_, kShard, blob, size, now_us, nullptr));
        to->ownership_ = ADMISSION_OWNED;
        free(blob);
    }
    static bool Drained(const Owner *owner)
    {
        return owner->in_progress_ == 0 &&
               executions_unsettled_count(owner->executions_, kShard) == 0;
    }
    /* The shard is taken from an owner whose lease has ended; its table of ids
     * is lost. It goes on to settle its rows. */
    static void TakeOver(Owner *from, Owner *to)
    {
        from->ownership_ = ADMISSION_NOT_OWNED;
        dedup_drop_shard(from->dedup_, kShard);
        const dedup_time time = to->Time();
        dedup_acquire_shard(to->dedup_, kShard, DEDUP_ACQUIRED_TAKEOVER,
                            &time);
        to->ownership_ = ADMISSION_OWNED;
    }
    /* Sends what was dispatched; the target answers. */
    void Serve(Owner *owner)
    {
        std::vector<Order *> dispatched;
        dispatched.swap(owner->dispatched_);
        for (Order *order : dispatched) {
            if (order->dispatched && owner->Send(order)) {
                runs_[order->id]++;
                owner->Finish(order);
            }
        }
    }

    struct runtime *runtime_ = nullptr;
    struct store_memory *memory_ = nullptr;
    struct store store_ = {};
    random_state random_ = {};
    std::unique_ptr<Owner> a_;
    std::unique_ptr<Owner> b_;
    std::vector<std::unique_ptr<Order>> orders_;
    std::map<std::string, int> runs_;
};

/* Guards against: an order was refused as not run, but the next owner took its
 * row for a run that had begun, and every repeat ended as unknown. */
TEST_F(Handover, OrderRefusedAsNotRunRunsAtTheNextOwner)
{
    const std::map<std::string, std::function<void(Order *)>> refusals = {
        {"cancelled while it is recorded",
         [&](Order *order) {
             Run(US_PER_MS);
             EXPECT_EQ(GATE_STATE_RECORDING, order->gate.state);
             gate_expire(a_->gate_, &order->gate, runtime_now_us(runtime_));
         }},
        {"shed by the target",
         [&](Order *order) {
             Run(20 * US_PER_MS);
             ASSERT_TRUE(a_->Send(order));
             a_->Finish(order, GATE_RESULT_SHED);
         }},
        {"no connection",
         [&](Order *order) {
             Run(20 * US_PER_MS);
             ASSERT_TRUE(a_->Send(order));
             a_->Finish(order, GATE_RESULT_CONNECT_FAILED);
         }},
        {"the lease ends before the first byte",
         [&](Order *order) {
             Run(20 * US_PER_MS);
             const int64_t now_us = runtime_now_us(runtime_);
             admission_set_lease(a_->admission_, now_us);
             EXPECT_FALSE(a_->Send(order));
             admission_set_lease(a_->admission_,
                                 now_us + 36000 * US_PER_SECOND);
         }},
        {"the store's answers are lost until the deadline",
         [&](Order *) {
             SetFaults(
                 {.latency_us = 2000, .lose_write_answers_percent = 100});
             Run(200 * US_PER_MS);
             SetFaults({.latency_us = 2000});
         }},
        {"the write is late",
         [&](Order *) {
             SetFaults({.latency_us = 2000,
                        .delay_writes_percent = 100,
                        .delay_writes_us = 400 * US_PER_MS});
             Run(150 * US_PER_MS);
             SetFaults({.latency_us = 2000});
         }},
    };
    for (const auto &[name, refuse] : refusals) {
        SCOPED_TRACE(name);
        Order *first = Arrive(a_.get(), name, 100 * US_PER_MS);
        refuse(first);
        ASSERT_TRUE(first->answered);
        EXPECT_EQ(FORWARD_NOT_RUN, first->outcome);
        Run(50 * US_PER_MS);
        Move(a_.get(), b_.get());
        Order *second = Arrive(b_.get(), name);
        Run(50 * US_PER_MS);
        Serve(b_.get());
        Run(500 * US_PER_MS);
        EXPECT_TRUE(second->answered);
        EXPECT_EQ(FORWARD_ANSWERED, second->outcome);
        Move(b_.get(), a_.get());
        Order *third = Arrive(a_.get(), name);
        Run(50 * US_PER_MS);
        EXPECT_EQ(FORWARD_ANSWERED, third->outcome) << "replayed";
        a_->dispatched_.clear();
    }
}

/* Guards against: the memory of a cancelled sending lets a gate that lost its
 * table take the row of a later sending, which ran, for one that did not. */
TEST_F(Handover, OrderThatRanAfterACancelledSendingRunsNoMore)
{
    Order *first = Arrive(a_.get(), "order");
    gate_cancel(a_->gate_, &first->gate, runtime_now_us(runtime_));
    Run(20 * US_PER_MS);
    Order *second = Arrive(a_.get(), "order");
    Run(20 * US_PER_MS);
    Serve(a_.get());
    EXPECT_EQ(FORWARD_ANSWERED, second->outcome);
    TakeOver(a_.get(), b_.get());
    TakeOver(b_.get(), a_.get());
    Order *third = Arrive(a_.get(), "order");
    Run(20 * US_PER_MS);
    Serve(a_.get());
    EXPECT_EQ(FORWARD_UNKNOWN, third->outcome);
    EXPECT_EQ(1, runs_["order"]);
}

/* Guards against: a gate that tells the refused caller at once hands the shard
 * over while the store still has the row as begun. */
TEST_F(Handover, RowsAreUnsettledUntilTheyAreReleased)
{
    Order *order = Arrive(a_.get(), "shed");
    EXPECT_EQ(1U, executions_unsettled_count(a_->executions_, kShard));
    Run(20 * US_PER_MS);
    EXPECT_EQ(0U, executions_unsettled_count(a_->executions_, kShard));
    SetFaults({.down = true});
    ASSERT_TRUE(a_->Send(order));
    a_->Finish(order, GATE_RESULT_SHED);
    EXPECT_EQ(FORWARD_NOT_RUN, order->outcome);
    Run(100 * US_PER_MS);
    EXPECT_EQ(1U, executions_unsettled_count(a_->executions_, kShard));
    EXPECT_EQ(1U, executions_unsettled_count(a_->executions_, kKey));
    EXPECT_EQ(0U, executions_unsettled_count(a_->executions_, kShard + 1));
    SetFaults({.latency_us = 2000});
    Run(20 * US_PER_MS);
    EXPECT_EQ(0U, executions_unsettled_count(a_->executions_, kShard));
}

/* Sessions of orders that are refused, cancelled, sent and repeated while the
 * store fails and the shard moves. */
class HandoverSession : public Handover {
  protected:
    void RandomFaults()
    {
        store_faults faults = {.latency_us = 2000};
        if (random_below(&random_, 2) == 0) {
            faults.lose_write_answers_percent = 30;
            faults.delay_writes_percent = 30;
            faults.delay_writes_us = random_range(&random_, 1000, 100000);
            faults.conflict_percent = 5;
        }
        faults.down = random_below(&random_, 8) == 0;
        SetFaults(faults);
    }
    /* Ends an order at the target, or before it gets there. */
    void End(Order *order)
    {
        Owner *owner = order->owner;
        const int64_t now_us = runtime_now_us(runtime_);
        const uint64_t way = random_below(&random_, 6);
        if (way == 0) {
            gate_cancel(owner->gate_, &order->gate, now_us);
            return;
        }
        if (way == 1) {
            admission_set_lease(owner->admission_, now_us);
            EXPECT_FALSE(owner->Send(order));
            admission_set_lease(owner->admission_,
                                now_us + 36000 * US_PER_SECOND);
            return;
        }
        if (!owner->Send(order)) {
            return;
        }
        const std::vector<gate_result> ends = {
            GATE_RESULT_SHED, GATE_RESULT_CONNECT_FAILED, GATE_RESULT_CUT,
            GATE_RESULT_ANSWERED};
        const gate_result end = ends[way - 2];
        runs_[order->id] +=
            end == GATE_RESULT_ANSWERED || end == GATE_RESULT_CUT;
        owner->Finish(order, end);
    }
    void EndSome(Owner *owner)
    {
        std::vector<Order *> dispatched;
        dispatched.swap(owner->dispatched_);
        for (Order *order : dispatched) {
            if (order->gate.state != GATE_STATE_DISPATCHED) {
                continue;
            }
            if (random_below(&random_, 4) == 0) {
                owner->dispatched_.push_back(order);
                continue;
            }
            End(order);
        }
    }
    /* Sends new orders, and some again that this owner has not in progress. */
    void SendSome(Owner *owner, int *next_id)
    {
        for (auto &[id, last] : last_) {
            const bool ended =
                last->gate.state == GATE_STATE_DONE || last->owner != owner;
            if (ended && random_below(&random_, runs_[id] > 0 ? 8 : 2) == 0) {
                last = Arrive(owner, id, RandomTimeout());
            }
        }
        for (uint64_t i = random_below(&random_, 4); i > 0; i--) {
            const std::string id = std::to_string((*next_id)++);
            last_[id] = Arrive(owner, id, RandomTimeout());
        }
    }
    int64_t RandomTimeout()
    {
        return random_range(&random_, 2 * US_PER_MS, 200 * US_PER_MS);
    }
    void MoveAtRandom(Owner **owner, bool planned)
    {
        if (random_below(&random_, 4) != 0) {
            return;
        }
        Owner *to = *owner == a_.get() ? b_.get() : a_.get();
        if (planned) {
            SetFaults({.latency_us = 2000});
            Move(*owner, to);
        }
        else {
            TakeOver(*owner, to);
        }
        *owner = to;
    }
    void RunSteps(Owner **owner, bool planned)
    {
        for (int step = 0; step < 30; step++) {
            RandomFaults();
            SendSome(*owner, &next_id_);
            Run(random_range(&random_, 1, 40) * US_PER_MS);
            EndSome(a_.get());
            EndSome(b_.get());
            MoveAtRandom(owner, planned);
        }
    }
    void Clear()
    {
        SetFaults({.latency_us = 2000});
        Run(US_PER_SECOND);
        last_.clear();
        orders_.clear();
        a_->dispatched_.clear();
        b_->dispatched_.clear();
    }
    bool RepeatAll(Owner *owner)
    {
        bool all = true;
        for (auto &[id, last] : last_) {
            const bool done = last->gate.state == GATE_STATE_DONE;
            if (done && runs_[id] == 0) {
                last = Arrive(owner, id);
            }
            all = all && done && runs_[id] > 0;
        }
        return all;
    }
    /* Repeats until every order has run. */
    void FinishAll(Owner *owner)
    {
        SetFaults({.latency_us = 2000});
        for (int round = 0; round < 1000 && !RepeatAll(owner); round++) {
            Run(20 * US_PER_MS);
            Serve(owner);
        }
        for (const auto &[id, last] : last_) {
            EXPECT_EQ(1, runs_[id]) << id;
        }
    }
    void CheckRuns()
    {
        for (const auto &[id, runs] : runs_) {
            EXPECT_LE(runs, 1) << id;
        }
        for (const auto &order : orders_) {
            if (order->answered && order->outcome == FORWARD_ANSWERED) {
                EXPECT_EQ(1, runs_[order->id]) << order->id;
            }
        }
    }
    void CheckUnknownHaveRun()
    {
        for (const auto &order : orders_) {
            if (order->answered && order->outcome == FORWARD_UNKNOWN) {
                EXPECT_EQ(1, runs_[order->id]) << order->id;
            }
        }
    }

    int next_id_ = 0;
    std::map<std::string, Order *> last_; /* sending of each id */
};

/* Guards against: an order that never ran ends as unknown at any owner of a
 * chain of planned moves, or one that may have run runs again. */
TEST_F(HandoverSession, PlannedMovesMakeNoOrderUnknownThatDidNotRun)
{
    Owner *owner = a_.get();
    for (uint64_t seed = 1; seed <= 200 && !HasFailure(); seed++) {
        SCOPED_TRACE(seed);
        random_seed(&random_, seed);
        RunSteps(&owner, true);
        FinishAll(owner);
        CheckRuns();
        CheckUnknownHaveRun();
        Clear();
    }
    EXPECT_GT(next_id_, 5000);
}

/* Guards against: the late release of a former owner frees a row by which its
 * successor runs the order. */
TEST_F(HandoverSession, OrdersRunOnceAlthoughFormerOwnersReleaseRowsLate)
{
    Owner *owner = a_.get();
    for (uint64_t seed = 1; seed <= 200 && !HasFailure(); seed++) {
        SCOPED_TRACE(seed);
        random_seed(&random_, seed);
        RunSteps(&owner, false);
        CheckRuns();
        Clear();
    }
    EXPECT_GT(next_id_, 5000);
    EXPECT_GT(runs_.size(), 2000U);
}

} // namespace
