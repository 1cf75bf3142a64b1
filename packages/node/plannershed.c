/* An owner with far more than its share gives keys to targets without any by
 * itself, since planners may be unable to reach it or to move its keys. */
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "planner"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/keyshed.h"
#include "node/keyowner.h"
#include "node/localtarget.h"
#include "node/planner_internal.h"

#define SHED_INTERVAL_US (1 * US_PER_SECOND)

static bool
may_receive(const struct planner *planner,
            const struct instancetable_instance *instance)
{
    const struct node *node = planner->node;
    const struct instancetable_row *instance_row = &instance->instance_row;
    return planner_serves_own_service(planner, instance_row) &&
           instance_row->state == INSTANCETABLE_SERVING &&
           !planner_is_self(planner, instance_row->instance) &&
           !node_zone_is_out((void *)node, instance_row->zone) &&
           !planner_is_lost(planner, instance_row->instance) &&
           instance->unreachable_count == 0 && !instance->notice.limited;
}

/** Lists the targets that may get keys. @return their number */
static size_t
list_receivers(const struct planner *planner, struct keymap_holder *targets)
{
    const struct instancetable_instance *instance;
    size_t count = 0;
    LIST_FOREACH (instance, &planner->node->instancetable.instances, link) {
        if (count < PLANNER_TARGETS_MAX && may_receive(planner, instance)) {
            memcpy(targets[count].instance, instance->instance_row.instance,
                   sizeof(targets[count].instance));
            count++;
        }
    }
    return count;
}

static struct keyload_curve *
make_own_curve(const struct planner *planner)
{
    struct keyload_step steps[KEYLOAD_STEPS_MAX];
    struct keyload_curve *curve = keyload_curve_create();
    keyload_curve_add(curve, steps,
                      keyowner_load_steps(planner->node->keyowner, steps));
    return curve;
}

/** Writes moves of the keys that are not moving yet.
 * @return their number */
static size_t
plan_moves(const struct planner *planner, const struct node_keymap *keys,
           const struct keymap_holder *own,
           struct keyplan_move moves[KEYPLAN_MOVES_MAX])
{
    static struct keymap_holder targets[PLANNER_TARGETS_MAX];
    struct keymap map;
    const size_t target_count = list_receivers(planner, targets);
    if (!keyshed_has_excess(&keys->map, own, target_count)) {
        return 0;
    }
    keymap_copy(&map, &keys->map);
    keyowner_apply_handovers(planner->node->keyowner, &map);
    const struct keyshed_input input = {
        .map = &map,
        .own = own,
        .targets = targets,
        .target_count = target_count,
        .curve = make_own_curve(planner),
    };
    const size_t count = keyshed_compute(&input, moves);
    keyload_curve_destroy(input.curve);
    keymap_clear(&map);
    return count;
}

void
plannershed_advance(struct planner *planner, const struct node_keymap *keys,
                    int64_t now_us)
{
    static struct keyplan_move moves[KEYPLAN_MOVES_MAX];
    struct node *node = planner->node;
    if (now_us < planner->shed_at_us ||
        !localtarget_is_serving(node->target) ||
        !keyowner_owns_keys(node->keyowner)) {
        return;
    }
    planner->shed_at_us = now_us + SHED_INTERVAL_US;
    const struct keymap_holder own = localtarget_holder(node->target);
    const size_t count = plan_moves(planner, keys, &own, moves);
    for (size_t i = 0; i < count; i++) {
        keyowner_begin_handover(node->keyowner, moves[i].first, moves[i].last,
                                &moves[i].to);
    }
    if (count > 0) {
        LOG_INFO("excess_shed", LOG_UINT("count", count));
    }
}
