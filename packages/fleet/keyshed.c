#include "fleet/keyshed.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/memory.h"
#include "fleet/declared.h"

struct shed {
    const struct keyshed_input *input;
    const struct keymap_holder **idle; /* targets without keys */
    size_t idle_count;
    double wanted; /* load of a move */
    struct keyplan_move *moves;
    size_t count;
};

static bool
has_keys(const struct keymap *map, const struct keymap_holder *holder)
{
    for (size_t i = 0; i < map->count; i++) {
        if (keymap_holder_equal(&map->segments[i].holder, holder)) {
            return true;
        }
    }
    return false;
}

static void
find_idle_targets(struct shed *shed)
{
    const struct keyshed_input *input = shed->input;
    for (size_t i = 0; i < input->target_count; i++) {
        if (!has_keys(input->map, &input->targets[i])) {
            shed->idle[shed->idle_count++] = &input->targets[i];
        }
    }
}

static double
own_load(const struct keyshed_input *input)
{
    double load = 0;
    for (size_t i = 0; i < input->map->count; i++) {
        const struct keymap_segment *segment = &input->map->segments[i];
        if (keymap_holder_equal(&segment->holder, input->own)) {
            load += keyload_curve_load(input->curve, segment->first,
                                       segment->last);
        }
    }
    return load;
}

/** Divides a segment among the targets that have got nothing yet. */
static void
give_segment(struct shed *shed, const struct keymap_segment *segment)
{
    const struct keyshed_input *input = shed->input;
    uint32_t first = segment->first;
    while (first <= segment->last && shed->count < shed->idle_count &&
           shed->count < KEYPLAN_MOVES_MAX) {
        const uint32_t last = keyload_curve_last_within(
            input->curve, first, segment->last, shed->wanted);
        shed->moves[shed->count] = (struct keyplan_move){
            .first = first,
            .last = last,
            .from = *input->own,
            .to = *shed->idle[shed->count],
        };
        shed->count++;
        first = last + 1;
    }
}

bool
keyshed_has_excess(const struct keymap *map, const struct keymap_holder *own,
                   size_t targets)
{
    const double shares =
        keymap_share(map, own->instance) * (double)(targets + 1);
    return shares > KEYSHED_SHARES;
}

size_t
keyshed_compute(const struct keyshed_input *input,
                struct keyplan_move moves[KEYPLAN_MOVES_MAX])
{
    struct shed shed = {.input = input, .moves = moves};
    if (!keyshed_has_excess(input->map, input->own, input->target_count)) {
        return 0;
    }
    shed.idle = memory_calloc(input->target_count + 1,
                              sizeof(const struct keymap_holder *));
    find_idle_targets(&shed);
    shed.wanted = own_load(input) / (double)(shed.idle_count + 1);
    for (size_t i = 0; i < input->map->count; i++) {
        const struct keymap_segment *segment = &input->map->segments[i];
        if (keymap_holder_equal(&segment->holder, input->own)) {
            give_segment(&shed, segment);
        }
    }
    free((void *)shed.idle);
    return shed.count;
}
