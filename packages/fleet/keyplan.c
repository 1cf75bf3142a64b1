#include "fleet/keyplan.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

#define NO_TARGET SIZE_MAX
#define MOVE_SHARE_MIN                                                        \
    0.02 /* of the fair share; less does not justify a move */

struct plan {
    const struct keyplan_input *input;
    struct keymap map; /* after the moves so far */
    double *loads;     /* by target, divided by its weight */
    double total;      /* load of all keys */
    double weight;     /* of the targets that accept keys */
    struct keyplan_move *moves;
    size_t count;
};

static size_t
find_target(const struct keyplan_input *input,
            const struct keymap_holder *holder)
{
    for (size_t i = 0; i < input->target_count; i++) {
        if (keymap_holder_equal(&input->targets[i].holder, holder)) {
            return i;
        }
    }
    return NO_TARGET;
}

static double
load_of(const struct plan *plan, const struct keymap_segment *segment)
{
    return keyload_curve_load(plan->input->curve, segment->first,
                              segment->last);
}

static void
measure(struct plan *plan)
{
    const struct keyplan_input *input = plan->input;
    plan->total = 0;
    plan->weight = 0;
    for (size_t i = 0; i < input->target_count; i++) {
        plan->loads[i] = 0;
        if (input->targets[i].can_receive) {
            plan->weight += input->targets[i].weight;
        }
    }
    for (size_t i = 0; i < plan->map.count; i++) {
        const struct keymap_segment *segment = &plan->map.segments[i];
        const double load = load_of(plan, segment);
        const size_t target = find_target(input, &segment->holder);
        plan->total += load;
        if (target != NO_TARGET) {
            plan->loads[target] += load / input->targets[target].weight;
        }
    }
}

/** The least loaded target that accepts keys. */
static size_t
least_loaded(const struct plan *plan)
{
    size_t best = NO_TARGET;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        if (plan->input->targets[i].can_receive &&
            (best == NO_TARGET || plan->loads[i] < plan->loads[best])) {
            best = i;
        }
    }
    return best;
}

static size_t
most_loaded(const struct plan *plan)
{
    size_t best = NO_TARGET;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        if (best == NO_TARGET || plan->loads[i] > plan->loads[best]) {
            best = i;
        }
    }
    return best;
}

/** Adds a move and updates loads and map. */
static void
add_move(struct plan *plan, uint32_t first, uint32_t last, size_t to)
{
    const struct keyplan_target *targets = plan->input->targets;
    const struct keymap_holder from = keymap_find(&plan->map, first)->holder;
    const size_t sender = find_target(plan->input, &from);
    const double load = keyload_curve_load(plan->input->curve, first, last);
    plan->moves[plan->count++] = (struct keyplan_move){
        .first = first,
        .last = last,
        .from = from,
        .to = targets[to].holder,
    };
    plan->loads[to] += load / targets[to].weight;
    if (sender != NO_TARGET) {
        plan->loads[sender] -= load / targets[sender].weight;
    }
    keymap_assign(&plan->map, first, last, &targets[to].holder, NULL);
}

/** A segment without an owner or of a leaving target, or NULL. */
static const struct keymap_segment *
next_unassigned(const struct plan *plan)
{
    for (size_t i = 0; i < plan->map.count; i++) {
        const struct keymap_segment *segment = &plan->map.segments[i];
        const size_t target = find_target(plan->input, &segment->holder);
        if (segment->holder.instance[0] == '\0' ||
            (target != NO_TARGET &&
             plan->input->targets[target].must_release_all)) {
            return segment;
        }
    }
    return NULL;
}

/** Assigns a segment to the least loaded target, or only the part up to its
 * fair share. */
static void
assign_segment(struct plan *plan, const struct keymap_segment *segment)
{
    const size_t to = least_loaded(plan);
    const double weight = plan->input->targets[to].weight;
    const double fair_share = plan->total / plan->weight;
    const uint32_t first = segment->first;
    uint32_t last = segment->last;
    const double room = (fair_share - plan->loads[to]) * weight;
    const bool last_move = plan->count + 1 >= KEYPLAN_MOVES_MAX / 2;
    if (load_of(plan, segment) > room && !last_move) {
        const double least = MOVE_SHARE_MIN * fair_share * weight;
        last = keyload_curve_last_within(plan->input->curve, first, last,
                                         room > least ? room : least);
    }
    add_move(plan, first, last, to);
}

static bool
is_held_by(const struct plan *plan, size_t index, size_t target)
{
    return index < plan->map.count &&
           find_target(plan->input, &plan->map.segments[index].holder) ==
               target;
}

struct range {
    uint32_t first;
    uint32_t last;
    bool found;
};

/** Selects keys with about the wanted load at the end of a segment, or at its
 * start if the receiver owns the keys before it. */
static struct range
select_range(const struct plan *plan, size_t index, size_t to, double wanted)
{
    struct keyload_curve *curve = plan->input->curve;
    const struct keymap_segment *segment = &plan->map.segments[index];
    const double load = load_of(plan, segment);
    struct range range = {segment->first, segment->last, true};
    if (load <= wanted) {
        return range;
    }
    if (index > 0 && is_held_by(plan, index - 1, to)) {
        range.last = keyload_curve_last_within(curve, segment->first,
                                               segment->last, wanted);
        range.found =
            keyload_curve_load(curve, range.first, range.last) <= wanted;
        return range;
    }
    const uint32_t kept = keyload_curve_last_within(
        curve, segment->first, segment->last, load - wanted);
    range.first = kept + 1;
    range.found = kept < segment->last;
    return range;
}

/** The sender's segment to move keys from: adjacent to the receiver's, or else
 * the most loaded. */
static size_t
choose_segment(const struct plan *plan, size_t from, size_t to)
{
    size_t best = 0;
    double best_load = -1;
    for (size_t i = 0; i < plan->map.count; i++) {
        if (!is_held_by(plan, i, from)) {
            continue;
        }
        double load = load_of(plan, &plan->map.segments[i]);
        if ((i > 0 && is_held_by(plan, i - 1, to)) ||
            is_held_by(plan, i + 1, to)) {
            load += plan->total;
        }
        if (load > best_load) {
            best = i;
            best_load = load;
        }
    }
    return best;
}

/** Moves keys from the most to the least loaded target. @return false if no
 * move is justified */
static bool
rebalance(struct plan *plan)
{
    const struct keyplan_target *targets = plan->input->targets;
    const size_t from = most_loaded(plan);
    const size_t to = least_loaded(plan);
    const double fair_share = plan->total / plan->weight;
    if (from == to ||
        plan->loads[from] < fair_share * plan->input->tolerance) {
        return false;
    }
    const double over = plan->loads[from] - fair_share;
    const double under = fair_share - plan->loads[to];
    const double wanted_from = over * targets[from].weight;
    const double wanted_to = under * targets[to].weight;
    const double wanted = wanted_from < wanted_to ? wanted_from : wanted_to;
    if (wanted < MOVE_SHARE_MIN * fair_share) {
        return false;
    }
    const struct range range =
        select_range(plan, choose_segment(plan, from, to), to, wanted);
    if (!range.found) {
        return false;
    }
    add_move(plan, range.first, range.last, to);
    return true;
}

size_t
keyplan_compute(const struct keyplan_input *input,
                struct keyplan_move moves[KEYPLAN_MOVES_MAX])
{
    struct plan plan = {.input = input, .moves = moves};
    plan.loads = memory_calloc(input->target_count + 1, sizeof(*plan.loads));
    keymap_copy(&plan.map, input->map);
    measure(&plan);
    if (least_loaded(&plan) != NO_TARGET) {
        const struct keymap_segment *segment;
        while (plan.count < KEYPLAN_MOVES_MAX &&
               (segment = next_unassigned(&plan)) != NULL) {
            assign_segment(&plan, segment);
        }
        while (input->tolerance > 0 && plan.count < KEYPLAN_MOVES_MAX / 2 &&
               rebalance(&plan)) {
        }
    }
    keymap_clear(&plan.map);
    free(plan.loads);
    return plan.count;
}
