/**
 * @file
 * Measures the HTTP server and client; the baseline is libevent's evhttp
 * client with the same server. All share one event loop, so the figures
 * cover both sides together.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "http/httpserver.h"

#define REQUESTS 100000
#define SEQUENTIAL_REQUESTS 20000
#define CONNECTIONS 64
#define BODY_SIZE 200 /* bytes */
#define LARGE_BODY_SIZE (8u << 20)
#define LARGE_REQUESTS 20
#define TIMEOUT_US (10 * US_PER_SECOND)

struct bench {
    struct runtime *runtime;
    struct counter_registry *counters;
    struct http_server *server;
    struct http_client *client;
    struct evhttp_connection *evhttp[CONNECTIONS];
    bool use_evhttp;
    const char *body; /* of requests; answers echo it */
    size_t body_size;
    size_t started;
    size_t ended;
    size_t total;
    int64_t *latencies_us;
};

/** An outstanding request; started again when it ends. */
struct bench_request {
    struct bench *bench;
    size_t index;
    int64_t start_us;
};

static const struct http_header headers[] = {
    {"X-Example-One", "a value of usual length"},
    {"X-Example-Two", "a value of usual length"},
    {"X-Example-Three", "a value of usual length"},
    {"X-Example-Four", "a value of usual length"},
};

#define HEADER_COUNT (sizeof(headers) / sizeof(headers[0]))

static void
on_request(void *ctx, struct http_request *request)
{
    static char answer[BODY_SIZE];
    (void)ctx;
    size_t size;
    const void *body = http_request_body(request, &size);
    http_request_reply(request,
                       &(struct http_reply){
                           .status = 200,
                           .headers = headers,
                           .header_count = HEADER_COUNT,
                           .body = size > 0 ? body : answer,
                           .body_size = size > 0 ? size : sizeof(answer),
                       });
}

static void start_request(struct bench_request *bench_request);

static void
request_ended(struct bench_request *bench_request, bool ok)
{
    struct bench *bench = bench_request->bench;
    if (!ok) {
        fprintf(stderr, "a request failed\n");
        exit(EXIT_FAILURE);
    }
    bench->latencies_us[bench->ended++] =
        runtime_now_us(bench->runtime) - bench_request->start_us;
    if (bench->ended == bench->total) {
        runtime_stop(bench->runtime);
    }
    else if (bench->started < bench->total) {
        start_request(bench_request);
    }
}

static void
on_done(void *ctx, const struct http_result *result)
{
    request_ended(ctx, result->outcome == HTTP_ANSWERED);
}

static void
on_evhttp_done(struct evhttp_request *request, void *ctx)
{
    request_ended(ctx, request != NULL &&
                           evhttp_request_get_response_code(request) == 200);
}

static void
start_evhttp(struct bench_request *bench_request)
{
    const struct bench *bench = bench_request->bench;
    struct evhttp_request *request =
        evhttp_request_new(on_evhttp_done, bench_request);
    struct evkeyvalq *output = evhttp_request_get_output_headers(request);
    evhttp_add_header(output, "Host", "127.0.0.1");
    for (size_t i = 0; i < HEADER_COUNT; i++) {
        evhttp_add_header(output, headers[i].name, headers[i].value);
    }
    if (bench->body_size > 0) {
        evbuffer_add(evhttp_request_get_output_buffer(request), bench->body,
                     bench->body_size);
    }
    evhttp_make_request(bench->evhttp[bench_request->index], request,
                        EVHTTP_REQ_POST, "/service/key-123456");
}

static void
start_request(struct bench_request *bench_request)
{
    struct bench *bench = bench_request->bench;
    bench_request->start_us = runtime_now_us(bench->runtime);
    bench->started++;
    if (bench->use_evhttp) {
        start_evhttp(bench_request);
        return;
    }
    http_call_start(bench->client,
                    &(struct http_call_spec){
                        .method = "POST",
                        .target = "/service/key-123456",
                        .headers = headers,
                        .header_count = HEADER_COUNT,
                        .body = bench->body,
                        .body_size = bench->body_size,
                        .deadline_us = bench_request->start_us + TIMEOUT_US,
                        .done = on_done,
                        .ctx = bench_request,
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

/** Runs requests. @return the CPU time in seconds */
static double
run_requests(struct bench *bench, bool use_evhttp, size_t total,
             size_t outstanding)
{
    struct bench_request requests[CONNECTIONS];
    bench->use_evhttp = use_evhttp;
    bench->started = 0;
    bench->ended = 0;
    bench->total = total;
    const double before = cpu_seconds();
    for (size_t i = 0; i < outstanding; i++) {
        requests[i] = (struct bench_request){.bench = bench, .index = i};
        start_request(&requests[i]);
    }
    runtime_run(bench->runtime);
    const double used = cpu_seconds() - before;
    qsort(bench->latencies_us, total, sizeof(*bench->latencies_us),
          compare_times);
    return used;
}

/** The given percentile of the latency of total requests. */
static double
percentile_us(const struct bench *bench, size_t total, size_t percent)
{
    const size_t index = (total - 1) * percent / 100;
    return (double)bench->latencies_us[index];
}

/** A figure, its goal, and evhttp's figure in the same run. */
struct figure {
    const char *name;
    const char *unit;
    const char *better;
    double goal;
    double value;
    double baseline;
};

static void
print_figure(const struct figure *figure)
{
    printf("{\"figure\":\"%s\",\"value\":%.2f,\"unit\":\"%s\","
           "\"goal\":%.2f,\"better\":\"%s\",\"baseline\":%.2f,"
           "\"baseline_name\":\"evhttp client\"}\n",
           figure->name, figure->value, figure->unit, figure->goal,
           figure->better, figure->baseline);
}

static void
measure_rate(struct bench *bench)
{
    const double baseline =
        REQUESTS / run_requests(bench, true, REQUESTS, CONNECTIONS);
    const double value =
        REQUESTS / run_requests(bench, false, REQUESTS, CONNECTIONS);
    print_figure(&(struct figure){"http_requests_per_core_second",
                                  "requests/s", "higher", 40000, value,
                                  baseline});
}

static void
measure_latency(struct bench *bench)
{
    run_requests(bench, true, SEQUENTIAL_REQUESTS, 1);
    const double baseline_p50 = percentile_us(bench, SEQUENTIAL_REQUESTS, 50);
    const double baseline_p99 = percentile_us(bench, SEQUENTIAL_REQUESTS, 99);
    run_requests(bench, false, SEQUENTIAL_REQUESTS, 1);
    print_figure(&(struct figure){
        "http_request_p50_us", "us", "lower", 100,
        percentile_us(bench, SEQUENTIAL_REQUESTS, 50), baseline_p50});
    print_figure(&(struct figure){
        "http_request_p99_us", "us", "lower", 500,
        percentile_us(bench, SEQUENTIAL_REQUESTS, 99), baseline_p99});
}

static void
measure_big(struct bench *bench)
{
    char *body = calloc(1, LARGE_BODY_SIZE);
    if (body == NULL) {
        abort();
    }
    bench->body = body;
    bench->body_size = LARGE_BODY_SIZE;
    const double baseline = run_requests(bench, true, LARGE_REQUESTS, 1);
    const double value = run_requests(bench, false, LARGE_REQUESTS, 1);
    bench->body_size = 0;
    print_figure(&(struct figure){
        "http_big_body_cpu_ms", "ms per 8 MiB both ways", "lower", 40,
        value / LARGE_REQUESTS * 1000, baseline / LARGE_REQUESTS * 1000});
    free(body);
}

static void
open_clients(struct bench *bench)
{
    const struct address *address = http_server_address(bench->server);
    bench->client = http_client_create(bench->runtime,
                                       &(struct http_client_config){
                                           .address = *address,
                                           .connections_max = CONNECTIONS,
                                       },
                                       bench->counters);
    for (size_t i = 0; i < CONNECTIONS; i++) {
        bench->evhttp[i] = evhttp_connection_base_new(
            runtime_event_base(bench->runtime), NULL, "127.0.0.1",
            address_port(address));
    }
}

int
main(void)
{
    struct bench bench = {
        .runtime = runtime_create(NULL),
        .counters = counter_registry_create(),
        .latencies_us = calloc(REQUESTS, sizeof(int64_t)),
    };
    struct http_server_config config = {.handle = on_request, .ctx = &bench};
    address_parse("127.0.0.1:0", &config.address, NULL);
    bench.server =
        http_server_create(bench.runtime, &config, bench.counters, NULL);
    if (bench.server == NULL) {
        return EXIT_FAILURE;
    }
    open_clients(&bench);
    measure_rate(&bench);
    measure_latency(&bench);
    measure_big(&bench);
    for (size_t i = 0; i < CONNECTIONS; i++) {
        evhttp_connection_free(bench.evhttp[i]);
    }
    http_client_destroy(bench.client);
    http_server_destroy(bench.server);
    counter_registry_destroy(bench.counters);
    runtime_destroy(bench.runtime);
    free(bench.latencies_us);
    return EXIT_SUCCESS;
}
