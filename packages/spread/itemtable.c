#include "spread/itemtable.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define BUCKETS 1024

struct itemtable {
    struct stored_item_list buckets[BUCKETS];
    size_t count;
    size_t bytes;
};

struct itemtable *
itemtable_create(void)
{
    return calloc(1, sizeof(struct itemtable));
}

void
itemtable_destroy(struct itemtable *table)
{
    if (table == NULL) {
        return;
    }
    for (size_t i = 0; i < BUCKETS; i++) {
        struct stored_item *item = SLIST_FIRST(&table->buckets[i]);
        while (item != NULL) {
            struct stored_item *next = SLIST_NEXT(item, link);
            free(item->payload);
            free(item->name);
            free(item);
            item = next;
        }
    }
    free(table);
}

uint64_t
itemtable_hash(enum spread_kind kind, const char *name)
{
    return hash_bytes(name, strlen(name), (uint64_t)kind + 1);
}

struct stored_item *
itemtable_find(const struct itemtable *table, uint64_t hash)
{
    struct stored_item *item;

    SLIST_FOREACH (item, &table->buckets[hash % BUCKETS], link) {
        if (item->hash == hash) {
            return item;
        }
    }
    return NULL;
}

struct stored_item *
itemtable_add(struct itemtable *table, enum spread_kind kind, const char *name)
{
    uint64_t hash = itemtable_hash(kind, name);
    struct stored_item *item = itemtable_find(table, hash);

    if (item != NULL) {
        return item;
    }
    item = calloc(1, sizeof(*item));
    if (item == NULL) {
        abort();
    }
    item->hash = hash;
    item->kind = kind;
    item->name = strdup(name);
    if (item->name == NULL) {
        abort();
    }
    SLIST_INSERT_HEAD(&table->buckets[hash % BUCKETS], item, link);
    table->count++;
    table->bytes += sizeof(*item) + strlen(name) + 1;
    return item;
}

void
itemtable_set_payload(struct itemtable *table, struct stored_item *item,
                      uint64_t version, const void *payload, size_t size)
{
    void *copy = malloc(size + 1);

    if (copy == NULL) {
        abort();
    }
    if (size > 0) {
        memcpy(copy, payload, size);
    }
    table->bytes += size;
    table->bytes -= item->size;
    free(item->payload);
    item->payload = copy;
    item->size = (uint32_t)size;
    item->version = version;
    item->complete = true;
    if (version > item->announced) {
        item->announced = version;
    }
}

size_t
itemtable_count(const struct itemtable *table)
{
    return table->count;
}

size_t
itemtable_memory(const struct itemtable *table)
{
    return sizeof(*table) + table->bytes;
}

void
itemtable_visit(const struct itemtable *table,
                void (*visit)(void *ctx, struct stored_item *item), void *ctx)
{
    for (size_t i = 0; i < BUCKETS; i++) {
        struct stored_item *item;
        SLIST_FOREACH (item, &table->buckets[i], link) {
            visit(ctx, item);
        }
    }
}
