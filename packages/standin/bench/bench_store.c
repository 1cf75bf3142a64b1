/**
 * @file
 * Measures the store's client over HTTP against the stand-in in a process of
 * its own, on loopback: calls a second, processor time and bytes for each
 * call, and a whole read of the members and shards of the largest system.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "standin/storeserver.h"
#include "store/audit.h"
#include "store/storehttp.h"

#define CALLS 20000
#define ALONE_CALLS 4000 /* one after the other */
#define PARALLEL 32
#define CONNECTIONS 8
#define MEMBERS 4600
#define SHARD_PAGES 4096 /* of 64 shards */
#define MEMBER_SIZE 500  /* bytes of a members row */
#define PAGE_SIZE 900    /* bytes of a page of the shard map */
#define GOAL_COMMITS 500 /* several hundred writes a second */
#define GOAL_READS 2000  /* reads a second that the platform gives */

struct bench {
    struct runtime *runtime;
    struct counter_registry *counters;
    struct store_http *http;
    struct store store;
    bool commits; /* else reads */
    size_t first; /* number of the next row that a commit writes */
    size_t started;
    size_t ended;
    size_t total;
    int64_t latencies_us[CALLS];
    /* Of a scan */
    struct store_scan scan;
    char after[STORE_NAME_MAX + 1];
    size_t rows;
};

/** One call at a time. */
struct slot {
    struct bench *bench;
    int64_t start_us;
};

/** What a run cost. */
struct cost {
    double seconds;
    double cpu_seconds;
    double bytes; /* both ways */
};

static void start_call(struct slot *slot);

static void
call_ended(struct slot *slot, enum store_outcome outcome)
{
    struct bench *bench = slot->bench;
    if (outcome != STORE_COMMITTED) {
        fprintf(stderr, "a call failed\n");
        exit(EXIT_FAILURE);
    }
    bench->latencies_us[bench->ended++] =
        runtime_now_us(bench->runtime) - slot->start_us;
    if (bench->ended == bench->total) {
        runtime_stop(bench->runtime);
    }
    else if (bench->started < bench->total) {
        start_call(slot);
    }
}

static void
on_commit(void *ctx, const struct store_commit_result *result)
{
    call_ended(ctx, result->outcome);
}

static void
on_read(void *ctx, const struct store_read_result *result)
{
    call_ended(ctx, result->outcome);
}

/** A change of an owner: a page of the shard map and its audit row. */
static void
start_commit(struct slot *slot, size_t number)
{
    struct store_txn *txn = store_txn_create(number + 1);
    char row[32];
    char text[PAGE_SIZE + 1];
    memset(text, 'x', PAGE_SIZE);
    text[PAGE_SIZE] = '\0';
    snprintf(row, sizeof(row), "patrymau/%05zu", number);
    store_txn_expect(txn, "shards", row, 0);
    store_txn_put(txn, "shards", row, json_pack("{s:s}", "page", text));
    const struct audit_entry entry = {
        .who = "patrymau-1",
        .what = "move",
        .subject = row,
        .why = "overload",
        .result = "done",
        .at_us = (int64_t)number,
    };
    audit_add(txn, &entry);
    store_commit(&slot->bench->store, txn, on_commit, slot);
    store_txn_destroy(txn);
}

static void
start_call(struct slot *slot)
{
    struct bench *bench = slot->bench;
    const size_t number = bench->started++;
    slot->start_us = runtime_now_us(bench->runtime);
    if (bench->commits) {
        start_commit(slot, bench->first++);
        return;
    }
    char row[32];
    snprintf(row, sizeof(row), "patrymau/%05zu", number % CALLS);
    store_read(&bench->store, "shards", row, on_read, slot);
}

static double
cpu_seconds(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static double
wire_bytes(const struct bench *bench)
{
    const struct counter *sent =
        counter_add(bench->counters, "store_sent_bytes", "");
    const struct counter *received =
        counter_add(bench->counters, "store_received_bytes", "");
    return (double)(sent->value + received->value);
}

static struct cost
cost_now(const struct bench *bench)
{
    return (struct cost){
        .seconds = (double)runtime_now_us(bench->runtime) / 1e6,
        .cpu_seconds = cpu_seconds(),
        .bytes = wire_bytes(bench),
    };
}

static struct cost
cost_since(const struct bench *bench, const struct cost *before)
{
    const struct cost now = cost_now(bench);
    return (struct cost){
        .seconds = now.seconds - before->seconds,
        .cpu_seconds = now.cpu_seconds - before->cpu_seconds,
        .bytes = now.bytes - before->bytes,
    };
}

static int
compare(const void *a, const void *b)
{
    const int64_t left = *(const int64_t *)a;
    const int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static struct cost
run_calls(struct bench *bench, bool commits, size_t total, size_t parallel)
{
    struct slot slots[PARALLEL];
    const struct cost before = cost_now(bench);
    bench->commits = commits;
    bench->started = 0;
    bench->ended = 0;
    bench->total = total;
    for (size_t i = 0; i < parallel; i++) {
        slots[i] = (struct slot){.bench = bench};
        start_call(&slots[i]);
    }
    runtime_run(bench->runtime);
    qsort(bench->latencies_us, total, sizeof(bench->latencies_us[0]), compare);
    return cost_since(bench, &before);
}

static void
on_scan(void *ctx, const struct store_read_result *result)
{
    struct bench *bench = ctx;
    if (result->outcome != STORE_COMMITTED) {
        fprintf(stderr, "a scan failed\n");
        exit(EXIT_FAILURE);
    }
    bench->rows += result->row_count;
    if (!result->more) {
        runtime_stop(bench->runtime);
        return;
    }
    snprintf(bench->after, sizeof(bench->after), "%s",
             result->rows[result->row_count - 1].name);
    bench->scan.after = bench->after;
    store_scan(&bench->store, &bench->scan, on_scan, bench);
}

/** Reads a whole table, page by page. */
static struct cost
run_scan(struct bench *bench, const char *table, size_t expected)
{
    const struct cost before = cost_now(bench);
    bench->rows = 0;
    bench->scan = (struct store_scan){.table = table};
    store_scan(&bench->store, &bench->scan, on_scan, bench);
    runtime_run(bench->runtime);
    if (bench->rows != expected) {
        fprintf(stderr, "%zu rows in place of %zu\n", bench->rows, expected);
        exit(EXIT_FAILURE);
    }
    return cost_since(bench, &before);
}

static void
print_figure(const char *name, double value, const char *unit, double goal,
             const char *better)
{
    printf("{\"figure\": \"%s\", \"value\": %.3f, \"unit\": \"%s\", "
           "\"goal\": %.3f, \"better\": \"%s\"}\n",
           name, value, unit, goal, better);
}

/** Prints a rate with the same calls made one after the other. */
static void
print_rate(const char *name, double value, double goal, double alone)
{
    printf("{\"figure\": \"%s\", \"value\": %.0f, \"unit\": \"1/s\", "
           "\"goal\": %.0f, \"better\": \"higher\", \"baseline\": %.0f, "
           "\"baseline_name\": \"one call at a time\"}\n",
           name, value, goal, alone);
}

static double
percentile_ms(const struct bench *bench, size_t total, size_t percent)
{
    const size_t index = (total - 1) * percent / 100;
    return (double)bench->latencies_us[index] / 1e3;
}

/* Core of a node for control at the two-year size, in us per second. */
#define CORE_GOAL_US 11000.0
/* A core's share if the platform's whole rate came from one node. */
#define COMMIT_CPU_GOAL_US (CORE_GOAL_US / 10)
#define READ_CPU_GOAL_US (CORE_GOAL_US / 20)
/* 7 KB a second for control: a commit a second may take half. */
#define CALL_BYTES_GOAL 3500.0
/* A joining node has a second to know the others. */
#define SCAN_GOAL_MS 1000.0

static void
measure_calls(struct bench *bench)
{
    const struct cost commits = run_calls(bench, true, CALLS, PARALLEL);
    const struct cost alone_commits = run_calls(bench, true, ALONE_CALLS, 1);
    print_rate("store_commits_per_second", CALLS / commits.seconds,
               GOAL_COMMITS, ALONE_CALLS / alone_commits.seconds);
    print_figure("store_commit_cpu", commits.cpu_seconds * 1e6 / CALLS, "us",
                 COMMIT_CPU_GOAL_US, "lower");
    print_figure("store_commit_bytes", commits.bytes / CALLS, "B",
                 CALL_BYTES_GOAL, "lower");
    const struct cost alone = run_calls(bench, false, ALONE_CALLS, 1);
    print_figure("store_read_latency_p50",
                 percentile_ms(bench, ALONE_CALLS, 50), "ms", 1, "lower");
    print_figure("store_read_latency_p99",
                 percentile_ms(bench, ALONE_CALLS, 99), "ms", 2, "lower");
    const struct cost reads = run_calls(bench, false, CALLS, PARALLEL);
    print_rate("store_reads_per_second", CALLS / reads.seconds, GOAL_READS,
               ALONE_CALLS / alone.seconds);
    print_figure("store_read_cpu", reads.cpu_seconds * 1e6 / CALLS, "us",
                 READ_CPU_GOAL_US, "lower");
    print_figure("store_read_bytes", reads.bytes / CALLS, "B", CALL_BYTES_GOAL,
                 "lower");
}

static void
measure_scans(struct bench *bench)
{
    const struct cost members = run_scan(bench, "members", MEMBERS);
    print_figure("store_scan_members_time", members.seconds * 1e3, "ms",
                 SCAN_GOAL_MS, "lower");
    print_figure("store_scan_members_cpu", members.cpu_seconds * 1e3, "ms",
                 SCAN_GOAL_MS / 2, "lower");
    print_figure("store_scan_members_bytes", members.bytes / 1e6, "MB", 8,
                 "lower");
    const struct cost pages = run_scan(bench, "pages", SHARD_PAGES);
    print_figure("store_scan_shards_time", pages.seconds * 1e3, "ms",
                 SCAN_GOAL_MS, "lower");
    print_figure("store_scan_shards_cpu", pages.cpu_seconds * 1e3, "ms",
                 SCAN_GOAL_MS / 2, "lower");
    print_figure("store_scan_shards_bytes", pages.bytes / 1e6, "MB", 8,
                 "lower");
}

/** Fills a table of the server with rows of a size. */
static void
fill_table(struct store_memory *memory, const char *table, size_t count,
           size_t size)
{
    char text[PAGE_SIZE + 1];
    memset(text, 'x', size);
    text[size] = '\0';
    for (size_t i = 0; i < count; i++) {
        char row[32];
        struct store_commit_result result;
        struct store_txn *txn = store_txn_create(i + 1);
        snprintf(row, sizeof(row), "row-%05zu", i);
        store_txn_put(txn, table, row, json_pack("{s:s}", "value", text));
        store_tables_commit(store_memory_tables(memory), txn, &result);
        store_txn_destroy(txn);
    }
}

/** Serves until it is killed; writes its port to the pipe. */
static void
serve(int port_pipe)
{
    struct address listen;
    struct runtime *runtime = runtime_create(NULL);
    struct store_memory *memory = store_memory_create(runtime, 1);
    fill_table(memory, "members", MEMBERS, MEMBER_SIZE);
    fill_table(memory, "pages", SHARD_PAGES, PAGE_SIZE);
    address_parse("127.0.0.1:0", &listen, NULL);
    struct store_server *server =
        store_server_create(runtime, memory, &listen, NULL);
    if (server == NULL) {
        _exit(EXIT_FAILURE);
    }
    const uint16_t port = store_server_port(server);
    if (write(port_pipe, &port, sizeof(port)) != sizeof(port)) {
        _exit(EXIT_FAILURE);
    }
    runtime_run(runtime);
    _exit(EXIT_SUCCESS);
}

static void
measure(uint16_t port)
{
    static struct bench bench;
    char text[ADDRESS_TEXT_SIZE];
    struct store_http_options options = {.connections = CONNECTIONS};
    snprintf(text, sizeof(text), "127.0.0.1:%u", port);
    address_parse(text, &options.address, NULL);
    bench.runtime = runtime_create(NULL);
    bench.counters = counter_registry_create();
    options.counters = bench.counters;
    bench.http = store_http_create(bench.runtime, &options, NULL);
    bench.store = store_http_store(bench.http);
    measure_calls(&bench);
    measure_scans(&bench);
    store_http_destroy(bench.http);
    counter_registry_destroy(bench.counters);
    runtime_destroy(bench.runtime);
}

int
main(void)
{
    int port_pipe[2];
    uint16_t port;
    if (pipe(port_pipe) != 0) {
        return EXIT_FAILURE;
    }
    const pid_t server = fork();
    if (server == 0) {
        serve(port_pipe[1]);
    }
    if (server < 0 ||
        read(port_pipe[0], &port, sizeof(port)) != sizeof(port)) {
        return EXIT_FAILURE;
    }
    measure(port);
    kill(server, SIGTERM);
    waitpid(server, NULL, 0);
    return EXIT_SUCCESS;
}
