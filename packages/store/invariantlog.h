/**
 * @file
 * Records violations of invariants (base/invariant.h) in the audit trail as
 * they are found, and the totals when the process stops. A store outage delays
 * these rows; a crash loses only those not written yet.
 */
#ifndef CHESTNUTGAP_STORE_INVARIANTLOG_H
#define CHESTNUTGAP_STORE_INVARIANTLOG_H

#include <stdbool.h>

#include "base/runtime.h"
#include "store/store.h"

/* Values of audit_entry.what. */
#define INVARIANTLOG_VIOLATION "promise_broken"
#define INVARIANTLOG_TOTALS "promises"

struct invariantlog;

/** Called when the totals are written, or not in time. */
typedef void (*invariantlog_cb)(void *ctx, bool written);

/**
 * Sets the process-wide handler of invariant violations, so there can be one
 * log in a process. Aborts if out of memory.
 */
struct invariantlog *invariantlog_create(struct runtime *runtime,
                                         const struct store *store,
                                         const char *instance);

/** Destroy the store's implementation first, so that it runs no callback
 * afterwards. */
void invariantlog_destroy(struct invariantlog *log);

/**
 * Writes outstanding violations and the totals, for at most limit_us.
 * callback may be NULL.
 */
void invariantlog_finish(struct invariantlog *log, int64_t limit_us,
                         invariantlog_cb callback, void *ctx);

#endif
