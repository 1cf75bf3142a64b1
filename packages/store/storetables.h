/**
 * @file
 * Rows and objects of the in-memory store, accessed synchronously.
 */
#ifndef CHESTNUTGAP_STORE_STORETABLES_H
#define CHESTNUTGAP_STORE_STORETABLES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store/store.h"

#define STORE_SCAN_ROWS_MAX 1000 /* maximum per scan */

struct store_tables;

struct store_tables *store_tables_create(void);
void store_tables_destroy(struct store_tables *tables);

/** Sequence number of the last commit; 0 before the first. */
uint64_t store_tables_version(const struct store_tables *tables);

/**
 * Applies the writes if all conditions hold. The outcome is STORE_COMMITTED
 * or STORE_CONFLICT, whose names point into txn.
 */
void store_tables_commit(struct store_tables *tables,
                         const struct store_txn *txn,
                         struct store_commit_result *result);

/** result keeps the names; its value is valid until the row is written. */
void store_tables_read(const struct store_tables *tables, const char *table,
                       const char *row, struct store_row *result);

/**
 * Reads up to max rows in order of name. Deleted rows are included only if
 * scan->since is set. Rows stay valid until they are written.
 *
 * @param more set to true if max left out rows
 * @return number of rows
 */
size_t store_tables_scan(const struct store_tables *tables,
                         const struct store_scan *scan, struct store_row *rows,
                         size_t max, bool *more);

void store_tables_put_object(struct store_tables *tables, const char *name,
                             const void *data, size_t size);

/** NULL if there is no object of that name. */
const void *store_tables_get_object(const struct store_tables *tables,
                                    const char *name, size_t *size);

/** Rows of all tables, including deleted ones. */
size_t store_tables_row_count(const struct store_tables *tables);

#endif
