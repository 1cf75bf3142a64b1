#include "daemon/forwarder.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/runtime.h"
#include "base/task.h"
#include "daemon/gatetask.h"
#include "protocol/procedures.h"

/* Where a try went. */
enum try_kind {
    TRY_LOCAL,   /* to the own gate */
    TRY_REMOTE,  /* by RPC */
    TRY_UNKNOWN, /* the instance's address is not known */
};

struct forwarder_try {
    LIST_ENTRY(forwarder_try) link;
    struct forwarder *forwarder;
    enum try_kind kind;
    struct gatetask_call *local;
    struct rpc_call *remote;
    struct timer failure_timer; /* of a try to an unknown instance */
    struct address peer;
    forwarder_done_cb done;
    void *ctx;
};

LIST_HEAD(forwarder_tries, forwarder_try);

struct forwarder {
    struct forwarder_options options;
    struct forwarder_tries tries;
};

struct forwarder *
forwarder_create(const struct forwarder_options *options)
{
    struct forwarder *forwarder = calloc(1, sizeof(*forwarder));
    if (forwarder == NULL) {
        abort();
    }
    forwarder->options = *options;
    LIST_INIT(&forwarder->tries);
    return forwarder;
}

void
forwarder_destroy(struct forwarder *forwarder)
{
    if (forwarder == NULL) {
        return;
    }
    struct forwarder_try *attempt = LIST_FIRST(&forwarder->tries);
    while (attempt != NULL) {
        struct forwarder_try *next = LIST_NEXT(attempt, link);
        forwarder_cancel(attempt);
        attempt = next;
    }
    free(forwarder);
}

static void
try_free(struct forwarder_try *attempt)
{
    timer_stop(&attempt->failure_timer);
    LIST_REMOVE(attempt, link);
    free(attempt);
}

static void
try_end(struct forwarder_try *attempt, enum rpc_status status,
        const struct forward_reply *reply)
{
    const forwarder_done_cb done = attempt->done;
    void *ctx = attempt->ctx;
    try_free(attempt);
    done(ctx, status, reply);
}

static void
try_on_local(void *ctx, const struct forward_reply *reply)
{
    try_end(ctx, RPC_OK, reply);
}

static void
try_on_remote(void *ctx, enum rpc_status status, const void *result)
{
    struct forwarder_try *attempt = ctx;
    if (status == RPC_REFUSED_BY_HOST) {
        membertask_on_refused_connection(attempt->forwarder->options.members,
                                         &attempt->peer);
    }
    try_end(attempt, status, result);
}

static void
try_on_unknown(void *ctx)
{
    try_end(ctx, RPC_NOT_SENT, NULL);
}

static void
try_start_remote(struct forwarder_try *attempt,
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
        .done = try_on_remote,
        .ctx = attempt,
    };
    attempt->remote = rpc_call_start(attempt->forwarder->options.node, &spec);
}

struct forwarder_try *
forwarder_send(struct forwarder *forwarder, const char *instance,
               const struct forward_request *request, int64_t timeout_us,
               forwarder_done_cb done, void *ctx)
{
    struct forwarder_try *attempt = calloc(1, sizeof(*attempt));
    if (attempt == NULL) {
        abort();
    }
    attempt->forwarder = forwarder;
    attempt->done = done;
    attempt->ctx = ctx;
    timer_init(&attempt->failure_timer, forwarder->options.runtime,
               try_on_unknown, attempt);
    LIST_INSERT_HEAD(&forwarder->tries, attempt, link);

    struct member row;
    if (strcmp(instance, forwarder->options.instance) == 0) {
        attempt->kind = TRY_LOCAL;
        attempt->local = gatetask_submit(forwarder->options.gate, request,
                                         try_on_local, attempt);
    }
    else if (membertable_row(membertask_table(forwarder->options.members),
                             instance, &row)) {
        attempt->kind = TRY_REMOTE;
        attempt->peer = row.rpc;
        try_start_remote(attempt, request, timeout_us);
    }
    else {
        attempt->kind = TRY_UNKNOWN;
        timer_start(&attempt->failure_timer, 0);
    }
    return attempt;
}

void
forwarder_cancel(struct forwarder_try *attempt)
{
    switch (attempt->kind) {
    case TRY_LOCAL:
        gatetask_cancel(attempt->local);
        break;
    case TRY_REMOTE:
        rpc_call_cancel(attempt->remote);
        break;
    case TRY_UNKNOWN:
        break;
    }
    try_free(attempt);
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
