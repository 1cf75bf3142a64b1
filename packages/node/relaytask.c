#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "http/httpmessage.h"
#include "node/bodyoffers.h"
#include "node/localgate.h"
#include "node/node_internal.h"
#include "node/relaytask_internal.h"
#include "protocol/procedures.h"

struct relay_call {
    LIST_ENTRY(relay_call) link;
    struct relaytask *relay;
    struct localgate_call *local; /* NULL if another instance runs it */
    struct rpc_call *remote;      /* the request, or before it the offer */
    bool offering;                /* remote is the offer */
    struct relay_request request; /* other attempts change the sender's */
    struct relay_limit limit;     /* of the request, if it has one */
    struct address peer;
    int64_t until_us;      /* the end of its time */
    struct counter *bytes; /* NULL within the zone, as the next */
    struct counter *body_bytes;
    relay_call_cb done;
    void *ctx;
};

static void
call_end(struct relay_call *call, enum rpc_status status,
         const struct relay_reply *reply)
{
    const relay_call_cb done = call->done;
    void *ctx = call->ctx;
    LIST_REMOVE(call, link);
    free(call);
    done(ctx, status, reply);
}

static void
on_local(void *ctx, const struct relay_reply *reply)
{
    call_end(ctx, RPC_OK, reply);
}

static void
count_body(const struct relay_call *call, u_int size)
{
    if (call->body_bytes != NULL) {
        call->body_bytes->value += size;
    }
}

static void
on_remote(void *ctx, enum rpc_status status, const void *result)
{
    const struct relay_reply *reply = result;
    if (reply != NULL) {
        count_body(ctx, reply->body.body_len);
    }
    if (reply != NULL && reply->outcome == RELAY_ANSWERED &&
        !http_status_is_final(reply->status)) {
        call_end(ctx, RPC_GARBAGE, NULL);
        return;
    }
    call_end(ctx, status, result);
}

/** Sends the request to another instance. */
static void
send_request(struct relay_call *call)
{
    struct node *node = call->relay->node;
    const int64_t left_us = call->until_us - node_now_us(node);
    const struct rpc_call_spec spec = {
        .peer = &call->peer,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_RELAY,
        .encode_args = (xdrproc_t)xdr_relay_request,
        .args = &call->request,
        .decode_result = (xdrproc_t)xdr_relay_reply,
        .result_size = sizeof(struct relay_reply),
        .timeout_us = left_us > 0 ? left_us : 0,
        .bytes = call->bytes,
        .done = on_remote,
        .ctx = call,
    };
    count_body(call, call->request.body.body_len);
    call->remote = rpc_call_start(node->rpc, &spec);
}

/** Ends a call whose body the other instance doesn't take now. */
static void
end_refused(struct relay_call *call, const struct relay_offered *offered)
{
    const struct relay_reply reply = {
        .outcome = RELAY_NOT_RUN,
        .reason = offered->reason,
        .owner = (char *)"",
        .retry_after_us = offered->retry_after_us,
        .load = offered->load,
        .cold = offered->cold,
    };
    call_end(call, RPC_OK, &reply);
}

static void
on_offered(void *ctx, enum rpc_status status, const void *result)
{
    struct relay_call *call = ctx;
    const struct relay_offered *offered = result;
    call->remote = NULL;
    call->offering = false;
    if (status == RPC_OK && !offered->accepted) {
        end_refused(call, offered);
    }
    else if (status == RPC_OK || status == RPC_REJECTED) {
        send_request(
            call); /* an instance of a former version rejects offers */
    }
    else {
        /* The request itself was not sent. */
        call_end(call, status == RPC_REFUSED_BY_HOST ? status : RPC_NOT_SENT,
                 NULL);
    }
}

/** Asks the other instance whether the body may be sent now. */
static void
send_offer(struct relay_call *call)
{
    struct node *node = call->relay->node;
    const struct relay_request *request = &call->request;
    const struct relay_offer offer = {
        .to = request->to,
        .service = request->service,
        .id = request->id,
        .process = request->process,
        .size = request->body.body_len,
        .left_us = request->left_us,
    };
    const struct rpc_call_spec spec = {
        .peer = &call->peer,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_OFFER,
        .encode_args = (xdrproc_t)xdr_relay_offer,
        .args = &offer,
        .decode_result = (xdrproc_t)xdr_relay_offered,
        .result_size = sizeof(struct relay_offered),
        .timeout_us = call->until_us - node_now_us(node),
        .bytes = call->bytes,
        .done = on_offered,
        .ctx = call,
    };
    call->offering = true;
    call->remote = rpc_call_start(node->rpc, &spec);
}

struct relay_call *
relaytask_send(struct relaytask *relay,
               const struct instancetable_instance *instance,
               const struct relay_request *request, int64_t timeout_us,
               relay_call_cb done, void *ctx)
{
    struct node *node = relay->node;
    struct relay_call *call = memory_calloc(1, sizeof(*call));
    call->relay = relay;
    call->done = done;
    call->ctx = ctx;
    LIST_INSERT_HEAD(&relay->calls, call, link);
    if (strcmp(instance->instance_row.instance, node->settings.instance) ==
        0) {
        call->local = localgate_submit(node->gate, request, 0, on_local, call);
        return call;
    }
    call->request = *request;
    if (request->limit != NULL) {
        call->limit = *request->limit;
        call->request.limit = &call->limit;
    }
    call->peer = instance->instance_row.address;
    call->until_us = node_now_us(node) + timeout_us;
    call->bytes = zonetraffic_counter(node, ZONETRAFFIC_REQUESTS, instance);
    call->body_bytes = zonetraffic_counter(node, ZONETRAFFIC_BODIES, instance);
    if (request->body.body_len >= BODYOFFERS_MIN_BYTES) {
        send_offer(call);
    }
    else {
        send_request(call);
    }
    return call;
}

bool
relaytask_may_have_run(const struct relay_call *call)
{
    if (call->local != NULL) {
        return localgate_may_have_run(call->local);
    }
    return !call->offering && rpc_call_may_be_sent(call->remote);
}

void
relaytask_withdraw(struct relay_call *call)
{
    if (call->remote != NULL) {
        rpc_call_withdraw(call->remote);
    }
}

const char *
relaytask_stage(const struct relay_call *call)
{
    if (call->local != NULL) {
        return localgate_stage(call->local);
    }
    if (call->offering) {
        return "offer";
    }
    return rpc_call_may_be_sent(call->remote) ? "other-instance"
                                              : "other-connection";
}

void
relaytask_cancel(struct relay_call *call)
{
    if (call->local != NULL) {
        localgate_cancel(call->local);
    }
    else {
        rpc_call_cancel(call->remote);
    }
    LIST_REMOVE(call, link);
    free(call);
}

struct relaytask *
relaytask_create(struct node *node)
{
    struct relaytask *relay = memory_calloc(1, sizeof(*relay));
    relay->node = node;
    relayquery_serve(relay);
    return relay;
}

void
relaytask_destroy(struct relaytask *relay)
{
    if (relay == NULL) {
        return;
    }
    struct relay_call *call = LIST_FIRST(&relay->calls);
    while (call != NULL) {
        struct relay_call *next = LIST_NEXT(call, link);
        relaytask_cancel(call);
        call = next;
    }
    relayquery_cancel_all(relay);
    free(relay);
}
