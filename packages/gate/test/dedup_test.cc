#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/invariant.h"
#include "base/log.h"
#include "base/random.h"
#include "gate/dedup.h"
}

namespace {

constexpr int64_t kSecond = 1000000;
constexpr int64_t kWall = 1800000000000;

class Dedup : public testing::Test {
  protected:
    void SetUp() override
    {
        table_ = dedup_create(&config_);
        dedup_acquire_shard(table_, 1, DEDUP_ACQUIRED_NEW, &time_);
    }
    void TearDown() override
    {
        dedup_destroy(table_);
    }

    void Advance(int64_t us)
    {
        time_.now_us += us;
        time_.wall_ms += us / 1000;
        dedup_tick(table_, time_.now_us);
    }
    dedup_result Begin(const std::string &id, uint64_t body = 7,
                       dedup_waiter *waiter = nullptr)
    {
        const dedup_request request = {1, 9, id.c_str(), body};
        return dedup_begin(table_, &request, waiter ? waiter : &waiter_,
                           &time_);
    }
    void Finish(dedup_entry *entry, const std::string &answer)
    {
        TAILQ_INIT(&waiters_);
        dedup_finish(table_, entry, answer.data(), answer.size(), time_.now_us,
                     &waiters_);
    }
    std::string IdCreatedAgo(int64_t ago_ms)
    {
        return std::to_string(time_.wall_ms - ago_ms) + "-x";
    }

    dedup_config config_ = {60 * kSecond, kSecond, 1 << 20, false};
    dedup_time time_ = {100 * kSecond, kWall};
    struct dedup *table_ = nullptr;
    dedup_waiter waiter_ = {};
    dedup_waiters waiters_ = {};
};

TEST_F(Dedup, DuplicatesGetAnswerOfOnlyExecution)
{
    const dedup_result first = Begin("a");
    ASSERT_EQ(DEDUP_RUN, first.verdict);
    EXPECT_TRUE(dedup_mark_dispatched(first.entry));
    dedup_waiter second = {};
    EXPECT_EQ(DEDUP_WAIT, Begin("a", 7, &second).verdict);
    EXPECT_EQ(DEDUP_ID_REUSED, Begin("a", 8).verdict);
    Finish(first.entry, "whole answer");
    EXPECT_EQ(&second, TAILQ_FIRST(&waiters_));
    const dedup_result again = Begin("a");
    ASSERT_EQ(DEDUP_REPLAY, again.verdict);
    EXPECT_EQ("whole answer",
              std::string(static_cast<const char *>(again.answer),
                          again.answer_size));
}

TEST_F(Dedup, SecondDispatchOfIdViolatesInvariant)
{
    log_init(stderr, LOG_LEVEL_OFF);
    invariant_reset();
    dedup_entry *entry = Begin("a").entry;
    EXPECT_TRUE(dedup_mark_dispatched(entry));
    EXPECT_FALSE(dedup_mark_dispatched(entry));
    EXPECT_EQ(1, invariant_violations(INVARIANT_AT_MOST_ONCE));
    invariant_reset();
    log_init(stderr, LOG_LEVEL_WARNING);
}

TEST_F(Dedup, UnknownIdNeverRunsAgainAndRefusedIdMay)
{
    dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
    dedup_finish_unknown(table_, Begin("a").entry, time_.now_us, &waiters);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin("a").verdict);
    dedup_finish_not_run(table_, Begin("b").entry, &waiters);
    EXPECT_EQ(DEDUP_RUN, Begin("b").verdict);
}

TEST_F(Dedup, IdWithCreationTimeDoesNotRunAfterRetention)
{
    const std::string id = IdCreatedAgo(0);
    Finish(Begin(id).entry, "x");
    Finish(Begin("opaque").entry, "x");
    Advance(59 * kSecond);
    EXPECT_EQ(DEDUP_REPLAY, Begin(id).verdict);
    Advance(2 * kSecond);
    EXPECT_EQ(0U, dedup_count(table_));
    EXPECT_EQ(DEDUP_UNKNOWN, Begin(id).verdict);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin(IdCreatedAgo(-2000)).verdict)
        << "created in the future";
    EXPECT_EQ(DEDUP_RUN, Begin("opaque").verdict)
        << "no creation time: documented limitation";
}

TEST_F(Dedup, FullTableRefusesNewIdsAndKeepsOldOnes)
{
    std::vector<std::string> ids;
    dedup_result result;
    for (int i = 0;; i++) {
        result = Begin("id" + std::to_string(i));
        if (result.verdict != DEDUP_RUN) {
            break;
        }
        Finish(result.entry, std::string(2000, 'x'));
        ids.push_back("id" + std::to_string(i));
    }
    EXPECT_EQ(DEDUP_FULL, result.verdict);
    EXPECT_EQ(60001U, result.retry_after_ms);
    EXPECT_LE(dedup_bytes(table_), config_.bytes_max);
    for (const std::string &id : ids) {
        ASSERT_EQ(DEDUP_REPLAY, Begin(id).verdict);
    }
    Advance(60 * kSecond);
    EXPECT_EQ(DEDUP_RUN, Begin("later").verdict);
}

TEST_F(Dedup, TooLargeAnswerIsUnknownInsteadOfTruncated)
{
    Finish(Begin("a").entry, std::string(2 << 20, 'x'));
    EXPECT_EQ(DEDUP_UNKNOWN, Begin("a").verdict);
}

TEST_F(Dedup, OnlyIdsCreatedAfterTakeoverRun)
{
    const std::string before = IdCreatedAgo(10);
    dedup_acquire_shard(table_, 1, DEDUP_ACQUIRED_TAKEOVER, &time_);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin(before).verdict);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin("opaque").verdict);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin(IdCreatedAgo(0)).verdict);
    Advance(2 * kSecond);
    EXPECT_EQ(DEDUP_RUN, Begin(IdCreatedAgo(0)).verdict);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin("opaque").verdict);
    Advance(60 * kSecond);
    EXPECT_EQ(DEDUP_RUN, Begin("opaque").verdict);
    const dedup_request unknown = {5, 9, "other", 7};
    EXPECT_EQ(DEDUP_UNKNOWN,
              dedup_begin(table_, &unknown, &waiter_, &time_).verdict)
        << "shard was never acquired";
}

TEST_F(Dedup, ImportRestoresIdsAnswersAndCutoff)
{
    dedup_acquire_shard(table_, 1, DEDUP_ACQUIRED_TAKEOVER, &time_);
    Advance(2 * kSecond);
    const std::string done = IdCreatedAgo(0);
    const std::string running = IdCreatedAgo(1);
    Finish(Begin(done).entry, "answer");
    EXPECT_EQ(DEDUP_RUN, Begin(running).verdict);
    EXPECT_EQ(1U, dedup_running_count(table_, 1));
    size_t size = 0;
    auto *blob = static_cast<char *>(
        dedup_export(table_, 1, 1 << 20, time_.now_us, &size));
    ASSERT_NE(nullptr, blob);
    struct dedup *next = dedup_create(&config_);
    error err = {};
    for (size_t i = 0; i < size; i++) {
        blob[i] ^= 0x20;
        ASSERT_FALSE(dedup_import(next, 1, blob, size, time_.now_us, &err));
        blob[i] ^= 0x20;
        ASSERT_FALSE(dedup_import(next, 1, blob, i, time_.now_us, &err));
    }
    EXPECT_EQ(ERROR_HANDOVER, err.code);
    EXPECT_FALSE(dedup_import(next, 2, blob, size, time_.now_us, &err));
    ASSERT_TRUE(dedup_import(next, 1, blob, size, time_.now_us, &err));
    free(blob);
    dedup_destroy(table_);
    table_ = next;
    EXPECT_EQ(DEDUP_REPLAY, Begin(done).verdict);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin(running).verdict);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin("opaque").verdict)
        << "cutoff is imported too";
    Advance(59 * kSecond);
    EXPECT_EQ(DEDUP_REPLAY, Begin(done).verdict);
    Advance(kSecond);
    EXPECT_EQ(0U, dedup_count(table_)) << "retention does not restart";
}

TEST_F(Dedup, TooLargeExportOmitsAnswersButNotIds)
{
    Finish(Begin("a").entry, std::string(10000, 'x'));
    size_t size = 0;
    void *blob = dedup_export(table_, 1, 1000, time_.now_us, &size);
    ASSERT_NE(nullptr, blob);
    dedup_drop_shard(table_, 1);
    ASSERT_TRUE(dedup_import(table_, 1, blob, size, time_.now_us, nullptr));
    free(blob);
    EXPECT_EQ(DEDUP_UNKNOWN, Begin("a").verdict);
    EXPECT_EQ(nullptr, dedup_export(table_, 1, 50, time_.now_us, &size));
}

TEST_F(Dedup, SplitAndMergeOfKeyKeepItsIds)
{
    Finish(Begin("a").entry, "x");
    dedup_split_key(table_, 1, 9);
    size_t size = 0;
    free(dedup_export(table_, 9, 1 << 20, time_.now_us, &size));
    EXPECT_GT(size, 60U);
    const dedup_request request = {9, 9, "a", 7};
    EXPECT_EQ(DEDUP_REPLAY,
              dedup_begin(table_, &request, &waiter_, &time_).verdict);
    dedup_merge_key(table_, 1, 9);
    EXPECT_EQ(DEDUP_REPLAY, Begin("a").verdict);
}

} // namespace
