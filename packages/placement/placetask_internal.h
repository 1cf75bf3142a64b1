/**
 * @file
 * State of the placement task, shared by the files that implement it.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACETASK_INTERNAL_H
#define CHESTNUTGAP_PLACEMENT_PLACETASK_INTERNAL_H

#include <sys/queue.h>

#include "base/counter.h"
#include "base/random.h"
#include "base/runtime.h"
#include "placement/placetask.h"

#define PLACE_SHARDS_TABLE "shards"

/* Context of an outstanding call to the store or another instance. */
struct place_operation {
    LIST_ENTRY(place_operation) link;
    struct placetask *task;
    struct place_action *action; /* owned */
};

LIST_HEAD(place_operations, place_operation);

/* Reads all pages, or those changed since a version, in batches. */
struct place_scan {
    bool running;
    bool for_placer;  /* reports to placer_pages_scanned() */
    uint64_t since;   /* reads pages changed after this version */
    uint64_t version; /* the store's at the first batch */
    char after[SHARDPAGE_ROW_NAME_SIZE];
};

struct placetask {
    struct placetask_options options;
    struct random_state random;
    struct shardmap *map;
    struct placer *placer; /* NULL until the service is declared */
    char service[STATE_NAME_MAX + 1];
    struct member self; /* this instance's row, version 0: unknown */
    int64_t lease_until_us;
    bool leaving;
    struct place_operations operations;
    struct place_scan scan;
    bool scan_wanted;       /* requested by the placer during another one */
    uint64_t known_version; /* the map has all pages up to it */
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

/** The time of the runtime's clock. */
int64_t placetask_now_us(const struct placetask *task);

/** Creates an operation, which takes ownership of the action. */
struct place_operation *place_operation_start(struct placetask *task,
                                              struct place_action *action);
void place_operation_end(struct place_operation *operation);

/** Runs the placer's actions and sets the timer. Call after every input of
 * the placer. */
void placetask_run_actions(struct placetask *task);

/** @name placestore.c: store operations; they take ownership of the action */
/**@{*/
void placestore_commit(struct placetask *task, struct place_action *action);
void placestore_read(struct placetask *task, struct place_action *action);
void placestore_read_member(struct placetask *task,
                            struct place_action *action);

/** Reads all pages for the placer, or otherwise those that changed. */
void placestore_scan(struct placetask *task, bool for_placer);
/**@}*/

/** @name placerpc.c: calls to other instances */
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
