/* Begins moves of keys, and keeps those that wait (fleet/keymove.h). */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keeper"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"

/* Keys with running requests that are handed over by themselves. */
#define RUNNING_KEYS_MAX 16

static enum keymove_decline
check_grant(const struct key_grant *grant, int64_t now_us)
{
    if (grant->releasing) {
        return KEYMOVE_ALREADY_MOVING;
    }
    if (!grant->confirmed) {
        return KEYMOVE_GRANT_UNCONFIRMED;
    }
    if (!keyownergrant_is_certain(grant)) {
        return KEYMOVE_GRANT_UNCERTAIN;
    }
    if (grant->call != NULL) {
        return KEYMOVE_GRANT_IN_PROGRESS;
    }
    return now_us < grant->unresolved_until_us ? KEYMOVE_GRANT_UNRESOLVED
                                               : KEYMOVE_NO_DECLINE;
}

/** The target must have confirmed grants of all keys, and no grant call may be
 * open or unresolved. A grant of a former process or of a former segment may
 * still be carried out until the target has seen the higher fence. */
static enum keymove_decline
check_grants(const struct keyowner *keyowner, uint32_t first, uint32_t last,
             int64_t now_us)
{
    const struct key_grant *grant;
    enum keymove_decline unresolved = KEYMOVE_NO_DECLINE;
    uint32_t covered = 0;
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        if (grant->last < first || grant->first > last) {
            continue;
        }
        const enum keymove_decline decline = check_grant(grant, now_us);
        if (decline == KEYMOVE_GRANT_UNRESOLVED) {
            unresolved = decline;
        }
        else if (decline != KEYMOVE_NO_DECLINE) {
            return decline;
        }
        const uint32_t from = grant->first > first ? grant->first : first;
        const uint32_t to = grant->last < last ? grant->last : last;
        covered += to - from + 1;
    }
    return covered == last - first + 1 ? unresolved : KEYMOVE_NOT_HELD;
}

static enum keymove_decline
check_move(const struct keyowner *keyowner, uint32_t first, uint32_t last)
{
    const int64_t now_us = node_now_us(keyowner->node);
    if (!localtarget_is_present(keyowner->node->target)) {
        return KEYMOVE_NO_TARGET;
    }
    if (keyowner->claiming) {
        return KEYMOVE_CLAIMING;
    }
    if (!keyowner_may_grant(keyowner)) {
        return KEYMOVE_NO_LEASE;
    }
    if (!keyowner_store_available(keyowner)) {
        return KEYMOVE_STORE_UNAVAILABLE;
    }
    if (keyowner->merging) {
        return KEYMOVE_MERGING;
    }
    if (now_us < keyowner->unresolved_until_us) {
        return KEYMOVE_FORMER_GRANTS;
    }
    return check_grants(keyowner, first, last, now_us);
}

static void
log_declined(struct keyowner *keyowner, uint32_t first, uint32_t last,
             const struct keymap_holder *to, enum keymove_decline decline)
{
    keyowner->moves_declined->value++;
    LOG_INFO("move_declined", LOG_UINT("first", first), LOG_UINT("last", last),
             LOG_STR("to", to->instance),
             LOG_STR("reason", keymove_decline_name(decline)));
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
    keyowner->waiting_count--;
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
    keymove_wait_init(&move->wait, may_pause, node_now_us(keyowner->node));
    TAILQ_INSERT_TAIL(&keyowner->waiting_moves, move, link);
    keyowner->waiting_count++;
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

/** True if all keys must leave soon. */
static bool
is_urgent(const struct keyowner *keyowner)
{
    struct node *node = keyowner->node;
    return !localtarget_is_serving(node->target) ||
           node_zone_is_out(node, node->settings.zone);
}

static void
move_running_key(struct keyowner *keyowner, uint32_t key,
                 const struct keymap_holder *to)
{
    if (is_urgent(keyowner) || keyowner->waiting_count == KEYMOVE_WAITS_MAX) {
        start_handover(keyowner, key, key, to);
    }
    else {
        add_waiting(keyowner, key, key, to, true);
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

/** Like check_move(), but also declines keys that already wait to move. */
static enum keymove_decline
check_order(const struct keyowner *keyowner, uint32_t first, uint32_t last)
{
    if (is_waiting(keyowner, first, last)) {
        return KEYMOVE_ALREADY_MOVING;
    }
    const enum keymove_decline decline = check_move(keyowner, first, last);
    return keymove_may_wait(decline) && decline != KEYMOVE_NO_DECLINE &&
                   keyowner->waiting_count == KEYMOVE_WAITS_MAX
               ? KEYMOVE_TOO_MANY
               : decline;
}

bool
keyowner_begin_handover(struct keyowner *keyowner, uint32_t first,
                        uint32_t last, const struct keymap_holder *to)
{
    const enum keymove_decline decline = check_order(keyowner, first, last);
    if (decline == KEYMOVE_NO_DECLINE) {
        start_handovers(keyowner, first, last, to);
        localgate_keys_changed(keyowner->node->gate);
        return true;
    }
    if (keymove_may_wait(decline)) {
        add_waiting(keyowner, first, last, to, false);
        keyownermove_advance(keyowner);
        return true;
    }
    log_declined(keyowner, first, last, to, decline);
    return false;
}

static bool
has_running_requests(const struct keyowner *keyowner, uint32_t first,
                     uint32_t last)
{
    uint32_t running;
    return localgate_running_keys(keyowner->node->gate, first, last, &running,
                                  1) > 0;
}

static void
begin_waiting(struct keyowner *keyowner, const struct waiting_move *order)
{
    if (order->wait.may_pause) {
        start_handover(keyowner, order->first, order->last, &order->to);
    }
    else {
        start_handovers(keyowner, order->first, order->last, &order->to);
    }
    localgate_keys_changed(keyowner->node->gate);
}

/** Begins the move, declines it, or leaves it waiting. */
static void
advance_waiting(struct keyowner *keyowner, struct waiting_move *move,
                int64_t now_us)
{
    const struct waiting_move order = *move;
    const struct keymove_state state = {
        .decline = check_move(keyowner, order.first, order.last),
        .running = has_running_requests(keyowner, order.first, order.last),
        .urgent = is_urgent(keyowner),
    };
    switch (keymove_decide(&move->wait, &state, now_us)) {
    case KEYMOVE_WAIT:
        break;
    case KEYMOVE_SUSPEND:
        /* No call is open, so that the parts have none of their own. */
        split_grants(keyowner, order.first, order.last);
        break;
    case KEYMOVE_DECLINE:
        remove_waiting(keyowner, move);
        log_declined(keyowner, order.first, order.last, &order.to,
                     state.decline);
        break;
    case KEYMOVE_BEGIN:
        remove_waiting(keyowner, move);
        begin_waiting(keyowner, &order);
        break;
    }
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
    keyowner->waiting_count = 0;
}

bool
keyownermove_suspends_renewals(const struct key_grant *grant)
{
    const struct waiting_move *move;
    TAILQ_FOREACH (move, &grant->keyowner->waiting_moves, link) {
        if (move->wait.renewals_suspended && move->first <= grant->first &&
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
