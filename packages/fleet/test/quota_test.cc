/* Quotas of workspaces: the granter's buckets, and the side that asks. */
#include <gtest/gtest.h>

extern "C" {
#include "base/hash.h"
#include "base/timeunits.h"
#include "fleet/quotagrants.h"
#include "fleet/quotahand.h"
}

namespace {

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_SECOND;

struct Grants : testing::Test {
    struct quotagrants *grants = quotagrants_create();
    struct quotagrants_request request = {7, {1, 0}, {10, 5}, 1};

    ~Grants() override
    {
        quotagrants_destroy(grants);
    }

    struct quotagrants_reply Take(unsigned wanted, int64_t now_us)
    {
        request.wanted = wanted;
        return quotagrants_take(grants, &request, now_us);
    }
};

TEST_F(Grants, GrantAtMostBurstAndRate)
{
    EXPECT_EQ(7U, Take(100, 100 * S).granted);
    EXPECT_EQ(0U, Take(1, 100 * S).granted);
    EXPECT_EQ(10U, Take(3, 100 * S + 300 * MS).granted +
                       Take(100, 101 * S).granted);
    EXPECT_EQ(7U, Take(100, 200 * S).granted);
}

/* Guards against a burst for each move of the granter's key. */
TEST_F(Grants, BucketBeginsEmptyWithEachTenure)
{
    EXPECT_EQ(7U, Take(100, 100 * S).granted);
    request.tenure = {2, 200 * S};
    EXPECT_EQ(0U, Take(100, 200 * S).granted);
    EXPECT_EQ(2U, Take(100, 200 * S + 200 * MS).granted);
    request.tenure = {3, 201 * S};
    EXPECT_EQ(0U, Take(100, 201 * S + 50 * MS).granted);
    request.tenure = {3, 202 * S}; /* as if a fence were used again */
    EXPECT_EQ(0U, Take(100, 202 * S).granted);
}

/* Guards against the refusal of a workspace's first request long after its
 * granter began. */
TEST_F(Grants, BucketFillsBeforeItIsAskedFor)
{
    request.tenure = {2, 200 * S};
    EXPECT_EQ(3U, Take(100, 200 * S + 300 * MS).granted);
}

/* Guards against tokens at the new rate for the time before a change, and
 * against tokens beyond a lower burst. */
TEST_F(Grants, ChangedRateCountsFromTheChange)
{
    EXPECT_EQ(7U, Take(100, 100 * S).granted);
    request.limit = {1000, 500};
    EXPECT_EQ(1U, Take(100, 100 * S + 100 * MS).granted);
    EXPECT_EQ(100U, Take(1000, 100 * S + 200 * MS).granted);
    Take(0, 110 * S);
    request.limit = {1, 0};
    EXPECT_EQ(2U, Take(1000, 110 * S).granted);
}

/* Guards against a clock that seems to go back after a pause. */
TEST_F(Grants, EarlierTimeAddsNoTokens)
{
    EXPECT_EQ(7U, Take(100, 100 * S).granted);
    EXPECT_EQ(0U, Take(100, 90 * S).granted);
    EXPECT_EQ(0U, Take(100, 100 * S + 50 * MS).granted);
}

TEST_F(Grants, AskersInVainReturnOneAfterTheOther)
{
    Take(100, 100 * S);
    int64_t last_us = 0;
    for (int i = 0; i < 10; i++) {
        const int64_t wait_us = Take(1, 100 * S).wait_us;
        EXPECT_GE(wait_us, 100 * MS);
        EXPECT_LE(wait_us, 100 * MS + QUOTAGRANTS_RETURN_SPREAD_US);
        EXPECT_GT(wait_us, last_us);
        last_us = wait_us;
    }
}

/* Guards against a table without bound, and against one that forgets buckets
 * that were used up. */
TEST_F(Grants, TableIsBoundedAndKeepsBucketsInUse)
{
    size_t full = 0;
    for (uint64_t i = 0; i < 2 * QUOTAGRANTS_MAX; i++) {
        request.bucket = hash_bytes(&i, sizeof(i), 0);
        full += Take(7, 100 * S).table_full;
    }
    EXPECT_LE(quotagrants_count(grants), size_t{QUOTAGRANTS_MAX});
    EXPECT_GT(full, 0U);
    for (uint64_t i = 0; i < 1000; i++) {
        request.bucket = hash_bytes(&i, sizeof(i), 0);
        EXPECT_EQ(0U, Take(7, 100 * S).granted);
    }
    for (uint64_t i = 3 * QUOTAGRANTS_MAX; i < 4 * QUOTAGRANTS_MAX; i += 17) {
        request.bucket = hash_bytes(&i, sizeof(i), 0);
        EXPECT_FALSE(Take(7, 120 * S).table_full);
    }
}

struct Hand : testing::Test {
    struct quotahand hand;
    unsigned granter = 9;

    Hand()
    {
        quotahand_init(&hand, 1);
    }

    enum quotahand_verdict Take(int64_t now_us)
    {
        return quotahand_take(&hand, now_us, &granter);
    }
};

TEST_F(Hand, AsksThePreferredGranterThenTheOther)
{
    EXPECT_EQ(QUOTAHAND_ASK, Take(S));
    EXPECT_EQ(1U, granter);
    quotahand_record_reply(&hand, 1, 0, 300 * MS, S);
    EXPECT_EQ(QUOTAHAND_ASK, Take(S));
    EXPECT_EQ(0U, granter);
    quotahand_record_reply(&hand, 0, 2, 0, S);
    EXPECT_EQ(QUOTAHAND_SEND, Take(S));
    EXPECT_EQ(QUOTAHAND_SEND, Take(S));
    EXPECT_EQ(QUOTAHAND_ASK, Take(S));
    EXPECT_EQ(0U, granter);
    quotahand_record_reply(&hand, 0, 0, 200 * MS, S);
    EXPECT_EQ(QUOTAHAND_OVER, Take(S));
    EXPECT_EQ(200 * MS, quotahand_wait_us(&hand, S));
    EXPECT_EQ(QUOTAHAND_ASK, Take(S + 200 * MS));
}

/* Guards against tokens that a paused instance spends in a later window. */
TEST_F(Hand, TokensExpireFromTheTimeOfTheCall)
{
    quotahand_record_reply(&hand, 0, 5, 0, S);
    EXPECT_EQ(QUOTAHAND_SEND, Take(S + QUOTAHAND_VALID_US - 1));
    EXPECT_EQ(QUOTAHAND_ASK, Take(S + QUOTAHAND_VALID_US));
}

/* Guards against 429 while a granter that may have tokens can't be asked. */
TEST_F(Hand, UnreachableGranterIsNoProofOfASpentQuota)
{
    quotahand_record_reply(&hand, 1, 0, 300 * MS, S);
    quotahand_record_failure(&hand, 0, S);
    EXPECT_EQ(QUOTAHAND_UNAVAILABLE, Take(S));
    EXPECT_EQ(QUOTAHAND_ASK, Take(S + 100 * MS));
    EXPECT_EQ(0U, granter);
}

/* Guards against a call for each request where demand is dense, and against
 * tokens taken from others where it is not. */
TEST_F(Hand, AsksAheadOnlyWhereDemandIsDense)
{
    for (int i = 0; i < 20; i++) {
        quotahand_record_demand(&hand, i * 3 * S);
        EXPECT_EQ(1U, quotahand_wanted(&hand, 1, i * 3 * S));
    }
    for (int i = 0; i < 3000; i++) {
        quotahand_record_demand(&hand, 100 * S + i * MS);
    }
    const unsigned wanted = quotahand_wanted(&hand, 3, 103 * S);
    EXPECT_GE(wanted, 95U);
    EXPECT_LE(wanted, 105U);
}

TEST_F(Hand, RefusedCallersReturnInTurns)
{
    quotahand_record_reply(&hand, 0, 0, 300 * MS, S);
    quotahand_record_reply(&hand, 1, 0, 400 * MS, S);
    EXPECT_EQ(300 * MS, quotahand_assign_return_us(&hand, 10, S));
    EXPECT_EQ(400 * MS, quotahand_assign_return_us(&hand, 10, S));
    EXPECT_EQ(500 * MS, quotahand_assign_return_us(&hand, 10, S));
}

} // namespace
