#include "placement/placer_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "placement"
#include "base/invariant.h"
#include "base/log.h"
#include "base/timeunits.h"

#define RESERVE_TIMEOUT_US (1 * US_PER_SECOND)
#define DRAIN_MARGIN_US (1 * US_PER_SECOND) /* after the longest request */
#define HANDOVER_TIMEOUT_US (5 * US_PER_SECOND)
#define MOVE_RETRY_DELAY_US (1 * US_PER_SECOND) /* after a cancelled move */
#define URGENT_AFTER_REFUSALS 3 /* an evacuation overrides the load limit */

static void
set_state(struct placer *placer, struct owned_shard *owned,
          enum owned_state state)
{
    owned->state = state;
    owned->state_since_us = placer->now_us;
}

/* Appends an action for the shard's receiver. */
static struct place_action *
add_move_action(struct placer *placer, const struct owned_shard *owned,
                enum place_action_type type)
{
    struct place_action *action = placer_add_action(placer, type);

    action->shard = owned->shard;
    action->epoch = owned->epoch + 1;
    action->attempt = owned->attempt;
    action->weight = owned->moved_load;
    action->urgent = owned->refused_count >= URGENT_AFTER_REFUSALS &&
                     (placer->leaving || placer->zone_out);
    (void)snprintf(action->peer, sizeof(action->peer), "%s", owned->receiver);
    return action;
}

void
placer_start_move(struct placer *placer, struct owned_shard *owned,
                  const char *receiver, const char *reason)
{
    struct peer *peer = peers_find(placer->peers, receiver);

    if (peer == NULL ||
        !invariant_check(INVARIANT_ZONE_OUT, !peer->zone_out, receiver) ||
        !invariant_check(INVARIANT_LEAVING, peer_is_eligible(peer),
                         receiver)) {
        return;
    }
    owned->reason = reason;
    owned->attempt = ++placer->attempt;
    owned->moved_load =
        owned->load + placer_rebalance_view(placer).idle_shard_load;
    (void)snprintf(owned->receiver, sizeof(owned->receiver), "%s", receiver);
    peers_add_pending_load(peer, owned->moved_load, placer->now_us);
    placer->counts.moves_started++;
    owned->accepted = false;
    set_state(placer, owned, OWNED_RESERVING);
    add_move_action(placer, owned, PLACE_RESERVE);
    /* Reads the page while the shard is still served, so that the later write
     * compares a current version. */
    placer_add_page_action(placer, PLACE_READ_PAGE, "",
                           placer_page_of(placer, owned->shard));
}

/* Cancels a move without a written page: this instance stays the owner. */
static void
cancel_unwritten(struct placer *placer, struct owned_shard *owned)
{
    struct peer *peer = peers_find(placer->peers, owned->receiver);

    if (peer != NULL) {
        peers_remove_pending_load(peer, owned->moved_load);
    }
    free(owned->blob);
    owned->blob = NULL;
    owned->blob_size = 0;
    placer->counts.moves_given_up++;
    set_state(placer, owned, OWNED_SERVING);
    if (!placer->leaving && !placer->zone_out) {
        owned->move_not_before_us = placer->now_us + MOVE_RETRY_DELAY_US;
    }
}

void
placer_cancel_move(struct placer *placer, struct owned_shard *owned)
{
    struct place_action *action;

    cancel_unwritten(placer, owned);
    action = placer_add_action(placer, PLACE_RESUME_SHARD);
    action->shard = owned->shard;
    action->epoch = owned->epoch;
}

void
placer_drained(struct placer *placer, uint32_t shard, const void *blob,
               size_t blob_size, int64_t now_us)
{
    struct owned_shard *owned = ownedset_find(placer->owned, shard);
    struct place_action *action;

    placer->now_us = now_us;
    if (owned == NULL || owned->state != OWNED_DRAINING) {
        return;
    }
    set_state(placer, owned, OWNED_TRANSFERRING);
    action = add_move_action(placer, owned, PLACE_HANDOVER);
    action->blob = malloc(blob_size + 1);
    if (action->blob == NULL) {
        abort();
    }
    if (blob_size > 0) {
        memcpy(action->blob, blob, blob_size);
    }
    action->blob_size = blob_size;
}

static void
commit_new_owner(struct placer *placer, struct owned_shard *owned)
{
    struct shardchange *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        abort();
    }
    change->kind = SHARDCHANGE_MOVE;
    change->shard = owned->shard;
    change->base = owned->shard;
    if ((owned->shard & SHARD_KEY_FLAG) != 0) {
        change->base =
            shardmap_base_shard(placer->map, placer->service, owned->shard);
    }
    change->from_epoch = owned->epoch;
    change->reason = owned->reason;
    (void)snprintf(change->from, sizeof(change->from), "%s", placer->instance);
    (void)snprintf(change->to, sizeof(change->to), "%s", owned->receiver);
    set_state(placer, owned, OWNED_COMMITTING);
    pagewriter_add(placer->writer, change->base / SHARDPAGE_SHARDS, change);
}

/* During another write of the page a drained shard would wait for it without
 * being served. */
static void
drain_if_page_idle(struct placer *placer, struct owned_shard *owned)
{
    if (!pagewriter_page_is_busy(placer->writer,
                                 placer_page_of(placer, owned->shard))) {
        set_state(placer, owned, OWNED_DRAINING);
        add_move_action(placer, owned, PLACE_DRAIN_SHARD);
    }
}

void
placer_receiver_answered(struct placer *placer, uint32_t shard,
                         uint64_t attempt, bool accepted, int64_t now_us)
{
    struct owned_shard *owned = ownedset_find(placer->owned, shard);

    placer->now_us = now_us;
    if (owned == NULL || owned->attempt != attempt) {
        return;
    }
    if (owned->state == OWNED_RESERVING) {
        if (!accepted) {
            owned->refused_count++;
            cancel_unwritten(placer, owned);
            return;
        }
        owned->refused_count = 0;
        owned->accepted = true;
        drain_if_page_idle(placer, owned);
    }
    else if (owned->state == OWNED_TRANSFERRING) {
        if (!accepted) {
            placer_cancel_move(placer, owned);
            return;
        }
        commit_new_owner(placer, owned);
        pagewriter_run(placer->writer, now_us);
    }
}

void
placer_move_ended(struct placer *placer, const struct shardchange *change,
                  enum shardchange_result result)
{
    struct owned_shard *owned = ownedset_find(placer->owned, change->shard);

    if (result == SHARDCHANGE_COMMITTED) {
        placer->counts.moves_done++;
        LOG_INFO("moved", LOG_UINT("shard", change->shard),
                 LOG_STR("to", change->to), LOG_STR("why", change->reason));
        return;
    }
    /* If the page had got another owner, the shard would have been removed
     * when the page was applied. As it is still owned, the write can't take
     * effect any more. */
    if (owned == NULL || owned->state != OWNED_COMMITTING) {
        return;
    }
    placer_cancel_move(placer, owned);
}

/* Cancels moves whose present step timed out. */
void
placer_check_move_timeouts(struct placer *placer)
{
    int64_t drain_us = placer->limits.longest_request_us + DRAIN_MARGIN_US;

    for (struct owned_shard *owned = ownedset_first(placer->owned);
         owned != NULL; owned = ownedset_next(placer->owned, owned)) {
        int64_t age_us = placer->now_us - owned->state_since_us;
        if (owned->state == OWNED_RESERVING && age_us > RESERVE_TIMEOUT_US) {
            cancel_unwritten(placer, owned);
        }
        else if (owned->state == OWNED_RESERVING && owned->accepted) {
            drain_if_page_idle(placer, owned);
        }
        else if ((owned->state == OWNED_DRAINING && age_us > drain_us) ||
                 (owned->state == OWNED_TRANSFERRING &&
                  age_us > HANDOVER_TIMEOUT_US)) {
            placer_cancel_move(placer, owned);
        }
    }
}
