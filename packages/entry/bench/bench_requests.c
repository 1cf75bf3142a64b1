/**
 * @file
 * Measures the request path in the model: tail latency with stragglers, cold
 * targets, zones taken out, overload, failing targets and crashing requests,
 * compared with simple policies in the same run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/invariant.h"
#include "base/log.h"
#include "base/random.h"
#include "base/timeunits.h"
#include "entry/choice.h"
#include "entry/model.h"

#define SEED 7
#define WARM_UP_US (4 * US_PER_SECOND)
#define WINDOW_US (5 * US_PER_SECOND)
#define STRAGGLER_FACTOR 10

struct figure {
    const char *name;
    double value;
    const char *unit;
    double goal;
    const char *better;
    double baseline;
    const char *baseline_name; /* NULL: none */
};

static void
print_figure(const struct figure *figure)
{
    printf("{\"figure\": \"%s\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"goal\": %g, \"better\": \"%s\"",
           figure->name, figure->value, figure->unit, figure->goal,
           figure->better);
    if (figure->baseline_name != NULL) {
        printf(", \"baseline\": %.3f, \"baseline_name\": \"%s\"",
               figure->baseline, figure->baseline_name);
    }
    printf("}\n");
    fflush(stdout);
}

struct scenario {
    const char *name;
    struct model_config (*config)(uint64_t seed);
};

/* Spare targets: Powys, but three times as many targets. */
static struct model_config
twelve_targets(uint64_t seed)
{
    struct model_config config = model_powys_config(seed);
    config.targets = 12;
    config.rate *= 3;
    return config;
}

/* Load that the other targets can sustain while one or two are slow. */
static struct model_config
powys_half_load(uint64_t seed)
{
    struct model_config config = model_powys_config(seed);
    config.rate *= 0.5;
    return config;
}

static struct model_config
lagos_half_load(uint64_t seed)
{
    struct model_config config = model_lagos_config(seed);
    config.rate *= 0.5;
    return config;
}

static const struct scenario half_load_scenarios[] = {
    {"powys_half_load", powys_half_load},
    {"lagos_half_load", lagos_half_load},
};

#define HALF_LOAD_SCENARIO_COUNT                                              \
    (sizeof(half_load_scenarios) / sizeof(half_load_scenarios[0]))

static const struct scenario scenarios[] = {
    {"powys", model_powys_config},
    {"lagos", model_lagos_config},
    {"twelve_targets", twelve_targets},
};

#define SCENARIO_COUNT (sizeof(scenarios) / sizeof(scenarios[0]))

struct policy {
    const char *name;
    enum model_policy policy;
};

static const struct policy policies[] = {
    {"chestnutgap", MODEL_CHESTNUTGAP},
    {"round_robin", MODEL_ROUND_ROBIN},
    {"random", MODEL_RANDOM},
    {"least_connections", MODEL_LEAST_CONNECTIONS},
    {"two_choices", MODEL_TWO_CHOICES},
};

#define POLICY_COUNT (sizeof(policies) / sizeof(policies[0]))

static void
print_value(const char *scenario, const char *metric, double value,
            const char *unit, double goal, const char *better)
{
    char name[128];
    snprintf(name, sizeof(name), "%s_%s", scenario, metric);
    const struct figure figure = {
        .name = name,
        .value = value,
        .unit = unit,
        .goal = goal,
        .better = better,
    };
    print_figure(&figure);
}

static void
print_compared(const char *scenario, const char *metric, double value,
               const char *unit, double goal, const char *better,
               double baseline, const char *baseline_name)
{
    char name[128];
    snprintf(name, sizeof(name), "%s_%s", scenario, metric);
    const struct figure figure = {
        .name = name,
        .value = value,
        .unit = unit,
        .goal = goal,
        .better = better,
        .baseline = baseline,
        .baseline_name = baseline_name,
    };
    print_figure(&figure);
}

struct tail_result {
    double p99_ms;
    double p999_ms;
    double extra_work; /* executions per answered request, less 1 */
    double failed;     /* share of requests */
};

static double
failed_share(const struct model_counts *counts)
{
    const uint64_t failed =
        counts->reads_failed + counts->orders_refused + counts->orders_unknown;
    return (double)failed / (double)(failed + counts->answered);
}

/* Measures the window in which the stragglers are slow. */
static struct tail_result
run_stragglers(struct model_config config, unsigned stragglers)
{
    struct model *model = model_create(&config);
    model_run(model, WARM_UP_US);
    model_reset_counts(model);
    for (unsigned i = 0; i < stragglers; i++) {
        model_set_slow(model, i, STRAGGLER_FACTOR);
    }
    model_run(model, WARM_UP_US + WINDOW_US);
    for (unsigned i = 0; i < stragglers; i++) {
        model_set_slow(model, i, 1);
    }
    model_finish(model);
    const struct model_counts *counts = model_get_counts(model);
    const struct tail_result tail_result = {
        .p99_ms = (double)model_latency_quantile_us(model, 0.99) / US_PER_MS,
        .p999_ms = (double)model_latency_quantile_us(model, 0.999) / US_PER_MS,
        .extra_work =
            (double)counts->executions / (double)counts->answered - 1,
        .failed = failed_share(counts),
    };
    model_destroy(model);
    return tail_result;
}

static void
print_stragglers(const char *scenario, unsigned stragglers,
                 struct tail_result tails[POLICY_COUNT][3])
{
    char metric[64];
    for (size_t i = 1; i < POLICY_COUNT; i++) {
        snprintf(metric, sizeof(metric), "p99_ratio_%u_stragglers",
                 stragglers);
        print_compared(scenario, metric,
                       tails[0][stragglers].p99_ms / tails[0][0].p99_ms, "x",
                       1.5, "lower",
                       tails[i][stragglers].p99_ms / tails[i][0].p99_ms,
                       policies[i].name);
    }
    snprintf(metric, sizeof(metric), "p99_%u_stragglers", stragglers);
    print_compared(scenario, metric, tails[0][stragglers].p99_ms, "ms",
                   1.5 * tails[0][0].p99_ms, "lower",
                   tails[4][stragglers].p99_ms, policies[4].name);
    snprintf(metric, sizeof(metric), "p999_%u_stragglers", stragglers);
    print_compared(scenario, metric, tails[0][stragglers].p999_ms, "ms",
                   1.5 * tails[0][0].p999_ms, "lower",
                   tails[4][stragglers].p999_ms, policies[4].name);
    snprintf(metric, sizeof(metric), "extra_work_%u_stragglers", stragglers);
    print_value(scenario, metric, 100 * tails[0][stragglers].extra_work, "%",
                5, "lower");
    snprintf(metric, sizeof(metric), "failed_%u_stragglers", stragglers);
    print_compared(scenario, metric, 100 * tails[0][stragglers].failed, "%", 0,
                   "lower", 100 * tails[4][stragglers].failed,
                   policies[4].name);
}

static void
bench_stragglers(const struct scenario *scenario)
{
    struct tail_result tails[POLICY_COUNT][3];
    for (size_t i = 0; i < POLICY_COUNT; i++) {
        struct model_config config = scenario->config(SEED);
        config.policy = policies[i].policy;
        for (unsigned j = 0; j < 3; j++) {
            tails[i][j] = run_stragglers(config, j);
        }
    }
    print_value(scenario->name, "p99_no_straggler", tails[0][0].p99_ms, "ms",
                tails[4][0].p99_ms, "lower");
    print_value(scenario->name, "extra_work_no_straggler",
                100 * tails[0][0].extra_work, "%", 5, "lower");
    print_stragglers(scenario->name, 1, tails);
    print_stragglers(scenario->name, 2, tails);
}

#define SHARE_STEP_US (100 * US_PER_MS)
#define SHARE_STEPS_MAX 200

/* Time from now, when the target is warm, until it starts 90% of what another
 * one does; -1 if it never does. */
static double
time_to_share_ms(struct model *model, unsigned target, unsigned other)
{
    for (int i = 1; i <= SHARE_STEPS_MAX; i++) {
        const uint64_t before = model_executions(model, target);
        const uint64_t others_before = model_executions(model, other);
        model_run(model, model_now_us(model) + SHARE_STEP_US);
        if ((double)(model_executions(model, target) - before) >=
            0.9 * (double)(model_executions(model, other) - others_before)) {
            return (double)i * SHARE_STEP_US / US_PER_MS;
        }
    }
    return -1;
}

struct cold_result {
    double over_capacity;
    double crashes;
    double share_ms;
};

static struct cold_result
run_cold(struct model_config config, bool restart)
{
    struct model *model = model_create(&config);
    model_run(model, WARM_UP_US);
    if (restart) {
        model_crash(model, 0);
        model_run(model, model_now_us(model) + 500 * US_PER_MS);
    }
    else {
        model_turn_cold(model, 0);
    }
    model_reset_counts(model);
    model_run(model, model_now_us(model) + config.cold_start_us);
    const struct model_counts counts = *model_get_counts(model);
    const struct cold_result cold_result = {
        .over_capacity = (double)counts.over_capacity,
        .crashes = (double)counts.crashes,
        .share_ms = time_to_share_ms(model, 0, 1),
    };
    model_destroy(model);
    return cold_result;
}

static void
bench_cold(const struct scenario *scenario)
{
    struct model_config config = scenario->config(SEED);
    config.rate *= 0.7; /* half of the capacity */
    struct model_config two_choices = config;
    two_choices.policy = MODEL_TWO_CHOICES;
    const struct cold_result restarted = run_cold(config, true);
    const struct cold_result turned_cold = run_cold(config, false);
    const struct cold_result two_choices_restarted =
        run_cold(two_choices, true);
    const struct cold_result two_choices_turned_cold =
        run_cold(two_choices, false);
    print_compared(scenario->name, "cold_start_requests_above_bearing",
                   restarted.over_capacity, "requests", 0, "lower",
                   two_choices_restarted.over_capacity, "two_choices");
    print_compared(scenario->name, "cold_start_crashes", restarted.crashes,
                   "crashes", 0, "lower", two_choices_restarted.crashes,
                   "two_choices");
    print_value(scenario->name, "warm_until_full_share", restarted.share_ms,
                "ms", 1000, "lower");
    print_compared(scenario->name, "turned_cold_requests_above_bearing",
                   turned_cold.over_capacity, "requests", 0, "lower",
                   two_choices_turned_cold.over_capacity, "two_choices");
    print_compared(scenario->name, "turned_cold_crashes", turned_cold.crashes,
                   "crashes", 0, "lower", two_choices_turned_cold.crashes,
                   "two_choices");
}

static void
bench_zone(const struct scenario *scenario)
{
    struct model_config config = scenario->config(SEED);
    config.rate *= 0.7;
    struct model *model = model_create(&config);
    model_run(model, WARM_UP_US);
    model_reset_counts(model);
    model_run(model, WARM_UP_US + WINDOW_US);
    const double before_ms =
        (double)model_latency_quantile_us(model, 0.99) / US_PER_MS;
    model_reset_counts(model);
    model_set_zone_out(model, 1, true);
    model_run(model, WARM_UP_US + 2 * WINDOW_US);
    model_set_zone_out(model, 1, false);
    model_run(model, WARM_UP_US + 3 * WINDOW_US);
    model_finish(model);
    const struct model_counts *counts = model_get_counts(model);
    const struct model_ledger ledger = model_get_ledger(model);
    const double during_ms =
        (double)model_latency_quantile_us(model, 0.99) / US_PER_MS;
    print_value(scenario->name, "zone_move_p99_ratio", during_ms / before_ms,
                "x", 2, "lower");
    print_value(scenario->name, "zone_move_failed_reads",
                (double)counts->reads_failed, "requests", 0, "lower");
    print_value(scenario->name, "zone_move_orders_refused_or_unknown",
                (double)(counts->orders_refused + counts->orders_unknown),
                "orders", 0, "lower");
    print_value(scenario->name, "zone_move_doubled_or_lost_orders",
                (double)(ledger.doubled + ledger.lost), "orders", 0, "lower");
    print_value(scenario->name, "zone_move_starts_after_3_s",
                (double)counts->starts_in_zone_out, "requests", 0, "lower");
    model_destroy(model);
}

struct overload_result {
    double goodput;       /* of capacity */
    double slow_refusals; /* share of refusals */
};

static struct overload_result
run_overload(struct model_config config)
{
    const double capacity = (double)config.targets * config.slots * 1e6 /
                            (double)config.service_time_us;
    config.rate = 2 * capacity;
    config.resends = 0;
    struct model *model = model_create(&config);
    model_run(model, WARM_UP_US);
    model_reset_counts(model);
    model_run(model, WARM_UP_US + WINDOW_US);
    const struct model_counts *counts = model_get_counts(model);
    const struct overload_result overload_result = {
        .goodput = (double)counts->answered * 1e6 / WINDOW_US / capacity,
        .slow_refusals =
            (double)counts->slow_refusals / (double)counts->refusals,
    };
    model_destroy(model);
    return overload_result;
}

static void
bench_overload(const struct scenario *scenario)
{
    struct model_config config = scenario->config(SEED);
    const struct overload_result chestnutgap = run_overload(config);
    config.policy = MODEL_TWO_CHOICES;
    const struct overload_result two_choices = run_overload(config);
    print_compared(scenario->name, "overload_goodput",
                   100 * chestnutgap.goodput, "% of capacity", 90, "higher",
                   100 * two_choices.goodput, "two_choices");
    print_value(scenario->name, "overload_refusals_over_5_ms",
                100 * chestnutgap.slow_refusals, "%", 1, "lower");
}

static double
run_failing(struct model_config config)
{
    struct model *model = model_create(&config);
    model_run(model, WARM_UP_US);
    for (unsigned i = 0; i < config.targets / 2; i++) {
        model_set_failing(model, i, true);
    }
    model_reset_counts(model);
    model_run(model, WARM_UP_US + WINDOW_US);
    const struct model_counts *counts = model_get_counts(model);
    const double amplification =
        (double)counts->attempts / (double)counts->requests;
    model_destroy(model);
    return amplification;
}

static void
bench_failing(const struct scenario *scenario)
{
    struct model_config config = scenario->config(SEED);
    config.rate *= 0.5;
    config.hedge_percent = 0;
    config.order_share = 0;
    const double chestnutgap = run_failing(config);
    config.retry_percent = 10000;
    const double unbounded = run_failing(config);
    print_compared(scenario->name, "retry_amplification_half_failing",
                   chestnutgap, "x", 1.1, "lower", unbounded,
                   "no_retry_budget");
}

static struct model_counts
run_crashing(struct model_config config, enum model_call_kind kind)
{
    struct model *model = model_create(&config);
    model_run(model, WARM_UP_US);
    model_reset_counts(model);
    model_send(model, 0, kind, 19);
    model_run(model, WARM_UP_US + 4 * WINDOW_US);
    model_finish(model);
    const struct model_counts counts = *model_get_counts(model);
    model_destroy(model);
    return counts;
}

static void
bench_crashing(const struct scenario *scenario)
{
    struct model_config config = scenario->config(SEED);
    config.rate *= 0.35; /* one of three targets can sustain it */
    const struct model_counts read = run_crashing(config, MODEL_CRASHING_READ);
    const struct model_counts order =
        run_crashing(config, MODEL_CRASHING_ORDER);
    config.policy = MODEL_TWO_CHOICES;
    const struct model_counts two_choices =
        run_crashing(config, MODEL_CRASHING_READ);
    print_compared(scenario->name, "crash_read_sent_20_times_crashes",
                   (double)read.crashes, "crashes", 2, "lower",
                   (double)two_choices.crashes, "two_choices");
    print_value(scenario->name, "crash_order_sent_20_times_crashes",
                (double)order.crashes, "crashes", 2, "lower");
    print_value(scenario->name, "crash_request_innocents_refused",
                (double)(read.suspects_refused + order.suspects_refused),
                "requests", 0, "lower");
    print_value(scenario->name, "crash_request_reads_failed",
                (double)(read.reads_failed + order.reads_failed), "requests",
                0, "lower");
}

static int64_t
cpu_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

#define CHOICE_ROUNDS 300000
#define CHOICE_MEMBERS_FEW 4
#define CHOICE_MEMBERS_MANY 1000

/* CPU ns of one choice with the start and end of its attempt. */
static double
choice_cost(unsigned members)
{
    struct random_state random;
    random_seed(&random, SEED);
    struct choice *choice = choice_create("z0", &random);
    for (unsigned i = 0; i < members; i++) {
        char name[16];
        char zone[16];
        snprintf(name, sizeof(name), "i%u", i);
        snprintf(zone, sizeof(zone), "z%u", i % 3);
        choice_add(choice, name, zone);
    }
    const struct forward_load load = {.in_flight = 1, .limit = 20};
    int64_t now_us = US_PER_SECOND;
    const int64_t begin_ns = cpu_ns();
    for (int i = 0; i < CHOICE_ROUNDS; i++) {
        struct choice_attempt attempt = {0};
        const uint32_t member = choice_pick(choice, NULL, 0, true, now_us);
        choice_attempt_started(choice, &attempt, member, now_us);
        now_us += 50;
        choice_attempt_ended(choice, &attempt, now_us, CHOICE_ANSWERED, &load);
    }
    const double ns = (double)(cpu_ns() - begin_ns) / CHOICE_ROUNDS;
    choice_destroy(choice);
    return ns;
}

static void
bench_choice(void)
{
    print_compared("choice", "cpu_1000_members",
                   choice_cost(CHOICE_MEMBERS_MANY), "ns", 1000, "lower",
                   choice_cost(CHOICE_MEMBERS_FEW), "4_members");
}

static void
on_violation(void *ctx, enum invariant id, const char *subject)
{
    (void)ctx;
    fprintf(stderr, "invariant violated: %s (%s)\n", invariant_text(id),
            subject);
    exit(1);
}

int
main(void)
{
    log_init(stderr, LOG_LEVEL_OFF);
    invariant_set_handler(on_violation, NULL);
    bench_choice();
    for (size_t i = 0; i < HALF_LOAD_SCENARIO_COUNT; i++) {
        bench_stragglers(&half_load_scenarios[i]);
    }
    for (size_t i = 0; i < SCENARIO_COUNT; i++) {
        bench_stragglers(&scenarios[i]);
        bench_cold(&scenarios[i]);
        bench_zone(&scenarios[i]);
        bench_overload(&scenarios[i]);
        bench_failing(&scenarios[i]);
        bench_crashing(&scenarios[i]);
    }
    return 0;
}
