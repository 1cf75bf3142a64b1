#include "node/leasebatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "lease"
#include "base/log.h"
#include "base/memory.h"
#include "node/feedrelay.h"
#include "node/node_internal.h"
#include "protocol/procedures.h"

/* The store takes 100 conditions and writes in a call. */
#define TRANSACTION_LEASES_MAX 48
#define RENEWAL_DELAY_US (500 * US_PER_MS)
#define URGENT_DELAY_US (40 * US_PER_MS)
#define COMMIT_TIMEOUT_US (1 * US_PER_SECOND)
#define PEER_TIMEOUT_US (RENEWAL_DELAY_US + 300 * US_PER_MS)

struct transaction;

TAILQ_HEAD(leasebatch_writes, leasebatch_write);

struct leasebatch_write {
    TAILQ_ENTRY(leasebatch_write) link;
    struct leasebatch *batch;
    struct leasebatch_writes *list;  /* that it is in */
    struct transaction *transaction; /* NULL while it waits */
    struct rpc_call *peer_call;      /* another instance writes it */
    char peer[KEYMAP_NAME_MAX + 1];
    char *key;
    char *text;
    uint64_t expected;
    rowstore_cb done;
    void *ctx;
};

/** Leases that are being committed. */
struct transaction {
    LIST_ENTRY(transaction) link;
    struct leasebatch *batch;
    struct rowstore_call *call;
    struct leasebatch_write *writes[TRANSACTION_LEASES_MAX]; /* NULL: ended */
    size_t count;
};

LIST_HEAD(transactions, transaction);

struct leasebatch {
    struct node *node;
    struct leasebatch_writes waiting;
    struct leasebatch_writes sent; /* to a peer or to the store */
    struct transactions transactions;
    struct timer flush;
    int64_t flush_us; /* 0: not planned */
    struct counter *transactions_started;
    struct counter *leases_written;
};

static void
write_move(struct leasebatch_write *write, struct leasebatch_writes *list)
{
    if (write->list != NULL) {
        TAILQ_REMOVE(write->list, write, link);
    }
    write->list = list;
    TAILQ_INSERT_TAIL(list, write, link);
}

static void
write_free(struct leasebatch_write *write)
{
    TAILQ_REMOVE(write->list, write, link);
    if (write->peer_call != NULL) {
        rpc_call_cancel(write->peer_call);
    }
    for (size_t i = 0;
         write->transaction != NULL && i < write->transaction->count; i++) {
        if (write->transaction->writes[i] == write) {
            write->transaction->writes[i] = NULL;
        }
    }
    free(write->key);
    free(write->text);
    free(write);
}

void
leasebatch_cancel(struct leasebatch_write *write)
{
    write_free(write);
}

static void
write_end(struct leasebatch_write *write, const struct rowstore_result *result)
{
    const rowstore_cb done = write->done;
    void *ctx = write->ctx;
    write_free(write);
    done(ctx, result);
}

static void
plan_flush(struct leasebatch *batch, bool urgent)
{
    const int64_t at_us = node_now_us(batch->node) +
                          (urgent ? URGENT_DELAY_US : RENEWAL_DELAY_US);
    if (batch->flush_us == 0 || at_us < batch->flush_us) {
        batch->flush_us = at_us;
        timer_start_at(&batch->flush, at_us);
    }
}

/** Puts a write back among those that wait. */
static void
requeue(struct leasebatch_write *write, bool urgent)
{
    struct leasebatch *batch = write->batch;
    write->transaction = NULL;
    write_move(write, &batch->waiting);
    plan_flush(batch, urgent);
}

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
is_in_conflict(const struct leasebatch_write *write,
               const struct rowstore_row *row)
{
    return (row != NULL ? row->version : 0) != write->expected;
}

/** Ends the writes whose rows differ and repeats the others. */
static void
end_conflict(const struct transaction *transaction,
             const struct rowstore_result *result)
{
    bool any = false;
    for (size_t i = 0; i < transaction->count; i++) {
        const struct leasebatch_write *write = transaction->writes[i];
        any = any || (write != NULL &&
                      is_in_conflict(write, find_row(result, write->key)));
    }
    for (size_t i = 0; i < transaction->count; i++) {
        struct leasebatch_write *write = transaction->writes[i];
        if (write == NULL) {
            continue;
        }
        const struct rowstore_row *row = find_row(result, write->key);
        if (is_in_conflict(write, row)) {
            write_end(write, &(struct rowstore_result){
                                 .outcome = ROWSTORE_CONFLICT,
                                 .rows = row,
                                 .row_count = row != NULL ? 1 : 0,
                             });
        }
        else if (any) {
            requeue(write, true);
        }
        else {
            write_end(write,
                      &(struct rowstore_result){.outcome = ROWSTORE_REFUSED});
        }
    }
}

static void
on_committed(void *ctx, const struct rowstore_result *result)
{
    struct transaction *transaction = ctx;
    LIST_REMOVE(transaction, link);
    transaction->call = NULL;
    if (result->outcome == ROWSTORE_CONFLICT) {
        end_conflict(transaction, result);
    }
    else {
        for (size_t i = 0; i < transaction->count; i++) {
            if (transaction->writes[i] != NULL) {
                write_end(transaction->writes[i], result);
            }
        }
    }
    free(transaction);
}

static bool
has_key(const struct transaction *transaction, const char *key)
{
    for (size_t i = 0; i < transaction->count; i++) {
        if (strcmp(transaction->writes[i]->key, key) == 0) {
            return true;
        }
    }
    return false;
}

/** Moves waiting writes into the transaction, one of each key. */
static void
fill_transaction(struct transaction *transaction)
{
    struct leasebatch *batch = transaction->batch;
    struct leasebatch_write *write = TAILQ_FIRST(&batch->waiting);
    while (write != NULL && transaction->count < TRANSACTION_LEASES_MAX) {
        struct leasebatch_write *next = TAILQ_NEXT(write, link);
        if (!has_key(transaction, write->key)) {
            write_move(write, &batch->sent);
            write->transaction = transaction;
            transaction->writes[transaction->count++] = write;
        }
        write = next;
    }
}

static void
on_flush(void *ctx)
{
    struct leasebatch *batch = ctx;
    const struct rowstore *store = &batch->node->options.store;
    batch->flush_us = 0;
    if (TAILQ_EMPTY(&batch->waiting)) {
        return;
    }
    struct transaction *transaction = memory_calloc(1, sizeof(*transaction));
    struct rowstore_write parts[TRANSACTION_LEASES_MAX];
    transaction->batch = batch;
    fill_transaction(transaction);
    for (size_t i = 0; i < transaction->count; i++) {
        const struct leasebatch_write *write = transaction->writes[i];
        parts[i] = (struct rowstore_write){
            .table = NODE_LEASE_TABLE,
            .key = write->key,
            .expected = write->expected,
            .value = write->text,
            .size = strlen(write->text),
        };
    }
    LIST_INSERT_HEAD(&batch->transactions, transaction, link);
    batch->transactions_started->value++;
    batch->leases_written->value += (int64_t)transaction->count;
    transaction->call =
        store->ops->commit(store->impl, parts, transaction->count,
                           COMMIT_TIMEOUT_US, on_committed, transaction);
    if (!TAILQ_EMPTY(&batch->waiting)) {
        plan_flush(batch, true);
    }
}

static struct leasebatch_write *
write_create(struct leasebatch *batch, const struct leasebatch_lease *lease,
             rowstore_cb done, void *ctx)
{
    struct leasebatch_write *write = memory_calloc(1, sizeof(*write));
    write->batch = batch;
    write->key = memory_strdup(lease->key);
    write->text = memory_strdup(lease->text);
    write->expected = lease->expected;
    write->done = done;
    write->ctx = ctx;
    write_move(write, &batch->waiting);
    return write;
}

/* Calls to the instance that writes the leases of its zone. */

static void
deliver_answer(struct leasebatch_write *write,
               const struct relay_lease_written *answer)
{
    static const enum rowstore_outcome outcomes[] = {
        [RELAY_WRITE_DONE] = ROWSTORE_DONE,
        [RELAY_WRITE_CONFLICT] = ROWSTORE_CONFLICT,
        [RELAY_WRITE_REFUSED] = ROWSTORE_REFUSED,
        [RELAY_WRITE_UNKNOWN] = ROWSTORE_UNKNOWN,
    };
    const u_int size = answer->row.value.value_len;
    char *value = memory_calloc(size + 1, 1);
    memcpy(value, answer->row.value.value_val, size);
    const struct rowstore_row row = {
        .key = answer->row.key,
        .version = answer->row.row_version,
        .value = value,
        .size = size,
    };
    write_end(write, &(struct rowstore_result){
                         .outcome = outcomes[answer->outcome],
                         .version = answer->store_version,
                         .rows = &row,
                         .row_count = row.version > 0 ? 1 : 0,
                     });
    free(value);
}

static void
on_peer_answer(void *ctx, enum rpc_status status, const void *result)
{
    struct leasebatch_write *write = ctx;
    const struct relay_lease_written *answer = result;
    write->peer_call = NULL;
    if (status == RPC_OK && answer->outcome != RELAY_WRITE_REFUSED) {
        deliver_answer(write, answer);
        return;
    }
    LOG_INFO("peer_lease_failed", LOG_STR("peer", write->peer),
             LOG_INT("status", status));
    feedrelay_record_peer_failure(write->batch->node->feeds, write->peer);
    requeue(write, true);
}

static void
send_to_peer(struct leasebatch_write *write,
             const struct instancetable_instance *peer, bool urgent)
{
    struct leasebatch *batch = write->batch;
    memcpy(write->peer, peer->instance_row.instance, sizeof(write->peer));
    const struct relay_lease lease = {
        .to = write->peer,
        .key = write->key,
        .expected = write->expected,
        .urgent = urgent,
        .text = {(u_int)strlen(write->text), write->text},
    };
    const struct rpc_call_spec spec = {
        .peer = &peer->instance_row.address,
        .channel = RPC_TCP,
        .procedure = PROCEDURE_LEASE,
        .encode_args = (xdrproc_t)xdr_relay_lease,
        .args = &lease,
        .decode_result = (xdrproc_t)xdr_relay_lease_written,
        .result_size = sizeof(struct relay_lease_written),
        .timeout_us = PEER_TIMEOUT_US,
        .done = on_peer_answer,
        .ctx = write,
    };
    write_move(write, &batch->sent);
    write->peer_call = rpc_call_start(batch->node->rpc, &spec);
}

struct leasebatch_write *
leasebatch_start(struct leasebatch *batch,
                 const struct leasebatch_lease *lease, rowstore_cb done,
                 void *ctx)
{
    struct leasebatch_write *write = write_create(batch, lease, done, ctx);
    const struct instancetable_instance *peer =
        feedrelay_choose_peer(batch->node->feeds);
    if (peer != NULL) {
        send_to_peer(write, peer, lease->urgent);
    }
    else {
        plan_flush(batch, lease->urgent);
    }
    return write;
}

/* Leases of other instances. */

static void
on_served(void *ctx, const struct rowstore_result *result)
{
    static const relay_write_outcome outcomes[] = {
        [ROWSTORE_DONE] = RELAY_WRITE_DONE,
        [ROWSTORE_CONFLICT] = RELAY_WRITE_CONFLICT,
        [ROWSTORE_REFUSED] = RELAY_WRITE_REFUSED,
        [ROWSTORE_UNKNOWN] = RELAY_WRITE_UNKNOWN,
        [ROWSTORE_HISTORY_GONE] = RELAY_WRITE_UNKNOWN,
    };
    struct relay_lease_written answer = {
        .outcome = outcomes[result->outcome],
        .store_version = result->version,
        .row = {.key = ""},
    };
    if (result->outcome == ROWSTORE_CONFLICT && result->row_count > 0) {
        const struct rowstore_row *row = &result->rows[0];
        answer.row = (relay_row){
            .key = (char *)row->key,
            .row_version = row->version,
            .value = {(u_int)row->size, (char *)row->value},
        };
    }
    rpc_request_reply(ctx, &answer);
}

static void
serve_lease(void *ctx, struct rpc_request *request, const void *args)
{
    struct leasebatch *batch = ctx;
    const struct relay_lease *asked = args;
    if (strcmp(asked->to, batch->node->settings.instance) != 0) {
        rpc_request_drop(request);
        return;
    }
    char *text = memory_calloc(asked->text.text_len + 1, 1);
    memcpy(text, asked->text.text_val, asked->text.text_len);
    const struct leasebatch_lease lease = {
        .key = asked->key,
        .expected = asked->expected,
        .text = text,
    };
    rpc_request_set_data(request,
                         write_create(batch, &lease, on_served, request));
    plan_flush(batch, asked->urgent);
    free(text);
}

static void
serve_lease_cancelled(void *ctx, struct rpc_request *request)
{
    (void)ctx;
    write_free(rpc_request_data(request));
    rpc_request_drop(request);
}

struct leasebatch *
leasebatch_create(struct node *node)
{
    struct leasebatch *batch = memory_calloc(1, sizeof(*batch));
    const struct rpc_procedure procedure = {
        .number = PROCEDURE_LEASE,
        .channel = RPC_TCP,
        .decode_args = (xdrproc_t)xdr_relay_lease,
        .args_size = sizeof(struct relay_lease),
        .encode_result = (xdrproc_t)xdr_relay_lease_written,
        .handle = serve_lease,
        .cancelled = serve_lease_cancelled,
        .ctx = batch,
    };
    batch->node = node;
    TAILQ_INIT(&batch->waiting);
    TAILQ_INIT(&batch->sent);
    timer_init(&batch->flush, node->runtime, on_flush, batch);
    batch->transactions_started =
        counter_add(node->options.counters, "lease_transactions",
                    "transactions that write leases");
    batch->leases_written =
        counter_add(node->options.counters, "lease_writes",
                    "leases in these transactions, also of other instances");
    rpc_node_serve(node->rpc, &procedure);
    return batch;
}

static void
drop_writes(struct leasebatch_writes *writes)
{
    struct leasebatch_write *write = TAILQ_FIRST(writes);
    while (write != NULL) {
        struct leasebatch_write *next = TAILQ_NEXT(write, link);
        if (write->done == on_served) {
            rpc_request_drop(write->ctx);
        }
        write_free(write);
        write = next;
    }
}

void
leasebatch_destroy(struct leasebatch *batch)
{
    if (batch == NULL) {
        return;
    }
    const struct rowstore *store = &batch->node->options.store;
    timer_stop(&batch->flush);
    drop_writes(&batch->waiting);
    drop_writes(&batch->sent);
    struct transaction *transaction = LIST_FIRST(&batch->transactions);
    while (transaction != NULL) {
        struct transaction *next = LIST_NEXT(transaction, link);
        store->ops->cancel(store->impl, transaction->call);
        free(transaction);
        transaction = next;
    }
    free(batch);
}
