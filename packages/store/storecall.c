#include "store/storecall.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#define LOG_MODULE "store"
#include "base/log.h"
#include "base/memory.h"
#include "store/storecodec.h"

/* evhttp's timeout is only a fallback: each call has its own timer. */
#define CONNECTION_TIMEOUT_FACTOR 4

enum {
    HTTP_STATUS_OK = 200,
    HTTP_STATUS_ABSENT = 404,
};

enum message_type {
    MESSAGE_START, /* a call was queued */
    MESSAGE_DONE,  /* a call is done */
};

struct call_message {
    struct message message;
    struct store_call *call; /* of MESSAGE_DONE */
};

static bool
is_write(const struct store_call *call)
{
    return call->kind == CALL_COMMIT || call->kind == CALL_PUT_OBJECT;
}

static void
count(struct counter *counter, int64_t increment)
{
    if (counter != NULL) {
        counter->value += increment;
    }
}

static void
post_message(struct store_http *http, enum message_type type,
             struct store_call *call)
{
    struct call_message *message = memory_calloc(1, sizeof(*message));
    message->message.type = type;
    message->call = call;
    task_post(http->task, &message->message);
}

void
store_call_destroy(struct store_call *call)
{
    timer_stop(&call->timer);
    json_decref(call->document);
    free(call->path);
    free(call->body);
    free(call->table);
    free(call->row);
    free(call->after);
    free(call->data);
    free(call);
}

/** Records the outcome and schedules the callback as a task message. */
static void
call_finish(struct store_call *call, enum store_outcome outcome)
{
    struct store_http *http = call->http;
    if (call->done) {
        return;
    }
    timer_stop(&call->timer);
    if (call->queued) {
        TAILQ_REMOVE(&http->queue, call, link);
        http->queue_length--;
        call->queued = false;
        TAILQ_INSERT_TAIL(&http->active, call, link);
    }
    if (call->connection != NULL) {
        call->connection->call = NULL;
        call->connection = NULL;
    }
    call->done = true;
    call->outcome = outcome;
    count(http->unavailable, outcome == STORE_UNAVAILABLE);
    count(http->unknown, outcome == STORE_UNKNOWN);
    post_message(http, MESSAGE_DONE, call);
}

/** Outcome if the request may have been sent but has no valid answer. */
static enum store_outcome
unanswered_outcome(const struct store_call *call)
{
    return is_write(call) ? STORE_UNKNOWN : STORE_UNAVAILABLE;
}

static void
connection_destroy(struct store_http *http,
                   struct store_connection *connection)
{
    TAILQ_REMOVE(&http->connections, connection, link);
    http->connection_count--;
    evhttp_connection_free(connection->evcon);
    free(connection);
}

/** True while the TCP handshake is in progress. */
static bool
is_connecting(const struct store_connection *connection)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(connection->evcon);
    struct tcp_info info;
    socklen_t size = sizeof(info);
    const evutil_socket_t fd = bufferevent_getfd(bev);
    return fd >= 0 &&
           getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_SYN_SENT;
}

static void
on_call_timeout(void *ctx)
{
    struct store_call *call = ctx;
    struct store_connection *connection = call->connection;
    enum store_outcome outcome = STORE_UNAVAILABLE;
    if (connection != NULL && !is_connecting(connection)) {
        outcome = unanswered_outcome(call);
    }
    LOG_DBG("call_timeout", LOG_STR("path", call->path));
    struct store_http *http = call->http;
    call_finish(call, outcome);
    if (connection != NULL) {
        connection_destroy(http, connection);
    }
}

/** Moves the answer's body to the call. False if out of memory. */
static bool
read_body(struct store_call *call, struct evhttp_request *request)
{
    struct evbuffer *body = evhttp_request_get_input_buffer(request);
    call->data_size = evbuffer_get_length(body);
    call->data = malloc(call->data_size + 1);
    if (call->data == NULL) {
        return false;
    }
    evbuffer_remove(body, call->data, call->data_size);
    return true;
}

/** True if the body's framing allows truncation to be detected. */
static bool
body_is_delimited(struct evhttp_request *request)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    return evhttp_find_header(headers, "Content-Length") != NULL ||
           evhttp_find_header(headers, "Transfer-Encoding") != NULL;
}

static enum store_outcome
object_outcome(struct store_call *call, struct evhttp_request *request)
{
    const int status = evhttp_request_get_response_code(request);
    if (!body_is_delimited(request)) {
        return STORE_UNAVAILABLE;
    }
    if (status == HTTP_STATUS_OK) {
        return STORE_COMMITTED;
    }
    free(call->data);
    call->data = NULL;
    call->data_size = 0;
    return status == HTTP_STATUS_ABSENT ? STORE_COMMITTED : STORE_UNAVAILABLE;
}

static enum store_outcome
answer_outcome(struct store_call *call, struct evhttp_request *request)
{
    if (!read_body(call, request)) {
        return unanswered_outcome(call);
    }
    if (call->kind == CALL_GET_OBJECT) {
        return object_outcome(call, request);
    }
    call->document =
        json_loadb(call->data, call->data_size, JSON_REJECT_DUPLICATES, NULL);
    if (is_write(call)) {
        struct store_commit_result result;
        store_codec_commit_parse(call->document, &result);
        return result.outcome;
    }
    return evhttp_request_get_response_code(request) == HTTP_STATUS_OK
               ? STORE_COMMITTED
               : STORE_UNAVAILABLE;
}

/**
 * evhttp passes NULL if an established connection failed, and a request
 * without a status if no connection could be established.
 */
static void
on_request_done(struct evhttp_request *request, void *ctx)
{
    struct store_call *call = ctx;
    if (request == NULL) {
        call_finish(call, unanswered_outcome(call));
        return;
    }
    if (evhttp_request_get_response_code(request) == 0) {
        call_finish(call, STORE_UNAVAILABLE);
        return;
    }
    call_finish(call, answer_outcome(call, request));
}

/** Counts bytes drained to the socket. */
static void
on_bytes_sent(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
              void *ctx)
{
    (void)buffer;
    count(ctx, (int64_t)info->n_deleted);
}

/** Counts bytes read from the socket. */
static void
on_bytes_received(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
                  void *ctx)
{
    (void)buffer;
    count(ctx, (int64_t)info->n_added);
}

static void
count_bytes(struct store_http *http, struct store_connection *connection)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(connection->evcon);
    evbuffer_add_cb(bufferevent_get_output(bev), on_bytes_sent,
                    http->bytes_sent);
    evbuffer_add_cb(bufferevent_get_input(bev), on_bytes_received,
                    http->bytes_received);
}

static struct store_connection *
connection_open(struct store_http *http)
{
    struct store_connection *connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        return NULL;
    }
    char text[ADDRESS_TEXT_SIZE];
    address_format(&http->options.address, text);
    *strrchr(text, ':') = '\0';
    connection->evcon =
        evhttp_connection_base_new(runtime_event_base(http->runtime), NULL,
                                   text, address_port(&http->options.address));
    if (connection->evcon == NULL) {
        free(connection);
        return NULL;
    }
    const int64_t timeout_us =
        http->options.timeout_us * CONNECTION_TIMEOUT_FACTOR;
    const struct timeval timeout = {
        .tv_sec = timeout_us / US_PER_SECOND,
        .tv_usec = timeout_us % US_PER_SECOND,
    };
    evhttp_connection_set_timeout_tv(connection->evcon, &timeout);
    evhttp_connection_set_max_body_size(connection->evcon,
                                        STORE_ANSWER_BYTES_MAX);
    count_bytes(http, connection);
    TAILQ_INSERT_TAIL(&http->connections, connection, link);
    http->connection_count++;
    return connection;
}

static struct store_connection *
find_idle_connection(struct store_http *http)
{
    struct store_connection *connection;
    TAILQ_FOREACH (connection, &http->connections, link) {
        if (connection->call == NULL) {
            return connection;
        }
    }
    if (http->connection_count < http->options.connections) {
        return connection_open(http);
    }
    return NULL;
}

static enum evhttp_cmd_type
call_method(const struct store_call *call)
{
    switch (call->kind) {
    case CALL_COMMIT:
        return EVHTTP_REQ_POST;
    case CALL_PUT_OBJECT:
        return EVHTTP_REQ_PUT;
    default:
        return EVHTTP_REQ_GET;
    }
}

static void
call_send(struct store_call *call, struct store_connection *connection)
{
    struct evhttp_request *request = evhttp_request_new(on_request_done, call);
    if (request == NULL) {
        call_finish(call, STORE_UNAVAILABLE);
        return;
    }
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    char host[ADDRESS_TEXT_SIZE];
    address_format(&call->http->options.address, host);
    evhttp_add_header(headers, "Host", host);
    if (is_write(call)) {
        evhttp_add_header(headers, "Content-Type",
                          call->kind == CALL_COMMIT
                              ? "application/json"
                              : "application/octet-stream");
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call->body,
                 call->body_size);
    connection->call = call;
    call->connection = connection;
    /* May complete the call before it returns, or fail without a callback. */
    if (evhttp_make_request(connection->evcon, request, call_method(call),
                            call->path) != 0) {
        call_finish(call, STORE_UNAVAILABLE);
    }
}

/** Sends queued calls while there are connections. */
static void
send_queued(struct store_http *http)
{
    struct store_call *call;
    while ((call = TAILQ_FIRST(&http->queue)) != NULL) {
        struct store_connection *connection = find_idle_connection(http);
        if (connection == NULL) {
            return;
        }
        TAILQ_REMOVE(&http->queue, call, link);
        http->queue_length--;
        call->queued = false;
        TAILQ_INSERT_TAIL(&http->active, call, link);
        call_send(call, connection);
    }
}

static void
complete_write(struct store_call *call)
{
    struct store_commit_result result = {.outcome = call->outcome};
    if (call->document != NULL) {
        store_codec_commit_parse(call->document, &result);
    }
    call->callback.commit(call->ctx, &result);
}

static void
complete_read(struct store_call *call)
{
    const struct store_codec_expected expected = {
        .table = call->table,
        .row = call->kind == CALL_READ ? call->row : NULL,
        .after = call->after,
    };
    struct store_row *rows = NULL;
    struct store_read_result result = {.outcome = STORE_UNAVAILABLE};
    if (call->outcome == STORE_COMMITTED) {
        store_codec_rows_parse(call->document, &expected, &rows, &result);
    }
    call->callback.read(call->ctx, &result);
    free(rows);
}

/** Runs the callback, which may destroy the client, and frees the call. */
static void
call_complete(struct store_call *call)
{
    TAILQ_REMOVE(&call->http->active, call, link);
    if (is_write(call)) {
        complete_write(call);
    }
    else if (call->kind == CALL_GET_OBJECT) {
        const bool found =
            call->outcome == STORE_COMMITTED && call->data != NULL;
        call->callback.object(call->ctx, call->outcome,
                              found ? call->data : NULL,
                              found ? call->data_size : 0);
    }
    else {
        complete_read(call);
    }
    store_call_destroy(call);
}

void
store_call_on_message(void *ctx, struct message *message)
{
    struct store_http *http = ctx;
    struct store_call *call = ((struct call_message *)message)->call;
    send_queued(http);
    if (message->type == MESSAGE_DONE) {
        call_complete(call);
    }
}

struct store_call *
store_call_create(struct store_http *http, enum store_call_kind kind,
                  char *path, void *ctx)
{
    struct store_call *call = memory_calloc(1, sizeof(*call));
    call->http = http;
    call->kind = kind;
    call->path = path;
    call->ctx = ctx;
    timer_init(&call->timer, http->runtime, on_call_timeout, call);
    return call;
}

void
store_call_start(struct store_call *call)
{
    struct store_http *http = call->http;
    count(http->calls, 1);
    const bool has_body = !is_write(call) || call->body != NULL;
    if (call->path == NULL || !has_body ||
        call->body_size > STORE_REQUEST_BYTES_MAX ||
        http->queue_length >= http->options.queue_max) {
        LOG_ERR("call_not_sent",
                LOG_STR("path", call->path != NULL ? call->path : ""),
                LOG_UINT("body_bytes", call->body_size),
                LOG_UINT("queued", http->queue_length));
        TAILQ_INSERT_TAIL(&http->active, call, link);
        call_finish(call, STORE_UNAVAILABLE);
        return;
    }
    TAILQ_INSERT_TAIL(&http->queue, call, link);
    http->queue_length++;
    call->queued = true;
    timer_start(&call->timer, http->options.timeout_us);
    post_message(http, MESSAGE_START, call);
}

void
store_call_close_connections(struct store_http *http)
{
    struct store_connection *connection = TAILQ_FIRST(&http->connections);
    while (connection != NULL) {
        struct store_connection *next = TAILQ_NEXT(connection, link);
        connection_destroy(http, connection);
        connection = next;
    }
}
