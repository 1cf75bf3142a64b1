#include "placement/placer_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/timeunits.h"

#define EVACUATION_MOVES_MAX 64 /* concurrent moves of an evacuation */
#define EVACUATION_CHOICES 3    /* random receivers compared for a shard */
#define REBALANCE_MOVES_MAX 8   /* concurrent moves of rebalancing */
#define MOVE_TOKENS_MAX_S 2.0   /* saved-up tokens, in seconds of their rate */

/* A shard is split if its load is at least this share of the mean. */
#define SPLIT_LOAD_SHARE 0.5
/* Limits of the share of its hottest key in that load. */
#define SPLIT_KEY_SHARE_MIN 0.3
#define SPLIT_KEY_SHARE_MAX 0.9
/* A single key with less than this share of the mean has low load. */
#define COOL_LOAD_SHARE 0.01
#define COOL_MERGE_DELAY_US (60 * US_PER_SECOND) /* of low load */

/* Next page after one, cyclically, that has movable shards of this instance;
 * UINT32_MAX if there is none. evacuate() starts at a random page, so that
 * members which leave together seldom write the same one. */
static uint32_t
next_page(const struct placer *placer, uint32_t after)
{
    uint32_t pages = shardpage_count(placer->shards);
    uint32_t nearest = UINT32_MAX;

    for (const struct owned_shard *owned = ownedset_first(placer->owned);
         owned != NULL; owned = ownedset_next(placer->owned, owned)) {
        uint32_t distance =
            (placer_page_of(placer, owned->shard) + 2 * pages - after - 1) %
            pages;
        if (owned->state == OWNED_SERVING &&
            placer->now_us >= owned->move_not_before_us &&
            distance < nearest) {
            nearest = distance;
        }
    }
    return nearest == UINT32_MAX ? UINT32_MAX : (after + 1 + nearest) % pages;
}

/* @return false if there is no eligible receiver. */
static bool
evacuate_page(struct placer *placer, uint32_t page, const char *reason)
{
    for (struct owned_shard *owned = ownedset_first(placer->owned);
         owned != NULL; owned = ownedset_next(placer->owned, owned)) {
        const struct peer *peer;
        if (owned->state != OWNED_SERVING ||
            placer->now_us < owned->move_not_before_us ||
            placer_page_of(placer, owned->shard) != page) {
            continue;
        }
        peer = peers_pick_least_loaded(placer->peers, &placer->random,
                                       EVACUATION_CHOICES, owned->load,
                                       placer->instance);
        if (peer == NULL) {
            return false;
        }
        placer_start_move(placer, owned, peer->info.name, reason);
    }
    return true;
}

/* Moves all shards away, a few pages at a time. */
static void
evacuate(struct placer *placer, const char *reason)
{
    uint32_t pages = shardpage_count(placer->shards);

    if (placer->evacuated_page >= pages) {
        placer->evacuated_page =
            (uint32_t)random_below(&placer->random, pages);
    }
    while (ownedset_moving_count(placer->owned) < EVACUATION_MOVES_MAX) {
        uint32_t page = next_page(placer, placer->evacuated_page);
        if (page == UINT32_MAX || !evacuate_page(placer, page, reason)) {
            return;
        }
        placer->evacuated_page = page;
    }
}

void
placer_evacuate(struct placer *placer)
{
    if (pagewriter_is_backing_off(placer->writer, placer->now_us)) {
        return;
    }
    if (placer->leaving) {
        evacuate(placer, "leaving");
    }
    else if (placer->zone_out) {
        evacuate(placer, "zone out");
    }
}

static void
refill_tokens(struct placer *placer)
{
    double rate = placer->limits.moves_per_second;
    double seconds =
        (double)(placer->now_us - placer->tokens_refilled_us) / 1e6;

    placer->tokens_refilled_us = placer->now_us;
    placer->move_tokens += rate * seconds;
    if (placer->move_tokens > rate * MOVE_TOKENS_MAX_S) {
        placer->move_tokens = rate * MOVE_TOKENS_MAX_S;
    }
}

static struct shardchange *
new_key_change(const struct placer *placer, enum shardchange_kind kind,
               uint32_t key, uint32_t base, uint32_t epoch)
{
    struct shardchange *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        abort();
    }
    change->kind = kind;
    change->shard = key;
    change->base = base;
    change->from_epoch = epoch;
    change->reason = kind == SHARDCHANGE_SPLIT ? "hot key" : "key cooled down";
    (void)snprintf(change->from, sizeof(change->from), "%s", placer->instance);
    (void)snprintf(change->to, sizeof(change->to), "%s", placer->instance);
    return change;
}

/* Splits the hot key out of one shard whose load is a large share of the mean
 * load of a member. */
static void
split_hot_key(struct placer *placer, const struct rebalance_view *view)
{
    double split_load = SPLIT_LOAD_SHARE * view->mean_ratio * view->capacity;

    for (struct owned_shard *owned = ownedset_first(placer->owned);
         owned != NULL; owned = ownedset_next(placer->owned, owned)) {
        uint32_t key = shardmap_key_shard(owned->hot_hash);
        uint32_t page = owned->shard / SHARDPAGE_SHARDS;
        if ((owned->shard & SHARD_KEY_FLAG) != 0 || owned->load < split_load ||
            owned->state != OWNED_SERVING ||
            owned->hot_load < SPLIT_KEY_SHARE_MIN * owned->load ||
            owned->hot_load > SPLIT_KEY_SHARE_MAX * owned->load ||
            pagewriter_has_change(placer->writer, page, key)) {
            continue;
        }
        pagewriter_add(placer->writer, page,
                       new_key_change(placer, SHARDCHANGE_SPLIT, key,
                                      owned->shard, owned->epoch));
        return;
    }
}

/* Moves a cooled-down key to the owner of its base shard, or merges it if that
 * is this instance. */
static void
return_cool_key(struct placer *placer, struct owned_shard *owned)
{
    uint32_t base =
        shardmap_base_shard(placer->map, placer->service, owned->shard);
    struct shardmap_location location;
    struct owned_shard *base_owned = ownedset_find(placer->owned, base);
    const struct peer *peer;

    if (base_owned != NULL && base_owned->state == OWNED_SERVING) {
        if (!pagewriter_has_change(placer->writer, base / SHARDPAGE_SHARDS,
                                   owned->shard)) {
            pagewriter_add(placer->writer, base / SHARDPAGE_SHARDS,
                           new_key_change(placer, SHARDCHANGE_MERGE,
                                          owned->shard, base, owned->epoch));
        }
        return;
    }
    if (!shardmap_find(placer->map, placer->service, base, &location) ||
        location.owner == NULL) {
        return;
    }
    peer = peers_find(placer->peers, location.owner);
    if (peer != NULL && peer_is_eligible(peer)) {
        placer_start_move(placer, owned, peer->info.name, "key cooled down");
    }
}

static void
return_cool_keys(struct placer *placer, const struct rebalance_view *view)
{
    double cool_load = COOL_LOAD_SHARE * view->mean_ratio * view->capacity;

    for (struct owned_shard *owned = ownedset_first(placer->owned);
         owned != NULL; owned = ownedset_next(placer->owned, owned)) {
        if ((owned->shard & SHARD_KEY_FLAG) == 0 ||
            owned->state != OWNED_SERVING) {
            continue;
        }
        if (owned->load >= cool_load) {
            owned->cool_since_us = 0;
        }
        else if (owned->cool_since_us == 0) {
            owned->cool_since_us = placer->now_us;
        }
        else if (placer->now_us - owned->cool_since_us > COOL_MERGE_DELAY_US) {
            return_cool_key(placer, owned);
        }
    }
}

/* A receiver with low load that asked for more. */
static struct peer *
receiver_wanting_load(struct placer *placer, const struct rebalance_view *view)
{
    for (size_t i = 0; i < peers_count(placer->peers); i++) {
        struct peer *peer = peers_at(placer->peers, i);
        if (peer->wants_load && peer_is_eligible(peer) &&
            peer_load_ratio(peer) < REBALANCE_LOW_RATIO * view->mean_ratio &&
            strcmp(peer->info.name, placer->instance) != 0) {
            return peer;
        }
    }
    return NULL;
}

static bool
start_one_move(struct placer *placer, struct rebalance_view *view)
{
    struct peer *peer = NULL;
    struct owned_shard *owned;
    const char *reason = "overloaded";

    if (rebalance_is_overloaded(view)) {
        peer = rebalance_pick_receiver(placer->peers, placer->instance, view,
                                       &placer->random, placer->now_us);
    }
    else {
        peer = receiver_wanting_load(placer, view);
        reason = "receiver asked for its share";
    }
    if (peer == NULL) {
        return false;
    }
    owned = rebalance_pick_shard(placer->owned, view, peer, placer->now_us);
    if (owned == NULL) {
        return false;
    }
    placer_start_move(placer, owned, peer->info.name, reason);
    placer->move_tokens -= 1;
    placer->counts.load_moved += owned->load;
    view->load -= owned->moved_load;
    return true;
}

void
placer_rebalance(struct placer *placer)
{
    struct rebalance_view view;
    size_t moving = ownedset_moving_count(placer->owned);

    refill_tokens(placer);
    if (placer->leaving || placer->zone_out ||
        pagewriter_is_backing_off(placer->writer, placer->now_us)) {
        return;
    }
    view = placer_rebalance_view(placer);
    return_cool_keys(placer, &view);
    if (rebalance_is_overloaded(&view)) {
        split_hot_key(placer, &view);
    }
    while (placer->move_tokens >= 1 && moving < REBALANCE_MOVES_MAX &&
           start_one_move(placer, &view)) {
        moving++;
    }
}
