#include "node/keyowner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keeper"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"

/* A release waits for the requests that run. */
#define HANDOVER_MAX_US (4 * US_PER_SECOND)
#define STORE_SLACK_US (300 * US_PER_MS)
/* A process that has just started does not know the grants of an earlier
 * one; none of them is longer. */
#define FORMER_HOLD_US (3500 * US_PER_MS)

static void on_tick(void *ctx);

struct keyowner *
keyowner_create(struct node *node)
{
    struct keyowner *keyowner = memory_zeroed(1, sizeof(*keyowner));
    struct counter_registry *counters = node->options.counters;
    keyowner->node = node;
    keyowner->load = keyload_create();
    keyowner->former_ends_us = node_now_us(node) + FORMER_HOLD_US;
    TAILQ_INIT(&keyowner->holds);
    TAILQ_INIT(&keyowner->handovers);
    LIST_INIT(&keyowner->releases);
    LIST_INIT(&keyowner->clearings);
    snprintf(keyowner->lease_key, sizeof(keyowner->lease_key), "%s",
             node->settings.instance);
    keyowner->grants =
        counter_add(counters, "keeper_grants", "grants sent to the target");
    keyowner->grants_failed =
        counter_add(counters, "keeper_grants_failed",
                    "grants that the target did not confirm");
    keyowner->moves = counter_add(counters, "keeper_moves",
                                  "segments of keys handed to others");
    keyowner->lease_lost =
        counter_add(counters, "keeper_lease_lost",
                    "times that others took the lease's keys");
    timer_init(&keyowner->tick, node->runtime, on_tick, keyowner);
    timer_start(&keyowner->tick, KEYOWNER_TICK_US);
    return keyowner;
}

void
keyowner_destroy(struct keyowner *keyowner)
{
    if (keyowner == NULL) {
        return;
    }
    const struct rowstore *store = &keyowner->node->options.store;
    timer_stop(&keyowner->tick);
    if (keyowner->lease_call != NULL) {
        store->ops->cancel(store->impl, keyowner->lease_call);
    }
    if (keyowner->map_call != NULL) {
        store->ops->cancel(store->impl, keyowner->map_call);
    }
    struct handover *handover;
    while ((handover = TAILQ_FIRST(&keyowner->handovers)) != NULL) {
        keyownergrant_drop_handover(handover);
    }
    struct hold *hold;
    while ((hold = TAILQ_FIRST(&keyowner->holds)) != NULL) {
        keyownergrant_free(hold);
    }
    keyownergrant_drop_stale_releases(keyowner);
    keyload_destroy(keyowner->load);
    free(keyowner->lease_text);
    free(keyowner->lease_stored);
    free(keyowner->map_text);
    free(keyowner);
}

struct node_keymap *
keyowner_keys(const struct keyowner *keyowner)
{
    const struct declared_service *service = node_own_service(keyowner->node);
    return service != NULL && service->keyed
               ? node_find_keymap(keyowner->node, service->name)
               : NULL;
}

bool
keyowner_has_lease(const struct keyowner *keyowner)
{
    return node_now_us(keyowner->node) < keylease_until_us(&keyowner->lease);
}

int64_t
keyowner_lease_margin_us(const struct keyowner *keyowner)
{
    const int64_t until_us = keylease_until_us(&keyowner->lease);
    return until_us > 0 ? until_us - node_now_us(keyowner->node) : 0;
}

bool
keyowner_store_available(const struct keyowner *keyowner)
{
    const int64_t renewed_us = keyowner->lease.stored_until_us - KEYLEASE_US;
    return keyowner->lease.held && keyowner->lease_fresh &&
           node_now_us(keyowner->node) - renewed_us <
               KEYLEASE_RENEW_US + STORE_SLACK_US;
}

bool
keyowner_may_grant(const struct keyowner *keyowner)
{
    return keyowner_has_lease(keyowner) && keyowner->touched &&
           rowwatch_version(keyowner->node->fleet_watch) >=
               keyowner->lease.since_version;
}

struct hold *
keyowner_find_grant(const struct keyowner *keyowner, uint32_t key)
{
    struct hold *hold;
    TAILQ_FOREACH (hold, &keyowner->holds, link) {
        if (key >= hold->first && key <= hold->last) {
            return hold;
        }
    }
    return NULL;
}

enum keyowner_verdict
keyowner_check(const struct keyowner *keyowner, uint32_t key)
{
    const struct hold *hold = keyowner_find_grant(keyowner, key);
    if (hold != NULL) {
        const bool runs = hold->granted && !hold->moving &&
                          node_now_us(keyowner->node) < hold->until_us;
        return runs ? KEYOWNER_RUN : KEYOWNER_WAIT;
    }
    const struct node_keymap *keys = keyowner_keys(keyowner);
    if (keys == NULL) {
        return KEYOWNER_NOT_OWNER;
    }
    const struct keymap_holder own =
        localtarget_holder(keyowner->node->target);
    const bool ours =
        keymap_holder_equal(&keymap_find(&keys->map, key)->holder, &own);
    return ours ? KEYOWNER_WAIT : KEYOWNER_NOT_OWNER;
}

const char *
keyowner_find_owner(const struct keyowner *keyowner, uint32_t key)
{
    const struct node_keymap *keys = keyowner_keys(keyowner);
    return keys != NULL ? keymap_find(&keys->map, key)->holder.instance : "";
}

void
keyowner_key_not_held(struct keyowner *keyowner, uint32_t key)
{
    struct hold *hold = keyowner_find_grant(keyowner, key);
    if (hold != NULL) {
        hold->granted = false;
        hold->renew_us = 0;
        keyownergrant_send_due(keyowner);
    }
}

void
keyowner_count_request(struct keyowner *keyowner, uint32_t key)
{
    keyload_count(keyowner->load, key);
}

size_t
keyowner_load_steps(const struct keyowner *keyowner,
                    struct keyload_step *steps)
{
    return keyload_steps(keyowner->load, steps);
}

/** True if the map still gives the hold's keys to this target with the same
 * fence. */
static bool
hold_is_valid(const struct hold *hold, const struct keymap *map,
              const struct keymap_holder *own)
{
    const struct keymap_segment *segment = keymap_find(map, hold->first);
    return keymap_holder_equal(&segment->holder, own) &&
           segment->fence == hold->fence && hold->last <= segment->last;
}

static void
add_hold(struct keyowner *keyowner, const struct keymap_segment *segment,
         uint32_t first, uint32_t last)
{
    struct hold *hold = memory_zeroed(1, sizeof(*hold));
    hold->keyowner = keyowner;
    hold->first = first;
    hold->last = last;
    hold->fence = segment->fence;
    memcpy(hold->token, segment->token, sizeof(hold->token));
    TAILQ_INSERT_TAIL(&keyowner->holds, hold, link);
}

/** Adds holds for what no hold covers of the segment. */
static void
cover_segment(struct keyowner *keyowner, const struct keymap_segment *segment)
{
    uint32_t key = segment->first;
    while (key <= segment->last) {
        const struct hold *hold = keyowner_find_grant(keyowner, key);
        if (hold != NULL) {
            key = hold->last + 1;
            continue;
        }
        uint32_t last = segment->last;
        struct hold *other;
        TAILQ_FOREACH (other, &keyowner->holds, link) {
            if (other->first > key && other->first <= last) {
                last = other->first - 1;
            }
        }
        add_hold(keyowner, segment, key, last);
        key = last + 1;
    }
}

void
keyowner_sync_grants(struct keyowner *keyowner)
{
    const struct node_keymap *keys = keyowner_keys(keyowner);
    const struct keymap_holder own =
        localtarget_holder(keyowner->node->target);
    struct hold *hold = TAILQ_FIRST(&keyowner->holds);
    while (hold != NULL) {
        struct hold *next = TAILQ_NEXT(hold, link);
        if (keys == NULL || own.instance[0] == '\0' ||
            !hold_is_valid(hold, &keys->map, &own)) {
            keyownergrant_free(hold);
        }
        hold = next;
    }
    for (size_t i = 0;
         keys != NULL && own.instance[0] != '\0' && i < keys->map.count; i++) {
        if (keymap_holder_equal(&keys->map.segments[i].holder, &own)) {
            cover_segment(keyowner, &keys->map.segments[i]);
        }
    }
}

bool
keyowner_owns_keys(const struct keyowner *keyowner)
{
    const struct node_keymap *keys = keyowner_keys(keyowner);
    return keys != NULL &&
           keymap_share(&keys->map, keyowner->node->settings.instance) > 0;
}

static void
go_on(struct keyowner *keyowner)
{
    keyownerlease_renew(keyowner);
    keyownermap_write_changes(keyowner);
    keyownergrant_send_due(keyowner);
}

/** Gives up hand-overs that take too long; the keys are granted again. */
static void
drop_slow_handovers(struct keyowner *keyowner, int64_t now_us)
{
    struct handover *handover = TAILQ_FIRST(&keyowner->handovers);
    while (handover != NULL) {
        struct handover *next = TAILQ_NEXT(handover, link);
        if (!handover->released &&
            now_us - handover->begun_us > HANDOVER_MAX_US) {
            LOG_WARN("handover_dropped", LOG_UINT("first", handover->first),
                     LOG_UINT("last", handover->last));
            keyownergrant_drop_handover(handover);
        }
        handover = next;
    }
}

static void
on_tick(void *ctx)
{
    struct keyowner *keyowner = ctx;
    const int64_t now_us = node_now_us(keyowner->node);
    timer_start(&keyowner->tick, KEYOWNER_TICK_US);
    if (now_us - keyowner->decay_us >= KEYOWNER_LOAD_HALF_LIFE_US) {
        keyowner->decay_us = now_us;
        if (!TAILQ_EMPTY(&keyowner->holds)) {
            keyload_decay(keyowner->load);
        }
    }
    drop_slow_handovers(keyowner, now_us);
    go_on(keyowner);
}

void
keyowner_target_gone(struct keyowner *keyowner, bool dead)
{
    struct hold *hold;
    struct handover *handover;
    while ((handover = TAILQ_FIRST(&keyowner->handovers)) != NULL) {
        keyownergrant_drop_handover(handover);
    }
    while ((hold = TAILQ_FIRST(&keyowner->holds)) != NULL) {
        if (hold->ends_us > keyowner->former_ends_us) {
            keyowner->former_ends_us = hold->ends_us;
        }
        const int64_t unsure_us =
            hold->call != NULL ? hold->ends_us : hold->unsure_us;
        if (unsure_us > keyowner->unsure_us) {
            keyowner->unsure_us = unsure_us;
        }
        keyownergrant_free(hold);
    }
    keyownergrant_drop_stale_releases(keyowner);
    if (dead) {
        keyowner->former_ends_us = 0;
        keyowner->unsure_us = 0;
    }
    go_on(keyowner);
}

void
keyowner_target_changed(struct keyowner *keyowner)
{
    keyowner_sync_grants(keyowner);
    go_on(keyowner);
}

void
keyowner_map_changed(struct keyowner *keyowner)
{
    keyownermap_finish_handovers(keyowner);
    keyowner_sync_grants(keyowner);
    go_on(keyowner);
    localgate_keys_changed(keyowner->node->gate);
}

/** Cuts the hold that covers the key in two, so that one begins at it. */
static void
split_hold_before(struct keyowner *keyowner, uint32_t key)
{
    struct hold *hold = keyowner_find_grant(keyowner, key);
    if (hold == NULL || hold->first == key) {
        return;
    }
    struct hold *upper = memory_copy(hold, sizeof(*hold));
    upper->call = NULL;
    upper->first = key;
    hold->last = key - 1;
    TAILQ_INSERT_AFTER(&keyowner->holds, hold, upper, link);
}

/** True if all keys are held, with no grant under way or unsure. */
static bool
can_move(const struct keyowner *keyowner, uint32_t first, uint32_t last,
         int64_t now_us)
{
    const struct hold *hold;
    uint32_t covered = 0;
    TAILQ_FOREACH (hold, &keyowner->holds, link) {
        if (hold->last < first || hold->first > last) {
            continue;
        }
        if (hold->moving || hold->call != NULL || now_us < hold->unsure_us) {
            return false;
        }
        const uint32_t from = hold->first > first ? hold->first : first;
        const uint32_t to = hold->last < last ? hold->last : last;
        covered += to - from + 1;
    }
    return covered == last - first + 1;
}

bool
keyowner_begin_handover(struct keyowner *keyowner, uint32_t first,
                        uint32_t last, const struct keymap_holder *to)
{
    const int64_t now_us = node_now_us(keyowner->node);
    if (!keyowner_may_grant(keyowner) || !keyowner_store_available(keyowner) ||
        !localtarget_is_present(keyowner->node->target) ||
        !can_move(keyowner, first, last, now_us)) {
        return false;
    }
    struct handover *handover = memory_zeroed(1, sizeof(*handover));
    handover->keyowner = keyowner;
    handover->first = first;
    handover->last = last;
    handover->to = *to;
    handover->begun_us = now_us;
    TAILQ_INSERT_TAIL(&keyowner->handovers, handover, link);
    split_hold_before(keyowner, first);
    if (last + 1 < DECLARED_KEYS) {
        split_hold_before(keyowner, last + 1);
    }
    LOG_INFO("handover_begun", LOG_UINT("first", first),
             LOG_UINT("last", last), LOG_STR("to", to->instance));
    keyownergrant_release(handover);
    localgate_keys_changed(keyowner->node->gate);
    return true;
}
