/**
 * @file
 * What the modules of the planner share: the plan (planner.c), the other
 * instances (plannerpeers.c) and the taking
 * of keys of instances that are gone (plannertake.c).
 */
#ifndef CHESTNUTGAP_NODE_PLANNER_INTERNAL_H
#define CHESTNUTGAP_NODE_PLANNER_INTERNAL_H

#include <sys/queue.h>

#include "fleet/keyload.h"
#include "fleet/keyplan.h"
#include "node/node_internal.h"
#include "node/planner.h"

#define PLANNER_POLL_INTERVAL_US                                              \
    (1 * US_PER_SECOND) /* between questions for loads */
/* The first of these instances plans; all take the keys of lost ones, since
 * a lease names only those who were there when it was written. */
#define PLANNER_WATCHERS 3

/** What an instance of the service said of its load. */
struct peer_load {
    LIST_ENTRY(peer_load) link;
    char instance[KEYMAP_NAME_MAX + 1];
    int64_t at_us; /**< 0: never */
    int64_t asked_us;
    bool asking;
    unsigned failures; /**< questions in a row without an answer */
    unsigned slots;
    int64_t service_us;
    bool cold;
    double busy; /**< smoothed load for each slot */
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
    bool read;           /**< version is known */
    uint64_t version;    /**< of the row, 0: there is none */
    bool is_peer;        /**< the holder counts on this instance's promise */
    int64_t since_us;    /**< unchanged since then, as seen from here */
    int64_t reads_us;    /**< when the row is read again */
    int64_t promised_us; /**< its keys are not taken until then */
    bool taking;         /**< a write that takes its keys may take effect */
    bool wanted;         /**< the instance seems to be gone */
};

LIST_HEAD(watched_leases, watched_lease);

struct planner {
    struct node *node;
    struct timer tick;
    struct peer_loads peers;
    struct watched_leases leases;
    struct rowstore_call *map_call;
    char *map_text;
    struct watched_lease *map_lease; /* that the call deletes, or NULL */
    int64_t ready_us;                /* not before, after the start */
    int64_t own_service_us;          /* smoothed */
    int64_t own_sample_us;
    double own_busy;  /* smoothed load for each slot */
    int64_t level_us; /* next levelling of load */
    int64_t quiet_us; /* no new moves until then */
    struct counter *takes;
    struct counter *plans;
};

/** The map of the own service, or NULL. */
struct node_keymap *planner_keys(const struct planner *planner);

/* plannerpeers.c */

/** What the instance said, or NULL. */
struct peer_load *planner_find_peer(const struct planner *planner,
                                    const char *instance);
bool planner_is_self(const struct planner *planner, const char *instance);

/** True if the instance is of the service and has said that it is there. */
bool planner_is_member(const struct planner *planner,
                       const struct roster_notice *notice);

/** How many working instances are senior to this one; SIZE_MAX without a
 * target, or before others know of it. */
size_t planner_rank(const struct planner *planner);

/** A target's speed changes many times a second; keys should not. */
int64_t planner_smooth_service_time(int64_t before_us, int64_t now_us);

/** Load for each slot, over the last few answers. */
double planner_smooth_load(double before, unsigned load, unsigned slots);

/** Asks instances of the service for their loads; who does not watch asks
 * only those that do. */
void planner_poll_peers(struct planner *planner, bool watches, int64_t now_us);

/** True if the instance does not answer. */
bool planner_is_lost(const struct planner *planner, const char *instance);

/** True if it has not answered the latest question. */
bool planner_is_unresponsive(const struct planner *planner,
                             const char *instance);

/** Writes a new map, and deletes the lease if it is not NULL. */
void planner_write(struct planner *planner, const struct keymap *map,
                   struct watched_lease *lease);

/* plannertake.c */

/** Watches the leases of owners that seem to be gone, and takes the keys of
 * those whose lease is over, delay_us later. */
void plannertakeover_advance(struct planner *planner, int64_t delay_us);
void plannertakeover_free_lease(struct watched_lease *lease);

#endif
