/**
 * @file
 * The items that a member knows, by the hash of kind and name.
 */
#ifndef CHESTNUTGAP_SPREAD_ITEMTABLE_H
#define CHESTNUTGAP_SPREAD_ITEMTABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "protocol/generated/spread.h"

/** A known item. A version without payload was announced, but not fetched. */
struct stored_item {
    SLIST_ENTRY(stored_item) link; /* in its bucket */
    TAILQ_ENTRY(stored_item) hot_link;
    uint64_t hash;
    enum spread_kind kind;
    uint64_t version;
    uint64_t announced; /* highest version heard of */
    bool whole;         /* the payload is of version */
    bool hot;           /* in the list of what is still pushed */
    bool fetching;
    int64_t fetch_us; /* time of the latest fetch */
    unsigned pushes;  /* left to do */
    uint32_t size;
    void *payload;
    char *name;
};

SLIST_HEAD(stored_item_list, stored_item);

struct itemtable;

/** NULL when memory is short. */
struct itemtable *itemtable_create(void);
void itemtable_destroy(struct itemtable *store);

/** Hash of kind and name. */
uint64_t itemtable_hash(enum spread_kind kind, const char *name);

struct stored_item *itemtable_find(const struct itemtable *store,
                                   uint64_t hash);

/** Finds or adds an item without a version. Aborts without memory. */
struct stored_item *itemtable_add(struct itemtable *store,
                                  enum spread_kind kind, const char *name);

/** Sets version and payload, which is copied. */
void itemtable_set_payload(struct itemtable *store, struct stored_item *item,
                           uint64_t version, const void *payload, size_t size);

size_t itemtable_count(const struct itemtable *store);
size_t itemtable_memory(const struct itemtable *store);

/** Visits all items. */
void itemtable_visit(const struct itemtable *store,
                     void (*visit)(void *ctx, struct stored_item *item),
                     void *ctx);

#endif
