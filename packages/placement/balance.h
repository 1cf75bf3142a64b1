/**
 * @file
 * Decides whether this instance carries more than its share, which shard to
 * give away and how much a receiver may take. Only arithmetic on loads.
 */
#ifndef CHESTNUTGAP_PLACEMENT_BALANCE_H
#define CHESTNUTGAP_PLACEMENT_BALANCE_H

#include "placement/owned.h"
#include "placement/peers.h"

#define BALANCE_HIGH 1.05   /* of the mean: above it shards are given away */
#define BALANCE_ROOM 1.01   /* of the mean: a receiver is filled up to it */
#define BALANCE_REFUSE 1.08 /* of the mean: a receiver refuses above it */
#define BALANCE_WANTS 0.75  /* of the mean: below it a member asks for more */
#define BALANCE_CHOICES 5   /* receivers looked at for each move */

/** This instance's side of a decision. */
struct balance_view {
    double load;     /**< with the floor of each shard */
    double capacity; /**< now: less while cold */
    double mean;     /**< load over capacity of all that are known */
    double floor;    /**< load added to each shard, so that idle ones count */
};

/** Load that is added to each shard of a service. */
double balance_floor(double capacity, size_t members, uint32_t shards);

/** Load of all members with fresh reports over the capacity of those that
 * may have shards: the ratio once members that leave have given theirs. */
double balance_mean(const struct peers *peers, const char *self, double load,
                    double capacity, int64_t now_us);

/** True if this instance is above its share. */
bool balance_is_high(const struct balance_view *view);

/** True if this instance is far below its share. */
bool balance_wants(const struct balance_view *view);

/** True if a receiver with the load may take weight more. */
bool balance_accepts(const struct balance_view *view, double weight);

/** Of a few random peers with a fresh report the one with most room, or
 * NULL if none has any. */
struct peer *balance_receiver(const struct peers *peers, const char *self,
                              const struct balance_view *view,
                              struct random_state *random, int64_t now_us);

/**
 * The shard to give to the receiver: the heaviest that fits both what this
 * instance has too much and the receiver's room; otherwise the lightest
 * if the move lowers the higher of both. NULL if no shard helps.
 */
struct owned *balance_shard(const struct ownedset *set,
                            const struct balance_view *view,
                            const struct peer *receiver, int64_t now_us);

#endif
