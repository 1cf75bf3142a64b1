#include "daemon/forwarder.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/runtime.h"
#include "base/task.h"
#include "daemon/gatetask.h"
#include "http/httpmessage.h"
#include "protocol/procedures.h"

/* How an attempt is sent. */
enum attempt_kind {
    ATTEMPT_LOCAL,      /* to the own gate */
    ATTEMPT_REMOTE,     /* by RPC */
    ATTEMPT_NO_ADDRESS, /* not sent: address unknown */
};

struct forwarder_attempt {
    LIST_ENTRY(forwarder_attempt) link;
    struct forwarder *forwarder;
    enum attempt_kind kind;
    struct gatetask_call *local;
    struct rpc_call *remote;
    struct timer failure_timer; /* of ATTEMPT_NO_ADDRESS */
    struct address peer;
    forwarder_done_cb done;
    void *ctx;
};

LIST_HEAD(forwarder_attempts, forwarder_attempt);

struct forwarder {
    struct forwarder_options options;
    struct forwarder_attempts attempts;
};

struct forwarder *
forwarder_create(const struct forwarder_options *options)
{
    struct forwarder *forwarder = calloc(1, sizeof(*forwarder));
    if (forwarder == NULL) {
        abort();
    }
    forwarder->options = *options;
    LIST_INIT(&forwarder->attempts);
    return forwarder;
}

void
forwarder_destroy(struct forwarder *forwarder)
{
    if (forwarder == NULL) {
        return;
    }
    struct forwarder_attempt *attempt = LIST_FIRST(&forwarder->attempts);
    while (attempt != NULL) {
        struct forwarder_attempt *next = LIST_NEXT(attempt, link);
        forwarder_cancel(attempt);
        attempt = next;
    }
    free(forwarder);
}

static void
attempt_free(struct forwarder_attempt *attempt)
{
    timer_stop(&attempt->failure_timer);
    LIST_REMOVE(attempt, link);
    free(attempt);
}

static void
attempt_end(struct forwarder_attempt *attempt, enum rpc_status status,
            const struct forward_reply *reply)
{
    const forwarder_done_cb done = attempt->done;
    void *ctx = attempt->ctx;
    attempt_free(attempt);
    done(ctx, status, reply);
}

static void
attempt_on_local_reply(void *ctx, const struct forward_reply *reply)
{
    attempt_end(ctx, RPC_OK, reply);
}

static void
attempt_on_remote_reply(void *ctx, enum rpc_status status, const void *result)
{
    struct forwarder_attempt *attempt = ctx;
    if (status == RPC_REFUSED_BY_HOST) {
        membertask_on_refused_connection(attempt->forwarder->options.members,
                                         &attempt->peer);
    }
    const struct forward_reply *reply = result;
    if (reply != NULL && reply->outcome == FORWARD_ANSWERED &&
        !http_status_is_final(reply->status)) {
        status = RPC_GARBAGE;
        reply = NULL;
    }
    attempt_end(attempt, status, reply);
}

static void
attempt_on_no_address(void *ctx)
{
    attempt_end(ctx, RPC_NOT_SENT, NULL);
}

static void
attempt_start_remote(struct forwarder_attempt *attempt,
                     const struct forward_request *request, int64_t timeout_us)
{
    const struct rpc_call_spec spec = {
        .peer = &attempt->peer,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_FORWARD,
        .encode_args = (xdrproc_t)xdr_forward_request,
        .args = request,
        .decode_result = (xdrproc_t)xdr_forward_reply,
        .result_size = sizeof(struct forward_reply),
        .timeout_us = timeout_us,
        .done = attempt_on_remote_reply,
        .ctx = attempt,
    };
    attempt->remote = rpc_call_start(attempt->forwarder->options.node, &spec);
}

struct forwarder_attempt *
forwarder_send(struct forwarder *forwarder, const char *instance,
               const struct forward_request *request, int64_t timeout_us,
               forwarder_done_cb done, void *ctx)
{
    struct forwarder_attempt *attempt = calloc(1, sizeof(*attempt));
    if (attempt == NULL) {
        abort();
    }
    attempt->forwarder = forwarder;
    attempt->done = done;
    attempt->ctx = ctx;
    timer_init(&attempt->failure_timer, forwarder->options.runtime,
               attempt_on_no_address, attempt);
    LIST_INSERT_HEAD(&forwarder->attempts, attempt, link);

    struct member row;
    if (strcmp(instance, forwarder->options.instance) == 0) {
        attempt->kind = ATTEMPT_LOCAL;
        attempt->local = gatetask_submit(forwarder->options.gate, request,
                                         attempt_on_local_reply, attempt);
    }
    else if (membertable_row(membertask_table(forwarder->options.members),
                             instance, &row)) {
        attempt->kind = ATTEMPT_REMOTE;
        attempt->peer = row.rpc;
        attempt_start_remote(attempt, request, timeout_us);
    }
    else {
        attempt->kind = ATTEMPT_NO_ADDRESS;
        timer_start(&attempt->failure_timer, 0);
    }
    return attempt;
}

void
forwarder_cancel(struct forwarder_attempt *attempt)
{
    switch (attempt->kind) {
    case ATTEMPT_LOCAL:
        gatetask_cancel(attempt->local);
        break;
    case ATTEMPT_REMOTE:
        rpc_call_cancel(attempt->remote);
        break;
    case ATTEMPT_NO_ADDRESS:
        break;
    }
    attempt_free(attempt);
}

static void
forward_on_reply(void *ctx, const struct forward_reply *reply)
{
    rpc_request_reply(ctx, reply);
}

static void
forward_handle(void *ctx, struct rpc_request *request, const void *args)
{
    struct gatetask_call *call =
        gatetask_submit(ctx, args, forward_on_reply, request);
    rpc_request_set_data(request, call);
}

static void
forward_cancelled(void *ctx, struct rpc_request *request)
{
    (void)ctx;
    gatetask_cancel(rpc_request_data(request));
    rpc_request_drop(request);
}

void
forwarder_serve(struct rpc_node *node, struct gatetask *gate)
{
    const struct rpc_procedure procedure = {
        .number = PROCEDURE_FORWARD,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_forward_request,
        .args_size = sizeof(struct forward_request),
        .encode_result = (xdrproc_t)xdr_forward_reply,
        .handle = forward_handle,
        .cancelled = forward_cancelled,
        .ctx = gate,
    };
    rpc_node_serve(node, &procedure);
}
