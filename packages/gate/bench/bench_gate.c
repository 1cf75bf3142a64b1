/**
 * @file
 * Measures the gate: CPU time per admission decision and duplicate lookup,
 * memory per stored id, and how both grow with the tables.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "base/random.h"
#include "gate/gate.h"

#define MS INT64_C(1000)
#define RETENTION_US (INT64_C(3600) * 1000 * MS)
#define ROUNDS 1000000
#define IDS_SMALL 1000
#define IDS_LARGE 100000
#define ID_SIZE 40
#define ANSWER_SIZE 300
#define SUSPECTS_LARGE 64

static int64_t
cpu_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

static void
print_figure(const char *name, double value, const char *unit, double goal)
{
    printf("{\"figure\": \"%s\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"goal\": %g, \"better\": \"lower\"}\n",
           name, value, unit, goal);
    fflush(stdout);
}

static void
print_compared(const char *name, double value, const char *unit, double goal,
               double baseline, const char *baseline_name)
{
    printf("{\"figure\": \"%s\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"goal\": %g, \"better\": \"lower\", \"baseline\": %.3f, "
           "\"baseline_name\": \"%s\"}\n",
           name, value, unit, goal, baseline, baseline_name);
    fflush(stdout);
}

static enum admission_ownership
owns_all(void *ctx, uint32_t shard, uint64_t *epoch)
{
    (void)ctx;
    (void)shard;
    *epoch = 1;
    return ADMISSION_OWNED;
}

/* CPU time of one request from arrival to finish. */
static double
admission_cost_ns(size_t suspect_count)
{
    const struct limit_config config = {
        .slots = 20,
        .connections = 130,
        .cold_limit = 2,
        .cold_start_us = MS,
    };
    struct suspects *suspects = suspects_create(SUSPECTS_LARGE);
    for (uint64_t i = 0; i < suspect_count; i++) {
        suspects_add_crash(suspects, 0, 1, &i, 1);
    }
    struct admission *admission =
        admission_create(&config, suspects, owns_all, NULL, 0);
    admission_set_lease(admission, INT64_MAX);
    const int64_t begin_ns = cpu_ns();
    int64_t now_us = 0;
    for (int i = 0; i < ROUNDS; i++) {
        struct admission_request request = {
            .entry = {.deadline_us = now_us + 1000 * MS, .idempotent = true},
            .keyed = true,
            .epoch = 1,
            .fingerprint = 1000,
        };
        struct admission_decision decision;
        admission_arrive(admission, &request, now_us);
        admission_start(admission, &request, now_us);
        now_us += 100;
        admission_finish(admission, &request, now_us, LIMIT_SAMPLE_ANSWERED);
        admission_next(admission, now_us, &decision);
    }
    const double ns = (double)(cpu_ns() - begin_ns) / ROUNDS;
    admission_destroy(admission);
    suspects_destroy(suspects);
    return ns;
}

struct dedup_cost {
    double begin_ns;   /* of a new id, from begin to finish */
    double replay_ns;  /* of a finished id */
    double bytes;      /* per id, by dedup_bytes() */
    double heap_bytes; /* per id, by mallinfo2() */
};

static void
fill_id(char *id, size_t i)
{
    snprintf(id, ID_SIZE, "1800000000000-%020zu", i);
}

static double
measure_replay_ns(struct dedup *dedup, size_t ids,
                  const struct dedup_time *time)
{
    struct random_state random;
    random_seed(&random, 1);
    char id[ID_SIZE];
    const struct dedup_request request = {.shard = 1, .key = 9, .id = id};
    struct dedup_waiter waiter;
    const int64_t begin_ns = cpu_ns();
    for (int i = 0; i < IDS_LARGE; i++) {
        fill_id(id, random_below(&random, ids));
        const struct dedup_result result =
            dedup_begin(dedup, &request, &waiter, time);
        if (result.verdict != DEDUP_REPLAY) {
            abort();
        }
    }
    return (double)(cpu_ns() - begin_ns) / IDS_LARGE;
}

static struct dedup_cost
measure_dedup(size_t ids)
{
    const struct dedup_config config = {
        .retention_us = RETENTION_US,
        .clock_margin_us = 1000 * MS,
        .bytes_max = (size_t)1 << 30,
    };
    const struct dedup_time time = {
        .now_us = MS,
        .wall_ms = INT64_C(1800000000000),
    };
    static const char answer[ANSWER_SIZE];
    const size_t heap_before = mallinfo2().uordblks;
    struct dedup *dedup = dedup_create(&config);
    dedup_acquire_shard(dedup, 1, DEDUP_ACQUIRED_NEW, &time);
    char id[ID_SIZE];
    const struct dedup_request request = {.shard = 1, .key = 9, .id = id};
    const int64_t begin_ns = cpu_ns();
    for (size_t i = 0; i < ids; i++) {
        struct dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
        struct dedup_waiter waiter;
        fill_id(id, i);
        const struct dedup_result result =
            dedup_begin(dedup, &request, &waiter, &time);
        dedup_mark_dispatched(result.entry);
        dedup_finish(dedup, result.entry, answer, sizeof(answer), time.now_us,
                     &waiters);
    }
    struct dedup_cost cost = {
        .begin_ns = (double)(cpu_ns() - begin_ns) / (double)ids,
        .bytes = (double)dedup_bytes(dedup) / (double)ids,
        .heap_bytes =
            (double)(mallinfo2().uordblks - heap_before) / (double)ids,
    };
    cost.replay_ns = measure_replay_ns(dedup, ids, &time);
    dedup_destroy(dedup);
    return cost;
}

static void
bench_handover(void)
{
    const struct dedup_config config = {
        .retention_us = RETENTION_US,
        .clock_margin_us = 1000 * MS,
        .bytes_max = (size_t)1 << 30,
    };
    const struct dedup_time time = {
        .now_us = MS,
        .wall_ms = INT64_C(1800000000000),
    };
    struct dedup *from = dedup_create(&config);
    struct dedup *to = dedup_create(&config);
    dedup_acquire_shard(from, 1, DEDUP_ACQUIRED_NEW, &time);
    char id[ID_SIZE];
    const struct dedup_request request = {.shard = 1, .key = 9, .id = id};
    for (size_t i = 0; i < IDS_SMALL; i++) {
        struct dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
        struct dedup_waiter waiter;
        fill_id(id, i);
        struct dedup_entry *entry =
            dedup_begin(from, &request, &waiter, &time).entry;
        dedup_finish(from, entry, id, sizeof(id), time.now_us, &waiters);
    }
    const int64_t begin_ns = cpu_ns();
    size_t size;
    void *blob = dedup_export(from, 1, (size_t)1 << 24, time.now_us, &size);
    if (!dedup_import(to, 1, blob, size, time.now_us, NULL)) {
        abort();
    }
    print_figure("handover_cpu_per_id",
                 (double)(cpu_ns() - begin_ns) / IDS_SMALL, "ns", 2000);
    print_figure("handover_bytes_per_id", (double)size / IDS_SMALL, "bytes",
                 200);
    free(blob);
    dedup_destroy(from);
    dedup_destroy(to);
}

int
main(void)
{
    log_init(stderr, LOG_LEVEL_WARNING);
    const double clear_ns = admission_cost_ns(0);
    const double suspects_ns = admission_cost_ns(SUSPECTS_LARGE);
    print_figure("admission_cpu", clear_ns, "ns", 1000);
    print_compared("admission_cpu_with_64_suspects", suspects_ns, "ns", 1000,
                   clear_ns, "no_suspects");
    const struct dedup_cost small = measure_dedup(IDS_SMALL);
    const struct dedup_cost large = measure_dedup(IDS_LARGE);
    print_figure("duplicate_new_id_cpu", large.begin_ns, "ns", 2000);
    print_compared("duplicate_lookup_cpu_100000_ids", large.replay_ns, "ns",
                   2000, small.replay_ns, "1000_ids");
    print_compared("duplicate_memory_per_id", large.bytes, "bytes", 600,
                   ANSWER_SIZE, "answer_alone");
    print_compared("duplicate_heap_per_id", large.heap_bytes, "bytes", 600,
                   large.bytes, "as_the_table_counts");
    bench_handover();
    return 0;
}
