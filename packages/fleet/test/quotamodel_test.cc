/* Quotas of workspaces in the model of many instances. */
#include <gtest/gtest.h>

extern "C" {
#include "fleet/quotamodel.h"
}

namespace {

struct quotamodel_options
Options(unsigned instances, unsigned through, double demand, int fault)
{
    struct quotamodel_options options = {};
    options.seed = 1;
    options.instances = instances;
    options.through = through;
    options.rate_per_s = instances * 0.3;
    options.burst = instances * 0.15;
    options.demand = demand;
    options.fault = static_cast<enum quotamodel_fault>(fault);
    return options;
}

/* Guards against a sum over all instances above the quota, whatever fails. */
TEST(Quotamodel, NoWindowIsAboveItsLimit)
{
    for (unsigned instances : {11U, 74U, 300U, 4600U}) {
        for (int fault = 0; fault < QUOTAMODEL_FAULT_COUNT; fault++) {
            for (unsigned through : {3U, instances}) {
                if (instances == 4600 && through == instances) {
                    continue; /* bench_quota runs it */
                }
                const auto options = Options(instances, through, 7.5, fault);
                struct quotamodel_result result;
                quotamodel_run(&options, &result);
                EXPECT_LE(result.highest_window, 1)
                    << instances << " " << through << " "
                    << quotamodel_fault_name(options.fault);
                /* Of 7.5 times the quota; most faults leave half of it. */
                EXPECT_GT(result.served,
                          fault == QUOTAMODEL_CALM ? 0.125 : 0.03);
            }
        }
    }
}

/* Guards against a burst for each new granter. */
TEST(Quotamodel, MovedGranterHasNoBurst)
{
    for (int fault : {QUOTAMODEL_MOVE, QUOTAMODEL_DIE}) {
        struct quotamodel_options options = Options(74, 74, 7.5, fault);
        options.burst = options.rate_per_s * 6;
        struct quotamodel_result result;
        quotamodel_run(&options, &result);
        EXPECT_LE(result.highest_window, 1) << fault;
    }
}

/* Guards against refusals within the quota, whether its requests come through
 * a few instances or all. */
TEST(Quotamodel, RequestsWithinTheQuotaAreServed)
{
    for (unsigned instances : {11U, 74U, 300U}) {
        for (unsigned through : {3U, instances}) {
            const auto options =
                Options(instances, through, 0.9, QUOTAMODEL_CALM);
            struct quotamodel_result result;
            quotamodel_run(&options, &result);
            EXPECT_EQ(result.served, 1) << instances << " " << through;
        }
    }
}

/* Guards against a call for each request where demand is dense. */
TEST(Quotamodel, DenseDemandTakesFewCalls)
{
    struct quotamodel_options options = Options(74, 3, 0.5, QUOTAMODEL_CALM);
    options.rate_per_s = 3000;
    options.burst = 300;
    struct quotamodel_result result;
    quotamodel_run(&options, &result);
    EXPECT_LE(result.calls_per_s, 3 * 12);
    EXPECT_EQ(result.served, 1);
}

} // namespace
