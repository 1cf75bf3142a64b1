/**
 * @file
 * Keeps what a process finds out about its promises beyond its end: writes
 * broken ones to the audit trail as they are found, and the totals when the
 * process stops. A store that is down delays these rows; a process that is
 * lost takes with it only what it had not written yet.
 */
#ifndef CHESTNUTGAP_STORE_INVARIANTLOG_H
#define CHESTNUTGAP_STORE_INVARIANTLOG_H

#include <stdbool.h>

#include "base/runtime.h"
#include "store/store.h"

#define INVARIANTLOG_VIOLATION                                                \
    "promise_broken"                   /* audit: what, of a broken one */
#define INVARIANTLOG_TOTALS "promises" /* audit: what, of the totals */

struct invariantlog;

/** Called once the totals are written, or can't be in time. */
typedef void (*invariantlog_cb)(void *ctx, bool written);

/**
 * Becomes the handler of broken invariants (base/invariant.h). There can be
 * one in a process. Aborts when memory is short.
 */
struct invariantlog *invariantlog_create(struct runtime *runtime,
                                         const struct store *store,
                                         const char *instance);

/** Destroy the store's implementation first, so that it calls back no more. */
void invariantlog_destroy(struct invariantlog *log);

/**
 * Writes what is still to be written and the totals, for at most limit_us.
 * callback may be NULL.
 */
void invariantlog_finish(struct invariantlog *log, int64_t limit_us,
                         invariantlog_cb callback, void *ctx);

#endif
