/**
 * @file
 * Writes leases. The instance of an availability zone from which the others
 * read the store also writes their leases, many in one transaction; an
 * instance that gets no answer from it writes its own.
 */
#ifndef CHESTNUTGAP_NODE_LEASEBATCH_H
#define CHESTNUTGAP_NODE_LEASEBATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "store/rowstore.h"

struct leasebatch;
struct leasebatch_write;
struct node;

/** Registers its procedure with the RPC node. Aborts if out of memory. */
struct leasebatch *leasebatch_create(struct node *node);
void leasebatch_destroy(struct leasebatch *batch);

/** A lease to be written; the strings are copied. */
struct leasebatch_lease {
    const char *key;   /**< of its row */
    uint64_t expected; /**< version of the row; 0: no row */
    const char *text;
    bool urgent; /**< not to be delayed until there are more leases */
};

/** Writes a lease. The result is as that of a commit; in a conflict, its only
 * row is the lease's present one, if there is any. */
struct leasebatch_write *leasebatch_start(struct leasebatch *batch,
                                          const struct leasebatch_lease *lease,
                                          rowstore_cb done, void *ctx);
void leasebatch_cancel(struct leasebatch_write *write);

#endif
