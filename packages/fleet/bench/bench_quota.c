/* Highest window and served share of a workspace's quota, in normal operation
 * and under failures, and the calls that it takes. */
#include <stdio.h>

#include "fleet/quotamodel.h"

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

int
main(void)
{
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
