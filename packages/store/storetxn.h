/**
 * @file
 * Inside of a transaction, for implementations of a store.
 */
#ifndef CHESTNUTGAP_STORE_STORETXN_H
#define CHESTNUTGAP_STORE_STORETXN_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <jansson.h>

#include "base/error.h"
#include "store/store.h"

#define STORE_TXN_ITEMS_MAX 4096 /* conditions, and writes, of one parsed */
#define STORE_TXN_ID_SIZE 17     /* 16 hexadecimal digits and terminator */

/** A row version that must still be current. */
struct store_condition {
    STAILQ_ENTRY(store_condition) link;
    char *table;
    char *row;
    uint64_t version;
};

/** A row to write. */
struct store_write {
    STAILQ_ENTRY(store_write) link;
    char *table;
    char *row;
    json_t *value; /**< NULL deletes the row */
};

STAILQ_HEAD(store_condition_list, store_condition);
STAILQ_HEAD(store_write_list, store_write);

struct store_txn {
    uint64_t id;
    struct store_condition_list conditions;
    struct store_write_list writes;
};

/** A copy that shares the values. */
struct store_txn *store_txn_copy(const struct store_txn *txn);

/**
 * Reads the form that store_txn_to_json() writes.
 *
 * @return NULL with ERROR_STORE_ANSWER naming the field that is wrong.
 */
struct store_txn *store_txn_parse(const json_t *document, struct error *err);

/** Writes a transaction id as 16 hexadecimal digits. */
void store_txn_id_format(uint64_t id, char text[STORE_TXN_ID_SIZE]);

/** False if text is not an id as written by store_txn_id_format(). */
bool store_txn_id_parse(const char *text, uint64_t *id);

/** True for a table's or row's name that stores accept. */
bool store_name_valid(const char *name);

#endif
