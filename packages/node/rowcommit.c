#include "node/rowcommit.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "rowcommit"
#include "base/log.h"
#include "base/memory.h"
#include "node/feedrelay.h"
#include "node/node_internal.h"
#include "protocol/procedures.h"

#define SOON_DELAY_US (20 * US_PER_MS)
#define LATER_DELAY_US (500 * US_PER_MS)
#define COMMIT_TIMEOUT_US (1 * US_PER_SECOND)
#define PEERS_MAX 4 /* that are asked before the store itself */
#define PEER_ANSWER_SLACK_US (400 * US_PER_MS)

struct transaction;

TAILQ_HEAD(rowcommit_calls, rowcommit_call);

struct rowcommit_call {
    TAILQ_ENTRY(rowcommit_call) link;
    struct rowcommit *commit;
    struct rowcommit_calls *list;    /* that it is in */
    struct transaction *transaction; /* NULL while it waits */
    struct rpc_call *peer_call;      /* another instance commits it */
    char peer[KEYMAP_NAME_MAX + 1];
    struct rowstore_write *parts; /* owns their strings */
    size_t count;
    enum rowcommit_urgency urgency;
    unsigned peer_failures;
    bool may_take_effect; /* an earlier attempt had no certain outcome */
    rowstore_cb done;
    void *ctx;
};

/** Calls that are being committed together. */
struct transaction {
    LIST_ENTRY(transaction) link;
    struct rowcommit *commit;
    struct rowstore_call *store_call;
    struct rowcommit_call *calls[ROWCOMMIT_PARTS_MAX]; /* NULL: ended */
    size_t call_count;
    struct rowstore_write parts[ROWCOMMIT_PARTS_MAX];
    size_t part_count;
};

LIST_HEAD(transactions, transaction);

struct rowcommit {
    struct node *node;
    struct rowcommit_calls waiting;
    struct rowcommit_calls sent; /* to a peer or to the store */
    struct transactions transactions;
    struct timer flush;
    int64_t flush_us; /* 0: not planned */
    struct counter *transactions_started;
    struct counter *calls_committed;
};

static void
call_move(struct rowcommit_call *call, struct rowcommit_calls *list)
{
    if (call->list != NULL) {
        TAILQ_REMOVE(call->list, call, link);
    }
    call->list = list;
    TAILQ_INSERT_TAIL(list, call, link);
}

static void
call_free(struct rowcommit_call *call)
{
    TAILQ_REMOVE(call->list, call, link);
    if (call->peer_call != NULL) {
        rpc_call_cancel(call->peer_call);
    }
    for (size_t i = 0;
         call->transaction != NULL && i < call->transaction->call_count; i++) {
        if (call->transaction->calls[i] == call) {
            call->transaction->calls[i] = NULL;
        }
    }
    for (size_t i = 0; i < call->count; i++) {
        free((char *)call->parts[i].table);
        free((char *)call->parts[i].key);
        free((char *)call->parts[i].value);
    }
    free(call->parts);
    free(call);
}

void
rowcommit_cancel(struct rowcommit_call *call)
{
    call_free(call);
}

static void
call_end(struct rowcommit_call *call, const struct rowstore_result *result)
{
    const rowstore_cb done = call->done;
    void *ctx = call->ctx;
    struct rowstore_result reported = *result;
    if (call->may_take_effect && result->outcome == ROWSTORE_REFUSED) {
        reported.outcome = ROWSTORE_UNKNOWN;
    }
    call_free(call);
    done(ctx, &reported);
}

static struct rowcommit_call *
call_create(struct rowcommit *commit, const struct rowstore_write *parts,
            size_t count, rowstore_cb done, void *ctx)
{
    struct rowcommit_call *call = memory_calloc(1, sizeof(*call));
    call->commit = commit;
    call->done = done;
    call->ctx = ctx;
    call->count = count;
    call->parts = memory_calloc(count + 1, sizeof(*call->parts));
    for (size_t i = 0; i < count; i++) {
        call->parts[i] = parts[i];
        call->parts[i].table = memory_strdup(parts[i].table);
        call->parts[i].key = memory_strdup(parts[i].key);
        if (parts[i].value != NULL) {
            char *value = memory_calloc(parts[i].size + 1, 1);
            memcpy(value, parts[i].value, parts[i].size);
            call->parts[i].value = value;
        }
    }
    call_move(call, &commit->waiting);
    return call;
}

static void
plan_flush(struct rowcommit *commit, int64_t delay_us)
{
    const int64_t at_us = node_now_us(commit->node) + delay_us;
    if (commit->flush_us == 0 || at_us < commit->flush_us) {
        commit->flush_us = at_us;
        timer_start_at(&commit->flush, at_us);
    }
}

static void
requeue(struct rowcommit_call *call)
{
    call->transaction = NULL;
    call_move(call, &call->commit->waiting);
    plan_flush(call->commit, SOON_DELAY_US);
}

/* Commits at the store. */

/** The row of that key in the answer, or NULL. */
static const struct rowstore_row *
find_row(const struct rowstore_result *result, const char *key)
{
    for (size_t i = 0; i < result->row_count; i++) {
        if (strcmp(result->rows[i].key, key) == 0 &&
            !result->rows[i].removed) {
            return &result->rows[i];
        }
    }
    return NULL;
}

static bool
is_in_conflict(const struct rowcommit_call *call,
               const struct rowstore_result *result)
{
    for (size_t i = 0; i < call->count; i++) {
        const struct rowstore_row *row = find_row(result, call->parts[i].key);
        if ((row != NULL ? row->version : 0) != call->parts[i].expected) {
            return true;
        }
    }
    return false;
}

/** Ends a call with those rows of the answer that it has conditions on. */
static void
end_with_conflict(struct rowcommit_call *call,
                  const struct rowstore_result *result)
{
    struct rowstore_row rows[ROWCOMMIT_PARTS_MAX];
    size_t count = 0;
    for (size_t i = 0; i < call->count; i++) {
        const struct rowstore_row *row = find_row(result, call->parts[i].key);
        if (row != NULL) {
            rows[count++] = *row;
        }
    }
    call_end(call, &(struct rowstore_result){.outcome = ROWSTORE_CONFLICT,
                                             .rows = rows,
                                             .row_count = count});
}

/** Ends the calls whose rows have changed and commits the others again. */
static void
handle_conflict(const struct transaction *transaction,
                const struct rowstore_result *result)
{
    bool any = false;
    for (size_t i = 0; i < transaction->call_count; i++) {
        any = any || (transaction->calls[i] != NULL &&
                      is_in_conflict(transaction->calls[i], result));
    }
    for (size_t i = 0; i < transaction->call_count; i++) {
        struct rowcommit_call *call = transaction->calls[i];
        if (call == NULL) {
            continue;
        }
        if (is_in_conflict(call, result)) {
            end_with_conflict(call, result);
        }
        else if (any) {
            requeue(call);
        }
        else {
            /* A call that was cancelled had the conflict, or the answer
             * contradicts itself. In any case nothing was written. */
            call_end(call,
                     &(struct rowstore_result){.outcome = ROWSTORE_REFUSED});
        }
    }
}

static void
on_committed(void *ctx, const struct rowstore_result *result)
{
    struct transaction *transaction = ctx;
    struct node *node = transaction->commit->node;
    LIST_REMOVE(transaction, link);
    if (result->outcome == ROWSTORE_UNKNOWN) {
        feedrelay_record_store_failure(node->feeds);
    }
    if (result->outcome == ROWSTORE_CONFLICT) {
        handle_conflict(transaction, result);
    }
    else {
        for (size_t i = 0; i < transaction->call_count; i++) {
            if (transaction->calls[i] != NULL) {
                call_end(transaction->calls[i], result);
            }
        }
    }
    free(transaction);
}

static bool
has_key_of(const struct transaction *transaction,
           const struct rowcommit_call *call)
{
    for (size_t i = 0; i < transaction->part_count; i++) {
        for (size_t k = 0; k < call->count; k++) {
            if (strcmp(transaction->parts[i].key, call->parts[k].key) == 0) {
                return true;
            }
        }
    }
    return false;
}

/** Moves waiting calls of that urgency into the transaction, one for each
 * row. */
static void
fill_transaction(struct transaction *transaction,
                 enum rowcommit_urgency urgency)
{
    struct rowcommit *commit = transaction->commit;
    struct rowcommit_call *call = TAILQ_FIRST(&commit->waiting);
    while (call != NULL) {
        struct rowcommit_call *next = TAILQ_NEXT(call, link);
        if (call->urgency == urgency &&
            transaction->part_count + call->count <= ROWCOMMIT_PARTS_MAX &&
            !has_key_of(transaction, call)) {
            call_move(call, &commit->sent);
            call->transaction = transaction;
            transaction->calls[transaction->call_count++] = call;
            memcpy(&transaction->parts[transaction->part_count], call->parts,
                   call->count * sizeof(*call->parts));
            transaction->part_count += call->count;
        }
        call = next;
    }
}

static void
on_flush(void *ctx)
{
    struct rowcommit *commit = ctx;
    const struct rowstore *store = &commit->node->options.store;
    commit->flush_us = 0;
    if (TAILQ_EMPTY(&commit->waiting)) {
        return;
    }
    struct transaction *transaction = memory_calloc(1, sizeof(*transaction));
    transaction->commit = commit;
    /* Changes of a map depend on a lease as it is, so they go before the
     * renewals that wait. */
    fill_transaction(transaction, ROWCOMMIT_SOON);
    fill_transaction(transaction, ROWCOMMIT_LATER);
    LIST_INSERT_HEAD(&commit->transactions, transaction, link);
    commit->transactions_started->value++;
    commit->calls_committed->value += (int64_t)transaction->call_count;
    transaction->store_call = store->ops->commit(
        store->impl, transaction->parts, transaction->part_count,
        COMMIT_TIMEOUT_US, on_committed, transaction);
    if (!TAILQ_EMPTY(&commit->waiting)) {
        plan_flush(commit, SOON_DELAY_US);
    }
}

/* Calls to the instance that commits for its zone. */

static void
deliver_answer(struct rowcommit_call *call,
               const struct relay_committed *answer)
{
    static const enum rowstore_outcome outcomes[] = {
        [RELAY_COMMIT_DONE] = ROWSTORE_DONE,
        [RELAY_COMMIT_CONFLICT] = ROWSTORE_CONFLICT,
        [RELAY_COMMIT_REFUSED] = ROWSTORE_REFUSED,
        [RELAY_COMMIT_UNKNOWN] = ROWSTORE_UNKNOWN,
    };
    struct rowstore_row rows[ROWCOMMIT_PARTS_MAX];
    char *values[ROWCOMMIT_PARTS_MAX];
    size_t count = 0;
    for (u_int i = 0; i < answer->rows.rows_len && count < ROWCOMMIT_PARTS_MAX;
         i++) {
        const relay_row *row = &answer->rows.rows_val[i];
        /* Values are used as strings. */
        values[count] = memory_calloc(row->value.value_len + 1, 1);
        memcpy(values[count], row->value.value_val, row->value.value_len);
        rows[count] = (struct rowstore_row){
            .key = row->key,
            .version = row->row_version,
            .value = values[count],
            .size = row->value.value_len,
        };
        count++;
    }
    call_end(call, &(struct rowstore_result){
                       .outcome = outcomes[answer->outcome],
                       .version = answer->store_version,
                       .rows = rows,
                       .row_count = count,
                   });
    for (size_t i = 0; i < count; i++) {
        free(values[i]);
    }
}

static void dispatch(struct rowcommit_call *call);

static void
on_peer_answer(void *ctx, enum rpc_status status, const void *result)
{
    struct rowcommit_call *call = ctx;
    const struct relay_committed *answer = result;
    call->peer_call = NULL;
    if (status == RPC_OK && (answer->outcome == RELAY_COMMIT_DONE ||
                             answer->outcome == RELAY_COMMIT_CONFLICT)) {
        deliver_answer(call, answer);
        return;
    }
    LOG_INFO("peer_commit_failed", LOG_STR("peer", call->peer),
             LOG_INT("status", status));
    feedrelay_record_peer_failure(call->commit->node->feeds, call->peer);
    const bool never_arrived =
        status == RPC_NOT_SENT || status == RPC_REFUSED_BY_HOST ||
        (status == RPC_OK && answer->outcome == RELAY_COMMIT_REFUSED);
    call->may_take_effect = call->may_take_effect || !never_arrived;
    call->peer_failures++;
    if (feedrelay_store_is_failing(call->commit->node->feeds) &&
        call->peer_failures < PEERS_MAX) {
        dispatch(call);
        return;
    }
    requeue(call);
}

static void
fill_parts(const struct rowcommit_call *call, relay_part *parts)
{
    for (size_t i = 0; i < call->count; i++) {
        const struct rowstore_write *part = &call->parts[i];
        parts[i] = (relay_part){
            .table = (char *)part->table,
            .key = (char *)part->key,
            .expected = part->expected,
            .check_only = part->check_only,
            .removes = part->value == NULL,
            .value = {(u_int)part->size, (char *)part->value},
        };
    }
}

static int64_t
delay_of(enum rowcommit_urgency urgency)
{
    return urgency == ROWCOMMIT_LATER ? LATER_DELAY_US : SOON_DELAY_US;
}

static void
send_to_peer(struct rowcommit_call *call,
             const struct instancetable_instance *peer)
{
    struct rowcommit *commit = call->commit;
    relay_part parts[ROWCOMMIT_PARTS_MAX];
    memcpy(call->peer, peer->instance_row.instance, sizeof(call->peer));
    fill_parts(call, parts);
    const struct relay_commit request = {
        .to = call->peer,
        .soon = call->urgency == ROWCOMMIT_SOON,
        .parts = {(u_int)call->count, parts},
    };
    const struct rpc_call_spec spec = {
        .peer = &peer->instance_row.address,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_COMMIT,
        .encode_args = (xdrproc_t)xdr_relay_commit,
        .args = &request,
        .decode_result = (xdrproc_t)xdr_relay_committed,
        .result_size = sizeof(struct relay_committed),
        .timeout_us = PEER_ANSWER_SLACK_US + delay_of(call->urgency),
        .done = on_peer_answer,
        .ctx = call,
    };
    call_move(call, &commit->sent);
    call->peer_call = rpc_call_start(commit->node->rpc, &spec);
}

/** Gives the call to another instance, or queues it for the store. */
static void
dispatch(struct rowcommit_call *call)
{
    struct rowcommit *commit = call->commit;
    const struct instancetable_instance *peer =
        feedrelay_choose_peer(commit->node->feeds);
    if (peer != NULL) {
        send_to_peer(call, peer);
    }
    else {
        call_move(call, &commit->waiting);
        plan_flush(commit, delay_of(call->urgency));
    }
}

struct rowcommit_call *
rowcommit_start(struct rowcommit *commit, const struct rowstore_write *parts,
                size_t count, enum rowcommit_urgency urgency, rowstore_cb done,
                void *ctx)
{
    struct rowcommit_call *call = call_create(commit, parts, count, done, ctx);
    call->urgency = urgency;
    dispatch(call);
    return call;
}

/* Transactions of other instances. */

static void
on_served(void *ctx, const struct rowstore_result *result)
{
    static const relay_commit_outcome outcomes[] = {
        [ROWSTORE_DONE] = RELAY_COMMIT_DONE,
        [ROWSTORE_CONFLICT] = RELAY_COMMIT_CONFLICT,
        [ROWSTORE_REFUSED] = RELAY_COMMIT_REFUSED,
        [ROWSTORE_UNKNOWN] = RELAY_COMMIT_UNKNOWN,
        [ROWSTORE_HISTORY_GONE] = RELAY_COMMIT_UNKNOWN,
    };
    relay_row rows[ROWCOMMIT_PARTS_MAX];
    u_int count = 0;
    for (size_t i = 0; result->outcome == ROWSTORE_CONFLICT &&
                       i < result->row_count && i < ROWCOMMIT_PARTS_MAX;
         i++) {
        const struct rowstore_row *row = &result->rows[i];
        rows[count++] = (relay_row){
            .key = (char *)row->key,
            .row_version = row->version,
            .value = {(u_int)row->size, (char *)row->value},
        };
    }
    const struct relay_committed answer = {
        .outcome = outcomes[result->outcome],
        .store_version = result->version,
        .rows = {count, rows},
    };
    rpc_request_reply(ctx, &answer);
}

static void
serve_commit(void *ctx, struct rpc_request *request, const void *args)
{
    struct rowcommit *commit = ctx;
    const struct relay_commit *asked = args;
    struct rowstore_write parts[ROWCOMMIT_PARTS_MAX];
    const u_int count = asked->parts.parts_len;
    if (strcmp(asked->to, commit->node->settings.instance) != 0 ||
        count == 0 || count > ROWCOMMIT_PARTS_MAX) {
        rpc_request_drop(request);
        return;
    }
    if (feedrelay_store_is_failing(commit->node->feeds)) {
        on_served(request,
                  &(struct rowstore_result){.outcome = ROWSTORE_REFUSED});
        return;
    }
    for (u_int i = 0; i < count; i++) {
        const relay_part *part = &asked->parts.parts_val[i];
        parts[i] = (struct rowstore_write){
            .table = part->table,
            .key = part->key,
            .expected = part->expected,
            .check_only = part->check_only,
            .value = part->removes ? NULL : part->value.value_val,
            .size = part->value.value_len,
        };
    }
    struct rowcommit_call *call =
        call_create(commit, parts, count, on_served, request);
    call->urgency = asked->soon ? ROWCOMMIT_SOON : ROWCOMMIT_LATER;
    rpc_request_set_data(request, call);
    plan_flush(commit, delay_of(call->urgency));
}

static void
serve_commit_cancelled(void *ctx, struct rpc_request *request)
{
    (void)ctx;
    call_free(rpc_request_data(request));
    rpc_request_drop(request);
}

struct rowcommit *
rowcommit_create(struct node *node)
{
    struct rowcommit *commit = memory_calloc(1, sizeof(*commit));
    const struct rpc_procedure procedure = {
        .number = PROCEDURE_COMMIT,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_relay_commit,
        .args_size = sizeof(struct relay_commit),
        .encode_result = (xdrproc_t)xdr_relay_committed,
        .handle = serve_commit,
        .cancelled = serve_commit_cancelled,
        .ctx = commit,
    };
    commit->node = node;
    TAILQ_INIT(&commit->waiting);
    TAILQ_INIT(&commit->sent);
    timer_init(&commit->flush, node->runtime, on_flush, commit);
    commit->transactions_started =
        counter_add(node->options.counters, "store_transactions",
                    "transactions sent to the store");
    commit->calls_committed =
        counter_add(node->options.counters, "store_commits",
                    "commits in these transactions, also of other instances");
    rpc_node_serve(node->rpc, &procedure);
    return commit;
}

static void
drop_calls(struct rowcommit_calls *calls)
{
    struct rowcommit_call *call = TAILQ_FIRST(calls);
    while (call != NULL) {
        struct rowcommit_call *next = TAILQ_NEXT(call, link);
        if (call->done == on_served) {
            rpc_request_drop(call->ctx);
        }
        call_free(call);
        call = next;
    }
}

void
rowcommit_destroy(struct rowcommit *commit)
{
    if (commit == NULL) {
        return;
    }
    const struct rowstore *store = &commit->node->options.store;
    timer_stop(&commit->flush);
    drop_calls(&commit->waiting);
    drop_calls(&commit->sent);
    struct transaction *transaction = LIST_FIRST(&commit->transactions);
    while (transaction != NULL) {
        struct transaction *next = LIST_NEXT(transaction, link);
        store->ops->cancel(store->impl, transaction->store_call);
        free(transaction);
        transaction = next;
    }
    free(commit);
}
