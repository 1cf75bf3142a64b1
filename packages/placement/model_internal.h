/**
 * @file
 * State of the placement model, shared by the files that implement it.
 */
#ifndef CHESTNUTGAP_PLACEMENT_MODEL_INTERNAL_H
#define CHESTNUTGAP_PLACEMENT_MODEL_INTERNAL_H

#include <sys/queue.h>

#include "base/random.h"
#include "base/runtime.h"
#include "placement/model.h"

#define MODEL_TICK_US INT64_C(20000)         /* placer_run() and checks */
#define MODEL_LEASE_US INT64_C(750000)       /* length of a lease */
#define MODEL_RENEW_US INT64_C(250000)       /* between renewals */
#define MODEL_ANSWER_LOST_US INT64_C(500000) /* time limit of the store */
#define MODEL_SERVICE "archebion"

struct model;
struct model_event;

typedef void (*model_event_cb)(struct model *model, struct model_event *event);

/** Something that happens at a time. */
struct model_event {
    int64_t at_us;
    uint64_t order;
    model_event_cb handle;
    unsigned member;
    unsigned life; /* of member; the event is dropped in another life */
    unsigned from; /* member that sent it */
    unsigned from_life;
    uint32_t shard;
    uint32_t page;
    uint64_t number;  /* txn id, attempt or version of a page */
    uint64_t version; /* of committed rows */
    enum store_outcome outcome;
    bool flag;
    double load;
    struct place_action *action; /* owned */
    struct shardpage *content;   /* owned */
};

/** A row of the members table. */
struct model_row {
    uint64_t version;
    uint64_t incarnation;
    enum peer_state state;
};

/** What the model knows of a shard, whoever owns it. */
struct model_shard {
    double load;
    uint32_t epoch; /* highest at which it was served */
    int server;     /* member that served it last, or -1 */
    unsigned server_life;
    int64_t served_us;  /* time at which it was last seen served */
    int64_t drained_us; /* a planned move stopped it, 0: none */
    uint64_t token;     /* state that a handover must carry */
};

struct model_member {
    char name[STATE_NAME_MAX + 1];
    char zone[STATE_NAME_MAX + 1];
    unsigned zone_index;
    unsigned life; /* counts starts; messages of earlier lives are lost */
    bool running;
    bool paused;
    bool isolated;
    bool leaving;
    bool registering;
    bool registered; /* in this life */
    int64_t resume_us;
    int64_t lease_until_us;
    int64_t renewed_us;
    int64_t synced_us;
    int64_t loaded_us;
    uint64_t incarnation;
    struct shardmap *map;
    struct placer *placer;
};

struct model_page {
    uint64_t version;
    struct shardpage page;
};

struct model {
    struct model_options options;
    struct random_state random;
    int64_t now_us;
    uint64_t order;
    struct model_event **heap;
    size_t heap_count;
    size_t heap_capacity;

    uint64_t store_version;
    bool store_down;
    int64_t store_up_us;
    bool lose_next;
    bool conflict_next;
    struct model_row *rows;
    struct model_page *pages;
    uint32_t page_count;

    struct model_member *members;
    struct model_shard *shards; /* with room for split keys at the end */
    bool *zones_out;
    int64_t *zone_back_us;
    bool quiet; /* no random faults */
    int64_t next_check_us;

    int64_t *gaps_us;
    size_t gap_count;
    size_t gap_capacity;
    double load_moved;
    int64_t shards_moved;
    struct model_result result;
};

/** @name model.c */
/**@{*/
/** Creates an event for a member's present life at a delay. */
struct model_event *model_event_add(struct model *model, unsigned member,
                                    int64_t delay_us, model_event_cb handle);
int64_t model_latency(struct model *model, int64_t mean_us);
void model_violation(struct model *model, const char *what, uint32_t shard,
                     const char *member);
void model_trace(struct model *model, const char *member, const char *what,
                 const char *detail);
struct model_shard *model_shard_at(struct model *model, uint32_t shard);
int model_member_index(const struct model *model, const char *name);
/**@}*/

/** @name modelmember.c: members, their messages and their gates */
/**@{*/
void model_member_start(struct model *model, unsigned index);
void model_member_stop(struct model *model, unsigned index);
void model_member_tick(struct model *model, unsigned index);
void model_member_drain(struct model *model, unsigned index);
void model_check_serving(struct model *model, unsigned index);
/**@}*/

/** @name modelstore.c: the store and the leases */
/**@{*/
void model_store_commit(struct model *model, unsigned member,
                        struct place_action *action);
void model_store_read(struct model *model, unsigned member, uint32_t page);
void model_store_scan(struct model *model, unsigned member, uint64_t since,
                      bool answer);
void model_register(struct model *model, unsigned member);
void model_leases(struct model *model);
void model_tell_members(struct model *model, unsigned about);
void model_tell_one(struct model *model, unsigned member, unsigned about,
                    bool fenced_here);
/**@}*/

/** @name modelfaults.c: random faults */
/**@{*/
void model_random_faults(struct model *model);
/**@}*/

#endif
