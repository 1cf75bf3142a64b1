/**
 * @file
 * The audit trail: a row in the table "audit" for each change, written in the
 * same transaction as the change.
 */
#ifndef CHESTNUTGAP_STORE_AUDIT_H
#define CHESTNUTGAP_STORE_AUDIT_H

#include <stdint.h>

#include <jansson.h>

#include "store/store.h"

#define AUDIT_TABLE "audit"
#define AUDIT_ROW_NAME_SIZE 38 /* bytes, including the terminator */

/** A recorded change. NULL fields are omitted from the row. */
struct audit_entry {
    const char *who;     /**< instance or operator */
    const char *what;    /**< action, for example "fence" */
    const char *subject; /**< what was changed, for example "SERVICE/12" */
    json_t *before;      /**< borrowed */
    json_t *after;       /**< borrowed */
    const char *why;
    const char *result;
    int64_t at_us; /**< wall-clock time since 1970 */
};

/** Adds a write of the entry's row to the transaction. */
void audit_add(struct store_txn *txn, const struct audit_entry *entry);

/** Row name: time, then transaction id, so that names sort by time. */
void audit_row_name(int64_t at_us, uint64_t txn_id,
                    char name[AUDIT_ROW_NAME_SIZE]);

/** Time for at_us. Base no decision on it. */
int64_t audit_wall_clock_us(void);

#endif
