/**
 * @file
 * Measures the path of a request without routing decisions: caller, HTTP
 * server of an entry, RPC to a gate, adapter to a target, and back. The
 * baseline is the same caller connected to the target directly. All share one
 * event loop, so the difference is the path's CPU time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "protocol/generated/forward.h"
#include "protocol/procedures.h"
#include "protocol/rpc.h"
#include "target/target.h"

#define REQUESTS 20000 /* per round */
#define ROUNDS 9       /* median reported: the machine is shared */
#define SINGLE_REQUESTS 2000
#define OUTSTANDING 64
#define ANSWER_SIZE 200 /* bytes */
#define TIMEOUT_US (10 * US_PER_SECOND)

struct bench {
    struct runtime *runtime;
    struct counter_registry *counters;
    struct http_server *target_http;
    struct target *target; /* the gate's adapter */
    struct rpc_node *gate;
    struct rpc_node *entry;
    struct http_server *entry_http;
    struct http_client *caller;
    size_t started;
    size_t ended;
    size_t total;
    int64_t *latencies_us;
};

struct slot {
    struct bench *bench;
    int64_t start_us;
};

static void
on_target_request(void *ctx, struct http_request *request)
{
    static const char body[ANSWER_SIZE];
    (void)ctx;
    const struct http_header headers[] = {
        {"Content-Type", "application/json"},
        {"ETag", "\"0123456789abcdef\""},
    };
    http_request_reply(request, &(struct http_reply){
                                    .status = 200,
                                    .headers = headers,
                                    .header_count = 2,
                                    .body = body,
                                    .body_size = sizeof(body),
                                });
}

/** Header fields for the next hop, as in RPC messages. */
struct passed_headers {
    struct http_headers own;
    struct forward_header items[HTTP_HEADERS_MAX];
};

static void
pass_headers(struct passed_headers *passed,
             const struct http_headers *received,
             enum http_forward_kind direction)
{
    http_headers_forward(&passed->own, received, direction);
    for (size_t i = 0; i < passed->own.count; i++) {
        passed->items[i] = (struct forward_header){
            (char *)passed->own.items[i].name,
            (char *)passed->own.items[i].value,
        };
    }
}

static void
on_gate_done(void *ctx, const struct target_result *result)
{
    struct rpc_request *request = ctx;
    struct passed_headers passed = {0};
    if (result->outcome != TARGET_ANSWERED) {
        abort();
    }
    pass_headers(&passed, result->headers, HTTP_FORWARD_ANSWER);
    rpc_request_reply(
        request, &(forward_reply){
                     .owner = "",
                     .status = result->status,
                     .headers = {(u_int)passed.own.count, passed.items},
                     .body = {(u_int)result->body_size, (char *)result->body},
                 });
    http_headers_clear(&passed.own);
}

static void
on_gate_forward(void *ctx, struct rpc_request *request, const void *args)
{
    const struct bench *bench = ctx;
    const forward_request *forward = args;
    struct http_header headers[HTTP_HEADERS_MAX];
    for (u_int i = 0; i < forward->headers.headers_len; i++) {
        headers[i] = (struct http_header){
            forward->headers.headers_val[i].name,
            forward->headers.headers_val[i].value,
        };
    }
    target_forward(
        bench->target,
        &(struct target_request){
            .method = forward->method,
            .path = forward->target,
            .headers = headers,
            .header_count = forward->headers.headers_len,
            .body = forward->body.body_val,
            .body_size = forward->body.body_len,
            .keyed = true,
            .shard = forward->shard,
            .epoch = forward->epoch,
            .deadline_us = runtime_now_us(bench->runtime) + TIMEOUT_US,
            .request_id = forward->request_id,
            .done = on_gate_done,
            .ctx = request,
        });
}

static void
on_entry_done(void *ctx, enum rpc_status status, const void *result)
{
    struct http_request *request = ctx;
    const forward_reply *reply = result;
    if (status != RPC_OK) {
        abort();
    }
    struct http_header headers[HTTP_HEADERS_MAX];
    for (u_int i = 0; i < reply->headers.headers_len; i++) {
        headers[i] = (struct http_header){reply->headers.headers_val[i].name,
                                          reply->headers.headers_val[i].value};
    }
    http_request_reply(request, &(struct http_reply){
                                    .status = reply->status,
                                    .headers = headers,
                                    .header_count = reply->headers.headers_len,
                                    .body = reply->body.body_val,
                                    .body_size = reply->body.body_len,
                                });
}

static void
on_entry_request(void *ctx, struct http_request *request)
{
    const struct bench *bench = ctx;
    struct passed_headers passed = {0};
    size_t body_size;
    const void *body = http_request_body(request, &body_size);
    pass_headers(&passed, http_request_headers(request), HTTP_FORWARD_REQUEST);
    const forward_request forward = {
        .service = "slot-viewer",
        .shard = 7,
        .epoch = 3,
        .keyed = true,
        .key = "key-123456",
        .request_id = "0123456789abcdef",
        .method = (char *)http_request_method(request),
        .target = (char *)http_request_path(request),
        .headers = {(u_int)passed.own.count, passed.items},
        .body = {(u_int)body_size, (char *)body},
    };
    rpc_call_start(bench->entry,
                   &(struct rpc_call_spec){
                       .peer = rpc_node_address(bench->gate),
                       .channel = RPC_TCP,
                       .procedure = PROCEDURE_FORWARD,
                       .encode_args = (xdrproc_t)xdr_forward_request,
                       .args = &forward,
                       .decode_result = (xdrproc_t)xdr_forward_reply,
                       .result_size = sizeof(forward_reply),
                       .timeout_us = TIMEOUT_US,
                       .done = on_entry_done,
                       .ctx = request,
                   });
    http_headers_clear(&passed.own);
}

static void start_request(struct slot *slot);

static void
on_answer(void *ctx, const struct http_result *result)
{
    struct slot *slot = ctx;
    struct bench *bench = slot->bench;
    if (result->outcome != HTTP_ANSWERED || result->status != 200 ||
        result->body_size != ANSWER_SIZE) {
        fprintf(stderr, "a request failed\n");
        exit(EXIT_FAILURE);
    }
    bench->latencies_us[bench->ended++] =
        runtime_now_us(bench->runtime) - slot->start_us;
    if (bench->ended == bench->total) {
        runtime_stop(bench->runtime);
    }
    else if (bench->started < bench->total) {
        start_request(slot);
    }
}

static void
start_request(struct slot *slot)
{
    struct bench *bench = slot->bench;
    static const struct http_header headers[] = {
        {"Accept", "application/json"},
        {"User-Agent", "bench"},
        {"Idempotency-Key", "0123456789abcdef"},
    };
    slot->start_us = runtime_now_us(bench->runtime);
    bench->started++;
    http_call_start(bench->caller,
                    &(struct http_call_spec){
                        .method = "GET",
                        .target = "/slot-viewer/key-123456",
                        .headers = headers,
                        .header_count = 3,
                        .deadline_us = slot->start_us + TIMEOUT_US,
                        .done = on_answer,
                        .ctx = slot,
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

static double
percentile_us(const struct bench *bench, size_t percent)
{
    const size_t index = (bench->total - 1) * percent / 100;
    return (double)bench->latencies_us[index];
}

/** Runs requests. @return CPU time in seconds */
static double
run_requests(struct bench *bench, size_t total, size_t outstanding)
{
    struct slot slots[OUTSTANDING];
    bench->started = 0;
    bench->ended = 0;
    bench->total = total;
    const double before = cpu_seconds();
    for (size_t i = 0; i < outstanding; i++) {
        slots[i] = (struct slot){.bench = bench};
        start_request(&slots[i]);
    }
    runtime_run(bench->runtime);
    const double used = cpu_seconds() - before;
    qsort(bench->latencies_us, total, sizeof(*bench->latencies_us),
          compare_times);
    return used;
}

/** CPU time per request, and latency of requests sent one by one. */
struct measurement {
    double cpu_us;
    double p50_us;
    double p99_us;
};

static struct measurement
measure(struct bench *bench, struct http_client *caller)
{
    struct measurement measurement;
    bench->caller = caller;
    measurement.cpu_us =
        run_requests(bench, REQUESTS, OUTSTANDING) * 1e6 / REQUESTS;
    run_requests(bench, SINGLE_REQUESTS, 1);
    measurement.p50_us = percentile_us(bench, 50);
    measurement.p99_us = percentile_us(bench, 99);
    return measurement;
}

static int
compare_figures(const void *a, const void *b)
{
    const double left = *(const double *)a;
    const double right = *(const double *)b;
    return (left > right) - (left < right);
}

static double
median(double *figures)
{
    qsort(figures, ROUNDS, sizeof(*figures), compare_figures);
    return figures[ROUNDS / 2];
}

/** Returns what the path adds to a request, as medians of the rounds. */
static struct measurement
measure_rounds(struct bench *bench)
{
    struct http_client_config config = {
        .address = *http_server_address(bench->target_http),
        .connections_max = OUTSTANDING,
    };
    struct http_client *direct =
        http_client_create(bench->runtime, &config, bench->counters);
    config.address = *http_server_address(bench->entry_http);
    struct http_client *path =
        http_client_create(bench->runtime, &config, bench->counters);
    double cpu_us[ROUNDS];
    double p50_us[ROUNDS];
    double p99_us[ROUNDS];
    for (size_t i = 0; i < ROUNDS; i++) {
        const struct measurement without = measure(bench, direct);
        const struct measurement with = measure(bench, path);
        cpu_us[i] = with.cpu_us - without.cpu_us;
        p50_us[i] = with.p50_us - without.p50_us;
        p99_us[i] = with.p99_us - without.p99_us;
    }
    http_client_destroy(direct);
    http_client_destroy(path);
    return (struct measurement){median(cpu_us), median(p50_us),
                                median(p99_us)};
}

static void
print_figure(const char *name, double value, const char *unit, double goal,
             const char *better)
{
    printf("{\"figure\":\"%s\",\"value\":%.2f,\"unit\":\"%s\","
           "\"goal\":%.2f,\"better\":\"%s\"}\n",
           name, value, unit, goal, better);
}

static struct http_server *
start_http_server(struct bench *bench,
                  void (*handle)(void *ctx, struct http_request *request))
{
    struct http_server_config config = {.handle = handle, .ctx = bench};
    address_parse("127.0.0.1:0", &config.address, NULL);
    struct http_server *server =
        http_server_create(bench->runtime, &config, bench->counters, NULL);
    if (server == NULL) {
        abort();
    }
    return server;
}

static void
on_announced(void *ctx, const struct http_result *result)
{
    if (result->status != 200) {
        abort();
    }
    runtime_stop(ctx);
}

static void
announce(const struct bench *bench)
{
    char address[ADDRESS_TEXT_SIZE];
    char body[256];
    address_format(http_server_address(bench->target_http), address);
    snprintf(body, sizeof(body),
             "{\"service\":\"slot-viewer\",\"address\":\"%s\","
             "\"incarnation\":\"a\",\"slots\":100,\"connections\":%d}",
             address, OUTSTANDING + 1);
    struct http_client *client = http_client_create(
        bench->runtime,
        &(struct http_client_config){
            .address = *target_announce_address(bench->target)},
        bench->counters);
    http_call_start(
        client, &(struct http_call_spec){
                    .method = "POST",
                    .target = "/v1/announce",
                    .body = body,
                    .body_size = strlen(body),
                    .deadline_us = runtime_now_us(bench->runtime) + TIMEOUT_US,
                    .done = on_announced,
                    .ctx = bench->runtime,
                });
    runtime_run(bench->runtime);
    http_client_destroy(client);
}

static void
open_path(struct bench *bench)
{
    struct address any;
    address_parse("127.0.0.1:0", &any, NULL);
    bench->target_http = start_http_server(bench, on_target_request);
    bench->target = target_create(
        bench->runtime, &(struct target_config){.announce_address = any},
        bench->counters, NULL);
    bench->gate = rpc_node_create(bench->runtime, &any, bench->counters, NULL);
    bench->entry =
        rpc_node_create(bench->runtime, &any, bench->counters, NULL);
    if (bench->target == NULL || bench->gate == NULL || bench->entry == NULL) {
        abort();
    }
    bench->entry_http = start_http_server(bench, on_entry_request);
    rpc_node_serve(bench->gate,
                   &(struct rpc_procedure){
                       .number = PROCEDURE_FORWARD,
                       .channel = RPC_TCP,
                       .decode_args = (xdrproc_t)xdr_forward_request,
                       .args_size = sizeof(forward_request),
                       .encode_result = (xdrproc_t)xdr_forward_reply,
                       .handle = on_gate_forward,
                       .ctx = bench,
                   });
    announce(bench);
}

int
main(void)
{
    log_init(stderr, LOG_LEVEL_WARNING);
    struct bench bench = {
        .runtime = runtime_create(NULL),
        .counters = counter_registry_create(),
        .latencies_us = calloc(REQUESTS, sizeof(int64_t)),
    };
    open_path(&bench);
    const struct measurement added = measure_rounds(&bench);
    print_figure("path_forwards_per_core_second", 1e6 / added.cpu_us,
                 "forwards/s", 20000, "higher");
    print_figure("path_added_p50_us", added.p50_us, "us", 500, "lower");
    print_figure("path_added_p99_us", added.p99_us, "us", 2000, "lower");
    rpc_node_destroy(bench.entry);
    rpc_node_destroy(bench.gate);
    target_destroy(bench.target);
    http_server_destroy(bench.entry_http);
    http_server_destroy(bench.target_http);
    counter_registry_destroy(bench.counters);
    runtime_destroy(bench.runtime);
    free(bench.latencies_us);
    return EXIT_SUCCESS;
}
