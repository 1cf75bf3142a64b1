/**
 * @file
 * The shard map: owner and epoch of each shard of all services, in eight bytes
 * per shard. The map may be stale: the gate of an instance refuses requests
 * for shards that it does not own, so a stale entry costs one more forward,
 * but never causes a second owner.
 */
#ifndef CHESTNUTGAP_PLACEMENT_SHARDMAP_H
#define CHESTNUTGAP_PLACEMENT_SHARDMAP_H

#include "placement/shardpage.h"

struct shardmap;

/** Shard and owner of a key in this map. */
struct shardmap_location {
    uint32_t shard;    /**< has SHARD_KEY_FLAG if the key was split out */
    uint32_t epoch;    /**< 0: no known owner */
    const char *owner; /**< instance or NULL; valid until the map changes */
    bool wait;
};

/** Called for each changed entry of a page. before is NULL for a key that was
 * split out, after for a key that was merged. */
typedef void (*shardmap_change_cb)(void *ctx,
                                   const struct shardpage_entry *before,
                                   const struct shardpage_entry *after);

/** NULL if out of memory. */
struct shardmap *shardmap_create(void);
void shardmap_destroy(struct shardmap *map);

/**
 * Adds a service. Its number of shards is fixed: a later call with another
 * number fails with ERROR_FIELD_RANGE.
 */
bool shardmap_add_service(struct shardmap *map, const char *service,
                          uint32_t shards, struct error *err);

/** Number of shards, 0 if the service is unknown. */
uint32_t shardmap_shard_count(const struct shardmap *map, const char *service);

/** Shard of a key by its hash, without regard to split keys. */
uint32_t shardmap_shard_of(uint64_t hash, uint32_t shards);

/** Hash of service and key. */
uint64_t shardmap_hash(const char *service, const void *key, size_t key_size);

/** Number of the single-key shard for a hash. */
uint32_t shardmap_key_shard(uint64_t hash);

/** Finds a key's shard and owner. False if the service is unknown. */
bool shardmap_lookup(const struct shardmap *map, const char *service,
                     const void *key, size_t key_size,
                     struct shardmap_location *location);

/** Finds the owner of a shard. False if the map has no such shard. */
bool shardmap_find(const struct shardmap *map, const char *service,
                   uint32_t shard, struct shardmap_location *location);

/**
 * Applies a page if its version is newer than the known one. If the epoch of
 * an entry would fall, or its owner change within an epoch, the violation is
 * reported through INVARIANT_EPOCH_RISES and the whole page is refused.
 *
 * @return true if the page was applied.
 */
bool shardmap_apply(struct shardmap *map, const struct shardpage *page,
                    uint64_t version, shardmap_change_cb changed, void *ctx);

/**
 * Stores an owner that a gate named, if its epoch is newer than the map's.
 * Hints are kept apart from the pages, in a table where they may overwrite
 * each other.
 */
bool shardmap_add_owner_hint(struct shardmap *map, const char *service,
                             uint32_t shard, const char *owner,
                             uint32_t epoch);

/** Copies a page. @return its version, 0 if it was never written. */
uint64_t shardmap_copy_page(const struct shardmap *map, const char *service,
                            uint32_t number, struct shardpage *page);

/** Version of a page, 0 if it was never applied. */
uint64_t shardmap_page_version(const struct shardmap *map, const char *service,
                               uint32_t number);

/** Number of shards of an instance in all services of the map. */
uint32_t shardmap_owned_count(const struct shardmap *map,
                              const char *instance);

/** Calls visit once for each owner of shards of a service. */
void shardmap_visit_owners(const struct shardmap *map, const char *service,
                           void (*visit)(void *ctx, const char *owner),
                           void *ctx);

/** Shard that a single key was split out of; the argument itself if it is not
 * a known single key. */
uint32_t shardmap_base_shard(const struct shardmap *map, const char *service,
                             uint32_t shard);

/** Memory in use, in bytes. */
size_t shardmap_memory(const struct shardmap *map);

/** Snapshot {"version", "pages": [{"version", "page"}]} of all services. */
json_t *shardmap_snapshot(const struct shardmap *map, uint64_t version);

/** Applies a snapshot. @return its version, 0 with err set if malformed. */
uint64_t shardmap_restore(struct shardmap *map, const json_t *snapshot,
                          shardmap_change_cb changed, void *ctx,
                          struct error *err);

#endif
