/* Changes of the key map that only the owner of the keys may make. */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keymap"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localtarget.h"

#define RETRY_US (150 * US_PER_MS)
/* Between merges of an owner's segments. */
#define MERGE_INTERVAL_US (3 * US_PER_SECOND)
/* By then a renewal of the lease that was in progress is known. */
#define CONFLICT_DELAY_US (40 * US_PER_MS)

static struct keymap_handover
handover_spec(const struct handover *handover)
{
    return (struct keymap_handover){
        .first = handover->first,
        .last = handover->last,
        .from = handover->keyowner->node->settings.instance,
        .fence_max = handover->fence_max,
        .to = &handover->to,
        .token = handover->token,
    };
}

/** True if all keys have a new holder, which may have moved them on. */
static bool
is_done(const struct handover *handover, const struct keymap *map)
{
    const struct keymap_handover spec = handover_spec(handover);
    return !keymap_handover_pending(map, &spec);
}

void
keyownermap_finish_handovers(struct keyowner *keyowner)
{
    const struct node_keymap *keys = keyowner_keys(keyowner);
    if (keys == NULL) {
        return;
    }
    const struct keymap *map = &keys->map;
    struct handover *handover = TAILQ_FIRST(&keyowner->handovers);
    while (handover != NULL) {
        struct handover *next = TAILQ_NEXT(handover, link);
        if (handover->released && is_done(handover, map)) {
            LOG_INFO("handover_done", LOG_UINT("first", handover->first),
                     LOG_UINT("last", handover->last),
                     LOG_STR("to", handover->to.instance),
                     LOG_INT("took_ms", (node_now_us(keyowner->node) -
                                         handover->started_us) /
                                            US_PER_MS));
            keyowner->moves->value++;
            keyownergrant_drop_handover(handover);
        }
        handover = next;
    }
}

/** The write had no effect: the target keeps the keys. */
static void
drop_handovers(struct keyowner *keyowner)
{
    struct handover *handover = TAILQ_FIRST(&keyowner->handovers);
    while (handover != NULL) {
        struct handover *next = TAILQ_NEXT(handover, link);
        if (handover->released) {
            LOG_WARN("handover_dropped", LOG_UINT("first", handover->first),
                     LOG_UINT("last", handover->last));
            keyownergrant_drop_handover(handover);
        }
        handover = next;
    }
    keyownergrant_send_due(keyowner);
}

static void
on_written(void *ctx, const struct rowstore_result *result)
{
    struct keyowner *keyowner = ctx;
    struct node_keymap *keys = keyowner_keys(keyowner);
    keyowner->map_call = NULL;
    if (node_observe_version(keyowner->node, result->version)) {
        return;
    }
    if (result->outcome != ROWSTORE_DONE &&
        result->outcome != ROWSTORE_CONFLICT) {
        /* The same write is repeated until an answer shows whether it took
         * effect. */
        keyowner->map_retry_at_us = node_now_us(keyowner->node) + RETRY_US;
        keyowner->map_write_unresolved = keyowner->map_write_unresolved ||
                                         result->outcome == ROWSTORE_UNKNOWN;
        if (!keyowner->map_write_unresolved) {
            keyowner->merging = false;
            drop_handovers(keyowner);
        }
        return;
    }
    /* In either case, the same earlier write can no longer take effect. */
    keyowner->map_write_unresolved = false;
    keyowner->merging = false;
    if (keys == NULL) {
        return;
    }
    if (result->outcome == ROWSTORE_DONE) {
        node_publish_keymap(keyowner->node, keys, &keyowner->map_write,
                            result->version);
    }
    if (result->outcome == ROWSTORE_CONFLICT) {
        keyowner->map_retry_at_us =
            node_now_us(keyowner->node) + CONFLICT_DELAY_US;
    }
    node_apply_keymap_conflict(keyowner->node, result);
    keyownermap_finish_handovers(keyowner);
    keyowner_sync_grants(keyowner);
    keyownermap_write_changes(keyowner);
    keyownergrant_send_due(keyowner);
}

/** Frees the own keys if there has been no target for so long that none can
 * hold them any more. */
static void
free_keys_without_target(const struct keyowner *keyowner, struct keymap *map)
{
    static const struct keymap_holder no_holder;
    const struct node *node = keyowner->node;
    const int64_t now_us = node_now_us(node);
    if (localtarget_is_present(node->target) ||
        now_us < keyowner->former_grants_end_us ||
        now_us < keyowner->unresolved_until_us) {
        return;
    }
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        if (strcmp(segment->holder.instance, node->settings.instance) == 0) {
            keymap_assign(map, segment->first, segment->last, &no_holder,
                          NULL);
        }
    }
}

static void
apply_handovers(const struct keyowner *keyowner, struct keymap *map)
{
    const struct handover *handover;
    TAILQ_FOREACH (handover, &keyowner->handovers, link) {
        if (handover->released) {
            const struct keymap_handover spec = handover_spec(handover);
            keymap_apply_handover(map, &spec);
        }
    }
}

/** True if the segment is this instance's, its target holds all its keys, and
 * none of them is being handed over. */
static bool
is_settled(const struct keyowner *keyowner,
           const struct keymap_segment *segment)
{
    if (strcmp(segment->holder.instance, keyowner->node->settings.instance) !=
        0) {
        return false;
    }
    uint32_t key = segment->first;
    while (key <= segment->last) {
        const struct key_grant *grant = keyowner_find_grant(keyowner, key);
        if (grant == NULL || !grant->confirmed || grant->releasing) {
            return false;
        }
        key = grant->last + 1;
    }
    return true;
}

/** Merges adjacent own segments, which moves have left, as each is a grant to
 * renew. */
static void
merge_segments(struct keyowner *keyowner, struct keymap *map)
{
    const int64_t now_us = node_now_us(keyowner->node);
    if (now_us < keyowner->merge_at_us || !keyowner_may_grant(keyowner) ||
        !TAILQ_EMPTY(&keyowner->handovers) ||
        !TAILQ_EMPTY(&keyowner->waiting_moves)) {
        return;
    }
    const struct keymap_holder own =
        localtarget_holder(keyowner->node->target);
    keyowner->merge_at_us = now_us + MERGE_INTERVAL_US;
    keyowner->merging = true;
    for (size_t i = 0; i + 1 < map->count; i++) {
        const uint32_t first = map->segments[i].first;
        size_t end = i;
        while (end < map->count && is_settled(keyowner, &map->segments[end])) {
            end++;
        }
        if (end > i + 1) {
            keymap_assign(map, first, map->segments[end - 1].last, &own, NULL);
        }
    }
}

/** Has the fences of later owners begin above those of the own grants. */
static void
raise_fences(const struct keyowner *keyowner, struct keymap *map)
{
    uint64_t fence = keyowner->fence_min;
    fence = fence > keyowner->lease.version ? fence : keyowner->lease.version;
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        if (strcmp(segment->holder.instance,
                   keyowner->node->settings.instance) == 0) {
            keymap_raise_fence(map, segment->first, segment->last, fence);
        }
    }
}

/** The transaction fails if another process got the lease meanwhile, which may
 * have granted the keys. */
static struct rowstore_write
lease_condition(const struct keyowner *keyowner)
{
    return (struct rowstore_write){
        .table = NODE_LEASE_TABLE,
        .key = keyowner->lease_key,
        .expected = keyowner->map_write_lease,
        .check_only = true,
    };
}

/** Sends the write that was prepared. */
static void
send_write(struct keyowner *keyowner)
{
    struct rowstore_write parts[KEYMAPWRITE_PAGES_MAX + 1];
    size_t count = keymapwrite_fill(&keyowner->map_write, parts);
    parts[count++] = lease_condition(keyowner);
    keyowner->map_call = rowcommit_start(keyowner->node->commits, parts, count,
                                         ROWCOMMIT_SOON, on_written, keyowner);
}

void
keyownermap_write_changes(struct keyowner *keyowner)
{
    struct node *node = keyowner->node;
    struct node_keymap *keys = keyowner_keys(keyowner);
    if (keys == NULL || keyowner->map_call != NULL || !keyowner->lease.held ||
        keyowner->claiming || node_now_us(node) < keyowner->map_retry_at_us ||
        rowwatch_version(node->fleet_watch) <
            keyowner->lease.acquired_version) {
        return;
    }
    if (keyowner->map_write_unresolved) {
        send_write(keyowner);
        return;
    }
    struct keymap map;
    keymap_copy(&map, &keys->map);
    raise_fences(keyowner, &map);
    free_keys_without_target(keyowner, &map);
    apply_handovers(keyowner, &map);
    merge_segments(keyowner, &map);
    keymapwrite_clear(&keyowner->map_write);
    keyowner->map_write_lease = keyowner->lease.version;
    if (keymapwrite_prepare(&keyowner->map_write, keys->service, &keys->map,
                            &map)) {
        send_write(keyowner);
    }
    else {
        keyowner->merging = false;
    }
    keymap_clear(&map);
}
