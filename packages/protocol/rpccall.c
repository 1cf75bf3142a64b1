#include "protocol/rpc_internal.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/procedures.h"

static void
call_count(const struct rpc_counters *counters, enum rpc_status status)
{
    struct counter *const by_status[] = {
        [RPC_OK] = counters->calls_ok,
        [RPC_NOT_SENT] = counters->calls_not_sent,
        [RPC_REFUSED_BY_HOST] = counters->calls_refused_by_host,
        [RPC_TIMED_OUT] = counters->calls_timed_out,
        [RPC_CLOSED] = counters->calls_closed,
        [RPC_GARBAGE] = counters->calls_garbage,
        [RPC_REJECTED] = counters->calls_rejected,
    };
    by_status[status]->value++;
}

static void
call_detach(struct rpc_call *call)
{
    timer_stop(&call->timer);
    if (call->queue != NULL) {
        TAILQ_REMOVE(call->queue, call, link);
        call->queue = NULL;
    }
    if (call->unsent != NULL) {
        if (call->connection != NULL) {
            call->connection->waiting_call_bytes -=
                evbuffer_get_length(call->unsent);
        }
        evbuffer_free(call->unsent);
        call->unsent = NULL;
    }
    xid_table_remove(&call->node->calls, &call->entry);
}

void
rpc_call_free(struct rpc_call *call)
{
    call_detach(call);
    free(call);
}

void
rpc_call_end(struct rpc_call *call, enum rpc_status status, const void *result)
{
    call_detach(call);
    call_count(&call->node->counters, status);
    call->done(call->ctx, status, result);
    free(call);
}

static void
call_enqueue(struct rpc_call *call, struct rpc_call_queue *queue)
{
    call->queue = queue;
    TAILQ_INSERT_TAIL(queue, call, link);
}

/** Ends the call in the next iteration of the event loop. */
static void
call_fail_later(struct rpc_call *call, enum rpc_status status)
{
    call->failed_status = status;
    call_enqueue(call, &call->node->failed);
    event_active(call->node->failed_event, EV_TIMEOUT, 1);
}

void
rpc_call_on_failed(evutil_socket_t fd, short what, void *ctx)
{
    struct rpc_node *node = ctx;
    (void)fd;
    (void)what;
    /* Calls that fail during these callbacks wait for the next iteration. */
    struct rpc_call *last = TAILQ_LAST(&node->failed, rpc_call_queue);
    struct rpc_call *call;
    while ((call = TAILQ_FIRST(&node->failed)) != NULL) {
        const bool is_last = call == last;
        TAILQ_REMOVE(&node->failed, call, link);
        call->queue = NULL;
        rpc_call_end(call, call->failed_status, NULL);
        if (is_last) {
            break;
        }
    }
    if (!TAILQ_EMPTY(&node->failed)) {
        event_active(node->failed_event, EV_TIMEOUT, 1);
    }
}

/** Sends the peer a procedure whose argument is the earlier call. */
static void
call_send_about(const struct rpc_call *call, uint32_t procedure)
{
    struct rpc_connection *connection = call->connection;
    if (connection == NULL || call->unsent != NULL) {
        return;
    }
    struct {
        uint32_t mark;
        unsigned char message[RPC_CALL_HEADER_SIZE + sizeof(uint32_t)];
    } record;
    const uint32_t xid = call->entry.xid;
    record.mark = htonl(RPC_LAST_FRAGMENT | sizeof(record.message));
    if (!rpc_call_encode(record.message, sizeof(record.message),
                         call->node->next_xid++, procedure,
                         (xdrproc_t)xdr_uint32_t, &xid)) {
        return;
    }
    evbuffer_add(bufferevent_get_output(connection->bev), &record,
                 sizeof(record));
    rpc_connection_record_output(connection, sizeof(record));
}

/** Tells the peer that the reply is no longer needed. */
static void
call_send_cancel(const struct rpc_call *call)
{
    call_send_about(call, PROCEDURE_CANCEL);
}

void
rpc_call_withdraw(const struct rpc_call *call)
{
    call_send_about(call, PROCEDURE_WITHDRAW);
}

static void
call_on_timeout(void *ctx)
{
    struct rpc_call *call = ctx;
    if (call->unsent != NULL) {
        rpc_call_end(call, RPC_NOT_SENT, NULL);
        return;
    }
    call_send_cancel(call);
    rpc_call_end(call, RPC_TIMED_OUT, NULL);
}

bool
rpc_call_may_be_sent(const struct rpc_call *call)
{
    if (call->queue == &call->node->failed) {
        return call->failed_status != RPC_NOT_SENT &&
               call->failed_status != RPC_REFUSED_BY_HOST;
    }
    return call->unsent == NULL;
}

void
rpc_call_cancel(struct rpc_call *call)
{
    call->node->counters.calls_cancelled->value++;
    call_send_cancel(call);
    rpc_call_free(call);
}

/** Encodes the call as a record at the end of buffer, without a copy. */
static bool
call_encode(const struct rpc_call *call, struct evbuffer *buffer, size_t size,
            const struct rpc_call_spec *spec)
{
    struct evbuffer_iovec space;
    const size_t record_size = RPC_RECORD_MARK_SIZE + size;
    if (evbuffer_reserve_space(buffer, (ev_ssize_t)record_size, &space, 1) <
        1) {
        return false;
    }
    const uint32_t mark = htonl(RPC_LAST_FRAGMENT | (uint32_t)size);
    unsigned char *bytes = space.iov_base;
    memcpy(bytes, &mark, sizeof(mark));
    if (!rpc_call_encode(bytes + RPC_RECORD_MARK_SIZE, size, call->entry.xid,
                         spec->procedure, spec->encode_args, spec->args)) {
        return false;
    }
    space.iov_len = record_size;
    return evbuffer_commit_space(buffer, &space, 1) == 0;
}

static void
call_start_datagram(struct rpc_call *call, const struct rpc_call_spec *spec,
                    size_t size)
{
    _Alignas(8) unsigned char message[RPC_DATAGRAM_MAX_BYTES];
    if (!rpc_call_encode(message, size, call->entry.xid, spec->procedure,
                         spec->encode_args, spec->args) ||
        !rpc_datagram_send(call->node, &call->peer, message, size)) {
        call_fail_later(call, RPC_NOT_SENT);
        return;
    }
    call_enqueue(call, &call->node->datagram_calls);
}

/** Queues the message until the connection is open. */
static bool
call_wait(struct rpc_call *call, struct rpc_connection *connection,
          const struct rpc_call_spec *spec, size_t size)
{
    if (connection->waiting_call_bytes + size > RPC_OUTPUT_MAX_BYTES) {
        return false;
    }
    call->unsent = evbuffer_new();
    if (call->unsent == NULL || !call_encode(call, call->unsent, size, spec)) {
        return false;
    }
    call->connection = connection;
    connection->waiting_call_bytes += evbuffer_get_length(call->unsent);
    call_enqueue(call, &connection->waiting);
    return true;
}

static bool
call_write(struct rpc_call *call, struct rpc_connection *connection,
           const struct rpc_call_spec *spec, size_t size)
{
    if (rpc_connection_backlog_bytes(connection) + size >
        RPC_OUTPUT_MAX_BYTES) {
        call->node->counters.slow_readers->value++;
        return false;
    }
    if (!call_encode(call, bufferevent_get_output(connection->bev), size,
                     spec)) {
        return false;
    }
    call->connection = connection;
    call_enqueue(call, &connection->sent);
    rpc_connection_record_output(connection, RPC_RECORD_MARK_SIZE + size);
    call->end_offset = connection->appended_bytes;
    return true;
}

static void
call_start_stream(struct rpc_call *call, const struct rpc_call_spec *spec,
                  size_t size)
{
    struct rpc_connection *connection =
        rpc_connection_get(call->node, spec->peer, size >= RPC_BULK_MIN_BYTES);
    bool started = false;
    if (connection != NULL) {
        started = connection->connected
                      ? call_write(call, connection, spec, size)
                      : call_wait(call, connection, spec, size);
    }
    if (!started) {
        call_fail_later(call, RPC_NOT_SENT);
    }
}

struct rpc_call *
rpc_call_start(struct rpc_node *node, const struct rpc_call_spec *spec)
{
    struct rpc_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->node = node;
    call->peer = *spec->peer;
    call->decode_result = spec->decode_result;
    call->result_size = spec->result_size;
    call->bytes = spec->bytes;
    call->done = spec->done;
    call->ctx = spec->ctx;
    timer_init(&call->timer, node->runtime, call_on_timeout, call);
    xid_table_insert(&node->calls, &call->entry, node->next_xid++);
    node->counters.calls->value++;

    const size_t size = rpc_call_size(spec->encode_args, spec->args);
    if (call->bytes != NULL) {
        call->bytes->value += (int64_t)(RPC_RECORD_MARK_SIZE + size);
    }
    const size_t size_max = spec->channel == RPC_UDP ? RPC_DATAGRAM_MAX_BYTES
                                                     : RPC_RECORD_MAX_BYTES;
    if (size > size_max) {
        node->counters.oversize_messages->value++;
        call_fail_later(call, RPC_NOT_SENT);
        return call;
    }
    if (spec->channel == RPC_UDP) {
        call_start_datagram(call, spec, size);
    }
    else {
        call_start_stream(call, spec, size);
    }
    if (call->queue != &node->failed) {
        timer_start(&call->timer, spec->timeout_us);
    }
    return call;
}

void
rpc_call_flush(struct rpc_connection *connection)
{
    struct evbuffer *output = bufferevent_get_output(connection->bev);
    struct rpc_call *call;
    while ((call = TAILQ_FIRST(&connection->waiting)) != NULL) {
        TAILQ_REMOVE(&connection->waiting, call, link);
        call_enqueue(call, &connection->sent);
        const size_t size = evbuffer_get_length(call->unsent);
        connection->waiting_call_bytes -= size;
        evbuffer_add_buffer(output, call->unsent);
        evbuffer_free(call->unsent);
        call->unsent = NULL;
        rpc_connection_record_output(connection, size);
        call->end_offset = connection->appended_bytes;
    }
}

static enum rpc_status
call_status(enum rpc_message_status status)
{
    return status == RPC_MESSAGE_SYSTEM_ERROR ? RPC_GARBAGE : RPC_REJECTED;
}

void
rpc_call_receive(struct rpc_node *node,
                 const struct rpc_connection *connection,
                 const struct address *peer, const struct rpc_header *header,
                 XDR *xdr, size_t size)
{
    struct rpc_call *call =
        (struct rpc_call *)xid_table_find(&node->calls, header->xid);
    /* Only the called peer may reply, and on the same connection. */
    if (call == NULL || call->connection != connection ||
        call->queue == &node->failed ||
        (connection == NULL && !address_equal(&call->peer, peer))) {
        node->counters.late_replies->value++;
        return;
    }
    if (call->bytes != NULL) {
        call->bytes->value += (int64_t)(RPC_RECORD_MARK_SIZE + size);
    }
    if (header->status != RPC_MESSAGE_OK) {
        rpc_call_end(call, call_status(header->status), NULL);
        return;
    }
    const xdrproc_t decode = call->decode_result;
    void *result = rpc_body_decode(xdr, size, decode, call->result_size);
    rpc_call_end(call, result != NULL ? RPC_OK : RPC_GARBAGE, result);
    rpc_body_free(result, decode);
}
