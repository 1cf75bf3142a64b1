/**
 * @file
 * Interface of the platform's store of versioned rows with a change feed. One
 * counter, which rises with every transaction, gives all rows their versions,
 * so reading a row again resolves an unknown outcome.
 *
 * The store may return from an older copy of itself. Its counter then goes
 * back, and a new era begins. Versions here hold the era in their upper bits,
 * so that they always rise: all rows of an era, also those of the copy, have
 * higher versions than any of an earlier era.
 */
#ifndef CHESTNUTGAP_STORE_ROWSTORE_H
#define CHESTNUTGAP_STORE_ROWSTORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROWSTORE_NAME_MAX 199 /* bytes of a table's or row's name */
/* 5,000 transactions a second for 7 years; eras below 8,192 leave versions
 * exact in JSON readers that use doubles. */
#define ROWSTORE_COUNTER_BITS 40
#define ROWSTORE_COUNTER_MAX ((UINT64_C(1) << ROWSTORE_COUNTER_BITS) - 1)
/* Versions are fences too, which are signed numbers in JSON. */
#define ROWSTORE_ERA_MAX ((UINT64_C(1) << (63 - ROWSTORE_COUNTER_BITS)) - 1)

/** The era that a version belongs to; 0: the store tells none. */
static inline uint64_t
rowstore_era(uint64_t version)
{
    return version >> ROWSTORE_COUNTER_BITS;
}

enum rowstore_outcome {
    ROWSTORE_DONE,         /**< took effect, or the read succeeded */
    ROWSTORE_CONFLICT,     /**< a condition failed; nothing was written */
    ROWSTORE_REFUSED,      /**< certain never to take effect */
    ROWSTORE_UNKNOWN,      /**< no answer: may take effect now or later */
    ROWSTORE_HISTORY_GONE, /**< restart the feed from a new read */
};

/** A row as read. Valid during the callback only. */
struct rowstore_row {
    const char *key;
    uint64_t version; /**< 0: no row */
    bool removed;
    const char *value; /**< NUL-terminated; empty if removed */
    size_t size;       /**< bytes of value */
};

/** Result of a call. Valid during the callback only. */
struct rowstore_result {
    enum rowstore_outcome outcome;
    const struct rowstore_row *rows; /**< if DONE or CONFLICT */
    size_t row_count;
    uint64_t version; /**< latest version in the store at that time; after a
                         CONFLICT only its era is certain */
    bool more;        /**< a read's limit left out rows */
};

typedef void (*rowstore_cb)(void *ctx, const struct rowstore_result *result);

/** Part of a transaction: a condition and, unless check_only, a write or
 * deletion. */
struct rowstore_write {
    const char *table;
    const char *key;
    uint64_t expected; /**< required version of the row; 0: no row */
    bool check_only;
    const char *value; /**< NULL deletes the row */
    size_t size;
};

/** Rows to read, in order of key. */
struct rowstore_range {
    const char *table;
    const char *from; /**< inclusive, or NULL */
    const char *to;   /**< exclusive, or NULL */
};

/** An outstanding call. */
struct rowstore_call;

struct rowstore_ops {
    struct rowstore_call *(*read)(void *impl,
                                  const struct rowstore_range *range,
                                  int64_t timeout_us, rowstore_cb callback,
                                  void *ctx);
    struct rowstore_call *(*feed)(void *impl, const char *table,
                                  uint64_t after, int64_t wait_us,
                                  int64_t timeout_us, rowstore_cb callback,
                                  void *ctx);
    struct rowstore_call *(*commit)(void *impl,
                                    const struct rowstore_write *writes,
                                    size_t count, int64_t timeout_us,
                                    rowstore_cb callback, void *ctx);
    void (*cancel)(void *impl, struct rowstore_call *call);
};

/** An implementation and its context pointer. Each call runs its callback
 * exactly once, asynchronously, unless it is cancelled. */
struct rowstore {
    const struct rowstore_ops *ops;
    void *impl;
};

#endif
