/**
 * @file
 * Actions that a placer requests: store operations, messages to other members
 * and calls into the gate. Its user carries them out in order.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACEACTION_H
#define CHESTNUTGAP_PLACEMENT_PLACEACTION_H

#include <sys/queue.h>

#include "placement/shardchange.h"

enum place_action_type {
    PLACE_COMMIT_PAGE,   /**< commit write, then placer_committed() */
    PLACE_READ_PAGE,     /**< read page, then placer_page_read() */
    PLACE_SCAN_PAGES,    /**< read all pages, then placer_pages_scanned() */
    PLACE_SHARD_GAINED,  /**< the gate may serve shard at epoch */
    PLACE_EPOCH_RAISED,  /**< the epoch of an owned shard rose */
    PLACE_DRAIN_SHARD,   /**< stop admitting, then placer_drained() */
    PLACE_RESUME_SHARD,  /**< the move was cancelled: admit again */
    PLACE_SHARD_LOST,    /**< drop all state of the shard */
    PLACE_KEY_SPLIT,     /**< key shard was split out of base; both owned */
    PLACE_KEY_MERGED,    /**< key shard was merged into base; both owned */
    PLACE_RESERVE,       /**< ask peer, then placer_receiver_answered() */
    PLACE_HANDOVER,      /**< send blob, then placer_receiver_answered() */
    PLACE_SEND_PAGE,     /**< send the committed page to peer */
    PLACE_PUBLISH_PAGE,  /**< spread the committed page to all members */
    PLACE_EXCHANGE_LOAD, /**< exchange load reports with peer */
    PLACE_READ_MEMBER,   /**< read the members row of peer */
};

/** An action. Fields that its type does not use are 0. */
struct place_action {
    TAILQ_ENTRY(place_action) link;
    enum place_action_type type;
    uint32_t shard;
    uint32_t base; /**< shard that a single key was split out of */
    uint32_t epoch;
    uint32_t page;
    uint64_t attempt;
    bool planned; /**< gained with the previous owner's complete state */
    bool urgent;  /**< reservation during an evacuation */
    double weight;
    char peer[STATE_NAME_MAX + 1];
    struct page_write *write; /**< owned by the action */
    void *blob;               /**< owned by the action */
    size_t blob_size;
};

TAILQ_HEAD(place_action_list, place_action);

/** Name in traces, for example "gained". */
const char *place_action_name(enum place_action_type type);

void place_action_destroy(struct place_action *action);

#endif
