/* Changes of the key map that only the owner of the keys may make. */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "keymap"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localtarget.h"

#define WRITE_TIMEOUT_US (1500 * US_PER_MS)
#define RETRY_US (150 * US_PER_MS)

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
        const struct keymap_segment *segment =
            keymap_find(map, handover->first);
        if (handover->released &&
            keymap_holder_equal(&segment->holder, &handover->to)) {
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
    char *text = keyowner->map_text;
    keyowner->map_call = NULL;
    keyowner->map_text = NULL;
    if (result->outcome != ROWSTORE_DONE &&
        result->outcome != ROWSTORE_CONFLICT) {
        /* Retried with the same expected version until an answer shows
         * whether the earlier write took effect. */
        keyowner->map_retry_at_us = node_now_us(keyowner->node) + RETRY_US;
        keyowner->map_write_unresolved = keyowner->map_write_unresolved ||
                                         result->outcome == ROWSTORE_UNKNOWN;
        if (!keyowner->map_write_unresolved) {
            drop_handovers(keyowner);
        }
        free(text);
        return;
    }
    if (keys == NULL) {
        free(text);
        return;
    }
    /* In either case, earlier writes can no longer take effect. */
    keyowner->earlier_writes_excluded = true;
    keyowner->map_write_unresolved = false;
    if (result->outcome == ROWSTORE_DONE) {
        node_publish_keymap(keyowner->node, keys, text, result->version);
    }
    for (size_t i = 0;
         result->outcome == ROWSTORE_CONFLICT && i < result->row_count; i++) {
        keyowner->earlier_writes_excluded = false;
        rowwatch_apply_row(keyowner->node->fleet_watch, &result->rows[i]);
    }
    free(text);
    keyownermap_finish_handovers(keyowner);
    keyowner_sync_grants(keyowner);
    keyownermap_write_changes(keyowner);
    keyownergrant_send_due(keyowner);
}

/** Removes from the map former incarnations of the target that can no longer
 * use their keys. @return true if the map changed */
static bool
release_former_incarnations(struct keyowner *keyowner, struct keymap *map)
{
    static const struct keymap_holder no_holder;
    const struct node *node = keyowner->node;
    const struct keymap_holder own = localtarget_holder(node->target);
    bool changed = false;
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
            keymap_assign(map, segment->first, segment->last, &no_holder,
                          NULL);
            changed = true;
        }
    }
    return changed;
}

static bool
apply_handovers(const struct keyowner *keyowner, struct keymap *map)
{
    const struct handover *handover;
    bool changed = false;
    TAILQ_FOREACH (handover, &keyowner->handovers, link) {
        if (handover->released) {
            keymap_assign(map, handover->first, handover->last, &handover->to,
                          handover->token);
            changed = true;
        }
    }
    return changed;
}

void
keyownermap_write_changes(struct keyowner *keyowner)
{
    struct node *node = keyowner->node;
    const struct rowstore *store = &node->options.store;
    struct node_keymap *keys = keyowner_keys(keyowner);
    if (keys == NULL || keyowner->map_call != NULL || !keyowner->lease.held ||
        node_now_us(node) < keyowner->map_retry_at_us ||
        rowwatch_version(node->fleet_watch) <
            keyowner->lease.acquired_version) {
        return;
    }
    struct keymap map;
    keymap_copy(&map, &keys->map);
    const bool released = release_former_incarnations(keyowner, &map);
    const bool moved = apply_handovers(keyowner, &map);
    const bool exclude_earlier =
        !keyowner->earlier_writes_excluded && keys->map.version > 0;
    if (keys->map.version == 0) {
        keyowner->earlier_writes_excluded = true;
    }
    if (released || moved || exclude_earlier) {
        char key[ROWSTORE_NAME_MAX + 1];
        node_keymap_row_name(key, keys->service);
        keyowner->map_text = keymap_print(&map);
        const struct rowstore_write write = {
            .table = NODE_TABLE,
            .key = key,
            .expected = keys->map.version,
            .value = keyowner->map_text,
            .size = strlen(keyowner->map_text),
        };
        keyowner->map_call = store->ops->commit(
            store->impl, &write, 1, WRITE_TIMEOUT_US, on_written, keyowner);
    }
    keymap_clear(&map);
}
