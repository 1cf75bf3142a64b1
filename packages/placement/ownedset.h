/**
 * @file
 * The shards that this instance owns, each with its load and, while it
 * moves, the state of the move.
 */
#ifndef CHESTNUTGAP_PLACEMENT_OWNEDSET_H
#define CHESTNUTGAP_PLACEMENT_OWNEDSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "state/state.h"

/** Serving states first, then the states of a move that do not serve. */
enum owned_state {
    OWNED_WAITING,      /**< serves from serve_at_us on */
    OWNED_SERVING,      /**< serves */
    OWNED_RESERVING,    /**< serves; the receiver was asked to accept it */
    OWNED_DRAINING,     /**< admits nothing; what runs is finished */
    OWNED_TRANSFERRING, /**< its state is sent to the receiver */
    OWNED_COMMITTING,   /**< the new owner is being written */
};

/** A shard and its move. */
struct owned_shard {
    LIST_ENTRY(owned_shard) link;
    uint32_t shard;
    uint32_t epoch;
    enum owned_state state;
    int64_t serve_at_us;
    int64_t move_not_before_us; /**< it is not moved before */
    double load;                /**< requests in progress, smoothed */
    uint64_t hot_hash;          /**< of its hottest key */
    double hot_load;            /**< of its hottest key, 0: unknown */
    int64_t cool_since_us; /**< single key: idle since then, 0: not idle */
    char receiver[STATE_NAME_MAX + 1];
    const char *reason;
    uint64_t attempt;
    unsigned refused_count;
    bool accepted;          /**< reserved; drains once the page is not busy */
    int64_t state_since_us; /**< in this state since */
    double moved_load;      /**< load given to the receiver */
    void *blob;             /**< state to hand over, owned */
    size_t blob_size;
};

LIST_HEAD(owned_shard_list, owned_shard);

struct ownedset;

/** NULL when memory is short. */
struct ownedset *ownedset_create(void);
void ownedset_destroy(struct ownedset *set);

struct owned_shard *ownedset_find(const struct ownedset *set, uint32_t shard);

/** Adds a shard that is not in the set. Aborts without memory. */
struct owned_shard *ownedset_add(struct ownedset *set, uint32_t shard);

void ownedset_remove(struct ownedset *set, struct owned_shard *owned);

size_t ownedset_count(const struct ownedset *set);

/** Shards that are in the midst of a move. */
size_t ownedset_moving_count(const struct ownedset *set);

/** Sum of the loads. */
double ownedset_total_load(const struct ownedset *set);

/** First shard, then each next one; order is that of shard numbers within
 * a bucket. NULL at the end. The current one may be removed after. */
struct owned_shard *ownedset_first(const struct ownedset *set);
struct owned_shard *ownedset_next(const struct ownedset *set,
                                  const struct owned_shard *owned);

/** True in the states of a move. */
bool owned_shard_is_moving(const struct owned_shard *owned);

/** True in the states that serve at now_us. */
bool owned_shard_is_serving(const struct owned_shard *owned, int64_t now_us);

#endif
