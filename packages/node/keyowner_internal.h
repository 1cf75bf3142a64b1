/**
 * @file
 * Shared by the keyowner modules: which keys are granted (keyowner.c), the
 * grant and release calls to the target (keyownergrant.c), the lease
 * (keyownerlease.c) and changes of the key map (keyownermap.c).
 */
#ifndef CHESTNUTGAP_NODE_KEYOWNER_INTERNAL_H
#define CHESTNUTGAP_NODE_KEYOWNER_INTERNAL_H

#include <sys/queue.h>

#include "fleet/keylease.h"
#include "fleet/keyload.h"
#include "fleet/keymove.h"
#include "http/httpclient.h"
#include "node/keyowner.h"
#include "node/node_internal.h"
#include "node/relaytask.h"
#include "node/rowcommit.h"

#define KEYOWNER_TICK_US (100 * US_PER_MS)
#define KEYOWNER_LOAD_HALF_LIFE_US (2 * US_PER_SECOND)

/** Keys that are granted to the target, or are about to be. */
struct key_grant {
    TAILQ_ENTRY(key_grant) link;
    struct keyowner *keyowner;
    uint32_t first;
    uint32_t last;
    uint64_t fence;                  /**< of the map */
    char token[KEYMAP_NAME_MAX + 1]; /**< sent with the first grant */
    bool confirmed;                  /**< by the target */
    int64_t first_confirmed_us;      /**< 0: not yet */
    bool releasing;                  /**< being handed over */
    bool retained;          /**< since before the store returned from a copy */
    int64_t start_until_us; /**< requests may begin until then */
    int64_t latest_end_us;  /**< end of all grants sent, at the latest */
    int64_t unresolved_until_us; /**< end of grants without an answer */
    int64_t renew_at_us;
    int64_t sent_us;           /**< when the latest call was sent */
    uint64_t sent_fence;       /**< of the latest call */
    int64_t former_order_us;   /**< the order before it; 0: none */
    int64_t requested_hold_us; /**< duration that it asked for */
    struct http_call *call;
};

TAILQ_HEAD(key_grant_list, key_grant);

/** Keys that are being handed over to another holder. */
struct handover {
    TAILQ_ENTRY(handover) link;
    struct keyowner *keyowner;
    uint32_t first;
    uint32_t last;
    uint64_t fence_max; /**< of the keys when they were given up */
    struct keymap_holder to;
    char token[KEYMAP_NAME_MAX + 1];
    bool released;  /**< by the target; the map may be written */
    unsigned calls; /**< releases without an answer */
    bool failed;
    int64_t started_us;
};

TAILQ_HEAD(handover_list, handover);

/** A move that can't begin yet, or that waits for a moment at which no request
 * runs for its key. */
struct waiting_move {
    TAILQ_ENTRY(waiting_move) link;
    uint32_t first;
    uint32_t last;
    struct keymap_holder to;
    struct keymove_wait wait;
};

TAILQ_HEAD(waiting_move_list, waiting_move);

/** A release that the target has not answered yet. */
struct release_call {
    LIST_ENTRY(release_call) link;
    struct handover *handover;
    struct http_call *http;
    bool same_process; /**< it was sent to the one that holds the keys */
};

LIST_HEAD(release_list, release_call);

struct keyowner {
    struct node *node;
    struct timer tick;
    struct key_grant_list grants;
    struct handover_list handovers;
    struct waiting_move_list waiting_moves;
    unsigned waiting_count;
    struct release_list releases;
    struct keyload *load;
    int64_t last_decay_us;
    struct keylease lease;
    /** Of a lease that was written since this process began and the present
     * incarnation of the target was first heard of; 0: none yet. Grants have
     * at least this fence, which is above those of former incarnations. */
    uint64_t fence_min;
    /** When an order was last sent to the target; 0: none to its present
     * process. One that starts at the same address holds nothing, and must get
     * keys with higher fences: keyownerprocess.c. */
    int64_t order_sent_us;
    int64_t same_process_us; /**< when an answer showed that it is the same */
    uint64_t sent_fence_max; /**< of all grants */
    uint64_t former_fence_max;  /**< of those to former processes */
    uint64_t process_fence_min; /**< above that one; 0: not needed */
    struct rowcommit_call *lease_call;
    int64_t lease_write_started_us;
    char lease_key[KEYMAP_NAME_MAX + 1];
    char *lease_write_text;      /**< of the write in progress */
    char *lease_stored;          /**< text of the row in the store */
    uint64_t lease_write_number; /**< makes each text unique */
    bool lease_write_done;       /**< the latest write took effect */
    bool lease_write_unresolved; /**< an earlier call may still write it */
    unsigned promises_pending;
    unsigned promises[RELAY_PROMISE_COUNT]; /**< answers of this round */
    int64_t promises_started_us;
    struct rowcommit_call *map_call;
    struct keymapwrite map_write; /**< of map_call */
    uint64_t map_write_lease; /**< version of the lease that it depends on */
    int64_t map_retry_at_us;
    int64_t merge_at_us; /**< next merge of own segments */
    bool merging;        /**< map_call merges segments; none is handed over */
    bool map_write_unresolved; /**< map_write may still take effect, or has */
    bool claiming;        /**< keys are to be claimed; nothing is granted */
    uint32_t claim_first; /* keys below have been claimed */
    int64_t claim_at_us;  /**< next attempt */
    int64_t former_grants_end_us; /**< grants to former incarnations */
    int64_t unresolved_until_us;  /**< unanswered grants to them may still
                                     arrive until then */
    struct counter *grants_sent;
    struct counter *grants_failed;
    struct counter *process_unknown;
    struct counter *moves;
    struct counter *moves_declined;
    struct counter *lease_lost;
};

/** The key map of the target's service, or NULL. */
struct node_keymap *keyowner_keys(const struct keyowner *keyowner);

bool keyowner_has_lease(const struct keyowner *keyowner);

/** True if the lease holds, fences of the present incarnation of the target
 * are known, and the map was read since both. */
bool keyowner_may_grant(const struct keyowner *keyowner);

/** Drops grants that the map no longer allows and adds those it asks for. */
void keyowner_sync_grants(struct keyowner *keyowner);

struct key_grant *keyowner_find_grant(const struct keyowner *keyowner,
                                      uint32_t key);

/** Splits the grant that covers the key, so that one begins at the key. */
void keyowner_split_grant_before(struct keyowner *keyowner, uint32_t key);

/** True if the map gives the keys to this target, with the same fence. */
bool keyowner_grant_is_current(const struct key_grant *grant,
                               const struct keymap *map,
                               const struct keymap_holder *own);

/* keyownergrant.c */

/** True if no former owner can hold the keys: after the store returned from a
 * copy, its map may be too old. */
bool keyownergrant_is_certain(const struct key_grant *grant);

/** The same in an era that has just ended. */
bool keyownergrant_was_certain(const struct key_grant *grant,
                               const struct keyera *era);

/** Frees the grant, and remembers how long the target may hold its keys. */
void keyownergrant_forget(struct key_grant *grant);

void keyownergrant_send_due(struct keyowner *keyowner);
void keyownergrant_release(struct handover *handover);
void keyownergrant_free(struct key_grant *grant);

/** Removes a handover, done or not; keys left here are granted again. */
void keyownergrant_drop_handover(struct handover *handover);

/* keyownerprocess.c: which process of the target an order reaches. */

/** True if the process that listens now is the one that got the latest order,
 * or if none has got one. */
bool keyownerprocess_is_same(const struct keyowner *keyowner);

/** Called just before a grant is sent on an open connection. @return false if
 * it would reach a process whose fences must be higher than the grant's */
bool keyownerprocess_may_grant(struct key_grant *grant);

/** A grant was answered: checks once more, since a process that ended
 * meanwhile may have left the new connection to the next. */
void keyownerprocess_answered(const struct key_grant *grant);

/** The target's incarnation has ended: the next order goes to another. */
void keyownerprocess_ended(struct keyowner *keyowner);

/** Chooses the fence for a new process, if one is needed and known: that of
 * the latest version of the lease. */
void keyownerprocess_choose_fence(struct keyowner *keyowner);

/** True if grants wait for a version of the lease above former fences. */
bool keyownerprocess_needs_fence(const struct keyowner *keyowner);

/* keyownerlease.c */

/** Renews the lease when due; asks for promises if the store is late. */
void keyownerlease_renew(struct keyowner *keyowner);

/** The part of a transaction that writes the lease. */
struct rowstore_write keyownerlease_part(struct keyowner *keyowner);

/** The lease's row in the answer to a conflicting write, or NULL. */
const struct rowstore_row *
keyownerlease_find_row(const struct keyowner *keyowner,
                       const struct rowstore_result *result);

/** The write begun last took effect with that version. */
void keyownerlease_written(struct keyowner *keyowner, uint64_t version);

/* keyownerclaim.c */

/** True if the grant's keys are still to be claimed. */
bool keyownerclaim_is_pending(const struct key_grant *grant);

/** Claims the granted keys, if the store has returned from a copy. */
void keyownerclaim_advance(struct keyowner *keyowner);

/* keyownermove.c */

/** Begins moves whose reason to wait is over, and declines those that have
 * waited too long. */
void keyownermove_advance(struct keyowner *keyowner);
void keyownermove_clear(struct keyowner *keyowner);

/** True if the grant is not to be renewed, as its keys are to move. */
bool keyownermove_suspends_renewals(const struct key_grant *grant);

/* keyownermap.c */

/** Ends handovers that the map shows as done. */
void keyownermap_finish_handovers(struct keyowner *keyowner);

/** Writes released handovers into the map, and frees the keys of former
 * incarnations. */
void keyownermap_write_changes(struct keyowner *keyowner);

#endif
