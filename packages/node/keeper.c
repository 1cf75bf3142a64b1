#include "node/keeper.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keeper"
#include "base/log.h"
#include "base/memory.h"
#include "node/keeper_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"

/* A release waits for the requests that run. */
#define HANDOVER_MAX_US (4 * US_PER_SECOND)
#define STORE_SLACK_US (300 * US_PER_MS)
/* A process that has just started does not know the grants of an earlier
 * one; none of them is longer. */
#define FORMER_HOLD_US (3500 * US_PER_MS)

static void on_tick(void *ctx);

struct keeper *
keeper_create(struct node *node)
{
    struct keeper *keeper = memory_zeroed(1, sizeof(*keeper));
    struct counter_registry *counters = node->options.counters;
    keeper->node = node;
    keeper->load = keyload_create();
    keeper->former_ends_us = node_now_us(node) + FORMER_HOLD_US;
    TAILQ_INIT(&keeper->holds);
    TAILQ_INIT(&keeper->handovers);
    LIST_INIT(&keeper->releases);
    LIST_INIT(&keeper->clearings);
    snprintf(keeper->lease_key, sizeof(keeper->lease_key), "%s",
             node->settings.instance);
    keeper->grants =
        counter_add(counters, "keeper_grants", "grants sent to the target");
    keeper->grants_failed =
        counter_add(counters, "keeper_grants_failed",
                    "grants that the target did not confirm");
    keeper->moves = counter_add(counters, "keeper_moves",
                                "segments of keys handed to others");
    keeper->lease_lost =
        counter_add(counters, "keeper_lease_lost",
                    "times that others took the lease's keys");
    timer_init(&keeper->tick, node->runtime, on_tick, keeper);
    timer_start(&keeper->tick, KEEPER_TICK_US);
    return keeper;
}

void
keeper_destroy(struct keeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    const struct rowstore *store = &keeper->node->options.store;
    timer_stop(&keeper->tick);
    if (keeper->lease_call != NULL) {
        store->ops->cancel(store->impl, keeper->lease_call);
    }
    if (keeper->map_call != NULL) {
        store->ops->cancel(store->impl, keeper->map_call);
    }
    struct handover *handover;
    while ((handover = TAILQ_FIRST(&keeper->handovers)) != NULL) {
        keepergrant_drop_handover(handover);
    }
    struct hold *hold;
    while ((hold = TAILQ_FIRST(&keeper->holds)) != NULL) {
        keepergrant_free(hold);
    }
    keepergrant_drop_clearings(keeper);
    keyload_destroy(keeper->load);
    free(keeper->lease_text);
    free(keeper->lease_stored);
    free(keeper->map_text);
    free(keeper);
}

struct node_keys *
keeper_keys(const struct keeper *keeper)
{
    const struct declared_service *service = node_own_service(keeper->node);
    return service != NULL && service->keyed
               ? node_keys_of(keeper->node, service->name)
               : NULL;
}

bool
keeper_has_lease(const struct keeper *keeper)
{
    return node_now_us(keeper->node) < keylease_until_us(&keeper->lease);
}

int64_t
keeper_lease_margin_us(const struct keeper *keeper)
{
    const int64_t until_us = keylease_until_us(&keeper->lease);
    return until_us > 0 ? until_us - node_now_us(keeper->node) : 0;
}

bool
keeper_store_answers(const struct keeper *keeper)
{
    const int64_t renewed_us =
        keeper->lease.stored_until_us - KEYLEASE_DURATION_US;
    return keeper->lease.held && keeper->lease_fresh &&
           node_now_us(keeper->node) - renewed_us <
               KEYLEASE_RENEW_INTERVAL_US + STORE_SLACK_US;
}

bool
keeper_may_grant(const struct keeper *keeper)
{
    return keeper_has_lease(keeper) && keeper->touched &&
           rowwatch_version(keeper->node->fleet_watch) >=
               keeper->lease.acquired_version;
}

struct hold *
keeper_hold_of(const struct keeper *keeper, uint32_t key)
{
    struct hold *hold;
    TAILQ_FOREACH (hold, &keeper->holds, link) {
        if (key >= hold->first && key <= hold->last) {
            return hold;
        }
    }
    return NULL;
}

enum keeper_verdict
keeper_check(const struct keeper *keeper, uint32_t key)
{
    const struct hold *hold = keeper_hold_of(keeper, key);
    if (hold != NULL) {
        const bool runs = hold->granted && !hold->moving &&
                          node_now_us(keeper->node) < hold->until_us;
        return runs ? KEEPER_RUN : KEEPER_WAIT;
    }
    const struct node_keys *keys = keeper_keys(keeper);
    if (keys == NULL) {
        return KEEPER_ELSEWHERE;
    }
    const struct keymap_holder own = localtarget_holder(keeper->node->target);
    const bool ours =
        keymap_holder_equal(&keymap_find(&keys->map, key)->holder, &own);
    return ours ? KEEPER_WAIT : KEEPER_ELSEWHERE;
}

const char *
keeper_owner(const struct keeper *keeper, uint32_t key)
{
    const struct node_keys *keys = keeper_keys(keeper);
    return keys != NULL ? keymap_find(&keys->map, key)->holder.instance : "";
}

void
keeper_not_held(struct keeper *keeper, uint32_t key)
{
    struct hold *hold = keeper_hold_of(keeper, key);
    if (hold != NULL) {
        hold->granted = false;
        hold->renew_us = 0;
        keepergrant_go_on(keeper);
    }
}

void
keeper_count(struct keeper *keeper, uint32_t key)
{
    keyload_record_request(keeper->load, key);
}

size_t
keeper_steps(const struct keeper *keeper, struct keyload_step *steps)
{
    return keyload_steps(keeper->load, steps);
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
add_hold(struct keeper *keeper, const struct keymap_segment *segment,
         uint32_t first, uint32_t last)
{
    struct hold *hold = memory_zeroed(1, sizeof(*hold));
    hold->keeper = keeper;
    hold->first = first;
    hold->last = last;
    hold->fence = segment->fence;
    memcpy(hold->token, segment->token, sizeof(hold->token));
    TAILQ_INSERT_TAIL(&keeper->holds, hold, link);
}

/** Adds holds for what no hold covers of the segment. */
static void
cover_segment(struct keeper *keeper, const struct keymap_segment *segment)
{
    uint32_t key = segment->first;
    while (key <= segment->last) {
        const struct hold *hold = keeper_hold_of(keeper, key);
        if (hold != NULL) {
            key = hold->last + 1;
            continue;
        }
        uint32_t last = segment->last;
        struct hold *other;
        TAILQ_FOREACH (other, &keeper->holds, link) {
            if (other->first > key && other->first <= last) {
                last = other->first - 1;
            }
        }
        add_hold(keeper, segment, key, last);
        key = last + 1;
    }
}

void
keeper_sync(struct keeper *keeper)
{
    const struct node_keys *keys = keeper_keys(keeper);
    const struct keymap_holder own = localtarget_holder(keeper->node->target);
    struct hold *hold = TAILQ_FIRST(&keeper->holds);
    while (hold != NULL) {
        struct hold *next = TAILQ_NEXT(hold, link);
        if (keys == NULL || own.instance[0] == '\0' ||
            !hold_is_valid(hold, &keys->map, &own)) {
            keepergrant_free(hold);
        }
        hold = next;
    }
    for (size_t i = 0;
         keys != NULL && own.instance[0] != '\0' && i < keys->map.count; i++) {
        if (keymap_holder_equal(&keys->map.segments[i].holder, &own)) {
            cover_segment(keeper, &keys->map.segments[i]);
        }
    }
}

bool
keeper_owns(const struct keeper *keeper)
{
    const struct node_keys *keys = keeper_keys(keeper);
    return keys != NULL &&
           keymap_share(&keys->map, keeper->node->settings.instance) > 0;
}

static void
go_on(struct keeper *keeper)
{
    keeperlease_go_on(keeper);
    keepermap_go_on(keeper);
    keepergrant_go_on(keeper);
}

/** Gives up hand-overs that take too long; the keys are granted again. */
static void
drop_slow_handovers(struct keeper *keeper, int64_t now_us)
{
    struct handover *handover = TAILQ_FIRST(&keeper->handovers);
    while (handover != NULL) {
        struct handover *next = TAILQ_NEXT(handover, link);
        if (!handover->released &&
            now_us - handover->begun_us > HANDOVER_MAX_US) {
            LOG_WARN("handover_dropped", LOG_UINT("first", handover->first),
                     LOG_UINT("last", handover->last));
            keepergrant_drop_handover(handover);
        }
        handover = next;
    }
}

static void
on_tick(void *ctx)
{
    struct keeper *keeper = ctx;
    const int64_t now_us = node_now_us(keeper->node);
    timer_start(&keeper->tick, KEEPER_TICK_US);
    if (now_us - keeper->decay_us >= KEEPER_LOAD_HALF_LIFE_US) {
        keeper->decay_us = now_us;
        if (!TAILQ_EMPTY(&keeper->holds)) {
            keyload_decay(keeper->load);
        }
    }
    drop_slow_handovers(keeper, now_us);
    go_on(keeper);
}

void
keeper_target_gone(struct keeper *keeper, bool dead)
{
    struct hold *hold;
    struct handover *handover;
    while ((handover = TAILQ_FIRST(&keeper->handovers)) != NULL) {
        keepergrant_drop_handover(handover);
    }
    while ((hold = TAILQ_FIRST(&keeper->holds)) != NULL) {
        if (hold->ends_us > keeper->former_ends_us) {
            keeper->former_ends_us = hold->ends_us;
        }
        const int64_t unsure_us =
            hold->call != NULL ? hold->ends_us : hold->unsure_us;
        if (unsure_us > keeper->unsure_us) {
            keeper->unsure_us = unsure_us;
        }
        keepergrant_free(hold);
    }
    keepergrant_drop_clearings(keeper);
    if (dead) {
        keeper->former_ends_us = 0;
        keeper->unsure_us = 0;
    }
    go_on(keeper);
}

void
keeper_target_changed(struct keeper *keeper)
{
    keeper_sync(keeper);
    go_on(keeper);
}

void
keeper_map_changed(struct keeper *keeper)
{
    keepermap_finish(keeper);
    keeper_sync(keeper);
    go_on(keeper);
    localgate_keys_changed(keeper->node->gate);
}

/** Cuts the hold that covers the key in two, so that one begins at it. */
static void
split_hold_before(struct keeper *keeper, uint32_t key)
{
    struct hold *hold = keeper_hold_of(keeper, key);
    if (hold == NULL || hold->first == key) {
        return;
    }
    struct hold *upper = memory_copy(hold, sizeof(*hold));
    upper->call = NULL;
    upper->first = key;
    hold->last = key - 1;
    TAILQ_INSERT_AFTER(&keeper->holds, hold, upper, link);
}

/** True if all keys are held, with no grant under way or unsure. */
static bool
can_move(const struct keeper *keeper, uint32_t first, uint32_t last,
         int64_t now_us)
{
    const struct hold *hold;
    uint32_t covered = 0;
    TAILQ_FOREACH (hold, &keeper->holds, link) {
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
keeper_move(struct keeper *keeper, uint32_t first, uint32_t last,
            const struct keymap_holder *to)
{
    const int64_t now_us = node_now_us(keeper->node);
    if (!keeper_may_grant(keeper) || !keeper_store_answers(keeper) ||
        !localtarget_present(keeper->node->target) ||
        !can_move(keeper, first, last, now_us)) {
        return false;
    }
    struct handover *handover = memory_zeroed(1, sizeof(*handover));
    handover->keeper = keeper;
    handover->first = first;
    handover->last = last;
    handover->to = *to;
    handover->begun_us = now_us;
    TAILQ_INSERT_TAIL(&keeper->handovers, handover, link);
    split_hold_before(keeper, first);
    if (last + 1 < DECLARED_KEY_COUNT) {
        split_hold_before(keeper, last + 1);
    }
    LOG_INFO("handover_begun", LOG_UINT("first", first),
             LOG_UINT("last", last), LOG_STR("to", to->instance));
    keepergrant_release(handover);
    localgate_keys_changed(keeper->node->gate);
    return true;
}
