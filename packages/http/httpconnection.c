#include "http/httpserver_internal.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "http/httpproblem.h"
#include "http/httpwriter.h"

#define IO_MAX_BYTES (256u << 10)         /* of one read or write */
#define STOP_GRACE_US (1 * US_PER_SECOND) /* for requests in transit */
#define LINGER_US (2 * US_PER_SECOND)     /* for a caller still sending */
#define CONTINUE_TEXT "HTTP/1.1 100 Continue\r\n\r\n"

static int64_t
connection_now_us(const struct http_connection *connection)
{
    return runtime_now_us(connection->server->runtime);
}

static size_t
connection_backlog(const struct http_connection *connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection->bev));
}

/** Accounts for the memory of the request body being read. */
static void
connection_count_body(struct http_connection *connection, size_t body_bytes)
{
    struct http_server *server = connection->server;
    server->body_bytes += body_bytes - connection->body_bytes;
    server->counters.body_bytes->value = (int64_t)server->body_bytes;
    connection->body_bytes = body_bytes;
}

void
http_connection_free(struct http_connection *connection)
{
    struct http_server *server = connection->server;
    connection_count_body(connection, 0);
    http_memory_release(server, &connection->memory);
    if (server->check_next == connection) {
        server->check_next = LIST_NEXT(connection, link);
    }
    LIST_REMOVE(connection, link);
    bufferevent_free(connection->bev);
    http_server_release_reader(server, connection->reader);
    free(connection);
    http_server_connection_closed(server);
}

/** Detaches the requests from the connection; unanswered ones remain until
 * they are answered. */
static void
connection_abandon(struct http_connection *connection, bool report)
{
    struct http_server *server = connection->server;
    struct http_request *request;
    while ((request = TAILQ_FIRST(&connection->pipeline)) != NULL) {
        TAILQ_REMOVE(&connection->pipeline, request, pipeline);
        request->connection = NULL;
        if (request->answer != NULL) {
            http_request_free(request);
        }
        else if (report) {
            request->abandoned = true;
            TAILQ_INSERT_TAIL(&server->abandoned, request, pipeline);
        }
    }
}

void
http_connection_abort(struct http_connection *connection)
{
    connection_abandon(connection, false);
    http_connection_free(connection);
}

/** Closes the connection and cancels its unanswered requests. */
static void
connection_drop(struct http_connection *connection)
{
    struct http_server *server = connection->server;
    struct http_request *request;
    connection_abandon(connection, true);
    http_connection_free(connection);
    /* A callback may answer, and so free, any of these requests. */
    while ((request = TAILQ_FIRST(&server->abandoned)) != NULL) {
        TAILQ_REMOVE(&server->abandoned, request, pipeline);
        request->abandoned = false;
        server->counters.cancelled->value++;
        if (server->config.cancelled != NULL) {
            server->config.cancelled(server->config.ctx, request);
        }
    }
}

/** Lets the caller read the last answer before the socket closes. */
static void
connection_linger(struct http_connection *connection)
{
    connection->state = HTTP_CONNECTION_LINGERING;
    connection->deadline_us = connection_now_us(connection) + LINGER_US;
    shutdown(bufferevent_getfd(connection->bev), SHUT_WR);
    bufferevent_setwatermark(connection->bev, EV_READ, 0, IO_MAX_BYTES);
    bufferevent_enable(connection->bev, EV_READ);
}

static void
connection_finish(struct http_connection *connection)
{
    connection->state = HTTP_CONNECTION_CLOSING;
    connection->deadline_us = 0;
    if (connection_backlog(connection) == 0) {
        connection_linger(connection);
    }
}

/** Answers a request that can't be read, and closes the connection. Behind
 * requests without an answer it is not answered: the connection closes after
 * their answers. */
static void
connection_refuse(struct http_connection *connection, unsigned status)
{
    connection->server->counters.refused->value++;
    if (!TAILQ_EMPTY(&connection->pipeline)) {
        connection->closes_after_pipeline = true;
        connection->state = HTTP_CONNECTION_HANDLING;
        connection->receiving = false;
        connection->deadline_us = 0;
        http_server_release_reader(connection->server, connection->reader);
        connection->reader = NULL;
        connection_count_body(connection, 0);
        http_memory_update(connection);
        return;
    }
    const struct http_problem problem = {
        .status = status,
        .detail = "the request could not be read",
        .outcome = "not-run",
    };
    size_t size;
    char *body = http_problem_body(&problem, &size);
    const struct http_header headers[] = {
        {"Content-Type", HTTP_PROBLEM_TYPE},
        {HTTP_PRIVATE_PREFIX "Outcome", "not-run"},
    };
    http_write_answer(bufferevent_get_output(connection->bev),
                      &(struct http_answer){
                          .status = status,
                          .headers = headers,
                          .header_count = 2,
                          .body = body,
                          .body_size = size,
                          .close = true,
                      });
    free(body);
    connection_finish(connection);
}

/** Refuses a request that has not run. */
static void
connection_refuse_for_memory(struct http_connection *connection)
{
    connection->server->counters.memory_refused->value++;
    connection_refuse(connection, 503);
}

static void
connection_handle(struct http_connection *connection)
{
    struct http_server *server = connection->server;
    struct http_request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        connection_refuse(connection, 503);
        return;
    }
    if (!http_memory_charge_request(connection, request)) {
        free(request);
        connection_refuse_for_memory(connection);
        return;
    }
    request->server = server;
    request->connection = connection;
    request->reader = connection->reader;
    request->message = http_reader_message(request->reader);
    request->body_bytes = connection->body_bytes;
    request->peer = connection->peer;
    request->follows_answer = connection->answered;
    connection->reader = NULL;
    connection->body_bytes = 0;
    connection->receiving = false;
    connection->continue_sent = false;
    connection->deadline_us = 0;
    LIST_INSERT_HEAD(&server->requests, request, link);
    TAILQ_INSERT_TAIL(&connection->pipeline, request, pipeline);
    connection->pipeline_count++;
    connection->running++;
    if (!request->message->keep_alive ||
        connection->pipeline_count >= server->config.pipeline_max) {
        connection->state = HTTP_CONNECTION_HANDLING;
    }
    server->counters.requests->value++;
    server->config.handle(server->config.ctx, request);
}

static void
connection_start_reading(struct http_connection *connection,
                         int64_t timeout_us)
{
    connection->state = HTTP_CONNECTION_READING;
    connection->deadline_us = connection_now_us(connection) + timeout_us;
}

/** Waits for the rest of a partly read request. */
static void
connection_await_rest(struct http_connection *connection)
{
    struct http_reader *reader = connection->reader;
    const struct http_message *message = http_reader_message(reader);
    if (!connection->receiving) {
        connection->receiving = true;
        connection_start_reading(
            connection, connection->server->config.receive_timeout_us);
    }
    if (http_reader_progress(reader) == HTTP_PROGRESS_BODY &&
        message->expects_100 && !connection->continue_sent) {
        connection->continue_sent = true;
        bufferevent_write(connection->bev, CONTINUE_TEXT,
                          strlen(CONTINUE_TEXT));
    }
}

/** Reads and handles requests until the input runs out or the pipeline is
 * full. */
static void
connection_feed(struct http_connection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bev);
    if (connection->feeding) {
        return;
    }
    connection->feeding = true;
    http_memory_protect(connection);
    while (connection->state == HTTP_CONNECTION_READING &&
           evbuffer_get_length(input) > 0 &&
           !http_memory_output_is_full(connection)) {
        if (connection->reader == NULL) {
            connection->reader =
                http_server_acquire_reader(connection->server);
        }
        struct http_reader *reader = connection->reader;
        if (reader == NULL) {
            connection_refuse(connection, 503);
            break;
        }
        const size_t arrived = http_reader_message(reader)->body_size;
        if (!http_memory_charge_body(connection,
                                     arrived + evbuffer_get_length(input))) {
            connection_refuse_for_memory(connection);
            break;
        }
        http_reader_feed(reader, input);
        connection_count_body(connection,
                              http_reader_message(reader)->body_capacity);
        const enum http_progress progress = http_reader_progress(reader);
        if (connection->server->body_bytes >
            connection->server->config.bodies_max_bytes) {
            connection_refuse(connection, 503);
        }
        else if (progress == HTTP_PROGRESS_FAILED) {
            connection_refuse(connection, http_reader_failure(reader));
        }
        else if (progress == HTTP_PROGRESS_COMPLETE) {
            connection_handle(connection);
        }
        else {
            connection_await_rest(connection);
            break;
        }
    }
    connection->feeding = false;
    http_memory_protect(connection);
}

/** Writes the answers that are next in order. @return false if the connection
 * closes after the last one */
static bool
connection_flush(struct http_connection *connection)
{
    struct evbuffer *output = bufferevent_get_output(connection->bev);
    struct http_request *request;
    while ((request = TAILQ_FIRST(&connection->pipeline)) != NULL &&
           request->answer != NULL) {
        const bool close = request->close;
        TAILQ_REMOVE(&connection->pipeline, request, pipeline);
        connection->pipeline_count--;
        connection->answer_bytes -= evbuffer_get_length(request->answer);
        evbuffer_add_buffer(output, request->answer);
        http_request_free(request);
        if (close) {
            connection_abandon(connection, true);
            return false;
        }
    }
    return true;
}

/** True if no other request of the connection has arrived, even in part, and
 * none can before this answer is written. */
static bool
connection_has_only(const struct http_connection *connection,
                    const struct http_request *request)
{
    const struct evbuffer *input = bufferevent_get_input(connection->bev);
    return TAILQ_FIRST(&connection->pipeline) == request &&
           TAILQ_NEXT(request, pipeline) == NULL && !connection->receiving &&
           evbuffer_get_length(input) == 0;
}

/** True if the connection closes after the answer to this request. */
static bool
connection_closes_after(const struct http_connection *connection,
                        const struct http_request *request)
{
    if (!request->message->keep_alive ||
        (connection->closes_after_pipeline &&
         TAILQ_NEXT(request, pipeline) == NULL)) {
        return true;
    }
    return (connection->server->stopping || connection->server->retiring) &&
           connection_has_only(connection, request);
}

/** Drops the answer, for which there is no memory, and has the connection
 * closed later, since its caller may be in use. */
static void
connection_close_later(struct http_connection *connection,
                       struct http_request *request)
{
    if (!connection->close_pending) {
        connection->server->counters.memory_closed->value++;
    }
    connection->close_pending = true;
    connection->state = HTTP_CONNECTION_CLOSING;
    TAILQ_REMOVE(&connection->pipeline, request, pipeline);
    connection->pipeline_count--;
    http_request_free(request);
    http_memory_protect(connection);
}

void
http_connection_reply(struct http_request *request,
                      const struct http_reply *reply)
{
    struct http_connection *connection = request->connection;
    const struct http_message *message = request->message;
    connection->running--;
    if (connection->close_pending ||
        !http_memory_charge_answer(connection, reply->body_size)) {
        connection_close_later(connection, request);
        return;
    }
    request->close = connection_closes_after(connection, request);
    connection->answered =
        connection->answered || connection_has_only(connection, request);
    request->answer = evbuffer_new();
    if (request->answer == NULL) {
        connection_drop(connection);
        return;
    }
    http_write_answer(request->answer,
                      &(struct http_answer){
                          .status = reply->status,
                          .headers = reply->headers,
                          .header_count = reply->header_count,
                          .body = reply->body,
                          .body_size = reply->body_size,
                          .to_head = strcmp(message->method, "HEAD") == 0,
                          .close = request->close,
                          .keep_alive = message->http_1_0,
                      });
    connection->answer_bytes += evbuffer_get_length(request->answer);
    http_memory_protect(connection);
    if (!connection_flush(connection)) {
        connection_finish(connection);
        return;
    }
    if (connection->closes_after_pipeline && connection->pipeline_count == 0) {
        connection_finish(connection); /* answered before the refusal */
        return;
    }
    if (connection->closes_after_pipeline ||
        connection->pipeline_count >=
            connection->server->config.pipeline_max ||
        (connection->pipeline_count > 0 &&
         !TAILQ_LAST(&connection->pipeline, http_pipeline)
              ->message->keep_alive)) {
        return;
    }
    if (connection->pipeline_count == 0 && !connection->receiving) {
        connection_start_reading(
            connection, connection->server->stopping
                            ? STOP_GRACE_US
                            : connection->server->config.idle_timeout_us);
    }
    connection->state = HTTP_CONNECTION_READING;
    connection_feed(connection);
}

static void
connection_on_read(struct bufferevent *bev, void *ctx)
{
    struct http_connection *connection = ctx;
    if (connection->state >= HTTP_CONNECTION_CLOSING) {
        struct evbuffer *input = bufferevent_get_input(bev);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    connection_feed(connection);
}

static void
connection_on_write(struct bufferevent *bev, void *ctx)
{
    struct http_connection *connection = ctx;
    (void)bev;
    if (connection->close_pending) {
        return;
    }
    if (connection->state == HTTP_CONNECTION_CLOSING) {
        connection_linger(connection);
    }
    else if (connection->server->config.memory != NULL) {
        http_memory_update(connection);
        connection_feed(connection); /* it may have been backed up */
    }
}

static void
connection_on_event(struct bufferevent *bev, short what, void *ctx)
{
    struct http_connection *connection = ctx;
    (void)bev;
    /* A caller that shut down its sending side still gets the answers being
     * sent. */
    if ((what & BEV_EVENT_EOF) != 0 &&
        connection->state == HTTP_CONNECTION_CLOSING) {
        return;
    }
    connection_drop(connection);
}

void
http_connection_accept(struct http_server *server, evutil_socket_t fd,
                       const struct address *peer)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    struct http_connection *connection = calloc(1, sizeof(*connection));
    struct bufferevent *bev = bufferevent_socket_new(
        runtime_event_base(server->runtime), fd, BEV_OPT_CLOSE_ON_FREE);
    if (connection == NULL || bev == NULL) {
        free(connection);
        if (bev != NULL) {
            bufferevent_free(bev);
        }
        else {
            close(fd);
        }
        return;
    }
    connection->server = server;
    connection->bev = bev;
    connection->peer = *peer;
    TAILQ_INIT(&connection->pipeline);
    connection_start_reading(connection, server->config.idle_timeout_us);
    LIST_INSERT_HEAD(&server->connections, connection, link);
    http_memory_begin(connection);
    server->connection_count++;
    server->counters.connections->value++;
    server->counters.connections_open->value++;
    bufferevent_setcb(bev, connection_on_read, connection_on_write,
                      connection_on_event, connection);
    bufferevent_set_max_single_read(bev, IO_MAX_BYTES);
    bufferevent_set_max_single_write(bev, IO_MAX_BYTES);
    bufferevent_setwatermark(bev, EV_READ, 0, IO_MAX_BYTES);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

bool
http_connection_is_idle(const struct http_connection *connection)
{
    return connection->state == HTTP_CONNECTION_READING &&
           connection->pipeline_count == 0 && !connection->receiving &&
           connection_backlog(connection) == 0;
}

void
http_connection_stop(struct http_connection *connection)
{
    if (connection->state == HTTP_CONNECTION_READING &&
        connection->pipeline_count == 0 && !connection->receiving) {
        connection->deadline_us =
            connection_now_us(connection) + STOP_GRACE_US;
    }
}

void
http_connection_check_timeout(struct http_connection *connection,
                              int64_t now_us)
{
    struct http_server *server = connection->server;
    const size_t backlog = connection_backlog(connection);
    if (connection->close_pending) {
        connection_drop(connection);
        return;
    }
    if (backlog > 0) {
        /* Extends the deadline as long as the caller reads. */
        const bool progress = backlog != connection->backlog;
        connection->backlog = backlog;
        if (progress || connection->deadline_us == 0) {
            connection->deadline_us = now_us + server->config.send_timeout_us;
        }
        else if (now_us >= connection->deadline_us) {
            server->counters.send_timeouts->value++;
            connection_drop(connection);
        }
        return;
    }
    connection->backlog = 0;
    if (connection->pipeline_count > 0 && !connection->receiving) {
        connection->deadline_us = 0;
        return;
    }
    if (connection->deadline_us == 0 || now_us < connection->deadline_us) {
        return;
    }
    if (connection->receiving) {
        server->counters.receive_timeouts->value++;
        connection_drop(connection);
    }
    else if (connection->state == HTTP_CONNECTION_READING) {
        connection_finish(connection);
    }
    else {
        connection_drop(connection);
    }
}
