/**
 * @file
 * Contents of a transaction, for implementations of the store.
 */
#ifndef CHESTNUTGAP_STORE_STORETXN_H
#define CHESTNUTGAP_STORE_STORETXN_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <jansson.h>

#include "base/error.h"
#include "store/store.h"

#define STORE_TXN_ITEMS_MAX 4096 /* limit of conditions, and of writes */
#define STORE_TXN_ID_SIZE 17     /* 16 hexadecimal digits and terminator */

/** A row's version that must be current at the commit. */
struct store_condition {
    STAILQ_ENTRY(store_condition) link;
    char *table;
    char *row;
    uint64_t version;
};

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

/** The copy shares the values. */
struct store_txn *store_txn_copy(const struct store_txn *txn);

/**
 * Parses the output of store_txn_to_json().
 *
 * @return NULL with ERROR_STORE_ANSWER and the path of the invalid field.
 */
struct store_txn *store_txn_parse(const json_t *document, struct error *err);

/** Writes the id as 16 hexadecimal digits. */
void store_txn_id_format(uint64_t id, char text[STORE_TXN_ID_SIZE]);

/** False if text is not an output of store_txn_id_format(). */
bool store_txn_id_parse(const char *text, uint64_t *id);

/** True if stores accept name as a table's or row's name. */
bool store_name_valid(const char *name);

#endif
