#include "protocol/rpc_internal.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/procedures.h"

#define REJECTION_MAX_BYTES 64

static void
request_send_message(struct rpc_node *node, struct rpc_connection *connection,
                     const struct address *peer, void *message, size_t size)
{
    if (connection == NULL) {
        rpc_datagram_send(node, peer, message, size);
        return;
    }
    const uint32_t mark = htonl(RPC_LAST_FRAGMENT | (uint32_t)size);
    struct evbuffer *output = bufferevent_get_output(connection->bev);
    evbuffer_add(output, &mark, sizeof(mark));
    evbuffer_add(output, message, size);
    rpc_connection_record_output(connection, RPC_RECORD_MARK_SIZE + size);
}

static void
request_refuse(struct rpc_node *node, struct rpc_connection *connection,
               const struct address *peer, uint32_t xid,
               enum rpc_message_status status)
{
    unsigned char message[REJECTION_MAX_BYTES];
    const size_t size =
        rpc_error_reply_encode(message, sizeof(message), xid, status);
    if (size > 0) {
        request_send_message(node, connection, peer, message, size);
    }
}

static void
request_count_rejection(const struct rpc_counters *counters,
                        enum rpc_message_status status)
{
    if (status == RPC_MESSAGE_PROCEDURE_UNAVAILABLE) {
        counters->unknown_procedures->value++;
    }
    else if (status == RPC_MESSAGE_GARBAGE_ARGUMENTS) {
        counters->garbage_messages->value++;
    }
    else {
        counters->version_mismatches->value++;
    }
}

/** The earlier call that a message of the peer is about, or NULL. */
static struct rpc_request *
request_find(struct rpc_connection *connection, XDR *xdr)
{
    uint32_t xid;
    if (connection == NULL || !xdr_uint32_t(xdr, &xid)) {
        return NULL;
    }
    return (struct rpc_request *)xid_table_find(&connection->requests, xid);
}

static void
request_receive_cancel(struct rpc_connection *connection, XDR *xdr)
{
    struct rpc_request *request = request_find(connection, xdr);
    if (request != NULL) {
        rpc_request_cancel(request);
    }
}

static void
request_receive_withdrawal(struct rpc_connection *connection, XDR *xdr)
{
    struct rpc_request *request = request_find(connection, xdr);
    if (request != NULL && request->procedure->withdrawn != NULL) {
        request->procedure->withdrawn(request->procedure->ctx, request);
    }
}

static enum rpc_message_status
request_check(const struct rpc_node *node,
              const struct rpc_connection *connection,
              const struct rpc_header *header)
{
    if (header->status != RPC_MESSAGE_OK) {
        return header->status;
    }
    const enum rpc_channel channel = connection != NULL ? RPC_TCP : RPC_UDP;
    if (header->procedure >= RPC_PROCEDURES_MAX ||
        !node->served[header->procedure] ||
        node->procedures[header->procedure].channel != channel) {
        return RPC_MESSAGE_PROCEDURE_UNAVAILABLE;
    }
    return RPC_MESSAGE_OK;
}

static struct rpc_request *
request_create(struct rpc_node *node, struct rpc_connection *connection,
               const struct address *peer, uint32_t xid)
{
    struct rpc_request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        abort();
    }
    request->node = node;
    request->connection = connection;
    request->peer = *peer;
    request->entry.xid = xid;
    if (connection != NULL) {
        xid_table_insert(&connection->requests, &request->entry, xid);
    }
    LIST_INSERT_HEAD(&node->requests, request, link);
    return request;
}

void
rpc_request_receive(struct rpc_node *node, struct rpc_connection *connection,
                    const struct address *peer,
                    const struct rpc_header *header, XDR *xdr, size_t size)
{
    node->counters.requests->value++;
    enum rpc_message_status status = header->status;
    if (status == RPC_MESSAGE_OK && header->procedure == PROCEDURE_CANCEL) {
        request_receive_cancel(connection, xdr);
        return;
    }
    if (status == RPC_MESSAGE_OK && header->procedure == PROCEDURE_WITHDRAW) {
        request_receive_withdrawal(connection, xdr);
        return;
    }
    status = request_check(node, connection, header);
    void *args = NULL;
    if (status == RPC_MESSAGE_OK) {
        const struct rpc_procedure *procedure =
            &node->procedures[header->procedure];
        args = rpc_body_decode(xdr, size, procedure->decode_args,
                               procedure->args_size);
        status = args != NULL ? RPC_MESSAGE_OK : RPC_MESSAGE_GARBAGE_ARGUMENTS;
    }
    if (status != RPC_MESSAGE_OK) {
        request_count_rejection(&node->counters, status);
        request_refuse(node, connection, peer, header->xid, status);
        return;
    }
    struct rpc_request *request =
        request_create(node, connection, peer, header->xid);
    request->procedure = &node->procedures[header->procedure];
    request->args = args;
    request->size = size;
    if (connection != NULL) {
        rpc_connection_add_pending(connection, size);
    }
    request->procedure->handle(request->procedure->ctx, request, args);
}

/** Detaches the request from its connection: no reply can be sent. */
static void
request_detach(struct rpc_request *request)
{
    if (request->connection != NULL) {
        xid_table_remove(&request->connection->requests, &request->entry);
        rpc_connection_remove_pending(request->connection, request->size);
        request->connection = NULL;
    }
}

void
rpc_request_free(struct rpc_request *request)
{
    request_detach(request);
    LIST_REMOVE(request, link);
    rpc_body_free(request->args, request->procedure->decode_args);
    free(request);
}

void
rpc_request_cancel(struct rpc_request *request)
{
    request->node->counters.requests_cancelled->value++;
    request_detach(request);
    if (request->procedure->cancelled != NULL) {
        request->procedure->cancelled(request->procedure->ctx, request);
    }
}

void
rpc_request_drop(struct rpc_request *request)
{
    rpc_request_free(request);
}

static bool
reply_on_stream(struct rpc_request *request, size_t size, const void *result)
{
    struct rpc_connection *connection = request->connection;
    struct evbuffer *output = bufferevent_get_output(connection->bev);
    struct evbuffer_iovec space;
    const size_t record_size = RPC_RECORD_MARK_SIZE + size;
    if (size > RPC_RECORD_MAX_BYTES ||
        evbuffer_reserve_space(output, (ev_ssize_t)record_size, &space, 1) <
            1) {
        return false;
    }
    const uint32_t mark = htonl(RPC_LAST_FRAGMENT | (uint32_t)size);
    unsigned char *bytes = space.iov_base;
    memcpy(bytes, &mark, sizeof(mark));
    if (!rpc_reply_encode(bytes + RPC_RECORD_MARK_SIZE, size,
                          request->entry.xid,
                          request->procedure->encode_result, result)) {
        return false;
    }
    space.iov_len = record_size;
    evbuffer_commit_space(output, &space, 1);
    rpc_connection_record_output(connection, record_size);
    return true;
}

static bool
reply_by_datagram(struct rpc_request *request, size_t size, const void *result)
{
    _Alignas(8) unsigned char message[RPC_DATAGRAM_MAX_BYTES];
    if (size > sizeof(message) ||
        !rpc_reply_encode(message, size, request->entry.xid,
                          request->procedure->encode_result, result)) {
        return false;
    }
    rpc_datagram_send(request->node, &request->peer, message, size);
    return true;
}

void
rpc_request_reply(struct rpc_request *request, const void *result)
{
    const bool datagram = request->procedure->channel == RPC_UDP;
    if (datagram || request->connection != NULL) {
        const size_t size =
            rpc_reply_size(request->procedure->encode_result, result);
        const bool sent = datagram ? reply_by_datagram(request, size, result)
                                   : reply_on_stream(request, size, result);
        if (!sent) {
            request->node->counters.oversize_messages->value++;
            request_refuse(request->node, request->connection, &request->peer,
                           request->entry.xid, RPC_MESSAGE_SYSTEM_ERROR);
        }
    }
    rpc_request_free(request);
}

const struct address *
rpc_request_peer(const struct rpc_request *request)
{
    return &request->peer;
}

void
rpc_request_set_data(struct rpc_request *request, void *data)
{
    request->data = data;
}

void *
rpc_request_data(const struct rpc_request *request)
{
    return request->data;
}
