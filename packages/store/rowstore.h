/**
 * @file
 * A store of versioned rows with a feed of changes, as the platform offers
 * it. Each row's version comes from one counter that rises with every
 * transaction, so an unknown outcome is resolved by reading the row again.
 */
#ifndef CHESTNUTGAP_STORE_ROWSTORE_H
#define CHESTNUTGAP_STORE_ROWSTORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROWSTORE_NAME_MAX 199  /* bytes of a table's or row's name */
#define ROWSTORE_WRITES_MAX 16 /* entries of one transaction */

enum rowstore_outcome {
    ROWSTORE_DONE,         /**< it took effect, or the read succeeded */
    ROWSTORE_CONFLICT,     /**< a condition did not hold; nothing was done */
    ROWSTORE_REFUSED,      /**< nothing was done and never will be */
    ROWSTORE_UNKNOWN,      /**< no answer: may be done, or done later */
    ROWSTORE_HISTORY_GONE, /**< the feed must begin with a read again */
};

/** A row as read. Valid during the callback. */
struct rowstore_row {
    const char *key;
    uint64_t version; /**< 0: there is no such row */
    bool removed;
    const char *value; /**< terminated; empty if removed */
    size_t size;       /**< bytes of value */
};

/** Result of a call. Valid during the callback. */
struct rowstore_result {
    enum rowstore_outcome outcome;
    const struct rowstore_row *rows; /**< with DONE and CONFLICT */
    size_t row_count;
    uint64_t version; /**< newest version of the store at that moment */
    bool more;        /**< a read's limit was reached */
};

typedef void (*rowstore_cb)(void *ctx, const struct rowstore_result *result);

/** One entry of a transaction: a condition, with a write or a deletion unless
 * it is only a condition. */
struct rowstore_write {
    const char *table;
    const char *key;
    uint64_t expected; /**< version that the row must have; 0: no row */
    bool check_only;
    const char *value; /**< NULL: the row is deleted */
    size_t size;
};

/** Which rows to read, in the order of their keys. */
struct rowstore_range {
    const char *table;
    const char *from; /**< first key, or NULL */
    const char *to;   /**< first key that is left out, or NULL */
};

/** A call that is not finished. */
struct rowstore_call;

struct rowstore_ops {
    struct rowstore_call *(*read)(void *impl,
                                  const struct rowstore_range *range,
                                  int64_t timeout_us, rowstore_cb done,
                                  void *ctx);
    struct rowstore_call *(*feed)(void *impl, const char *table,
                                  uint64_t after, int64_t wait_us,
                                  int64_t timeout_us, rowstore_cb done,
                                  void *ctx);
    struct rowstore_call *(*commit)(void *impl,
                                    const struct rowstore_write *writes,
                                    size_t count, int64_t timeout_us,
                                    rowstore_cb done, void *ctx);
    void (*cancel)(void *impl, struct rowstore_call *call);
};

/** A store: operations and the implementation's context pointer. Each call
 * answers exactly once, never within the call, unless it is cancelled. */
struct rowstore {
    const struct rowstore_ops *ops;
    void *impl;
};

#endif
