/**
 * @file
 * Measures the store's HTTP client against the stand-in in a separate process
 * on loopback: calls per second, CPU time and bytes per call, and full scans
 * of the members and shards of the largest system.
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
#define SEQUENTIAL_CALLS 4000 /* without concurrency */
#define WORKERS 32
#define CONNECTIONS 8
#define MEMBERS 4600
#define SHARD_PAGES 4096 /* of 64 shards each */
#define MEMBER_ROW_BYTES 500
#define SHARD_PAGE_BYTES 900
#define COMMITS_GOAL 500 /* per second; several hundred are needed */
#define READS_GOAL 2000  /* per second; what the platform offers */

struct bench {
    struct runtime *runtime;
    struct counter_registry *counters;
    struct store_http *http;
    struct store store;
    bool commits;    /* false: reads */
    size_t next_row; /* row number of the next commit */
    size_t started;
    size_t ended;
    size_t total;
    int64_t latencies_us[CALLS];
    /* Scan in progress */
    struct store_scan scan;
    char after[STORE_NAME_MAX + 1];
    size_t rows;
};

/** Makes one call at a time. */
struct worker {
    struct bench *bench;
    int64_t start_us;
};

/** Cost of a run. */
struct cost {
    double seconds;
    double cpu_seconds;
    double bytes; /* sent and received */
};

static void worker_start_call(struct worker *worker);

static void
call_ended(struct worker *worker, enum store_outcome outcome)
{
    struct bench *bench = worker->bench;
    if (outcome != STORE_COMMITTED) {
        fprintf(stderr, "store call failed\n");
        exit(EXIT_FAILURE);
    }
    bench->latencies_us[bench->ended++] =
        runtime_now_us(bench->runtime) - worker->start_us;
    if (bench->ended == bench->total) {
        runtime_stop(bench->runtime);
    }
    else if (bench->started < bench->total) {
        worker_start_call(worker);
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

/** Commits a change of owner: a page of the shard map and its audit row. */
static void
start_commit(struct worker *worker, size_t number)
{
    struct store_txn *txn = store_txn_create(number + 1);
    char row[32];
    char text[SHARD_PAGE_BYTES + 1];
    memset(text, 'x', SHARD_PAGE_BYTES);
    text[SHARD_PAGE_BYTES] = '\0';
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
    store_commit(&worker->bench->store, txn, on_commit, worker);
    store_txn_destroy(txn);
}

static void
worker_start_call(struct worker *worker)
{
    struct bench *bench = worker->bench;
    const size_t number = bench->started++;
    worker->start_us = runtime_now_us(bench->runtime);
    if (bench->commits) {
        start_commit(worker, bench->next_row++);
        return;
    }
    char row[32];
    snprintf(row, sizeof(row), "patrymau/%05zu", number % CALLS);
    store_read(&bench->store, "shards", row, on_read, worker);
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
compare_times(const void *a, const void *b)
{
    const int64_t left = *(const int64_t *)a;
    const int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static struct cost
run_calls(struct bench *bench, bool commits, size_t total, size_t parallel)
{
    struct worker workers[WORKERS];
    const struct cost before = cost_now(bench);
    bench->commits = commits;
    bench->started = 0;
    bench->ended = 0;
    bench->total = total;
    for (size_t i = 0; i < parallel; i++) {
        workers[i] = (struct worker){.bench = bench};
        worker_start_call(&workers[i]);
    }
    runtime_run(bench->runtime);
    qsort(bench->latencies_us, total, sizeof(bench->latencies_us[0]),
          compare_times);
    return cost_since(bench, &before);
}

static void
on_scan(void *ctx, const struct store_read_result *result)
{
    struct bench *bench = ctx;
    if (result->outcome != STORE_COMMITTED) {
        fprintf(stderr, "store scan failed\n");
        exit(EXIT_FAILURE);
    }
    bench->rows += result->row_count;
    if (!result->has_more) {
        runtime_stop(bench->runtime);
        return;
    }
    snprintf(bench->after, sizeof(bench->after), "%s",
             result->rows[result->row_count - 1].name);
    bench->scan.after = bench->after;
    store_scan(&bench->store, &bench->scan, on_scan, bench);
}

/** Scans a whole table, page by page. */
static struct cost
run_scan(struct bench *bench, const char *table, size_t expected)
{
    const struct cost before = cost_now(bench);
    bench->rows = 0;
    bench->scan = (struct store_scan){.table = table};
    store_scan(&bench->store, &bench->scan, on_scan, bench);
    runtime_run(bench->runtime);
    if (bench->rows != expected) {
        fprintf(stderr, "scan returned %zu rows, expected %zu\n", bench->rows,
                expected);
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

/** Prints a rate, with the rate of sequential calls as the baseline. */
static void
print_rate(const char *name, double value, double goal, double sequential)
{
    printf("{\"figure\": \"%s\", \"value\": %.0f, \"unit\": \"1/s\", "
           "\"goal\": %.0f, \"better\": \"higher\", \"baseline\": %.0f, "
           "\"baseline_name\": \"one call at a time\"}\n",
           name, value, goal, sequential);
}

static double
percentile_ms(const struct bench *bench, size_t total, size_t percent)
{
    const size_t index = (total - 1) * percent / 100;
    return (double)bench->latencies_us[index] / 1e3;
}

/* CPU time of a node for control at the two-year size, in us per second. */
#define CONTROL_CPU_GOAL_US 11000.0
/* A call's share of it if one node made calls at the platform's whole rate. */
#define COMMIT_CPU_GOAL_US (CONTROL_CPU_GOAL_US / 10)
#define READ_CPU_GOAL_US (CONTROL_CPU_GOAL_US / 20)
/* Control may use 7 KB/s; one commit per second may take half of it. */
#define CALL_BYTES_GOAL 3500.0
/* A joining node must know all members within a second. */
#define SCAN_GOAL_MS 1000.0

static void
measure_calls(struct bench *bench)
{
    const struct cost commits = run_calls(bench, true, CALLS, WORKERS);
    const struct cost sequential_commits =
        run_calls(bench, true, SEQUENTIAL_CALLS, 1);
    print_rate("store_commits_per_second", CALLS / commits.seconds,
               COMMITS_GOAL, SEQUENTIAL_CALLS / sequential_commits.seconds);
    print_figure("store_commit_cpu", commits.cpu_seconds * 1e6 / CALLS, "us",
                 COMMIT_CPU_GOAL_US, "lower");
    print_figure("store_commit_bytes", commits.bytes / CALLS, "B",
                 CALL_BYTES_GOAL, "lower");
    const struct cost sequential =
        run_calls(bench, false, SEQUENTIAL_CALLS, 1);
    print_figure("store_read_latency_p50",
                 percentile_ms(bench, SEQUENTIAL_CALLS, 50), "ms", 1, "lower");
    print_figure("store_read_latency_p99",
                 percentile_ms(bench, SEQUENTIAL_CALLS, 99), "ms", 2, "lower");
    const struct cost reads = run_calls(bench, false, CALLS, WORKERS);
    print_rate("store_reads_per_second", CALLS / reads.seconds, READS_GOAL,
               SEQUENTIAL_CALLS / sequential.seconds);
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

/** Fills a table with rows of size bytes. */
static void
fill_table(struct store_memory *memory, const char *table, size_t count,
           size_t size)
{
    char text[SHARD_PAGE_BYTES + 1];
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

/** Writes the port to the pipe and serves until killed. */
static void
run_store(int port_pipe)
{
    struct address listen;
    struct runtime *runtime = runtime_create(NULL);
    struct store_memory *memory = store_memory_create(runtime, 1);
    fill_table(memory, "members", MEMBERS, MEMBER_ROW_BYTES);
    fill_table(memory, "pages", SHARD_PAGES, SHARD_PAGE_BYTES);
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
        run_store(port_pipe[1]);
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
