/**
 * @file
 * The shards that this instance owns, with their load and the state of their
 * moves to other members.
 */
#ifndef CHESTNUTGAP_PLACEMENT_OWNEDSET_H
#define CHESTNUTGAP_PLACEMENT_OWNEDSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "state/state.h"

/** Ordered by the progress of a move; see owned_shard_is_moving(). */
enum owned_state {
    OWNED_WAITING, /**< starts serving at serve_at_us */
    OWNED_SERVING,
    OWNED_RESERVING,    /**< serves; waits for the receiver to accept */
    OWNED_DRAINING,     /**< admits nothing; finishes running requests */
    OWNED_TRANSFERRING, /**< sends its state to the receiver */
    OWNED_COMMITTING,   /**< the page with the new owner is being written */
};

/** An owned shard. */
struct owned_shard {
    LIST_ENTRY(owned_shard) link;
    uint32_t shard;
    uint32_t epoch;
    enum owned_state state;
    int64_t serve_at_us;
    int64_t move_not_before_us;
    double load;           /**< requests in progress, smoothed */
    uint64_t hot_hash;     /**< shardmap_hash() of its hottest key */
    double hot_load;       /**< load of its hottest key, 0: unknown */
    int64_t cool_since_us; /**< single key: start of its low load, 0: none */
    char receiver[STATE_NAME_MAX + 1];
    const char *reason;
    uint64_t attempt;
    unsigned refused_count;
    bool accepted; /**< by the receiver; drains once the page is idle */
    int64_t state_since_us;
    double moved_load; /**< load added to the receiver by the move */
    void *blob;        /**< handed-over state; freed with the shard */
    size_t blob_size;
};

LIST_HEAD(owned_shard_list, owned_shard);

struct ownedset;

/** NULL if out of memory. */
struct ownedset *ownedset_create(void);
void ownedset_destroy(struct ownedset *set);

struct owned_shard *ownedset_find(const struct ownedset *set, uint32_t shard);

/** Adds a shard that is not in the set. Aborts without memory. */
struct owned_shard *ownedset_add(struct ownedset *set, uint32_t shard);

void ownedset_remove(struct ownedset *set, struct owned_shard *owned);

size_t ownedset_count(const struct ownedset *set);

/** Number of shards in the states of a move. */
size_t ownedset_moving_count(const struct ownedset *set);

double ownedset_total_load(const struct ownedset *set);

/** Iterates over the shards in hash order. NULL at the end. Get the next one
 * before the current one is removed. */
struct owned_shard *ownedset_first(const struct ownedset *set);
struct owned_shard *ownedset_next(const struct ownedset *set,
                                  const struct owned_shard *owned);

/** True from OWNED_RESERVING on. */
bool owned_shard_is_moving(const struct owned_shard *owned);

/** True if the state admits requests at now_us. */
bool owned_shard_is_serving(const struct owned_shard *owned, int64_t now_us);

#endif
