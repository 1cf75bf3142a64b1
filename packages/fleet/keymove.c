#include "fleet/keymove.h"

static const char *const decline_names[] = {
    [KEYMOVE_NO_DECLINE] = "none",
    [KEYMOVE_NO_TARGET] = "no-target",
    [KEYMOVE_NOT_HELD] = "not-held",
    [KEYMOVE_ALREADY_MOVING] = "already-moving",
    [KEYMOVE_NO_LEASE] = "no-lease",
    [KEYMOVE_STORE_UNAVAILABLE] = "store-unavailable",
    [KEYMOVE_CLAIMING] = "claiming",
    [KEYMOVE_MERGING] = "merging",
    [KEYMOVE_GRANT_UNCONFIRMED] = "grant-unconfirmed",
    [KEYMOVE_GRANT_UNCERTAIN] = "grant-uncertain",
    [KEYMOVE_GRANT_IN_PROGRESS] = "grant-in-progress",
    [KEYMOVE_GRANT_UNRESOLVED] = "grant-unresolved",
    [KEYMOVE_FORMER_GRANTS] = "former-grants",
    [KEYMOVE_TOO_MANY] = "too-many",
};

const char *
keymove_decline_name(enum keymove_decline decline)
{
    return decline_names[decline];
}

void
keymove_wait_init(struct keymove_wait *wait, bool may_pause, int64_t now_us)
{
    *wait = (struct keymove_wait){
        .until_us = now_us + KEYMOVE_WAIT_MAX_US,
        .may_pause = may_pause,
    };
}

bool
keymove_may_wait(enum keymove_decline decline)
{
    return decline != KEYMOVE_NO_TARGET && decline != KEYMOVE_NOT_HELD &&
           decline != KEYMOVE_ALREADY_MOVING && decline != KEYMOVE_CLAIMING &&
           decline != KEYMOVE_TOO_MANY;
}

enum keymove_verdict
keymove_decide(struct keymove_wait *wait, const struct keymove_state *state,
               int64_t now_us)
{
    const bool ended = now_us >= wait->until_us;
    if (state->decline == KEYMOVE_NO_DECLINE) {
        const bool can_wait = wait->may_pause && !ended && !state->urgent;
        return can_wait && state->running ? KEYMOVE_WAIT : KEYMOVE_BEGIN;
    }
    if (ended || !keymove_may_wait(state->decline)) {
        return KEYMOVE_DECLINE;
    }
    if (state->decline == KEYMOVE_GRANT_UNRESOLVED &&
        !wait->renewals_suspended) {
        wait->renewals_suspended = true;
        wait->until_us = now_us + KEYMOVE_UNRESOLVED_WAIT_MAX_US;
        return KEYMOVE_SUSPEND;
    }
    return KEYMOVE_WAIT;
}
