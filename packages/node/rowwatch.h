/**
 * @file
 * Follows one table of the store: reads it, then takes the feed of changes,
 * and reads it again when the feed's history is gone. A row is reported once
 * for each newer version; versions never go back.
 */
#ifndef CHESTNUTGAP_NODE_ROWWATCH_H
#define CHESTNUTGAP_NODE_ROWWATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "store/rowstore.h"

struct runtime;
struct rowwatch;

struct rowwatch_options {
    struct runtime *runtime;
    const struct rowstore *store;
    const char *table;
    void (*row)(void *ctx, const struct rowstore_row *row);
    /** All rows of a reading or of a piece of the feed were reported. */
    void (*settled)(void *ctx);
    /** The store was lost, or answers again. */
    void (*reachable)(void *ctx, bool reachable);
    void *ctx;
};

/** Starts at once. Aborts when memory is short. */
struct rowwatch *rowwatch_create(const struct rowwatch_options *options);
void rowwatch_destroy(struct rowwatch *watch);

/** Reads the table again, as when it must be newer than some event. */
void rowwatch_refresh(struct rowwatch *watch);

/** Time between an answer of the feed and the next question. */
void rowwatch_set_feed_pause(struct rowwatch *watch, int64_t pause_us);

/** Version of the store up to which all rows were reported; 0: none yet. */
uint64_t rowwatch_version(const struct rowwatch *watch);

/** Takes over a row that this process has just written or seen otherwise. */
void rowwatch_apply_row(struct rowwatch *watch,
                        const struct rowstore_row *row);

/** Takes over the row of that name that stood against a write, if one did. */
void rowwatch_apply_conflict(struct rowwatch *watch,
                             const struct rowstore_result *result,
                             const char *key);

/** Version of a row as known, 0 if there is none. */
uint64_t rowwatch_row_version(const struct rowwatch *watch, const char *key);

#endif
