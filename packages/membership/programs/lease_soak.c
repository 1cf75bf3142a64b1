/**
 * @file
 * Runs the lease model with random faults for many seeds and prints each
 * failing seed. Exits with 1 if any failed.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"
#include "membership/model.h"

#define LOG_MODULE "soak"
#include "base/log.h"

#define DECIMAL 10

struct soak_options {
    uint64_t seeds;
    uint64_t first;
    const char *without; /* name of the rule to switch off, or NULL */
};

struct soak_totals {
    int64_t violations;
    int64_t stuck;
    int64_t fences;
    int64_t lapses;
    int64_t regains;
    int64_t writes;
    int64_t faults;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct soak_options *options = state->input;
    switch (key) {
    case 's':
        options->seeds = strtoull(arg, NULL, DECIMAL);
        return 0;
    case 'f':
        options->first = strtoull(arg, NULL, DECIMAL);
        return 0;
    case 'w':
        options->without = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** @return false if no rule has that name. */
static bool
switch_off(struct lease_rules *rules, const char *name)
{
    struct {
        const char *name;
        bool *rule;
    } const table[] = {
        {"sticky_certificates", &rules->sticky_certificates},
        {"wait_from_first_sight", &rules->wait_from_first_sight},
        {"joint_guardians", &rules->joint_guardians},
        {"confirm_ends_outgoing", &rules->confirm_ends_outgoing},
        {"drift_margin", &rules->drift_margin},
    };
    for (size_t i = 0; i < sizeof(table) / sizeof(table[0]); i++) {
        if (strcmp(table[i].name, name) == 0) {
            *table[i].rule = false;
            return true;
        }
    }
    return false;
}

static void
add_result(struct soak_totals *totals, const struct model_result *result)
{
    totals->violations += result->violated;
    totals->stuck += !result->violated && !result->recovered;
    totals->fences += result->fences;
    totals->lapses += result->lapses;
    totals->regains += result->regains;
    totals->writes += result->writes;
    totals->faults += result->faults;
}

static void
run_seed(const struct soak_options *options, uint64_t seed,
         struct soak_totals *totals)
{
    struct model_config config = model_random_faults(seed);
    if (options->without != NULL) {
        switch_off(&config.rules, options->without);
    }
    struct model_result result = model_run(&config);
    add_result(totals, &result);
    if (options->without != NULL) {
        return;
    }
    if (result.violated) {
        printf("lease_soak: seed %" PRIu64 " violated after %" PRId64 " us\n",
               seed, result.violated_us);
    }
    else if (!result.recovered) {
        printf("lease_soak: seed %" PRIu64 " did not recover\n", seed);
    }
}

int
main(int argc, char **argv)
{
    static const struct argp_option argp_options[] = {
        {"seeds", 's', "N", 0, "Number of runs (default 10000)", 0},
        {"first", 'f', "S", 0, "Seed of the first run (default 1)", 0},
        {"without", 'w', "RULE", 0, "Switch a rule off and only count", 0},
        {0},
    };
    static const struct argp argp = {
        argp_options,
        parse_option,
        NULL,
        "Runs the lease model with random faults for many seeds.",
        NULL,
        NULL,
        NULL};
    struct soak_options options = {.seeds = 10000, .first = 1};
    struct soak_totals totals = {0};
    struct lease_rules rules = lease_rules_all();
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (options.without != NULL && !switch_off(&rules, options.without)) {
        fprintf(stderr, "lease_soak: no rule %s\n", options.without);
        return 2;
    }
    log_init(stderr, LOG_LEVEL_OFF);
    for (uint64_t i = 0; i < options.seeds; i++) {
        run_seed(&options, options.first + i, &totals);
    }
    printf("{\"runs\": %" PRIu64 ", \"violated\": %" PRId64
           ", \"stuck\": %" PRId64 ", \"fences\": %" PRId64
           ", \"lapses\": %" PRId64 ", \"regained\": %" PRId64
           ", \"writes\": %" PRId64 ", \"faults\": %" PRId64 "}\n",
           options.seeds, totals.violations, totals.stuck, totals.fences,
           totals.lapses, totals.regains, totals.writes, totals.faults);
    return totals.violations == 0 && totals.stuck == 0 ? 0 : 1;
}
