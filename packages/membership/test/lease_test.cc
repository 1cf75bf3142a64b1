#include <gtest/gtest.h>

extern "C" {
#include "base/invariant.h"
#define LOG_MODULE "test"
#include "base/log.h"
#include "membership/model.h"
}

namespace {

constexpr uint64_t SEEDS = 2000;

struct Totals {
    int64_t violations = 0;
    int64_t invariant_failures = 0; /**< found by the code's own checks */
    int64_t stuck = 0;
    uint64_t first_violated = 0;
    uint64_t first_stuck = 0;
    int64_t fences = 0;
    int64_t lapses = 0;
    int64_t regains = 0;
    int64_t writes = 0;
};

/** Runs seeds until stop_at of them have a violation. */
Totals
run_seeds(const struct lease_rules &rules, uint64_t seeds, int64_t stop_at)
{
    Totals totals;
    log_init(stderr, LOG_LEVEL_OFF);
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        struct model_config config = model_random_faults(seed);
        config.rules = rules;
        struct model_result result = model_run(&config);
        totals.fences += result.fences;
        totals.lapses += result.lapses;
        totals.regains += result.regains;
        totals.writes += result.writes;
        if (result.violated) {
            totals.first_violated =
                totals.violations == 0 ? seed : totals.first_violated;
            if (++totals.violations == stop_at) {
                break;
            }
        }
        else if (!result.recovered) {
            totals.first_stuck = totals.stuck == 0 ? seed : totals.first_stuck;
            totals.stuck++;
        }
    }
    totals.invariant_failures = invariant_violations(INVARIANT_ONE_OWNER);
    invariant_reset();
    return totals;
}

struct lease_rules
all_rules()
{
    return model_random_faults(1).rules;
}

TEST(LeaseModel, FencedLeaseIsNeverHeld)
{
    Totals totals = run_seeds(all_rules(), SEEDS, 1);
    EXPECT_EQ(0, totals.violations) << "seed " << totals.first_violated;
    EXPECT_EQ(0, totals.invariant_failures);
    EXPECT_EQ(0, totals.stuck) << "seed " << totals.first_stuck;
    EXPECT_GT(totals.fences, static_cast<int64_t>(SEEDS));
    EXPECT_GT(totals.regains, static_cast<int64_t>(SEEDS) / 2);
    EXPECT_GT(totals.writes, static_cast<int64_t>(SEEDS) * 10);
}

/** The same runs detect that a rule is missing. */
void
expect_broken(const struct lease_rules &rules)
{
    Totals totals = run_seeds(rules, SEEDS, 1);
    EXPECT_GT(totals.violations, 0);
    ::testing::Test::RecordProperty("seed",
                                    static_cast<int>(totals.first_violated));
}

TEST(LeaseMutation, CertificatesNotSticky)
{
    struct lease_rules rules = all_rules();
    rules.sticky_certificates = false;
    expect_broken(rules);
}

TEST(LeaseMutation, NoWaitFromFirstSight)
{
    struct lease_rules rules = all_rules();
    rules.wait_from_first_sight = false;
    expect_broken(rules);
}

TEST(LeaseMutation, NoOutgoingGuardians)
{
    struct lease_rules rules = all_rules();
    rules.joint_guardians = false;
    expect_broken(rules);
}

TEST(LeaseMutation, OutgoingCountedAfterConfirm)
{
    struct lease_rules rules = all_rules();
    rules.confirm_ends_outgoing = false;
    expect_broken(rules);
}

TEST(LeaseMutation, NoDriftMargin)
{
    struct lease_rules rules = all_rules();
    rules.drift_margin = false;
    expect_broken(rules);
}

} // namespace
