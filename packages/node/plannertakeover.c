/* Takeover of a lost instance's keys: its lease row must stay unchanged for
 * the whole lease, and is deleted in the transaction that frees the keys. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define LOG_MODULE "take"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/keylease.h"
#include "node/planner_internal.h"

#define READ_TIMEOUT_US (700 * US_PER_MS)
#define REREAD_INTERVAL_US (1 * US_PER_SECOND)
#define PROMISE_MARGIN_US (100 * US_PER_MS)

void
plannertakeover_free_lease(struct watched_lease *lease)
{
    const struct rowstore *store = &lease->planner->node->options.store;
    if (lease->call != NULL) {
        store->ops->cancel(store->impl, lease->call);
    }
    LIST_REMOVE(lease, link);
    free(lease);
}

static struct watched_lease *
find_or_add_lease(struct planner *planner, const char *instance)
{
    struct watched_lease *lease;
    LIST_FOREACH (lease, &planner->leases, link) {
        if (strcmp(lease->instance, instance) == 0) {
            return lease;
        }
    }
    lease = memory_calloc(1, sizeof(*lease));
    lease->planner = planner;
    snprintf(lease->instance, sizeof(lease->instance), "%s", instance);
    LIST_INSERT_HEAD(&planner->leases, lease, link);
    return lease;
}

bool
planner_promise(struct planner *planner, const char *instance,
                uint64_t lease_version)
{
    struct watched_lease *lease = find_or_add_lease(planner, instance);
    if (lease->takeover_pending ||
        !keyera_is_present(&planner->node->keyera, lease_version)) {
        return false;
    }
    lease->promised_until_us =
        node_now_us(planner->node) + KEYLEASE_PROMISE_US + PROMISE_MARGIN_US;
    keyera_promise(&planner->node->keyera, lease->promised_until_us);
    return true;
}

void
planner_store_restored(struct planner *planner)
{
    struct watched_lease *lease;
    LIST_FOREACH (lease, &planner->leases, link) {
        lease->version_known = false;
        lease->renewed_us = 0;
        lease->next_read_us = 0;
    }
}

bool
plannertakeover_is_renewed(const struct planner *planner, const char *instance)
{
    const int64_t now_us = node_now_us(planner->node);
    const struct watched_lease *lease;
    LIST_FOREACH (lease, &planner->leases, link) {
        if (strcmp(lease->instance, instance) == 0) {
            return lease->renewed_us > 0 &&
                   now_us - lease->renewed_us < KEYLEASE_DURATION_US;
        }
    }
    return false;
}

/** Whether the row names this instance as a peer that must promise, and of
 * which era it is. */
static void
read_row(struct watched_lease *lease, const struct rowstore_row *row)
{
    const struct node *node = lease->planner->node;
    json_t *document = json_loadb(row->value, row->size, 0, NULL);
    const json_t *peers = json_object_get(document, "peers");
    const json_t *era = json_object_get(document, "era");
    lease->needs_promise = false;
    lease->is_present = (uint64_t)json_integer_value(era) >= node->keyera.era;
    for (size_t i = 0; i < json_array_size(peers); i++) {
        const char *name = json_string_value(json_array_get(peers, i));
        lease->needs_promise =
            lease->needs_promise ||
            (name != NULL && strcmp(name, node->settings.instance) == 0);
    }
    json_decref(document);
}

static void
on_read(void *ctx, const struct rowstore_result *result)
{
    struct watched_lease *lease = ctx;
    struct planner *planner = lease->planner;
    const int64_t now_us = node_now_us(planner->node);
    lease->call = NULL;
    if (result->outcome != ROWSTORE_DONE ||
        node_observe_version(planner->node, result->version)) {
        return;
    }
    uint64_t version = 0;
    for (size_t i = 0; i < result->row_count; i++) {
        if (strcmp(result->rows[i].key, lease->instance) == 0) {
            version = result->rows[i].version;
            read_row(lease, &result->rows[i]);
        }
    }
    if (!lease->version_known || version != lease->version) {
        if (lease->version_known && version > 0) {
            lease->renewed_us = now_us;
        }
        lease->version_known = true;
        lease->version = version;
        lease->unchanged_since_us = now_us;
    }
    lease->store_version = result->version;
}

static void
read_lease(struct watched_lease *lease, int64_t now_us)
{
    const struct rowstore *store = &lease->planner->node->options.store;
    char end[KEYMAP_NAME_MAX + 2];
    if (lease->call != NULL || now_us < lease->next_read_us) {
        return;
    }
    snprintf(end, sizeof(end), "%s\x01", lease->instance);
    const struct rowstore_range range = {
        .table = NODE_LEASE_TABLE,
        .from = lease->instance,
        .to = end,
    };
    lease->next_read_us = now_us + REREAD_INTERVAL_US;
    lease->call =
        store->ops->read(store->impl, &range, READ_TIMEOUT_US, on_read, lease);
}

/** Writes the map with the holder's keys unowned, and deletes its lease. */
static void
take_over(struct watched_lease *lease, const struct node_keymap *keys)
{
    static const struct keymap_holder no_holder;
    struct planner *planner = lease->planner;
    struct keymap map;
    keymap_copy(&map, &keys->map);
    for (size_t i = 0; i < map.count; i++) {
        const struct keymap_segment *segment = &map.segments[i];
        if (strcmp(segment->holder.instance, lease->instance) == 0) {
            /* Fences of its grants are at most its lease's version. */
            keymap_raise_fence(&map, segment->first, segment->last,
                               lease->store_version);
            keymap_assign(&map, segment->first, segment->last, &no_holder,
                          NULL);
        }
    }
    LOG_WARN("keys_taken", LOG_STR("peer", lease->instance),
             LOG_UINT("lease_version", lease->version),
             LOG_INT("watched_ms",
                     (node_now_us(planner->node) - lease->unchanged_since_us) /
                         US_PER_MS));
    lease->takeover_pending = true;
    planner->takeovers->value++;
    planner_write(planner, &map, lease);
    keymap_clear(&map);
}

/** How long a row must stay unchanged until its lease has ended. */
static int64_t
wait_us(const struct watched_lease *lease)
{
    /* An instance that isn't asked for promises also waits for the time in
     * which promises can extend the lease. */
    return lease->needs_promise ? KEYLEASE_TAKEOVER_US
                                : KEYLEASE_TAKEOVER_UNNAMED_US;
}

/** True if the lease has expired by the holder's clock too. */
static bool
is_expired(const struct watched_lease *lease, int64_t now_us, int64_t delay_us)
{
    if (!lease->version_known || now_us < lease->promised_until_us) {
        return false;
    }
    if (lease->version == 0 || !lease->is_present) {
        /* A copy may lack the row, or its row name others than the one that
         * was lost. */
        return keyera_is_settled(&lease->planner->node->keyera, now_us);
    }
    return now_us - lease->unchanged_since_us >= wait_us(lease) + delay_us;
}

static bool
may_be_gone(const struct planner *planner, const char *owner)
{
    const struct node *node = planner->node;
    if (owner[0] == '\0' || strcmp(owner, node->settings.instance) == 0) {
        return false;
    }
    const struct instancetable_instance *instance =
        instancetable_find(&node->instancetable, owner);
    return instance == NULL ||
           instance->instance_row.state == INSTANCETABLE_ABSENT ||
           planner_is_unresponsive(planner, owner);
}

/** Watches the owner's lease and takes over its keys once it has expired. */
static void
watch_owner(struct planner *planner, const struct node_keymap *keys,
            const char *instance, int64_t now_us, int64_t delay_us)
{
    struct watched_lease *lease = find_or_add_lease(planner, instance);
    if (!lease->watched) {
        lease->watched = true;
        lease->version_known = false;
        lease->renewed_us = 0;
        lease->next_read_us = 0;
    }
    if (is_expired(lease, now_us, delay_us)) {
        take_over(lease, keys);
        return;
    }
    read_lease(lease, now_us);
}

void
plannertakeover_advance(struct planner *planner, int64_t delay_us)
{
    const struct node_keymap *keys = planner_keys(planner);
    const int64_t now_us = node_now_us(planner->node);
    struct watched_lease *lease;
    LIST_FOREACH (lease, &planner->leases, link) {
        lease->watched =
            lease->watched && may_be_gone(planner, lease->instance);
    }
    for (size_t i = 0; i < keys->map.count && planner->map_call == NULL; i++) {
        const char *owner = keys->map.segments[i].holder.instance;
        if (may_be_gone(planner, owner)) {
            watch_owner(planner, keys, owner, now_us, delay_us);
        }
    }
}
