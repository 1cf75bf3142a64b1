#include "placement/placer_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "placement"
#include "base/invariant.h"
#include "base/log.h"

#define RESERVE_TIMEOUT_US INT64_C(1000000)
#define DRAIN_SLACK_US INT64_C(1000000) /* over the longest request */
#define HANDOVER_TIMEOUT_US INT64_C(5000000)
#define MOVE_PAUSE_US INT64_C(1000000) /* after a move that failed */
#define URGENT_REFUSALS 3              /* after which an evacuation insists */

static void
enter(struct placer *placer, struct owned *owned, enum owned_state state)
{
    owned->state = state;
    owned->since_us = placer->now_us;
}

/* An action about the shard with its receiver. */
static struct place_action *
add_move_action(struct placer *placer, const struct owned *owned,
                enum place_action_type type)
{
    struct place_action *action = placer_add_action(placer, type);

    action->shard = owned->shard;
    action->epoch = owned->epoch + 1;
    action->attempt = owned->attempt;
    action->weight = owned->weight;
    action->urgent = owned->refusals >= URGENT_REFUSALS &&
                     (placer->leaving || placer->zone_out);
    (void)snprintf(action->peer, sizeof(action->peer), "%s", owned->receiver);
    return action;
}

void
placer_start_move(struct placer *placer, struct owned *owned,
                  const char *receiver, const char *why)
{
    struct peer *peer = peers_find(placer->peers, receiver);

    if (peer == NULL ||
        !invariant_check(INVARIANT_ZONE_OUT, !peer->zone_out, receiver) ||
        !invariant_check(INVARIANT_LEAVING, peer_is_eligible(peer),
                         receiver)) {
        return;
    }
    owned->why = why;
    owned->attempt = ++placer->attempt;
    owned->weight = owned->load + placer_view(placer).floor;
    (void)snprintf(owned->receiver, sizeof(owned->receiver), "%s", receiver);
    peers_place(peer, owned->weight, placer->now_us);
    placer->counts.moves_started++;
    owned->accepted = false;
    enter(placer, owned, OWNED_RESERVING);
    add_move_action(placer, owned, PLACE_RESERVE);
    /* Read while the shard is still served, so that the write compares a
     * fresh version. */
    placer_add_page_action(placer, PLACE_READ, "",
                           placer_page_of(placer, owned->shard));
}

/* Gives up a move before anything was written: this instance is the owner. */
static void
give_up(struct placer *placer, struct owned *owned)
{
    struct peer *peer = peers_find(placer->peers, owned->receiver);

    if (peer != NULL) {
        peers_unplace(peer, owned->weight);
    }
    free(owned->blob);
    owned->blob = NULL;
    owned->blob_size = 0;
    placer->counts.moves_given_up++;
    enter(placer, owned, OWNED_SERVING);
    if (!placer->leaving && !placer->zone_out) {
        owned->move_after_us = placer->now_us + MOVE_PAUSE_US;
    }
}

void
placer_resume(struct placer *placer, struct owned *owned)
{
    struct place_action *action;

    give_up(placer, owned);
    action = placer_add_action(placer, PLACE_RESUME);
    action->shard = owned->shard;
    action->epoch = owned->epoch;
}

void
placer_drained(struct placer *placer, uint32_t shard, const void *blob,
               size_t blob_size, int64_t now_us)
{
    struct owned *owned = ownedset_find(placer->owned, shard);
    struct place_action *action;

    placer->now_us = now_us;
    if (owned == NULL || owned->state != OWNED_DRAINING) {
        return;
    }
    enter(placer, owned, OWNED_HANDING);
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
write_owner(struct placer *placer, struct owned *owned)
{
    struct change *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        abort();
    }
    change->kind = CHANGE_MOVE;
    change->shard = owned->shard;
    change->base = owned->shard;
    if ((owned->shard & SHARD_KEY_FLAG) != 0) {
        change->base =
            shardmap_base(placer->map, placer->service, owned->shard);
    }
    change->from_epoch = owned->epoch;
    change->why = owned->why;
    (void)snprintf(change->from, sizeof(change->from), "%s", placer->instance);
    (void)snprintf(change->to, sizeof(change->to), "%s", owned->receiver);
    enter(placer, owned, OWNED_WRITING);
    pagewriter_add(placer->writer, change->base / SHARDPAGE_SHARDS, change);
}

/* While an earlier write of the page is under way, the shard would wait for
 * it unserved. */
static void
drain_if_free(struct placer *placer, struct owned *owned)
{
    if (!pagewriter_busy(placer->writer,
                         placer_page_of(placer, owned->shard))) {
        enter(placer, owned, OWNED_DRAINING);
        add_move_action(placer, owned, PLACE_DRAIN);
    }
}

void
placer_handed(struct placer *placer, uint32_t shard, uint64_t attempt,
              bool accepted, int64_t now_us)
{
    struct owned *owned = ownedset_find(placer->owned, shard);

    placer->now_us = now_us;
    if (owned == NULL || owned->attempt != attempt) {
        return;
    }
    if (owned->state == OWNED_RESERVING) {
        if (!accepted) {
            owned->refusals++;
            give_up(placer, owned);
            return;
        }
        owned->refusals = 0;
        owned->accepted = true;
        drain_if_free(placer, owned);
    }
    else if (owned->state == OWNED_HANDING) {
        if (!accepted) {
            placer_resume(placer, owned);
            return;
        }
        write_owner(placer, owned);
        pagewriter_run(placer->writer, now_us);
    }
}

void
placer_move_ended(struct placer *placer, const struct change *change,
                  enum change_result result)
{
    struct owned *owned = ownedset_find(placer->owned, change->shard);

    if (result == CHANGE_DONE) {
        placer->counts.moves_done++;
        LOG_INFO("moved", LOG_UINT("shard", change->shard),
                 LOG_STR("to", change->to), LOG_STR("why", change->why));
        return;
    }
    /* With another owner the shard was lost when the page was learnt. If it
     * is still here, the write can't take effect any more. */
    if (owned == NULL || owned->state != OWNED_WRITING) {
        return;
    }
    placer_resume(placer, owned);
}

/* Gives up moves whose next step did not come in time. */
void
placer_check_moves(struct placer *placer)
{
    int64_t drain_us = placer->limits.longest_request_us + DRAIN_SLACK_US;

    for (struct owned *owned = ownedset_first(placer->owned); owned != NULL;
         owned = ownedset_next(placer->owned, owned)) {
        int64_t age_us = placer->now_us - owned->since_us;
        if (owned->state == OWNED_RESERVING && age_us > RESERVE_TIMEOUT_US) {
            give_up(placer, owned);
        }
        else if (owned->state == OWNED_RESERVING && owned->accepted) {
            drain_if_free(placer, owned);
        }
        else if ((owned->state == OWNED_DRAINING && age_us > drain_us) ||
                 (owned->state == OWNED_HANDING &&
                  age_us > HANDOVER_TIMEOUT_US)) {
            placer_resume(placer, owned);
        }
    }
}
