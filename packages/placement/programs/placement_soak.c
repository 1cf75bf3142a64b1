/**
 * @file
 * Randomised runs of the placement model under faults.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "soak"
#include "base/invariant.h"
#include "base/log.h"
#include "base/runtime.h"
#include "placement/placemodel.h"
#include "placement/placemodelruns.h"

struct arguments {
    uint64_t seeds;
    uint64_t first;
    bool trace;
};

static const struct argp_option options[] = {
    {"seeds", 'n', "N", 0, "number of runs (default 1000)", 0},
    {"first", 'f', "S", 0, "first seed (default 1)", 0},
    {"trace", 't', NULL, 0, "write the session of each run", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct arguments *arguments = state->input;

    switch (key) {
    case 'n':
        arguments->seeds = strtoull(value, NULL, 10);
        return 0;
    case 'f':
        arguments->first = strtoull(value, NULL, 10);
        return 0;
    case 't':
        arguments->trace = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Runs the placement model under faults, one seed after another.",
};

int
main(int argc, char **argv)
{
    struct arguments arguments = {.seeds = 1000, .first = 1};
    struct placemodel_result total = {0};
    int64_t failed = 0;
    int64_t broken;

    if (argp_parse(&parser, argc, argv, 0, NULL, &arguments) != 0) {
        return 2;
    }
    log_init(stderr, LOG_LEVEL_ERROR);
    for (uint64_t i = 0; i < arguments.seeds; i++) {
        uint64_t seed = arguments.first + i;
        struct placemodel_result result =
            placemodel_random_run(seed, arguments.trace ? stdout : NULL);
        placemodel_result_add(&total, &result);
        if (result.violations > 0) {
            failed++;
            printf("seed %llu: %lld violations, first: %s\n",
                   (unsigned long long)seed, (long long)result.violations,
                   result.first_violation);
        }
    }
    broken = invariant_violations(INVARIANT_ONE_OWNER) +
             invariant_violations(INVARIANT_EPOCH_RISES);
    printf("runs %llu, failed %lld, invariants broken %lld\n",
           (unsigned long long)arguments.seeds, (long long)failed,
           (long long)broken);
    placemodel_result_print(&total, stdout);
    return failed == 0 ? 0 : 1;
}
