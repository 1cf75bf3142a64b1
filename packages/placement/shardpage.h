/**
 * @file
 * A page of the shard map: the owners and epochs of SHARDPAGE_SHARDS
 * consecutive shards of a service, and of the single keys that were split
 * out of them. A page is a row of the table "shards", so that a change of an
 * owner is a compare-and-swap of one row.
 */
#ifndef CHESTNUTGAP_PLACEMENT_SHARDPAGE_H
#define CHESTNUTGAP_PLACEMENT_SHARDPAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error.h"
#include "state/state.h"

#define SHARDPAGE_SHARDS 64 /* shards per page */
#define SHARDPAGE_KEYS 32   /* split-out keys per page */
#define SHARDPAGE_ENTRIES (SHARDPAGE_SHARDS + SHARDPAGE_KEYS)
#define SHARDPAGE_ROW_NAME_SIZE (STATE_NAME_MAX + 16) /* in bytes */

/**
 * Set in the number of a shard that consists of a single key. The other bits
 * are the upper 31 bits of the key's hash.
 */
#define SHARD_KEY_FLAG UINT32_C(0x80000000)

/** Owner and epoch of one shard. */
struct shardpage_entry {
    uint32_t shard;
    uint32_t epoch;                 /**< 0: never owned */
    char owner[STATE_NAME_MAX + 1]; /**< instance, or "" */
    uint32_t base; /**< of a single key: shard it was split out of */
    /** The previous owner was fenced and its target does not check grants: the
     * owner waits for the service's longest request before it serves. */
    bool wait;
    /** The previous owner was gone and did not hand it over. */
    bool taken_over;
};

/** A page as read from the store or about to be written. */
struct shardpage {
    char service[STATE_NAME_MAX + 1];
    uint32_t page;
    size_t shard_count; /**< 64, or fewer in the last page */
    size_t key_count;
    struct shardpage_entry entries[SHARDPAGE_ENTRIES]; /**< keys last */
};

/** Initialises a page without owners. shards: number of the service. */
void shardpage_init(struct shardpage *page, const char *service,
                    uint32_t number, uint32_t shards);

/** Number of pages for a number of shards. */
uint32_t shardpage_count(uint32_t shards);

/** Writes the row's name "SERVICE/PAGE" into buffer and returns it. */
const char *shardpage_row_name(char buffer[SHARDPAGE_ROW_NAME_SIZE],
                               const char *service, uint32_t number);

/** Entry of a shard or single key, or NULL. */
struct shardpage_entry *shardpage_find(struct shardpage *page, uint32_t shard);

/**
 * Splits a single key out of a shard, with the shard's owner and the next
 * epoch. NULL if the key exists, the shard has no owner or the page is full.
 */
struct shardpage_entry *shardpage_split(struct shardpage *page, uint32_t shard,
                                        uint32_t key);

/**
 * Merges a single key back into its shard, whose epoch becomes higher than
 * both. @return false if they have different owners or are unknown.
 */
bool shardpage_merge(struct shardpage *page, uint32_t key);

/** Value of the page's row. */
json_t *shardpage_to_json(const struct shardpage *page);

/** On failure sets err and leaves the page undefined. */
bool shardpage_from_json(struct shardpage *page, const json_t *value,
                         struct error *err);

#endif
