#include "fleet/keyplan_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

size_t
keyplan_find_target(const struct keyplan_input *input,
                    const struct keymap_holder *holder)
{
    for (size_t i = 0; i < input->target_count; i++) {
        if (keymap_holder_equal(&input->targets[i].holder, holder)) {
            return i;
        }
    }
    return KEYPLAN_NO_TARGET;
}

bool
keyplan_keeps_share(const struct keyplan_target *target)
{
    return target->can_receive || target->limited || target->answers_late;
}

static double
load_of(const struct keyplan *plan, const struct keymap_segment *segment)
{
    return keyload_curve_load(plan->input->curve, segment->first,
                              segment->last);
}

static void
measure(struct keyplan *plan)
{
    const struct keyplan_input *input = plan->input;
    plan->total = 0;
    plan->weight = 0;
    for (size_t i = 0; i < input->target_count; i++) {
        plan->loads[i] = 0;
        if (keyplan_keeps_share(&input->targets[i])) {
            plan->weight += input->targets[i].weight;
        }
    }
    for (size_t i = 0; i < plan->map.count; i++) {
        const struct keymap_segment *segment = &plan->map.segments[i];
        const double load = load_of(plan, segment);
        const size_t target = keyplan_find_target(input, &segment->holder);
        plan->total += load;
        if (target != KEYPLAN_NO_TARGET) {
            plan->loads[target] += load / input->targets[target].weight;
        }
    }
}

size_t
keyplan_least_loaded(const struct keyplan *plan)
{
    size_t best = KEYPLAN_NO_TARGET;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        if (plan->input->targets[i].can_receive &&
            (best == KEYPLAN_NO_TARGET ||
             plan->loads[i] < plan->loads[best])) {
            best = i;
        }
    }
    return best;
}

void
keyplan_add_move(struct keyplan *plan, uint32_t first, uint32_t last,
                 size_t to)
{
    const struct keyplan_target *targets = plan->input->targets;
    const struct keymap_holder from = keymap_find(&plan->map, first)->holder;
    const size_t sender = keyplan_find_target(plan->input, &from);
    const double load = keyload_curve_load(plan->input->curve, first, last);
    plan->moves[plan->count++] = (struct keyplan_move){
        .first = first,
        .last = last,
        .from = from,
        .to = targets[to].holder,
    };
    plan->loads[to] += load / targets[to].weight;
    if (sender != KEYPLAN_NO_TARGET) {
        plan->loads[sender] -= load / targets[sender].weight;
    }
    keymap_assign(&plan->map, first, last, &targets[to].holder, NULL);
}

/** A segment without an owner or of a leaving target, or NULL. */
static const struct keymap_segment *
next_unassigned(const struct keyplan *plan)
{
    for (size_t i = 0; i < plan->map.count; i++) {
        const struct keymap_segment *segment = &plan->map.segments[i];
        const size_t target =
            keyplan_find_target(plan->input, &segment->holder);
        if (segment->holder.instance[0] == '\0' ||
            (target != KEYPLAN_NO_TARGET &&
             plan->input->targets[target].must_release_all)) {
            return segment;
        }
    }
    return NULL;
}

/** Assigns a segment to the least loaded target, or only the part up to its
 * fair share. */
static void
assign_segment(struct keyplan *plan, const struct keymap_segment *segment)
{
    const size_t to = keyplan_least_loaded(plan);
    const double weight = plan->input->targets[to].weight;
    const double fair_share = plan->total / plan->weight;
    const uint32_t first = segment->first;
    uint32_t last = segment->last;
    const double room = (fair_share - plan->loads[to]) * weight;
    const bool last_move = plan->count + 1 >= KEYPLAN_MOVES_MAX / 2;
    if (load_of(plan, segment) > room && !last_move) {
        const double least = KEYPLAN_MOVE_SHARE_MIN * fair_share * weight;
        last = keyload_curve_last_within(plan->input->curve, first, last,
                                         room > least ? room : least);
    }
    keyplan_add_move(plan, first, last, to);
}

size_t
keyplan_compute(const struct keyplan_input *input,
                struct keyplan_move moves[KEYPLAN_MOVES_MAX])
{
    struct keyplan plan = {.input = input, .moves = moves};
    plan.loads = memory_calloc(input->target_count + 1, sizeof(*plan.loads));
    keymap_copy(&plan.map, input->map);
    measure(&plan);
    if (keyplan_least_loaded(&plan) != KEYPLAN_NO_TARGET) {
        const struct keymap_segment *segment;
        while (plan.count < KEYPLAN_MOVES_MAX &&
               (segment = next_unassigned(&plan)) != NULL) {
            assign_segment(&plan, segment);
        }
        if (input->tolerance > 0) {
            keybalance_add_moves(&plan);
        }
    }
    keymap_clear(&plan.map);
    free(plan.loads);
    return plan.count;
}
