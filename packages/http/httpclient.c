#include "http/httpclient.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "http/httpmessage.h"
#include "http/httpwriter.h"

#define CONNECTIONS_MAX_DEFAULT 64
#define BODY_MAX_DEFAULT (16u << 20) /* bytes */
#define CONNECT_TIMEOUT_DEFAULT_US (1 * US_PER_SECOND)
#define IDLE_TIMEOUT_DEFAULT_US (30 * US_PER_SECOND)
#define SWEEP_US (1 * US_PER_SECOND)
#define READ_MAX (256u << 10) /* bytes taken from a socket at once */

/* clang-format off */
#define HTTP_CLIENT_COUNTERS(X)                                               \
    X(calls, "requests made")                                                 \
    X(answered, "requests answered whole")                                    \
    X(not_sent, "requests of which no byte was sent")                         \
    X(refused, "requests whose connection was refused")                       \
    X(timed_out, "requests without an answer by the deadline")                \
    X(cut, "requests whose connection ended before the answer was whole")     \
    X(malformed, "requests whose answer was not understood")                  \
    X(cancelled, "requests that were cancelled")                              \
    X(connects, "connections opened")                                         \
    X(abandoned, "connections closed since their request was abandoned")      \
    X(unexpected_bytes, "connections closed since bytes came unasked")
/* clang-format on */

struct http_client_counters {
#define HTTP_COUNTER_FIELD(field, help) struct counter *field;
    HTTP_CLIENT_COUNTERS(HTTP_COUNTER_FIELD)
#undef HTTP_COUNTER_FIELD
};

TAILQ_HEAD(http_call_queue, http_call);
LIST_HEAD(client_connection_list, client_connection);

struct http_client {
    struct runtime *runtime;
    struct http_client_config config;
    char host[ADDRESS_TEXT_SIZE];
    struct http_call_queue waiting; /* for a connection */
    struct http_call_queue failed;  /* to end in the next iteration */
    struct client_connection_list idle;
    struct client_connection_list busy;
    unsigned connection_count;
    struct event *failed_event;
    struct timer sweep_timer;
    struct http_client_counters counters;
};

struct client_connection {
    LIST_ENTRY(client_connection) link;
    struct http_client *client;
    struct bufferevent *bev;
    struct http_reader *reader;
    struct http_call *call; /* NULL while idle */
    bool connected;
    int64_t connect_deadline_us;
    int64_t idle_since_us;
};

struct http_call {
    TAILQ_ENTRY(http_call) link;
    struct http_call_queue *queue; /* that link is in, or NULL */
    struct http_client *client;
    struct client_connection *connection; /* NULL while waiting */
    struct evbuffer *message;             /* while it is not on a connection */
    size_t message_size;
    bool to_head;
    enum http_outcome end_with; /* while in the queue of failed calls */
    struct timer deadline;
    http_may_send_cb may_send;
    http_done_cb done;
    void *ctx;
};

static void client_assign(struct http_client *client);
static void connection_write(struct client_connection *connection);
static void call_fail_later(struct http_call *call, enum http_outcome outcome);

static void
call_count(const struct http_client *client, enum http_outcome outcome)
{
    const struct http_client_counters *counters = &client->counters;
    struct counter *const by_outcome[] = {
        [HTTP_ANSWERED] = counters->answered,
        [HTTP_NOT_SENT] = counters->not_sent,
        [HTTP_REFUSED] = counters->refused,
        [HTTP_TIMED_OUT] = counters->timed_out,
        [HTTP_CUT] = counters->cut,
        [HTTP_MALFORMED] = counters->malformed,
    };
    by_outcome[outcome]->value++;
}

static void
connection_close(struct client_connection *connection)
{
    struct http_client *client = connection->client;
    LIST_REMOVE(connection, link);
    client->connection_count--;
    bufferevent_free(connection->bev);
    http_reader_destroy(connection->reader);
    free(connection);
}

/** Frees a call that is in no connection. */
static void
call_free(struct http_call *call)
{
    timer_stop(&call->deadline);
    if (call->queue != NULL) {
        TAILQ_REMOVE(call->queue, call, link);
    }
    if (call->message != NULL) {
        evbuffer_free(call->message);
    }
    free(call);
}

static void
call_end(struct http_call *call, const struct http_result *result)
{
    timer_stop(&call->deadline);
    call_count(call->client, result->outcome);
    call->done(call->ctx, result);
    call_free(call);
}

static void
call_end_without_answer(struct http_call *call, enum http_outcome outcome)
{
    call_end(call, &(struct http_result){.outcome = outcome});
}

bool
http_call_is_sent(const struct http_call *call)
{
    const struct client_connection *connection = call->connection;
    if (connection == NULL || call->message != NULL) {
        return false;
    }
    const struct evbuffer *output = bufferevent_get_output(connection->bev);
    return evbuffer_get_length(output) < call->message_size;
}

/** Closes the connection and ends its call. */
static void
connection_fail(struct client_connection *connection,
                enum http_outcome outcome)
{
    struct http_client *client = connection->client;
    struct http_call *call = connection->call;
    const bool sent = call != NULL && http_call_is_sent(call);
    connection_close(connection);
    if (call != NULL) {
        call->connection = NULL;
        const bool unsent = !sent && outcome != HTTP_REFUSED;
        call_end_without_answer(call, unsent ? HTTP_NOT_SENT : outcome);
    }
    client_assign(client);
}

static void
call_on_deadline(void *ctx)
{
    struct http_call *call = ctx;
    if (call->connection == NULL) {
        call_end_without_answer(call, HTTP_NOT_SENT);
        return;
    }
    call->client->counters.abandoned->value++;
    connection_fail(call->connection, HTTP_TIMED_OUT);
}

/** Puts a connection whose answer is whole back into the pool. */
static void
connection_release(struct client_connection *connection, bool reusable)
{
    struct http_client *client = connection->client;
    connection->call = NULL;
    if (!reusable ||
        client->connection_count > client->config.connections_max) {
        connection_close(connection);
        return;
    }
    http_reader_reset(connection->reader);
    connection->idle_since_us = runtime_now_us(client->runtime);
    LIST_REMOVE(connection, link);
    LIST_INSERT_HEAD(&client->idle, connection, link);
}

static void
connection_finish_call(struct client_connection *connection)
{
    struct http_client *client = connection->client;
    struct http_call *call = connection->call;
    const struct http_message *message =
        http_reader_message(connection->reader);
    struct evbuffer *input = bufferevent_get_input(connection->bev);
    struct evbuffer *output = bufferevent_get_output(connection->bev);
    const bool extra = evbuffer_get_length(input) > 0;
    if (extra) {
        client->counters.unexpected_bytes->value++;
    }
    const bool reusable =
        message->keep_alive && !extra && evbuffer_get_length(output) == 0;
    call->connection = NULL;
    /* The callback may start or cancel other calls of this client. */
    connection->call = NULL;
    call_end(call, &(struct http_result){
                       .outcome = HTTP_ANSWERED,
                       .status = message->status,
                       .headers = &message->headers,
                       .body = message->body,
                       .body_size = message->body_size,
                   });
    connection_release(connection, reusable);
    client_assign(client);
}

static void
connection_on_read(struct bufferevent *bev, void *ctx)
{
    struct client_connection *connection = ctx;
    struct http_client *client = connection->client;
    if (connection->call == NULL) {
        client->counters.unexpected_bytes->value++;
        connection_close(connection);
        return;
    }
    http_reader_feed(connection->reader, bufferevent_get_input(bev));
    const enum http_progress progress =
        http_reader_progress(connection->reader);
    if (progress == HTTP_PROGRESS_WHOLE) {
        connection_finish_call(connection);
    }
    else if (progress == HTTP_PROGRESS_FAILED) {
        connection_fail(connection, HTTP_MALFORMED);
    }
}

static void
connection_on_event(struct bufferevent *bev, short what, void *ctx)
{
    struct client_connection *connection = ctx;
    const int error = EVUTIL_SOCKET_ERROR();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        const int on = 1;
        setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
                   sizeof(on));
        connection->connected = true;
        if (connection->call != NULL) {
            connection_write(connection);
            client_assign(connection->client);
        }
        return;
    }
    const bool refused = !connection->connected && error == ECONNREFUSED;
    connection_fail(connection, refused ? HTTP_REFUSED : HTTP_CUT);
}

static struct client_connection *
connection_open(struct http_client *client)
{
    const struct address *address = &client->config.address;
    struct client_connection *connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        return NULL;
    }
    connection->client = client;
    connection->connect_deadline_us =
        runtime_now_us(client->runtime) + client->config.connect_timeout_us;
    connection->reader =
        http_reader_create(HTTP_MESSAGE_ANSWER, client->config.body_max);
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
    /* Set after the connect, which may report a failure at once. */
    bufferevent_setcb(connection->bev, connection_on_read, NULL,
                      connection_on_event, connection);
    bufferevent_set_max_single_read(connection->bev, READ_MAX);
    bufferevent_set_max_single_write(connection->bev, READ_MAX);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    LIST_INSERT_HEAD(&client->busy, connection, link);
    client->connection_count++;
    client->counters.connects->value++;
    return connection;
}

static struct client_connection *
client_take_connection(struct http_client *client)
{
    struct client_connection *connection = LIST_FIRST(&client->idle);
    if (connection == NULL) {
        return connection_open(client);
    }
    LIST_REMOVE(connection, link);
    LIST_INSERT_HEAD(&client->busy, connection, link);
    return connection;
}

/** Writes the call that has this connection, unless its owner stops it. */
static void
connection_write(struct client_connection *connection)
{
    struct http_call *call = connection->call;
    if (call->may_send != NULL && !call->may_send(call->ctx)) {
        call->connection = NULL;
        connection_release(connection, true);
        call_fail_later(call, HTTP_NOT_SENT);
        return;
    }
    evbuffer_add_buffer(bufferevent_get_output(connection->bev),
                        call->message);
    evbuffer_free(call->message);
    call->message = NULL;
}

static void
connection_send(struct client_connection *connection, struct http_call *call)
{
    connection->call = call;
    call->connection = connection;
    if (call->to_head) {
        http_reader_expect_no_body(connection->reader);
    }
    if (connection->connected) {
        connection_write(connection);
    }
}

/** Gives connections to the calls that wait. */
static void
client_assign(struct http_client *client)
{
    struct http_call *call;
    while ((call = TAILQ_FIRST(&client->waiting)) != NULL) {
        if (LIST_EMPTY(&client->idle) &&
            client->connection_count >= client->config.connections_max) {
            return;
        }
        TAILQ_REMOVE(&client->waiting, call, link);
        call->queue = NULL;
        struct client_connection *connection = client_take_connection(client);
        if (connection == NULL) {
            call_fail_later(call, HTTP_NOT_SENT);
            continue;
        }
        connection_send(connection, call);
    }
}

/** Ends the call in the next iteration of the loop. */
static void
call_fail_later(struct http_call *call, enum http_outcome outcome)
{
    call->end_with = outcome;
    call->queue = &call->client->failed;
    TAILQ_INSERT_TAIL(call->queue, call, link);
    event_active(call->client->failed_event, EV_TIMEOUT, 1);
}

static void
client_on_failed(evutil_socket_t fd, short what, void *ctx)
{
    struct http_client *client = ctx;
    (void)fd;
    (void)what;
    struct http_call *call = TAILQ_FIRST(&client->failed);
    if (call == NULL) {
        return;
    }
    if (TAILQ_NEXT(call, link) != NULL) {
        event_active(client->failed_event, EV_TIMEOUT, 1);
    }
    call_end_without_answer(call, call->end_with);
}

static void
client_on_sweep(void *ctx)
{
    struct http_client *client = ctx;
    const int64_t now_us = runtime_now_us(client->runtime);
    struct client_connection *connection = LIST_FIRST(&client->idle);
    while (connection != NULL) {
        struct client_connection *next = LIST_NEXT(connection, link);
        if (now_us - connection->idle_since_us >=
            client->config.idle_timeout_us) {
            connection_close(connection);
        }
        connection = next;
    }
    connection = LIST_FIRST(&client->busy);
    while (connection != NULL) {
        struct client_connection *next = LIST_NEXT(connection, link);
        if (!connection->connected &&
            now_us >= connection->connect_deadline_us) {
            /* Its callback may change the list; go on at the next sweep. */
            connection_fail(connection, HTTP_NOT_SENT);
            break;
        }
        connection = next;
    }
    timer_start(&client->sweep_timer, SWEEP_US);
}

static void
set_defaults(struct http_client_config *config)
{
    if (config->connections_max == 0) {
        config->connections_max = CONNECTIONS_MAX_DEFAULT;
    }
    if (config->body_max == 0) {
        config->body_max = BODY_MAX_DEFAULT;
    }
    if (config->connect_timeout_us == 0) {
        config->connect_timeout_us = CONNECT_TIMEOUT_DEFAULT_US;
    }
    if (config->idle_timeout_us == 0) {
        config->idle_timeout_us = IDLE_TIMEOUT_DEFAULT_US;
    }
}

struct http_client *
http_client_create(struct runtime *runtime,
                   const struct http_client_config *config,
                   struct counter_registry *counters)
{
    struct http_client *client = calloc(1, sizeof(*client));
    if (client == NULL) {
        abort();
    }
    client->runtime = runtime;
    client->config = *config;
    set_defaults(&client->config);
    address_format(&config->address, client->host);
    TAILQ_INIT(&client->waiting);
    TAILQ_INIT(&client->failed);
#define HTTP_COUNTER_ADD(field, help)                                         \
    client->counters.field =                                                  \
        counter_add(counters, "http_client_" #field, help);
    HTTP_CLIENT_COUNTERS(HTTP_COUNTER_ADD)
#undef HTTP_COUNTER_ADD
    client->failed_event =
        evtimer_new(runtime_event_base(runtime), client_on_failed, client);
    if (client->failed_event == NULL) {
        abort();
    }
    timer_init(&client->sweep_timer, runtime, client_on_sweep, client);
    timer_start(&client->sweep_timer, SWEEP_US);
    return client;
}

static void
free_queue(struct http_call_queue *queue)
{
    struct http_call *call = TAILQ_FIRST(queue);
    while (call != NULL) {
        struct http_call *next = TAILQ_NEXT(call, link);
        call_free(call);
        call = next;
    }
}

static void
free_connections(struct client_connection_list *list)
{
    struct client_connection *connection = LIST_FIRST(list);
    while (connection != NULL) {
        struct client_connection *next = LIST_NEXT(connection, link);
        if (connection->call != NULL) {
            call_free(connection->call);
        }
        connection_close(connection);
        connection = next;
    }
}

void
http_client_destroy(struct http_client *client)
{
    if (client == NULL) {
        return;
    }
    timer_stop(&client->sweep_timer);
    free_queue(&client->waiting);
    free_queue(&client->failed);
    free_connections(&client->idle);
    free_connections(&client->busy);
    event_free(client->failed_event);
    free(client);
}

void
http_client_set_connections(struct http_client *client, unsigned max)
{
    client->config.connections_max = max > 0 ? max : 1;
    struct client_connection *connection = LIST_FIRST(&client->idle);
    while (connection != NULL &&
           client->connection_count > client->config.connections_max) {
        struct client_connection *next = LIST_NEXT(connection, link);
        connection_close(connection);
        connection = next;
    }
    client_assign(client);
}

unsigned
http_client_connections(const struct http_client *client)
{
    return client->connection_count;
}

struct http_call *
http_call_start(struct http_client *client, const struct http_call_spec *spec)
{
    struct http_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->client = client;
    call->may_send = spec->may_send;
    call->done = spec->done;
    call->ctx = spec->ctx;
    call->to_head = strcmp(spec->method, "HEAD") == 0;
    call->message = evbuffer_new();
    if (call->message == NULL) {
        abort();
    }
    http_write_request(call->message, &(struct http_outgoing){
                                          .method = spec->method,
                                          .target = spec->target,
                                          .host = client->host,
                                          .headers = spec->headers,
                                          .header_count = spec->header_count,
                                          .body = spec->body,
                                          .body_size = spec->body_size,
                                      });
    call->message_size = evbuffer_get_length(call->message);
    timer_init(&call->deadline, client->runtime, call_on_deadline, call);
    timer_start_at(&call->deadline, spec->deadline_us);
    client->counters.calls->value++;
    call->queue = &client->waiting;
    TAILQ_INSERT_TAIL(call->queue, call, link);
    client_assign(client);
    return call;
}

void
http_call_cancel(struct http_call *call)
{
    struct http_client *client = call->client;
    struct client_connection *connection = call->connection;
    client->counters.cancelled->value++;
    call_free(call);
    if (connection != NULL) {
        client->counters.abandoned->value++;
        connection_close(connection);
        client_assign(client);
    }
}
