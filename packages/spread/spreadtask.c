#include "spread/spreadtask.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "spread"
#include "base/counter.h"
#include "base/log.h"
#include "base/runtime.h"
#include "protocol/procedures.h"
#include "protocol/rpc.h"

#define SEND_TIMEOUT_US (1 * US_PER_SECOND)
#define FETCH_TIMEOUT_US (3 * US_PER_SECOND)

/* A call in progress. */
struct spread_call {
    LIST_ENTRY(spread_call) link;
    struct spreadtask *task;
    struct rpc_call *call;
    char peer[STATE_NAME_MAX + 1];
    enum spread_kind kind;          /* of a fetch */
    char name[SPREAD_NAME_MAX + 1]; /* of a fetch */
};

LIST_HEAD(spread_call_list, spread_call);

struct spreadtask {
    struct runtime *runtime;
    struct rpc_node *node;
    struct spreadtask_callbacks callbacks;
    char instance[STATE_NAME_MAX + 1];
    struct spread *spread;
    struct spread_call_list calls;
    struct timer timer;
    uint64_t revision;
    struct counter *messages;
    struct counter *bytes;
    struct counter *fresh;
    struct counter *fetches;
};

static void
update_counters(struct spreadtask *task)
{
    struct spread_counts counts = spread_counts(task->spread);

    task->messages->value = counts.messages;
    task->bytes->value = counts.bytes;
    task->fresh->value = counts.fresh;
    task->fetches->value = counts.fetches;
}

static struct spread_call *
new_call(struct spreadtask *task, const char *peer)
{
    struct spread_call *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    call->task = task;
    (void)snprintf(call->peer, sizeof(call->peer), "%s", peer);
    LIST_INSERT_HEAD(&task->calls, call, link);
    return call;
}

static void
on_reply(void *ctx, enum rpc_status status, const void *result)
{
    struct spread_call *call = ctx;
    struct spreadtask *task = call->task;

    LIST_REMOVE(call, link);
    spread_handle_reply(task->spread, call->peer,
                        status == RPC_OK ? result : NULL,
                        runtime_now_us(task->runtime));
    free(call);
}

static void
send_message(void *ctx, const char *peer, const struct spread_message *message)
{
    struct spreadtask *task = ctx;
    struct address address;
    struct spread_call *call;
    struct rpc_call_spec spec = {
        .peer = &address,
        .channel = RPC_UDP,
        .procedure = PROCEDURE_SPREAD,
        .encode_args = (xdrproc_t)xdr_spread_message,
        .args = message,
        .decode_result = (xdrproc_t)xdr_spread_reply,
        .result_size = sizeof(struct spread_reply),
        .timeout_us = SEND_TIMEOUT_US,
        .done = on_reply,
    };

    if (!task->callbacks.address_of(task->callbacks.ctx, peer, &address)) {
        return;
    }
    call = new_call(task, peer);
    spec.ctx = call;
    call->call = rpc_call_start(task->node, &spec);
}

static void
on_fetched(void *ctx, enum rpc_status status, const void *result)
{
    struct spread_call *call = ctx;
    struct spreadtask *task = call->task;
    const struct spread_fetched *fetched = result;
    struct spread_item item = {.kind = call->kind, .name = call->name};
    bool found = status == RPC_OK && fetched->found;

    if (found) {
        item.version = fetched->item_version;
        item.payload = fetched->payload.payload_val;
        item.size = fetched->payload.payload_len;
    }
    else {
        LOG_DBG("fetch_failed", LOG_STR("peer", call->peer),
                LOG_STR("item", call->name));
    }
    LIST_REMOVE(call, link);
    spread_handle_fetched(task->spread, call->peer, call->kind, call->name,
                          found ? &item : NULL, runtime_now_us(task->runtime));
    free(call);
}

static void
fetch_item(void *ctx, const char *peer, enum spread_kind kind,
           const char *name)
{
    struct spreadtask *task = ctx;
    struct address address;
    struct spread_call *call;
    struct spread_fetch args = {.kind = kind};
    struct rpc_call_spec spec = {
        .peer = &address,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_FETCH,
        .encode_args = (xdrproc_t)xdr_spread_fetch,
        .args = &args,
        .decode_result = (xdrproc_t)xdr_spread_fetched,
        .result_size = sizeof(struct spread_fetched),
        .timeout_us = FETCH_TIMEOUT_US,
        .done = on_fetched,
    };

    if (!task->callbacks.address_of(task->callbacks.ctx, peer, &address)) {
        return;
    }
    call = new_call(task, peer);
    call->kind = kind;
    (void)snprintf(call->name, sizeof(call->name), "%s", name);
    args.name = call->name;
    spec.ctx = call;
    call->call = rpc_call_start(task->node, &spec);
}

static void
deliver(void *ctx, const struct spread_item *item)
{
    struct spreadtask *task = ctx;

    task->callbacks.deliver(task->callbacks.ctx, item);
}

static void
acknowledged(void *ctx, const char *peer, uint64_t revision)
{
    struct spreadtask *task = ctx;

    if (task->callbacks.acknowledged != NULL) {
        task->callbacks.acknowledged(task->callbacks.ctx, peer, revision);
    }
}

static const struct spread_ops task_ops = {
    .send = send_message,
    .fetch = fetch_item,
    .deliver = deliver,
    .acknowledged = acknowledged,
};

static void
on_timer(void *ctx)
{
    struct spreadtask *task = ctx;

    spread_run(task->spread, runtime_now_us(task->runtime));
    update_counters(task);
    timer_start_at(&task->timer, spread_next_run_us(task->spread));
}

static void
on_message(void *ctx, struct rpc_request *request, const void *args)
{
    struct spreadtask *task = ctx;
    const struct spread_reply *reply = spread_handle_message(
        task->spread, args, runtime_now_us(task->runtime));

    rpc_request_reply(request, reply);
}

static void
on_fetch(void *ctx, struct rpc_request *request, const void *args)
{
    struct spreadtask *task = ctx;
    const struct spread_fetch *fetch = args;
    struct spread_item item;
    struct spread_fetched fetched = {0};

    if (spread_find(task->spread, fetch->kind, fetch->name, &item)) {
        fetched.found = TRUE;
        fetched.item_version = item.version;
        fetched.payload.payload_val = (char *)item.payload;
        fetched.payload.payload_len = (u_int)item.size;
    }
    rpc_request_reply(request, &fetched);
}

static void
spreadtask_register_procedures(struct spreadtask *task)
{
    struct rpc_procedure message = {
        .number = PROCEDURE_SPREAD,
        .channel = RPC_UDP,
        .decode_args = (xdrproc_t)xdr_spread_message,
        .args_size = sizeof(struct spread_message),
        .encode_result = (xdrproc_t)xdr_spread_reply,
        .handle = on_message,
        .ctx = task,
    };
    struct rpc_procedure fetch = {
        .number = PROCEDURE_FETCH,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_spread_fetch,
        .args_size = sizeof(struct spread_fetch),
        .encode_result = (xdrproc_t)xdr_spread_fetched,
        .handle = on_fetch,
        .ctx = task,
    };

    rpc_node_serve(task->node, &message);
    rpc_node_serve(task->node, &fetch);
}

static void
add_counters(struct spreadtask *task, struct counter_registry *counters)
{
    task->messages =
        counter_add(counters, "spread_messages", "messages to other members");
    task->bytes = counter_add(counters, "spread_bytes",
                              "bytes of spread_messages, with headers");
    task->fresh = counter_add(counters, "spread_items_new",
                              "items learnt from other members");
    task->fetches = counter_add(counters, "spread_fetches",
                                "items fetched from other members");
}

struct spreadtask *
spreadtask_create(const struct spreadtask_options *options)
{
    struct spreadtask *task = calloc(1, sizeof(*task));
    struct spread_options spread_options = {
        .instance = options->instance,
        .zone = options->zone,
        .region = options->region,
        .policy = SPREAD_PEERS_BY_SHARE,
        .bytes_per_second = options->bytes_per_second,
        .ops = &task_ops,
        .ctx = task,
        .seed = options->seed,
    };

    if (task == NULL) {
        return NULL;
    }
    task->runtime = options->runtime;
    task->node = options->node;
    task->callbacks = options->callbacks;
    (void)snprintf(task->instance, sizeof(task->instance), "%s",
                   options->instance);
    LIST_INIT(&task->calls);
    task->spread =
        spread_create(&spread_options, runtime_now_us(options->runtime));
    if (task->spread == NULL) {
        free(task);
        return NULL;
    }
    add_counters(task, options->counters);
    spreadtask_register_procedures(task);
    timer_init(&task->timer, options->runtime, on_timer, task);
    timer_start(&task->timer, 0);
    return task;
}

void
spreadtask_destroy(struct spreadtask *task)
{
    struct spread_call *call;

    if (task == NULL) {
        return;
    }
    timer_stop(&task->timer);
    call = LIST_FIRST(&task->calls);
    while (call != NULL) {
        struct spread_call *next = LIST_NEXT(call, link);
        rpc_call_cancel(call->call);
        free(call);
        call = next;
    }
    spread_destroy(task->spread);
    free(task);
}

void
spreadtask_add_member(struct spreadtask *task, const char *name,
                      const char *zone, const char *region)
{
    struct spreadpeers *peers = spread_peers(task->spread);

    if (strcmp(name, task->instance) == 0) {
        return;
    }
    spreadpeers_remove(peers, name);
    spreadpeers_add(peers, name, zone, region);
}

void
spreadtask_remove_member(struct spreadtask *task, const char *name)
{
    spreadpeers_remove(spread_peers(task->spread), name);
}

void
spreadtask_set_revision(struct spreadtask *task, uint64_t revision)
{
    task->revision = revision;
    spread_set_revision(task->spread, revision);
}

bool
spreadtask_put(struct spreadtask *task, const struct spread_item *item)
{
    bool newer = spread_put(task->spread, item, runtime_now_us(task->runtime));

    if (newer) {
        timer_start_at(&task->timer, spread_next_run_us(task->spread));
    }
    return newer;
}

bool
spreadtask_find(const struct spreadtask *task, enum spread_kind kind,
                const char *name, struct spread_item *item)
{
    return spread_find(task->spread, kind, name, item);
}

void
spreadtask_discard_payload(struct spreadtask *task, enum spread_kind kind,
                           const char *name)
{
    spread_discard_payload(task->spread, kind, name);
}

void
spreadtask_query_revision(struct spreadtask *task, const char *peer)
{
    struct spread_message message = {
        .from = task->instance,
        .revision = task->revision,
    };

    send_message(task, peer, &message);
}

struct spread_counts
spreadtask_counts(const struct spreadtask *task)
{
    return spread_counts(task->spread);
}
