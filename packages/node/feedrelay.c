#include "node/feedrelay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "feedrelay"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/feedsource.h"
#include "node/node_internal.h"
#include "node/relayrows.h"
#include "protocol/procedures.h"

/* Pause between two answers of the store, so that one answer brings several
 * changes. */
#define STORE_PAUSE_US (200 * US_PER_MS)
#define STORE_ANSWER_SLACK_US (400 * US_PER_MS)
#define PEER_WAIT_US (1 * US_PER_SECOND)
#define PEER_ANSWER_SLACK_US (300 * US_PER_MS)
/* An instance that refuses within this time leaves time to ask others. */
#define PROMPT_REFUSAL_US (100 * US_PER_MS)
#define TABLES_MAX 2

struct feedrelay_table {
    struct feedrelay *relay;
    const char *name;
    const struct rowwatch *watch;
    unsigned hops;         /* instances between this one and the store */
    bool may_pass_on;      /* other instances may read what was read last */
    uint64_t peer_process; /* of the latest answer of an instance */
    uint64_t peer_sequence;
    int64_t next_store_read_us;
    char source[KEYMAP_NAME_MAX + 1]; /* instance of the latest call, or "" */
};

struct feedrelay_call {
    LIST_ENTRY(feedrelay_call) link;
    struct feedrelay_table *table;
    uint64_t after;
    int64_t wait_us;
    feedrelay_cb done;
    void *ctx;
    struct timer pause;
    unsigned peers_asked;
    int64_t asked_us; /* when the present source was asked */
    struct rowstore_call *store_call;
    struct rpc_call *peer_call;
    char peer[KEYMAP_NAME_MAX + 1];
};

/* A request of another instance that waits for changes. */
struct waiting_request {
    LIST_ENTRY(waiting_request) link;
    struct feedrelay_table *table;
    struct rpc_request *request;
    uint64_t after;
    uint64_t sequence;
    int64_t arrived_us;
    int64_t as_of_us; /* of what was known then */
    struct timer timer;
};

LIST_HEAD(feedrelay_calls, feedrelay_call);
LIST_HEAD(waiting_requests, waiting_request);

struct feedrelay {
    struct node *node;
    struct feedsource source;
    struct feedrelay_table tables[TABLES_MAX];
    size_t table_count;
    struct feedrelay_calls calls;
    struct waiting_requests waiting;
    struct counter *store_reads;
    struct counter *peer_reads;
    struct counter *peer_failures;
};

static struct feedrelay_table *
find_table(struct feedrelay *relay, const char *name)
{
    for (size_t i = 0; i < relay->table_count; i++) {
        if (strcmp(relay->tables[i].name, name) == 0) {
            return &relay->tables[i];
        }
    }
    return NULL;
}

/* The side that reads. */

static void
call_free(struct feedrelay_call *call)
{
    const struct rowstore *store = &call->table->relay->node->options.store;
    timer_stop(&call->pause);
    if (call->store_call != NULL) {
        store->ops->cancel(store->impl, call->store_call);
    }
    if (call->peer_call != NULL) {
        rpc_call_cancel(call->peer_call);
    }
    LIST_REMOVE(call, link);
    free(call);
}

void
feedrelay_cancel(struct feedrelay_call *call)
{
    call_free(call);
}

static void
call_end(struct feedrelay_call *call, const struct rowstore_result *result,
         const struct freshness_read *read)
{
    const feedrelay_cb done = call->done;
    void *ctx = call->ctx;
    call_free(call);
    done(ctx, result, read);
}

static void
on_store_feed(void *ctx, const struct rowstore_result *result)
{
    struct feedrelay_call *call = ctx;
    struct feedrelay_table *table = call->table;
    const int64_t now_us = node_now_us(table->relay->node);
    const bool ok = result->outcome == ROWSTORE_DONE ||
                    result->outcome == ROWSTORE_HISTORY_GONE;
    call->store_call = NULL;
    feedsource_record_store(&table->relay->source, ok, now_us);
    table->hops = 0;
    table->may_pass_on = table->may_pass_on || ok;
    table->next_store_read_us = now_us + STORE_PAUSE_US;
    /* A version below the known one is that of an older copy. */
    const struct freshness_read read = {
        .ok =
            result->outcome == ROWSTORE_DONE && result->version >= call->after,
        .begun_us = call->asked_us,
        .ended_us = now_us,
    };
    call_end(call, result, &read);
}

static void
on_pause_over(void *ctx)
{
    struct feedrelay_call *call = ctx;
    struct feedrelay *relay = call->table->relay;
    const struct rowstore *store = &relay->node->options.store;
    relay->store_reads->value++;
    call->asked_us = node_now_us(relay->node);
    call->store_call = store->ops->feed(
        store->impl, call->table->name, call->after, call->wait_us,
        call->wait_us + STORE_ANSWER_SLACK_US, on_store_feed, call);
}

static void
read_store(struct feedrelay_call *call)
{
    timer_start_at(&call->pause, call->table->next_store_read_us);
}

static void
deliver_peer_rows(struct feedrelay_call *call, const struct relay_feed *feed)
{
    struct relayrows rows;
    const struct freshness_read read = {
        /* One that knows less proves nothing. */
        .ok = feed->store_version >= call->after,
        .begun_us = call->asked_us,
        .ended_us = node_now_us(call->table->relay->node),
        .held_us = (int64_t)feed->held_us,
        .age_us = (int64_t)feed->age_us,
    };
    relayrows_read(&rows, feed->rows.rows_val, feed->rows.rows_len);
    call_end(call,
             &(struct rowstore_result){
                 .outcome = ROWSTORE_DONE,
                 .rows = rows.rows,
                 .row_count = rows.count,
                 .version = feed->store_version,
             },
             &read);
    relayrows_clear(&rows);
}

static struct feedsource_self
feed_self(const struct node *node)
{
    const struct instancetable_instance *own =
        instancetable_find(&node->instancetable, node->settings.instance);
    /* The start that the others know, so that all agree on the order. */
    return (struct feedsource_self){
        .instance = node->settings.instance,
        .zone = node->settings.zone,
        .started_ms =
            own != NULL ? own->instance_row.started_ms : node->started_ms,
    };
}

/** True if the instance's process started before this one. */
static bool
is_earlier(const struct node *node,
           const struct instancetable_instance *instance)
{
    const struct feedsource_self self = feed_self(node);
    return instance != NULL &&
           feedsource_started_before(&instance->instance_row, &self);
}

static void read_source(struct feedrelay_call *call);

static bool
can_be_used(enum rpc_status status, const struct relay_feed *feed)
{
    return status == RPC_OK && feed->in_touch &&
           feed->hops < FEEDSOURCE_HOPS_MAX;
}

/** Reads from another instance or the store: the one that was asked can't be
 * read from. If it took its time to say so, only the store is sure to answer
 * soon, unless it does not serve this instance. */
static void
read_elsewhere(struct feedrelay_call *call, enum rpc_status status)
{
    struct feedrelay_table *table = call->table;
    struct feedrelay *relay = table->relay;
    const int64_t now_us = node_now_us(relay->node);
    const bool is_prompt = now_us - call->asked_us < PROMPT_REFUSAL_US;
    if (status == RPC_OK) {
        feedsource_record_refusal(&relay->source, call->peer, now_us);
    }
    else {
        feedsource_record_peer(&relay->source, call->peer, false, now_us);
    }
    relay->peer_failures->value++;
    LOG_INFO("peer_feed_failed", LOG_STR("peer", call->peer),
             LOG_STR("table", table->name), LOG_INT("status", status));
    if (call->peers_asked < FEEDSOURCE_FAILED_MAX &&
        (is_prompt || feedrelay_store_is_failing(relay))) {
        read_source(call);
    }
    else {
        read_store(call);
    }
}

static void
on_peer_feed(void *ctx, enum rpc_status status, const void *result)
{
    struct feedrelay_call *call = ctx;
    struct feedrelay_table *table = call->table;
    struct feedrelay *relay = table->relay;
    const struct relay_feed *feed = result;
    call->peer_call = NULL;
    if (!can_be_used(status, feed)) {
        read_elsewhere(call, status);
        return;
    }
    feedsource_record_peer(&relay->source, call->peer, true,
                           node_now_us(relay->node));
    table->hops = feed->hops + 1;
    /* Meanwhile it may have started again. */
    table->may_pass_on =
        is_earlier(relay->node, instancetable_find(&relay->node->instancetable,
                                                   call->peer));
    table->peer_process = feed->process;
    table->peer_sequence = feed->sequence;
    deliver_peer_rows(call, feed);
}

static void
read_peer(struct feedrelay_call *call,
          const struct instancetable_instance *peer)
{
    struct feedrelay_table *table = call->table;
    struct feedrelay *relay = table->relay;
    memcpy(call->peer, peer->instance_row.instance, sizeof(call->peer));
    if (table->may_pass_on && !is_earlier(relay->node, peer)) {
        table->may_pass_on = false;
        feedrelay_table_changed(relay, table->name);
    }
    const struct relay_feed_request request = {
        .to = call->peer,
        .table = (char *)table->name,
        .after = call->after,
        .process = table->peer_process,
        .sequence = table->peer_sequence,
        .wait_us = PEER_WAIT_US,
    };
    const struct rpc_call_spec spec = {
        .peer = &peer->instance_row.address,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_FEED,
        .encode_args = (xdrproc_t)xdr_relay_feed_request,
        .args = &request,
        .decode_result = (xdrproc_t)xdr_relay_feed,
        .result_size = sizeof(struct relay_feed),
        .timeout_us = PEER_WAIT_US + PEER_ANSWER_SLACK_US,
        .done = on_peer_feed,
        .ctx = call,
    };
    call->peers_asked++;
    call->asked_us = node_now_us(relay->node);
    relay->peer_reads->value++;
    call->peer_call = rpc_call_start(relay->node->rpc, &spec);
}

const struct instancetable_instance *
feedrelay_choose_peer(const struct feedrelay *relay)
{
    const struct node *node = relay->node;
    const struct feedsource_self self = feed_self(node);
    return feedsource_choose(&relay->source, &node->instancetable, &self,
                             node_now_us(node));
}

static void
note_source(struct feedrelay_table *table, const char *source)
{
    if (strcmp(table->source, source) != 0) {
        snprintf(table->source, sizeof(table->source), "%s", source);
        LOG_INFO("feed_source", LOG_STR("table", table->name),
                 LOG_STR("peer", source), LOG_UINT("hops", table->hops));
    }
}

/** Reads from the instance that is chosen now, or from the store. */
static void
read_source(struct feedrelay_call *call)
{
    const struct instancetable_instance *peer =
        feedrelay_choose_peer(call->table->relay);
    note_source(call->table, peer != NULL ? peer->instance_row.instance : "");
    if (peer != NULL) {
        read_peer(call, peer);
    }
    else {
        read_store(call);
    }
}

void
feedrelay_record_peer_failure(struct feedrelay *relay, const char *instance)
{
    feedsource_record_peer(&relay->source, instance, false,
                           node_now_us(relay->node));
}

void
feedrelay_record_store_failure(struct feedrelay *relay)
{
    feedsource_record_store(&relay->source, false, node_now_us(relay->node));
}

bool
feedrelay_store_is_failing(const struct feedrelay *relay)
{
    return node_now_us(relay->node) < relay->source.store_failing_until_us;
}

struct feedrelay_call *
feedrelay_start(struct feedrelay *relay, const char *table, uint64_t after,
                int64_t wait_us, feedrelay_cb done, void *ctx)
{
    struct node *node = relay->node;
    struct feedrelay_call *call = memory_calloc(1, sizeof(*call));
    call->table = find_table(relay, table);
    call->after = after;
    call->wait_us = wait_us;
    call->done = done;
    call->ctx = ctx;
    timer_init(&call->pause, node->runtime, on_pause_over, call);
    LIST_INSERT_HEAD(&relay->calls, call, link);
    read_source(call);
    return call;
}

/* The side that serves. */

static void
waiting_free(struct waiting_request *waiting)
{
    timer_stop(&waiting->timer);
    LIST_REMOVE(waiting, link);
    free(waiting);
}

struct row_list {
    relay_row *rows;
    u_int count;
    size_t capacity;
};

static void
add_row(void *ctx, const struct rowstore_row *row)
{
    struct row_list *list = ctx;
    if (list->count == RELAY_ROWS_MAX) {
        return;
    }
    if (list->count == list->capacity) {
        list->capacity = list->capacity * 2 + 8;
        list->rows = memory_reallocarray(list->rows, list->capacity,
                                         sizeof(*list->rows));
    }
    list->rows[list->count++] = relayrows_write(row);
}

/** True if others may read the table from this instance. Without the rows of
 * the instances it does not know which of them started before it. */
static bool
is_in_touch(const struct feedrelay_table *table)
{
    return rowwatch_is_reachable(table->watch) && table->may_pass_on &&
           rowwatch_is_reachable(table->relay->node->fleet_watch);
}

/** True if what is known is newer than when the request arrived, and its age
 * matters. Without this, knowledge would get older at each instance that it
 * passes by as long as a request waits. */
static bool
is_renewed(const struct waiting_request *waiting)
{
    const struct feedrelay_table *table = waiting->table;
    const struct node *node = table->relay->node;
    return node->settings.revoke_us > 0 &&
           strcmp(table->name, node->wire->declared_table) == 0 &&
           rowwatch_freshness(table->watch)->as_of_us > waiting->as_of_us;
}

/** Answers if there are changes, what is known is newer, the source is lost,
 * or the wait is over. */
static void
try_answer(struct waiting_request *waiting, bool wait_is_over)
{
    const struct feedrelay_table *table = waiting->table;
    struct row_list list = {.rows = NULL};
    const bool in_touch = is_in_touch(table);
    rowwatch_list_changes(table->watch, waiting->after, waiting->sequence,
                          add_row, &list);
    if (list.count > 0 || !in_touch || wait_is_over || is_renewed(waiting)) {
        const int64_t now_us = node_now_us(table->relay->node);
        const struct relay_feed feed = {
            .in_touch = in_touch,
            .age_us = (uint64_t)freshness_age_us(
                rowwatch_freshness(table->watch), now_us),
            .held_us = (uint64_t)(now_us - waiting->arrived_us),
            .hops = table->hops,
            .process = table->relay->node->options.seed,
            .sequence = rowwatch_sequence(table->watch),
            .store_version = rowwatch_version(table->watch),
            .rows = {list.count, list.rows},
        };
        rpc_request_reply(waiting->request, &feed);
        waiting_free(waiting);
    }
    free(list.rows);
}

static void
on_wait_over(void *ctx)
{
    try_answer(ctx, true);
}

void
feedrelay_table_changed(struct feedrelay *relay, const char *table)
{
    struct waiting_request *waiting = LIST_FIRST(&relay->waiting);
    while (waiting != NULL) {
        struct waiting_request *next = LIST_NEXT(waiting, link);
        if (strcmp(waiting->table->name, table) == 0 ||
            !is_in_touch(waiting->table)) {
            try_answer(waiting, false);
        }
        waiting = next;
    }
}

static void
serve_feed(void *ctx, struct rpc_request *request, const void *args)
{
    struct feedrelay *relay = ctx;
    struct node *node = relay->node;
    const struct relay_feed_request *asked = args;
    struct feedrelay_table *table = find_table(relay, asked->table);
    if (strcmp(asked->to, node->settings.instance) != 0 || table == NULL) {
        rpc_request_drop(request);
        return;
    }
    struct waiting_request *waiting = memory_calloc(1, sizeof(*waiting));
    const bool same_process = asked->process == node->options.seed;
    waiting->table = table;
    waiting->request = request;
    waiting->after = asked->after;
    waiting->sequence = same_process ? asked->sequence : 0;
    waiting->arrived_us = node_now_us(node);
    waiting->as_of_us = rowwatch_freshness(table->watch)->as_of_us;
    timer_init(&waiting->timer, node->runtime, on_wait_over, waiting);
    timer_start(&waiting->timer, asked->wait_us < PEER_WAIT_US
                                     ? (int64_t)asked->wait_us
                                     : PEER_WAIT_US);
    LIST_INSERT_HEAD(&relay->waiting, waiting, link);
    rpc_request_set_data(request, waiting);
    try_answer(waiting, false);
}

static void
serve_feed_cancelled(void *ctx, struct rpc_request *request)
{
    (void)ctx;
    waiting_free(rpc_request_data(request));
    rpc_request_drop(request);
}

struct feedrelay *
feedrelay_create(struct node *node)
{
    struct feedrelay *relay = memory_calloc(1, sizeof(*relay));
    struct counter_registry *counters = node->options.counters;
    const struct rpc_procedure procedure = {
        .number = PROCEDURE_FEED,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_relay_feed_request,
        .args_size = sizeof(struct relay_feed_request),
        .encode_result = (xdrproc_t)xdr_relay_feed,
        .handle = serve_feed,
        .cancelled = serve_feed_cancelled,
        .ctx = relay,
    };
    relay->node = node;
    relay->store_reads = counter_add(counters, "feed_store_reads",
                                     "reads of changed rows from the store");
    relay->peer_reads =
        counter_add(counters, "feed_peer_reads",
                    "reads of changed rows from another instance");
    relay->peer_failures =
        counter_add(counters, "feed_peer_failures",
                    "reads from another instance that failed");
    rpc_node_serve(node->rpc, &procedure);
    return relay;
}

void
feedrelay_destroy(struct feedrelay *relay)
{
    if (relay == NULL) {
        return;
    }
    struct waiting_request *waiting = LIST_FIRST(&relay->waiting);
    while (waiting != NULL) {
        struct waiting_request *next = LIST_NEXT(waiting, link);
        rpc_request_drop(waiting->request);
        waiting_free(waiting);
        waiting = next;
    }
    struct feedrelay_call *call = LIST_FIRST(&relay->calls);
    while (call != NULL) {
        struct feedrelay_call *next = LIST_NEXT(call, link);
        call_free(call);
        call = next;
    }
    free(relay);
}

void
feedrelay_add_table(struct feedrelay *relay, const char *table,
                    const struct rowwatch *watch)
{
    relay->tables[relay->table_count++] = (struct feedrelay_table){
        .relay = relay,
        .name = table,
        .watch = watch,
        .may_pass_on = true, /* the first read is a scan of the store */
    };
}
