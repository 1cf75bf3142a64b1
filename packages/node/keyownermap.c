/* Changes of the key map that only the owner of the keys may make. */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keymap"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localtarget.h"

#define RETRY_US (150 * US_PER_MS)

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
    if (result->outcome != ROWSTORE_DONE &&
        result->outcome != ROWSTORE_CONFLICT) {
        /* Retried with the same expected versions until an answer shows
         * whether the earlier write took effect. */
        keyowner->map_retry_at_us = node_now_us(keyowner->node) + RETRY_US;
        keyowner->map_write_unresolved = keyowner->map_write_unresolved ||
                                         result->outcome == ROWSTORE_UNKNOWN;
        if (!keyowner->map_write_unresolved) {
            drop_handovers(keyowner);
        }
        return;
    }
    if (keys == NULL) {
        return;
    }
    /* In either case, earlier writes can no longer take effect. */
    keyowner->map_write_unresolved = false;
    if (result->outcome == ROWSTORE_DONE) {
        node_publish_keymap(keyowner->node, keys, &keyowner->map_write,
                            result->version);
    }
    node_apply_keymap_conflict(keyowner->node, result);
    keyownermap_finish_handovers(keyowner);
    keyowner_sync_grants(keyowner);
    keyownermap_write_changes(keyowner);
    keyownergrant_send_due(keyowner);
}

/** Who gets the keys of former incarnations: the present one, which spares
 * the planner an assignment, or nobody if it can't take keys. */
static struct keymap_holder
successor(const struct node *node)
{
    static const struct keymap_holder no_holder;
    const bool can_take = localtarget_is_serving(node->target) &&
                          !node->stopping &&
                          !node_zone_is_out((void *)node, node->settings.zone);
    return can_take ? localtarget_holder(node->target) : no_holder;
}

/** Takes the keys of former incarnations of the target from them, as far as
 * they can no longer use them. */
static void
replace_former_incarnations(struct keyowner *keyowner, struct keymap *map)
{
    const struct node *node = keyowner->node;
    const struct keymap_holder own = localtarget_holder(node->target);
    const struct keymap_holder to = successor(node);
    const bool over = node_now_us(node) >= keyowner->former_grants_end_us;
    const bool present = own.instance[0] != '\0' &&
                         node_now_us(node) >= keyowner->unresolved_until_us;
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        const bool former =
            strcmp(segment->holder.instance, node->settings.instance) == 0 &&
            !keymap_holder_equal(&segment->holder, &own);
        if (former && (over || (present && keyownergrant_release_stale(
                                               keyowner, segment)))) {
            keymap_assign(map, segment->first, segment->last, &to, NULL);
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

/** Pages with own keys that earlier processes may still change; writing them
 * excludes that. */
static uint64_t
unsettled_pages(const struct keyowner *keyowner, const struct keymap *map)
{
    uint64_t pages = 0;
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        if (strcmp(segment->holder.instance,
                   keyowner->node->settings.instance) != 0) {
            continue;
        }
        for (unsigned page = keymap_page_of(segment->first);
             page <= keymap_page_of(segment->last); page++) {
            if (map->pages[page].version <= keyowner->lease.acquired_version) {
                pages |= UINT64_C(1) << page;
            }
        }
    }
    return pages;
}

void
keyownermap_write_changes(struct keyowner *keyowner)
{
    struct node *node = keyowner->node;
    struct node_keymap *keys = keyowner_keys(keyowner);
    if (keys == NULL || keyowner->map_call != NULL || !keyowner->lease.held ||
        node_now_us(node) < keyowner->map_retry_at_us ||
        rowwatch_version(node->fleet_watch) <
            keyowner->lease.acquired_version) {
        return;
    }
    struct keymap map;
    keymap_copy(&map, &keys->map);
    replace_former_incarnations(keyowner, &map);
    apply_handovers(keyowner, &map);
    keymapwrite_clear(&keyowner->map_write);
    if (keymapwrite_prepare(&keyowner->map_write, keys->service, &keys->map,
                            &map, unsettled_pages(keyowner, &keys->map))) {
        struct rowstore_write parts[KEYMAPWRITE_PAGES_MAX];
        const size_t count =
            keymapwrite_fill(&keyowner->map_write, &keys->map, parts);
        keyowner->map_call = rowcommit_start(
            node->commits, parts, count, ROWCOMMIT_SOON, on_written, keyowner);
    }
    keymap_clear(&map);
}
