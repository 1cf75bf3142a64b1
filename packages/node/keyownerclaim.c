/* After the store returned from a copy: the keys that are granted here are
 * claimed in the copy's map, in one transaction with the lease. */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "claim"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"

#define RETRY_US (300 * US_PER_MS)
#define CONFLICT_DELAY_US (40 * US_PER_MS)

/** Frees grants that were uncertain in the former era or whose keys were being
 * given away, and retains the others. */
static void
retain_grants(struct keyowner *keyowner, const struct keyera *former)
{
    struct key_grant *grant = TAILQ_FIRST(&keyowner->grants);
    while (grant != NULL) {
        struct key_grant *next = TAILQ_NEXT(grant, link);
        /* What an earlier copy's map gives to this instance was granted only
         * once it was certain. */
        if (grant->releasing || !keyownergrant_was_certain(grant, former)) {
            keyownergrant_forget(grant);
        }
        else {
            grant->retained = true;
        }
        grant = next;
    }
    keyownermove_clear(keyowner);
    while (!TAILQ_EMPTY(&keyowner->handovers)) {
        keyownergrant_drop_handover(TAILQ_FIRST(&keyowner->handovers));
    }
}

/** Ends writes of the former era. If one still takes effect, the claim or the
 * next read of the map shows it. */
static void
cancel_writes(struct keyowner *keyowner)
{
    if (keyowner->lease_call != NULL) {
        rowcommit_cancel(keyowner->lease_call);
        keyowner->lease_call = NULL;
    }
    if (keyowner->map_call != NULL) {
        rowcommit_cancel(keyowner->map_call);
        keyowner->map_call = NULL;
    }
    free(keyowner->lease_write_text);
    keyowner->lease_write_text = NULL;
    keyowner->lease_write_unresolved = false;
    keyowner->map_write_unresolved = false;
    keyowner->merging = false;
}

/** Without a lease nothing is claimed; the map decides, once the era is
 * settled. */
static void
give_up(struct keyowner *keyowner)
{
    struct key_grant *grant;
    LOG_WARN("keys_not_claimed");
    keyowner->claiming = false;
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        grant->retained = false;
    }
    keylease_record_loss(&keyowner->lease, keyowner->lease.version);
    keyowner_sync_grants(keyowner);
    localgate_keys_changed(keyowner->node->gate);
}

void
keyowner_store_restored(struct keyowner *keyowner, const struct keyera *former)
{
    cancel_writes(keyowner);
    retain_grants(keyowner, former);
    keyowner->fence_min = 0;
    keyowner->claim_at_us = 0;
    keyowner->claim_first = 0;
    keyowner->claiming = true;
    if (!keyowner_has_lease(keyowner)) {
        give_up(keyowner);
    }
}

bool
keyownerclaim_is_pending(const struct key_grant *grant)
{
    return grant->keyowner->claiming && grant->retained &&
           grant->first >= grant->keyowner->claim_first;
}

/** The pages of a transaction are limited: prepares the claim of the keys
 * after those that were written. @return false if there can't be more */
static bool
claim_rest(struct keyowner *keyowner)
{
    const struct keymapwrite *write = &keyowner->map_write;
    if (write->count < KEYMAPWRITE_PAGES_MAX ||
        write->pages[write->count - 1].number + 1 == KEYMAP_PAGES) {
        return false;
    }
    keyowner->claim_first =
        (write->pages[write->count - 1].number + 1) * KEYMAP_PAGE_KEYS;
    keyowner->claim_at_us = 0;
    keyowner_split_grant_before(keyowner, keyowner->claim_first);
    return true;
}

static void
claimed(struct keyowner *keyowner, uint64_t version)
{
    struct node *node = keyowner->node;
    struct node_keymap *keys = keyowner_keys(keyowner);
    LOG_INFO("keys_claimed", LOG_UINT("version", version),
             LOG_UINT("pages", keyowner->map_write.count));
    keyowner->claiming = claim_rest(keyowner);
    keyownerlease_written(keyowner, version);
    if (keys != NULL && keyowner->map_write.count > 0) {
        node_publish_keymap(node, keys, &keyowner->map_write, version);
    }
}

static void
claim_conflict(struct keyowner *keyowner, const struct rowstore_result *result)
{
    const struct rowstore_row *row = keyownerlease_find_row(keyowner, result);
    node_apply_keymap_conflict(keyowner->node, result);
    if (row != NULL && strcmp(row->value, keyowner->lease_write_text) == 0) {
        /* An earlier attempt without an answer took effect. */
        claimed(keyowner, row->version);
        return;
    }
    keyowner->lease.version = row != NULL ? row->version : 0;
    free(keyowner->lease_write_text);
    keyowner->lease_write_text = NULL;
}

static void
on_claimed(void *ctx, const struct rowstore_result *result)
{
    struct keyowner *keyowner = ctx;
    const int64_t now_us = node_now_us(keyowner->node);
    keyowner->lease_call = NULL;
    if (node_observe_version(keyowner->node, result->version)) {
        return;
    }
    keyowner->claim_at_us = now_us + RETRY_US;
    if (result->outcome == ROWSTORE_DONE) {
        claimed(keyowner, result->version);
    }
    else if (result->outcome == ROWSTORE_CONFLICT) {
        keyowner->claim_at_us = now_us + CONFLICT_DELAY_US;
        claim_conflict(keyowner, result);
    }
}

/** The copy's map, with the keys that are granted here. */
static void
make_map(const struct keyowner *keyowner, const struct keymap *stored,
         struct keymap *map)
{
    const struct keymap_holder own =
        localtarget_holder(keyowner->node->target);
    const uint64_t fence = rowwatch_version(keyowner->node->fleet_watch);
    const struct key_grant *grant;
    keymap_copy(map, stored);
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        if (keyownerclaim_is_pending(grant) && own.instance[0] != '\0' &&
            !keyowner_grant_is_current(grant, stored, &own)) {
            keymap_raise_fence(map, grant->first, grant->last, fence);
            keymap_assign(map, grant->first, grant->last, &own, NULL);
        }
    }
}

/** The map as it is in the store: pages that the copy lacks are still known
 * from the former era. */
static void
make_stored_map(const struct keyowner *keyowner,
                const struct node_keymap *keys, struct keymap *map)
{
    keymap_copy(map, &keys->map);
    for (unsigned page = 0; page < KEYMAP_PAGES; page++) {
        if (!keyera_is_present(&keyowner->node->keyera,
                               map->pages[page].version)) {
            keymap_forget_page(map, page);
        }
    }
}

static void
write_claim(struct keyowner *keyowner, const struct node_keymap *keys)
{
    struct rowstore_write parts[KEYMAPWRITE_PAGES_MAX + 1];
    struct keymap stored;
    struct keymap map;
    make_stored_map(keyowner, keys, &stored);
    make_map(keyowner, &stored, &map);
    keymapwrite_clear(&keyowner->map_write);
    keymapwrite_prepare(&keyowner->map_write, keys->service, &stored, &map);
    size_t count = keymapwrite_fill(&keyowner->map_write, parts);
    parts[count++] = keyownerlease_part(keyowner);
    keyowner->lease_call =
        rowcommit_start(keyowner->node->commits, parts, count, ROWCOMMIT_SOON,
                        on_claimed, keyowner);
    keymap_clear(&map);
    keymap_clear(&stored);
}

void
keyownerclaim_advance(struct keyowner *keyowner)
{
    const struct node *node = keyowner->node;
    const struct node_keymap *keys = keyowner_keys(keyowner);
    if (!keyowner->claiming) {
        return;
    }
    if (!keyowner_has_lease(keyowner)) {
        cancel_writes(keyowner);
        give_up(keyowner);
        return;
    }
    const bool map_is_read =
        rowstore_era(rowwatch_version(node->fleet_watch)) == node->keyera.era;
    if (keys != NULL && map_is_read && keyowner->lease_call == NULL &&
        node_now_us(node) >= keyowner->claim_at_us) {
        write_claim(keyowner, keys);
    }
}
