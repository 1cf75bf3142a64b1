/**
 * @file
 * Shared by the rowcommit modules: the queue and its transactions
 * (rowcommit.c), and calls to and from other instances (rowcommitpeer.c).
 */
#ifndef CHESTNUTGAP_NODE_ROWCOMMIT_INTERNAL_H
#define CHESTNUTGAP_NODE_ROWCOMMIT_INTERNAL_H

#include <sys/queue.h>

#include "node/node_internal.h"
#include "node/rowcommit.h"

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

/* rowcommit.c */

/** Longest time that a call waits for others to be committed with. */
int64_t rowcommit_delay_us(enum rowcommit_urgency urgency);

/** Copies the parts; the call waits until a flush is planned. */
struct rowcommit_call *
rowcommit_call_create(struct rowcommit *commit,
                      const struct rowstore_write *parts, size_t count,
                      rowstore_cb done, void *ctx);
void rowcommit_call_move(struct rowcommit_call *call,
                         struct rowcommit_calls *list);
void rowcommit_call_free(struct rowcommit_call *call);

/** Frees the call, then calls back. */
void rowcommit_call_end(struct rowcommit_call *call,
                        const struct rowstore_result *result);

void rowcommit_plan_flush(struct rowcommit *commit, int64_t delay_us);

/** Has the call committed by this instance. */
void rowcommit_requeue(struct rowcommit_call *call);

/** Gives the call to another instance, or queues it for the store. */
void rowcommit_dispatch(struct rowcommit_call *call);

/* rowcommitpeer.c */

/** Registers the procedure by which other instances have calls committed. */
void rowcommitpeer_serve(struct rowcommit *commit);

/** Sends the call to another instance. */
void rowcommitpeer_send(struct rowcommit_call *call,
                        const struct instancetable_instance *peer);

/** True if the call is of another instance; ctx is its RPC request. */
bool rowcommitpeer_serves(const struct rowcommit_call *call);

#endif
