/**
 * @file
 * The shard map: which instance owns which shard of which service, at which
 * epoch. Eight bytes a shard. The map may be stale: the gate refuses what it
 * does not own, so a stale answer costs one more forward, never a second
 * owner.
 */
#ifndef CHESTNUTGAP_PLACEMENT_SHARDMAP_H
#define CHESTNUTGAP_PLACEMENT_SHARDMAP_H

#include "placement/shardpage.h"

struct shardmap;

/** Where a key belongs, as far as this map knows. */
struct shardmap_location {
    uint32_t shard;    /**< has SHARD_KEY_FLAG if the key is on its own */
    uint32_t epoch;    /**< 0: nobody is known to own it */
    const char *owner; /**< instance, NULL if unknown; valid until a change */
    bool wait;
};

/** Told of each entry that a page changes. before is NULL for a new key,
 * after for a key that was merged. */
typedef void (*shardmap_change_cb)(void *ctx,
                                   const struct shardpage_entry *before,
                                   const struct shardpage_entry *after);

/** NULL when memory is short. */
struct shardmap *shardmap_create(void);
void shardmap_destroy(struct shardmap *map);

/**
 * Declares a service. Its count of shards is fixed: a later call with
 * another count fails with ERROR_FIELD_RANGE.
 */
bool shardmap_add_service(struct shardmap *map, const char *service,
                          uint32_t shards, struct error *err);

/** Number of shards, 0 if the service is not declared. */
uint32_t shardmap_shard_count(const struct shardmap *map, const char *service);

/** The shard that a key belongs to by its hash alone. */
uint32_t shardmap_shard_of(uint64_t hash, uint32_t shards);

/** Hash of service and key. */
uint64_t shardmap_hash(const char *service, const void *key, size_t key_size);

/** Number of the single-key shard for a hash. */
uint32_t shardmap_key_shard(uint64_t hash);

/** Finds a key's shard and owner. False if the service is not declared. */
bool shardmap_lookup(const struct shardmap *map, const char *service,
                     const void *key, size_t key_size,
                     struct shardmap_location *location);

/** Finds the owner of a shard by its number. False if there is none such. */
bool shardmap_find(const struct shardmap *map, const char *service,
                   uint32_t shard, struct shardmap_location *location);

/**
 * Takes over a page if its version is newer than the known one. An entry
 * whose epoch would fall is a broken promise: it is reported through
 * INVARIANT_EPOCH_RISES and the whole page is refused.
 *
 * @return true if the page was newer and was taken over.
 */
bool shardmap_apply(struct shardmap *map, const struct shardpage *page,
                    uint64_t version, shardmap_change_cb changed, void *ctx);

/**
 * Remembers an owner that a gate named as a hint, if its epoch is newer than
 * the map's. A hint is kept apart from the pages and may be forgotten.
 */
bool shardmap_add_owner_hint(struct shardmap *map, const char *service,
                             uint32_t shard, const char *owner,
                             uint32_t epoch);

/** Copies a page out. @return its version, 0 if it was never written. */
uint64_t shardmap_copy_page(const struct shardmap *map, const char *service,
                            uint32_t number, struct shardpage *page);

/** The version of a page, 0 if it was never seen. */
uint64_t shardmap_page_version(const struct shardmap *map, const char *service,
                               uint32_t number);

/** Number of shards that the map shows as owned by an instance. */
uint32_t shardmap_owned_count(const struct shardmap *map,
                              const char *instance);

/** Calls visit for each owner of shards of a service. */
void shardmap_visit_owners(const struct shardmap *map, const char *service,
                           void (*visit)(void *ctx, const char *owner),
                           void *ctx);

/** Shard that a single key was split out of; the number itself for a shard
 * or if the key is not known. */
uint32_t shardmap_base_shard(const struct shardmap *map, const char *service,
                             uint32_t shard);

/** Bytes in use. */
size_t shardmap_memory(const struct shardmap *map);

/** Snapshot {"version", "pages": [{"version", "page"}]} of all services. */
json_t *shardmap_snapshot(const struct shardmap *map, uint64_t version);

/** Applies a snapshot. @return its version, 0 with err set if malformed. */
uint64_t shardmap_restore(struct shardmap *map, const json_t *snapshot,
                          shardmap_change_cb changed, void *ctx,
                          struct error *err);

#endif
