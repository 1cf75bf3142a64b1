/**
 * @file
 * What the placement unit asks for: store transactions, messages to other
 * members and calls into the gate. The wiring carries them out in order.
 */
#ifndef CHESTNUTGAP_PLACEMENT_ACTION_H
#define CHESTNUTGAP_PLACEMENT_ACTION_H

#include <sys/queue.h>

#include "placement/change.h"

enum place_action_type {
    PLACE_COMMIT,   /**< commit write; answer placer_committed() */
    PLACE_READ,     /**< read page; answer placer_read() */
    PLACE_SCAN,     /**< read all pages; answer placer_scanned() */
    PLACE_GAINED,   /**< the gate may serve shard at epoch */
    PLACE_EPOCH,    /**< the shard's epoch rose, nothing else changed */
    PLACE_DRAIN,    /**< admit no more, finish; answer placer_drained() */
    PLACE_RESUME,   /**< the move was given up: admit again */
    PLACE_LOST,     /**< forget the shard */
    PLACE_SPLIT,    /**< key shard was split out of base, both are owned */
    PLACE_MERGED,   /**< key shard was merged into base, both are owned */
    PLACE_RESERVE,  /**< ask peer to accept shard; answer placer_handed() */
    PLACE_HANDOVER, /**< send blob to peer; answer placer_handed() */
    PLACE_ASSIGN,   /**< tell peer of the committed page */
    PLACE_PUBLISH,  /**< spread the committed page */
    PLACE_PROBE,    /**< exchange load reports with peer */
    PLACE_REFRESH,  /**< read the members row of peer */
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
