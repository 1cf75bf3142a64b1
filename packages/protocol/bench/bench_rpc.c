/**
 * @file
 * Measures the RPC transport: calls per second on one core, latency of a
 * call, and bytes per call and reply. Client and server share one event
 * loop, so the figures cover both sides together.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "protocol/generated/forward.h"
#include "protocol/procedures.h"
#include "protocol/rpc.h"

#define CALLS 200000
#define SEQUENTIAL_CALLS 20000
#define OUTSTANDING 128
#define OUTSTANDING_MANY 20000
#define HEADERS 8
#define BODY_SIZE 200 /* bytes */
#define LARGE_BODY_SIZE (8u << 20)
#define LARGE_CALLS 20
#define TIMEOUT_US (10 * US_PER_SECOND)

struct bench {
    struct runtime *runtime;
    struct counter_registry *counters;
    struct rpc_node *server;
    struct rpc_node *client;
    forward_request request;
    forward_reply reply;
    size_t started;
    size_t ended;
    size_t total;
    int64_t *latencies_us;
    enum rpc_channel channel;
};

/** An outstanding call; started again when it ends. */
struct bench_call {
    struct bench *bench;
    int64_t start_us;
};

static struct forward_header headers[HEADERS];

static void
fill_messages(struct bench *bench)
{
    static char name[] = "X-Example-Header";
    static char value[] = "a value of usual length";
    static char body[BODY_SIZE];
    for (size_t i = 0; i < HEADERS; i++) {
        headers[i] = (struct forward_header){name, value};
    }
    bench->request = (forward_request){
        .service = "slot-viewer",
        .key = "family-123456",
        .request_id = "0123456789abcdef",
        .method = "GET",
        .target = "/slot-viewer/family-123456?from=2026-12-01",
        .headers = {HEADERS, headers},
    };
    bench->reply = (forward_reply){
        .owner = "",
        .status = 200,
        .headers = {HEADERS, headers},
        .body = {BODY_SIZE, body},
    };
}

static void
on_forward(void *ctx, struct rpc_request *request, const void *args)
{
    const struct bench *bench = ctx;
    (void)args;
    rpc_request_reply(request, &bench->reply);
}

static void
on_echo(void *ctx, struct rpc_request *request, const void *args)
{
    (void)ctx;
    rpc_request_reply(request, args);
}

static void bench_call_start(struct bench_call *bench_call);

static void
on_done(void *ctx, enum rpc_status status, const void *result)
{
    struct bench_call *bench_call = ctx;
    struct bench *bench = bench_call->bench;
    (void)result;
    if (status != RPC_OK) {
        fprintf(stderr, "RPC call failed with status %d\n", status);
        exit(EXIT_FAILURE);
    }
    bench->latencies_us[bench->ended++] =
        runtime_now_us(bench->runtime) - bench_call->start_us;
    if (bench->ended == bench->total) {
        runtime_stop(bench->runtime);
    }
    else if (bench->started < bench->total) {
        bench_call_start(bench_call);
    }
}

static void
bench_call_start(struct bench_call *bench_call)
{
    struct bench *bench = bench_call->bench;
    static const uint64_t number = 1;
    const bool stream = bench->channel == RPC_TCP;
    bench_call->start_us = runtime_now_us(bench->runtime);
    bench->started++;
    rpc_call_start(
        bench->client,
        &(struct rpc_call_spec){
            .peer = rpc_node_address(bench->server),
            .channel = bench->channel,
            .procedure = stream ? PROCEDURE_FORWARD : PROCEDURE_RENEW,
            .encode_args = stream ? (xdrproc_t)xdr_forward_request
                                  : (xdrproc_t)xdr_uint64_t,
            .args = stream ? (const void *)&bench->request : &number,
            .decode_result = stream ? (xdrproc_t)xdr_forward_reply
                                    : (xdrproc_t)xdr_uint64_t,
            .result_size = stream ? sizeof(forward_reply) : sizeof(uint64_t),
            .timeout_us = TIMEOUT_US,
            .done = on_done,
            .ctx = bench_call,
        });
}

static int
compare_times(const void *a, const void *b)
{
    const int64_t left = *(const int64_t *)a;
    const int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static double
cpu_seconds(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

/** Runs calls. @return the CPU time in seconds */
static double
run_calls(struct bench *bench, size_t total, size_t outstanding)
{
    struct bench_call *bench_calls = calloc(outstanding, sizeof(*bench_calls));
    if (bench_calls == NULL) {
        abort();
    }
    bench->started = 0;
    bench->ended = 0;
    bench->total = total;
    const double before = cpu_seconds();
    for (size_t i = 0; i < outstanding; i++) {
        bench_calls[i] = (struct bench_call){.bench = bench};
        bench_call_start(&bench_calls[i]);
    }
    runtime_run(bench->runtime);
    const double used = cpu_seconds() - before;
    free(bench_calls);
    qsort(bench->latencies_us, total, sizeof(*bench->latencies_us),
          compare_times);
    return used;
}

/** The given percentile of the latency of total calls. */
static double
percentile_us(const struct bench *bench, size_t total, size_t percent)
{
    const size_t index = (total - 1) * percent / 100;
    return (double)bench->latencies_us[index];
}

static void
print_figure(const char *name, double value, const char *unit, double goal,
             const char *better)
{
    printf("{\"figure\":\"%s\",\"value\":%.2f,\"unit\":\"%s\","
           "\"goal\":%.2f,\"better\":\"%s\"}\n",
           name, value, unit, goal, better);
}

static void
measure_forward(struct bench *bench)
{
    bench->channel = RPC_TCP;
    const double used = run_calls(bench, CALLS, OUTSTANDING);
    print_figure("rpc_forwards_per_core_second", CALLS / used, "calls/s",
                 60000, "higher");
    const double used_many = run_calls(bench, CALLS, OUTSTANDING_MANY);
    print_figure("rpc_forwards_per_core_second_20000_outstanding",
                 CALLS / used_many, "calls/s", 60000, "higher");
    const int64_t before =
        counter_add(bench->counters, "rpc_bytes_sent", "")->value;
    run_calls(bench, SEQUENTIAL_CALLS, 1);
    const int64_t bytes =
        counter_add(bench->counters, "rpc_bytes_sent", "")->value - before;
    print_figure("rpc_forward_p50_us",
                 percentile_us(bench, SEQUENTIAL_CALLS, 50), "us", 100,
                 "lower");
    print_figure("rpc_forward_p99_us",
                 percentile_us(bench, SEQUENTIAL_CALLS, 99), "us", 500,
                 "lower");
    print_figure("rpc_forward_bytes", (double)bytes / SEQUENTIAL_CALLS,
                 "bytes/call and reply", 2000, "lower");
}

static void
measure_big(struct bench *bench)
{
    char *body = calloc(1, LARGE_BODY_SIZE);
    if (body == NULL) {
        abort();
    }
    bench->request.body.body_len = LARGE_BODY_SIZE;
    bench->request.body.body_val = body;
    const double used = run_calls(bench, LARGE_CALLS, 1);
    bench->request.body.body_len = 0;
    print_figure("rpc_big_body_cpu_ms", used / LARGE_CALLS * 1000,
                 "ms per 8 MiB, both sides", 20, "lower");
    free(body);
}

static void
measure_datagram(struct bench *bench)
{
    bench->channel = RPC_UDP;
    const double used = run_calls(bench, CALLS, 16);
    print_figure("rpc_datagrams_per_core_second", CALLS / used, "calls/s",
                 50000, "higher");
}

static struct rpc_node *
create_node(const struct bench *bench)
{
    struct address any;
    address_parse("127.0.0.1:0", &any, NULL);
    struct rpc_node *node =
        rpc_node_create(bench->runtime, &any, bench->counters, NULL);
    if (node == NULL) {
        abort();
    }
    return node;
}

int
main(void)
{
    struct bench bench = {
        .runtime = runtime_create(NULL),
        .counters = counter_registry_create(),
        .latencies_us = calloc(CALLS, sizeof(int64_t)),
    };
    fill_messages(&bench);
    bench.server = create_node(&bench);
    bench.client = create_node(&bench);
    rpc_node_serve(bench.server,
                   &(struct rpc_procedure){
                       .number = PROCEDURE_FORWARD,
                       .channel = RPC_TCP,
                       .decode_args = (xdrproc_t)xdr_forward_request,
                       .args_size = sizeof(forward_request),
                       .encode_result = (xdrproc_t)xdr_forward_reply,
                       .handle = on_forward,
                       .ctx = &bench,
                   });
    rpc_node_serve(bench.server, &(struct rpc_procedure){
                                     .number = PROCEDURE_RENEW,
                                     .channel = RPC_UDP,
                                     .decode_args = (xdrproc_t)xdr_uint64_t,
                                     .args_size = sizeof(uint64_t),
                                     .encode_result = (xdrproc_t)xdr_uint64_t,
                                     .handle = on_echo,
                                 });
    measure_forward(&bench);
    measure_big(&bench);
    measure_datagram(&bench);
    rpc_node_destroy(bench.client);
    rpc_node_destroy(bench.server);
    counter_registry_destroy(bench.counters);
    runtime_destroy(bench.runtime);
    free(bench.latencies_us);
    return EXIT_SUCCESS;
}
