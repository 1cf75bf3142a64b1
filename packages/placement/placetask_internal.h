/**
 * @file
 * What the modules of the placement task share.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACETASK_INTERNAL_H
#define CHESTNUTGAP_PLACEMENT_PLACETASK_INTERNAL_H

#include <sys/queue.h>

#include "base/counter.h"
#include "base/random.h"
#include "base/runtime.h"
#include "placement/placetask.h"

#define PLACE_SHARDS_TABLE "shards"

/* One call to the store or another instance, with what its answer needs. */
struct place_operation {
    LIST_ENTRY(place_operation) link;
    struct placetask *task;
    struct place_action *action; /* owned */
};

LIST_HEAD(place_operations, place_operation);

/* A read of all pages, or of those that changed, in batches. */
struct place_scan {
    bool running;
    bool for_placer;  /* answers the placer's request */
    uint64_t since;   /* of this scan */
    uint64_t version; /* the store's when it began */
    char after[SHARDPAGE_ROW_NAME_SIZE];
};

struct placetask {
    struct placetask_options options;
    struct random_state random;
    struct shardmap *map;
    struct placer *placer; /* NULL until the own service is declared */
    char service[STATE_NAME_MAX + 1];
    struct member self; /* the own row; its version is 0 before it is known */
    int64_t lease_until_us;
    bool leaving;
    struct place_operations operations;
    struct place_scan scan;
    bool scan_wanted;       /* by the placer, while another one runs */
    uint64_t known_version; /* all pages up to here are in the map */
    struct timer run_timer;
    struct timer poll_timer;
    struct counter *commits;
    struct counter *conflicts;
    struct counter *unknown;
    struct counter *scans;
    struct counter *moves_started;
    struct counter *moves_done;
    struct counter *moves_given_up;
    struct counter *replaced;
    struct counter *claimed;
    struct counter *owned;
    struct counter *map_bytes;
};

/** Remembers an operation; takes over the action. */
struct place_operation *place_operation_start(struct placetask *task,
                                              struct place_action *action);
void place_operation_end(struct place_operation *operation);

/** Carries out the placer's actions and sets the timer. Call after every
 * input. */
void placetask_run_actions(struct placetask *task);

/** @name placestore.c: actions for the store; each takes over the action */
/**@{*/
void placestore_commit(struct placetask *task, struct place_action *action);
void placestore_read(struct placetask *task, struct place_action *action);
void placestore_read_member(struct placetask *task,
                            struct place_action *action);

/** Reads all pages for the placer, or those that changed. */
void placestore_scan(struct placetask *task, bool for_placer);
/**@}*/

/** @name placerpc.c: actions for other instances */
/**@{*/
void placerpc_serve(struct placetask *task);
void placerpc_reserve(struct placetask *task, struct place_action *action);
void placerpc_handover(struct placetask *task, struct place_action *action);
void placerpc_publish(struct placetask *task, uint32_t page);
void placerpc_send_page(struct placetask *task, const char *peer,
                        uint32_t page);
void placerpc_exchange_load(struct placetask *task, const char *peer);
/**@}*/

#endif
