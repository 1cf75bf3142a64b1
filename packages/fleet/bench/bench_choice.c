/* Shares of requests in time and within their zone, and the time of a choice
 * among hundreds of instances. */
#include <stdio.h>

#include "base/runtime.h"
#include "fleet/choicemodel.h"

static void
print(const char *name, const struct choicemodel_options *options)
{
    struct choicemodel_result result;
    choicemodel_run(options, &result);
    printf("{\"name\": \"choice_%s\", \"in_objective\": %.4f, "
           "\"in_zone\": %.4f, \"p99_ms\": %.0f}\n",
           name, result.in_objective, result.in_zone, result.p99_ms);
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
    return 0;
}
