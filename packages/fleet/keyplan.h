/**
 * @file
 * Plans moves of keys: first assigns keys without an owner, then rebalances
 * from the most loaded owner to the least loaded target while the difference
 * justifies a move.
 */
#ifndef CHESTNUTGAP_FLEET_KEYPLAN_H
#define CHESTNUTGAP_FLEET_KEYPLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/keyload.h"
#include "fleet/keymap.h"

#define KEYPLAN_MOVES_MAX 64

/** A target that may own keys. */
struct keyplan_target {
    struct keymap_holder holder;
    double weight;         /**< capacity relative to the others, above 0 */
    bool can_receive;      /**< may be assigned more keys */
    bool must_release_all; /**< all its keys are to be moved away */
    /** Its rate limit bounds its weight: it keeps the keys of its share, but
     * even a single key may ask for too much. */
    bool limited;
    bool answers_late; /**< alive, but gets no keys: it keeps its share */
};

/** A move of the keys from first to last (inclusive). */
struct keyplan_move {
    uint32_t first;
    uint32_t last;
    struct keymap_holder from; /**< without an instance: no owner */
    struct keymap_holder to;
};

struct keyplan_input {
    const struct keymap *map;
    const struct keyplan_target *targets;
    size_t target_count;
    struct keyload_curve *curve;
    /** Rebalances above this multiple of the fair share; 0: only moves keys
     * without an owner and those of leaving targets. */
    double tolerance;
};

/**
 * Writes moves and returns their number. Segments of an instance that is not
 * among the targets are not moved: their owner may still be running.
 */
size_t keyplan_compute(const struct keyplan_input *input,
                       struct keyplan_move moves[KEYPLAN_MOVES_MAX]);

#endif
