#include "standin/loadrun.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>

#include "base/random.h"
#include "base/runtime.h"
#include "http/httpproblem.h"
#include "standin/loadkeys.h"
#include "standin/loadresult.h"

#define ID_SIZE 64
#define PATH_SIZE 256
#define WAITING_REQUESTS_MAX 100000 /* requests above this are not sent */
#define RETRY_DELAY_US (100 * US_PER_MS)
#define TICK_INTERVAL_US (1 * US_PER_MS)

/** One request and its retries. */
struct load_request {
    STAILQ_ENTRY(load_request) link;
    struct load_run *run;
    struct timer retry_timer;
    bool is_order;
    unsigned attempts;
    int64_t due_us; /* scheduled time of the first attempt */
    char id[ID_SIZE];
    char path[PATH_SIZE];
    char key[ID_SIZE];
};

STAILQ_HEAD(load_request_queue, load_request);

/** A connection to one entry; carries at most one request at a time. */
struct load_connection {
    LIST_ENTRY(load_connection) link;
    struct load_run *run;
    const struct address *entry;
    struct evhttp_connection *http;
    struct load_request *request;
};

LIST_HEAD(load_connection_list, load_connection);

struct load_run {
    struct runtime *runtime;
    struct load_config config;
    struct load_result *result;
    struct load_keys *keys;
    struct random_state random;
    struct load_connection *connections;
    struct load_connection_list free;
    struct load_request_queue waiting;
    size_t waiting_count;
    size_t open; /* requests without a final outcome */
    uint64_t arrivals;
    uint64_t next_id;
    uint64_t run_id;
    int64_t start_us;
    bool all_arrived;
    struct timer tick;
    void (*done)(void *ctx);
    void *ctx;
};

static void run_send_waiting(struct load_run *run);

static void
log_outcome(const struct load_request *request, const char *outcome,
            int status)
{
    FILE *file = request->run->config.outcome_log;
    if (file != NULL && request->is_order) {
        fprintf(file,
                "{\"id\":\"%s\",\"path\":\"%s\",\"sending\":%u,"
                "\"told\":\"%s\",\"status\":%d}\n",
                request->id, request->path, request->attempts, outcome,
                status);
    }
}

static void
run_check_done(struct load_run *run)
{
    if (run->all_arrived && run->open == 0) {
        run->done(run->ctx);
    }
}

static void
run_enqueue(struct load_run *run, struct load_request *request)
{
    STAILQ_INSERT_TAIL(&run->waiting, request, link);
    run->waiting_count++;
    run_send_waiting(run);
}

static void
request_on_retry(void *ctx)
{
    struct load_request *request = ctx;
    run_enqueue(request->run, request);
}

static void
request_end(struct load_request *request)
{
    struct load_run *run = request->run;
    const int64_t now_us = runtime_now_us(run->runtime);
    load_result_add_latency(run->result, now_us - request->due_us);
    free(request);
    run->open--;
    run_check_done(run);
}

/** Records an attempt's outcome; retries an unanswered order, else ends the
 * request. */
static void
request_finish_attempt(struct load_request *request, const char *outcome,
                       int status)
{
    struct load_run *run = request->run;
    char text[16];
    snprintf(text, sizeof(text), "%d", status);
    load_result_count(run->result, "status", text);
    load_result_count(run->result, "outcome", outcome);
    log_outcome(request, outcome, status);
    const bool retry = request->is_order && strcmp(outcome, "answered") != 0 &&
                       request->attempts <= run->config.retries_max;
    if (!retry) {
        load_result_count(run->result,
                          request->is_order ? "orders_end" : "gets_end",
                          outcome);
        request_end(request);
        return;
    }
    load_result_count(run->result, "resent", outcome);
    timer_start(&request->retry_timer, RETRY_DELAY_US);
}

/** Whether the answer's body echoes the request's path and id. */
static bool
answer_matches_request(const struct load_request *request,
                       struct evbuffer *body)
{
    char expected[PATH_SIZE + ID_SIZE + 32];
    snprintf(expected, sizeof(expected), "{\"path\":\"%s\",\"id\":\"%s%s",
             request->path, request->id, request->is_order ? "\"" : "");
    const size_t size = strlen(expected);
    const unsigned char *start = evbuffer_pullup(body, (ev_ssize_t)size);
    return start != NULL && memcmp(start, expected, size) == 0;
}

static const char *
answer_outcome(struct evhttp_request *http_request, int status)
{
    const char *outcome = evhttp_find_header(
        evhttp_request_get_input_headers(http_request), HTTP_OUTCOME_HEADER);
    if (outcome != NULL) {
        return outcome;
    }
    return status < 500 ? "answered" : "unknown";
}

/** Counts the reason that a problem document gives. */
static void
count_reason(struct load_run *run, struct evhttp_request *http_request)
{
    struct evbuffer *body = evhttp_request_get_input_buffer(http_request);
    const char *text = (const char *)evbuffer_pullup(body, -1);
    json_t *problem =
        text == NULL ? NULL
                     : json_loadb(text, evbuffer_get_length(body), 0, NULL);
    const char *reason = json_string_value(json_object_get(problem, "reason"));
    if (reason != NULL) {
        load_result_count(run->result, "reasons", reason);
    }
    json_decref(problem);
}

static void
check_answer(const struct load_request *request,
             struct evhttp_request *http_request, int status)
{
    struct load_run *run = request->run;
    if (status != 200) {
        count_reason(run, http_request);
        return;
    }
    struct evbuffer *body = evhttp_request_get_input_buffer(http_request);
    if (!answer_matches_request(request, body)) {
        load_result_count(run->result, "faults", "wrong_answer");
    }
    else if (run->config.answer_size > evbuffer_get_length(body)) {
        load_result_count(run->result, "faults", "short_answer");
    }
    const char *target = evhttp_find_header(
        evhttp_request_get_input_headers(http_request), "Standin-Incarnation");
    if (target != NULL) {
        load_result_count(run->result, "targets", target);
    }
}

static void
connection_release(struct load_connection *connection, bool broken)
{
    if (broken) {
        evhttp_connection_free(connection->http);
        connection->http = NULL;
    }
    LIST_INSERT_HEAD(&connection->run->free, connection, link);
}

static void
on_answer(struct evhttp_request *http_request, void *ctx)
{
    struct load_connection *connection = ctx;
    struct load_run *run = connection->run;
    struct load_request *request = connection->request;
    if (request == NULL) {
        return;
    }
    connection->request = NULL;
    const int status = http_request != NULL
                           ? evhttp_request_get_response_code(http_request)
                           : 0;
    if (status == 0) {
        /* evhttp still uses the connection, so it isn't freed here; a new
         * one replaces it later. */
        connection_release(connection, false);
        request_finish_attempt(request, "lost", 0);
    }
    else {
        check_answer(request, http_request, status);
        connection_release(connection, false);
        request_finish_attempt(request, answer_outcome(http_request, status),
                               status);
    }
    run_send_waiting(run);
}

static bool
connection_open(struct load_connection *connection)
{
    struct load_run *run = connection->run;
    char text[ADDRESS_TEXT_SIZE];
    address_format(connection->entry, text);
    *strrchr(text, ':') = '\0';
    connection->http =
        evhttp_connection_base_new(runtime_event_base(run->runtime), NULL,
                                   text, address_port(connection->entry));
    if (connection->http == NULL) {
        return false;
    }
    const struct timeval timeout = {
        .tv_sec = run->config.timeout_us / US_PER_SECOND,
        .tv_usec = run->config.timeout_us % US_PER_SECOND,
    };
    evhttp_connection_set_timeout_tv(connection->http, &timeout);
    return true;
}

static void
add_body(struct evhttp_request *http_request, size_t size)
{
    static const char block[4096];
    struct evbuffer *output = evhttp_request_get_output_buffer(http_request);
    while (size > 0) {
        const size_t part = size < sizeof(block) ? size : sizeof(block);
        evbuffer_add(output, block, part);
        size -= part;
    }
}

static bool
connection_send(struct load_connection *connection,
                struct load_request *request)
{
    const struct load_config *config = &connection->run->config;
    struct evhttp_request *http_request =
        evhttp_request_new(on_answer, connection);
    if (request == NULL) {
        return false;
    }
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(http_request);
    char host[ADDRESS_TEXT_SIZE];
    evhttp_add_header(headers, "Host",
                      address_format(connection->entry, host));
    if (config->key_header != NULL) {
        evhttp_add_header(headers, config->key_header, request->key);
    }
    if (request->is_order) {
        evhttp_add_header(headers, "Idempotency-Key", request->id);
        add_body(http_request, config->body_size);
    }
    char target[PATH_SIZE + 32];
    if (config->answer_size > 0) {
        snprintf(target, sizeof(target), "%s?size=%zu", request->path,
                 config->answer_size);
    }
    else {
        snprintf(target, sizeof(target), "%s", request->path);
    }
    connection->request = request;
    request->attempts++;
    return evhttp_make_request(connection->http, http_request,
                               request->is_order ? EVHTTP_REQ_POST
                                                 : EVHTTP_REQ_GET,
                               target) == 0;
}

static void
run_send_waiting(struct load_run *run)
{
    while (!STAILQ_EMPTY(&run->waiting) && !LIST_EMPTY(&run->free)) {
        struct load_connection *connection = LIST_FIRST(&run->free);
        struct load_request *request = STAILQ_FIRST(&run->waiting);
        LIST_REMOVE(connection, link);
        STAILQ_REMOVE_HEAD(&run->waiting, link);
        run->waiting_count--;
        if ((connection->http == NULL && !connection_open(connection)) ||
            !connection_send(connection, request)) {
            connection->request = NULL;
            connection_release(connection, connection->http != NULL);
            request_finish_attempt(request, "lost", 0);
            return;
        }
    }
}

/** Request ids begin with their creation time, so that a new owner can tell
 * that no earlier owner has run them. */
static int64_t
wall_clock_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * INT64_C(1000) + now.tv_nsec / 1000000;
}

static struct load_request *
request_create(struct load_run *run)
{
    struct load_request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        abort();
    }
    request->run = run;
    timer_init(&request->retry_timer, run->runtime, request_on_retry, request);
    request->is_order =
        random_chance(&run->random, run->config.order_percent / 100);
    snprintf(request->key, sizeof(request->key), "key-%zu",
             load_keys_next(run->keys, &run->random));
    snprintf(request->path, sizeof(request->path), "%s/%s", run->config.prefix,
             request->key);
    if (request->is_order) {
        snprintf(request->id, sizeof(request->id),
                 "%013" PRId64 "-%016" PRIx64 "-%" PRIu64, wall_clock_ms(),
                 run->run_id, run->next_id++);
    }
    return request;
}

/** Enqueues the requests that are due and schedules the next tick. */
static void
run_on_tick(void *ctx)
{
    struct load_run *run = ctx;
    const int64_t now_us = runtime_now_us(run->runtime);
    const double rate = run->config.rate;
    const uint64_t total = (uint64_t)(rate * run->config.seconds);
    while (run->arrivals < total) {
        const int64_t due_us =
            run->start_us +
            (int64_t)((double)run->arrivals * (double)US_PER_SECOND / rate);
        if (due_us > now_us) {
            break;
        }
        run->arrivals++;
        if (run->waiting_count >= WAITING_REQUESTS_MAX) {
            load_result_count(run->result, "faults", "not_offered");
            continue;
        }
        struct load_request *request = request_create(run);
        request->due_us = due_us;
        run->open++;
        run_enqueue(run, request);
    }
    if (run->arrivals < total) {
        timer_start(&run->tick, TICK_INTERVAL_US);
        return;
    }
    run->all_arrived = true;
    run_check_done(run);
}

struct load_run *
load_run_create(struct runtime *runtime, const struct load_config *config,
                struct load_result *result, void (*done)(void *ctx), void *ctx)
{
    struct load_run *run = calloc(1, sizeof(*run));
    if (run == NULL) {
        abort();
    }
    run->runtime = runtime;
    run->config = *config;
    run->result = result;
    run->done = done;
    run->ctx = ctx;
    run->keys = load_keys_create(config->key_count, config->zipf_exponent);
    random_seed(&run->random, config->seed);
    run->run_id = random_entropy();
    run->start_us = runtime_now_us(runtime);
    STAILQ_INIT(&run->waiting);
    run->connections = calloc(config->connections, sizeof(*run->connections));
    if (run->connections == NULL) {
        abort();
    }
    for (unsigned i = 0; i < config->connections; i++) {
        struct load_connection *connection = &run->connections[i];
        connection->run = run;
        connection->entry = &run->config.entries[i % config->entry_count];
        LIST_INSERT_HEAD(&run->free, connection, link);
    }
    timer_init(&run->tick, runtime, run_on_tick, run);
    timer_start(&run->tick, 0);
    return run;
}

void
load_run_destroy(struct load_run *run)
{
    timer_stop(&run->tick);
    for (unsigned i = 0; i < run->config.connections; i++) {
        struct load_connection *connection = &run->connections[i];
        free(connection->request);
        connection->request = NULL;
        if (connection->http != NULL) {
            evhttp_connection_free(connection->http);
        }
    }
    load_keys_destroy(run->keys);
    free(run->connections);
    free(run);
}
