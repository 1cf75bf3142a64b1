#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "base/memorybudget.h"
#include "base/random.h"
#include "base/timeunits.h"
}

namespace {

constexpr size_t MIB = 1u << 20;
constexpr size_t KIB = 1u << 10;

/** A holder that notes its eviction. */
struct Holder {
    struct memory_holder base = {}; /* first: cast by Evict() */
    struct memory_budget *budget = nullptr;
    bool evicted = false;
    static void Evict(struct memory_holder *holder)
    {
        Holder *self = reinterpret_cast<Holder *>(holder);
        self->evicted = true;
        memory_budget_release(self->budget, holder);
    }
};

class MemoryBudgetTest : public testing::Test {
  protected:
    MemoryBudgetTest()
    {
        memory_budget_init(&budget_, 160);
    }
    bool Set(Holder &holder, size_t bytes, int64_t now_s, bool evictable)
    {
        holder.budget = &budget_;
        holder.base.evict = evictable ? Holder::Evict : nullptr;
        return memory_budget_set(&budget_, &holder.base, bytes,
                                 now_s * US_PER_SECOND);
    }
    struct memory_budget budget_;
};

/* One body of 64 MiB needs its size twice and must be served at 160 MiB. */
TEST_F(MemoryBudgetTest, OneLongBodyFitsWithItsCopy)
{
    Holder body;
    EXPECT_TRUE(Set(body, 129 * MIB, 0, true));
    EXPECT_LT(budget_.limit_bytes, 144 * MIB);
}

/* The stalled one goes, not the one that has just come. */
TEST_F(MemoryBudgetTest, EvictsWhoHoldsMostForLongest)
{
    Holder stalled, recent, next;
    recent.base.progress_us = 20 * US_PER_SECOND;
    next.base.progress_us = 20 * US_PER_SECOND;
    EXPECT_TRUE(Set(stalled, 60 * MIB, 0, true));
    EXPECT_TRUE(Set(recent, 60 * MIB, 20, true));
    EXPECT_TRUE(Set(next, 40 * MIB, 20, true));
    EXPECT_TRUE(stalled.evicted);
    EXPECT_FALSE(recent.evicted);
    EXPECT_EQ(budget_.held_bytes, 100 * MIB);
}

/* An owner that frees nothing must not hang the process. */
TEST_F(MemoryBudgetTest, EvictionThatFreesNothingEndsTheAttempt)
{
    Holder keeps;
    Holder next;
    EXPECT_TRUE(Set(keeps, 100 * MIB, 0, true));
    keeps.base.evict = [](struct memory_holder *holder) { (void)holder; };
    EXPECT_FALSE(Set(next, 60 * MIB, 10, true));
    EXPECT_EQ(100 * MIB, budget_.held_bytes);
}

/* What runs at a target isn't aborted for a new body. */
TEST_F(MemoryBudgetTest, ProtectedHoldersStay)
{
    Holder running, next;
    EXPECT_TRUE(Set(running, 100 * MIB, 0, false));
    EXPECT_FALSE(Set(next, 40 * MIB, 60, true));
    EXPECT_FALSE(running.evicted);
    EXPECT_EQ(next.base.bytes, 0u);
    EXPECT_EQ(budget_.refusals, 1u);
}

/* Long ones can't use up what small requests need. */
TEST_F(MemoryBudgetTest, SmallHoldersHaveAReserve)
{
    Holder running, small, large;
    EXPECT_TRUE(
        Set(running, budget_.limit_bytes - budget_.reserve_bytes, 0, false));
    EXPECT_FALSE(Set(large, MEMORY_SMALL_BYTES + 1, 1, true));
    EXPECT_TRUE(Set(small, MEMORY_SMALL_BYTES, 1, true));
}

/* A holder that grows again and again is refused when it costs the most. */
TEST_F(MemoryBudgetTest, TheMostCostlyIsRefusedItself)
{
    Holder other, growing;
    EXPECT_TRUE(Set(other, 30 * MIB, 0, true));
    EXPECT_TRUE(Set(growing, 90 * MIB, 0, true));
    EXPECT_FALSE(Set(growing, 120 * MIB, 0, true));
    EXPECT_FALSE(other.evicted);
    EXPECT_EQ(growing.base.bytes, 90 * MIB);
}

/* Random holders: the sum is exact, in bounds, and nothing leaks. */
TEST_F(MemoryBudgetTest, RandomHolders)
{
    struct random_state random;
    random_seed(&random, 1);
    std::vector<Holder> holders(50);
    for (int64_t step = 0; step < 20000; step++) {
        Holder &holder = holders[random_below(&random, holders.size())];
        const bool small = random_chance(&random, 0.5);
        const size_t bytes =
            random_below(&random, small ? 40 * KIB : 20 * MIB);
        const bool evictable = random_chance(&random, 0.7);
        holder.base.purpose = holder.base.bytes == 0
                                  ? static_cast<enum memory_purpose>(
                                        random_below(&random, MEMORY_PURPOSES))
                                  : holder.base.purpose;
        Set(holder, bytes, step, evictable);
        size_t sum = 0;
        for (const Holder &each : holders) {
            sum += each.base.bytes;
        }
        ASSERT_EQ(sum, budget_.held_bytes);
        ASSERT_LE(sum, budget_.limit_bytes);
    }
    for (Holder &holder : holders) {
        memory_budget_release(&budget_, &holder.base);
    }
    EXPECT_EQ(budget_.held_bytes, 0u);
    for (size_t held : budget_.held_by_purpose) {
        EXPECT_EQ(held, 0u);
    }
    EXPECT_TRUE(LIST_EMPTY(&budget_.holders));
}

} // namespace
