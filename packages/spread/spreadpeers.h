/**
 * @file
 * Members to which items may be sent, and the choice among them by how far
 * away they are.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREADPEERS_H
#define CHESTNUTGAP_SPREAD_SPREADPEERS_H

#include <stdbool.h>
#include <stddef.h>

#include "base/random.h"
#include "state/state.h"

/** How far a peer is away. */
enum spread_distance {
    SPREAD_SAME_ZONE,
    SPREAD_SAME_REGION,  /**< another availability zone of the region */
    SPREAD_OTHER_REGION, /**< another region */
    SPREAD_DISTANCE_COUNT,
};

/** How a peer is chosen. */
enum spread_peer_policy {
    SPREAD_PEERS_UNIFORM,    /**< each peer alike */
    SPREAD_PEERS_BY_LATENCY, /**< each by the inverse of its distance */
    SPREAD_PEERS_BY_SHARE,   /**< a fixed share for each distance */
};

struct spreadpeers;

/** NULL when memory is short. */
struct spreadpeers *spreadpeers_create(const char *zone, const char *region,
                                       enum spread_peer_policy choice);
void spreadpeers_destroy(struct spreadpeers *peers);

/** Adds a peer that is not there yet. The name must outlive it. */
void spreadpeers_add(struct spreadpeers *peers, const char *name,
                     const char *zone, const char *region);
/** Removes a peer if it is there. */
void spreadpeers_remove(struct spreadpeers *peers, const char *name);

size_t spreadpeers_count(const struct spreadpeers *peers);

/** Name of a random peer, NULL if there is none. Valid until a change. */
const char *spreadpeers_choose(const struct spreadpeers *peers,
                               struct random_state *random);

/** A random peer in another zone, or any if there is none such. */
const char *spreadpeers_choose_other_zone(const struct spreadpeers *peers,
                                          struct random_state *random);

size_t spreadpeers_memory(const struct spreadpeers *peers);

#endif
