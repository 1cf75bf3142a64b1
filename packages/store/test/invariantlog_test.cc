#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/invariant.h"
#define LOG_MODULE "test"
#include "base/log.h"
#include "base/runtime.h"
#include "store/audit.h"
#include "store/invariantlog.h"
#include "store/storememory.h"
}

namespace {

class PromiseLog : public ::testing::Test {
  protected:
    PromiseLog()
        : runtime(runtime_create_manual(0, nullptr)),
          memory(store_memory_create(runtime, 1))
    {
        log_init(stderr, LOG_LEVEL_OFF);
        invariant_reset();
        const struct store store = store_memory_store(memory);
        log = invariantlog_create(runtime, &store, "patrymau-1");
    }

    ~PromiseLog() override
    {
        store_memory_destroy(memory);
        invariantlog_destroy(log);
        runtime_destroy(runtime);
        invariant_reset();
        log_init(stderr, LOG_LEVEL_WARNING);
    }

    /** The audit rows as "WHAT SUBJECT AFTER". */
    std::vector<std::string> rows()
    {
        struct store_row rows[100];
        struct store_scan scan = {};
        scan.table = AUDIT_TABLE;
        bool more;
        const size_t count = store_tables_scan(store_memory_tables(memory),
                                               &scan, rows, 100, &more);
        std::vector<std::string> texts;
        for (size_t i = 0; i < count; i++) {
            char *after = json_dumps(json_object_get(rows[i].value, "after"),
                                     JSON_COMPACT);
            const std::string text =
                std::string(json_string_value(
                    json_object_get(rows[i].value, "what"))) +
                " " +
                json_string_value(json_object_get(rows[i].value, "subject")) +
                " " + after;
            texts.push_back(text.substr(0, 70));
            free(after);
        }
        return texts;
    }

    void set_faults(bool down, unsigned lose_write_answers_percent)
    {
        struct store_faults faults = {};
        faults.down = down;
        faults.lose_write_answers_percent = lose_write_answers_percent;
        store_memory_set_faults(memory, &faults);
    }

    struct runtime *runtime;
    struct store_memory *memory;
    struct invariantlog *log;
};

TEST_F(PromiseLog, WritesViolationsAtMostOncePerSecond)
{
    invariant_check(INVARIANT_LIMIT, false, "first");
    runtime_advance(runtime, 0);
    invariant_check(INVARIANT_LIMIT, false, "second");
    invariant_check(INVARIANT_LIMIT, false, "third\xff");
    invariant_check(INVARIANT_ZONE_OUT, false, "zone");
    runtime_advance(runtime, 2 * US_PER_SECOND);
    EXPECT_EQ((std::vector<std::string>{
                  R"(promise_broken limit {"count":1,"subject":"first"})",
                  R"(promise_broken zone_out {"count":1,"subject":"zone"})",
                  R"(promise_broken limit {"count":2,"subject":"third?"})"}),
              rows());
}

TEST_F(PromiseLog, RetriesAfterOutageAndLostAnswersWithoutDuplicates)
{
    set_faults(true, 0);
    invariant_check(INVARIANT_LIMIT, false, "a");
    runtime_advance(runtime, 5 * US_PER_SECOND);
    EXPECT_TRUE(rows().empty());
    set_faults(false, 100);
    runtime_advance(runtime, 5 * US_PER_SECOND);
    set_faults(false, 0);
    runtime_advance(runtime, 5 * US_PER_SECOND);
    EXPECT_EQ(1U, rows().size());
}

TEST_F(PromiseLog, WritesTotalsOnFinishOrTimesOut)
{
    int written = -1;
    const auto done = [](void *ctx, bool ok) {
        *static_cast<int *>(ctx) = ok;
    };
    invariant_check(INVARIANT_ONE_OWNER, true, "k");
    set_faults(true, 0);
    invariantlog_finish(log, US_PER_SECOND, done, &written);
    runtime_advance(runtime, 2 * US_PER_SECOND);
    EXPECT_EQ(0, written);
    set_faults(false, 0);
    invariantlog_finish(log, US_PER_SECOND, done, &written);
    runtime_advance(runtime, 2 * US_PER_SECOND);
    EXPECT_EQ(1, written);
    ASSERT_EQ(1U, rows().size());
    EXPECT_EQ(0U, rows()[0].find("promises patrymau-1 {\"one_owner\":"
                                 "{\"checks\":1,\"violations\":0}"));
}

} // namespace
