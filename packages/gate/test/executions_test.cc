#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "gate/executions.h"
#include "store/storememory.h"
}

namespace {

/* The execution records of one gate; several share a store. */
struct Holder {
    Holder(const struct store *store, random_state *random, std::string name)
        : name_(std::move(name))
    {
        const executions_config config = {"archebion", name_.c_str(), 5000,
                                          60 * US_PER_SECOND};
        executions_ = executions_create(
            &config, store, random,
            [](void *ctx, struct executions_insert *insert,
               executions_verdict verdict) {
                auto *self = static_cast<Holder *>(ctx);
                self->verdicts_[self->ids_[insert]] = verdict;
            },
            this);
    }
    ~Holder()
    {
        executions_destroy(executions_);
    }
    void Insert(const std::string &id, int64_t deadline_us)
    {
        inserts_.push_back(std::make_unique<struct executions_insert>());
        ids_[inserts_.back().get()] = id;
        ::executions_insert(executions_, inserts_.back().get(), 3, id.c_str(),
                            deadline_us);
    }
    std::string name_;
    struct executions *executions_;
    std::vector<std::unique_ptr<struct executions_insert>> inserts_;
    std::map<struct executions_insert *, std::string> ids_;
    std::map<std::string, executions_verdict> verdicts_;
};

class Runs : public testing::Test {
  protected:
    void SetUp() override
    {
        runtime_ = runtime_create_manual(0, nullptr);
        memory_ = store_memory_create(runtime_, 1);
        store_ = store_memory_store(memory_);
        random_seed(&random_, 1);
        faults_.latency_us = 2000;
        store_memory_set_faults(memory_, &faults_);
    }
    void TearDown() override
    {
        store_memory_destroy(memory_);
        runtime_destroy(runtime_);
    }
    void Run(std::vector<Holder *> holders, int64_t duration_us)
    {
        for (int64_t i = 0; i < duration_us; i += 1000) {
            for (Holder *holder : holders) {
                executions_tick(holder->executions_, runtime_now_us(runtime_));
            }
            runtime_advance(runtime_, 1000);
        }
    }

    struct runtime *runtime_ = nullptr;
    struct store_memory *memory_ = nullptr;
    struct store store_ = {};
    store_faults faults_ = {};
    random_state random_ = {};
};

TEST_F(Runs, IdsAreBatchedIntoTransactions)
{
    Holder a(&store_, &random_, "a/1");
    for (int i = 0; i < 1000; i++) {
        a.Insert(std::to_string(i), US_PER_SECOND);
    }
    Run({&a}, 100000);
    EXPECT_EQ(1000U, a.verdicts_.size());
    for (const auto &[id, verdict] : a.verdicts_) {
        EXPECT_EQ(EXECUTIONS_RECORDED, verdict);
        executions_finished(a.executions_, 3, id.c_str(), 201,
                            runtime_now_us(runtime_));
    }
    Run({&a}, 100000);
    EXPECT_EQ(8U, executions_commit_count(a.executions_))
        << "four with inserts, four with marks";
}

TEST_F(Runs, IdRecordedByFormerOwnerIsPresent)
{
    Holder a(&store_, &random_, "a/1");
    Holder b(&store_, &random_, "b/1");
    a.Insert("ran", US_PER_SECOND);
    Run({&a}, 20000);
    b.Insert("ran", US_PER_SECOND);
    b.Insert("new", US_PER_SECOND);
    Run({&a, &b}, 100000);
    EXPECT_EQ(EXECUTIONS_PRESENT, b.verdicts_["ran"]);
    EXPECT_EQ(EXECUTIONS_RECORDED, b.verdicts_["new"]);
}

TEST_F(Runs, UnavailableStoreRefusesInsertsAndKeepsMarks)
{
    Holder a(&store_, &random_, "a/1");
    a.Insert("first", US_PER_SECOND);
    Run({&a}, 20000);
    faults_.down = true;
    store_memory_set_faults(memory_, &faults_);
    executions_finished(a.executions_, 3, "first", 200, 0);
    a.Insert("x", US_PER_SECOND);
    Run({&a}, 50000);
    EXPECT_EQ(EXECUTIONS_REFUSED, a.verdicts_["x"]);
    faults_.down = false;
    store_memory_set_faults(memory_, &faults_);
    const int64_t before = store_memory_counts(memory_).commits;
    Run({&a}, 50000);
    EXPECT_EQ(before + 1, store_memory_counts(memory_).commits);
}

/* The owner changes while the store loses answers and delays writes. An id
 * recorded for two owners would run twice. */
TEST_F(Runs, AtMostOneOwnerRecordsAnId)
{
    std::map<std::string, int> recorded_times;
    size_t recorded = 0;
    for (uint64_t seed = 1; seed <= 30; seed++) {
        faults_.lose_write_answers_percent = 20;
        faults_.delay_writes_percent = 20;
        faults_.delay_writes_us = 50000;
        faults_.conflict_percent = 5;
        store_memory_set_faults(memory_, &faults_);
        const std::string tag = std::to_string(seed) + "/";
        Holder a(&store_, &random_, tag + "a");
        Holder b(&store_, &random_, tag + "b");
        Holder c(&store_, &random_, tag + "c");
        const std::vector<Holder *> all = {&a, &b, &c};
        for (Holder *holder : all) {
            for (int i = 0; i < 20; i++) {
                const int64_t deadline_us =
                    runtime_now_us(runtime_) +
                    random_range(&random_, 5000, 300000);
                holder->Insert(tag + std::to_string(i), deadline_us);
            }
            Run(all, random_range(&random_, 1000, 60000));
        }
        Run(all, 500000);
        for (Holder *holder : all) {
            EXPECT_EQ(20U, holder->verdicts_.size());
            for (const auto &[id, verdict] : holder->verdicts_) {
                recorded_times[id] += verdict == EXECUTIONS_RECORDED;
                recorded += verdict == EXECUTIONS_RECORDED;
            }
        }
    }
    for (const auto &[id, times] : recorded_times) {
        EXPECT_LE(times, 1) << id;
    }
    EXPECT_GT(recorded, 300U);
}

TEST_F(Runs, IdRefusedWithUnknownOutcomeCanBeInsertedAgain)
{
    faults_.lose_write_answers_percent = 100;
    store_memory_set_faults(memory_, &faults_);
    Holder a(&store_, &random_, "a/1");
    a.Insert("x", 20000);
    Run({&a}, 40000);
    EXPECT_EQ(EXECUTIONS_REFUSED, a.verdicts_["x"]);
    faults_.lose_write_answers_percent = 0;
    store_memory_set_faults(memory_, &faults_);
    a.Insert("x", US_PER_SECOND);
    Run({&a}, 40000);
    EXPECT_EQ(EXECUTIONS_RECORDED, a.verdicts_["x"]);
}

} // namespace
