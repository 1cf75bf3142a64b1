/**
 * @file
 * The audit trail: one row in the table "audit" for each change, written by
 * the transaction that makes the change.
 */
#ifndef CHESTNUTGAP_STORE_AUDIT_H
#define CHESTNUTGAP_STORE_AUDIT_H

#include <stdint.h>

#include <jansson.h>

#include "store/store.h"

#define AUDIT_TABLE "audit"
#define AUDIT_ROW_NAME_SIZE 38 /* bytes of a row's name with its terminator   \
                                */

/** What is recorded about a change. NULL strings and values are left out. */
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

/** Adds the entry's row to the transaction. */
void audit_add(struct store_txn *txn, const struct audit_entry *entry);

/** Writes the name of the row: time, then transaction, so names sort by time.
 */
void audit_row_name(int64_t at_us, uint64_t txn_id,
                    char name[AUDIT_ROW_NAME_SIZE]);

/** Wall-clock time for at_us. Do not decide anything by it. */
int64_t audit_wall_clock_us(void);

#endif
