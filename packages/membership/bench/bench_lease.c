/**
 * @file
 * Measures leases: time from a holder's failure to its fence, lapses while
 * the store is down, store writes, bytes and CPU time of renewals, and the
 * size of the member table. Failure times are measured on the model's clock
 * and are reproducible.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/random.h"
#include "base/runtime.h"
#include "membership/guardian.h"
#include "membership/guardianselect.h"
#include "membership/membertable.h"
#include "membership/model.h"

#define LOG_MODULE "bench"
#include "base/log.h"

#define RUNS 2000
#define LONG_RUNS 100
#define LONG_RUN_S 300
#define LEASE_US (750 * US_PER_MS)
#define KILL_US (5 * US_PER_SECOND)
#define KILL_SPREAD_US (1 * US_PER_SECOND)
#define PAUSE_US (5 * US_PER_SECOND)
#define FENCE_GOAL_MS 850.0             /* 1 s minus 150 ms for placement */
#define WRITES_PER_S_GOAL 0.05          /* per member */
#define CONTROL_BYTES_PER_S_GOAL 7000.0 /* per node */
#define UDP_IP_HEADERS_BYTES 28
#define RPC_CALL_HEADER_BYTES 40 /* RFC 5531 without credentials */
#define RPC_REPLY_HEADER_BYTES 24
#define RENEWAL_LOOPS 2000000
#define HOLDERS 3
#define BASELINE_WRITES_PER_S 300.0 /* the store's capacity */
#define MEMBERS_GOAL 4600
#define NS_PER_S 1e9

static const char baseline_name[] =
    "leases in the store alone, renewed at 300 writes/s for 4,600 members";

static void
print_figure(const char *name, double value, const char *unit, double goal)
{
    printf("{\"figure\": \"%s\", \"value\": %.6g, \"unit\": \"%s\", "
           "\"goal\": %.6g, \"better\": \"lower\"}\n",
           name, value, unit, goal);
}

static void
print_with_baseline(const char *name, double value, const char *unit,
                    double goal, double baseline)
{
    printf("{\"figure\": \"%s\", \"value\": %.6g, \"unit\": \"%s\", "
           "\"goal\": %.6g, \"better\": \"lower\", \"baseline\": %.6g, "
           "\"baseline_name\": \"%s\"}\n",
           name, value, unit, goal, baseline, baseline_name);
}

static int
compare_times(const void *a, const void *b)
{
    const int64_t *left = a;
    const int64_t *right = b;
    return (*left > *right) - (*left < *right);
}

static double
percentile_ms(const int64_t *sorted, size_t count, size_t percent)
{
    const size_t rank = (count - 1) * percent / 100;
    return (double)sorted[rank] / US_PER_MS;
}

static int64_t
kill_time_us(uint64_t seed)
{
    return KILL_US + (int64_t)(seed * 7919 % KILL_SPREAD_US);
}

/** Time until a lease in the store alone ends: its holder fails at a random
 * time between two renewals, of which there are three per lease. */
static int64_t
store_lease_end_us(struct random_state *random)
{
    const int64_t interval_us =
        (int64_t)(MEMBERS_GOAL / BASELINE_WRITES_PER_S * US_PER_SECOND);
    return 3 * interval_us - random_range(random, 0, interval_us);
}

static void
measure_failure(const char *name, bool kill_host, int64_t pause_us)
{
    static int64_t times_us[RUNS];
    static int64_t baseline_us[RUNS];
    char figure[64];
    struct random_state random;
    random_seed(&random, 1);
    for (uint64_t seed = 1; seed <= RUNS; seed++) {
        struct model_config config = model_fault_free(seed);
        config.kill_us = kill_time_us(seed);
        config.kill_host = kill_host;
        config.pause_us = pause_us;
        config.faults_us = PAUSE_US;
        config.recovery_us = US_PER_SECOND;
        struct model_result result = model_run(&config);
        if (result.violated || result.fences != 1) {
            fprintf(stderr, "bench_lease: %s: seed %" PRIu64 " failed\n", name,
                    seed);
            exit(1);
        }
        times_us[seed - 1] = result.first_fence_us - config.kill_us;
        baseline_us[seed - 1] = store_lease_end_us(&random);
    }
    qsort(times_us, RUNS, sizeof(times_us[0]), compare_times);
    qsort(baseline_us, RUNS, sizeof(baseline_us[0]), compare_times);
    snprintf(figure, sizeof(figure), "lease_%s_to_fence_p50", name);
    print_with_baseline(figure, percentile_ms(times_us, RUNS, 50), "ms",
                        FENCE_GOAL_MS, percentile_ms(baseline_us, RUNS, 50));
    snprintf(figure, sizeof(figure), "lease_%s_to_fence_p99", name);
    print_with_baseline(figure, percentile_ms(times_us, RUNS, 99), "ms",
                        FENCE_GOAL_MS, percentile_ms(baseline_us, RUNS, 99));
}

static struct model_result
run_long(uint64_t seeds, bool store_down, unsigned loss_percent)
{
    struct model_result total = {0};
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        struct model_config config = model_fault_free(seed);
        config.store_down_us = store_down ? KILL_US : 0;
        config.loss_percent = loss_percent;
        config.faults_us = LONG_RUN_S * US_PER_SECOND;
        config.recovery_us = 0;
        struct model_result result = model_run(&config);
        total.lapses += result.lapses;
        total.fences += result.fences;
        total.writes += result.writes;
        total.renewals += result.renewals;
    }
    return total;
}

static void
measure_without_failures(void)
{
    const double seconds = (double)LONG_RUNS * LONG_RUN_S;
    struct model_result down = run_long(LONG_RUNS, true, 0);
    struct model_result lossy = run_long(LONG_RUNS, false, 1);
    struct model_result very_lossy = run_long(LONG_RUNS, false, 10);
    print_figure("lease_lapses_store_down_300s", (double)down.lapses,
                 "in 100 runs", 0);
    print_figure("lease_false_fences_loss_1_percent", (double)lossy.fences,
                 "in 30000 s", 0);
    print_figure("lease_lapses_loss_1_percent", (double)lossy.lapses,
                 "in 30000 s", 0);
    print_figure("lease_false_fences_loss_10_percent",
                 (double)very_lossy.fences, "in 30000 s", 0);
    print_figure("lease_lapses_loss_10_percent", (double)very_lossy.lapses,
                 "in 30000 s", 0);
    print_with_baseline("lease_store_writes_loss_1_percent",
                        (double)lossy.writes / seconds, "writes/s/member",
                        WRITES_PER_S_GOAL,
                        BASELINE_WRITES_PER_S / MEMBERS_GOAL);
}

/** Store writes of a holder in steady state and after one of its guardians
 * has restarted. */
static void
measure_writes(void)
{
    int64_t writes = 0;
    const double seconds = (double)LONG_RUN_S;
    for (uint64_t seed = 1; seed <= LONG_RUNS; seed++) {
        struct model_config config = model_fault_free(seed);
        config.faults_us = 30 * US_PER_SECOND;
        config.kill_us = kill_time_us(seed);
        config.kill_guardian = true;
        struct model_result with = model_run(&config);
        config.kill_us = 0;
        writes += with.writes - model_run(&config).writes;
    }
    struct model_result steady = run_long(LONG_RUNS, false, 0);
    print_with_baseline("lease_store_writes_steady",
                        (double)steady.writes / (seconds * LONG_RUNS),
                        "writes/s/member", WRITES_PER_S_GOAL,
                        BASELINE_WRITES_PER_S / MEMBERS_GOAL);
    print_figure("lease_store_writes_per_lost_guardian",
                 (double)writes / LONG_RUNS, "writes", 2);
}

static double
renewals_per_second(void)
{
    struct model_result steady = run_long(1, false, 0);
    return (double)steady.renewals / LONG_RUN_S;
}

static void
measure_bytes(void)
{
    struct lease_renew_args args = {0};
    struct lease_renew_result result = {0};
    double call = (double)xdr_sizeof((xdrproc_t)xdr_lease_renew_args, &args) +
                  RPC_CALL_HEADER_BYTES + UDP_IP_HEADERS_BYTES;
    double reply =
        (double)xdr_sizeof((xdrproc_t)xdr_lease_renew_result, &result) +
        RPC_REPLY_HEADER_BYTES + UDP_IP_HEADERS_BYTES;
    double rate = renewals_per_second();
    print_figure("lease_renewals_sent", rate, "renewals/s/member", 12);
    print_figure("lease_renewal_call", call, "bytes", 120);
    print_figure("lease_renewal_reply", reply, "bytes", 80);
    /* Calls and replies as a holder and as a guardian of as many. */
    print_figure("lease_control_bytes", 2 * rate * (call + reply), "bytes/s",
                 CONTROL_BYTES_PER_S_GOAL);
}

static double
cpu_seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / NS_PER_S;
}

/** CPU time of a renewal at the guardian, with encoding and decoding. */
static void
measure_renewal_cpu(void)
{
    struct lease_rules rules = lease_rules_all();
    struct guardian *guardian = guardian_create(1, 67, &rules);
    char buffer[128];
    double start = cpu_seconds();
    for (int64_t i = 0; i < RENEWAL_LOOPS; i++) {
        struct lease_renew_args args = {
            .holder = 10 + (uint64_t)i % HOLDERS,
            .guardian = 1,
            .row_version = 5,
            .lease_us = LEASE_US,
        };
        struct lease_renew_result result;
        XDR xdrs;
        xdrmem_create(&xdrs, buffer, sizeof(buffer), XDR_ENCODE);
        xdr_lease_renew_args(&xdrs, &args);
        xdrmem_create(&xdrs, buffer, sizeof(buffer), XDR_DECODE);
        xdr_lease_renew_args(&xdrs, &args);
        result = guardian_renew(guardian, &args, i);
        xdrmem_create(&xdrs, buffer, sizeof(buffer), XDR_ENCODE);
        xdr_lease_renew_result(&xdrs, &result);
    }
    double ns = (cpu_seconds() - start) * NS_PER_S / RENEWAL_LOOPS;
    /* 1.1% of a core for 24 renewals per second, sent and served. */
    print_figure("lease_renewal_cpu_without_sockets", ns, "ns",
                 0.011 * NS_PER_S / 24);
    guardian_destroy(guardian);
}

static struct member
make_member(size_t number)
{
    struct member row = {
        .state = MEMBER_ACTIVE,
        .slots = 20,
        .lease_us = LEASE_US,
        .renewal_max_us = 3600 * US_PER_SECOND,
        .version = number + 1,
    };
    char text[ADDRESS_TEXT_SIZE];
    row.self.incarnation = 1000 + number;
    snprintf(row.self.instance, sizeof(row.self.instance), "i-%08zu", number);
    snprintf(row.zone, sizeof(row.zone), "zone-%zu", number % 12);
    snprintf(row.region, sizeof(row.region), "region-%zu", number % 4);
    snprintf(row.service, sizeof(row.service), "service-%zu", number % 10);
    snprintf(text, sizeof(text), "10.%zu.%zu.%zu:7000", number >> 16,
             number >> 8 & 255, number & 255);
    address_parse(text, &row.rpc, NULL);
    row.http = row.rpc;
    return row;
}

static void
measure_directory(size_t count)
{
    char figure[64];
    struct membertable *table = membertable_create();
    unsigned guarded_max = 0;
    double start = cpu_seconds();
    for (size_t i = 0; i < count; i++) {
        struct member row = make_member(i);
        guardianselect_add(table, &row, NULL, 0, &row.guardians);
        membertable_apply(table, &row, 0);
    }
    double join_us = (cpu_seconds() - start) * US_PER_SECOND / (double)count;
    for (size_t i = 0; i < membertable_size(table); i++) {
        struct membertable_view view;
        membertable_at(table, i, &view);
        guarded_max = view.guarded_count > guarded_max ? view.guarded_count
                                                       : guarded_max;
    }
    snprintf(figure, sizeof(figure), "directory_bytes_per_member_%zu", count);
    print_figure(figure, (double)membertable_memory(table) / (double)count,
                 "bytes", 160 + 11);
    snprintf(figure, sizeof(figure), "directory_join_cpu_%zu", count);
    print_figure(figure, join_us, "us", 1000);
    snprintf(figure, sizeof(figure), "guardian_most_wards_%zu", count);
    print_figure(figure, guarded_max, "wards", 6);
    membertable_destroy(table);
}

int
main(void)
{
    static const size_t counts[] = {12, 100, 1000, MEMBERS_GOAL};
    log_init(stderr, LOG_LEVEL_OFF);
    measure_failure("process_killed", false, 0);
    measure_failure("machine_lost", true, 0);
    measure_failure("paused", false, PAUSE_US);
    measure_without_failures();
    measure_writes();
    measure_bytes();
    measure_renewal_cpu();
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        measure_directory(counts[i]);
    }
    return 0;
}
