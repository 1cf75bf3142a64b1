/**
 * @file
 * The members of one service as placement sees them: state, availability
 * zone, capacity and the load they last reported.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PEERS_H
#define CHESTNUTGAP_PLACEMENT_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "state/state.h"

#define PEER_REPORT_FRESH_US                                                  \
    INT64_C(10000000) /* a report counts this long                            \
                       */
#define PEER_PENDING_LOAD_US                                                  \
    INT64_C(1000000) /* until reports include a shard */

enum peer_state {
    PEER_UNKNOWN, /**< registered, but not active yet */
    PEER_ACTIVE,
    PEER_LEAVING, /**< gets no new shards */
    PEER_GONE,    /**< fenced or left: serves nothing any more */
};

/** What membership tells about a member. */
struct peer_info {
    char name[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    enum peer_state state;
    uint64_t incarnation;
    uint64_t version; /**< of its members row */
    double capacity;  /**< requests that its target runs at once */
    /** This instance fenced it: it places its shards without delay. */
    bool fenced_here;
};

/** A member and what is known of its load. */
struct peer {
    struct peer_info info;
    uint64_t hash;            /**< of the name */
    bool zone_out;            /**< its zone was taken out */
    bool cold;                /**< its target is in cold start */
    double cold_limit;        /**< requests that it bears while cold */
    double load;              /**< requests in progress, smoothed */
    double pending_load;      /**< load placed there since its last report */
    int64_t load_added_us;    /**< time at which load was last placed there */
    bool wants_load;          /**< it asked for its share */
    int64_t reported_us;      /**< time of the last report, 0: none */
    int64_t state_changed_us; /**< time of the last change of state */
};

struct peers;

/** NULL when memory is short. */
struct peers *peers_create(void);
void peers_destroy(struct peers *peers);

/** Adds or updates a member. Older versions of its row are ignored. */
struct peer *peers_update(struct peers *peers, const struct peer_info *info,
                          int64_t now_us);

/** NULL if there is none of that name. */
struct peer *peers_find(const struct peers *peers, const char *name);

size_t peers_count(const struct peers *peers);

/** Peer number index, in order of names. */
struct peer *peers_at(const struct peers *peers, size_t index);

/** Takes a zone out or back for all its members. */
void peers_set_zone_out(struct peers *peers, const char *zone, bool out);

/** Notes a load report. */
void peers_record_load(struct peer *peer, double load, bool cold,
                       double cold_limit, bool wants_load, int64_t now_us);

/** Counts load that is being placed there until a report includes it. */
void peers_add_pending_load(struct peer *peer, double load, int64_t now_us);

/** Takes back load that was not placed there after all. */
void peers_remove_pending_load(struct peer *peer, double load);

/** True if the peer may be given shards: active, zone not out. */
bool peer_is_eligible(const struct peer *peer);

/** Capacity now: less while cold. Never 0. */
double peer_capacity(const struct peer *peer);

/** Load over capacity, with what was placed there since the report. */
double peer_load_ratio(const struct peer *peer);

/** A random eligible peer other than the one named, or NULL. */
struct peer *peers_pick_random(const struct peers *peers,
                               struct random_state *random,
                               const char *except);

/**
 * Of choices random picks, the one with the lowest ratio after receiving
 * weight. NULL if there is no eligible peer besides the one named.
 */
struct peer *peers_pick_least_loaded(const struct peers *peers,
                                     struct random_state *random,
                                     unsigned choices, double weight,
                                     const char *except);

/** Number of eligible peers ranked before the one named for a subject. The
 * order is the same wherever the same peers are known. */
size_t peers_rank(const struct peers *peers, uint64_t subject,
                  const char *name);

size_t peers_memory(const struct peers *peers);

#endif
