/* Shares of requests in time and within their zone, waits and uneven load,
 * beside the bound: one queue for all targets. */
#include <stdio.h>

#include "base/runtime.h"
#include "fleet/choicemodel.h"

static void
print(const char *name, const struct choicemodel_options *options)
{
    struct choicemodel_result result;
    choicemodel_run(options, &result);
    printf("{\"name\": \"choice_%s\", \"in_objective\": %.4f, "
           "\"in_zone\": %.4f, \"p99_ms\": %.0f, \"wait_mean_ms\": %.2f, "
           "\"wait_p99_ms\": %.0f, \"uneven\": %.3f, "
           "\"queued_targets\": %.4f}\n",
           name, result.in_objective, result.in_zone, result.p99_ms,
           result.wait_mean_ms, result.wait_p99_ms, result.uneven,
           result.queued_targets);
}

static void
print_fleet(double load, unsigned targets, unsigned slots)
{
    struct choicemodel_options options;
    char name[64];
    choicemodel_init_fleet(&options, load, targets, slots, 1);
    snprintf(name, sizeof(name), "fleet_%ux%u_%.2f", targets, slots, load);
    print(name, &options);
    options.single_queue = true;
    snprintf(name, sizeof(name), "bound_%ux%u_%.2f", targets, slots, load);
    print(name, &options);
}

int
main(void)
{
    struct choicemodel_options options;
    choicemodel_init(&options, 0.4);
    print("even", &options);
    options.requests_per_s[0] *= 3;
    print("hot_zone", &options);
    choicemodel_init(&options, 0.4);
    options.slowness[0][0] = 0;
    options.slowness[0][1] = 0;
    print("lost_targets", &options);
    choicemodel_init(&options, 0.4);
    options.slowness[0][0] = 5;
    print("straggler", &options);
    const double loads[] = {0.2, 0.5, 0.8, 0.9};
    for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
        print_fleet(loads[i], 1, 9);
        print_fleet(loads[i], 3, 9);
        print_fleet(loads[i], 19, 9);
        print_fleet(loads[i], 50, 3);
    }
    return 0;
}
