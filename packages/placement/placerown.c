#include "placement/placer_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "placement"
#include "base/invariant.h"
#include "base/log.h"

static void
add_gained_action(struct placer *placer, struct owned_shard *owned,
                  uint32_t base, bool planned)
{
    struct place_action *action =
        placer_add_action(placer, PLACE_SHARD_GAINED);

    action->shard = owned->shard;
    action->base = base;
    action->epoch = owned->epoch;
    action->planned = planned;
    action->blob = owned->blob;
    action->blob_size = owned->blob_size;
    owned->blob = NULL;
    owned->blob_size = 0;
}

static void
gain_shard(struct placer *placer, const struct shardpage_entry *entry,
           bool from_change)
{
    struct owned_shard *owned = ownedset_add(placer->owned, entry->shard);
    bool has_state =
        handovers_extract(placer->handovers, entry->shard, entry->epoch,
                          &owned->blob, &owned->blob_size);
    /* Without the lease the page may predate a fence of this instance. */
    bool planned = from_change && placer_lease_held(placer) &&
                   ((has_state && !entry->taken_over) || entry->epoch == 1);

    if (!planned) {
        free(owned->blob);
        owned->blob = NULL;
        owned->blob_size = 0;
    }
    owned->epoch = entry->epoch;
    owned->state = OWNED_SERVING;
    owned->state_since_us = placer->now_us;
    owned->serve_at_us = placer->now_us;
    if (entry->wait) {
        owned->state = OWNED_WAITING;
        owned->serve_at_us =
            placer->now_us + placer->limits.longest_request_us;
    }
    placer->counts.gained++;
    add_gained_action(placer, owned, entry->base, planned);
}

static void
lose_shard(struct placer *placer, struct owned_shard *owned)
{
    char subject[2 * STATE_NAME_MAX];
    bool serving = owned_shard_is_serving(owned, placer->now_us) &&
                   placer_lease_held(placer);

    (void)snprintf(subject, sizeof(subject), "%s/%u", placer->service,
                   owned->shard);
    (void)invariant_check(INVARIANT_ONE_OWNER, !serving, subject);
    placer->counts.lost++;
    placer_add_action(placer, PLACE_SHARD_LOST)->shard = owned->shard;
    ownedset_remove(placer->owned, owned);
}

/* This instance has split a key out of a shard of its own. */
static void
gain_split_key(struct placer *placer, const struct shardpage_entry *entry,
               struct owned_shard *base)
{
    struct owned_shard *owned = ownedset_add(placer->owned, entry->shard);
    struct place_action *action = placer_add_action(placer, PLACE_KEY_SPLIT);

    owned->epoch = entry->epoch;
    owned->state = OWNED_SERVING;
    owned->state_since_us = placer->now_us;
    owned->serve_at_us = placer->now_us;
    /* Requests of the key that were admitted by the base shard have to finish
     * first. */
    owned->move_not_before_us =
        placer->now_us + placer->limits.longest_request_us;
    owned->load = base->hot_load;
    base->load -= base->hot_load;
    base->hot_load = 0;
    action->shard = entry->shard;
    action->base = entry->base;
    action->epoch = entry->epoch;
}

static void
merge_key(struct placer *placer, struct owned_shard *owned,
          const struct shardpage_entry *before)
{
    struct owned_shard *base = ownedset_find(placer->owned, before->base);
    struct place_action *action = placer_add_action(placer, PLACE_KEY_MERGED);

    if (base != NULL) {
        base->move_not_before_us =
            placer->now_us + placer->limits.longest_request_us;
    }
    action->shard = before->shard;
    action->base = before->base;
    ownedset_remove(placer->owned, owned);
}

static void
raise_epoch(struct placer *placer, struct owned_shard *owned, uint32_t epoch)
{
    struct place_action *action =
        placer_add_action(placer, PLACE_EPOCH_RAISED);

    owned->epoch = epoch;
    action->shard = owned->shard;
    action->epoch = epoch;
}

void
placer_entry_changed(void *ctx, const struct shardpage_entry *before,
                     const struct shardpage_entry *after)
{
    struct placer *placer = ctx;
    uint32_t shard = after != NULL ? after->shard : before->shard;
    struct owned_shard *owned = ownedset_find(placer->owned, shard);
    struct owned_shard *base;

    if (!placer->ownership_known) {
        return;
    }
    if (after == NULL) {
        if (owned != NULL) {
            merge_key(placer, owned, before);
        }
        return;
    }
    if (strcmp(after->owner, placer->instance) != 0) {
        if (owned != NULL) {
            lose_shard(placer, owned);
        }
        return;
    }
    if (owned != NULL) {
        raise_epoch(placer, owned, after->epoch);
        return;
    }
    base = ownedset_find(placer->owned, after->base);
    if (before == NULL && base != NULL && base->epoch < after->epoch) {
        gain_split_key(placer, after, base);
        return;
    }
    gain_shard(placer, after, true);
}

void
placer_gain_all(struct placer *placer)
{
    for (uint32_t i = 0; i < shardpage_count(placer->shards); i++) {
        struct shardpage page;
        shardmap_copy_page(placer->map, placer->service, i, &page);
        for (size_t j = 0; j < page.shard_count + page.key_count; j++) {
            if (strcmp(page.entries[j].owner, placer->instance) == 0) {
                gain_shard(placer, &page.entries[j], false);
            }
        }
    }
    LOG_INFO("confirmed", LOG_UINT("shards", ownedset_count(placer->owned)));
}

void
placer_drop_all(struct placer *placer)
{
    struct owned_shard *owned;

    while ((owned = ownedset_first(placer->owned)) != NULL) {
        placer_add_action(placer, PLACE_SHARD_LOST)->shard = owned->shard;
        ownedset_remove(placer->owned, owned);
    }
}

void
placer_start_serving(struct placer *placer)
{
    for (struct owned_shard *owned = ownedset_first(placer->owned);
         owned != NULL; owned = ownedset_next(placer->owned, owned)) {
        if (owned->state == OWNED_WAITING &&
            placer->now_us >= owned->serve_at_us) {
            owned->state = OWNED_SERVING;
        }
    }
}
