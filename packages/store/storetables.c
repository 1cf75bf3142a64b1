#include "store/storetables.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/memory.h"
#include "store/storetxn.h"

struct table_row {
    char *name;
    uint64_t version;
    uint64_t txn_id;
    json_t *value;
};

struct table {
    STAILQ_ENTRY(table) link;
    char *name;
    struct table_row **rows; /* sorted by name */
    size_t count;
    size_t capacity;
};

struct object {
    STAILQ_ENTRY(object) link;
    char *name;
    void *data;
    size_t size;
};

STAILQ_HEAD(table_list, table);
STAILQ_HEAD(object_list, object);

struct store_tables {
    struct table_list tables;
    struct object_list objects;
    uint64_t version;
    size_t row_count;
};

struct store_tables *
store_tables_create(void)
{
    struct store_tables *tables = memory_calloc(1, sizeof(*tables));
    STAILQ_INIT(&tables->tables);
    STAILQ_INIT(&tables->objects);
    return tables;
}

static void
table_destroy(struct table *table)
{
    for (size_t i = 0; i < table->count; i++) {
        free(table->rows[i]->name);
        json_decref(table->rows[i]->value);
        free(table->rows[i]);
    }
    free(table->rows);
    free(table->name);
    free(table);
}

void
store_tables_destroy(struct store_tables *tables)
{
    if (tables == NULL) {
        return;
    }
    struct table *table;
    while ((table = STAILQ_FIRST(&tables->tables)) != NULL) {
        STAILQ_REMOVE_HEAD(&tables->tables, link);
        table_destroy(table);
    }
    struct object *object;
    while ((object = STAILQ_FIRST(&tables->objects)) != NULL) {
        STAILQ_REMOVE_HEAD(&tables->objects, link);
        free(object->name);
        free(object->data);
        free(object);
    }
    free(tables);
}

uint64_t
store_tables_version(const struct store_tables *tables)
{
    return tables->version;
}

size_t
store_tables_row_count(const struct store_tables *tables)
{
    return tables->row_count;
}

static struct table *
find_table(const struct store_tables *tables, const char *name)
{
    struct table *table;
    STAILQ_FOREACH (table, &tables->tables, link) {
        if (strcmp(table->name, name) == 0) {
            return table;
        }
    }
    return NULL;
}

/** Index of the first row whose name is not less than name. */
static size_t
lower_bound(const struct table *table, const char *name)
{
    size_t low = 0;
    size_t high = table->count;
    while (low < high) {
        const size_t middle = low + (high - low) / 2;
        if (strcmp(table->rows[middle]->name, name) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static struct table_row *
find_row(const struct store_tables *tables, const char *table_name,
         const char *row_name)
{
    const struct table *table = find_table(tables, table_name);
    if (table == NULL) {
        return NULL;
    }
    const size_t index = lower_bound(table, row_name);
    if (index == table->count ||
        strcmp(table->rows[index]->name, row_name) != 0) {
        return NULL;
    }
    return table->rows[index];
}

static struct table_row *
insert_row(struct table *table, const char *name)
{
    if (table->count == table->capacity) {
        table->capacity = table->capacity == 0 ? 16 : table->capacity * 2;
        table->rows = memory_reallocarray(table->rows, table->capacity,
                                          sizeof(struct table_row *));
    }
    const size_t index = lower_bound(table, name);
    memmove(&table->rows[index + 1], &table->rows[index],
            (table->count - index) * sizeof(struct table_row *));
    struct table_row *row = memory_calloc(1, sizeof(*row));
    row->name = memory_strdup(name);
    table->rows[index] = row;
    table->count++;
    return row;
}

static struct table_row *
find_or_add_row(struct store_tables *tables, const char *table_name,
                const char *row_name)
{
    struct table_row *row = find_row(tables, table_name, row_name);
    if (row != NULL) {
        return row;
    }
    struct table *table = find_table(tables, table_name);
    if (table == NULL) {
        table = memory_calloc(1, sizeof(*table));
        table->name = memory_strdup(table_name);
        STAILQ_INSERT_TAIL(&tables->tables, table, link);
    }
    tables->row_count++;
    return insert_row(table, row_name);
}

void
store_tables_commit(struct store_tables *tables, const struct store_txn *txn,
                    struct store_commit_result *result)
{
    const struct store_condition *condition;
    STAILQ_FOREACH (condition, &txn->conditions, link) {
        const struct table_row *row =
            find_row(tables, condition->table, condition->row);
        const uint64_t version = row != NULL ? row->version : 0;
        if (version != condition->version) {
            *result = (struct store_commit_result){
                .outcome = STORE_CONFLICT,
                .table = condition->table,
                .row = condition->row,
            };
            return;
        }
    }
    tables->version++;
    const struct store_write *write;
    STAILQ_FOREACH (write, &txn->writes, link) {
        struct table_row *row =
            find_or_add_row(tables, write->table, write->row);
        json_decref(row->value);
        row->value = json_incref(write->value);
        row->version = tables->version;
        row->txn_id = txn->id;
    }
    *result = (struct store_commit_result){
        .outcome = STORE_COMMITTED,
        .version = tables->version,
    };
}

void
store_tables_read(const struct store_tables *tables, const char *table,
                  const char *row, struct store_row *result)
{
    const struct table_row *found = find_row(tables, table, row);
    *result = (struct store_row){.table = table, .name = row};
    if (found != NULL) {
        result->version = found->version;
        result->txn_id = found->txn_id;
        result->value = found->value;
    }
}

static bool
scan_selects(const struct store_scan *scan, const struct table_row *row)
{
    if (scan->after != NULL && strcmp(row->name, scan->after) <= 0) {
        return false;
    }
    if (scan->since > 0) {
        return row->version > scan->since;
    }
    return row->value != NULL;
}

size_t
store_tables_scan(const struct store_tables *tables,
                  const struct store_scan *scan, struct store_row *rows,
                  size_t max, bool *more)
{
    *more = false;
    const struct table *table = find_table(tables, scan->table);
    if (table == NULL) {
        return 0;
    }
    const char *prefix = scan->prefix != NULL ? scan->prefix : "";
    const char *start = prefix;
    if (scan->after != NULL && strcmp(scan->after, prefix) > 0) {
        start = scan->after;
    }
    size_t count = 0;
    for (size_t i = lower_bound(table, start); i < table->count; i++) {
        const struct table_row *row = table->rows[i];
        if (strncmp(row->name, prefix, strlen(prefix)) != 0) {
            break;
        }
        if (!scan_selects(scan, row)) {
            continue;
        }
        if (count == max) {
            *more = true;
            break;
        }
        rows[count++] = (struct store_row){
            .table = table->name,
            .name = row->name,
            .version = row->version,
            .txn_id = row->txn_id,
            .value = row->value,
        };
    }
    return count;
}

static struct object *
find_object(const struct store_tables *tables, const char *name)
{
    struct object *object;
    STAILQ_FOREACH (object, &tables->objects, link) {
        if (strcmp(object->name, name) == 0) {
            return object;
        }
    }
    return NULL;
}

void
store_tables_put_object(struct store_tables *tables, const char *name,
                        const void *data, size_t size)
{
    struct object *object = find_object(tables, name);
    if (object == NULL) {
        object = memory_calloc(1, sizeof(*object));
        object->name = memory_strdup(name);
        STAILQ_INSERT_TAIL(&tables->objects, object, link);
    }
    free(object->data);
    object->data = memory_copy(data, size);
    object->size = size;
}

const void *
store_tables_get_object(const struct store_tables *tables, const char *name,
                        size_t *size)
{
    const struct object *object = find_object(tables, name);
    *size = object != NULL ? object->size : 0;
    return object != NULL ? object->data : NULL;
}
