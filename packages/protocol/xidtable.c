#include "protocol/xidtable.h"

#include <stdlib.h>

#define BUCKETS_MIN 16

static struct xid_bucket *
xid_table_bucket(const struct xid_table *table, uint32_t xid)
{
    return &table->buckets[xid & (table->bucket_count - 1)];
}

void
xid_table_clear(struct xid_table *table)
{
    free(table->buckets);
    *table = (struct xid_table){0};
}

static void
xid_table_grow(struct xid_table *table)
{
    struct xid_table grown = {
        .bucket_count =
            table->bucket_count > 0 ? table->bucket_count * 2 : BUCKETS_MIN,
        .count = table->count,
    };
    grown.buckets = calloc(grown.bucket_count, sizeof(*grown.buckets));
    if (grown.buckets == NULL) {
        abort();
    }
    for (size_t i = 0; i < table->bucket_count; i++) {
        struct xid_entry *entry;
        while ((entry = LIST_FIRST(&table->buckets[i])) != NULL) {
            LIST_REMOVE(entry, link);
            LIST_INSERT_HEAD(xid_table_bucket(&grown, entry->xid), entry,
                             link);
        }
    }
    free(table->buckets);
    *table = grown;
}

void
xid_table_insert(struct xid_table *table, struct xid_entry *entry,
                 uint32_t xid)
{
    if (table->count >= table->bucket_count) {
        xid_table_grow(table);
    }
    entry->xid = xid;
    LIST_INSERT_HEAD(xid_table_bucket(table, xid), entry, link);
    table->count++;
}

void
xid_table_remove(struct xid_table *table, struct xid_entry *entry)
{
    LIST_REMOVE(entry, link);
    table->count--;
}

struct xid_entry *
xid_table_find(const struct xid_table *table, uint32_t xid)
{
    if (table->count == 0) {
        return NULL;
    }
    struct xid_entry *entry;
    LIST_FOREACH (entry, xid_table_bucket(table, xid), link) {
        if (entry->xid == xid) {
            return entry;
        }
    }
    return NULL;
}

struct xid_entry *
xid_table_first(const struct xid_table *table)
{
    for (size_t i = 0; table->count > 0 && i < table->bucket_count; i++) {
        if (!LIST_EMPTY(&table->buckets[i])) {
            return LIST_FIRST(&table->buckets[i]);
        }
    }
    return NULL;
}
