#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "store/audit.h"
#include "store/storememory.h"
#include "store/storeresolver.h"
}

namespace {

struct Answer {
    int count = 0;
    store_outcome outcome = STORE_UNKNOWN;
    uint64_t txn_id = 0;
};

void
on_commit(void *ctx, const struct store_commit_result *result)
{
    auto *answer = static_cast<Answer *>(ctx);
    answer->count++;
    answer->outcome = result->outcome;
}

class StoreResolve : public ::testing::Test {
  protected:
    explicit StoreResolve(uint64_t seed = 1)
        : runtime(runtime_create_manual(0, nullptr)),
          memory(store_memory_create(runtime, seed)),
          store(store_memory_store(memory))
    {
        const struct store_resolver_options options = {
            100 * US_PER_MS,
            20 * US_PER_SECOND,
        };
        resolver = store_resolver_create(runtime, &store, &options);
    }

    ~StoreResolve() override
    {
        store_memory_destroy(memory);
        store_resolver_destroy(resolver);
        runtime_destroy(runtime);
    }

    struct store_row row(const char *table, const char *name)
    {
        struct store_row result;
        store_tables_read(store_memory_tables(memory), table, name, &result);
        return result;
    }

    /** Writes "r" if it has the version, and a log row named by the id. */
    void commit(uint64_t version, Answer *answer)
    {
        answer->txn_id = next_id++;
        struct store_txn *txn = store_txn_create(answer->txn_id);
        store_txn_expect(txn, "t", "r", version);
        store_txn_put(txn, "t", "r", json_object());
        store_txn_put(txn, "log", std::to_string(answer->txn_id).c_str(),
                      json_object());
        store_resolver_commit(resolver, txn, on_commit, answer);
        store_txn_destroy(txn);
    }

    bool took_effect(const Answer &answer)
    {
        return row("log", std::to_string(answer.txn_id).c_str()).version > 0;
    }

    void set_faults(const struct store_faults &faults)
    {
        store_memory_set_faults(memory, &faults);
    }

    struct runtime *runtime;
    struct store_memory *memory;
    struct store store;
    struct store_resolver *resolver;
    uint64_t next_id = 1;
};

TEST_F(StoreResolve, ResolvesLostAnswerByReadingBack)
{
    struct store_faults faults = {};
    faults.lose_answers_percent = 100;
    set_faults(faults);
    Answer answer;
    commit(0, &answer);
    runtime_advance(runtime, US_PER_MS);
    set_faults({});
    runtime_advance(runtime, US_PER_SECOND);
    EXPECT_EQ(1, answer.count);
    EXPECT_EQ(STORE_COMMITTED, answer.outcome);
    EXPECT_EQ(1U, row("t", "r").version);
}

TEST_F(StoreResolve, ResolvesDelayedWriteByRetrying)
{
    struct store_faults faults = {};
    faults.delay_writes_percent = 100;
    faults.delay_writes_us = 5 * US_PER_SECOND;
    set_faults(faults);
    Answer answer;
    commit(0, &answer);
    runtime_advance(runtime, US_PER_MS);
    set_faults({});
    runtime_advance(runtime, US_PER_SECOND);
    EXPECT_EQ(STORE_COMMITTED, answer.outcome);
    runtime_advance(runtime, 10 * US_PER_SECOND);
    EXPECT_EQ(1U, row("t", "r").version);
}

TEST_F(StoreResolve, DelayedWriteConflictsAfterAnotherCommit)
{
    struct store_faults faults = {};
    faults.delay_writes_percent = 100;
    faults.delay_writes_us = 5 * US_PER_SECOND;
    set_faults(faults);
    Answer delayed;
    commit(0, &delayed);
    runtime_advance(runtime, US_PER_MS);
    set_faults({});
    Answer other;
    commit(0, &other);
    runtime_advance(runtime, 10 * US_PER_SECOND);
    EXPECT_EQ(STORE_COMMITTED, other.outcome);
    EXPECT_EQ(STORE_CONFLICT, delayed.outcome);
    EXPECT_FALSE(took_effect(delayed));
}

TEST_F(StoreResolve, UnknownIfAllWrittenRowsWereOverwritten)
{
    struct store_faults faults = {};
    faults.lose_answers_percent = 100;
    set_faults(faults);
    Answer answer;
    struct store_txn *txn = store_txn_create(77);
    store_txn_expect(txn, "t", "r", 0);
    store_txn_put(txn, "t", "r", json_object());
    store_resolver_commit(resolver, txn, on_commit, &answer);
    store_txn_destroy(txn);
    runtime_advance(runtime, US_PER_MS);
    set_faults({});
    Answer other;
    commit(row("t", "r").version, &other);
    runtime_advance(runtime, US_PER_SECOND);
    EXPECT_EQ(STORE_COMMITTED, other.outcome);
    EXPECT_EQ(1, answer.count);
    EXPECT_EQ(STORE_UNKNOWN, answer.outcome);
}

TEST_F(StoreResolve, TimesOutAsUnknownWhileTheStoreIsDown)
{
    struct store_faults faults = {};
    faults.lose_answers_percent = 100;
    set_faults(faults);
    Answer answer;
    commit(0, &answer);
    runtime_advance(runtime, US_PER_MS);
    faults = {};
    faults.down = true;
    set_faults(faults);
    runtime_advance(runtime, 19 * US_PER_SECOND);
    EXPECT_EQ(0, answer.count);
    runtime_advance(runtime, 2 * US_PER_SECOND);
    EXPECT_EQ(1, answer.count);
    EXPECT_EQ(STORE_UNKNOWN, answer.outcome);
}

/** Several writers race for one row while faults change at random. */
TEST_F(StoreResolve, ReportsNoWrongOutcomeUnderRandomFaults)
{
    struct random_state random;
    random_seed(&random, 20);
    std::vector<std::unique_ptr<Answer>> answers;
    for (int step = 0; step < 4000; step++) {
        if (random_chance(&random, 0.1)) {
            struct store_faults faults = {};
            faults.latency_us = random_range(&random, 0, 200 * US_PER_MS);
            faults.down = random_chance(&random, 0.2);
            faults.lose_answers_percent = random_below(&random, 60);
            faults.delay_writes_percent = random_below(&random, 60);
            faults.delay_writes_us =
                random_range(&random, 0, 8 * US_PER_SECOND);
            set_faults(faults);
        }
        if (random_chance(&random, 0.5)) {
            answers.push_back(std::make_unique<Answer>());
            commit(row("t", "r").version, answers.back().get());
        }
        runtime_advance(runtime, random_range(&random, 0, 300 * US_PER_MS));
    }
    set_faults({});
    runtime_advance(runtime, 60 * US_PER_SECOND);
    size_t committed = 0;
    size_t conflicts = 0;
    size_t unknown = 0;
    for (const auto &answer : answers) {
        ASSERT_EQ(1, answer->count);
        if (answer->outcome == STORE_UNKNOWN) {
            unknown++;
            continue;
        }
        const bool is_committed = answer->outcome == STORE_COMMITTED;
        ASSERT_EQ(is_committed, took_effect(*answer)) << answer->txn_id;
        committed += is_committed;
        conflicts += !is_committed;
    }
    EXPECT_GT(committed, 100U);
    EXPECT_GT(conflicts, 100U);
    EXPECT_LT(unknown, answers.size() / 50);
}

} // namespace
