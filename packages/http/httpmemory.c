/* What the callers' connections hold of the process's memory budget. */
#include "http/httpserver_internal.h"

#include <stddef.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#define LOG_MODULE "http"
#include "base/log.h"

/* A body is held once more while it is sent to a target. Both are charged from
 * its first byte, so that an upload that was admitted can be completed. */
#define BODY_COPIES 2
/* Unread answers of a connection; above it no further request is handled. */
#define ANSWERS_HIGH_BYTES (256u << 10)
#define ANSWER_HEAD_BYTES 1024 /* charged for the head of an answer */

static struct http_connection *
holder_connection(struct memory_holder *holder)
{
    return (
        struct http_connection *)((char *)holder -
                                  offsetof(struct http_connection, memory));
}

static size_t
unread_bytes(const struct http_connection *connection)
{
    return connection->answer_bytes +
           evbuffer_get_length(bufferevent_get_output(connection->bev));
}

static bool
connection_set(struct http_connection *connection, size_t body_size,
               size_t answer_size)
{
    struct http_server *server = connection->server;
    const size_t input =
        evbuffer_get_length(bufferevent_get_input(connection->bev));
    return server->config.memory == NULL ||
           memory_budget_set(server->config.memory, &connection->memory,
                             BODY_COPIES * body_size + input +
                                 unread_bytes(connection) + answer_size,
                             runtime_now_us(server->runtime));
}

static size_t
received_bytes(const struct http_connection *connection)
{
    return connection->reader != NULL
               ? http_reader_message(connection->reader)->body_size
               : 0;
}

static void
connection_evict(struct memory_holder *holder)
{
    struct http_connection *connection = holder_connection(holder);
    char peer[ADDRESS_TEXT_SIZE];
    connection->server->counters.memory_closed->value++;
    LOG_WARN("memory_closed",
             LOG_STR("peer", address_format(&connection->peer, peer)),
             LOG_UINT("bytes", holder->bytes),
             LOG_UINT("unread", unread_bytes(connection)));
    http_connection_abort(connection);
}

/** Reduces the charge when the caller has read. */
static void
connection_on_output(struct evbuffer *output,
                     const struct evbuffer_cb_info *info, void *ctx)
{
    struct http_connection *connection = ctx;
    struct http_server *server = connection->server;
    (void)output;
    if (info->n_deleted > 0 && connection->memory.bytes > 0) {
        const size_t read = info->n_deleted < connection->memory.bytes
                                ? info->n_deleted
                                : connection->memory.bytes;
        connection->memory.progress_us = runtime_now_us(server->runtime);
        memory_budget_set(server->config.memory, &connection->memory,
                          connection->memory.bytes - read,
                          connection->memory.progress_us);
    }
}

void
http_memory_begin(struct http_connection *connection)
{
    if (connection->server->config.memory == NULL) {
        return;
    }
    connection->memory.purpose = MEMORY_CONNECTIONS;
    connection->memory.progress_us =
        runtime_now_us(connection->server->runtime);
    evbuffer_add_cb(bufferevent_get_output(connection->bev),
                    connection_on_output, connection);
    http_memory_protect(connection);
}

void
http_memory_protect(struct http_connection *connection)
{
    const bool in_use = connection->feeding || connection->running > 0;
    connection->memory.evict = in_use ? NULL : connection_evict;
}

bool
http_memory_charge_body(struct http_connection *connection, size_t size)
{
    if (size > received_bytes(connection)) {
        connection->memory.progress_us =
            runtime_now_us(connection->server->runtime);
    }
    return connection_set(connection, size, 0);
}

bool
http_memory_charge_request(struct http_connection *connection,
                           struct http_request *request)
{
    struct http_server *server = connection->server;
    const size_t size = received_bytes(connection);
    if (server->config.memory == NULL) {
        return true;
    }
    connection_set(connection, 0, 0);
    request->memory.purpose = MEMORY_REQUESTS;
    return memory_budget_set(server->config.memory, &request->memory,
                             BODY_COPIES * size,
                             runtime_now_us(server->runtime));
}

bool
http_memory_charge_answer(struct http_connection *connection, size_t size)
{
    return connection_set(connection, received_bytes(connection),
                          size + ANSWER_HEAD_BYTES);
}

bool
http_memory_output_is_full(const struct http_connection *connection)
{
    return connection->server->config.memory != NULL &&
           unread_bytes(connection) > ANSWERS_HIGH_BYTES;
}

void
http_memory_update(struct http_connection *connection)
{
    connection_set(connection, received_bytes(connection), 0);
}

void
http_memory_release(struct http_server *server, struct memory_holder *holder)
{
    if (server->config.memory != NULL) {
        memory_budget_release(server->config.memory, holder);
    }
}
