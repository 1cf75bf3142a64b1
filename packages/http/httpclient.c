#include "http/httpclient.h"

#include <stdlib.h>

#include "http/httpclient_internal.h"

#define CONNECTIONS_MAX_DEFAULT 64
#define BODY_MAX_DEFAULT_BYTES (16u << 20)
#define BODIES_MAX_DEFAULT_BYTES (64u << 20)
#define CONNECT_TIMEOUT_DEFAULT_US (1 * US_PER_SECOND)
#define IDLE_TIMEOUT_DEFAULT_US (30 * US_PER_SECOND)
#define TIMEOUT_CHECK_INTERVAL_US (1 * US_PER_SECOND)

/** Time after which an idle connection is not reused. */
static int64_t
idle_max_us(const struct http_client_connection *connection)
{
    const int64_t configured_us = connection->client->config.idle_timeout_us;
    const int64_t peer_us = connection->idle_max_us;
    return peer_us > 0 && peer_us < configured_us ? peer_us : configured_us;
}

unsigned
http_client_limited_count(const struct http_client *client)
{
    return client->connection_count - (LIST_EMPTY(&client->unused) ? 0 : 1);
}

/** Opens a connection in place of an idle one if there are too many. */
static struct http_client_connection *
client_open_connection(struct http_client *client)
{
    if (http_client_limited_count(client) >= client->config.connections_max &&
        !LIST_EMPTY(&client->idle)) {
        http_client_connection_close(LIST_FIRST(&client->idle));
    }
    return http_client_connection_open(client);
}

static struct http_client_connection *
client_acquire_connection(struct http_client *client)
{
    const int64_t now_us = runtime_now_us(client->runtime);
    struct http_client_connection *connection = LIST_FIRST(&client->idle);
    while (connection != NULL &&
           now_us - connection->idle_since_us >= idle_max_us(connection)) {
        http_client_connection_close(connection);
        connection = LIST_FIRST(&client->idle);
    }
    if (connection == NULL) {
        return http_client_connection_open(client);
    }
    LIST_REMOVE(connection, link);
    LIST_INSERT_HEAD(&client->busy, connection, link);
    return connection;
}

void
http_client_assign_connections(struct http_client *client)
{
    struct http_call *call;
    while ((call = TAILQ_FIRST(&client->waiting)) != NULL) {
        if (LIST_EMPTY(&client->idle) && http_client_limited_count(client) >=
                                             client->config.connections_max) {
            return;
        }
        TAILQ_REMOVE(&client->waiting, call, link);
        call->queue = NULL;
        struct http_client_connection *connection =
            call->needs_own_connection ? client_open_connection(client)
                                       : client_acquire_connection(client);
        if (connection == NULL) {
            http_call_fail_later(call, HTTP_NOT_SENT);
            continue;
        }
        http_client_connection_send(connection, call);
    }
}

static void
close_rested(struct http_client_connection_list *list, int64_t now_us)
{
    struct http_client_connection *connection = LIST_FIRST(list);
    while (connection != NULL) {
        struct http_client_connection *next = LIST_NEXT(connection, link);
        if (now_us - connection->idle_since_us >= idle_max_us(connection)) {
            http_client_connection_close(connection);
        }
        connection = next;
    }
}

static void
client_on_timeout_check(void *ctx)
{
    struct http_client *client = ctx;
    const int64_t now_us = runtime_now_us(client->runtime);
    close_rested(&client->idle, now_us);
    close_rested(&client->unused, now_us);
    struct http_client_connection *connection = LIST_FIRST(&client->busy);
    while (connection != NULL) {
        struct http_client_connection *next = LIST_NEXT(connection, link);
        if (!connection->connected &&
            now_us >= connection->connect_deadline_us) {
            /* Callbacks may change the list; continue at the next check. */
            http_client_connection_fail(connection, HTTP_NOT_SENT);
            break;
        }
        connection = next;
    }
    timer_start(&client->timeout_check_timer, TIMEOUT_CHECK_INTERVAL_US);
}

static void
set_defaults(struct http_client_config *config)
{
    if (config->connections_max == 0) {
        config->connections_max = CONNECTIONS_MAX_DEFAULT;
    }
    if (config->bodies_max_bytes == 0) {
        config->bodies_max_bytes = BODIES_MAX_DEFAULT_BYTES;
    }
    if (config->body_max_bytes == 0) {
        config->body_max_bytes = BODY_MAX_DEFAULT_BYTES;
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
        evtimer_new(runtime_event_base(runtime), http_call_on_failed, client);
    if (client->failed_event == NULL) {
        abort();
    }
    timer_init(&client->timeout_check_timer, runtime, client_on_timeout_check,
               client);
    timer_start(&client->timeout_check_timer, TIMEOUT_CHECK_INTERVAL_US);
    return client;
}

static void
free_queue(struct http_call_queue *queue)
{
    struct http_call *call = TAILQ_FIRST(queue);
    while (call != NULL) {
        struct http_call *next = TAILQ_NEXT(call, link);
        http_call_free(call);
        call = next;
    }
}

static void
free_connections(struct http_client_connection_list *list)
{
    struct http_client_connection *connection = LIST_FIRST(list);
    while (connection != NULL) {
        struct http_client_connection *next = LIST_NEXT(connection, link);
        if (connection->call != NULL) {
            http_call_free(connection->call);
        }
        http_client_connection_close(connection);
        connection = next;
    }
}

void
http_client_destroy(struct http_client *client)
{
    if (client == NULL) {
        return;
    }
    timer_stop(&client->timeout_check_timer);
    free_queue(&client->waiting);
    free_queue(&client->failed);
    free_connections(&client->idle);
    free_connections(&client->busy);
    free_connections(&client->unused);
    event_free(client->failed_event);
    free(client);
}

void
http_client_set_connections(struct http_client *client, unsigned max)
{
    client->config.connections_max = max > 0 ? max : 1;
    struct http_client_connection *connection = LIST_FIRST(&client->idle);
    while (connection != NULL && http_client_limited_count(client) >
                                     client->config.connections_max) {
        struct http_client_connection *next = LIST_NEXT(connection, link);
        http_client_connection_close(connection);
        connection = next;
    }
    http_client_assign_connections(client);
}

static bool
any_open_since(const struct http_client_connection_list *list,
               int64_t since_us)
{
    const struct http_client_connection *connection;
    LIST_FOREACH (connection, list, link) {
        if (connection->answered && connection->connected_us <= since_us &&
            http_client_connection_is_open(connection)) {
            return true;
        }
    }
    return false;
}

bool
http_client_has_open_since(const struct http_client *client, int64_t since_us)
{
    return any_open_since(&client->unused, since_us) ||
           any_open_since(&client->busy, since_us) ||
           any_open_since(&client->idle, since_us);
}

size_t
http_client_body_bytes(const struct http_client *client)
{
    return client->body_bytes;
}

unsigned
http_client_connections(const struct http_client *client)
{
    return client->connection_count;
}
