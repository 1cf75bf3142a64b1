#include "http/httpclient_internal.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/keepalive.h"

#define IO_MAX_BYTES (256u << 10) /* of one read or write */
/* Of the peer's idle timeout; then a connection is not reused. */
#define IDLE_REUSE_PERCENT 70
#define STRAY_ANSWERS_MAX 8 /* on one connection, for one call */

static const struct keepalive client_keepalive = {
    .user_timeout_ms = 3000,
    .probe_interval_s = 1,
    .probes = 2,
};

/** Adjusts the client's count to what the connection's answer holds. */
static void
connection_count_body(struct http_client_connection *connection, size_t size)
{
    connection->client->body_bytes += size - connection->body_bytes;
    connection->body_bytes = size;
}

/** Charges the budget for an answer of which size bytes have arrived. */
static bool
connection_charge(struct http_client_connection *connection, size_t size)
{
    const struct http_client *client = connection->client;
    connection->memory.purpose = MEMORY_RESPONSES;
    return client->config.memory == NULL ||
           memory_budget_set(client->config.memory, &connection->memory, size,
                             runtime_now_us(client->runtime));
}

void
http_client_connection_close(struct http_client_connection *connection)
{
    struct http_client *client = connection->client;
    LIST_REMOVE(connection, link);
    client->connection_count--;
    connection_count_body(connection, 0);
    connection_charge(connection, 0);
    bufferevent_free(connection->bev);
    http_reader_destroy(connection->reader);
    free(connection);
}

void
http_client_connection_fail(struct http_client_connection *connection,
                            enum http_outcome outcome)
{
    struct http_client *client = connection->client;
    struct http_call *call = connection->call;
    const bool sent = call != NULL && http_call_is_sent(call);
    http_client_connection_close(connection);
    if (call != NULL) {
        call->connection = NULL;
        const bool unsent = !sent && outcome != HTTP_REFUSED;
        http_call_end_without_answer(call, unsent ? HTTP_NOT_SENT : outcome);
    }
    http_client_assign_connections(client);
}

bool
http_client_connection_is_open(const struct http_client_connection *connection)
{
    struct pollfd state = {
        .fd = bufferevent_getfd(connection->bev),
        .events = POLLRDHUP,
    };
    return connection->connected && poll(&state, 1, 0) == 0;
}

/** Keeps a connection open that carries no further call, in place of the
 * former one. */
static void
connection_keep_unused(struct http_client_connection *connection)
{
    struct http_client *client = connection->client;
    if (!LIST_EMPTY(&client->unused)) {
        http_client_connection_close(LIST_FIRST(&client->unused));
    }
    connection->call = NULL;
    connection_count_body(connection, 0);
    connection_charge(connection, 0);
    connection->idle_since_us = runtime_now_us(client->runtime);
    LIST_REMOVE(connection, link);
    LIST_INSERT_HEAD(&client->unused, connection, link);
}

/** Returns a connection to the pool, or closes it. */
static void
connection_release(struct http_client_connection *connection, bool reusable)
{
    struct http_client *client = connection->client;
    connection->call = NULL;
    if (!reusable ||
        http_client_limited_count(client) > client->config.connections_max) {
        http_client_connection_close(connection);
        return;
    }
    http_reader_reset(connection->reader);
    connection_count_body(connection, 0);
    connection_charge(connection, 0);
    connection->idle_since_us = runtime_now_us(client->runtime);
    LIST_REMOVE(connection, link);
    LIST_INSERT_HEAD(&client->idle, connection, link);
}

/** Records the peer's idle timeout (Keep-Alive). */
static void
connection_record_idle_timeout(struct http_client_connection *connection,
                               const struct http_headers *headers)
{
    const char *value = http_headers_find(headers, "Keep-Alive");
    const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
    if (timeout != NULL) {
        const long seconds = strtol(timeout + strlen("timeout="), NULL, 10);
        connection->idle_max_us =
            seconds * US_PER_SECOND * IDLE_REUSE_PERCENT / 100;
    }
}

static void
connection_finish_call(struct http_client_connection *connection)
{
    struct http_client *client = connection->client;
    struct http_call *call = connection->call;
    const struct http_message *message =
        http_reader_message(connection->reader);
    struct evbuffer *input = bufferevent_get_input(connection->bev);
    struct evbuffer *output = bufferevent_get_output(connection->bev);
    const bool excess_input = evbuffer_get_length(input) > 0;
    if (excess_input) {
        client->counters.unexpected_bytes->value++;
    }
    const struct http_result result = {
        .outcome = HTTP_ANSWERED,
        .status = message->status,
        .headers = &message->headers,
        .body = message->body,
        .body_size = message->body_size,
    };
    const bool reusable =
        message->keep_alive && !excess_input && !call->needs_own_connection &&
        connection->stray_answers == 0 && evbuffer_get_length(output) == 0 &&
        (call->keeps_connection == NULL ||
         call->keeps_connection(call->ctx, &result));
    const bool stays_open = call->needs_own_connection && call->stays_open;
    connection_record_idle_timeout(connection, &message->headers);
    call->connection = NULL;
    /* The callback may start or cancel other calls of this client. */
    connection->call = NULL;
    http_call_end(call, &result);
    connection->answered = true;
    if (stays_open) {
        connection_keep_unused(connection);
    }
    else {
        connection_release(connection, reusable);
    }
    http_client_assign_connections(client);
}

/** True if the complete answer that was read isn't the call's. */
static bool
connection_has_stray(const struct http_client_connection *connection)
{
    const struct http_call *call = connection->call;
    return call->answer_matches != NULL &&
           !call->answer_matches(
               call->ctx, &http_reader_message(connection->reader)->headers);
}

/** Drops a complete answer that isn't the call's. @return true if dropped */
static bool
connection_drop_stray(struct http_client_connection *connection)
{
    struct http_reader *reader = connection->reader;
    if (http_reader_progress(reader) != HTTP_PROGRESS_COMPLETE ||
        !connection_has_stray(connection)) {
        return false;
    }
    connection->client->counters.stray_answers->value++;
    connection->stray_answers++;
    http_reader_reset(reader);
    return true;
}

/** The peer has closed the connection, which may be the end of an answer
 * without a length. @return true if it was the call's */
static bool
connection_finish_at_close(struct http_client_connection *connection)
{
    if (!http_reader_finish_at_close(connection->reader)) {
        return false;
    }
    if (connection_has_stray(connection)) {
        connection->client->counters.stray_answers->value++;
        return false;
    }
    connection_finish_call(connection);
    return true;
}

static void
connection_on_read(struct bufferevent *bev, void *ctx)
{
    struct http_client_connection *connection = ctx;
    struct http_client *client = connection->client;
    if (connection->call == NULL) {
        client->counters.unexpected_bytes->value++;
        if (connection == LIST_FIRST(&client->unused)) {
            struct evbuffer *input = bufferevent_get_input(bev);
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        http_client_connection_close(connection);
        return;
    }
    if (!connection_charge(
            connection, http_reader_message(connection->reader)->body_size +
                            evbuffer_get_length(bufferevent_get_input(bev)))) {
        client->counters.memory_cut->value++;
        http_client_connection_fail(connection, HTTP_MALFORMED);
        return;
    }
    http_reader_feed(connection->reader, bufferevent_get_input(bev));
    while (connection->stray_answers < STRAY_ANSWERS_MAX &&
           connection_drop_stray(connection)) {
        http_reader_feed(connection->reader, bufferevent_get_input(bev));
    }
    connection_count_body(
        connection, http_reader_message(connection->reader)->body_capacity);
    if (connection->stray_answers == STRAY_ANSWERS_MAX ||
        client->body_bytes > client->config.bodies_max_bytes) {
        http_client_connection_fail(connection, HTTP_MALFORMED);
        return;
    }
    const enum http_progress progress =
        http_reader_progress(connection->reader);
    if (progress == HTTP_PROGRESS_COMPLETE) {
        connection_finish_call(connection);
    }
    else if (progress == HTTP_PROGRESS_FAILED) {
        http_client_connection_fail(connection, HTTP_MALFORMED);
    }
}

/** Writes the connection's call if may_send allows it. */
static void
connection_write(struct http_client_connection *connection)
{
    struct http_call *call = connection->call;
    if (call->may_send != NULL && !call->may_send(call->ctx)) {
        call->connection = NULL;
        connection_release(connection, true);
        http_call_fail_later(call, HTTP_NOT_SENT);
        return;
    }
    evbuffer_add_buffer(bufferevent_get_output(connection->bev),
                        call->message);
    evbuffer_free(call->message);
    call->message = NULL;
}

static void
connection_on_event(struct bufferevent *bev, short what, void *ctx)
{
    struct http_client_connection *connection = ctx;
    struct http_client *client = connection->client;
    const int error = EVUTIL_SOCKET_ERROR();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        keepalive_set(bufferevent_getfd(bev), &client_keepalive);
        connection->connected = true;
        connection->connected_us = runtime_now_us(client->runtime);
        if (connection->call != NULL) {
            connection_write(connection);
            http_client_assign_connections(client);
        }
        return;
    }
    const bool closed =
        (what & BEV_EVENT_EOF) != 0 && connection->call != NULL;
    if (closed && connection_finish_at_close(connection)) {
        return;
    }
    const bool refused = !connection->connected && error == ECONNREFUSED;
    http_client_connection_fail(connection,
                                refused ? HTTP_REFUSED : HTTP_CONNECTION_LOST);
}

struct http_client_connection *
http_client_connection_open(struct http_client *client)
{
    const struct address *address = &client->config.address;
    struct http_client_connection *connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        return NULL;
    }
    connection->client = client;
    connection->connect_deadline_us =
        runtime_now_us(client->runtime) + client->config.connect_timeout_us;
    connection->reader =
        http_reader_create(HTTP_MESSAGE_ANSWER, client->config.body_max_bytes);
    connection->bev = bufferevent_socket_new(
        runtime_event_base(client->runtime), -1, BEV_OPT_CLOSE_ON_FREE);
    if (connection->reader == NULL || connection->bev == NULL ||
        bufferevent_socket_connect(connection->bev,
                                   (const struct sockaddr *)&address->storage,
                                   (int)address->length) < 0) {
        if (connection->bev != NULL) {
            bufferevent_free(connection->bev);
        }
        http_reader_destroy(connection->reader);
        free(connection);
        return NULL;
    }
    if (client->config.body_may_end_at_close) {
        http_reader_allow_body_until_close(connection->reader);
    }
    /* Set after the connect, which may report a failure at once. */
    bufferevent_setcb(connection->bev, connection_on_read, NULL,
                      connection_on_event, connection);
    bufferevent_set_max_single_read(connection->bev, IO_MAX_BYTES);
    bufferevent_set_max_single_write(connection->bev, IO_MAX_BYTES);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    LIST_INSERT_HEAD(&client->busy, connection, link);
    client->connection_count++;
    client->counters.connects->value++;
    return connection;
}

void
http_client_connection_send(struct http_client_connection *connection,
                            struct http_call *call)
{
    connection->call = call;
    call->connection = connection;
    if (call->is_head) {
        http_reader_expect_no_body(connection->reader);
    }
    if (connection->connected) {
        connection_write(connection);
    }
}
