#include "standin/targetserver.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/httpfault.h"
#include "http/httpproblem.h"
#include "standin/targetserver_internal.h"
#include "target/target.h"

#define OVERLOAD_FAIL_US (500 * US_PER_MS) /* after a cold overload */
#define CRASH_HEADER "Standin-Crash"
#define ID_HEADER "Idempotency-Key"
#define ANSWER_BODY_BYTES_MAX (16u << 20)
#define REQUEST_BODY_BYTES_MAX (17u << 20)

/** An accepted request, queued or running. */
struct execution {
    TAILQ_ENTRY(execution) link;
    struct target_server *server;
    struct http_request *request;
    struct timer timer;
    bool started;
    size_t ledger_index;
};

static int64_t
now(const struct target_server *server)
{
    return runtime_now_us(server->runtime);
}

bool
target_server_is_cold(const struct target_server *server)
{
    return now(server) < server->cold_until_us;
}

bool
target_server_is_draining(const struct target_server *server)
{
    return server->draining;
}

unsigned
target_server_in_flight(const struct target_server *server)
{
    return server->running_count + server->queued_count;
}

static void
reply_not_run(struct http_request *request, unsigned status,
              const char *reason)
{
    const struct http_header headers[] = {
        {TARGET_NOT_RUN_HEADER, reason},
        {"Retry-After", "1"},
    };
    http_request_reply(request, &(struct http_reply){.status = status,
                                                     .headers = headers,
                                                     .header_count = 2});
}

static uint64_t
header_number(const struct http_request *request, const char *name)
{
    const char *text = http_request_header(request, name);
    return text != NULL ? strtoull(text, NULL, 10) : 0;
}

static const char *
request_id(const struct http_request *request)
{
    const char *id = http_request_header(request, ID_HEADER);
    if (id == NULL) {
        id = http_request_header(request, TARGET_ID_HEADER);
    }
    return id != NULL ? id : "";
}

/** The value of size=N in the query, or 0. */
static size_t
requested_size(const struct http_request *request)
{
    const char *query = http_request_query(request);
    const char *size = query != NULL ? strstr(query, "size=") : NULL;
    const unsigned long long number =
        size != NULL ? strtoull(size + strlen("size="), NULL, 10) : 0;
    return number < ANSWER_BODY_BYTES_MAX ? (size_t)number
                                          : ANSWER_BODY_BYTES_MAX;
}

/** Counts requests other than GET and HEAD as orders. Returns the answer's
 * body, padded to the requested size; free it after use. */
static char *
execution_run(struct target_server *server, struct http_request *request,
              size_t *size)
{
    const char *path = http_request_path(request);
    json_int_t orders =
        json_integer_value(json_object_get(server->orders, path));
    if (strcmp(http_request_method(request), "GET") != 0 &&
        strcmp(http_request_method(request), "HEAD") != 0) {
        json_object_set_new(server->orders, path, json_integer(++orders));
    }
    size_t body_size;
    http_request_body(request, &body_size);
    json_t *answer =
        json_pack("{ss* ss ss sI sI}", "path", path, "id", request_id(request),
                  "incarnation", server->config.incarnation, "orders", orders,
                  "received", (json_int_t)body_size);
    char *text = answer != NULL ? json_dumps(answer, JSON_COMPACT) : NULL;
    json_decref(answer);
    *size = text != NULL ? strlen(text) : 0;
    const size_t wanted = requested_size(request);
    if (wanted <= *size) {
        return text;
    }
    char *padded = realloc(text, wanted);
    if (padded == NULL) {
        return text;
    }
    memset(padded + *size, ' ', wanted - *size);
    *size = wanted;
    return padded;
}

static bool
fault_hits(struct target_server *server, double percent)
{
    return percent > 0 && random_chance(&server->random, percent / 100);
}

static void
execution_answer(struct execution *execution)
{
    struct target_server *server = execution->server;
    const struct http_header headers[] = {
        {"Content-Type", "application/json"},
        {"Standin-Incarnation", server->config.incarnation},
    };
    struct http_reply reply = {
        .status = 200, .headers = headers, .header_count = 2};
    const bool failing = now(server) < server->failing_until_us;
    if (failing || fault_hits(server, server->faults.error_percent)) {
        reply.status = 500;
    }
    char *body = NULL;
    if (reply.status == 200) {
        body = execution_run(server, execution->request, &reply.body_size);
        reply.body = body;
    }
    target_ledger_end(server->ledger, execution->ledger_index, now(server),
                      reply.status);
    if (fault_hits(server, server->faults.cut_percent)) {
        server->stats.cut++;
        http_request_reply_truncated(execution->request, &reply,
                                     reply.body_size / 2 + 1);
    }
    else {
        http_request_reply(execution->request, &reply);
    }
    free(body);
}

static void server_start_queued(struct target_server *server);

static void
execution_on_done(void *ctx)
{
    struct execution *execution = ctx;
    struct target_server *server = execution->server;
    TAILQ_REMOVE(&server->running, execution, link);
    server->running_count--;
    execution_answer(execution);
    free(execution);
    server_start_queued(server);
}

static int64_t
execution_latency_us(const struct target_server *server)
{
    const int64_t base_us = server->faults.latency_us >= 0
                                ? server->faults.latency_us
                                : server->config.latency_us;
    return (int64_t)((double)base_us * server->faults.straggle_factor);
}

static void
execution_start(struct execution *execution)
{
    struct target_server *server = execution->server;
    struct http_request *request = execution->request;
    const char *epoch = http_request_header(request, TARGET_EPOCH_HEADER);
    execution->started = true;
    execution->ledger_index = target_ledger_start(
        server->ledger,
        &(struct target_execution){
            .id = request_id(request),
            .method = http_request_method(request),
            .path = http_request_path(request),
            .keyed = epoch != NULL,
            .shard = (uint32_t)header_number(request, TARGET_SHARD_HEADER),
            .epoch = header_number(request, TARGET_EPOCH_HEADER),
            .start_us = now(server),
        });
    TAILQ_INSERT_TAIL(&server->running, execution, link);
    server->running_count++;
    timer_init(&execution->timer, server->runtime, execution_on_done,
               execution);
    timer_start(&execution->timer, execution_latency_us(server));
}

static bool
grant_allows(struct target_server *server, struct http_request *request)
{
    if (!server->config.check_grants ||
        http_request_header(request, TARGET_EPOCH_HEADER) == NULL) {
        return true;
    }
    return target_grants_check(
        server->grants, (uint32_t)header_number(request, TARGET_SHARD_HEADER),
        header_number(request, TARGET_EPOCH_HEADER),
        (int64_t)header_number(request, TARGET_EXPIRES_HEADER), now(server));
}

/** Checks the deadline and the grant, which can expire while a request is
 * queued. Returns whether the request was refused. */
static bool
refuse_before_start(struct target_server *server, struct http_request *request)
{
    const uint64_t deadline_us =
        header_number(request, TARGET_DEADLINE_HEADER);
    if (deadline_us != 0 && (int64_t)deadline_us <= now(server)) {
        server->stats.refused_deadline++;
        reply_not_run(request, 504, "deadline");
        return true;
    }
    if (!grant_allows(server, request)) {
        server->stats.refused_grants++;
        reply_not_run(request, 409, "grant");
        return true;
    }
    return false;
}

static void
server_start_queued(struct target_server *server)
{
    while (server->running_count < server->config.slots &&
           !TAILQ_EMPTY(&server->queued)) {
        struct execution *execution = TAILQ_FIRST(&server->queued);
        TAILQ_REMOVE(&server->queued, execution, link);
        server->queued_count--;
        if (refuse_before_start(server, execution->request)) {
            free(execution);
            continue;
        }
        execution_start(execution);
    }
}

/** Updates the load peaks. Above cold_limit, a cold target fails for a while
 * and its cold start begins again. */
static void
server_record_load(struct target_server *server)
{
    const unsigned in_flight = target_server_in_flight(server);
    struct target_stats *stats = &server->stats;
    if (in_flight > stats->peak_in_flight) {
        stats->peak_in_flight = in_flight;
    }
    if (!target_server_is_cold(server)) {
        return;
    }
    if (in_flight > stats->cold_peak_in_flight) {
        stats->cold_peak_in_flight = in_flight;
    }
    if (in_flight > server->config.cold_limit) {
        stats->cold_overloads++;
        server->failing_until_us = now(server) + OVERLOAD_FAIL_US;
        server->cold_until_us = now(server) + server->config.cold_start_us;
    }
}

static void
server_enqueue(struct target_server *server, struct http_request *request)
{
    struct execution *execution = calloc(1, sizeof(*execution));
    if (execution == NULL) {
        abort();
    }
    execution->server = server;
    execution->request = request;
    http_request_set_data(request, execution);
    TAILQ_INSERT_TAIL(&server->queued, execution, link);
    server->queued_count++;
    server_record_load(server);
    server_start_queued(server);
}

static void
on_request(void *ctx, struct http_request *request)
{
    struct target_server *server = ctx;
    if (target_control_handle(server, request)) {
        return;
    }
    if (http_request_header(request, CRASH_HEADER) != NULL) {
        _exit(EXIT_FAILURE);
    }
    if (server->draining) {
        server->stats.refused_draining++;
        reply_not_run(request, 503, "draining");
        return;
    }
    if (server->queued_count >= server->config.slots ||
        fault_hits(server, server->faults.shed_percent)) {
        server->stats.shed++;
        reply_not_run(request, 503, "1");
        return;
    }
    if (!refuse_before_start(server, request)) {
        server_enqueue(server, request);
    }
}

/** Cancels a queued execution; a running one is not interrupted. */
static bool
execution_cancel(struct execution *execution)
{
    struct target_server *server = execution->server;
    if (execution->started) {
        return false;
    }
    server->stats.cancelled++;
    TAILQ_REMOVE(&server->queued, execution, link);
    server->queued_count--;
    reply_not_run(execution->request, 499, "1");
    free(execution);
    return true;
}

static void
on_cancelled(void *ctx, struct http_request *request)
{
    (void)ctx;
    execution_cancel(http_request_data(request));
}

bool
target_server_cancel(struct target_server *server, const char *id)
{
    struct execution *execution;
    TAILQ_FOREACH (execution, &server->queued, link) {
        const char *queued_id =
            http_request_header(execution->request, TARGET_ID_HEADER);
        if (queued_id != NULL && strcmp(queued_id, id) == 0) {
            return execution_cancel(execution);
        }
    }
    return false;
}

struct target_server *
target_server_create(struct runtime *runtime,
                     const struct target_server_config *config,
                     struct counter_registry *counters, struct error *err)
{
    struct target_server *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        abort();
    }
    server->runtime = runtime;
    server->config = *config;
    server->faults.latency_us = -1;
    server->faults.straggle_factor = 1;
    server->cold_until_us = now(server) + config->cold_start_us;
    server->grants = target_grants_create();
    server->orders = json_object();
    random_seed(&server->random, config->seed);
    TAILQ_INIT(&server->running);
    TAILQ_INIT(&server->queued);
    server->ledger = target_ledger_create(config->ledger_file);
    if (server->ledger == NULL) {
        error_set_system(err, "%s", config->ledger_file);
        target_server_destroy(server);
        return NULL;
    }
    const struct http_server_config http = {
        .address = config->listen,
        .body_max_bytes = REQUEST_BODY_BYTES_MAX,
        .handle = on_request,
        .cancelled = on_cancelled,
        .ctx = server,
    };
    server->http = http_server_create(runtime, &http, counters, err);
    if (server->http == NULL) {
        target_server_destroy(server);
        return NULL;
    }
    return server;
}

static void
free_executions(struct execution_queue *queue)
{
    struct execution *execution = TAILQ_FIRST(queue);
    while (execution != NULL) {
        struct execution *next = TAILQ_NEXT(execution, link);
        if (execution->started) {
            timer_stop(&execution->timer);
        }
        free(execution);
        execution = next;
    }
}

void
target_server_destroy(struct target_server *server)
{
    if (server == NULL) {
        return;
    }
    free_executions(&server->running);
    free_executions(&server->queued);
    http_server_destroy(server->http);
    target_ledger_destroy(server->ledger);
    target_grants_destroy(server->grants);
    json_decref(server->orders);
    free(server);
}

const struct address *
target_server_address(const struct target_server *server)
{
    return http_server_address(server->http);
}

void
target_server_drain(struct target_server *server)
{
    server->draining = true;
}

void
target_server_stop(struct target_server *server, void (*done)(void *ctx),
                   void *ctx)
{
    http_server_stop(server->http, done, ctx);
}
