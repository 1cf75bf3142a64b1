#include "fleet/keyplan.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

#define NO_MEMBER SIZE_MAX
#define STRIP_SHARE_MIN 0.02 /* of a fair share; less is not worth a move */

/* A plan in the making. */
struct plan {
    const struct keyplan_input *input;
    struct keymap map; /* as it will be */
    double *loads;     /* by member, over its weight */
    double total;      /* load of all keys */
    double weight;     /* of the members that take keys */
    struct keyplan_move *moves;
    size_t count;
};

static size_t
member_of(const struct keyplan_input *input,
          const struct keymap_holder *holder)
{
    for (size_t i = 0; i < input->member_count; i++) {
        if (keymap_holder_equal(&input->members[i].holder, holder)) {
            return i;
        }
    }
    return NO_MEMBER;
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
    for (size_t i = 0; i < input->member_count; i++) {
        plan->loads[i] = 0;
        if (input->members[i].takes) {
            plan->weight += input->members[i].weight;
        }
    }
    for (size_t i = 0; i < plan->map.count; i++) {
        const struct keymap_segment *segment = &plan->map.segments[i];
        const double load = load_of(plan, segment);
        const size_t member = member_of(input, &segment->holder);
        plan->total += load;
        if (member != NO_MEMBER) {
            plan->loads[member] += load / input->members[member].weight;
        }
    }
}

/** The member that takes keys and is least busy. */
static size_t
least_busy(const struct plan *plan)
{
    size_t best = NO_MEMBER;
    for (size_t i = 0; i < plan->input->member_count; i++) {
        if (plan->input->members[i].takes &&
            (best == NO_MEMBER || plan->loads[i] < plan->loads[best])) {
            best = i;
        }
    }
    return best;
}

static size_t
most_busy(const struct plan *plan)
{
    size_t best = NO_MEMBER;
    for (size_t i = 0; i < plan->input->member_count; i++) {
        if (best == NO_MEMBER || plan->loads[i] > plan->loads[best]) {
            best = i;
        }
    }
    return best;
}

/** Notes a move and its effect. */
static void
move(struct plan *plan, uint32_t first, uint32_t last, size_t to)
{
    const struct keyplan_target *members = plan->input->members;
    const struct keymap_holder from = keymap_find(&plan->map, first)->holder;
    const size_t giver = member_of(plan->input, &from);
    const double load = keyload_curve_load(plan->input->curve, first, last);
    plan->moves[plan->count++] = (struct keyplan_move){
        .first = first,
        .last = last,
        .from = from,
        .to = members[to].holder,
    };
    plan->loads[to] += load / members[to].weight;
    if (giver != NO_MEMBER) {
        plan->loads[giver] -= load / members[giver].weight;
    }
    keymap_assign(&plan->map, first, last, &members[to].holder, NULL);
}

/** A segment that needs another owner, or NULL. */
static const struct keymap_segment *
homeless(const struct plan *plan)
{
    for (size_t i = 0; i < plan->map.count; i++) {
        const struct keymap_segment *segment = &plan->map.segments[i];
        const size_t member = member_of(plan->input, &segment->holder);
        if (segment->holder.instance[0] == '\0' ||
            (member != NO_MEMBER && plan->input->members[member].leaves)) {
            return segment;
        }
    }
    return NULL;
}

/** Gives a segment, or what fills the least busy member, to that one. */
static void
house(struct plan *plan, const struct keymap_segment *segment)
{
    const size_t to = least_busy(plan);
    const double weight = plan->input->members[to].weight;
    const double fair = plan->total / plan->weight;
    const uint32_t first = segment->first;
    uint32_t last = segment->last;
    const double room = (fair - plan->loads[to]) * weight;
    const bool last_move = plan->count + 1 >= KEYPLAN_MOVES_MAX / 2;
    if (load_of(plan, segment) > room && !last_move) {
        const double least = STRIP_SHARE_MIN * fair * weight;
        last = keyload_curve_last_within(plan->input->curve, first, last,
                                         room > least ? room : least);
    }
    move(plan, first, last, to);
}

/** True if keys of the two members lie side by side there. */
static bool
touches(const struct plan *plan, size_t index, size_t other)
{
    return index < plan->map.count &&
           member_of(plan->input, &plan->map.segments[index].holder) == other;
}

/** A strip's keys. */
struct strip {
    uint32_t first;
    uint32_t last;
    bool found;
};

/** Takes a strip of about the wanted load from a segment's end; from its
 * beginning where the receiver has the keys before. */
static struct strip
cut_strip(const struct plan *plan, size_t index, size_t to, double wanted)
{
    struct keyload_curve *curve = plan->input->curve;
    const struct keymap_segment *segment = &plan->map.segments[index];
    const double load = load_of(plan, segment);
    struct strip strip = {segment->first, segment->last, true};
    if (load <= wanted) {
        return strip;
    }
    if (index > 0 && touches(plan, index - 1, to)) {
        strip.last = keyload_curve_last_within(curve, segment->first,
                                               segment->last, wanted);
        strip.found =
            keyload_curve_load(curve, strip.first, strip.last) <= wanted;
        return strip;
    }
    const uint32_t kept = keyload_curve_last_within(
        curve, segment->first, segment->last, load - wanted);
    strip.first = kept + 1;
    strip.found = kept < segment->last;
    return strip;
}

/** The segment of the giver to cut: beside the receiver's keys, or the
 * busiest. */
static size_t
segment_to_cut(const struct plan *plan, size_t from, size_t to)
{
    size_t best = 0;
    double best_load = -1;
    for (size_t i = 0; i < plan->map.count; i++) {
        if (!touches(plan, i, from)) {
            continue;
        }
        double load = load_of(plan, &plan->map.segments[i]);
        if ((i > 0 && touches(plan, i - 1, to)) || touches(plan, i + 1, to)) {
            load += plan->total;
        }
        if (load > best_load) {
            best = i;
            best_load = load;
        }
    }
    return best;
}

/** Moves one strip from the busiest to the idlest. @return false if that is
 * not worth it */
static bool
level(struct plan *plan)
{
    const struct keyplan_target *members = plan->input->members;
    const size_t from = most_busy(plan);
    const size_t to = least_busy(plan);
    const double fair = plan->total / plan->weight;
    if (from == to || plan->loads[from] < fair * plan->input->tolerance) {
        return false;
    }
    const double over = plan->loads[from] - fair;
    const double under = fair - plan->loads[to];
    const double wanted_from = over * members[from].weight;
    const double wanted_to = under * members[to].weight;
    const double wanted = wanted_from < wanted_to ? wanted_from : wanted_to;
    if (wanted < STRIP_SHARE_MIN * fair) {
        return false;
    }
    const struct strip strip =
        cut_strip(plan, segment_to_cut(plan, from, to), to, wanted);
    if (!strip.found) {
        return false;
    }
    move(plan, strip.first, strip.last, to);
    return true;
}

size_t
keyplan_compute(const struct keyplan_input *input,
                struct keyplan_move moves[KEYPLAN_MOVES_MAX])
{
    struct plan plan = {.input = input, .moves = moves};
    plan.loads = memory_zeroed(input->member_count + 1, sizeof(*plan.loads));
    keymap_copy(&plan.map, input->map);
    measure(&plan);
    if (least_busy(&plan) != NO_MEMBER) {
        const struct keymap_segment *segment;
        while (plan.count < KEYPLAN_MOVES_MAX &&
               (segment = homeless(&plan)) != NULL) {
            house(&plan, segment);
        }
        while (input->tolerance > 0 && plan.count < KEYPLAN_MOVES_MAX / 2 &&
               level(&plan)) {
        }
    }
    keymap_clear(&plan.map);
    free(plan.loads);
    return plan.count;
}
