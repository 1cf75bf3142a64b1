#include "placement/placer_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEAN_RATIO_SMOOTHING 0.3 /* weight of a new value */

static void
on_commit(void *ctx, const struct page_write *write)
{
    struct placer *placer = ctx;
    struct place_action *action = placer_add_action(placer, PLACE_COMMIT_PAGE);

    action->page = write->page.page;
    action->write = malloc(sizeof(*write));
    if (action->write == NULL) {
        abort();
    }
    *action->write = *write;
}

static void
on_read(void *ctx, uint32_t page)
{
    struct placer *placer = ctx;

    placer_add_action(placer, PLACE_READ_PAGE)->page = page;
}

static void
on_page_known(void *ctx, const struct shardpage *page, uint64_t version)
{
    struct placer *placer = ctx;

    shardmap_apply(placer->map, page, version, placer_entry_changed, placer);
}

static void
on_ended(void *ctx, const struct shardchange *change,
         enum shardchange_result result)
{
    struct placer *placer = ctx;
    uint32_t page = placer_page_of(placer, change->base);
    bool done = result == SHARDCHANGE_COMMITTED;

    switch (change->kind) {
    case SHARDCHANGE_MOVE:
        placer_move_ended(placer, change, result);
        break;
    case SHARDCHANGE_REPLACE:
        placer->counts.replaced += done ? 1 : 0;
        break;
    case SHARDCHANGE_CLAIM:
        placer->counts.claimed += done ? 1 : 0;
        break;
    case SHARDCHANGE_SPLIT:
        placer->counts.splits += done ? 1 : 0;
        break;
    case SHARDCHANGE_MERGE:
        placer->counts.merges += done ? 1 : 0;
        break;
    }
    if (!done) {
        return;
    }
    if (strcmp(change->to, placer->instance) != 0) {
        placer_add_page_action(placer, PLACE_SEND_PAGE, change->to, page);
    }
    placer_add_page_action(placer, PLACE_PUBLISH_PAGE, "", page);
}

static const struct pagewriter_ops writer_ops = {
    .commit = on_commit,
    .read = on_read,
    .page_known = on_page_known,
    .ended = on_ended,
};

static bool
create_parts(struct placer *placer, uint64_t seed)
{
    struct pagewriter_spec spec = {
        .instance = placer->instance,
        .service = placer->service,
        .map = placer->map,
        .ops = &writer_ops,
        .ctx = placer,
    };

    placer->peers = peers_create();
    placer->owned = ownedset_create();
    placer->handovers = handovers_create();
    spec.peers = placer->peers;
    placer->writer = pagewriter_create(&spec, seed);
    return placer->peers != NULL && placer->owned != NULL &&
           placer->handovers != NULL && placer->writer != NULL;
}

struct placer *
placer_create(const struct placer_spec *spec,
              const struct placer_limits *limits, int64_t now_us)
{
    struct placer *placer = calloc(1, sizeof(*placer));

    if (placer == NULL) {
        return NULL;
    }
    (void)snprintf(placer->instance, sizeof(placer->instance), "%s",
                   spec->instance);
    (void)snprintf(placer->zone, sizeof(placer->zone), "%s", spec->zone);
    (void)snprintf(placer->service, sizeof(placer->service), "%s",
                   spec->service);
    placer->shards = spec->shards;
    placer->map = spec->map;
    placer->limits = *limits;
    placer->now_us = now_us;
    placer->tokens_refilled_us = now_us;
    placer->evacuated_page = UINT32_MAX;
    TAILQ_INIT(&placer->actions);
    random_seed(&placer->random, spec->seed);
    if (!create_parts(placer, random_u64(&placer->random))) {
        placer_destroy(placer);
        return NULL;
    }
    return placer;
}

void
placer_destroy(struct placer *placer)
{
    struct place_action *action;

    if (placer == NULL) {
        return;
    }
    while ((action = placer_next_action(placer)) != NULL) {
        place_action_destroy(action);
    }
    pagewriter_destroy(placer->writer);
    handovers_destroy(placer->handovers);
    ownedset_destroy(placer->owned);
    peers_destroy(placer->peers);
    free(placer);
}

struct place_action *
placer_add_action(struct placer *placer, enum place_action_type type)
{
    struct place_action *action = calloc(1, sizeof(*action));

    if (action == NULL) {
        abort();
    }
    action->type = type;
    TAILQ_INSERT_TAIL(&placer->actions, action, link);
    return action;
}

void
placer_add_page_action(struct placer *placer, enum place_action_type type,
                       const char *peer, uint32_t page)
{
    struct place_action *action;

    TAILQ_FOREACH (action, &placer->actions, link) {
        if (action->type == type && action->page == page &&
            strcmp(action->peer, peer) == 0) {
            return;
        }
    }
    action = placer_add_action(placer, type);
    action->page = page;
    (void)snprintf(action->peer, sizeof(action->peer), "%s", peer);
}

struct place_action *
placer_next_action(struct placer *placer)
{
    struct place_action *action = TAILQ_FIRST(&placer->actions);

    if (action != NULL) {
        TAILQ_REMOVE(&placer->actions, action, link);
    }
    return action;
}

uint32_t
placer_page_of(const struct placer *placer, uint32_t shard)
{
    uint32_t base = shard;

    if ((shard & SHARD_KEY_FLAG) != 0) {
        base = shardmap_base_shard(placer->map, placer->service, shard);
    }
    return base / SHARDPAGE_SHARDS;
}

bool
placer_lease_held(const struct placer *placer)
{
    return placer->now_us < placer->lease_until_us;
}

void
placer_set_limits(struct placer *placer, const struct placer_limits *limits)
{
    placer->limits = *limits;
}

void
placer_set_lease(struct placer *placer, int64_t until_us)
{
    placer->lease_until_us = until_us;
}

void
placer_set_leaving(struct placer *placer, bool leaving)
{
    placer->leaving = leaving;
    placer->evacuate_due_us = 0;
}

void
placer_set_zone_out(struct placer *placer, const char *zone, bool out)
{
    peers_set_zone_out(placer->peers, zone, out);
    if (strcmp(zone, placer->zone) == 0) {
        placer->zone_out = out;
        placer->evacuate_due_us = 0;
    }
}

void
placer_set_cold(struct placer *placer, bool cold, double limit)
{
    placer->cold = cold;
    placer->cold_limit = limit;
}

void
placer_set_own_row(struct placer *placer, uint64_t incarnation,
                   uint64_t version, int64_t now_us)
{
    placer->now_us = now_us;
    placer->own_row_version = version;
    pagewriter_set_own_version(placer->writer, version);
    if (incarnation == placer->incarnation) {
        return;
    }
    placer->incarnation = incarnation;
    placer->registered_version = version;
    placer->ownership_known = false;
    placer->scanning = false;
    placer->scan_due_us = now_us;
    pagewriter_reset(placer->writer);
    placer_drop_all(placer);
}

void
placer_set_load(struct placer *placer, uint32_t shard, double load,
                uint64_t hot_hash, double hot_load)
{
    struct owned_shard *owned = ownedset_find(placer->owned, shard);

    if (owned != NULL) {
        owned->load = load;
        owned->hot_hash = hot_hash;
        owned->hot_load = hot_load;
    }
}

void
placer_update_member(struct placer *placer, const struct peer_info *info,
                     int64_t now_us)
{
    placer->now_us = now_us;
    peers_update(placer->peers, info, now_us);
    if (info->state == PEER_GONE) {
        placer->assign_due_us = 0;
        placer->owners_check_due_us = 0;
    }
}

void
placer_record_peer_load(struct placer *placer, const char *name, double load,
                        bool cold, double cold_limit, bool wants_load,
                        int64_t now_us)
{
    struct peer *peer = peers_find(placer->peers, name);

    if (peer != NULL) {
        peers_record_load(peer, load, cold, cold_limit, wants_load, now_us);
    }
}

bool
placer_accepts_shards(const struct placer *placer)
{
    return placer->ownership_known && placer_lease_held(placer) &&
           !placer->leaving && !placer->zone_out;
}

bool
placer_receive_reservation(struct placer *placer, double weight, bool urgent,
                           int64_t now_us)
{
    struct rebalance_view view;

    placer->now_us = now_us;
    if (!placer_accepts_shards(placer)) {
        return false;
    }
    if (urgent) {
        return true;
    }
    view = placer_rebalance_view(placer);
    view.load += handovers_pending_load(placer->handovers, now_us);
    return rebalance_accepts(&view, weight);
}

bool
placer_receive_handover(struct placer *placer,
                        const struct handover_info *info, int64_t now_us)
{
    placer->now_us = now_us;
    if (!placer_accepts_shards(placer)) {
        return false;
    }
    handovers_expire(placer->handovers, now_us);
    return handovers_put(placer->handovers, info, now_us);
}

void
placer_apply_page(struct placer *placer, const struct shardpage *page,
                  uint64_t version, int64_t now_us)
{
    placer->now_us = now_us;
    if (strcmp(page->service, placer->service) != 0) {
        shardmap_apply(placer->map, page, version, NULL, NULL);
        return;
    }
    if (shardmap_apply(placer->map, page, version, placer_entry_changed,
                       placer)) {
        pagewriter_page_changed(placer->writer, page->page, now_us);
    }
}

void
placer_pages_scanned(struct placer *placer, bool ok, uint64_t as_of,
                     int64_t now_us)
{
    placer->now_us = now_us;
    placer->scanning = false;
    if (!ok || as_of < placer->registered_version) {
        placer->scan_due_us = now_us + SCAN_RETRY_US;
        return;
    }
    if (placer->ownership_known || placer->incarnation == 0) {
        return;
    }
    placer->ownership_known = true;
    placer->ownership_known_us = now_us;
    placer_gain_all(placer);
}

void
placer_committed(struct placer *placer, uint64_t txn_id,
                 enum store_outcome outcome, uint64_t version, int64_t now_us)
{
    placer->now_us = now_us;
    pagewriter_committed(placer->writer, txn_id, outcome, version, now_us);
}

void
placer_page_read(struct placer *placer, uint32_t number, bool ok,
                 const struct shardpage *page, uint64_t version,
                 int64_t now_us)
{
    placer->now_us = now_us;
    pagewriter_page_read(placer->writer, number, ok, page, version, now_us);
    if (ok && page != NULL) {
        placer_apply_page(placer, page, version, now_us);
    }
}

/* Smooths the mean, because peers report at different times: while shards
 * move, the sum of their reports counts some shards twice and some not at
 * all. */
static void
update_mean_ratio(struct placer *placer)
{
    struct rebalance_view view = placer_rebalance_view(placer);
    bool eligible = !placer->leaving && !placer->zone_out;
    double mean_ratio =
        rebalance_mean_ratio(placer->peers, placer->instance, view.load,
                             eligible ? view.capacity : 0, placer->now_us);

    if (placer->mean_ratio == 0) {
        placer->mean_ratio = mean_ratio;
    }
    placer->mean_ratio +=
        MEAN_RATIO_SMOOTHING * (mean_ratio - placer->mean_ratio);
}

static void
request_scan(struct placer *placer)
{
    if (placer->ownership_known || placer->scanning ||
        placer->incarnation == 0 || placer->now_us < placer->scan_due_us) {
        return;
    }
    placer->scanning = true;
    placer_add_action(placer, PLACE_SCAN_PAGES);
}

static void
exchange_load(struct placer *placer)
{
    const struct peer *peer;

    placer->load_exchange_due_us = placer->now_us + LOAD_EXCHANGE_PERIOD_US;
    peer = peers_pick_random(placer->peers, &placer->random, placer->instance);
    if (peer != NULL) {
        struct place_action *action =
            placer_add_action(placer, PLACE_EXCHANGE_LOAD);
        (void)snprintf(action->peer, sizeof(action->peer), "%s",
                       peer->info.name);
    }
}

void
placer_run(struct placer *placer, int64_t now_us)
{
    placer->now_us = now_us;
    request_scan(placer);
    pagewriter_run(placer->writer, now_us);
    if (!placer->ownership_known) {
        return;
    }
    placer_start_serving(placer);
    placer_check_move_timeouts(placer);
    if (!placer_lease_held(placer)) {
        return;
    }
    if (now_us >= placer->evacuate_due_us) {
        placer->evacuate_due_us = now_us + EVACUATE_PERIOD_US;
        placer_evacuate(placer);
    }
    if (now_us >= placer->assign_due_us) {
        placer->assign_due_us = now_us + ASSIGN_PERIOD_US;
        placer_assign_unowned(placer);
    }
    if (now_us >= placer->rebalance_due_us) {
        placer->rebalance_due_us = now_us + REBALANCE_PERIOD_US;
        update_mean_ratio(placer);
        placer_rebalance(placer);
    }
    if (now_us >= placer->load_exchange_due_us) {
        exchange_load(placer);
    }
    pagewriter_run(placer->writer, now_us);
}
