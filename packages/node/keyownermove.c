/* Begins moves of keys. Some orders come while a grant call is open, which is
 * most of the time at a slow target: they wait for its end. If it has no
 * answer, the keys' grants are not renewed until the unanswered one is over: a
 * target that answers too few grants would keep its keys for ever. A key with
 * running requests waits for a moment without any, since its new requests
 * would wait for the end of those once its release is sent. */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keeper"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"

/* Shorter than the time after which planners order moves again. */
#define MOVE_WAIT_MAX_US (1200 * US_PER_MS)
/* Longer than a grant can last after its call ended. */
#define UNRESOLVED_WAIT_MAX_US (3500 * US_PER_MS)
/* Keys with running requests that are handed over by themselves. */
#define RUNNING_KEYS_MAX 16

static const char *const decline_names[] = {
    [KEYOWNER_NO_DECLINE] = "none",
    [KEYOWNER_NO_TARGET] = "no-target",
    [KEYOWNER_NOT_HELD] = "not-held",
    [KEYOWNER_ALREADY_MOVING] = "already-moving",
    [KEYOWNER_NO_LEASE] = "no-lease",
    [KEYOWNER_STORE_UNAVAILABLE] = "store-unavailable",
    [KEYOWNER_CLAIMING] = "claiming",
    [KEYOWNER_MERGING] = "merging",
    [KEYOWNER_GRANT_UNCONFIRMED] = "grant-unconfirmed",
    [KEYOWNER_GRANT_UNCERTAIN] = "grant-uncertain",
    [KEYOWNER_GRANT_IN_PROGRESS] = "grant-in-progress",
    [KEYOWNER_GRANT_UNRESOLVED] = "grant-unresolved",
    [KEYOWNER_FORMER_GRANTS] = "former-grants",
};

static enum keyowner_decline
check_grant(const struct key_grant *grant, int64_t now_us)
{
    if (grant->releasing) {
        return KEYOWNER_ALREADY_MOVING;
    }
    if (!grant->confirmed) {
        return KEYOWNER_GRANT_UNCONFIRMED;
    }
    if (!keyownergrant_is_certain(grant)) {
        return KEYOWNER_GRANT_UNCERTAIN;
    }
    if (grant->call != NULL) {
        return KEYOWNER_GRANT_IN_PROGRESS;
    }
    return now_us < grant->unresolved_until_us ? KEYOWNER_GRANT_UNRESOLVED
                                               : KEYOWNER_NO_DECLINE;
}

/** The target must have confirmed grants of all keys, and no grant call may be
 * open or unresolved. A grant of a former process or of a former segment may
 * still be carried out until the target has seen the higher fence. */
static enum keyowner_decline
check_grants(const struct keyowner *keyowner, uint32_t first, uint32_t last,
             int64_t now_us)
{
    const struct key_grant *grant;
    enum keyowner_decline unresolved = KEYOWNER_NO_DECLINE;
    uint32_t covered = 0;
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        if (grant->last < first || grant->first > last) {
            continue;
        }
        const enum keyowner_decline decline = check_grant(grant, now_us);
        if (decline == KEYOWNER_GRANT_UNRESOLVED) {
            unresolved = decline;
        }
        else if (decline != KEYOWNER_NO_DECLINE) {
            return decline;
        }
        const uint32_t from = grant->first > first ? grant->first : first;
        const uint32_t to = grant->last < last ? grant->last : last;
        covered += to - from + 1;
    }
    return covered == last - first + 1 ? unresolved : KEYOWNER_NOT_HELD;
}

static enum keyowner_decline
check_move(const struct keyowner *keyowner, uint32_t first, uint32_t last)
{
    const int64_t now_us = node_now_us(keyowner->node);
    if (!localtarget_is_present(keyowner->node->target)) {
        return KEYOWNER_NO_TARGET;
    }
    if (keyowner->claiming) {
        return KEYOWNER_CLAIMING;
    }
    if (!keyowner_may_grant(keyowner)) {
        return KEYOWNER_NO_LEASE;
    }
    if (!keyowner_store_available(keyowner)) {
        return KEYOWNER_STORE_UNAVAILABLE;
    }
    if (keyowner->merging) {
        return KEYOWNER_MERGING;
    }
    if (now_us < keyowner->unresolved_until_us) {
        return KEYOWNER_FORMER_GRANTS;
    }
    return check_grants(keyowner, first, last, now_us);
}

/** Whether the reason may be over soon. */
static bool
may_wait(enum keyowner_decline decline)
{
    return decline != KEYOWNER_NO_TARGET && decline != KEYOWNER_NOT_HELD &&
           decline != KEYOWNER_ALREADY_MOVING && decline != KEYOWNER_CLAIMING;
}

static void
log_declined(struct keyowner *keyowner, uint32_t first, uint32_t last,
             const struct keymap_holder *to, enum keyowner_decline decline)
{
    keyowner->moves_declined->value++;
    LOG_INFO("move_declined", LOG_UINT("first", first), LOG_UINT("last", last),
             LOG_STR("to", to->instance),
             LOG_STR("reason", decline_names[decline]));
}

/** Of the grants within the range. */
static uint64_t
highest_fence(const struct keyowner *keyowner, uint32_t first, uint32_t last)
{
    const struct key_grant *grant;
    uint64_t fence = 0;
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        if (grant->first >= first && grant->last <= last &&
            grant->fence > fence) {
            fence = grant->fence;
        }
    }
    return fence;
}

/** Splits the grants at the ends of the range, none of which has an open call.
 */
static void
split_grants(struct keyowner *keyowner, uint32_t first, uint32_t last)
{
    keyowner_split_grant_before(keyowner, first);
    if (last + 1 < DECLARED_KEY_COUNT) {
        keyowner_split_grant_before(keyowner, last + 1);
    }
}

/** Releases the keys at the target; they move once it has answered. */
static void
start_handover(struct keyowner *keyowner, uint32_t first, uint32_t last,
               const struct keymap_holder *to)
{
    struct handover *handover = memory_calloc(1, sizeof(*handover));
    handover->keyowner = keyowner;
    handover->first = first;
    handover->last = last;
    handover->to = *to;
    handover->started_us = node_now_us(keyowner->node);
    TAILQ_INSERT_TAIL(&keyowner->handovers, handover, link);
    split_grants(keyowner, first, last);
    handover->fence_max = highest_fence(keyowner, first, last);
    LOG_INFO("handover_begun", LOG_UINT("first", first),
             LOG_UINT("last", last), LOG_STR("to", to->instance));
    keyownergrant_release(handover);
}

static void
remove_waiting(struct keyowner *keyowner, struct waiting_move *move)
{
    TAILQ_REMOVE(&keyowner->waiting_moves, move, link);
    free(move);
}

static void
add_waiting(struct keyowner *keyowner, uint32_t first, uint32_t last,
            const struct keymap_holder *to, bool may_pause)
{
    struct waiting_move *move = memory_calloc(1, sizeof(*move));
    move->first = first;
    move->last = last;
    move->to = *to;
    move->may_pause = may_pause;
    move->until_us = node_now_us(keyowner->node) + MOVE_WAIT_MAX_US;
    TAILQ_INSERT_TAIL(&keyowner->waiting_moves, move, link);
}

/** True if some of the keys already wait to be moved. */
static bool
is_waiting(const struct keyowner *keyowner, uint32_t first, uint32_t last)
{
    const struct waiting_move *move;
    TAILQ_FOREACH (move, &keyowner->waiting_moves, link) {
        if (move->first <= last && move->last >= first) {
            return true;
        }
    }
    return false;
}

/** False if the keys must leave soon: a key may then be released while
 * requests run for it. */
static bool
may_wait_for_requests(const struct keyowner *keyowner)
{
    struct node *node = keyowner->node;
    return localtarget_is_serving(node->target) &&
           !node_zone_is_out(node, node->settings.zone);
}

static void
move_running_key(struct keyowner *keyowner, uint32_t key,
                 const struct keymap_holder *to)
{
    if (may_wait_for_requests(keyowner)) {
        add_waiting(keyowner, key, key, to, true);
    }
    else {
        start_handover(keyowner, key, key, to);
    }
}

/** Hands over keys of which requests run by themselves: the target releases
 * keys only when their last request has ended, and the others need not wait
 * for that. */
static void
start_handovers(struct keyowner *keyowner, uint32_t first, uint32_t last,
                const struct keymap_holder *to)
{
    uint32_t running[RUNNING_KEYS_MAX];
    const size_t count = localgate_running_keys(
        keyowner->node->gate, first, last, running, RUNNING_KEYS_MAX);
    if (count > RUNNING_KEYS_MAX) {
        start_handover(keyowner, first, last, to);
        return;
    }
    uint32_t next = first;
    for (size_t i = 0; i < count; i++) {
        if (running[i] > next) {
            start_handover(keyowner, next, running[i] - 1, to);
        }
        move_running_key(keyowner, running[i], to);
        next = running[i] + 1;
    }
    if (next <= last) {
        start_handover(keyowner, next, last, to);
    }
}

bool
keyowner_begin_handover(struct keyowner *keyowner, uint32_t first,
                        uint32_t last, const struct keymap_holder *to)
{
    const enum keyowner_decline decline =
        is_waiting(keyowner, first, last) ? KEYOWNER_ALREADY_MOVING
                                          : check_move(keyowner, first, last);
    if (decline == KEYOWNER_NO_DECLINE) {
        start_handovers(keyowner, first, last, to);
        localgate_keys_changed(keyowner->node->gate);
        return true;
    }
    if (may_wait(decline)) {
        add_waiting(keyowner, first, last, to, false);
        keyownermove_advance(keyowner);
        return true;
    }
    log_declined(keyowner, first, last, to, decline);
    return false;
}

/** Has the keys' grants end: no call is open, but one had no answer. */
static void
suspend_renewals(struct keyowner *keyowner, struct waiting_move *move,
                 int64_t now_us)
{
    if (!move->renewals_suspended) {
        move->renewals_suspended = true;
        move->until_us = now_us + UNRESOLVED_WAIT_MAX_US;
        split_grants(keyowner, move->first, move->last);
    }
}

static bool
has_running_requests(const struct keyowner *keyowner, uint32_t key)
{
    uint32_t running;
    return localgate_running_keys(keyowner->node->gate, key, key, &running,
                                  1) > 0;
}

/** Begins the move, declines it, or leaves it waiting. */
static void
advance_waiting(struct keyowner *keyowner, struct waiting_move *move,
                int64_t now_us)
{
    const struct waiting_move order = *move;
    const enum keyowner_decline decline =
        check_move(keyowner, order.first, order.last);
    const bool ended = now_us >= order.until_us;
    if (decline != KEYOWNER_NO_DECLINE) {
        if (ended || !may_wait(decline)) {
            remove_waiting(keyowner, move);
            log_declined(keyowner, order.first, order.last, &order.to,
                         decline);
        }
        else if (decline == KEYOWNER_GRANT_UNRESOLVED) {
            suspend_renewals(keyowner, move, now_us);
        }
        return;
    }
    if (order.may_pause && !ended && may_wait_for_requests(keyowner) &&
        has_running_requests(keyowner, order.first)) {
        return;
    }
    remove_waiting(keyowner, move);
    if (order.may_pause) {
        start_handover(keyowner, order.first, order.last, &order.to);
    }
    else {
        start_handovers(keyowner, order.first, order.last, &order.to);
    }
    localgate_keys_changed(keyowner->node->gate);
}

void
keyownermove_advance(struct keyowner *keyowner)
{
    const int64_t now_us = node_now_us(keyowner->node);
    struct waiting_move *move = TAILQ_FIRST(&keyowner->waiting_moves);
    while (move != NULL) {
        struct waiting_move *next = TAILQ_NEXT(move, link);
        advance_waiting(keyowner, move, now_us);
        move = next;
    }
}

void
keyownermove_clear(struct keyowner *keyowner)
{
    struct waiting_move *move = TAILQ_FIRST(&keyowner->waiting_moves);
    while (move != NULL) {
        struct waiting_move *next = TAILQ_NEXT(move, link);
        free(move);
        move = next;
    }
    TAILQ_INIT(&keyowner->waiting_moves);
}

bool
keyownermove_suspends_renewals(const struct key_grant *grant)
{
    const struct waiting_move *move;
    TAILQ_FOREACH (move, &grant->keyowner->waiting_moves, link) {
        if (move->renewals_suspended && move->first <= grant->first &&
            move->last >= grant->last) {
            return true;
        }
    }
    return false;
}

void
keyowner_apply_handovers(const struct keyowner *keyowner, struct keymap *map)
{
    const struct handover *handover;
    TAILQ_FOREACH (handover, &keyowner->handovers, link) {
        keymap_assign(map, handover->first, handover->last, &handover->to,
                      NULL);
    }
    const struct waiting_move *move;
    TAILQ_FOREACH (move, &keyowner->waiting_moves, link) {
        keymap_assign(map, move->first, move->last, &move->to, NULL);
    }
}
