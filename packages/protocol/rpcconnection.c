#include "protocol/rpc_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/hash.h"
#include "base/keepalive.h"

static size_t
peer_bucket(const struct address *peer)
{
    const uint16_t port = address_port(peer);
    if (peer->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)&peer->storage;
        return hash_bytes(&in6->sin6_addr, sizeof(in6->sin6_addr), port) %
               RPC_PEER_BUCKETS;
    }
    const struct sockaddr_in *in = (const void *)&peer->storage;
    return hash_bytes(&in->sin_addr, sizeof(in->sin_addr), port) %
           RPC_PEER_BUCKETS;
}

size_t
rpc_connection_backlog_bytes(const struct rpc_connection *connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection->bev));
}

uint64_t
rpc_connection_written_bytes(const struct rpc_connection *connection)
{
    return connection->appended_bytes -
           rpc_connection_backlog_bytes(connection);
}

static bool
connection_is_paused(const struct rpc_connection *connection)
{
    return connection->output_full || connection->pending_limit_reached;
}

void
rpc_connection_record_output(struct rpc_connection *connection, size_t size)
{
    connection->appended_bytes += size;
    connection->node->counters.bytes_sent->value += (int64_t)size;
    connection->last_used_us = runtime_now_us(connection->node->runtime);
    if (!connection->outgoing && !connection->output_full &&
        rpc_connection_backlog_bytes(connection) > RPC_OUTPUT_HIGH_BYTES) {
        connection->output_full = true;
        connection->node->counters.slow_readers->value++;
        bufferevent_disable(connection->bev, EV_READ);
        bufferevent_setwatermark(connection->bev, EV_WRITE,
                                 RPC_OUTPUT_LOW_BYTES, 0);
    }
}

void
rpc_connection_add_pending(struct rpc_connection *connection, size_t size)
{
    connection->pending_bytes += size;
    if (connection->pending_bytes > RPC_PENDING_HIGH_BYTES &&
        !connection->pending_limit_reached) {
        connection->pending_limit_reached = true;
        connection->node->counters.held_back->value++;
        bufferevent_disable(connection->bev, EV_READ);
    }
}

/** Resumes reading unless paused, and handles input already buffered. */
static void
connection_resume(struct rpc_connection *connection)
{
    if (!connection_is_paused(connection)) {
        bufferevent_enable(connection->bev, EV_READ);
        bufferevent_trigger(connection->bev, EV_READ,
                            BEV_TRIG_IGNORE_WATERMARKS |
                                BEV_TRIG_DEFER_CALLBACKS);
    }
}

void
rpc_connection_remove_pending(struct rpc_connection *connection, size_t size)
{
    connection->pending_bytes -= size;
    if (connection->pending_limit_reached &&
        connection->pending_bytes < RPC_PENDING_HIGH_BYTES / 2) {
        connection->pending_limit_reached = false;
        connection_resume(connection);
    }
}

/** State of the next fragment in the input. */
enum fragment_state {
    FRAGMENT_LAST,
    FRAGMENT_NOT_LAST,
    FRAGMENT_INCOMPLETE,
    FRAGMENT_OVERSIZE,
};

static enum fragment_state
read_fragment_header(struct rpc_connection *connection, size_t *size)
{
    struct evbuffer *input = bufferevent_get_input(connection->bev);
    uint32_t mark;
    if (evbuffer_copyout(input, &mark, sizeof(mark)) < RPC_RECORD_MARK_SIZE) {
        bufferevent_setwatermark(connection->bev, EV_READ,
                                 RPC_RECORD_MARK_SIZE, 0);
        return FRAGMENT_INCOMPLETE;
    }
    mark = ntohl(mark);
    *size = mark & ~RPC_LAST_FRAGMENT;
    if (*size + evbuffer_get_length(connection->fragments) >
        RPC_RECORD_MAX_BYTES) {
        return FRAGMENT_OVERSIZE;
    }
    const size_t fragment_size = RPC_RECORD_MARK_SIZE + *size;
    if (evbuffer_get_length(input) < fragment_size) {
        bufferevent_setwatermark(connection->bev, EV_READ, fragment_size, 0);
        return FRAGMENT_INCOMPLETE;
    }
    evbuffer_drain(input, RPC_RECORD_MARK_SIZE);
    return (mark & RPC_LAST_FRAGMENT) != 0 ? FRAGMENT_LAST : FRAGMENT_NOT_LAST;
}

/** Handles a record whose last fragment is in the input. */
static bool
connection_handle_record(struct rpc_connection *connection, size_t size)
{
    struct evbuffer *source = bufferevent_get_input(connection->bev);
    if (evbuffer_get_length(connection->fragments) > 0) {
        evbuffer_remove_buffer(source, connection->fragments, size);
        source = connection->fragments;
        size = evbuffer_get_length(source);
    }
    unsigned char *data = evbuffer_pullup(source, (ev_ssize_t)size);
    if (data == NULL) {
        return false;
    }
    if (!rpc_node_receive(connection->node, connection, &connection->peer,
                          data, size)) {
        return false;
    }
    evbuffer_drain(source, size);
    return true;
}

static void
connection_on_read(struct bufferevent *bev, void *ctx)
{
    struct rpc_connection *connection = ctx;
    struct rpc_node *node = connection->node;
    connection->last_used_us = runtime_now_us(node->runtime);
    while (!connection_is_paused(connection)) {
        size_t size;
        switch (read_fragment_header(connection, &size)) {
        case FRAGMENT_INCOMPLETE:
            return;
        case FRAGMENT_OVERSIZE:
            node->counters.oversize_messages->value++;
            rpc_connection_close(connection, RPC_CLOSED);
            return;
        case FRAGMENT_NOT_LAST:
            evbuffer_remove_buffer(bufferevent_get_input(bev),
                                   connection->fragments, size);
            break;
        case FRAGMENT_LAST:
            if (!connection_handle_record(connection, size)) {
                rpc_connection_close(connection, RPC_CLOSED);
                return;
            }
            break;
        }
    }
}

static void
connection_on_write(struct bufferevent *bev, void *ctx)
{
    struct rpc_connection *connection = ctx;
    if (connection->output_full) {
        connection->output_full = false;
        bufferevent_setwatermark(bev, EV_WRITE, 0, 0);
        connection_resume(connection);
    }
}

static const struct keepalive peer_keepalive = {
    .user_timeout_ms = 1500,
    .probe_interval_s = 1,
    .probes = 2,
};

static void
connection_on_event(struct bufferevent *bev, short what, void *ctx)
{
    struct rpc_connection *connection = ctx;
    const int error = EVUTIL_SOCKET_ERROR();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->connected = true;
        timer_stop(&connection->connect_timer);
        keepalive_set(bufferevent_getfd(bev), &peer_keepalive);
        rpc_call_flush(connection);
        return;
    }
    if (evbuffer_get_length(bufferevent_get_input(bev)) > 0 ||
        evbuffer_get_length(connection->fragments) > 0) {
        connection->node->counters.cut_messages->value++;
    }
    const bool refused = !connection->connected && error == ECONNREFUSED;
    rpc_connection_close(connection,
                         refused ? RPC_REFUSED_BY_HOST : RPC_CLOSED);
}

static void
connection_on_connect_timeout(void *ctx)
{
    rpc_connection_close(ctx, RPC_CLOSED);
}

static struct rpc_connection *
connection_create(struct rpc_node *node, evutil_socket_t fd,
                  const struct address *peer)
{
    struct rpc_connection *connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        return NULL;
    }
    connection->node = node;
    connection->peer = *peer;
    connection->last_used_us = runtime_now_us(node->runtime);
    TAILQ_INIT(&connection->waiting);
    TAILQ_INIT(&connection->sent);
    timer_init(&connection->connect_timer, node->runtime,
               connection_on_connect_timeout, connection);
    connection->fragments = evbuffer_new();
    connection->bev = bufferevent_socket_new(runtime_event_base(node->runtime),
                                             fd, BEV_OPT_CLOSE_ON_FREE);
    if (connection->fragments == NULL || connection->bev == NULL) {
        if (connection->fragments != NULL) {
            evbuffer_free(connection->fragments);
        }
        free(connection);
        return NULL;
    }
    bufferevent_set_max_single_read(connection->bev, RPC_IO_MAX_BYTES);
    bufferevent_set_max_single_write(connection->bev, RPC_IO_MAX_BYTES);
    return connection;
}

static void
connection_enable(struct rpc_connection *connection)
{
    bufferevent_setcb(connection->bev, connection_on_read, connection_on_write,
                      connection_on_event, connection);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
}

void
rpc_connection_accept(struct rpc_node *node, evutil_socket_t fd,
                      const struct address *peer)
{
    keepalive_set(fd, &peer_keepalive);
    struct rpc_connection *connection =
        node->accepted_count < RPC_ACCEPTED_CONNECTIONS_MAX
            ? connection_create(node, fd, peer)
            : NULL;
    if (connection == NULL) {
        node->counters.accept_errors->value++;
        close(fd);
        return;
    }
    node->accepted_count++;
    node->counters.accepts->value++;
    connection->connected = true;
    LIST_INSERT_HEAD(&node->accepted, connection, link);
    connection_enable(connection);
}

struct rpc_connection *
rpc_connection_get(struct rpc_node *node, const struct address *peer,
                   bool bulk)
{
    struct rpc_connection_list *bucket = &node->outgoing[peer_bucket(peer)];
    struct rpc_connection *connection;
    LIST_FOREACH (connection, bucket, link) {
        if (connection->bulk == bulk &&
            address_equal(&connection->peer, peer)) {
            return connection;
        }
    }
    connection = connection_create(node, -1, peer);
    if (connection == NULL) {
        return NULL;
    }
    connection->outgoing = true;
    connection->bulk = bulk;
    LIST_INSERT_HEAD(bucket, connection, link);
    node->counters.connects->value++;
    if (bufferevent_socket_connect(connection->bev,
                                   (const struct sockaddr *)&peer->storage,
                                   (int)peer->length) < 0) {
        rpc_connection_free(connection);
        return NULL;
    }
    /* Only now: an immediate failure would run callbacks within connect. */
    connection_enable(connection);
    timer_start(&connection->connect_timer, RPC_CONNECT_TIMEOUT_US);
    return connection;
}

void
rpc_connection_free(struct rpc_connection *connection)
{
    timer_stop(&connection->connect_timer);
    LIST_REMOVE(connection, link);
    if (!connection->outgoing) {
        connection->node->accepted_count--;
    }
    bufferevent_free(connection->bev);
    evbuffer_free(connection->fragments);
    xid_table_clear(&connection->requests);
    free(connection);
}

static void
end_calls(struct rpc_call_queue *queue, uint64_t written,
          enum rpc_status status)
{
    struct rpc_call *call;
    while ((call = TAILQ_FIRST(queue)) != NULL) {
        /* The peer drops a message whose end doesn't arrive. */
        const bool unsent = call->unsent != NULL || call->end_offset > written;
        call->connection = NULL;
        rpc_call_end(call,
                     unsent && status == RPC_CLOSED ? RPC_NOT_SENT : status,
                     NULL);
    }
}

void
rpc_connection_close(struct rpc_connection *connection, enum rpc_status status)
{
    /* Callbacks below may open a new connection to this peer, so remove this
     * one from the list first. */
    struct rpc_connection_list closing = LIST_HEAD_INITIALIZER(closing);
    LIST_REMOVE(connection, link);
    LIST_INSERT_HEAD(&closing, connection, link);
    connection->output_full = true; /* for good: stops reading */
    bufferevent_disable(connection->bev, EV_READ | EV_WRITE);
    const uint64_t written = rpc_connection_written_bytes(connection);
    end_calls(&connection->waiting, 0, status);
    end_calls(&connection->sent, written, status);
    struct xid_entry *entry;
    while ((entry = xid_table_first(&connection->requests)) != NULL) {
        rpc_request_cancel((struct rpc_request *)entry);
    }
    rpc_connection_free(connection);
}
