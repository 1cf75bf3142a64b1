/**
 * @file
 * Long randomised runs of the request path in the model. Checks the program's
 * invariants and the targets' own count of executions.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "entry/model.h"

#define PROBLEM_SIZE 256

struct options {
    uint64_t seed_count;
    uint64_t first_seed;
};

static const struct argp_option option_list[] = {
    {"seeds", 'n', "N", 0, "Number of runs (default 100)", 0},
    {"first", 'f', "S", 0, "First seed (default 1)", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case 'n':
        options->seed_count = strtoull(arg, NULL, 10);
        return 0;
    case 'f':
        options->first_seed = strtoull(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = option_list,
        .parser = parse_option,
        .doc = "Randomised runs of the request path",
    };
    struct options options = {.seed_count = 100, .first_seed = 1};
    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return 2;
    }
    log_init(stderr, LOG_LEVEL_ERROR);
    uint64_t violated = 0;
    for (uint64_t i = 0; i < options.seed_count; i++) {
        char problem[PROBLEM_SIZE];
        if (!model_random_run(options.first_seed + i, problem,
                              sizeof(problem))) {
            violated++;
            printf("seed %" PRIu64 ": %s\n", options.first_seed + i, problem);
        }
    }
    printf("%" PRIu64 " runs, %" PRIu64 " with a violation\n",
           options.seed_count, violated);
    return violated == 0 ? 0 : 1;
}
