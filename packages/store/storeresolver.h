/**
 * @file
 * Resolves commits of unknown outcome. A commit that ends as STORE_UNKNOWN may
 * have taken effect, or still may: a delayed write is applied whenever its
 * conditions hold. The resolver reads the rows back:
 *
 * - a written row with the transaction's id proves that it took effect;
 * - a failed condition proves that it can't take effect any more; a row to
 *   write that is then still unchanged proves that it didn't before;
 * - if all conditions hold, the same transaction is sent again. One of the
 *   two attempts takes effect, and the conditions reject the other.
 *
 * The last rule requires that every transaction given to a resolver has a row
 * that is both a condition and written.
 */
#ifndef CHESTNUTGAP_STORE_STORERESOLVER_H
#define CHESTNUTGAP_STORE_STORERESOLVER_H

#include <stdint.h>

#include "base/runtime.h"
#include "store/store.h"

struct store_resolver_options {
    int64_t read_back_delay_us; /**< before each read back */
    int64_t timeout_us;         /**< then the outcome is STORE_UNKNOWN */
};

struct store_resolver;

/** Copies store. Aborts if out of memory. */
struct store_resolver *
store_resolver_create(struct runtime *runtime, const struct store *store,
                      const struct store_resolver_options *options);

/**
 * Cancels outstanding commits without callbacks. Destroy the store's
 * implementation first, so that it runs no callback afterwards.
 */
void store_resolver_destroy(struct store_resolver *resolver);

/**
 * Commits a copy of txn. The outcome is STORE_UNKNOWN only after the timeout,
 * or if other transactions have overwritten all its rows. On a conflict,
 * result names the row as store_commit() does.
 */
void store_resolver_commit(struct store_resolver *resolver,
                           const struct store_txn *txn,
                           store_commit_cb callback, void *ctx);

#endif
