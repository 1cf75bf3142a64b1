/**
 * @file
 * Data structures of the shard map, shared by the files that implement it.
 */
#ifndef CHESTNUTGAP_PLACEMENT_SHARDMAP_INTERNAL_H
#define CHESTNUTGAP_PLACEMENT_SHARDMAP_INTERNAL_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "placement/ownertable.h"
#include "placement/shardmap.h"

#define OWNER_HINTS 256 /* table size, indexed by location_hash */

/* Owner and epoch of a shard, in eight bytes. */
struct map_entry {
    uint32_t epoch;
    uint16_t owner;
    uint8_t wait;
    uint8_t taken_over;
};

/* A single key that was split out of shard base. */
struct map_key_entry {
    uint32_t key;
    uint32_t base;
    struct map_entry stored;
};

struct map_page {
    uint64_t version;
    struct map_key_entry *keys;
    size_t key_count;
};

struct map_service {
    LIST_ENTRY(map_service) link;
    char name[STATE_NAME_MAX + 1];
    uint32_t shards;
    struct map_entry *shard_entries;
    struct map_page *pages;
};

LIST_HEAD(map_services, map_service);

/* Owner of a shard as named by a gate. */
struct owner_hint {
    uint64_t location_hash; /* hash of service and shard */
    uint32_t epoch;
    char owner[STATE_NAME_MAX + 1];
};

struct shardmap {
    struct map_services services;
    struct ownertable *owners;
    struct owner_hint hints[OWNER_HINTS];
};

#endif
