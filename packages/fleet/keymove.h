/**
 * @file
 * When a move of keys that was ordered begins: at a slow target a grant call
 * is open most of the time, and a release stops the requests of its keys until
 * the running ones have ended. So a move waits for a better moment, and is
 * declined if there is none for too long.
 */
#ifndef CHESTNUTGAP_FLEET_KEYMOVE_H
#define CHESTNUTGAP_FLEET_KEYMOVE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/runtime.h"

/** Shorter than the time after which planners order moves again. */
#define KEYMOVE_WAIT_MAX_US (1200 * US_PER_MS)
/** Longer than a grant can last after its call ended. */
#define KEYMOVE_UNRESOLVED_WAIT_MAX_US (3500 * US_PER_MS)

/** Moves of one owner that may wait. */
#define KEYMOVE_WAITS_MAX 256

/** Why a move can't begin. */
enum keymove_decline {
    KEYMOVE_NO_DECLINE,
    KEYMOVE_NO_TARGET,
    KEYMOVE_NOT_HELD,          /**< some keys are not owned here */
    KEYMOVE_ALREADY_MOVING,    /**< some keys are, or wait to */
    KEYMOVE_NO_LEASE,          /**< or the map was not read since */
    KEYMOVE_STORE_UNAVAILABLE, /**< the lease wasn't renewed lately */
    KEYMOVE_CLAIMING,          /**< the store has returned from a copy */
    KEYMOVE_MERGING,           /**< own segments are being merged */
    KEYMOVE_GRANT_UNCONFIRMED, /**< by the target */
    KEYMOVE_GRANT_UNCERTAIN,   /**< a former owner may hold the keys */
    KEYMOVE_GRANT_IN_PROGRESS, /**< a grant call has no answer yet */
    KEYMOVE_GRANT_UNRESOLVED,  /**< one ended without an answer */
    KEYMOVE_FORMER_GRANTS,     /**< one of a former incarnation did */
    KEYMOVE_TOO_MANY,          /**< as many as may wait already do */
};

enum keymove_verdict {
    KEYMOVE_BEGIN,
    KEYMOVE_WAIT,
    KEYMOVE_SUSPEND, /**< wait, and don't renew the keys' grants meanwhile */
    KEYMOVE_DECLINE,
};

/** A move that waits. */
struct keymove_wait {
    int64_t until_us;
    bool may_pause; /**< it begins at the end of the wait in any case */
    bool renewals_suspended;
};

/** What is known of the keys. */
struct keymove_state {
    enum keymove_decline decline;
    bool running; /**< requests run for the key */
    bool urgent;  /**< the target or zone leaves: nothing waits for requests */
};

/** The reason as text of the log. */
const char *keymove_decline_name(enum keymove_decline decline);

/** @param may_pause the move is of one key with running requests */
void keymove_wait_init(struct keymove_wait *wait, bool may_pause,
                       int64_t now_us);

/** Whether a move that can't begin for that reason may wait at all. */
bool keymove_may_wait(enum keymove_decline decline);

/** Decides on a move that waits. KEYMOVE_SUSPEND is returned once. */
enum keymove_verdict keymove_decide(struct keymove_wait *wait,
                                    const struct keymove_state *state,
                                    int64_t now_us);

#endif
