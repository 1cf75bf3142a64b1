/**
 * @file
 * Load arithmetic of rebalancing: whether this instance is overloaded, which
 * shard to move and how much load a receiver may accept.
 */
#ifndef CHESTNUTGAP_PLACEMENT_REBALANCE_H
#define CHESTNUTGAP_PLACEMENT_REBALANCE_H

#include "placement/ownedset.h"
#include "placement/peers.h"

/* Relative to the mean load of all members for their capacity. */
#define REBALANCE_HIGH_RATIO 1.05   /* shards are moved away above it */
#define REBALANCE_FILL_RATIO 1.01   /* receivers are filled up to it */
#define REBALANCE_REFUSE_RATIO 1.08 /* receivers refuse above it */
#define REBALANCE_LOW_RATIO 0.75    /* a member asks for load below it */

#define REBALANCE_CHOICES 5 /* random receivers compared for each move */

/** Load of this instance compared with all members. */
struct rebalance_view {
    double load;            /**< with idle_shard_load for each shard */
    double capacity;        /**< in requests; cold_limit during cold start */
    double mean_ratio;      /**< load over capacity of all known members */
    double idle_shard_load; /**< added to the load of each shard */
};

/** Load added to each shard of a service, so that idle shards count. */
double rebalance_idle_shard_load(double capacity, size_t members,
                                 uint32_t shards);

/** Load of all members with fresh reports over the capacity of the eligible
 * ones, i.e. the ratio once leaving members have moved their shards away. */
double rebalance_mean_ratio(const struct peers *peers, const char *self,
                            double load, double capacity, int64_t now_us);

/** True if this instance is above REBALANCE_HIGH_RATIO. */
bool rebalance_is_overloaded(const struct rebalance_view *view);

/** True if this instance is below REBALANCE_LOW_RATIO. */
bool rebalance_is_underloaded(const struct rebalance_view *view);

/** True if this instance may accept a shard of load weight. */
bool rebalance_accepts(const struct rebalance_view *view, double weight);

/** The least loaded of a few random peers with a fresh report, or NULL if all
 * are at or above the mean. */
struct peer *rebalance_pick_receiver(const struct peers *peers,
                                     const char *self,
                                     const struct rebalance_view *view,
                                     struct random_state *random,
                                     int64_t now_us);

/**
 * The shard to move to the receiver: the heaviest that exceeds neither this
 * instance's excess nor the receiver's free capacity; otherwise, if this
 * instance is overloaded, the lightest, provided that the receiver stays well
 * below this instance's present ratio. NULL if no move helps.
 */
struct owned_shard *rebalance_pick_shard(const struct ownedset *set,
                                         const struct rebalance_view *view,
                                         const struct peer *receiver,
                                         int64_t now_us);

#endif
