/**
 * @file
 * The platform's transactional table service and object store, as the rest
 * of the program sees them. Implementations: the HTTP client (storehttp.h)
 * and the in-memory store of tests (storememory.h).
 *
 * The version of a row is the store's commit sequence number at the row's
 * last write, so versions of all rows are ordered by commit. A deleted row
 * keeps its version as a row without a value.
 */
#ifndef CHESTNUTGAP_STORE_STORE_H
#define CHESTNUTGAP_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#define STORE_NAME_MAX 191 /* bytes in a table's or row's name */

enum store_outcome {
    STORE_COMMITTED,   /**< it took effect (or the read succeeded) */
    STORE_CONFLICT,    /**< a condition did not hold; nothing was done */
    STORE_UNAVAILABLE, /**< proved not to have been done, now or later */
    STORE_UNKNOWN,     /**< may have been done, or may still be */
};

/** One row as read. */
struct store_row {
    const char *table;
    const char *name;
    uint64_t version; /**< 0: the row was never written */
    uint64_t txn_id;  /**< transaction that wrote this version */
    json_t *value;    /**< NULL if absent or deleted; borrowed */
};

/** Result of a commit. */
struct store_commit_result {
    enum store_outcome outcome;
    uint64_t version;  /**< version of the written rows if committed */
    const char *table; /**< row whose condition failed, on a conflict */
    const char *row;
};

/** Result of a read or scan. The rows are valid during the callback. */
struct store_read_result {
    enum store_outcome outcome; /**< COMMITTED or UNAVAILABLE */
    const struct store_row *rows;
    size_t row_count;
    uint64_t version; /**< the store's commit sequence number at the read */
    bool more;        /**< a scan's limit was reached; go on after the last */
};

typedef void (*store_commit_cb)(void *ctx,
                                const struct store_commit_result *result);
typedef void (*store_read_cb)(void *ctx,
                              const struct store_read_result *result);

/** Contents of an object, NULL if there is none. Valid in the callback. */
typedef void (*store_object_cb)(void *ctx, enum store_outcome outcome,
                                const void *data, size_t size);

/**
 * A transaction: conditions on row versions and the writes to do if all
 * hold. Its id is written with each row, which resolves a lost answer.
 */
struct store_txn;

/** id must be unique, for example random_u64(). Aborts without memory. */
struct store_txn *store_txn_create(uint64_t id);
void store_txn_destroy(struct store_txn *txn);

/** Condition: the row has this version (0: was never written). */
void store_txn_expect(struct store_txn *txn, const char *table,
                      const char *row, uint64_t version);

/** Writes the row. Steals the reference to value. */
void store_txn_put(struct store_txn *txn, const char *table, const char *row,
                   json_t *value);

void store_txn_delete(struct store_txn *txn, const char *table,
                      const char *row);

uint64_t store_txn_id(const struct store_txn *txn);

/** The transaction as JSON {"id", "expect": [...], "write": [...]}. */
json_t *store_txn_to_json(const struct store_txn *txn);

/** Selects the rows of a scan. */
struct store_scan {
    const char *table;
    const char *prefix; /**< of row names; "" for all */
    const char *after;  /**< only names after this one; NULL for all */
    uint64_t since;     /**< only versions above this; 0 for all */
    size_t limit;       /**< most rows to return; 0 for the store's limit */
};

/** Implementation of a store, selected at start. */
struct store_ops {
    void (*commit)(void *impl, const struct store_txn *txn,
                   store_commit_cb callback, void *ctx);
    void (*read)(void *impl, const char *table, const char *row,
                 store_read_cb callback, void *ctx);
    void (*scan)(void *impl, const struct store_scan *scan,
                 store_read_cb callback, void *ctx);
    void (*put_object)(void *impl, const char *name, const void *data,
                       size_t size, store_commit_cb callback, void *ctx);
    void (*get_object)(void *impl, const char *name, store_object_cb callback,
                       void *ctx);
};

/** A store: operations and the implementation's context pointer. */
struct store {
    const struct store_ops *ops;
    void *impl;
};

/*
 * Each call answers by its callback exactly once, later, never within the
 * call, and within the implementation's time limit. After the
 * implementation is destroyed no callback comes.
 */

/** Commits the transaction, which the caller still owns. */
void store_commit(const struct store *store, const struct store_txn *txn,
                  store_commit_cb callback, void *ctx);

/** Reads one row; the result has exactly one row if it succeeds. */
void store_read(const struct store *store, const char *table, const char *row,
                store_read_cb callback, void *ctx);

/** Reads rows in order of their names. */
void store_scan(const struct store *store, const struct store_scan *scan,
                store_read_cb callback, void *ctx);

void store_put_object(const struct store *store, const char *name,
                      const void *data, size_t size, store_commit_cb callback,
                      void *ctx);

void store_get_object(const struct store *store, const char *name,
                      store_object_cb callback, void *ctx);

#endif
