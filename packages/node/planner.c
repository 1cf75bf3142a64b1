#include "node/planner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "planner"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/keyweight.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/planner_internal.h"
#include "node/relaytask.h"
#include "node/rowcommit.h"

#define TICK_US (100 * US_PER_MS)
/* Instances that started at the same time know each other by then. */
#define START_DELAY_US (1500 * US_PER_MS)
#define TAKEOVER_STAGGER_US (400 * US_PER_MS) /* between watchers */
#define REBALANCE_INTERVAL_US (1 * US_PER_SECOND)
#define SETTLE_US (1500 * US_PER_MS) /* until moves show in the loads */
#define REBALANCE_TOLERANCE 1.25     /* times an owner's fair share */
#define LOAD_AGE_MAX_US (3 * US_PER_SECOND)
#define BUSY_LOAD_PER_SLOT 0.8 /* from here on requests soon wait */
/* Loads of an owner that answers no queries but is alive; owners that hold
 * much of the load answer late just when keys must leave them. */
#define LATE_LOAD_AGE_MAX_US (15 * US_PER_SECOND)

static void on_tick(void *ctx);

struct planner *
planner_create(struct node *node)
{
    struct planner *planner = memory_calloc(1, sizeof(*planner));
    planner->node = node;
    planner->plan_from_us = node_now_us(node) + START_DELAY_US;
    firstplan_init(&planner->first_plan, node_now_us(node));
    snprintf(planner->era_key, sizeof(planner->era_key), NODE_ERA_KEY "%s",
             node->settings.service);
    planner->takeovers =
        counter_add(node->options.counters, "planner_takes",
                    "instances whose keys were taken over after "
                    "their lease expired");
    planner->plans = counter_add(node->options.counters, "planner_plans",
                                 "changes of the map that were planned");
    timer_init(&planner->tick, node->runtime, on_tick, planner);
    timer_start(&planner->tick, TICK_US);
    return planner;
}

void
planner_destroy(struct planner *planner)
{
    if (planner == NULL) {
        return;
    }
    timer_stop(&planner->tick);
    if (planner->map_call != NULL) {
        rowcommit_cancel(planner->map_call);
    }
    if (planner->era_call != NULL) {
        rowcommit_cancel(planner->era_call);
    }
    struct watched_lease *lease;
    while ((lease = LIST_FIRST(&planner->leases)) != NULL) {
        plannertakeover_free_lease(lease);
    }
    struct peer_load *peer;
    while ((peer = LIST_FIRST(&planner->peers)) != NULL) {
        LIST_REMOVE(peer, link);
        free(peer->steps);
        free(peer);
    }
    keymapwrite_clear(&planner->map_write);
    free(planner);
}

struct node_keymap *
planner_keys(const struct planner *planner)
{
    const struct declared_service *service = node_own_service(planner->node);
    return service != NULL && service->keyed
               ? node_find_keymap(planner->node, service->name)
               : NULL;
}

/** Fills in what is known of the own target. */
static void
describe_own(const struct planner *planner, struct keyweight_target *known)
{
    const struct localgate *gate = planner->node->gate;
    const struct limitnotice *limit = localgate_limit(gate);
    known->service_us = planner->own_service_us;
    known->cold = localgate_is_cold(gate);
    known->limited = limit->limited;
    known->limit_per_s = limit->per_s;
}

/** Fills in what is known of another instance's target. */
static void
describe_peer(const struct planner *planner, const char *instance,
              struct keyweight_target *known)
{
    const struct peer_load *peer = planner_find_peer(planner, instance);
    if (peer != NULL && peer->received_us > 0) {
        known->service_us = peer->service_us;
        known->cold = peer->cold;
        known->limited = peer->limited;
        known->limit_per_s = peer->limit_per_s;
    }
}

/** True if the instance answers no queries, and can't be moved keys from. */
static bool
is_out_of_plan(const struct planner *planner, const char *instance)
{
    return planner_is_lost(planner, instance) &&
           !plannertakeover_is_renewed(planner, instance);
}

static size_t
list_targets(const struct planner *planner, struct keyplan_target *targets)
{
    static struct keyweight_target known[PLANNER_TARGETS_MAX];
    const struct node *node = planner->node;
    const struct instancetable_instance *instance;
    size_t count = 0;
    LIST_FOREACH (instance, &node->instancetable.instances, link) {
        const struct instancetable_row *instance_row = &instance->instance_row;
        if (!planner_serves_own_service(planner, instance_row) ||
            count == PLANNER_TARGETS_MAX ||
            is_out_of_plan(planner, instance_row->instance)) {
            continue;
        }
        known[count] = (struct keyweight_target){
            .slots = instance_row->slots,
            .leaving = node_zone_is_out((void *)node, instance_row->zone) ||
                       instance_row->state == INSTANCETABLE_LEAVING,
        };
        if (planner_is_self(planner, instance_row->instance)) {
            describe_own(planner, &known[count]);
        }
        else {
            describe_peer(planner, instance_row->instance, &known[count]);
        }
        memcpy(targets[count].holder.instance, instance_row->instance,
               sizeof(targets[count].holder.instance));
        count++;
    }
    keyweight_compute(known, count, targets);
    for (size_t i = 0; i < count; i++) {
        struct keyplan_target *target = &targets[i];
        target->answers_late =
            planner_is_lost(planner, target->holder.instance);
        target->can_receive = target->can_receive && !target->answers_late;
    }
    return count;
}

/** False for instances that have left: their loads count no more, and nothing
 * waits for them. */
static bool
is_present(const struct planner *planner, const struct peer_load *peer)
{
    const struct instancetable_instance *instance =
        instancetable_find(&planner->node->instancetable, peer->instance);
    return instance != NULL &&
           planner_serves_own_service(planner, &instance->instance_row);
}

/** How old a peer's loads may be to be used. */
static int64_t
load_age_max_us(const struct planner *planner, const struct peer_load *peer)
{
    return peer->failures > 0 &&
                   plannertakeover_is_renewed(planner, peer->instance)
               ? LATE_LOAD_AGE_MAX_US
               : LOAD_AGE_MAX_US;
}

static struct keyload_curve *
make_curve(const struct planner *planner, bool *complete)
{
    struct keyload_curve *curve = keyload_curve_create();
    struct keyload_step steps[KEYLOAD_STEPS_MAX];
    const int64_t now_us = node_now_us(planner->node);
    const struct peer_load *peer;
    keyload_curve_add(curve, steps,
                      keyowner_load_steps(planner->node->keyowner, steps));
    *complete = true;
    LIST_FOREACH (peer, &planner->peers, link) {
        if (!is_present(planner, peer)) {
            continue;
        }
        if (peer->received_us > 0 &&
            now_us - peer->received_us < load_age_max_us(planner, peer)) {
            keyload_curve_add(curve, peer->steps, peer->step_count);
        }
        else if (peer->failures == 0) {
            *complete = false;
        }
    }
    return curve;
}

static void
on_written(void *ctx, const struct rowstore_result *result)
{
    struct planner *planner = ctx;
    struct node_keymap *keys = planner_keys(planner);
    struct watched_lease *lease = planner->takeover_lease;
    planner->map_call = NULL;
    planner->takeover_lease = NULL;
    node_observe_version(planner->node, result->version);
    if (lease != NULL && result->outcome != ROWSTORE_UNKNOWN) {
        lease->takeover_pending = false;
        lease->version_known = false;
    }
    if (keys == NULL) {
        return;
    }
    if (result->outcome == ROWSTORE_DONE) {
        node_publish_keymap(planner->node, keys, &planner->map_write,
                            result->version);
    }
    node_apply_keymap_conflict(planner->node, result);
}

void
planner_write(struct planner *planner, const struct keymap *map,
              struct watched_lease *lease)
{
    const struct node_keymap *keys = planner_keys(planner);
    struct rowstore_write parts[KEYMAPWRITE_PAGES_MAX + 1];
    keymapwrite_clear(&planner->map_write);
    keymapwrite_prepare(&planner->map_write, keys->service, &keys->map, map);
    size_t count = keymapwrite_fill(&planner->map_write, parts);
    if (lease != NULL) {
        parts[count++] = (struct rowstore_write){
            .table = NODE_LEASE_TABLE,
            .key = lease->instance,
            .expected = lease->version,
            .check_only = lease->version == 0,
        };
    }
    planner->takeover_lease = lease;
    planner->plans->value++;
    planner->map_call = rowcommit_start(planner->node->commits, parts, count,
                                        ROWCOMMIT_SOON, on_written, planner);
}

/** Writes the moves of keys without an owner into the map.
 * @return true if there were any */
static bool
assign_unowned(struct planner *planner, const struct node_keymap *keys,
               const struct keyplan_move *moves, size_t count)
{
    struct keymap map;
    bool changed = false;
    keymap_copy(&map, &keys->map);
    for (size_t i = 0; i < count; i++) {
        if (moves[i].from.instance[0] == '\0') {
            keymap_raise_fence(&map, moves[i].first, moves[i].last,
                               rowwatch_version(planner->node->fleet_watch));
            keymap_assign(&map, moves[i].first, moves[i].last, &moves[i].to,
                          NULL);
            changed = true;
            LOG_INFO("assigned", LOG_UINT("first", moves[i].first),
                     LOG_UINT("last", moves[i].last),
                     LOG_STR("to", moves[i].to.instance));
        }
    }
    if (changed) {
        planner_write(planner, &map, NULL);
    }
    keymap_clear(&map);
    return changed;
}

static void
order_moves(struct planner *planner, const struct keyplan_move *moves,
            size_t count)
{
    struct node *node = planner->node;
    size_t ordered = 0;
    for (size_t i = 0; i < count; i++) {
        const struct keyplan_move *move = &moves[i];
        if (move->from.instance[0] == '\0') {
            continue; /* not to be assigned yet */
        }
        ordered++;
        if (planner_is_self(planner, move->from.instance)) {
            keyowner_begin_handover(node->keyowner, move->first, move->last,
                                    &move->to);
            continue;
        }
        const struct instancetable_instance *owner =
            instancetable_find(&node->instancetable, move->from.instance);
        if (owner != NULL) {
            relaytask_order_move(node->relay, owner, move->first, move->last,
                                 &move->to);
        }
    }
    if (ordered > 0) {
        LOG_INFO("moves_ordered", LOG_UINT("count", ordered));
        planner->settle_until_us = node_now_us(node) + SETTLE_US;
    }
}

/** True if some target's load is high enough to increase its latency, or above
 * its rate limit. Only then are moves between working targets justified. */
static bool
any_target_is_busy(const struct planner *planner)
{
    const struct peer_load *peer;
    if (planner->own_load_per_slot > BUSY_LOAD_PER_SLOT ||
        localgate_exceeds_limit(planner->node->gate)) {
        return true;
    }
    LIST_FOREACH (peer, &planner->peers, link) {
        const bool is_alive =
            peer->failures == 0 ||
            plannertakeover_is_renewed(planner, peer->instance);
        if (is_alive && is_present(planner, peer) &&
            (peer->load_per_slot > BUSY_LOAD_PER_SLOT ||
             peer->limit_exceeded)) {
            return true;
        }
    }
    return false;
}

/** True if some keys have or had an owner. */
static bool
was_assigned(const struct keymap *map)
{
    for (unsigned page = 0; page < KEYMAP_PAGES; page++) {
        if (map->pages[page].version > 0) {
            return true;
        }
    }
    return false;
}

struct map_needs {
    bool unowned; /* some keys have no owner */
    bool leaving; /* some belong to a leaving instance */
};

static struct map_needs
find_needs(const struct keymap *map, const struct keyplan_target *targets,
           size_t count)
{
    struct map_needs needs = {.unowned = false};
    for (size_t i = 0; i < map->count; i++) {
        const struct keymap_holder *holder = &map->segments[i].holder;
        needs.unowned = needs.unowned || holder->instance[0] == '\0';
        for (size_t k = 0; k < count; k++) {
            needs.leaving = needs.leaving ||
                            (targets[k].must_release_all &&
                             keymap_holder_equal(&targets[k].holder, holder));
        }
    }
    return needs;
}

static void
make_plan(struct planner *planner, const struct node_keymap *keys,
          int64_t now_us)
{
    static struct keyplan_target targets[PLANNER_TARGETS_MAX];
    static struct keyplan_move moves[KEYPLAN_MOVES_MAX];
    const size_t count = list_targets(planner, targets);
    const struct map_needs needs = find_needs(&keys->map, targets, count);
    const bool settling = now_us < planner->settle_until_us;
    const bool rebalance = !needs.unowned && !settling &&
                           now_us >= planner->rebalance_at_us &&
                           any_target_is_busy(planner);
    if (!needs.unowned && (settling || (!needs.leaving && !rebalance))) {
        return;
    }
    if (rebalance) {
        planner->rebalance_at_us = now_us + REBALANCE_INTERVAL_US;
    }
    bool complete;
    const struct keyplan_input input = {
        .map = &keys->map,
        .targets = targets,
        .target_count = count,
        .curve = make_curve(planner, &complete),
        .tolerance = rebalance && complete ? REBALANCE_TOLERANCE : 0,
    };
    const size_t move_count = keyplan_compute(&input, moves);
    keyload_curve_destroy(input.curve);
    /* Until then, keys that the map gives to nobody may have an owner. */
    const struct keyera *era = &planner->node->keyera;
    const bool may_assign = keyera_is_recorded(era) &&
                            keyera_is_settled(era, now_us) &&
                            (was_assigned(&keys->map) ||
                             firstplan_is_due(&planner->first_plan, now_us));
    if (!may_assign || !assign_unowned(planner, keys, moves, move_count)) {
        order_moves(planner, moves, move_count);
    }
}

static void
on_era_recorded(void *ctx, const struct rowstore_result *result)
{
    struct planner *planner = ctx;
    struct node *node = planner->node;
    planner->era_call = NULL;
    rowwatch_apply_conflict(node->fleet_watch, result, planner->era_key);
    if (result->outcome == ROWSTORE_DONE &&
        !node_observe_version(node, result->version)) {
        rowwatch_refresh(node->fleet_watch);
    }
}

/** True if no key has ever had an owner: the store holds none, and is no copy
 * that lacks them. */
static bool
is_first_start(const struct node *node, const struct node_keymap *keys)
{
    if (!node->settings.bootstrap || node->keyera.restored ||
        rowwatch_row_version(node->fleet_watch, node->planner->era_key) > 0) {
        return false;
    }
    return !was_assigned(&keys->map);
}

/** Records that the era is settled. Leases don't name an instance whose target
 * leaves, so it can't tell. */
static void
record_era(struct planner *planner, const struct node_keymap *keys,
           int64_t now_us)
{
    struct node *node = planner->node;
    const struct keyera *era = &node->keyera;
    const uint64_t version =
        rowwatch_row_version(node->fleet_watch, planner->era_key);
    if (planner->era_call != NULL || keyera_is_recorded(era) ||
        !localtarget_is_serving(node->target) ||
        strcmp(keys->service, node->settings.service) != 0 ||
        (!is_first_start(node, keys) && !keyera_may_record(era, now_us))) {
        return;
    }
    char *text = keyera_print_settled(era);
    const struct rowstore_write write = {
        .table = NODE_TABLE,
        .key = planner->era_key,
        .expected = version,
        .value = text,
        .size = strlen(text),
    };
    planner->era_call = rowcommit_start(
        node->commits, &write, 1, ROWCOMMIT_SOON, on_era_recorded, planner);
    free(text);
}

/** Records how many instances of the service are known. */
static void
observe_instances(struct planner *planner, int64_t now_us)
{
    const struct instancetable_instance *instance;
    size_t count = 0;
    LIST_FOREACH (instance, &planner->node->instancetable.instances, link) {
        count += planner_serves_own_service(planner, &instance->instance_row);
    }
    firstplan_observe(&planner->first_plan, count, now_us);
}

static void
planner_run(struct planner *planner)
{
    const struct node *node = planner->node;
    const struct node_keymap *keys = planner_keys(planner);
    const int64_t now_us = node_now_us(node);
    if (keys == NULL || rowwatch_version(node->fleet_watch) == 0) {
        return;
    }
    const size_t rank = planner_rank(planner);
    if (rank == 0) {
        record_era(planner, keys, now_us);
    }
    observe_instances(planner, now_us);
    if (now_us < planner->plan_from_us) {
        return;
    }
    plannershed_advance(planner, keys, now_us);
    const bool is_watcher = rank < PLANNER_WATCHERS;
    if (now_us >= planner->next_own_sample_us) {
        planner->next_own_sample_us = now_us + PLANNER_POLL_INTERVAL_US;
        planner->own_service_us = planner_smooth_service_time(
            planner->own_service_us, localgate_service_us(node->gate));
        planner->own_load_per_slot = planner_smooth_load(
            planner->own_load_per_slot, localgate_load(node->gate),
            localtarget_slots(node->target));
    }
    planner_poll_peers(planner, is_watcher, now_us);
    if (!is_watcher || planner->map_call != NULL) {
        return;
    }
    plannertakeover_advance(planner, (int64_t)rank * TAKEOVER_STAGGER_US);
    if (rank == 0 && planner->map_call == NULL) {
        make_plan(planner, keys, now_us);
    }
}

void
planner_changed(struct planner *planner)
{
    planner_run(planner);
}

static void
on_tick(void *ctx)
{
    struct planner *planner = ctx;
    timer_start(&planner->tick, TICK_US);
    planner_run(planner);
}
