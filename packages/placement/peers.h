/**
 * @file
 * The members of one service with their state, availability zone, capacity
 * and last reported load.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PEERS_H
#define CHESTNUTGAP_PLACEMENT_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "base/timeunits.h"
#include "state/state.h"

#define PEER_REPORT_FRESH_US (10 * US_PER_SECOND) /* longest age of one */
#define PEER_PENDING_LOAD_US (1 * US_PER_SECOND)  /* until reported */

enum peer_state {
    PEER_UNKNOWN, /**< registered, but not active yet */
    PEER_ACTIVE,
    PEER_LEAVING, /**< gets no new shards */
    PEER_GONE,    /**< fenced or left: serves nothing */
};

/** Facts from a member's row. */
struct peer_info {
    char name[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    enum peer_state state;
    uint64_t incarnation;
    uint64_t version; /**< of its members row */
    double capacity;  /**< concurrent requests of its target */
    /** Fenced by this instance, which reassigns its shards without delay. */
    bool fenced_here;
};

/** A member with its load. */
struct peer {
    struct peer_info info;
    uint64_t hash;            /**< of the name */
    bool zone_out;            /**< its zone is taken out */
    bool cold;                /**< its target is in cold start */
    double cold_limit;        /**< capacity during cold start */
    double load;              /**< requests in progress, smoothed */
    double pending_load;      /**< load moved to it since its last report */
    int64_t load_added_us;    /**< time of the last pending load */
    bool wants_load;          /**< it asked for more load */
    int64_t reported_us;      /**< time of the last report, 0: none */
    int64_t state_changed_us; /**< time of the last change of state */
};

struct peers;

/** NULL if out of memory. */
struct peers *peers_create(void);
void peers_destroy(struct peers *peers);

/** Adds or updates a member. An older version of its row is ignored. */
struct peer *peers_update(struct peers *peers, const struct peer_info *info,
                          int64_t now_us);

/** NULL if there is none of that name. */
struct peer *peers_find(const struct peers *peers, const char *name);

size_t peers_count(const struct peers *peers);

/** Peer number index, in order of names. */
struct peer *peers_at(const struct peers *peers, size_t index);

/** Takes a zone out or back in for all its members. */
void peers_set_zone_out(struct peers *peers, const char *zone, bool out);

void peers_record_load(struct peer *peer, double load, bool cold,
                       double cold_limit, bool wants_load, int64_t now_us);

/** Counts load that is being moved to a peer until its reports include it. */
void peers_add_pending_load(struct peer *peer, double load, int64_t now_us);

/** Removes pending load after a cancelled move. */
void peers_remove_pending_load(struct peer *peer, double load);

/** True if the peer may get shards: active and its zone not taken out. */
bool peer_is_eligible(const struct peer *peer);

/** Capacity, limited during cold start. At least 1. */
double peer_capacity(const struct peer *peer);

/** Load over capacity, pending load included. */
double peer_load_ratio(const struct peer *peer);

/** A random eligible peer whose name is not except, or NULL. */
struct peer *peers_pick_random(const struct peers *peers,
                               struct random_state *random,
                               const char *except);

/**
 * Of choices random eligible peers, the one with the lowest load ratio after
 * it receives load weight. NULL if there is none whose name is not except.
 */
struct peer *peers_pick_least_loaded(const struct peers *peers,
                                     struct random_state *random,
                                     unsigned choices, double weight,
                                     const char *except);

/** Rank of a member among the eligible peers for a subject (rendezvous
 * hashing), 0 first. Equal wherever the same peers are known. */
size_t peers_rank(const struct peers *peers, uint64_t subject,
                  const char *name);

size_t peers_memory(const struct peers *peers);

#endif
