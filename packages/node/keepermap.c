/* Changes of the map of keys that only their owner may make. */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keymap"
#include "base/log.h"
#include "base/memory.h"
#include "node/keeper_internal.h"
#include "node/localtarget.h"

#define WRITE_TIMEOUT_US (1500 * US_PER_MS)
#define RETRY_US (150 * US_PER_MS)

void
keepermap_finish(struct keeper *keeper)
{
    const struct node_keys *keys = keeper_keys(keeper);
    if (keys == NULL) {
        return;
    }
    const struct keymap *map = &keys->map;
    struct handover *handover = TAILQ_FIRST(&keeper->handovers);
    while (handover != NULL) {
        struct handover *next = TAILQ_NEXT(handover, link);
        const struct keymap_segment *segment =
            keymap_find(map, handover->first);
        if (handover->released &&
            keymap_holder_equal(&segment->holder, &handover->to)) {
            LOG_INFO("handover_done", LOG_UINT("first", handover->first),
                     LOG_UINT("last", handover->last),
                     LOG_STR("to", handover->to.instance),
                     LOG_INT("took_ms",
                             (node_now_us(keeper->node) - handover->begun_us) /
                                 US_PER_MS));
            keeper->moves->value++;
            keepergrant_drop_handover(handover);
        }
        handover = next;
    }
}

/** The store does not take the hand-overs: the target keeps the keys. */
static void
drop_handovers(struct keeper *keeper)
{
    struct handover *handover = TAILQ_FIRST(&keeper->handovers);
    while (handover != NULL) {
        struct handover *next = TAILQ_NEXT(handover, link);
        if (handover->released) {
            LOG_WARN("handover_dropped", LOG_UINT("first", handover->first),
                     LOG_UINT("last", handover->last));
            keepergrant_drop_handover(handover);
        }
        handover = next;
    }
    keepergrant_go_on(keeper);
}

static void
on_written(void *ctx, const struct rowstore_result *result)
{
    struct keeper *keeper = ctx;
    struct node_keys *keys = keeper_keys(keeper);
    char *text = keeper->map_text;
    keeper->map_call = NULL;
    keeper->map_text = NULL;
    if (result->outcome != ROWSTORE_DONE &&
        result->outcome != ROWSTORE_CONFLICT) {
        /* The same is written again under the same condition, until the
         * answer shows what became of it. */
        keeper->map_retry_us = node_now_us(keeper->node) + RETRY_US;
        keeper->map_unsure =
            keeper->map_unsure || result->outcome == ROWSTORE_UNKNOWN;
        if (!keeper->map_unsure) {
            drop_handovers(keeper);
        }
        free(text);
        return;
    }
    if (keys == NULL) {
        free(text);
        return;
    }
    /* Either way no earlier write can take effect any more. */
    keeper->touched = true;
    keeper->map_unsure = false;
    if (result->outcome == ROWSTORE_DONE) {
        node_wrote_keys(keeper->node, keys, text, result->version);
    }
    for (size_t i = 0;
         result->outcome == ROWSTORE_CONFLICT && i < result->row_count; i++) {
        keeper->touched = false;
        rowwatch_note(keeper->node->fleet_watch, &result->rows[i]);
    }
    free(text);
    keepermap_finish(keeper);
    keeper_sync(keeper);
    keepermap_go_on(keeper);
    keepergrant_go_on(keeper);
}

/** Gives up the keys of former lives of the target that cannot run any more.
 * @return true if the map changed */
static bool
vacate_former(struct keeper *keeper, struct keymap *map)
{
    static const struct keymap_holder nobody;
    const struct node *node = keeper->node;
    const struct keymap_holder own = localtarget_holder(node->target);
    bool changed = false;
    const bool over = node_now_us(node) >= keeper->former_ends_us;
    const bool present =
        own.instance[0] != '\0' && node_now_us(node) >= keeper->unsure_us;
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_segment *segment = &map->segments[i];
        const bool former =
            strcmp(segment->holder.instance, node->settings.instance) == 0 &&
            !keymap_holder_equal(&segment->holder, &own);
        if (former &&
            (over || (present && keepergrant_clear(keeper, segment)))) {
            keymap_assign(map, segment->first, segment->last, &nobody, NULL);
            changed = true;
        }
    }
    return changed;
}

static bool
apply_handovers(const struct keeper *keeper, struct keymap *map)
{
    const struct handover *handover;
    bool changed = false;
    TAILQ_FOREACH (handover, &keeper->handovers, link) {
        if (handover->released) {
            keymap_assign(map, handover->first, handover->last, &handover->to,
                          handover->token);
            changed = true;
        }
    }
    return changed;
}

void
keepermap_go_on(struct keeper *keeper)
{
    struct node *node = keeper->node;
    const struct rowstore *store = &node->options.store;
    struct node_keys *keys = keeper_keys(keeper);
    if (keys == NULL || keeper->map_call != NULL || !keeper->lease.held ||
        node_now_us(node) < keeper->map_retry_us ||
        rowwatch_version(node->fleet_watch) < keeper->lease.acquired_version) {
        return;
    }
    struct keymap map;
    keymap_copy(&map, &keys->map);
    const bool vacated = vacate_former(keeper, &map);
    const bool moved = apply_handovers(keeper, &map);
    const bool touch = !keeper->touched && keys->map.version > 0;
    if (keys->map.version == 0) {
        keeper->touched = true;
    }
    if (vacated || moved || touch) {
        char key[ROWSTORE_NAME_MAX + 1];
        node_keys_row(key, keys->service);
        keeper->map_text = keymap_print(&map);
        const struct rowstore_write write = {
            .table = NODE_TABLE,
            .key = key,
            .expected = keys->map.version,
            .value = keeper->map_text,
            .size = strlen(keeper->map_text),
        };
        keeper->map_call = store->ops->commit(
            store->impl, &write, 1, WRITE_TIMEOUT_US, on_written, keeper);
    }
    keymap_clear(&map);
}
