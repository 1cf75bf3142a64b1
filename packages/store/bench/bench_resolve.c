/**
 * @file
 * Measures how commits of unknown outcome are resolved, in a seeded simulation
 * on a manual clock: writers race for rows of a store that loses answers and
 * delays writes. The baseline reads the row back once and trusts the result.
 */
#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "bench"
#include "base/log.h"
#include "base/random.h"
#include "base/runtime.h"
#include "store/storememory.h"
#include "store/storeresolver.h"

#define COMMITS 20000
#define ROWS 50                  /* that the writers race for */
#define LATENCY_US INT64_C(5000) /* of each call */
#define LOSE_ANSWERS_PERCENT 10
#define DELAY_WRITES_PERCENT 10
#define DELAY_WRITES_US 3000000    /* of delayed writes */
#define STEP_MAX_US 20000          /* maximum between commits */
#define READ_BACK_DELAY_US 100000  /* before a read back */
#define TIMEOUT_US 10000000        /* of a commit */
#define SETTLE_US 60000000         /* after the last commit */
#define GOAL_RESOLVE_MS 1000       /* a key must be served again within 1 s */
#define GOAL_UNKNOWN_PER_1000 10.0 /* of 1000 resolved commits */
#define UNRESOLVED_MAX_US (LATENCY_US * 2) /* slower ones were resolved */

struct simulation;

struct attempt {
    struct simulation *simulation;
    struct store_txn *txn;
    struct timer timer; /* read back by the baseline */
    char row[16];
    int64_t start_us;
    int64_t end_us;
    enum store_outcome outcome;
};

struct simulation {
    struct runtime *runtime;
    struct store_memory *memory;
    struct store store;
    struct store_resolver *resolver; /* NULL: the baseline */
    struct attempt attempts[COMMITS];
};

struct results {
    size_t resolved;
    size_t unknown;
    size_t wrong; /* reported outcome contradicts the store */
    int64_t resolve_us[COMMITS];
};

static void
attempt_end(struct attempt *attempt, enum store_outcome outcome)
{
    attempt->outcome = outcome;
    attempt->end_us = runtime_now_us(attempt->simulation->runtime);
}

static void
on_resolved(void *ctx, const struct store_commit_result *result)
{
    attempt_end(ctx, result->outcome);
}

static void
on_read_back(void *ctx, const struct store_read_result *result)
{
    struct attempt *attempt = ctx;
    const bool found = result->outcome == STORE_COMMITTED &&
                       result->rows[0].txn_id == store_txn_id(attempt->txn);
    attempt_end(attempt, found ? STORE_COMMITTED : STORE_CONFLICT);
}

static void
read_back(void *ctx)
{
    struct attempt *attempt = ctx;
    store_read(&attempt->simulation->store, "t", attempt->row, on_read_back,
               attempt);
}

static void
on_commit(void *ctx, const struct store_commit_result *result)
{
    struct attempt *attempt = ctx;
    if (result->outcome != STORE_UNKNOWN) {
        attempt_end(attempt, result->outcome);
        return;
    }
    timer_start(&attempt->timer, READ_BACK_DELAY_US);
}

static void
start_attempt(struct simulation *simulation, size_t number, size_t row_number)
{
    struct attempt *attempt = &simulation->attempts[number];
    struct store_row row;
    char log_row[16];
    *attempt = (struct attempt){
        .simulation = simulation,
        .txn = store_txn_create(number + 1),
        .start_us = runtime_now_us(simulation->runtime),
        .outcome = STORE_UNKNOWN,
    };
    snprintf(attempt->row, sizeof(attempt->row), "%zu", row_number);
    snprintf(log_row, sizeof(log_row), "%zu", number);
    store_tables_read(store_memory_tables(simulation->memory), "t",
                      attempt->row, &row);
    store_txn_expect(attempt->txn, "t", attempt->row, row.version);
    store_txn_put(attempt->txn, "t", attempt->row, json_object());
    store_txn_put(attempt->txn, "log", log_row, json_object());
    if (simulation->resolver != NULL) {
        store_resolver_commit(simulation->resolver, attempt->txn, on_resolved,
                              attempt);
        return;
    }
    timer_init(&attempt->timer, simulation->runtime, read_back, attempt);
    store_commit(&simulation->store, attempt->txn, on_commit, attempt);
}

static int
compare_times(const void *a, const void *b)
{
    const int64_t left = *(const int64_t *)a;
    const int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static void
add_result(const struct simulation *simulation, size_t number,
           struct results *results)
{
    const struct attempt *attempt = &simulation->attempts[number];
    struct store_row row;
    char log_row[16];
    snprintf(log_row, sizeof(log_row), "%zu", number);
    store_tables_read(store_memory_tables(simulation->memory), "log", log_row,
                      &row);
    const bool done = row.version > 0;
    if (attempt->outcome == STORE_UNKNOWN) {
        results->unknown++;
    }
    else if (done != (attempt->outcome == STORE_COMMITTED)) {
        results->wrong++;
    }
    if (attempt->end_us - attempt->start_us > UNRESOLVED_MAX_US) {
        results->resolve_us[results->resolved++] =
            attempt->end_us - attempt->start_us;
    }
}

/** Simulates the resolver or the baseline, with the same faults. */
static void
run(bool resolve, struct results *results)
{
    static struct simulation simulation;
    struct random_state random;
    const struct store_resolver_options options = {
        .read_back_delay_us = READ_BACK_DELAY_US,
        .timeout_us = TIMEOUT_US,
    };
    const struct store_faults faults = {
        .latency_us = LATENCY_US,
        .lose_answers_percent = LOSE_ANSWERS_PERCENT,
        .delay_writes_percent = DELAY_WRITES_PERCENT,
        .delay_writes_us = DELAY_WRITES_US,
    };
    simulation.runtime = runtime_create_manual(0, NULL);
    simulation.memory = store_memory_create(simulation.runtime, 1);
    simulation.store = store_memory_store(simulation.memory);
    simulation.resolver =
        resolve ? store_resolver_create(simulation.runtime, &simulation.store,
                                        &options)
                : NULL;
    store_memory_set_faults(simulation.memory, &faults);
    random_seed(&random, 1);
    for (size_t i = 0; i < COMMITS; i++) {
        start_attempt(&simulation, i, random_below(&random, ROWS));
        runtime_advance(simulation.runtime,
                        random_range(&random, 0, STEP_MAX_US));
    }
    runtime_advance(simulation.runtime, SETTLE_US);
    *results = (struct results){.resolved = 0};
    for (size_t i = 0; i < COMMITS; i++) {
        add_result(&simulation, i, results);
        store_txn_destroy(simulation.attempts[i].txn);
    }
    qsort(results->resolve_us, results->resolved, sizeof(int64_t),
          compare_times);
    store_memory_destroy(simulation.memory);
    store_resolver_destroy(simulation.resolver);
    runtime_destroy(simulation.runtime);
}

static double
resolve_percentile_ms(const struct results *results, size_t percent)
{
    const size_t index = (results->resolved - 1) * percent / 100;
    return (double)results->resolve_us[index] / (double)US_PER_MS;
}

static void
print_figure(const char *name, double value, const char *unit, double goal,
             double baseline)
{
    printf("{\"figure\": \"%s\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"goal\": %.3f, \"better\": \"lower\", \"baseline\": %.3f, "
           "\"baseline_name\": \"read back once\"}\n",
           name, value, unit, goal, baseline);
}

int
main(void)
{
    static struct results resolver;
    static struct results baseline;
    log_init(stderr, LOG_LEVEL_OFF);
    run(true, &resolver);
    run(false, &baseline);
    print_figure("resolve_wrong_outcomes", (double)resolver.wrong,
                 "of 20000 commits", 0, (double)baseline.wrong);
    print_figure("resolve_unknown_outcomes",
                 1000.0 * (double)resolver.unknown / (double)resolver.resolved,
                 "of 1000 resolved", GOAL_UNKNOWN_PER_1000,
                 1000.0 * (double)baseline.unknown /
                     (double)baseline.resolved);
    print_figure("resolve_time_p50", resolve_percentile_ms(&resolver, 50),
                 "ms", GOAL_RESOLVE_MS, resolve_percentile_ms(&baseline, 50));
    print_figure("resolve_time_p99", resolve_percentile_ms(&resolver, 99),
                 "ms", GOAL_RESOLVE_MS, resolve_percentile_ms(&baseline, 99));
    return EXIT_SUCCESS;
}
