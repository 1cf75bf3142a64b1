#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "relay"
#include "base/jsontext.h"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/keyload.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/planner.h"
#include "node/relaytask_internal.h"
#include "protocol/procedures.h"

#define QUERY_TIMEOUT_US (600 * US_PER_MS)

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

void
relayquery_serve(struct relaytask *relay)
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

void
relayquery_cancel_all(struct relaytask *relay)
{
    struct relay_query *query = LIST_FIRST(&relay->queries);
    while (query != NULL) {
        struct relay_query *next = LIST_NEXT(query, link);
        rpc_call_cancel(query->call);
        free(query);
        query = next;
    }
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
