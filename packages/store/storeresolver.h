/**
 * @file
 * Commits whose lost answers are resolved. A commit that ends as
 * STORE_UNKNOWN may have taken effect, or may still: a delayed write lands
 * whenever its conditions hold. So the rows are read back, and:
 *
 * - a written row with the transaction's id proves that it took effect;
 * - a condition that no longer holds proves that it cannot take effect any
 *   more; a row that it would have written, and that was not written by
 *   then, proves that it did not before either;
 * - if all conditions hold, the same transaction is sent again. One of the
 *   two takes effect, and the other is refused by the conditions.
 *
 * The last rule needs a row that is both a condition and written, which
 * every transaction given to a resolver must have.
 */
#ifndef CHESTNUTGAP_STORE_STORERESOLVER_H
#define CHESTNUTGAP_STORE_STORERESOLVER_H

#include <stdint.h>

#include "base/runtime.h"
#include "store/store.h"

struct store_resolver_options {
    int64_t retry_us; /**< pause before each attempt to resolve */
    int64_t limit_us; /**< gives up as STORE_UNKNOWN after this time */
};

/** Resolves the commits of one owner. */
struct store_resolver;

/** Aborts when memory is short. The store is copied. */
struct store_resolver *
store_resolver_create(struct runtime *runtime, const struct store *store,
                      const struct store_resolver_options *options);

/**
 * Drops the commits in progress without callbacks. Destroy the store's
 * implementation first, so that it calls back no more.
 */
void store_resolver_destroy(struct store_resolver *resolver);

/**
 * Commits a copy of txn. The outcome is STORE_UNKNOWN only if the limit was
 * reached, or if every row that was written has been written again by
 * others since. result names the conflicting row as store_commit() does.
 */
void store_resolver_commit(struct store_resolver *resolver,
                           const struct store_txn *txn,
                           store_commit_cb callback, void *ctx);

#endif
