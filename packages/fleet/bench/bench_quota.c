/* Highest window and served share of a workspace's quota, in normal operation
 * and under failures, the calls that it takes, and the time of a decision. */
#include <stdio.h>
#include <time.h>

#include "base/hash.h"
#include "base/timeunits.h"
#include "fleet/quotagrants.h"
#include "fleet/quotahand.h"
#include "fleet/quotamodel.h"

#define DECISIONS 1000000
#define WORKSPACES 1000

static void
print(const struct quotamodel_options *options)
{
    struct quotamodel_result result;
    quotamodel_run(options, &result);
    printf("{\"name\": \"quota_%s\", \"instances\": %u, \"through\": %u, "
           "\"rate_per_s\": %.0f, \"demand\": %.2f, "
           "\"highest_window\": %.3f, \"served\": %.4f, "
           "\"over\": %.4f, \"unknown\": %.4f, \"calls_per_s\": %.1f}\n",
           quotamodel_fault_name(options->fault), options->instances,
           options->through, options->rate_per_s, options->demand,
           result.highest_window, result.served, result.refused_over,
           result.refused_unknown, result.calls_per_s);
}

static double
now_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

/** Time of a request with a token in hand. */
static void
print_hand_time(void)
{
    struct quotahand hand;
    unsigned granter = 0;
    quotahand_init(&hand, 0);
    quotahand_record_reply(&hand, 0, DECISIONS, 0, 0);
    const double begin_ns = now_ns();
    for (int i = 0; i < DECISIONS; i++) {
        quotahand_record_demand(&hand, i / 100);
        quotahand_take(&hand, i / 100, &granter);
    }
    printf("{\"name\": \"quota_hand\", \"ns\": %.1f}\n",
           (now_ns() - begin_ns) / DECISIONS);
}

/** Time of a call at a granter of many workspaces. */
static void
print_grant_time(void)
{
    struct quotagrants *grants = quotagrants_create();
    const double begin_ns = now_ns();
    for (int i = 0; i < DECISIONS; i++) {
        const int workspace = i % WORKSPACES;
        const struct quotagrants_request request = {
            .bucket = hash_bytes(&workspace, sizeof(workspace), 0),
            .limit = {.rate_per_s = 100, .burst = 10},
            .wanted = 1,
        };
        quotagrants_take(grants, &request, US_PER_SECOND + i);
    }
    printf("{\"name\": \"quota_grant\", \"buckets\": %zu, \"ns\": %.1f}\n",
           quotagrants_count(grants), (now_ns() - begin_ns) / DECISIONS);
    quotagrants_destroy(grants);
}

int
main(void)
{
    print_hand_time();
    print_grant_time();
    static const unsigned sizes[] = {11, 74, 300, 4600};
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        for (int fault = 0; fault < QUOTAMODEL_FAULT_COUNT; fault++) {
            struct quotamodel_options options = {
                .seed = 1,
                .instances = sizes[i],
                .through = sizes[i],
                .rate_per_s = sizes[i] * 0.3,
                .burst = sizes[i] * 0.15,
                .demand = 0.95,
                .fault = (enum quotamodel_fault)fault,
            };
            print(&options);
            options.demand = 7.5;
            print(&options);
            options.through = 3;
            print(&options);
            options.demand = 0.95;
            print(&options);
        }
    }
    return 0;
}
