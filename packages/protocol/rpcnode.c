#include "protocol/rpc_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/random.h"

#define BIND_ATTEMPTS 16 /* to find a port free for both UDP and TCP */
#define LISTEN_BACKLOG 1024

bool
rpc_node_receive(struct rpc_node *node, struct rpc_connection *connection,
                 const struct address *peer, void *data, size_t size)
{
    XDR xdr;
    xdrmem_create(&xdr, data, (u_int)size, XDR_DECODE);
    node->counters.bytes_received->value += (int64_t)size;
    const struct rpc_header header = rpc_header_decode(&xdr);
    if (header.status == RPC_MESSAGE_GARBAGE) {
        node->counters.garbage_messages->value++;
        return false;
    }
    if (header.is_call) {
        rpc_request_receive(node, connection, peer, &header, &xdr, size);
    }
    else {
        rpc_call_receive(node, connection, peer, &header, &xdr, size);
    }
    return true;
}

static void
node_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *peer, int peer_size, void *ctx)
{
    struct address address = {.length = (socklen_t)peer_size};
    (void)listener;
    memcpy(&address.storage, peer, (size_t)peer_size);
    rpc_connection_accept(ctx, fd, &address);
}

/** Pauses accepting until the next idle check, e.g. when out of file
 * descriptors. */
static void
node_on_accept_error(struct evconnlistener *listener, void *ctx)
{
    struct rpc_node *node = ctx;
    node->counters.accept_errors->value++;
    evconnlistener_disable(listener);
}

static bool
connection_is_idle(const struct rpc_connection *connection, int64_t now_us)
{
    const int64_t limit_us = connection->outgoing
                                 ? RPC_IDLE_TIMEOUT_OUTGOING_US
                                 : RPC_IDLE_TIMEOUT_ACCEPTED_US;
    return TAILQ_EMPTY(&connection->waiting) &&
           TAILQ_EMPTY(&connection->sent) && connection->requests.count == 0 &&
           rpc_connection_backlog_bytes(connection) == 0 &&
           now_us - connection->last_used_us >= limit_us;
}

static void
close_idle_connections(struct rpc_node *node, struct rpc_connection_list *list)
{
    const int64_t now_us = runtime_now_us(node->runtime);
    struct rpc_connection *connection = LIST_FIRST(list);
    while (connection != NULL) {
        struct rpc_connection *next = LIST_NEXT(connection, link);
        if (connection_is_idle(connection, now_us)) {
            node->counters.idle_closed->value++;
            rpc_connection_free(connection);
        }
        connection = next;
    }
}

static void
node_on_idle_check(void *ctx)
{
    struct rpc_node *node = ctx;
    for (size_t i = 0; i < RPC_PEER_BUCKETS; i++) {
        close_idle_connections(node, &node->outgoing[i]);
    }
    close_idle_connections(node, &node->accepted);
    evconnlistener_enable(node->listener);
    timer_start(&node->idle_check_timer, RPC_IDLE_CHECK_INTERVAL_US);
}

static bool
node_listen(struct rpc_node *node, struct error *err)
{
    struct sockaddr *bound = (struct sockaddr *)&node->address.storage;
    node->listener = evconnlistener_new_bind(
        runtime_event_base(node->runtime), node_on_accept, node,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, LISTEN_BACKLOG, bound,
        (int)node->address.length);
    char text[ADDRESS_TEXT_SIZE];
    if (node->listener == NULL) {
        return error_set_system(err, "listen on %s",
                                address_format(&node->address, text));
    }
    evconnlistener_set_error_cb(node->listener, node_on_accept_error);
    socklen_t size = sizeof(node->address.storage);
    if (getsockname(evconnlistener_get_fd(node->listener), bound, &size) < 0) {
        return error_set_system(err, "getsockname");
    }
    node->address.length = size;
    return true;
}

/** Opens the TCP and UDP sockets on the same port. */
static bool
node_open(struct rpc_node *node, const struct address *address,
          struct error *err)
{
    const int attempts = address_port(address) == 0 ? BIND_ATTEMPTS : 1;
    for (int i = 0; i < attempts; i++) {
        node->address = *address;
        if (!node_listen(node, err)) {
            return false;
        }
        if (rpc_datagram_open(node, err)) {
            return true;
        }
        evconnlistener_free(node->listener);
        node->listener = NULL;
    }
    return false;
}

static void
node_add_counters(struct rpc_node *node, struct counter_registry *registry)
{
#define RPC_COUNTER_ADD(field, help)                                          \
    node->counters.field = counter_add(registry, "rpc_" #field, help);
    RPC_COUNTERS(RPC_COUNTER_ADD)
#undef RPC_COUNTER_ADD
}

struct rpc_node *
rpc_node_create(struct runtime *runtime, const struct address *address,
                struct counter_registry *counters, struct error *err)
{
    struct rpc_node *node = calloc(1, sizeof(*node));
    if (node == NULL) {
        error_set(err, ERROR_NO_MEMORY, "RPC node");
        return NULL;
    }
    node->runtime = runtime;
    node->next_xid = (uint32_t)random_entropy();
    TAILQ_INIT(&node->datagram_calls);
    TAILQ_INIT(&node->failed);
    timer_init(&node->idle_check_timer, runtime, node_on_idle_check, node);
    node_add_counters(node, counters);
    node->failed_event =
        evtimer_new(runtime_event_base(runtime), rpc_call_on_failed, node);
    if (node->failed_event == NULL) {
        error_set(err, ERROR_EVENT_LOOP, "RPC node");
        rpc_node_destroy(node);
        return NULL;
    }
    if (!node_open(node, address, err)) {
        rpc_node_destroy(node);
        return NULL;
    }
    timer_start(&node->idle_check_timer, RPC_IDLE_CHECK_INTERVAL_US);
    return node;
}

static void
free_connections(struct rpc_connection_list *list)
{
    struct rpc_connection *connection;
    while ((connection = LIST_FIRST(list)) != NULL) {
        rpc_connection_free(connection);
    }
}

void
rpc_node_destroy(struct rpc_node *node)
{
    if (node == NULL) {
        return;
    }
    timer_stop(&node->idle_check_timer);
    struct xid_entry *entry;
    while ((entry = xid_table_first(&node->calls)) != NULL) {
        rpc_call_free((struct rpc_call *)entry);
    }
    struct rpc_request *request;
    while ((request = LIST_FIRST(&node->requests)) != NULL) {
        rpc_request_free(request);
    }
    free_connections(&node->accepted);
    for (size_t i = 0; i < RPC_PEER_BUCKETS; i++) {
        free_connections(&node->outgoing[i]);
    }
    xid_table_clear(&node->calls);
    if (node->datagram_event != NULL) {
        close(event_get_fd(node->datagram_event));
        event_free(node->datagram_event);
    }
    if (node->failed_event != NULL) {
        event_free(node->failed_event);
    }
    if (node->listener != NULL) {
        evconnlistener_free(node->listener);
    }
    free(node);
}

void
rpc_node_close_outgoing(struct rpc_node *node)
{
    for (size_t i = 0; i < RPC_PEER_BUCKETS; i++) {
        struct rpc_connection *connection = LIST_FIRST(&node->outgoing[i]);
        while (connection != NULL) {
            /* Callbacks may open connections, which come before this one. */
            struct rpc_connection *next = LIST_NEXT(connection, link);
            rpc_connection_close(connection, RPC_CLOSED);
            connection = next;
        }
    }
}

static bool
connections_are_flushed(const struct rpc_connection_list *list)
{
    const struct rpc_connection *connection;
    LIST_FOREACH (connection, list, link) {
        if (rpc_connection_backlog_bytes(connection) > 0) {
            return false;
        }
    }
    return true;
}

bool
rpc_node_is_flushed(const struct rpc_node *node)
{
    return connections_are_flushed(&node->accepted);
}

const struct address *
rpc_node_address(const struct rpc_node *node)
{
    return &node->address;
}

void
rpc_node_serve(struct rpc_node *node, const struct rpc_procedure *procedure)
{
    if (procedure->number >= RPC_PROCEDURES_MAX) {
        abort();
    }
    node->procedures[procedure->number] = *procedure;
    node->served[procedure->number] = true;
}
