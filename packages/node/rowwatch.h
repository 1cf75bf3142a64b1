/**
 * @file
 * Follows one table of the store: scans it, then reads the feed of changes
 * from the store or another instance, and scans it again when the feed's
 * history is gone. A row is reported once for each newer version; versions
 * never decrease. Rows that are missing after the store returned from a copy
 * are reported as removed only if they are not written again soon.
 */
#ifndef CHESTNUTGAP_NODE_ROWWATCH_H
#define CHESTNUTGAP_NODE_ROWWATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/freshness.h"
#include "store/rowstore.h"

struct feedrelay;
struct runtime;
struct rowwatch;

struct rowwatch_options {
    struct runtime *runtime;
    const struct rowstore *store;
    struct feedrelay *feeds;
    const char *table;
    void (*row)(void *ctx, const struct rowstore_row *row);
    /** All rows of a scan or of an answer of the feed were reported. */
    void (*settled)(void *ctx);
    /** The store became unreachable, or answers again. */
    void (*reachable)(void *ctx, bool reachable);
    void *ctx;
};

/** Starts at once. Aborts if out of memory. */
struct rowwatch *rowwatch_create(const struct rowwatch_options *options);
void rowwatch_destroy(struct rowwatch *watch);

/** Scans the table again, to see all writes that were done before. */
void rowwatch_refresh(struct rowwatch *watch);

/** Sets the longest wait of a read for changes, from the next one on; 0: the
 * default. While nothing changes, knowledge gets as old as two reads take. */
void rowwatch_set_wait(struct rowwatch *watch, int64_t wait_us);

/** How new the reported rows are. */
const struct freshness *rowwatch_freshness(const struct rowwatch *watch);

/** Version of the store up to which all rows were reported; 0 if none yet. */
uint64_t rowwatch_version(const struct rowwatch *watch);

/** Reports a row that this process wrote or received from another instance, if
 * newer. */
void rowwatch_apply_row(struct rowwatch *watch,
                        const struct rowstore_row *row);

/** Reports the row of that key which a write conflicted with, if any. */
void rowwatch_apply_conflict(struct rowwatch *watch,
                             const struct rowstore_result *result,
                             const char *key);

/** True if the latest scan or feed succeeded. */
bool rowwatch_is_reachable(const struct rowwatch *watch);

/** Number of rows that were reported so far, in any version. */
uint64_t rowwatch_sequence(const struct rowwatch *watch);

/** Lists rows of later versions than after that were reported after the first
 * sequence ones. */
void rowwatch_list_changes(
    const struct rowwatch *watch, uint64_t after, uint64_t sequence,
    void (*row)(void *ctx, const struct rowstore_row *row), void *ctx);

/** Known version of a row, 0 if there is none. */
uint64_t rowwatch_row_version(const struct rowwatch *watch, const char *key);

/** True if the row is known to be in the store with that value. */
bool rowwatch_has_value(const struct rowwatch *watch, const char *key,
                        const char *value);

#endif
