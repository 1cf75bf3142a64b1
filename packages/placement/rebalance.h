/**
 * @file
 * Decides whether this instance carries more than its share, which shard to
 * give away and how much a receiver may take. Only arithmetic on loads.
 */
#ifndef CHESTNUTGAP_PLACEMENT_REBALANCE_H
#define CHESTNUTGAP_PLACEMENT_REBALANCE_H

#include "placement/ownedset.h"
#include "placement/peers.h"

#define REBALANCE_HIGH_RATIO                                                  \
    1.05 /* of the mean: above it shards are given away */
#define REBALANCE_FILL_RATIO                                                  \
    1.01 /* of the mean: a receiver is filled up to it */
#define REBALANCE_REFUSE_RATIO                                                \
    1.08 /* of the mean: a receiver refuses above it */
#define REBALANCE_LOW_RATIO                                                   \
    0.75                    /* of the mean: below it a member asks for more */
#define REBALANCE_CHOICES 5 /* receivers looked at for each move */

/** This instance's side of a decision. */
struct rebalance_view {
    double load;            /**< with the floor of each shard */
    double capacity;        /**< now: less while cold */
    double mean_ratio;      /**< load over capacity of all that are known */
    double idle_shard_load; /**< load added to each shard, so that idle ones
                               count */
};

/** Load that is added to each shard of a service. */
double rebalance_idle_shard_load(double capacity, size_t members,
                                 uint32_t shards);

/** Load of all members with fresh reports over the capacity of those that
 * may have shards: the ratio once members that leave have given theirs. */
double rebalance_mean_ratio(const struct peers *peers, const char *self,
                            double load, double capacity, int64_t now_us);

/** True if this instance is above its share. */
bool rebalance_is_overloaded(const struct rebalance_view *view);

/** True if this instance is far below its share. */
bool rebalance_is_underloaded(const struct rebalance_view *view);

/** True if a receiver with the load may take weight more. */
bool rebalance_accepts(const struct rebalance_view *view, double weight);

/** Of a few random peers with a fresh report the one with most room, or
 * NULL if none has any. */
struct peer *rebalance_pick_receiver(const struct peers *peers,
                                     const char *self,
                                     const struct rebalance_view *view,
                                     struct random_state *random,
                                     int64_t now_us);

/**
 * The shard to give to the receiver: the heaviest that fits both what this
 * instance has too much and the receiver's room; otherwise the lightest
 * if the move lowers the higher of both. NULL if no shard helps.
 */
struct owned_shard *rebalance_pick_shard(const struct ownedset *set,
                                         const struct rebalance_view *view,
                                         const struct peer *receiver,
                                         int64_t now_us);

#endif
