/**
 * @file
 * Rows and objects of the in-memory store. All calls are synchronous.
 */
#ifndef CHESTNUTGAP_STORE_STORETABLES_H
#define CHESTNUTGAP_STORE_STORETABLES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store/store.h"

#define STORE_SCAN_ROWS_MAX 1000 /* most rows of one scan */

/** Tables of rows ordered by name, and objects. */
struct store_tables;

struct store_tables *store_tables_create(void);
void store_tables_destroy(struct store_tables *tables);

/** Commit sequence number of the last commit, 0 before the first. */
uint64_t store_tables_version(const struct store_tables *tables);

/**
 * Checks the conditions and, if all hold, does the writes. The outcome is
 * STORE_COMMITTED or STORE_CONFLICT; its names are those of txn.
 */
void store_tables_commit(struct store_tables *tables,
                         const struct store_txn *txn,
                         struct store_commit_result *result);

/** Reads a row. Its strings and value live as long as the row's version. */
void store_tables_read(const struct store_tables *tables, const char *table,
                       const char *row, struct store_row *result);

/**
 * Reads up to max rows in order of their names. Deleted rows are among them
 * only if the scan has a "since".
 *
 * @param more set to whether rows were left out because of max
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

/** Number of rows of all tables, deleted ones included. */
size_t store_tables_row_count(const struct store_tables *tables);

#endif
