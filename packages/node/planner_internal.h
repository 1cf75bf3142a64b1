/**
 * @file
 * Shared by the planner modules: the plan (planner.c), the state of the other
 * instances (plannerpeers.c) and the takeover of keys of lost instances
 * (plannertakeover.c).
 */
#ifndef CHESTNUTGAP_NODE_PLANNER_INTERNAL_H
#define CHESTNUTGAP_NODE_PLANNER_INTERNAL_H

#include <sys/queue.h>

#include "fleet/firstplan.h"
#include "fleet/keyload.h"
#include "fleet/keyplan.h"
#include "node/node_internal.h"
#include "node/planner.h"

#define PLANNER_POLL_INTERVAL_US (1 * US_PER_SECOND) /* of peers' loads */
/* Number of instances, in the order of their start, that take over keys of
 * lost ones; the first of them plans. Later ones may be missing in leases,
 * which name only the peers known when they were written. */
#define PLANNER_WATCHERS 3
/* Number of instances, in the order of their start, that leases name: the
 * watchers, and who replaces them if they are lost. */
#define PLANNER_PEERS_NAMED 5
#define PLANNER_TARGETS_MAX 512

/** Load that an instance of the service reported. */
struct peer_load {
    LIST_ENTRY(peer_load) link;
    char instance[KEYMAP_NAME_MAX + 1];
    int64_t received_us; /**< latest answer; 0: none yet */
    int64_t queried_us;
    bool query_pending;
    unsigned failures; /**< consecutive queries without an answer */
    unsigned slots;
    int64_t service_us;
    bool cold;
    bool limited; /**< its target names a rate limit */
    double limit_per_s;
    bool limit_exceeded;  /**< and refused requests for it recently */
    double load_per_slot; /**< smoothed */
    struct keyload_step *steps;
    size_t step_count;
};

LIST_HEAD(peer_loads, peer_load);

/** An instance whose lease is watched, or that asked for a promise. */
struct watched_lease {
    LIST_ENTRY(watched_lease) link;
    struct planner *planner;
    char instance[KEYMAP_NAME_MAX + 1];
    struct rowstore_call *call;
    bool version_known;
    uint64_t version;           /**< of the row; 0: there is none */
    uint64_t store_version;     /**< of the store when it was read last */
    bool needs_promise;         /**< the row names this instance as a peer */
    bool is_present;            /**< the row was written in the present era */
    int64_t unchanged_since_us; /**< when this version was first read here */
    int64_t renewed_us; /**< latest change seen since it is watched; 0: none */
    int64_t next_read_us;
    int64_t promised_until_us; /**< no takeover before then */
    bool takeover_pending;     /**< a takeover may still take effect */
    bool watched;              /**< the instance may be gone */
};

LIST_HEAD(watched_leases, watched_lease);

struct planner {
    struct node *node;
    struct timer tick;
    struct peer_loads peers;
    struct watched_leases leases;
    struct rowcommit_call *map_call;
    char era_key[KEYMAP_NAME_MAX + sizeof(NODE_ERA_KEY)];
    struct rowcommit_call *era_call;      /* records that the era is settled */
    struct keymapwrite map_write;         /* of map_call */
    struct watched_lease *takeover_lease; /* that map_call deletes, or NULL */
    int64_t plan_from_us;                 /* nothing is planned earlier */
    struct firstplan first_plan;
    int64_t shed_at_us;     /* keys may be given away by itself from then on */
    int64_t own_service_us; /* smoothed */
    int64_t next_own_sample_us;
    double own_load_per_slot; /* smoothed */
    int64_t rebalance_at_us;
    int64_t settle_until_us; /* no moves are ordered until then */
    struct counter *takeovers;
    struct counter *plans;
};

/** The key map of the own service, or NULL. */
struct node_keymap *planner_keys(const struct planner *planner);

/* plannerpeers.c */

/** Latest state of the peer, or NULL if it was never queried. */
struct peer_load *planner_find_peer(const struct planner *planner,
                                    const char *instance);
bool planner_is_self(const struct planner *planner, const char *instance);

/** True if the instance has a target of this service. */
bool planner_serves_own_service(const struct planner *planner,
                                const struct instancetable_row *instance_row);

/** How many working instances started earlier than this one; SIZE_MAX without
 * a target, or before the own row is known. */
size_t planner_rank(const struct planner *planner);

/** Smoothed, since a target's speed changes many times a second and keys
 * should not move as often. */
int64_t planner_smooth_service_time(int64_t before_us, int64_t now_us);

/** Load per slot, smoothed over the last few samples. */
double planner_smooth_load(double before, unsigned load, unsigned slots);

/** Queries instances of the service for their loads: all of them if this
 * instance is a watcher, otherwise only those that leases name. */
void planner_poll_peers(struct planner *planner, bool is_watcher,
                        int64_t now_us);

/** True if the instance has answered a query, and one of the latest two. */
bool planner_answers(const struct planner *planner, const char *instance);

/** True if several consecutive queries had no answer. */
bool planner_is_lost(const struct planner *planner, const char *instance);

/** True if the latest query had no answer. */
bool planner_is_unresponsive(const struct planner *planner,
                             const char *instance);

/** Writes a new map and deletes the lease, if not NULL, in one transaction. */
void planner_write(struct planner *planner, const struct keymap *map,
                   struct watched_lease *lease);

/* plannertakeover.c */

/** Watches the leases of owners that may be gone, and takes over their keys
 * delay_us after the lease has expired. */
void plannertakeover_advance(struct planner *planner, int64_t delay_us);
void plannertakeover_free_lease(struct watched_lease *lease);

/** True if the instance was seen to renew its lease within the time that a
 * lease lasts: it is alive, however late it answers queries. */
bool plannertakeover_is_renewed(const struct planner *planner,
                                const char *instance);

/* plannershed.c */

/** Gives keys away if the own target has far more than its share. */
void plannershed_advance(struct planner *planner,
                         const struct node_keymap *keys, int64_t now_us);

#endif
