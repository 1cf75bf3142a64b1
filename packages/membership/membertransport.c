#include "membership/membertransport.h"

#include "membership/membertask.h"

/* A cast through another type, since xdr_void() has no parameters. */
#define XDR_NOTHING ((xdrproc_t)(void (*)(void))xdr_void)

static void *
call_rpc(void *impl, const struct member_call_spec *spec)
{
    struct rpc_call_spec call = {
        .peer = spec->peer,
        .channel = spec->procedure == PROCEDURE_NULL ? RPC_TCP : RPC_UDP,
        .procedure = spec->procedure,
        .encode_args = XDR_NOTHING,
        .args = spec->args,
        .decode_result = XDR_NOTHING,
        .timeout_us = spec->timeout_us,
        .done = spec->done,
        .ctx = spec->ctx,
    };
    if (spec->procedure == PROCEDURE_RENEW) {
        call.encode_args = (xdrproc_t)xdr_lease_renew_args;
        call.decode_result = (xdrproc_t)xdr_lease_renew_result;
        call.result_size = sizeof(struct lease_renew_result);
    }
    else if (spec->procedure == PROCEDURE_CERTIFY) {
        call.encode_args = (xdrproc_t)xdr_lease_certify_args;
        call.decode_result = (xdrproc_t)xdr_lease_certify_result;
        call.result_size = sizeof(struct lease_certify_result);
    }
    return rpc_call_start(impl, &call);
}

static void
cancel_rpc(void *impl, void *call)
{
    (void)impl;
    rpc_call_cancel(call);
}

struct member_transport
member_transport_rpc(struct rpc_node *node)
{
    static const struct member_transport_ops ops = {
        .call = call_rpc,
        .cancel = cancel_rpc,
    };
    return (struct member_transport){.ops = &ops, .impl = node};
}

static void
handle_renew(void *ctx, struct rpc_request *request, const void *args)
{
    struct lease_renew_result result =
        membertask_on_renew(ctx, rpc_request_peer(request), args);
    rpc_request_reply(request, &result);
}

static void
handle_certify(void *ctx, struct rpc_request *request, const void *args)
{
    struct lease_certify_result result = membertask_on_certify(ctx, args);
    rpc_request_reply(request, &result);
}

void
member_transport_serve(struct rpc_node *node, struct membertask *task)
{
    const struct rpc_procedure renew = {
        .number = PROCEDURE_RENEW,
        .channel = RPC_UDP,
        .decode_args = (xdrproc_t)xdr_lease_renew_args,
        .args_size = sizeof(struct lease_renew_args),
        .encode_result = (xdrproc_t)xdr_lease_renew_result,
        .handle = handle_renew,
        .ctx = task,
    };
    const struct rpc_procedure certify = {
        .number = PROCEDURE_CERTIFY,
        .channel = RPC_UDP,
        .decode_args = (xdrproc_t)xdr_lease_certify_args,
        .args_size = sizeof(struct lease_certify_args),
        .encode_result = (xdrproc_t)xdr_lease_certify_result,
        .handle = handle_certify,
        .ctx = task,
    };
    rpc_node_serve(node, &renew);
    rpc_node_serve(node, &certify);
}
