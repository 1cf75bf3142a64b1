#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/runtime.h"
#include "store/audit.h"
#include "store/storememory.h"
#include "store/storetxn.h"
}

namespace {

struct Answer {
    int commits = 0;
    int reads = 0;
    store_outcome outcome = STORE_UNKNOWN;
    uint64_t version = 0;
    std::string conflict_row;
    std::vector<std::string> rows;
    bool has_more = false;
};

void
on_commit(void *ctx, const struct store_commit_result *result)
{
    auto *answer = static_cast<Answer *>(ctx);
    answer->commits++;
    answer->outcome = result->outcome;
    answer->version = result->version;
    answer->conflict_row = result->row != nullptr ? result->row : "";
}

void
on_read(void *ctx, const struct store_read_result *result)
{
    auto *answer = static_cast<Answer *>(ctx);
    answer->reads++;
    answer->outcome = result->outcome;
    answer->has_more = result->has_more;
    answer->rows.clear();
    for (size_t i = 0; i < result->row_count; i++) {
        const struct store_row &row = result->rows[i];
        answer->rows.push_back(std::string(row.name) +
                               (row.value == nullptr ? "-" : "+"));
    }
}

class StoreMemory : public ::testing::Test {
  protected:
    StoreMemory()
        : runtime(runtime_create_manual(0, nullptr)),
          memory(store_memory_create(runtime, 1)),
          store(store_memory_store(memory))
    {
    }

    ~StoreMemory() override
    {
        store_memory_destroy(memory);
        runtime_destroy(runtime);
    }

    /** Writes {"n": n} to the row of table "t" if it has the version. */
    Answer put(const char *row, uint64_t expected, int n, int64_t wait_us = 0)
    {
        struct store_txn *txn = store_txn_create(next_id++);
        store_txn_expect(txn, "t", row, expected);
        store_txn_put(txn, "t", row, json_pack("{s:i}", "n", n));
        commit(txn, wait_us);
        store_txn_destroy(txn);
        return answer;
    }

    void commit(const struct store_txn *txn, int64_t wait_us = 0)
    {
        answer = Answer();
        store_commit(&store, txn, on_commit, &answer);
        EXPECT_EQ(0, answer.commits);
        runtime_advance(runtime, wait_us);
    }

    struct store_row read_now(const char *row)
    {
        struct store_row result;
        store_tables_read(store_memory_tables(memory), "t", row, &result);
        return result;
    }

    struct runtime *runtime;
    struct store_memory *memory;
    struct store store;
    Answer answer;
    uint64_t next_id = 1;
};

TEST_F(StoreMemory, RejectsStaleVersionsAndNumbersCommits)
{
    EXPECT_EQ(STORE_COMMITTED, put("a", 0, 1).outcome);
    EXPECT_EQ(1U, answer.version);
    EXPECT_EQ(STORE_COMMITTED, put("b", 0, 1).outcome);
    EXPECT_EQ(STORE_CONFLICT, put("a", 0, 2).outcome);
    EXPECT_EQ("a", answer.conflict_row);
    EXPECT_EQ(STORE_COMMITTED, put("a", 1, 3).outcome);
    EXPECT_EQ(3U, read_now("a").version);
    EXPECT_EQ(4U, read_now("a").txn_id);
}

TEST_F(StoreMemory, ScanAppliesOrderPrefixLimitAndSince)
{
    for (const char *row : {"x/2", "x/1", "y/1", "x/3"}) {
        put(row, 0, 1);
    }
    struct store_txn *txn = store_txn_create(99);
    store_txn_delete(txn, "t", "x/1");
    commit(txn);
    store_txn_destroy(txn);
    struct store_scan scan = {};
    scan.table = "t";
    scan.prefix = "x/";
    scan.limit = 1;
    store_scan(&store, &scan, on_read, &answer);
    runtime_advance(runtime, 0);
    EXPECT_EQ((std::vector<std::string>{"x/2+"}), answer.rows);
    EXPECT_TRUE(answer.has_more);
    scan.after = "x/2";
    store_scan(&store, &scan, on_read, &answer);
    runtime_advance(runtime, 0);
    EXPECT_EQ((std::vector<std::string>{"x/3+"}), answer.rows);
    EXPECT_FALSE(answer.has_more);
    scan = {};
    scan.table = "t";
    scan.prefix = "";
    scan.since = 3;
    store_scan(&store, &scan, on_read, &answer);
    runtime_advance(runtime, 0);
    EXPECT_EQ((std::vector<std::string>{"x/1-", "x/3+"}), answer.rows);
}

TEST_F(StoreMemory, InjectsOutagesLostAnswersDelaysAndConflicts)
{
    struct store_faults faults = {};
    faults.latency_us = 10;
    faults.down = true;
    store_memory_set_faults(memory, &faults);
    EXPECT_EQ(0, put("a", 0, 1, 9).commits);
    runtime_advance(runtime, 1);
    EXPECT_EQ(STORE_UNAVAILABLE, answer.outcome);
    EXPECT_EQ(0U, read_now("a").version);

    faults = {};
    faults.lose_answers_percent = 100;
    store_memory_set_faults(memory, &faults);
    EXPECT_EQ(STORE_UNKNOWN, put("a", 0, 1).outcome);
    EXPECT_EQ(1U, read_now("a").version);

    faults = {};
    faults.delay_writes_percent = 100;
    faults.delay_writes_us = 5 * US_PER_SECOND;
    store_memory_set_faults(memory, &faults);
    EXPECT_EQ(STORE_UNKNOWN, put("b", 0, 1).outcome);
    EXPECT_EQ(0U, read_now("b").version);
    runtime_advance(runtime, 5 * US_PER_SECOND);
    EXPECT_EQ(2U, read_now("b").version);

    faults = {};
    faults.conflict_percent = 100;
    store_memory_set_faults(memory, &faults);
    EXPECT_EQ(STORE_CONFLICT, put("c", 0, 1).outcome);
    EXPECT_EQ("c", answer.conflict_row);
}

TEST_F(StoreMemory, AuditRowCommitsWithItsTransaction)
{
    struct store_txn *txn = store_txn_create(0xab);
    struct audit_entry entry = {};
    entry.who = "operator";
    entry.what = "apply";
    entry.subject = "config";
    entry.result = "done";
    entry.at_us = 7;
    audit_add(txn, &entry);
    commit(txn);
    store_txn_destroy(txn);
    struct store_row row;
    store_tables_read(store_memory_tables(memory), AUDIT_TABLE,
                      "00000000000000000007-00000000000000ab", &row);
    ASSERT_NE(nullptr, row.value);
    EXPECT_EQ(5U, json_object_size(row.value));
}

TEST(StoreTxn, JsonRoundTripsAndRejectsInvalidValues)
{
    struct store_txn *txn = store_txn_create(0x1234);
    store_txn_expect(txn, "t", "a", 5);
    store_txn_put(txn, "t", "a", json_object());
    store_txn_delete(txn, "t", "b");
    json_t *document = store_txn_to_json(txn);
    struct error err = {};
    struct store_txn *parsed = store_txn_parse(document, &err);
    ASSERT_NE(nullptr, parsed);
    json_t *round_trip = store_txn_to_json(parsed);
    EXPECT_TRUE(json_equal(document, round_trip));
    json_decref(round_trip);
    store_txn_destroy(parsed);
    json_object_set_new(json_array_get(json_object_get(document, "write"), 1),
                        "value", json_string("not an object"));
    EXPECT_EQ(nullptr, store_txn_parse(document, &err));
    EXPECT_STREQ("/write/1", err.subject);
    json_decref(document);
    store_txn_destroy(txn);
}

} // namespace
