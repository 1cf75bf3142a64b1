#include "node/rowcommit_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "node/feedrelay.h"

#define SOON_DELAY_US (20 * US_PER_MS)
#define LATER_DELAY_US (500 * US_PER_MS)
#define COMMIT_TIMEOUT_US (1 * US_PER_SECOND)

int64_t
rowcommit_delay_us(enum rowcommit_urgency urgency)
{
    return urgency == ROWCOMMIT_LATER ? LATER_DELAY_US : SOON_DELAY_US;
}

void
rowcommit_call_move(struct rowcommit_call *call, struct rowcommit_calls *list)
{
    if (call->list != NULL) {
        TAILQ_REMOVE(call->list, call, link);
    }
    call->list = list;
    TAILQ_INSERT_TAIL(list, call, link);
}

void
rowcommit_call_free(struct rowcommit_call *call)
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
    rowcommit_call_free(call);
}

void
rowcommit_call_end(struct rowcommit_call *call,
                   const struct rowstore_result *result)
{
    const rowstore_cb done = call->done;
    void *ctx = call->ctx;
    struct rowstore_result reported = *result;
    if (call->may_take_effect && result->outcome == ROWSTORE_REFUSED) {
        reported.outcome = ROWSTORE_UNKNOWN;
    }
    rowcommit_call_free(call);
    done(ctx, &reported);
}

struct rowcommit_call *
rowcommit_call_create(struct rowcommit *commit,
                      const struct rowstore_write *parts, size_t count,
                      rowstore_cb done, void *ctx)
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
    rowcommit_call_move(call, &commit->waiting);
    return call;
}

void
rowcommit_plan_flush(struct rowcommit *commit, int64_t delay_us)
{
    const int64_t at_us = node_now_us(commit->node) + delay_us;
    if (commit->flush_us == 0 || at_us < commit->flush_us) {
        commit->flush_us = at_us;
        timer_start_at(&commit->flush, at_us);
    }
}

void
rowcommit_requeue(struct rowcommit_call *call)
{
    call->transaction = NULL;
    rowcommit_call_move(call, &call->commit->waiting);
    rowcommit_plan_flush(call->commit, SOON_DELAY_US);
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
    rowcommit_call_end(call,
                       &(struct rowstore_result){.outcome = ROWSTORE_CONFLICT,
                                                 .version = result->version,
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
            rowcommit_requeue(call);
        }
        else {
            /* A call that was cancelled had the conflict, or the answer
             * contradicts itself. In any case nothing was written. */
            rowcommit_call_end(
                call, &(struct rowstore_result){.outcome = ROWSTORE_REFUSED});
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
                rowcommit_call_end(transaction->calls[i], result);
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
            rowcommit_call_move(call, &commit->sent);
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
        rowcommit_plan_flush(commit, SOON_DELAY_US);
    }
}

void
rowcommit_dispatch(struct rowcommit_call *call)
{
    struct rowcommit *commit = call->commit;
    const struct instancetable_instance *peer =
        feedrelay_choose_peer(commit->node->feeds);
    if (peer != NULL) {
        rowcommitpeer_send(call, peer);
    }
    else {
        rowcommit_call_move(call, &commit->waiting);
        rowcommit_plan_flush(commit, rowcommit_delay_us(call->urgency));
    }
}

struct rowcommit_call *
rowcommit_start(struct rowcommit *commit, const struct rowstore_write *parts,
                size_t count, enum rowcommit_urgency urgency, rowstore_cb done,
                void *ctx)
{
    struct rowcommit_call *call =
        rowcommit_call_create(commit, parts, count, done, ctx);
    call->urgency = urgency;
    rowcommit_dispatch(call);
    return call;
}

struct rowcommit *
rowcommit_create(struct node *node)
{
    struct rowcommit *commit = memory_calloc(1, sizeof(*commit));
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
    rowcommitpeer_serve(commit);
    return commit;
}

static void
drop_calls(struct rowcommit_calls *calls)
{
    struct rowcommit_call *call = TAILQ_FIRST(calls);
    while (call != NULL) {
        struct rowcommit_call *next = TAILQ_NEXT(call, link);
        if (rowcommitpeer_serves(call)) {
            rpc_request_drop(call->ctx);
        }
        rowcommit_call_free(call);
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
