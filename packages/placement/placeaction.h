/**
 * @file
 * What the placement unit asks for: store transactions, messages to other
 * members and calls into the gate. The wiring carries them out in order.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACEACTION_H
#define CHESTNUTGAP_PLACEMENT_PLACEACTION_H

#include <sys/queue.h>

#include "placement/shardchange.h"

enum place_action_type {
    PLACE_COMMIT_PAGE,  /**< commit write; answer placer_committed() */
    PLACE_READ_PAGE,    /**< read page; answer placer_page_read() */
    PLACE_SCAN_PAGES,   /**< read all pages; answer placer_pages_scanned() */
    PLACE_SHARD_GAINED, /**< the gate may serve shard at epoch */
    PLACE_EPOCH_RAISED, /**< the shard's epoch rose, nothing else changed */
    PLACE_DRAIN_SHARD,  /**< admit no more, finish; answer placer_drained() */
    PLACE_RESUME_SHARD, /**< the move was given up: admit again */
    PLACE_SHARD_LOST,   /**< forget the shard */
    PLACE_KEY_SPLIT,    /**< key shard was split out of base, both are owned */
    PLACE_KEY_MERGED,   /**< key shard was merged into base, both are owned */
    PLACE_RESERVE,      /**< ask peer to accept shard; answer
                           placer_receiver_answered() */
    PLACE_HANDOVER,  /**< send blob to peer; answer placer_receiver_answered()
                      */
    PLACE_SEND_PAGE, /**< tell peer of the committed page */
    PLACE_PUBLISH_PAGE,  /**< spread the committed page */
    PLACE_EXCHANGE_LOAD, /**< exchange load reports with peer */
    PLACE_READ_MEMBER,   /**< read the members row of peer */
};

/** One action. Fields that do not matter to a type are 0. */
struct place_action {
    TAILQ_ENTRY(place_action) link;
    enum place_action_type type;
    uint32_t shard;
    uint32_t base; /**< of a single key */
    uint32_t epoch;
    uint32_t page;
    uint64_t attempt;
    bool planned; /**< gained with the former owner's complete state */
    bool urgent;  /**< of a reservation: the owner must be rid of it */
    double weight;
    char peer[STATE_NAME_MAX + 1];
    struct page_write *write; /**< owned by the action */
    void *blob;               /**< owned by the action */
    size_t blob_size;
};

TAILQ_HEAD(place_action_list, place_action);

/** Name in lower case without the prefix. */
const char *place_action_name(enum place_action_type type);

void place_action_destroy(struct place_action *action);

#endif
