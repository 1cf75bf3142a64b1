/**
 * @file
 * What the modules of the keyowner share: the holds of the target
 * (keyowner.c), its grants (keepergrant.c), the lease (keeperlease.c) and the
 * changes of the map (keepermap.c).
 */
#ifndef CHESTNUTGAP_NODE_KEYOWNER_INTERNAL_H
#define CHESTNUTGAP_NODE_KEYOWNER_INTERNAL_H

#include <sys/queue.h>

#include "fleet/keylease.h"
#include "fleet/keyload.h"
#include "http/httpclient.h"
#include "node/keyowner.h"
#include "node/node_internal.h"

#define KEYOWNER_TICK_US (100 * US_PER_MS)
#define KEYOWNER_LOAD_HALF_LIFE_US (2 * US_PER_SECOND)

/** Keys that the target holds or is about to. */
struct hold {
    TAILQ_ENTRY(hold) link;
    struct keyowner *keyowner;
    uint32_t first;
    uint32_t last;
    uint64_t fence;
    char token[KEYMAP_NAME_MAX + 1]; /**< for the first grant */
    bool granted;      /**< the target confirmed the latest grants */
    bool moving;       /**< released, or about to be */
    int64_t until_us;  /**< requests may begin until then */
    int64_t ends_us;   /**< no grant of it can hold any longer */
    int64_t unsure_us; /**< a grant without an answer may hold until then */
    int64_t renew_us;
    int64_t sent_us;  /**< of the call */
    int64_t asked_us; /**< hold that the call asks for */
    struct http_call *call;
};

TAILQ_HEAD(key_grant_list, hold);

/** Keys on their way to another holder. */
struct handover {
    TAILQ_ENTRY(handover) link;
    struct keyowner *keyowner;
    uint32_t first;
    uint32_t last;
    struct keymap_holder to;
    char token[KEYMAP_NAME_MAX + 1];
    bool released; /**< ready to be written */
    unsigned calls;
    bool failed;
    int64_t begun_us;
};

TAILQ_HEAD(handover_list, handover);

/** A release that the target has not answered. */
struct release_call {
    LIST_ENTRY(release_call) link;
    struct handover *handover;
    struct http_call *http;
};

LIST_HEAD(release_list, release_call);

/** Keys of a former life that the present one is asked to release: a grant
 * that was meant for the former life may have reached it. */
struct clearing {
    LIST_ENTRY(clearing) link;
    struct keyowner *keyowner;
    uint32_t first;
    uint32_t last;
    uint64_t fence;
    bool done;
    struct http_call *call;
};

LIST_HEAD(stale_release_list, clearing);

struct keyowner {
    struct node *node;
    struct timer tick;
    struct key_grant_list holds;
    struct handover_list handovers;
    struct release_list releases;
    struct stale_release_list clearings; /**< by the present life */
    struct keyload *load;
    int64_t decay_us;
    struct keylease lease;
    struct rowstore_call *lease_call;
    int64_t lease_begun_us;
    char lease_key[KEYMAP_NAME_MAX + 1];
    char *lease_text;   /**< of the call */
    char *lease_stored; /**< as the store has it */
    uint64_t lease_number;
    bool lease_fresh;  /**< the latest write took effect */
    bool lease_unsure; /**< the text may still be written by an earlier call */
    unsigned promises_due;
    bool promises_failed;
    int64_t promises_begun_us;
    struct rowstore_call *map_call;
    char *map_text; /**< of the call */
    bool touched;   /**< no earlier process's write can take effect */
    int64_t map_retry_us;
    bool map_unsure;        /**< an earlier write may still take effect */
    int64_t former_ends_us; /**< a former life may hold keys until then */
    int64_t unsure_us;      /**< grants without an answer may take effect */
    struct counter *grants;
    struct counter *grants_failed;
    struct counter *moves;
    struct counter *lease_lost;
};

/** The map of the target's service, or NULL. */
struct node_keymap *keyowner_keys(const struct keyowner *keyowner);

/** True if the lease was good just now. */
bool keyowner_has_lease(const struct keyowner *keyowner);

/** True if grants may be given: the lease holds, and the map was read since
 * it was acquired. */
bool keyowner_may_grant(const struct keyowner *keyowner);

/** Brings the holds in line with the map. */
void keyowner_sync_grants(struct keyowner *keyowner);

struct hold *keyowner_find_grant(const struct keyowner *keyowner,
                                 uint32_t key);

/* keepergrant.c */

/** Sends grants that are due. */
void keyownergrant_send_due(struct keyowner *keyowner);
void keyownergrant_release(struct handover *handover);
void keyownergrant_free(struct hold *hold);
void keyownergrant_drop_handover(struct handover *handover);

/** Has the present life release a segment of a former one. @return true once
 * it has */
bool keyownergrant_release_stale(struct keyowner *keyowner,
                                 const struct keymap_segment *segment);

/** The present life is over. */
void keyownergrant_drop_stale_releases(struct keyowner *keyowner);

/* keeperlease.c */

void keyownerlease_renew(struct keyowner *keyowner);

/* keepermap.c */

/** Ends hand-overs whose keys the map gives to others. */
void keyownermap_finish_handovers(struct keyowner *keyowner);

/** Writes changes of the map that are due. */
void keyownermap_write_changes(struct keyowner *keyowner);

#endif
