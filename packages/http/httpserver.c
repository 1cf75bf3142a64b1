#include "http/httpserver.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "http/httpproblem.h"
#include "http/httpserver_internal.h"

#define BODY_MAX_DEFAULT_BYTES (16u << 20)
#define BODIES_MAX_DEFAULT_BYTES (256u << 20)
#define CONNECTIONS_MAX_DEFAULT 4096
#define PIPELINE_MAX_DEFAULT 1
#define RECEIVE_TIMEOUT_DEFAULT_US (60 * US_PER_SECOND)
#define SEND_TIMEOUT_DEFAULT_US (30 * US_PER_SECOND)
#define IDLE_TIMEOUT_DEFAULT_US (120 * US_PER_SECOND)
#define TIMEOUT_CHECK_INTERVAL_US (1 * US_PER_SECOND)
#define LISTEN_BACKLOG 1024

/** Closes the connection that has been idle for the longest. */
static bool
server_close_idle(struct http_server *server)
{
    struct http_connection *oldest = NULL;
    struct http_connection *connection;
    LIST_FOREACH (connection, &server->connections, link) {
        if (http_connection_is_idle(connection) &&
            (oldest == NULL ||
             connection->deadline_us <= oldest->deadline_us)) {
            oldest = connection;
        }
    }
    if (oldest == NULL) {
        return false;
    }
    server->counters.idle_closed->value++;
    http_connection_abort(oldest);
    return true;
}

static void
server_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                 struct sockaddr *peer, int peer_size, void *ctx)
{
    struct http_server *server = ctx;
    struct address address = {.length = (socklen_t)peer_size};
    memcpy(&address.storage, peer, (size_t)peer_size);
    if (server->config.closes_idle &&
        server->connection_count + 1 >= server->config.connections_max) {
        server_close_idle(server);
    }
    http_connection_accept(server, fd, &address);
    if (server->connection_count >= server->config.connections_max) {
        server->counters.accept_pauses->value++;
        evconnlistener_disable(listener);
    }
}

/** Pauses accepting until the next timeout check, e.g. when out of file
 * descriptors. */
static void
server_on_accept_error(struct evconnlistener *listener, void *ctx)
{
    struct http_server *server = ctx;
    server->counters.accept_errors->value++;
    evconnlistener_disable(listener);
}

static void
server_on_timeout_check(void *ctx)
{
    struct http_server *server = ctx;
    const int64_t now_us = runtime_now_us(server->runtime);
    struct http_connection *connection = LIST_FIRST(&server->connections);
    while (connection != NULL) {
        /* Moved on by http_connection_free() if that one is freed. */
        server->check_next = LIST_NEXT(connection, link);
        http_connection_check_timeout(connection, now_us);
        connection = server->check_next;
    }
    if (server->listener != NULL &&
        server->connection_count < server->config.connections_max) {
        evconnlistener_enable(server->listener);
    }
    timer_start(&server->timeout_check_timer, TIMEOUT_CHECK_INTERVAL_US);
}

static void
server_on_stopped(evutil_socket_t fd, short what, void *ctx)
{
    struct http_server *server = ctx;
    (void)fd;
    (void)what;
    if (server->stopped != NULL) {
        server->stopped(server->stopped_ctx);
    }
}

void
http_server_connection_closed(struct http_server *server)
{
    server->connection_count--;
    server->counters.connections_open->value--;
    if (!server->stopping) {
        evconnlistener_enable(server->listener);
    }
    else if (server->connection_count == 0) {
        event_active(server->stopped_event, EV_TIMEOUT, 1);
    }
}

static bool
server_listen(struct http_server *server, struct error *err)
{
    server->address = server->config.address;
    struct sockaddr *bound = (struct sockaddr *)&server->address.storage;
    server->listener = evconnlistener_new_bind(
        runtime_event_base(server->runtime), server_on_accept, server,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, LISTEN_BACKLOG, bound,
        (int)server->address.length);
    char text[ADDRESS_TEXT_SIZE];
    if (server->listener == NULL) {
        return error_set_system(err, "listen on %s",
                                address_format(&server->address, text));
    }
    evconnlistener_set_error_cb(server->listener, server_on_accept_error);
    socklen_t size = sizeof(server->address.storage);
    if (getsockname(evconnlistener_get_fd(server->listener), bound, &size) <
        0) {
        return error_set_system(err, "getsockname");
    }
    server->address.length = size;
    return true;
}

static void
set_defaults(struct http_server_config *config)
{
    if (config->body_max_bytes == 0) {
        config->body_max_bytes = BODY_MAX_DEFAULT_BYTES;
    }
    if (config->bodies_max_bytes == 0) {
        config->bodies_max_bytes = BODIES_MAX_DEFAULT_BYTES;
    }
    if (config->connections_max == 0) {
        config->connections_max = CONNECTIONS_MAX_DEFAULT;
    }
    if (config->pipeline_max == 0) {
        config->pipeline_max = PIPELINE_MAX_DEFAULT;
    }
    if (config->receive_timeout_us == 0) {
        config->receive_timeout_us = RECEIVE_TIMEOUT_DEFAULT_US;
    }
    if (config->send_timeout_us == 0) {
        config->send_timeout_us = SEND_TIMEOUT_DEFAULT_US;
    }
    if (config->idle_timeout_us == 0) {
        config->idle_timeout_us = IDLE_TIMEOUT_DEFAULT_US;
    }
}

static void
server_add_counters(struct http_server *server,
                    struct counter_registry *registry)
{
#define HTTP_COUNTER_ADD(field, help)                                         \
    server->counters.field =                                                  \
        counter_add(registry, "http_server_" #field, help);
    HTTP_SERVER_COUNTERS(HTTP_COUNTER_ADD)
#undef HTTP_COUNTER_ADD
}

struct http_server *
http_server_create(struct runtime *runtime,
                   const struct http_server_config *config,
                   struct counter_registry *counters, struct error *err)
{
    struct http_server *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        error_set(err, ERROR_NO_MEMORY, "HTTP server");
        return NULL;
    }
    server->runtime = runtime;
    TAILQ_INIT(&server->abandoned);
    server->config = *config;
    set_defaults(&server->config);
    server_add_counters(server, counters);
    timer_init(&server->timeout_check_timer, runtime, server_on_timeout_check,
               server);
    server->stopped_event =
        evtimer_new(runtime_event_base(runtime), server_on_stopped, server);
    if (server->stopped_event == NULL) {
        error_set(err, ERROR_EVENT_LOOP, "HTTP server");
        http_server_destroy(server);
        return NULL;
    }
    if (!server_listen(server, err)) {
        http_server_destroy(server);
        return NULL;
    }
    timer_start(&server->timeout_check_timer, TIMEOUT_CHECK_INTERVAL_US);
    return server;
}

const struct address *
http_server_address(const struct http_server *server)
{
    return &server->address;
}

void
http_server_stop(struct http_server *server, void (*done)(void *ctx),
                 void *ctx)
{
    server->stopping = true;
    server->stopped = done;
    server->stopped_ctx = ctx;
    evconnlistener_free(server->listener);
    server->listener = NULL;
    if (server->connection_count == 0) {
        event_active(server->stopped_event, EV_TIMEOUT, 1);
    }
    struct http_connection *connection = LIST_FIRST(&server->connections);
    while (connection != NULL) {
        struct http_connection *next = LIST_NEXT(connection, link);
        http_connection_stop(connection);
        connection = next;
    }
}

struct http_reader *
http_server_acquire_reader(struct http_server *server)
{
    if (server->spare_reader_count > 0) {
        return server->spare_readers[--server->spare_reader_count];
    }
    return http_reader_create(HTTP_MESSAGE_REQUEST,
                              server->config.body_max_bytes);
}

void
http_server_release_reader(struct http_server *server,
                           struct http_reader *reader)
{
    if (reader == NULL) {
        return;
    }
    if (server->spare_reader_count == HTTP_SPARE_READERS_MAX) {
        http_reader_destroy(reader);
        return;
    }
    http_reader_reset(reader);
    server->spare_readers[server->spare_reader_count++] = reader;
}

void
http_request_free(struct http_request *request)
{
    struct http_server *server = request->server;
    server->body_bytes -= request->body_bytes;
    server->counters.body_bytes->value = (int64_t)server->body_bytes;
    if (request->abandoned) {
        TAILQ_REMOVE(&server->abandoned, request, pipeline);
    }
    if (request->answer != NULL) {
        evbuffer_free(request->answer);
    }
    http_memory_release(server, &request->memory);
    LIST_REMOVE(request, link);
    http_server_release_reader(server, request->reader);
    free(request);
}

bool
http_server_is_flushed(const struct http_server *server)
{
    const struct http_connection *connection;
    LIST_FOREACH (connection, &server->connections, link) {
        const struct evbuffer *output =
            bufferevent_get_output(connection->bev);
        if (connection->pipeline_count > 0 || connection->receiving ||
            evbuffer_get_length(output) > 0) {
            return false;
        }
    }
    return true;
}

void
http_server_retire(struct http_server *server)
{
    server->retiring = true;
}

void
http_server_destroy(struct http_server *server)
{
    if (server == NULL) {
        return;
    }
    timer_stop(&server->timeout_check_timer);
    struct http_request *request = LIST_FIRST(&server->requests);
    while (request != NULL) {
        struct http_request *next = LIST_NEXT(request, link);
        if (request->connection != NULL) {
            TAILQ_REMOVE(&request->connection->pipeline, request, pipeline);
        }
        http_request_free(request);
        request = next;
    }
    server->stopping = true;
    struct http_connection *connection;
    while ((connection = LIST_FIRST(&server->connections)) != NULL) {
        http_connection_free(connection);
    }
    while (server->spare_reader_count > 0) {
        http_reader_destroy(http_server_acquire_reader(server));
    }
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    if (server->stopped_event != NULL) {
        event_free(server->stopped_event);
    }
    free(server);
}

const char *
http_request_method(const struct http_request *request)
{
    return request->message->method;
}

const char *
http_request_path(const struct http_request *request)
{
    return request->message->path;
}

const char *
http_request_query(const struct http_request *request)
{
    return request->message->query;
}

const struct http_headers *
http_request_headers(const struct http_request *request)
{
    return &request->message->headers;
}

const char *
http_request_header(const struct http_request *request, const char *name)
{
    return http_headers_find(&request->message->headers, name);
}

const void *
http_request_body(const struct http_request *request, size_t *size)
{
    *size = request->message->body_size;
    return request->message->body;
}

const struct address *
http_request_peer(const struct http_request *request)
{
    return &request->peer;
}

bool
http_request_follows_answer(const struct http_request *request)
{
    return request->follows_answer;
}

void
http_request_set_data(struct http_request *request, void *data)
{
    request->data = data;
}

void *
http_request_data(const struct http_request *request)
{
    return request->data;
}

void
http_request_reply(struct http_request *request,
                   const struct http_reply *reply)
{
    if (request->connection == NULL) {
        http_request_free(request);
        return;
    }
    request->server->counters.answers->value++;
    http_connection_reply(request, reply);
}

void
http_request_reply_problem(struct http_request *request,
                           const struct http_problem *problem,
                           unsigned retry_after_s)
{
    char retry_after[16];
    snprintf(retry_after, sizeof(retry_after), "%u", retry_after_s);
    struct http_header headers[3] = {{"Content-Type", HTTP_PROBLEM_TYPE}};
    size_t count = 1;
    if (problem->outcome != NULL) {
        headers[count++] =
            (struct http_header){HTTP_OUTCOME_HEADER, problem->outcome};
    }
    if (retry_after_s > 0) {
        headers[count++] = (struct http_header){"Retry-After", retry_after};
    }
    size_t size;
    char *body = http_problem_body(problem, &size);
    http_request_reply(request, &(struct http_reply){
                                    .status = problem->status,
                                    .headers = headers,
                                    .header_count = count,
                                    .body = body,
                                    .body_size = size,
                                });
    free(body);
}
