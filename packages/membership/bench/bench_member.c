/**
 * @file
 * Measures members over sockets on 127.0.0.1 for several member counts: CPU
 * time and store operations, and the loss of a zone, whose processes are
 * paused. The clock is manual, so all figures but the CPU time are
 * reproducible.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "membership/membertask.h"
#include "store/storememory.h"

#define LOG_MODULE "bench"
#include "base/log.h"

#define JOIN_S 8
#define RUN_S 60
#define STEP_US (5 * US_PER_MS)
#define ZONES 3
#define STORE_LATENCY_US (8 * US_PER_MS)
#define CPU_GOAL_PERCENT 1.1   /* of a core, for all control traffic */
#define WRITES_PER_S_GOAL 0.05 /* per member */
#define READS_PER_S_GOAL 200.0 /* a tenth of the store's capacity */
#define LOSS_MAX_US (20 * US_PER_SECOND)
#define LOSS_SETTLE_S 10
#define FENCE_GOAL_MS 850.0           /* 1 s minus 150 ms for placement */
#define STORE_WRITES_PER_S_GOAL 300.0 /* the store's minimum capacity */
#define NS_PER_S 1e9
#define PERCENT 100.0

struct process {
    struct counter_registry *counters;
    struct rpc_node *node;
    struct membertask *task;
};

struct bench {
    struct runtime *runtime;
    struct runtime *zone_runtime; /* of the first zone's processes */
    bool zone_lost;
    struct store_memory *memory;
    struct store store;
    struct process *processes;
    size_t count;
};

static void
start_process(struct bench *bench, size_t number)
{
    struct process *process = &bench->processes[number];
    struct runtime *runtime =
        number % ZONES == 0 ? bench->zone_runtime : bench->runtime;
    struct address address;
    address_parse("127.0.0.1:0", &address, NULL);
    process->counters = counter_registry_create();
    process->node =
        rpc_node_create(runtime, &address, process->counters, NULL);
    if (process->node == NULL) {
        fprintf(stderr, "bench_member: no socket\n");
        exit(1);
    }
    struct membertask_config config = {
        .runtime = runtime,
        .store = &bench->store,
        .transport = member_transport_rpc(process->node),
        .counters = process->counters,
        .seed = number + 1,
    };
    struct member *self = &config.self;
    snprintf(self->self.instance, sizeof(self->self.instance), "i-%zu",
             number);
    snprintf(self->zone, sizeof(self->zone), "zone-%zu", number % ZONES);
    member_copy_name(self->region, "powys");
    self->rpc = *rpc_node_address(process->node);
    self->http = self->rpc;
    self->lease_us = 750 * US_PER_MS;
    self->renewal_max_us = 3600 * US_PER_SECOND;
    process->task = membertask_create(&config, NULL);
    member_transport_serve(process->node, process->task);
}

static void
run(struct bench *bench, int64_t duration_us)
{
    for (int64_t us = 0; us < duration_us; us += STEP_US) {
        runtime_advance(bench->runtime, STEP_US);
        if (!bench->zone_lost) {
            runtime_advance(bench->zone_runtime, STEP_US);
        }
    }
}

static double
cpu_seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / NS_PER_S;
}

static double
sum_counter(const struct bench *bench, const char *name)
{
    int64_t sum = 0;
    for (size_t i = 0; i < bench->count; i++) {
        sum += counter_add(bench->processes[i].counters, name, "")->value;
    }
    return (double)sum;
}

static void
print_figure(const char *name, size_t count, double value, const char *unit,
             double goal)
{
    printf("{\"figure\": \"%s_%zu\", \"value\": %.6g, \"unit\": \"%s\", "
           "\"goal\": %.6g, \"better\": \"lower\"}\n",
           name, count, value, unit, goal);
}

/** Number of members of the lost zone that are count_fenced. */
static size_t
count_fenced(const struct bench *bench)
{
    size_t sum = 0;
    for (size_t i = 0; i < bench->count; i += ZONES) {
        char name[STATE_NAME_MAX + 1];
        struct store_row row;
        snprintf(name, sizeof(name), "i-%zu", i);
        store_tables_read(store_memory_tables(bench->memory), MEMBER_TABLE,
                          name, &row);
        const char *state =
            json_string_value(json_object_get(row.value, "state"));
        sum += strcmp(state, "fenced") == 0;
    }
    return sum;
}

/** Pauses the processes of a zone until all of its members are count_fenced.
 */
static void
lose_zone(struct bench *bench)
{
    const size_t lost = (bench->count + ZONES - 1) / ZONES;
    const double before = sum_counter(bench, "member_store_writes");
    double writes_max = 0;
    double second_start = before;
    int64_t us = 0;
    bench->zone_lost = true;
    while (count_fenced(bench) < lost && us < LOSS_MAX_US) {
        run(bench, STEP_US);
        us += STEP_US;
    }
    print_figure("member_zone_lost_until_all_fenced", bench->count,
                 (double)us / (double)US_PER_MS, "ms", FENCE_GOAL_MS);
    for (int second = 0; second < LOSS_SETTLE_S; second++) {
        run(bench, US_PER_SECOND);
        double now = sum_counter(bench, "member_store_writes");
        writes_max =
            now - second_start > writes_max ? now - second_start : writes_max;
        second_start = now;
    }
    print_figure("member_zone_lost_store_writes_per_lost", bench->count,
                 (second_start - before) / (double)lost, "writes", 6);
    print_figure("member_zone_lost_most_store_writes", bench->count,
                 writes_max, "writes in 1 s", STORE_WRITES_PER_S_GOAL);
    print_figure("member_zone_lost_false_fences", bench->count,
                 sum_counter(bench, "member_lease_losses"), "members", 0);
}

static void
measure(size_t count)
{
    struct bench bench = {.count = count};
    const struct store_faults faults = {.latency_us = STORE_LATENCY_US};
    const double member_seconds = (double)count * RUN_S;
    bench.runtime = runtime_create_manual(US_PER_SECOND, NULL);
    bench.zone_runtime = runtime_create_manual(US_PER_SECOND, NULL);
    bench.memory = store_memory_create(bench.runtime, 1);
    bench.store = store_memory_store(bench.memory);
    bench.processes = calloc(count, sizeof(*bench.processes));
    store_memory_set_faults(bench.memory, &faults);
    for (size_t i = 0; i < count; i++) {
        start_process(&bench, i);
    }
    run(&bench, JOIN_S * US_PER_SECOND);
    double joins = sum_counter(&bench, "member_store_writes");
    double reads = sum_counter(&bench, "member_store_reads");
    double start = cpu_seconds();
    run(&bench, RUN_S * US_PER_SECOND);
    double cpu = cpu_seconds() - start;
    print_figure("member_cpu", count, cpu / member_seconds * PERCENT,
                 "% of a core", CPU_GOAL_PERCENT);
    print_figure("member_store_writes_to_join", count, joins / (double)count,
                 "writes", 5);
    print_figure("member_store_writes", count,
                 (sum_counter(&bench, "member_store_writes") - joins) /
                     member_seconds,
                 "writes/s/member", WRITES_PER_S_GOAL);
    print_figure("member_store_reads", count,
                 (sum_counter(&bench, "member_store_reads") - reads) / RUN_S,
                 "reads/s", READS_PER_S_GOAL);
    print_figure("member_lapses", count,
                 sum_counter(&bench, "member_lease_lapses"), "in 60 s", 0);
    print_figure("member_false_fences", count,
                 sum_counter(&bench, "member_fences"), "in 60 s", 0);
    lose_zone(&bench);
    store_memory_destroy(bench.memory);
    for (size_t i = 0; i < count; i++) {
        membertask_destroy(bench.processes[i].task);
        rpc_node_destroy(bench.processes[i].node);
        counter_registry_destroy(bench.processes[i].counters);
    }
    free(bench.processes);
    runtime_destroy(bench.runtime);
    runtime_destroy(bench.zone_runtime);
}

int
main(void)
{
    static const size_t counts[] = {12, 48, 192};
    log_init(stderr, LOG_LEVEL_OFF);
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        measure(counts[i]);
    }
    return 0;
}
