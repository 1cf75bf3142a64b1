/**
 * @file
 * The peers of the gossip protocol, and random selection among them with
 * regard to their distance.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREADPEERS_H
#define CHESTNUTGAP_SPREAD_SPREADPEERS_H

#include <stdbool.h>
#include <stddef.h>

#include "base/random.h"
#include "state/state.h"

enum spread_distance {
    SPREAD_SAME_ZONE,
    SPREAD_SAME_REGION, /**< another availability zone of the region */
    SPREAD_OTHER_REGION,
    SPREAD_DISTANCE_COUNT,
};

/** Probability of a peer to be chosen. */
enum spread_peer_policy {
    SPREAD_PEERS_UNIFORM,    /**< the same for each peer */
    SPREAD_PEERS_BY_LATENCY, /**< by the inverse of the latency */
    SPREAD_PEERS_BY_SHARE,   /**< a fixed share per distance */
};

struct spreadpeers;

/** NULL if out of memory. */
struct spreadpeers *spreadpeers_create(const char *zone, const char *region,
                                       enum spread_peer_policy policy);
void spreadpeers_destroy(struct spreadpeers *peers);

/** Adds a peer, which must not be there yet. The name is borrowed. */
void spreadpeers_add(struct spreadpeers *peers, const char *name,
                     const char *zone, const char *region);
/** No effect if there is no such peer. */
void spreadpeers_remove(struct spreadpeers *peers, const char *name);

size_t spreadpeers_count(const struct spreadpeers *peers);

/** Name of a random peer, NULL if there is none. Borrowed. */
const char *spreadpeers_choose(const struct spreadpeers *peers,
                               struct random_state *random);

/** A random peer in another zone, or any peer if there is none. */
const char *spreadpeers_choose_other_zone(const struct spreadpeers *peers,
                                          struct random_state *random);

/** Bytes. */
size_t spreadpeers_memory(const struct spreadpeers *peers);

#endif
