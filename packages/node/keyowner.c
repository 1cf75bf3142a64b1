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

/* The target answers a release only after running requests have ended. */
#define HANDOVER_MAX_US (4 * US_PER_SECOND)
/* Leases are written together with those of others, after a pause. */
#define STORE_ANSWER_SLACK_US (900 * US_PER_MS)
/* Upper bound on grants that an earlier process sent, which this one does not
 * know. */
#define FORMER_GRANT_MAX_US (3500 * US_PER_MS)

static void on_tick(void *ctx);

struct keyowner *
keyowner_create(struct node *node)
{
    struct keyowner *keyowner = memory_calloc(1, sizeof(*keyowner));
    struct counter_registry *counters = node->options.counters;
    keyowner->node = node;
    keyowner->load = keyload_create();
    keyowner->former_grants_end_us = node_now_us(node) + FORMER_GRANT_MAX_US;
    TAILQ_INIT(&keyowner->grants);
    TAILQ_INIT(&keyowner->handovers);
    TAILQ_INIT(&keyowner->waiting_moves);
    LIST_INIT(&keyowner->releases);
    snprintf(keyowner->lease_key, sizeof(keyowner->lease_key), "%s",
             node->settings.instance);
    keyowner->grants_sent =
        counter_add(counters, "keeper_grants", "grants sent to the target");
    keyowner->grants_failed =
        counter_add(counters, "keeper_grants_failed",
                    "grants that the target did not confirm");
    keyowner->process_unknown =
        counter_add(counters, "keeper_process_unknown",
                    "times that another process may have answered orders");
    keyowner->moves_declined =
        counter_add(counters, "keeper_moves_declined",
                    "moves of keys that could not be begun");
    keyowner->moves = counter_add(counters, "keeper_moves",
                                  "segments of keys handed over to others");
    keyowner->lease_lost =
        counter_add(counters, "keeper_lease_lost",
                    "times that others took over the lease's keys");
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
    timer_stop(&keyowner->tick);
    if (keyowner->lease_call != NULL) {
        rowcommit_cancel(keyowner->lease_call);
    }
    if (keyowner->map_call != NULL) {
        rowcommit_cancel(keyowner->map_call);
    }
    struct handover *handover;
    keyownermove_clear(keyowner);
    while ((handover = TAILQ_FIRST(&keyowner->handovers)) != NULL) {
        keyownergrant_drop_handover(handover);
    }
    struct key_grant *grant;
    while ((grant = TAILQ_FIRST(&keyowner->grants)) != NULL) {
        keyownergrant_free(grant);
    }
    keyload_destroy(keyowner->load);
    free(keyowner->lease_write_text);
    free(keyowner->lease_stored);
    keymapwrite_clear(&keyowner->map_write);
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
    const int64_t renewed_us =
        keyowner->lease.stored_until_us - KEYLEASE_DURATION_US;
    return keyowner->lease.held && keyowner->lease_write_done &&
           node_now_us(keyowner->node) - renewed_us <
               KEYLEASE_RENEW_INTERVAL_US + STORE_ANSWER_SLACK_US;
}

bool
keyowner_may_grant(const struct keyowner *keyowner)
{
    const uint64_t known = rowwatch_version(keyowner->node->fleet_watch);
    return keyowner_has_lease(keyowner) && keyowner->fence_min > 0 &&
           known >= keyowner->fence_min &&
           known >= keyowner->lease.acquired_version;
}

struct key_grant *
keyowner_find_grant(const struct keyowner *keyowner, uint32_t key)
{
    struct key_grant *grant;
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        if (key >= grant->first && key <= grant->last) {
            return grant;
        }
    }
    return NULL;
}

uint64_t
keyowner_map_version(const struct keyowner *keyowner, uint32_t key)
{
    const struct node_keymap *keys = keyowner_keys(keyowner);
    return keys != NULL ? keys->map.pages[keymap_page_of(key)].version : 0;
}

/** True if the target may run requests for the grant's keys. */
static bool
runs(const struct key_grant *grant)
{
    return grant->confirmed && !grant->releasing &&
           node_now_us(grant->keyowner->node) < grant->start_until_us;
}

bool
keyowner_find_tenure(const struct keyowner *keyowner, uint32_t key,
                     uint64_t *fence, int64_t *since_us)
{
    const struct key_grant *grant = keyowner_find_grant(keyowner, key);
    if (grant == NULL || !runs(grant)) {
        return false;
    }
    *fence = grant->fence;
    *since_us = grant->first_confirmed_us;
    return true;
}

enum keyowner_verdict
keyowner_check(const struct keyowner *keyowner, uint32_t key,
               uint64_t map_version)
{
    const struct key_grant *grant = keyowner_find_grant(keyowner, key);
    if (grant != NULL) {
        return runs(grant) ? KEYOWNER_RUN : KEYOWNER_WAIT;
    }
    const struct node_keymap *keys = keyowner_keys(keyowner);
    if (keys == NULL) {
        return KEYOWNER_NOT_OWNER;
    }
    const struct keymap_holder own =
        localtarget_holder(keyowner->node->target);
    const bool ours =
        keymap_holder_equal(&keymap_find(&keys->map, key)->holder, &own);
    const bool behind = keyowner_map_version(keyowner, key) < map_version;
    return ours || behind ? KEYOWNER_WAIT : KEYOWNER_NOT_OWNER;
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
    struct key_grant *grant = keyowner_find_grant(keyowner, key);
    if (grant != NULL) {
        grant->confirmed = false;
        grant->renew_at_us = 0;
        keyownergrant_send_due(keyowner);
    }
}

void
keyowner_count_request(struct keyowner *keyowner, uint32_t key)
{
    keyload_record_request(keyowner->load, key);
}

size_t
keyowner_load_steps(const struct keyowner *keyowner,
                    struct keyload_step *steps)
{
    const size_t count = keyload_steps(keyowner->load, steps);
    keyload_scale(steps, count,
                  node_now_us(keyowner->node) - keyowner->last_decay_us,
                  KEYOWNER_LOAD_HALF_LIFE_US);
    return count;
}

bool
keyowner_grant_is_current(const struct key_grant *grant,
                          const struct keymap *map,
                          const struct keymap_holder *own)
{
    const struct keymap_segment *segment = keymap_find(map, grant->first);
    return keymap_holder_equal(&segment->holder, own) &&
           segment->fence == grant->fence && grant->last <= segment->last;
}

static void
add_grant(struct keyowner *keyowner, const struct keymap_segment *segment,
          uint32_t first, uint32_t last, bool releasing)
{
    struct key_grant *grant = memory_calloc(1, sizeof(*grant));
    grant->releasing = releasing;
    grant->keyowner = keyowner;
    grant->first = first;
    grant->last = last;
    grant->fence = segment->fence;
    memcpy(grant->token, segment->token, sizeof(grant->token));
    TAILQ_INSERT_TAIL(&keyowner->grants, grant, link);
}

static const struct handover *
find_handover(const struct keyowner *keyowner, uint32_t key)
{
    const struct handover *handover;
    TAILQ_FOREACH (handover, &keyowner->handovers, link) {
        if (key >= handover->first && key <= handover->last) {
            return handover;
        }
    }
    return NULL;
}

/** Adds a grant for keys from first on, all or none of which are being handed
 * over: the pages of a finished handover may become known one by one.
 * @return its last key, at most last */
static uint32_t
cover_range(struct keyowner *keyowner, const struct keymap_segment *segment,
            uint32_t first, uint32_t last)
{
    const struct handover *inside = find_handover(keyowner, first);
    if (inside != NULL) {
        last = inside->last < last ? inside->last : last;
    }
    const struct handover *other;
    TAILQ_FOREACH (other, &keyowner->handovers, link) {
        if (other->first > first && other->first <= last) {
            last = other->first - 1;
        }
    }
    add_grant(keyowner, segment, first, last, inside != NULL);
    return last;
}

/** Adds grants for the keys of the segment that none covers yet. */
static void
cover_segment(struct keyowner *keyowner, const struct keymap_segment *segment)
{
    uint32_t key = segment->first;
    while (key <= segment->last) {
        const struct key_grant *grant = keyowner_find_grant(keyowner, key);
        if (grant != NULL) {
            key = grant->last + 1;
            continue;
        }
        uint32_t last = segment->last;
        struct key_grant *other;
        TAILQ_FOREACH (other, &keyowner->grants, link) {
            if (other->first > key && other->first <= last) {
                last = other->first - 1;
            }
        }
        key = cover_range(keyowner, segment, key, last) + 1;
    }
}

void
keyowner_sync_grants(struct keyowner *keyowner)
{
    const struct node_keymap *keys = keyowner_keys(keyowner);
    const struct keymap_holder own =
        localtarget_holder(keyowner->node->target);
    struct key_grant *grant = TAILQ_FIRST(&keyowner->grants);
    while (grant != NULL) {
        struct key_grant *next = TAILQ_NEXT(grant, link);
        if (keys == NULL || own.instance[0] == '\0' ||
            (!keyowner_grant_is_current(grant, &keys->map, &own) &&
             !keyownerclaim_is_pending(grant))) {
            keyownergrant_free(grant);
        }
        grant = next;
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
advance(struct keyowner *keyowner)
{
    keyownerclaim_advance(keyowner);
    keyownerlease_renew(keyowner);
    keyownermap_write_changes(keyowner);
    keyownergrant_send_due(keyowner);
}

/** Gives up handovers that take too long; the keys are granted again. */
static void
drop_slow_handovers(struct keyowner *keyowner, int64_t now_us)
{
    struct handover *handover = TAILQ_FIRST(&keyowner->handovers);
    while (handover != NULL) {
        struct handover *next = TAILQ_NEXT(handover, link);
        if (!handover->released &&
            now_us - handover->started_us > HANDOVER_MAX_US) {
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
    if (now_us - keyowner->last_decay_us >= KEYOWNER_LOAD_HALF_LIFE_US) {
        keyowner->last_decay_us = now_us;
        if (!TAILQ_EMPTY(&keyowner->grants)) {
            keyload_decay(keyowner->load);
        }
    }
    drop_slow_handovers(keyowner, now_us);
    keyownermove_advance(keyowner);
    advance(keyowner);
}

void
keyowner_target_gone(struct keyowner *keyowner, bool proven_dead)
{
    struct key_grant *grant;
    struct handover *handover;
    keyownermove_clear(keyowner);
    while ((handover = TAILQ_FIRST(&keyowner->handovers)) != NULL) {
        keyownergrant_drop_handover(handover);
    }
    while ((grant = TAILQ_FIRST(&keyowner->grants)) != NULL) {
        keyownergrant_forget(grant);
    }
    keyowner->fence_min = 0;
    keyownerprocess_ended(keyowner);
    if (proven_dead) {
        keyowner->former_grants_end_us = 0;
        keyowner->unresolved_until_us = 0;
    }
    advance(keyowner);
}

void
keyowner_target_changed(struct keyowner *keyowner)
{
    if (keyowner->fence_min == 0) {
        keyowner->lease.renew_us = 0;
    }
    keyowner_sync_grants(keyowner);
    advance(keyowner);
}

void
keyowner_map_changed(struct keyowner *keyowner)
{
    keyownermap_finish_handovers(keyowner);
    keyowner_sync_grants(keyowner);
    advance(keyowner);
    localgate_keys_changed(keyowner->node->gate);
}

void
keyowner_split_grant_before(struct keyowner *keyowner, uint32_t key)
{
    struct key_grant *grant = keyowner_find_grant(keyowner, key);
    if (grant == NULL || grant->first == key) {
        return;
    }
    struct key_grant *upper = memory_copy(grant, sizeof(*grant));
    upper->call = NULL;
    upper->first = key;
    grant->last = key - 1;
    TAILQ_INSERT_AFTER(&keyowner->grants, grant, upper, link);
}
