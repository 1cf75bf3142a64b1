/**
 * @file
 * State of the placement model, shared by the files that implement it.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACEMODEL_INTERNAL_H
#define CHESTNUTGAP_PLACEMENT_PLACEMODEL_INTERNAL_H

#include <sys/queue.h>

#include "base/random.h"
#include "base/timeunits.h"
#include "placement/placemodel.h"
#include "placement/placer_internal.h"

/* Between calls of placer_run() and checks. */
#define PLACEMODEL_TICK_US (20 * US_PER_MS)
#define PLACEMODEL_LEASE_US (750 * US_PER_MS) /* lease duration */
#define PLACEMODEL_RENEW_US (250 * US_PER_MS) /* between renewals */
/* Until a commit without answer has an unknown outcome. */
#define PLACEMODEL_ANSWER_LOST_US (500 * US_PER_MS)
#define PLACEMODEL_SERVICE "archebion"

struct placemodel;
struct placemodel_event;

typedef void (*placemodel_event_cb)(struct placemodel *model,
                                    struct placemodel_event *event);

/** An event in simulated time. */
struct placemodel_event {
    int64_t at_us;
    uint64_t order;
    placemodel_event_cb handle;
    unsigned member;
    unsigned generation; /* of member; the event is dropped if it differs */
    unsigned from;       /* sending member */
    unsigned from_generation;
    uint32_t shard;
    uint32_t page;
    uint64_t number;  /* transaction id, attempt or page version */
    uint64_t version; /* of committed rows */
    enum store_outcome outcome;
    bool flag;
    double load;
    struct place_action *action; /* owned */
    struct shardpage *content;   /* owned */
};

/** A row of the members table. */
struct placemodel_row {
    uint64_t version;
    uint64_t incarnation;
    enum peer_state state;
};

/** State of a shard, independent of its owner. */
struct placemodel_shard {
    double load;
    uint64_t hot_hash;
    double hot_load;
    uint32_t epoch; /* last one at which it was served */
    int server;     /* last member that served it, or -1 */
    unsigned server_generation;
    int64_t served_us;  /* time of the last check that found it served */
    int64_t drained_us; /* start of the drain of a planned move, 0: none */
    uint64_t token;     /* state that a handover must contain */
};

struct placemodel_member {
    char name[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    unsigned zone_index;
    unsigned generation; /* rises with each start and stop; events of an
                            earlier one are dropped */
    bool running;
    bool paused;
    bool isolated;
    bool leaving;
    bool registering;
    bool registered; /* since the last start */
    int64_t resume_us;
    int64_t lease_until_us;
    int64_t renewed_us;
    int64_t synced_us;
    int64_t loaded_us;
    uint64_t incarnation;
    struct shardmap *map;
    struct placer *placer;
};

struct placemodel_page {
    uint64_t version;
    struct shardpage page;
};

struct placemodel {
    struct placemodel_options options;
    struct random_state random;
    int64_t now_us;
    uint64_t order;
    struct placemodel_event **heap;
    size_t heap_count;
    size_t heap_capacity;

    uint64_t store_version;
    bool store_down;
    int64_t store_up_us;
    bool lose_next_answer;
    bool conflict_next_commit;
    struct placemodel_row *rows;
    struct placemodel_page *pages;
    uint32_t page_count;

    struct placemodel_member *members;
    struct placemodel_shard *shards; /* split keys at the end */
    bool *zones_out;
    int64_t *zone_back_us;
    bool faults_ended;
    int64_t next_check_us;

    int64_t *gaps_us;
    size_t gap_count;
    size_t gap_capacity;
    double load_moved;
    int64_t shards_moved;
    struct placemodel_result result;
};

/** @name placemodel.c */
/**@{*/
/** Adds an event for a member's present generation after a delay. */
struct placemodel_event *placemodel_event_add(struct placemodel *model,
                                              unsigned member,
                                              int64_t delay_us,
                                              placemodel_event_cb handle);
int64_t placemodel_latency(struct placemodel *model, int64_t mean_us);
void placemodel_violation(struct placemodel *model, const char *what,
                          uint32_t shard, const char *member);
void placemodel_trace(struct placemodel *model, const char *member,
                      const char *what, const char *detail);
struct placemodel_shard *placemodel_shard_at(struct placemodel *model,
                                             uint32_t shard);
int placemodel_member_index(const struct placemodel *model, const char *name);
/**@}*/

/** @name placemodelmember.c: members with their messages and gates */
/**@{*/
void placemodel_member_start(struct placemodel *model, unsigned index);
void placemodel_member_stop(struct placemodel *model, unsigned index);
void placemodel_member_tick(struct placemodel *model, unsigned index);
void placemodel_member_run_actions(struct placemodel *model, unsigned index);
void placemodel_check_serving(struct placemodel *model, unsigned index);
/**@}*/

/** @name placemodelstore.c: the store and the leases */
/**@{*/
void placemodel_store_commit(struct placemodel *model, unsigned member,
                             struct place_action *action);
void placemodel_store_read(struct placemodel *model, unsigned member,
                           uint32_t page);
void placemodel_store_scan(struct placemodel *model, unsigned member,
                           uint64_t since, bool answer);
void placemodel_register(struct placemodel *model, unsigned member);
void placemodel_update_leases(struct placemodel *model);
void placemodel_notify_members(struct placemodel *model, unsigned subject);
void placemodel_notify_member(struct placemodel *model, unsigned member,
                              unsigned subject, bool fenced_here);
/**@}*/

/** @name placemodelfaults.c: random faults */
/**@{*/
void placemodel_random_faults(struct placemodel *model);
/**@}*/

#endif
