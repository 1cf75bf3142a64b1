#include <stdio.h>

#include "base/invariant.h"
#include "entry/model_internal.h"

#define RUN_DURATION_US (6000 * US_PER_MS)
#define FAULT_INTERVAL_MIN_US (20 * US_PER_MS)
#define FAULT_INTERVAL_MAX_US (400 * US_PER_MS)
#define TARGETS 6
#define ZONES 3
#define NO_INSTANCE UINT32_MAX

/** A randomised run and its current faults; NO_INSTANCE if there is none. */
struct random_run {
    struct model *model;
    struct random_state random;
    uint32_t zone_out;
    uint32_t frozen;
    uint32_t leaving;
};

static struct model_config
random_config(struct random_state *random)
{
    struct model_config config = model_powys_config(random_u64(random));
    config.targets = TARGETS;
    config.zones = ZONES;
    config.slots = (unsigned)random_range(random, 2, 10);
    config.cold_limit = (unsigned)random_range(random, 1, 2);
    config.cold_start_us = random_range(random, 100, 1500) * US_PER_MS;
    config.rate = (double)random_range(random, 20, 70) * config.slots;
    config.order_share = 0.4;
    config.retention_us = 30000 * US_PER_MS;
    config.lost_reply_share = random_chance(random, 0.5) ? 0.03 : 0;
    config.cut_answer_share = random_chance(random, 0.5) ? 0.01 : 0;
    config.start_warm = random_chance(random, 0.5);
    config.actual_slots = random_chance(random, 0.3) ? config.slots - 1 : 0;
    return config;
}

static void
random_zone(struct random_run *run)
{
    if (run->zone_out != NO_INSTANCE) {
        model_set_zone_out(run->model, run->zone_out, false);
        run->zone_out = NO_INSTANCE;
        return;
    }
    run->zone_out = (uint32_t)random_below(&run->random, ZONES);
    model_set_zone_out(run->model, run->zone_out, true);
}

static void
random_freeze(struct random_run *run, uint32_t target)
{
    if (run->frozen != NO_INSTANCE) {
        model_thaw(run->model, run->frozen);
        run->frozen = NO_INSTANCE;
    }
    else if (target != run->leaving) {
        run->frozen = target;
        model_freeze(run->model, target);
    }
}

static void
random_fault(struct random_run *run)
{
    struct model *model = run->model;
    const uint32_t target = (uint32_t)random_below(&run->random, TARGETS);
    const bool coin = random_chance(&run->random, 0.5);
    switch (random_below(&run->random, 10)) {
    case 0:
        model_set_slow(model, target, coin ? 10 : 1);
        break;
    case 1:
        model_turn_cold(model, target);
        break;
    case 2:
        model_crash(model, target);
        break;
    case 3:
        model_set_failing(model, target, coin);
        break;
    case 4:
        random_zone(run);
        break;
    case 5:
        random_freeze(run, target);
        break;
    case 6:
        if (run->leaving == NO_INSTANCE && target != run->frozen) {
            run->leaving = target;
            model_leave(model, target);
        }
        break;
    case 7:
        if (target != run->frozen) {
            model_move(model, target, (target + 1) % TARGETS);
        }
        break;
    default:
        model_send(model, target,
                   coin ? MODEL_CRASHING_READ : MODEL_CRASHING_ORDER, 3);
        break;
    }
}

static void
random_end(struct random_run *run)
{
    if (run->frozen != NO_INSTANCE) {
        model_thaw(run->model, run->frozen);
    }
    for (unsigned i = 0; i < TARGETS; i++) {
        model_set_failing(run->model, i, false);
        model_set_slow(run->model, i, 1);
    }
    model_finish(run->model);
}

static bool
random_check(struct model *model, const int64_t *violations, char *problem,
             size_t problem_size)
{
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        const enum invariant id = (enum invariant)i;
        if (invariant_violations(id) != violations[i]) {
            snprintf(problem, problem_size, "invariant violated: %s",
                     invariant_text(id));
            return false;
        }
    }
    const struct model_ledger ledger = model_get_ledger(model);
    const struct model_counts *counts = model_get_counts(model);
    snprintf(problem, problem_size,
             "orders %llu: doubled %llu, lost %llu, false refusals %llu; "
             "wrong answers %llu, starts in a zone that is out %llu, "
             "without an answer %zu",
             (unsigned long long)ledger.orders,
             (unsigned long long)ledger.doubled,
             (unsigned long long)ledger.lost,
             (unsigned long long)ledger.false_refusals,
             (unsigned long long)counts->wrong_answers,
             (unsigned long long)counts->starts_in_zone_out,
             model_open_calls(model));
    return ledger.doubled == 0 && ledger.lost == 0 &&
           ledger.false_refusals == 0 && counts->wrong_answers == 0 &&
           counts->starts_in_zone_out == 0 && model_open_calls(model) == 0;
}

bool
model_random_run(uint64_t seed, char *problem, size_t problem_size)
{
    struct random_run run = {
        .zone_out = NO_INSTANCE,
        .frozen = NO_INSTANCE,
        .leaving = NO_INSTANCE,
    };
    int64_t violations[INVARIANT_COUNT];
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        violations[i] = invariant_violations((enum invariant)i);
    }
    random_seed(&run.random, seed);
    const struct model_config config = random_config(&run.random);
    run.model = model_create(&config);
    while (model_now_us(run.model) < MODEL_START_US + RUN_DURATION_US) {
        random_fault(&run);
        model_run(run.model,
                  model_now_us(run.model) +
                      random_range(&run.random, FAULT_INTERVAL_MIN_US,
                                   FAULT_INTERVAL_MAX_US));
    }
    random_end(&run);
    const bool valid =
        random_check(run.model, violations, problem, problem_size);
    model_destroy(run.model);
    return valid;
}
