/**
 * @file
 * Keys that an owner with far more than its share gives away by itself, to
 * targets without any. It needs neither a planner nor the loads of others, so
 * it also works while the owner is too busy to answer planners, or while
 * planners change.
 */
#ifndef CHESTNUTGAP_FLEET_KEYSHED_H
#define CHESTNUTGAP_FLEET_KEYSHED_H

#include <stdbool.h>
#include <stddef.h>

#include "fleet/keyload.h"
#include "fleet/keymap.h"
#include "fleet/keyplan.h"

/** An owner with more than this multiple of its share gives keys away. Owners
 * of hot keys have few keys, so that others may well have twice the average.
 */
#define KEYSHED_SHARES 4

struct keyshed_input {
    const struct keymap *map; /**< with the handovers that have begun */
    const struct keymap_holder *own;
    const struct keymap_holder *targets; /**< others that may get keys */
    size_t target_count;
    struct keyload_curve *curve; /**< of the own keys */
};

/** True if the owner has far more than its share; targets: number of others
 * that may get keys. */
bool keyshed_has_excess(const struct keymap *map,
                        const struct keymap_holder *own, size_t targets);

/**
 * Writes moves of own keys, each to another target that has no keys, and
 * returns their number, at most KEYPLAN_MOVES_MAX. Each move has about the
 * load that the owner is to keep.
 */
size_t keyshed_compute(const struct keyshed_input *input,
                       struct keyplan_move moves[KEYPLAN_MOVES_MAX]);

#endif
