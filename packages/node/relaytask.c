#include "node/relaytask.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "relay"
#include "base/jsontext.h"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/keyload.h"
#include "http/httpmessage.h"
#include "node/bodyoffers.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/planner.h"
#include "protocol/procedures.h"

#define QUERY_TIMEOUT_US (600 * US_PER_MS)

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

/* A short query or order to another instance. */
struct relay_query {
    LIST_ENTRY(relay_query) link;
    struct relaytask *relay;
    struct rpc_call *call;
    char instance[KEYMAP_NAME_MAX + 1];
    relay_promise_cb promised;
    relay_loads_cb loads;
    void *ctx;
};

LIST_HEAD(relay_calls, relay_call);
LIST_HEAD(relay_queries, relay_query);

struct relaytask {
    struct node *node;
    struct relay_calls calls;
    struct relay_queries queries;
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

/** Whether a call is for this instance: addresses are reused. */
static bool
is_addressed_to_self(const struct relaytask *relay, const char *to)
{
    return strcmp(to, relay->node->settings.instance) == 0;
}

static void
serve_loads(void *ctx, struct rpc_request *request, const void *args)
{
    struct relaytask *relay = ctx;
    struct node *node = relay->node;
    const struct relay_question *question = args;
    struct keyload_step steps[KEYLOAD_STEPS_MAX];
    if (!is_addressed_to_self(relay, question->to)) {
        rpc_request_drop(request);
        return;
    }
    const size_t count = keyowner_load_steps(node->keyowner, steps);
    struct relay_loads loads = {
        .instance = node->settings.instance,
        .slots = localtarget_slots(node->target),
        .load = localgate_load(node->gate),
        .service_us = (u_quad_t)localgate_service_us(node->gate),
        .cold = localgate_is_cold(node->gate),
        .serving = localtarget_is_serving(node->target),
        .limit_state = localgate_limit_state(node->gate),
        .limit_exceeded = localgate_exceeds_limit(node->gate),
        .limit_per_s = localgate_limit(node->gate)->per_s,
        .steps = {(u_int)count, memory_calloc(count + 1, sizeof(relay_step))},
    };
    for (size_t i = 0; i < count; i++) {
        loads.steps.steps_val[i].first = steps[i].first;
        loads.steps.steps_val[i].load = steps[i].load;
    }
    rpc_request_reply(request, &loads);
    free(loads.steps.steps_val);
}

static void
serve_move(void *ctx, struct rpc_request *request, const void *args)
{
    struct relaytask *relay = ctx;
    const struct relay_move *move = args;
    struct keymap_holder to;
    struct relay_promised reply = {.promised = false};
    if (is_addressed_to_self(relay, move->to) &&
        jsontext_copy(to.instance, sizeof(to.instance), move->instance,
                      "instance", NULL) &&
        move->first <= move->last && move->last < DECLARED_KEY_COUNT) {
        reply.promised = keyowner_begin_handover(relay->node->keyowner,
                                                 move->first, move->last, &to);
    }
    rpc_request_reply(request, &reply);
}

static void
serve_promise(void *ctx, struct rpc_request *request, const void *args)
{
    struct relaytask *relay = ctx;
    const struct relay_question *question = args;
    struct relay_promised reply = {
        .promised = is_addressed_to_self(relay, question->to) &&
                    jsontext_is_valid(question->from) &&
                    planner_promise(relay->node->planner, question->from,
                                    question->lease_version),
    };
    rpc_request_reply(request, &reply);
}

static void
serve_keys(void *ctx, struct rpc_request *request, const void *args)
{
    struct relaytask *relay = ctx;
    const struct relay_keys *keys = args;
    struct relay_promised reply = {.promised = true};
    char *text = memory_calloc(keys->text.text_len + 1, 1);
    if (keys->text.text_len > 0) {
        memcpy(text, keys->text.text_val, keys->text.text_len);
    }
    if (keys->page < KEYMAP_PAGES && jsontext_is_valid(keys->service)) {
        node_receive_keymap_page(relay->node, keys->service, keys->page, text,
                                 keys->row_version);
    }
    free(text);
    rpc_request_reply(request, &reply);
}

static void
register_procedures(struct relaytask *relay)
{
    const struct rpc_procedure procedures[] = {
        {
            .number = PROCEDURE_LOADS,
            .decode_args = (xdrproc_t)xdr_relay_question,
            .args_size = sizeof(struct relay_question),
            .encode_result = (xdrproc_t)xdr_relay_loads,
            .handle = serve_loads,
        },
        {
            .number = PROCEDURE_MOVE,
            .decode_args = (xdrproc_t)xdr_relay_move,
            .args_size = sizeof(struct relay_move),
            .encode_result = (xdrproc_t)xdr_relay_promised,
            .handle = serve_move,
        },
        {
            .number = PROCEDURE_PROMISE,
            .decode_args = (xdrproc_t)xdr_relay_question,
            .args_size = sizeof(struct relay_question),
            .encode_result = (xdrproc_t)xdr_relay_promised,
            .handle = serve_promise,
        },
        {
            .number = PROCEDURE_KEYS,
            .decode_args = (xdrproc_t)xdr_relay_keys,
            .args_size = sizeof(struct relay_keys),
            .encode_result = (xdrproc_t)xdr_relay_promised,
            .handle = serve_keys,
        },
    };
    for (size_t i = 0; i < sizeof(procedures) / sizeof(procedures[0]); i++) {
        struct rpc_procedure procedure = procedures[i];
        procedure.channel = RPC_TCP;
        procedure.ctx = relay;
        rpc_node_serve(relay->node->rpc, &procedure);
    }
}

struct relaytask *
relaytask_create(struct node *node)
{
    struct relaytask *relay = memory_calloc(1, sizeof(*relay));
    relay->node = node;
    register_procedures(relay);
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
    struct relay_query *query = LIST_FIRST(&relay->queries);
    while (query != NULL) {
        struct relay_query *next = LIST_NEXT(query, link);
        rpc_call_cancel(query->call);
        free(query);
        query = next;
    }
    free(relay);
}

static struct relay_query *
query_create(struct relaytask *relay, const char *instance, void *ctx)
{
    struct relay_query *query = memory_calloc(1, sizeof(*query));
    query->relay = relay;
    query->ctx = ctx;
    snprintf(query->instance, sizeof(query->instance), "%s", instance);
    LIST_INSERT_HEAD(&relay->queries, query, link);
    return query;
}

static void
query_send(struct relay_query *query, struct rpc_call_spec *spec)
{
    spec->channel = RPC_TCP;
    spec->timeout_us = QUERY_TIMEOUT_US;
    spec->ctx = query;
    query->call = rpc_call_start(query->relay->node->rpc, spec);
}

static enum relay_promise
read_promise(enum rpc_status status, const struct relay_promised *reply)
{
    if (status == RPC_OK) {
        return reply->promised ? RELAY_PROMISE_GIVEN : RELAY_PROMISE_DECLINED;
    }
    return status == RPC_REFUSED_BY_HOST ? RELAY_PROMISE_REFUSED_BY_HOST
                                         : RELAY_PROMISE_UNANSWERED;
}

static void
on_promise(void *ctx, enum rpc_status status, const void *result)
{
    struct relay_query *query = ctx;
    LIST_REMOVE(query, link);
    query->promised(query->ctx, read_promise(status, result));
    free(query);
}

void
relaytask_request_promise(struct relaytask *relay, const char *instance,
                          uint64_t lease_version, relay_promise_cb done,
                          void *ctx)
{
    const struct instancetable_instance *peer =
        instancetable_find(&relay->node->instancetable, instance);
    if (peer == NULL) {
        done(ctx, RELAY_PROMISE_UNANSWERED);
        return;
    }
    struct relay_query *query = query_create(relay, instance, ctx);
    query->promised = done;
    const struct relay_question question = {
        .to = (char *)instance,
        .from = relay->node->settings.instance,
        .lease_version = lease_version,
    };
    struct rpc_call_spec spec = {
        .peer = &peer->instance_row.address,
        .procedure = PROCEDURE_PROMISE,
        .encode_args = (xdrproc_t)xdr_relay_question,
        .args = &question,
        .decode_result = (xdrproc_t)xdr_relay_promised,
        .result_size = sizeof(struct relay_promised),
        .bytes = zonetraffic_counter(relay->node, ZONETRAFFIC_KEYS, peer),
        .done = on_promise,
    };
    query_send(query, &spec);
}

static void
on_loads(void *ctx, enum rpc_status status, const void *result)
{
    struct relay_query *query = ctx;
    LIST_REMOVE(query, link);
    query->loads(query->ctx, query->instance,
                 status == RPC_OK ? result : NULL);
    free(query);
}

void
relaytask_query_loads(struct relaytask *relay,
                      const struct instancetable_instance *instance,
                      relay_loads_cb done, void *ctx)
{
    struct relay_query *query =
        query_create(relay, instance->instance_row.instance, ctx);
    query->loads = done;
    const struct relay_question question = {
        .to = (char *)instance->instance_row.instance,
        .from = relay->node->settings.instance,
    };
    struct rpc_call_spec spec = {
        .peer = &instance->instance_row.address,
        .procedure = PROCEDURE_LOADS,
        .encode_args = (xdrproc_t)xdr_relay_question,
        .args = &question,
        .decode_result = (xdrproc_t)xdr_relay_loads,
        .result_size = sizeof(struct relay_loads),
        .bytes = zonetraffic_counter(relay->node, ZONETRAFFIC_LOADS, instance),
        .done = on_loads,
    };
    query_send(query, &spec);
}

static void
on_move(void *ctx, enum rpc_status status, const void *result)
{
    struct relay_query *query = ctx;
    const struct relay_promised *reply = result;
    LIST_REMOVE(query, link);
    if (status != RPC_OK || !reply->promised) {
        LOG_INFO("move_declined", LOG_STR("instance", query->instance),
                 LOG_INT("status", status));
    }
    free(query);
}

static void
on_pushed(void *ctx, enum rpc_status status, const void *result)
{
    struct relay_query *query = ctx;
    (void)status;
    (void)result;
    /* If the push failed, the instance gets the map from the store. */
    LIST_REMOVE(query, link);
    free(query);
}

void
relaytask_push_keymap(struct relaytask *relay, const char *instance,
                      const char *service, unsigned page, uint64_t version,
                      const char *text)
{
    const struct instancetable_instance *peer =
        instancetable_find(&relay->node->instancetable, instance);
    const size_t size = strlen(text);
    if (peer == NULL || size > RELAY_MAP_MAX ||
        is_addressed_to_self(relay, instance)) {
        return;
    }
    struct relay_query *query = query_create(relay, instance, NULL);
    const struct relay_keys keys = {
        .service = (char *)service,
        .page = page,
        .row_version = version,
        .text = {(u_int)size, (char *)text},
    };
    struct rpc_call_spec spec = {
        .peer = &peer->instance_row.address,
        .procedure = PROCEDURE_KEYS,
        .encode_args = (xdrproc_t)xdr_relay_keys,
        .args = &keys,
        .decode_result = (xdrproc_t)xdr_relay_promised,
        .result_size = sizeof(struct relay_promised),
        .bytes = zonetraffic_counter(relay->node, ZONETRAFFIC_KEYS, peer),
        .done = on_pushed,
    };
    query_send(query, &spec);
}

void
relaytask_order_move(struct relaytask *relay,
                     const struct instancetable_instance *instance,
                     uint32_t first, uint32_t last,
                     const struct keymap_holder *to)
{
    struct relay_query *query =
        query_create(relay, instance->instance_row.instance, NULL);
    const struct relay_move move = {
        .to = (char *)instance->instance_row.instance,
        .first = first,
        .last = last,
        .instance = (char *)to->instance,
    };
    struct rpc_call_spec spec = {
        .peer = &instance->instance_row.address,
        .procedure = PROCEDURE_MOVE,
        .encode_args = (xdrproc_t)xdr_relay_move,
        .args = &move,
        .decode_result = (xdrproc_t)xdr_relay_promised,
        .result_size = sizeof(struct relay_promised),
        .bytes = zonetraffic_counter(relay->node, ZONETRAFFIC_KEYS, instance),
        .done = on_move,
    };
    query_send(query, &spec);
}
