#include "placement/placemodelruns.h"

#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"
#include "base/random.h"
#include "base/timeunits.h"

#define FAULTS_US (20 * US_PER_SECOND)
#define RECOVERY_US (20 * US_PER_SECOND)
#define ALL_SERVED_CHECKS 50
#define ALL_SERVED_CHECK_PERIOD_US (10 * US_PER_MS)

static double
value_or_zero(struct random_state *random, double chance, double value)
{
    return random_chance(random, chance) ? value : 0;
}

static struct placemodel_options
random_options(uint64_t seed, FILE *trace)
{
    struct placemodel_options options = placemodel_defaults();
    struct placemodel_faults *faults = &options.faults;
    struct random_state random;

    random_seed(&random, seed);
    options.seed = random_u64(&random);
    options.trace = trace;
    options.members = (unsigned)random_range(&random, 3, 9);
    options.shards = (uint32_t)random_range(&random, 16, 150);
    options.targets_check_grants = random_chance(&random, 0.5);
    options.longest_request_us = random_range(&random, 50000, 1000000);
    options.drain_mean_us = random_range(&random, 1000, 200000);
    faults->loss = value_or_zero(&random, 0.5, 0.1);
    faults->lost_answers = value_or_zero(&random, 0.6, 0.2);
    faults->late_writes = value_or_zero(&random, 0.6, 0.2);
    faults->store_down_every_s = value_or_zero(&random, 0.4, 10);
    faults->crash_every_s = value_or_zero(&random, 0.6, 3);
    faults->pause_every_s = value_or_zero(&random, 0.6, 3);
    faults->isolate_every_s = value_or_zero(&random, 0.5, 3);
    faults->zone_every_s = value_or_zero(&random, 0.5, 8);
    faults->restart_all_every_s = value_or_zero(&random, 0.2, 15);
    faults->leave_every_s = value_or_zero(&random, 0.4, 6);
    return options;
}

static void
randomise_loads(struct placemodel *model,
                const struct placemodel_options *options,
                struct random_state *random)
{
    for (uint32_t i = 0; i < options->shards; i++) {
        double mean =
            options->capacity * options->members / 2.0 / options->shards;
        placemodel_set_load(model, i, random_exponential(random, mean));
    }
}

/* Checks repeatedly, because a planned move interrupts the service of a shard
 * for a short time. */
static bool
wait_until_all_served(struct placemodel *model)
{
    for (int i = 0; i < ALL_SERVED_CHECKS; i++) {
        if (placemodel_all_served(model)) {
            return true;
        }
        placemodel_run(model, ALL_SERVED_CHECK_PERIOD_US);
    }
    return false;
}

struct placemodel_result
placemodel_random_run(uint64_t seed, FILE *trace)
{
    struct placemodel_options options = random_options(seed, trace);
    struct placemodel *model = placemodel_create(&options);
    struct random_state random;
    struct placemodel_result result;
    int64_t broken = invariant_violations(INVARIANT_ONE_OWNER) +
                     invariant_violations(INVARIANT_EPOCH_RISES);

    random_seed(&random, seed + 1);
    for (unsigned i = 0; i < options.members; i++) {
        placemodel_start(model, i);
    }
    for (int i = 0; i < 4; i++) {
        randomise_loads(model, &options, &random);
        placemodel_run(model, FAULTS_US / 4);
    }
    placemodel_heal(model);
    placemodel_run(model, RECOVERY_US);
    result = placemodel_result(model);
    if (!wait_until_all_served(model)) {
        result.violations++;
        if (result.first_violation[0] == '\0') {
            (void)snprintf(result.first_violation,
                           sizeof(result.first_violation),
                           "a shard is not served after the faults ended");
        }
    }
    result.violations += invariant_violations(INVARIANT_ONE_OWNER) +
                         invariant_violations(INVARIANT_EPOCH_RISES) - broken;
    placemodel_destroy(model);
    return result;
}

void
placemodel_result_add(struct placemodel_result *total,
                      const struct placemodel_result *result)
{
    total->violations += result->violations;
    total->checks += result->checks;
    total->events += result->events;
    total->moves += result->moves;
    total->moves_given_up += result->moves_given_up;
    total->replaced += result->replaced;
    total->commits += result->commits;
    total->conflicts += result->conflicts;
    total->unknown += result->unknown;
    total->crashes += result->crashes;
    total->fences += result->fences;
    total->zone_outs += result->zone_outs;
    total->restarts_of_all += result->restarts_of_all;
    total->splits += result->splits;
}

void
placemodel_result_print(const struct placemodel_result *result, FILE *stream)
{
    (void)fprintf(stream,
                  "checks %lld, events %lld, shards moved %lld, moves given "
                  "up %lld, replaced %lld\n",
                  (long long)result->checks, (long long)result->events,
                  (long long)result->moves, (long long)result->moves_given_up,
                  (long long)result->replaced);
    (void)fprintf(stream,
                  "commits %lld, conflicts %lld, unknown %lld, crashes %lld, "
                  "fences %lld, zones out %lld, restarts of all %lld\n",
                  (long long)result->commits, (long long)result->conflicts,
                  (long long)result->unknown, (long long)result->crashes,
                  (long long)result->fences, (long long)result->zone_outs,
                  (long long)result->restarts_of_all);
}
