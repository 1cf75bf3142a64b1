/**
 * @file
 * Transactions of this instance in the store. The instance of an availability
 * zone from which the others read the store (fleet/feedsource.h) also commits
 * their transactions, several in one; an instance that gets no answer from it
 * commits its own, and one that the store turns away uses another instance.
 */
#ifndef CHESTNUTGAP_NODE_ROWCOMMIT_H
#define CHESTNUTGAP_NODE_ROWCOMMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "store/rowstore.h"

/* The store takes 100 conditions and writes in a call. */
#define ROWCOMMIT_PARTS_MAX 49

struct node;
struct rowcommit;
struct rowcommit_call;

/** How long a transaction may wait for others to be committed with. */
enum rowcommit_urgency {
    ROWCOMMIT_SOON,  /**< some milliseconds */
    ROWCOMMIT_LATER, /**< half a second */
};

/** Registers its procedure with the RPC node. Aborts if out of memory. */
struct rowcommit *rowcommit_create(struct node *node);
void rowcommit_destroy(struct rowcommit *commit);

/**
 * Commits a transaction of at most ROWCOMMIT_PARTS_MAX parts, which are
 * copied. The result is as that of the store; it may also be UNKNOWN because
 * the other instance gave no answer, and the transaction may then take effect
 * at any later time if its conditions still hold.
 */
struct rowcommit_call *rowcommit_start(struct rowcommit *commit,
                                       const struct rowstore_write *parts,
                                       size_t count,
                                       enum rowcommit_urgency urgency,
                                       rowstore_cb done, void *ctx);

/** Ends a call without a callback; the transaction may still take effect. */
void rowcommit_cancel(struct rowcommit_call *call);

#endif
