#include "store/storetxn.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/jsontext.h"
#include "base/memory.h"

struct store_txn *
store_txn_create(uint64_t id)
{
    struct store_txn *txn = memory_calloc(1, sizeof(*txn));
    txn->id = id;
    STAILQ_INIT(&txn->conditions);
    STAILQ_INIT(&txn->writes);
    return txn;
}

void
store_txn_destroy(struct store_txn *txn)
{
    if (txn == NULL) {
        return;
    }
    struct store_condition *condition;
    while ((condition = STAILQ_FIRST(&txn->conditions)) != NULL) {
        STAILQ_REMOVE_HEAD(&txn->conditions, link);
        free(condition->table);
        free(condition->row);
        free(condition);
    }
    struct store_write *write;
    while ((write = STAILQ_FIRST(&txn->writes)) != NULL) {
        STAILQ_REMOVE_HEAD(&txn->writes, link);
        free(write->table);
        free(write->row);
        json_decref(write->value);
        free(write);
    }
    free(txn);
}

void
store_txn_expect(struct store_txn *txn, const char *table, const char *row,
                 uint64_t version)
{
    struct store_condition *condition = memory_calloc(1, sizeof(*condition));
    condition->table = memory_strdup(table);
    condition->row = memory_strdup(row);
    condition->version = version;
    STAILQ_INSERT_TAIL(&txn->conditions, condition, link);
}

void
store_txn_put(struct store_txn *txn, const char *table, const char *row,
              json_t *value)
{
    struct store_write *write = memory_calloc(1, sizeof(*write));
    write->table = memory_strdup(table);
    write->row = memory_strdup(row);
    write->value = value;
    STAILQ_INSERT_TAIL(&txn->writes, write, link);
}

void
store_txn_delete(struct store_txn *txn, const char *table, const char *row)
{
    store_txn_put(txn, table, row, NULL);
}

uint64_t
store_txn_id(const struct store_txn *txn)
{
    return txn->id;
}

struct store_txn *
store_txn_copy(const struct store_txn *txn)
{
    struct store_txn *copy = store_txn_create(txn->id);
    const struct store_condition *condition;
    STAILQ_FOREACH (condition, &txn->conditions, link) {
        store_txn_expect(copy, condition->table, condition->row,
                         condition->version);
    }
    const struct store_write *write;
    STAILQ_FOREACH (write, &txn->writes, link) {
        store_txn_put(copy, write->table, write->row,
                      json_incref(write->value));
    }
    return copy;
}

void
store_txn_id_format(uint64_t id, char text[STORE_TXN_ID_SIZE])
{
    snprintf(text, STORE_TXN_ID_SIZE, "%016" PRIx64, id);
}

bool
store_txn_id_parse(const char *text, uint64_t *id)
{
    if (strlen(text) != STORE_TXN_ID_SIZE - 1 ||
        strspn(text, "0123456789abcdef") != STORE_TXN_ID_SIZE - 1) {
        return false;
    }
    *id = strtoull(text, NULL, 16);
    return true;
}

bool
store_name_valid(const char *name)
{
    const size_t length = strlen(name);
    return length > 0 && length <= STORE_NAME_MAX && jsontext_is_valid(name);
}

json_t *
store_txn_to_json(const struct store_txn *txn)
{
    char id[STORE_TXN_ID_SIZE];
    store_txn_id_format(txn->id, id);
    json_t *expect = json_array();
    const struct store_condition *condition;
    STAILQ_FOREACH (condition, &txn->conditions, link) {
        json_array_append_new(
            expect, json_pack("{s:s, s:s, s:I}", "table", condition->table,
                              "row", condition->row, "version",
                              (json_int_t)condition->version));
    }
    json_t *writes = json_array();
    const struct store_write *write;
    STAILQ_FOREACH (write, &txn->writes, link) {
        json_array_append_new(
            writes, json_pack("{s:s, s:s, s:O?}", "table", write->table, "row",
                              write->row, "value", write->value));
    }
    return json_pack("{s:s, s:o, s:o}", "id", id, "expect", expect, "write",
                     writes);
}

/** Reads the names of a condition or write. */
static bool
parse_names(const json_t *item, const char **table, const char **row)
{
    *table = json_string_value(json_object_get(item, "table"));
    *row = json_string_value(json_object_get(item, "row"));
    return *table != NULL && *row != NULL && store_name_valid(*table) &&
           store_name_valid(*row);
}

static bool
parse_condition(struct store_txn *txn, const json_t *item)
{
    const char *table;
    const char *row;
    const json_t *version = json_object_get(item, "version");
    if (!parse_names(item, &table, &row) || !json_is_integer(version) ||
        json_integer_value(version) < 0 || json_object_size(item) != 3) {
        return false;
    }
    store_txn_expect(txn, table, row, (uint64_t)json_integer_value(version));
    return true;
}

static bool
parse_write(struct store_txn *txn, const json_t *item)
{
    const char *table;
    const char *row;
    json_t *value = json_object_get(item, "value");
    if (!parse_names(item, &table, &row) || json_object_size(item) != 3 ||
        !(json_is_object(value) || json_is_null(value))) {
        return false;
    }
    store_txn_put(txn, table, row,
                  json_is_null(value) ? NULL : json_incref(value));
    return true;
}

static bool
parse_items(struct store_txn *txn, const json_t *items, const char *field,
            bool (*parse)(struct store_txn *txn, const json_t *item),
            struct error *err)
{
    if (!json_is_array(items) ||
        json_array_size(items) > STORE_TXN_ITEMS_MAX) {
        return error_set(err, ERROR_STORE_ANSWER, "/%s", field);
    }
    for (size_t i = 0; i < json_array_size(items); i++) {
        if (!parse(txn, json_array_get(items, i))) {
            return error_set(err, ERROR_STORE_ANSWER, "/%s/%zu", field, i);
        }
    }
    return true;
}

struct store_txn *
store_txn_parse(const json_t *document, struct error *err)
{
    uint64_t id;
    const char *id_text = json_string_value(json_object_get(document, "id"));
    if (id_text == NULL || !store_txn_id_parse(id_text, &id)) {
        error_set(err, ERROR_STORE_ANSWER, "/id");
        return NULL;
    }
    struct store_txn *txn = store_txn_create(id);
    if (!parse_items(txn, json_object_get(document, "expect"), "expect",
                     parse_condition, err) ||
        !parse_items(txn, json_object_get(document, "write"), "write",
                     parse_write, err)) {
        store_txn_destroy(txn);
        return NULL;
    }
    return txn;
}
