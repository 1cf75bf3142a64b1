#include "protocol/rpcmessage.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/rpc.h"

/** Space for the credential and verifier of a decoded message. */
struct auth_buffers {
    char credential[MAX_AUTH_BYTES];
    char verifier[MAX_AUTH_BYTES];
};

/** Leaves out the result, which is coded separately. */
static bool_t
xdr_no_result(XDR *xdr, ...)
{
    (void)xdr;
    return TRUE;
}

static bool
body_encode(XDR *xdr, xdrproc_t encode, const void *body)
{
    return encode == NULL || encode(xdr, (void *)body);
}

static size_t
body_size(xdrproc_t encode, const void *body, size_t header_size)
{
    return encode == NULL ? header_size
                          : header_size + xdr_sizeof(encode, (void *)body);
}

size_t
rpc_call_size(xdrproc_t encode, const void *args)
{
    return body_size(encode, args, RPC_CALL_HEADER_SIZE);
}

bool
rpc_call_encode(void *buffer, size_t size, uint32_t xid, uint32_t procedure,
                xdrproc_t encode, const void *args)
{
    struct rpc_msg message = {.rm_xid = xid, .rm_direction = CALL};
    message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    message.rm_call.cb_prog = RPC_PROGRAM;
    message.rm_call.cb_vers = RPC_VERSION;
    message.rm_call.cb_proc = procedure;
    XDR xdr;
    xdrmem_create(&xdr, buffer, (u_int)size, XDR_ENCODE);
    return xdr_callmsg(&xdr, &message) && body_encode(&xdr, encode, args) &&
           XDR_GETPOS(&xdr) == size;
}

size_t
rpc_reply_size(xdrproc_t encode, const void *result)
{
    return body_size(encode, result, RPC_REPLY_HEADER_SIZE);
}

bool
rpc_reply_encode(void *buffer, size_t size, uint32_t xid, xdrproc_t encode,
                 const void *result)
{
    struct rpc_msg message = {.rm_xid = xid, .rm_direction = REPLY};
    message.rm_reply.rp_stat = MSG_ACCEPTED;
    message.acpted_rply.ar_stat = SUCCESS;
    message.acpted_rply.ar_results.proc = xdr_no_result;
    XDR xdr;
    xdrmem_create(&xdr, buffer, (u_int)size, XDR_ENCODE);
    return xdr_replymsg(&xdr, &message) && body_encode(&xdr, encode, result) &&
           XDR_GETPOS(&xdr) == size;
}

static const enum accept_stat accept_stats[RPC_MESSAGE_STATUS_COUNT] = {
    [RPC_MESSAGE_OK] = SUCCESS,
    [RPC_MESSAGE_PROGRAM_UNAVAILABLE] = PROG_UNAVAIL,
    [RPC_MESSAGE_VERSION_MISMATCH] = PROG_MISMATCH,
    [RPC_MESSAGE_PROCEDURE_UNAVAILABLE] = PROC_UNAVAIL,
    [RPC_MESSAGE_GARBAGE_ARGUMENTS] = GARBAGE_ARGS,
    [RPC_MESSAGE_SYSTEM_ERROR] = SYSTEM_ERR,
};

size_t
rpc_error_reply_encode(void *buffer, size_t size, uint32_t xid,
                       enum rpc_message_status status)
{
    struct rpc_msg message = {.rm_xid = xid, .rm_direction = REPLY};
    if (status == RPC_MESSAGE_GARBAGE) {
        return 0;
    }
    if (status == RPC_MESSAGE_RPC_MISMATCH) {
        message.rm_reply.rp_stat = MSG_DENIED;
        message.rjcted_rply.rj_stat = RPC_MISMATCH;
        message.rjcted_rply.rj_vers.low = RPC_MSG_VERSION;
        message.rjcted_rply.rj_vers.high = RPC_MSG_VERSION;
    }
    else {
        message.rm_reply.rp_stat = MSG_ACCEPTED;
        message.acpted_rply.ar_stat = accept_stats[status];
        if (status == RPC_MESSAGE_VERSION_MISMATCH) {
            message.acpted_rply.ar_vers.low = RPC_VERSION;
            message.acpted_rply.ar_vers.high = RPC_VERSION;
        }
    }
    XDR xdr;
    xdrmem_create(&xdr, buffer, (u_int)size, XDR_ENCODE);
    return xdr_replymsg(&xdr, &message) ? XDR_GETPOS(&xdr) : 0;
}

static enum rpc_message_status
call_status(const struct call_body *call)
{
    if (call->cb_prog != RPC_PROGRAM) {
        return RPC_MESSAGE_PROGRAM_UNAVAILABLE;
    }
    return call->cb_vers == RPC_VERSION ? RPC_MESSAGE_OK
                                        : RPC_MESSAGE_VERSION_MISMATCH;
}

static enum rpc_message_status
reply_status(const struct reply_body *reply)
{
    if (reply->rp_stat == MSG_DENIED) {
        return RPC_MESSAGE_RPC_MISMATCH;
    }
    switch (reply->rp_acpt.ar_stat) {
    case SUCCESS:
        return RPC_MESSAGE_OK;
    case PROG_UNAVAIL:
        return RPC_MESSAGE_PROGRAM_UNAVAILABLE;
    case PROG_MISMATCH:
        return RPC_MESSAGE_VERSION_MISMATCH;
    case PROC_UNAVAIL:
        return RPC_MESSAGE_PROCEDURE_UNAVAILABLE;
    case GARBAGE_ARGS:
        return RPC_MESSAGE_GARBAGE_ARGUMENTS;
    case SYSTEM_ERR:
    default:
        return RPC_MESSAGE_SYSTEM_ERROR;
    }
}

/** Reads xid, direction and RPC version without consuming them. */
static bool
header_peek(XDR *xdr, struct rpc_header *header, uint32_t *rpc_version)
{
    const u_int start = XDR_GETPOS(xdr);
    uint32_t direction = 0;
    if (!xdr_uint32_t(xdr, &header->xid) || !xdr_uint32_t(xdr, &direction) ||
        !xdr_uint32_t(xdr, rpc_version)) {
        return false;
    }
    header->is_call = direction == CALL;
    return (direction == CALL || direction == REPLY) && XDR_SETPOS(xdr, start);
}

struct rpc_header
rpc_header_decode(XDR *xdr)
{
    struct rpc_header header = {.status = RPC_MESSAGE_GARBAGE};
    uint32_t rpc_version = 0;
    if (!header_peek(xdr, &header, &rpc_version)) {
        return header;
    }
    struct auth_buffers buffers;
    struct rpc_msg message = {0};
    if (!header.is_call) {
        message.acpted_rply.ar_verf.oa_base = buffers.verifier;
        message.acpted_rply.ar_results.proc = xdr_no_result;
        if (xdr_replymsg(xdr, &message)) {
            header.status = reply_status(&message.rm_reply);
        }
        return header;
    }
    if (rpc_version != RPC_MSG_VERSION) {
        header.status = RPC_MESSAGE_RPC_MISMATCH;
        return header;
    }
    message.rm_call.cb_cred.oa_base = buffers.credential;
    message.rm_call.cb_verf.oa_base = buffers.verifier;
    if (xdr_callmsg(xdr, &message)) {
        header.procedure = message.rm_call.cb_proc;
        header.status = call_status(&message.rm_call);
    }
    return header;
}

void *
rpc_body_decode(XDR *xdr, size_t message_size, xdrproc_t decode,
                size_t body_size)
{
    void *body = calloc(1, body_size > 0 ? body_size : 1);
    if (body == NULL) {
        return NULL;
    }
    const bool decoded = decode == NULL || decode(xdr, body);
    if (decoded && XDR_GETPOS(xdr) == message_size) {
        return body;
    }
    rpc_body_free(body, decode);
    return NULL;
}

void
rpc_body_free(void *body, xdrproc_t decode)
{
    if (body == NULL) {
        return;
    }
    if (decode != NULL) {
        xdr_free(decode, body);
    }
    free(body);
}
