#include "placement/placer_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "placement"
#include "base/invariant.h"
#include "base/log.h"

/* Tells the gate that it may serve the shard. */
static void
announce_gain(struct placer *placer, struct owned *owned, uint32_t base,
              bool planned)
{
    struct place_action *action = placer_add_action(placer, PLACE_GAINED);

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
adopt(struct placer *placer, const struct shardpage_entry *entry, bool known)
{
    struct owned *owned = ownedset_add(placer->owned, entry->shard);
    bool handed = offers_take(placer->offers, entry->shard, entry->epoch,
                              &owned->blob, &owned->blob_size);
    /* Without the lease the page may be old news from before a fence. */
    bool planned = known && placer_lease_held(placer) &&
                   ((handed && !entry->taken) || entry->epoch == 1);

    if (!planned) {
        free(owned->blob);
        owned->blob = NULL;
        owned->blob_size = 0;
    }
    owned->epoch = entry->epoch;
    owned->state = OWNED_SERVING;
    owned->since_us = placer->now_us;
    owned->serve_at_us = placer->now_us;
    if (entry->wait) {
        owned->state = OWNED_WAITING;
        owned->serve_at_us =
            placer->now_us + placer->limits.longest_request_us;
    }
    placer->counts.gained++;
    announce_gain(placer, owned, entry->base, planned);
}

static void
lose(struct placer *placer, struct owned *owned)
{
    char subject[2 * STATE_NAME_MAX];
    bool serving =
        owned_is_serving(owned, placer->now_us) && placer_lease_held(placer);

    (void)snprintf(subject, sizeof(subject), "%s/%u", placer->service,
                   owned->shard);
    (void)invariant_check(INVARIANT_ONE_OWNER, !serving, subject);
    placer->counts.lost++;
    placer_add_action(placer, PLACE_LOST)->shard = owned->shard;
    ownedset_remove(placer->owned, owned);
}

/* A key was split out of a shard of this instance, by this instance. */
static void
split_out(struct placer *placer, const struct shardpage_entry *entry,
          struct owned *base)
{
    struct owned *owned = ownedset_add(placer->owned, entry->shard);
    struct place_action *action = placer_add_action(placer, PLACE_SPLIT);

    owned->epoch = entry->epoch;
    owned->state = OWNED_SERVING;
    owned->since_us = placer->now_us;
    owned->serve_at_us = placer->now_us;
    /* Requests that were counted to the base must have finished. */
    owned->move_after_us = placer->now_us + placer->limits.longest_request_us;
    owned->load = base->hot_load;
    base->load -= base->hot_load;
    base->hot_load = 0;
    action->shard = entry->shard;
    action->base = entry->base;
    action->epoch = entry->epoch;
}

static void
merged(struct placer *placer, struct owned *owned,
       const struct shardpage_entry *before)
{
    struct owned *base = ownedset_find(placer->owned, before->base);
    struct place_action *action = placer_add_action(placer, PLACE_MERGED);

    if (base != NULL) {
        base->move_after_us =
            placer->now_us + placer->limits.longest_request_us;
    }
    action->shard = before->shard;
    action->base = before->base;
    ownedset_remove(placer->owned, owned);
}

static void
raise_epoch(struct placer *placer, struct owned *owned, uint32_t epoch)
{
    struct place_action *action = placer_add_action(placer, PLACE_EPOCH);

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
    struct owned *owned = ownedset_find(placer->owned, shard);
    struct owned *base;

    if (!placer->confirmed) {
        return;
    }
    if (after == NULL) {
        if (owned != NULL) {
            merged(placer, owned, before);
        }
        return;
    }
    if (strcmp(after->owner, placer->instance) != 0) {
        if (owned != NULL) {
            lose(placer, owned);
        }
        return;
    }
    if (owned != NULL) {
        raise_epoch(placer, owned, after->epoch);
        return;
    }
    base = ownedset_find(placer->owned, after->base);
    if (before == NULL && base != NULL && base->epoch < after->epoch) {
        split_out(placer, after, base);
        return;
    }
    adopt(placer, after, true);
}

void
placer_adopt_all(struct placer *placer)
{
    for (uint32_t i = 0; i < shardpage_count(placer->shards); i++) {
        struct shardpage page;
        shardmap_page(placer->map, placer->service, i, &page);
        for (size_t j = 0; j < page.shard_count + page.key_count; j++) {
            if (strcmp(page.entries[j].owner, placer->instance) == 0) {
                adopt(placer, &page.entries[j], false);
            }
        }
    }
    LOG_INFO("confirmed", LOG_UINT("shards", ownedset_count(placer->owned)));
}

void
placer_drop_all(struct placer *placer)
{
    struct owned *owned;

    while ((owned = ownedset_first(placer->owned)) != NULL) {
        placer_add_action(placer, PLACE_LOST)->shard = owned->shard;
        ownedset_remove(placer->owned, owned);
    }
}

void
placer_start_serving(struct placer *placer)
{
    for (struct owned *owned = ownedset_first(placer->owned); owned != NULL;
         owned = ownedset_next(placer->owned, owned)) {
        if (owned->state == OWNED_WAITING &&
            placer->now_us >= owned->serve_at_us) {
            owned->state = OWNED_SERVING;
        }
    }
}
