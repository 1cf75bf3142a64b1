/**
 * @file
 * Hash table of the items that a member knows, by kind and name.
 */
#ifndef CHESTNUTGAP_SPREAD_ITEMTABLE_H
#define CHESTNUTGAP_SPREAD_ITEMTABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "protocol/generated/spread.h"

/** A known item. Version 0: announced, but not fetched yet. */
struct stored_item {
    SLIST_ENTRY(stored_item) link; /* in its bucket */
    TAILQ_ENTRY(stored_item) queue_link;
    uint64_t hash;
    enum spread_kind kind;
    uint64_t version;
    uint64_t announced; /* highest version seen, with or without payload */
    bool complete;      /* the payload belongs to version */
    bool queued;        /* in a push queue */
    bool fetching;
    int64_t fetch_us; /* start of the latest fetch */
    unsigned pushes_left;
    uint32_t size;
    void *payload;
    char *name;
};

SLIST_HEAD(stored_item_list, stored_item);

struct itemtable;

/** NULL if out of memory. */
struct itemtable *itemtable_create(void);
void itemtable_destroy(struct itemtable *table);

/** The key of an item. */
uint64_t itemtable_hash(enum spread_kind kind, const char *name);

struct stored_item *itemtable_find(const struct itemtable *table,
                                   uint64_t hash);

/** Finds the item, or adds it with version 0. Aborts without memory. */
struct stored_item *itemtable_add(struct itemtable *table,
                                  enum spread_kind kind, const char *name);

/** Sets version and payload, which is copied. */
void itemtable_set_payload(struct itemtable *table, struct stored_item *item,
                           uint64_t version, const void *payload, size_t size);

size_t itemtable_count(const struct itemtable *table);
/** Bytes. */
size_t itemtable_memory(const struct itemtable *table);

void itemtable_visit(const struct itemtable *table,
                     void (*visit)(void *ctx, struct stored_item *item),
                     void *ctx);

#endif
