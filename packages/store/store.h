/**
 * @file
 * Interface of the platform's transactional table service and object store.
 * Implementations: the HTTP client (storehttp.h) and the in-memory store for
 * tests (storememory.h).
 *
 * The version of a row is the store's commit sequence number at the row's
 * last write, so versions of all rows are ordered by commit. A deleted row
 * remains as a tombstone: a version without a value.
 */
#ifndef CHESTNUTGAP_STORE_STORE_H
#define CHESTNUTGAP_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#define STORE_NAME_MAX 191 /* bytes of a table's or row's name */

enum store_outcome {
    STORE_COMMITTED,   /**< took effect, or the read succeeded */
    STORE_CONFLICT,    /**< a condition failed; nothing was written */
    STORE_UNAVAILABLE, /**< certain never to take effect */
    STORE_UNKNOWN,     /**< may have taken effect, or still may */
};

/** A row as read. */
struct store_row {
    const char *table;
    const char *name;
    uint64_t version; /**< 0: never written */
    uint64_t txn_id;  /**< of the transaction that wrote this version */
    json_t *value;    /**< NULL if absent or deleted; borrowed */
};

/** Result of a commit. */
struct store_commit_result {
    enum store_outcome outcome;
    uint64_t version;  /**< of the written rows, if committed */
    const char *table; /**< on a conflict, the row whose condition failed */
    const char *row;
};

/** Result of a read or scan. Rows are valid during the callback only. */
struct store_read_result {
    enum store_outcome outcome; /**< STORE_COMMITTED or STORE_UNAVAILABLE */
    const struct store_row *rows;
    size_t row_count;
    uint64_t version; /**< the store's commit sequence number at the read */
    bool has_more;    /**< a scan's limit left out rows after these */
};

typedef void (*store_commit_cb)(void *ctx,
                                const struct store_commit_result *result);
typedef void (*store_read_cb)(void *ctx,
                              const struct store_read_result *result);

/** data is valid during the callback only; NULL if there is no object. */
typedef void (*store_object_cb)(void *ctx, enum store_outcome outcome,
                                const void *data, size_t size);

/**
 * Conditions on row versions, and writes that are applied if all hold. Each
 * written row stores the transaction's id, which resolves unknown outcomes.
 */
struct store_txn;

/** id must be unique, e.g. random_u64(). Aborts if out of memory. */
struct store_txn *store_txn_create(uint64_t id);
void store_txn_destroy(struct store_txn *txn);

/** Adds a condition: the row has this version (0: never written). */
void store_txn_expect(struct store_txn *txn, const char *table,
                      const char *row, uint64_t version);

/** Adds a write of the row. Steals the reference to value. */
void store_txn_put(struct store_txn *txn, const char *table, const char *row,
                   json_t *value);

void store_txn_delete(struct store_txn *txn, const char *table,
                      const char *row);

uint64_t store_txn_id(const struct store_txn *txn);

/** The transaction as JSON {"id", "expect": [...], "write": [...]}. */
json_t *store_txn_to_json(const struct store_txn *txn);

/** Selects rows by name and version. */
struct store_scan {
    const char *table;
    const char *prefix; /**< of row names; "" for all */
    const char *after;  /**< exclusive lower bound of names; NULL for all */
    uint64_t since;     /**< exclusive lower bound of versions; 0 for all */
    size_t limit;       /**< maximum rows; 0 for the store's limit */
};

/** Operations of an implementation. */
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

/** An implementation and its context pointer. */
struct store {
    const struct store_ops *ops;
    void *impl;
};

/*
 * Each call runs its callback exactly once, asynchronously, and within the
 * implementation's timeout. No callback runs after the implementation is
 * destroyed.
 */

/** txn need not outlive the call. */
void store_commit(const struct store *store, const struct store_txn *txn,
                  store_commit_cb callback, void *ctx);

/** Reads one row; the result has exactly one row on success. */
void store_read(const struct store *store, const char *table, const char *row,
                store_read_cb callback, void *ctx);

/** Reads rows in order of name. */
void store_scan(const struct store *store, const struct store_scan *scan,
                store_read_cb callback, void *ctx);

void store_put_object(const struct store *store, const char *name,
                      const void *data, size_t size, store_commit_cb callback,
                      void *ctx);

void store_get_object(const struct store *store, const char *name,
                      store_object_cb callback, void *ctx);

#endif
