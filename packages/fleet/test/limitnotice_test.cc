#include <gtest/gtest.h>

extern "C" {
#include "base/runtime.h"
#include "fleet/limitnotice.h"
}

namespace {

constexpr int64_t MS = US_PER_MS;
constexpr double NONE = -1;

struct Limitnotice : testing::Test {
    struct limitnotice notice = {};

    enum limitnotice_change Say(enum limitnotice_source source, double per_s,
                                int64_t sent_ms, int64_t now_ms)
    {
        const struct limitnotice_statement statement = {
            source, per_s != NONE, per_s != NONE ? per_s : 0, sent_ms * MS};
        return limitnotice_apply(&notice, &statement, now_ms * MS);
    }

    enum limitnotice_change Answer(double per_s, int64_t sent_ms,
                                   int64_t now_ms)
    {
        return Say(LIMITNOTICE_ANSWER, per_s, sent_ms, now_ms);
    }
};

TEST_F(Limitnotice, BeginsChangesAndEnds)
{
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Answer(NONE, 0, 10));
    EXPECT_TRUE(notice.heard);
    EXPECT_EQ(LIMITNOTICE_BEGAN, Answer(10, 20, 30));
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Answer(10, 25, 40));
    EXPECT_EQ(LIMITNOTICE_CHANGED, Answer(5, 30, 50));
    EXPECT_EQ(LIMITNOTICE_CHANGED, Answer(20, 60, 70));
    EXPECT_EQ(20, notice.per_s);
    EXPECT_EQ(LIMITNOTICE_ENDED, Answer(NONE, 80, 90));
    EXPECT_FALSE(notice.limited);
}

/* Guards against an answer that was delayed, and ends or begins a limit
 * against what the target has said since. */
TEST_F(Limitnotice, AnswersOfOlderSendingsUndoNothing)
{
    Answer(10, 100, 120);
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Answer(NONE, 50, 130));
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Answer(NONE, 110, 140))
        << "it may be older than the answer that named the limit";
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Answer(30, 110, 145));
    EXPECT_EQ(LIMITNOTICE_ENDED, Answer(NONE, 125, 150));
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Answer(10, 124, 160));
    EXPECT_FALSE(notice.limited);
}

TEST_F(Limitnotice, HealthAnswersCountOnceTheyHaveNamedALimit)
{
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Say(LIMITNOTICE_HEALTH, NONE, 0, 5));
    EXPECT_FALSE(notice.heard);
    Answer(0.1, 10, 20);
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Say(LIMITNOTICE_HEALTH, NONE, 30, 40));
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Say(LIMITNOTICE_HEALTH, 0.1, 50, 60));
    EXPECT_EQ(LIMITNOTICE_ENDED, Say(LIMITNOTICE_HEALTH, NONE, 70, 80));
}

/* Guards against a limit that is forgotten with the gate's process. */
TEST_F(Limitnotice, WhatInstancesSayCountsUntilTheTargetSaysIt)
{
    EXPECT_EQ(LIMITNOTICE_BEGAN, Say(LIMITNOTICE_INSTANCE, 10, 0, 10));
    EXPECT_EQ(LIMITNOTICE_CHANGED, Say(LIMITNOTICE_INSTANCE, 5, 0, 20));
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Say(LIMITNOTICE_INSTANCE, 20, 0, 30));
    EXPECT_FALSE(notice.heard);
    EXPECT_EQ(LIMITNOTICE_CHANGED, Answer(30, 15, 40));
    EXPECT_EQ(LIMITNOTICE_UNCHANGED, Say(LIMITNOTICE_INSTANCE, 5, 0, 50));
    EXPECT_EQ(LIMITNOTICE_ENDED, Answer(NONE, 60, 70));
}

} // namespace
