/**
 * @file
 * The items that a member knows, by the hash of kind and name.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREADSTORE_H
#define CHESTNUTGAP_SPREAD_SPREADSTORE_H

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

SLIST_HEAD(stored_list, stored_item);

struct spreadstore;

/** NULL when memory is short. */
struct spreadstore *spreadstore_create(void);
void spreadstore_destroy(struct spreadstore *store);

/** Hash of kind and name. */
uint64_t spreadstore_hash(enum spread_kind kind, const char *name);

struct stored_item *spreadstore_find(const struct spreadstore *store,
                                     uint64_t hash);

/** Finds or adds an item without a version. Aborts without memory. */
struct stored_item *spreadstore_add(struct spreadstore *store,
                                    enum spread_kind kind, const char *name);

/** Sets version and payload, which is copied. */
void spreadstore_set(struct spreadstore *store, struct stored_item *item,
                     uint64_t version, const void *payload, size_t size);

size_t spreadstore_count(const struct spreadstore *store);
size_t spreadstore_memory(const struct spreadstore *store);

/** Visits all items. */
void spreadstore_visit(const struct spreadstore *store,
                       void (*visit)(void *ctx, struct stored_item *item),
                       void *ctx);

#endif
