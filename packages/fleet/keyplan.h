/**
 * @file
 * Decides which keys go to whom: keys without an owner first, then strips
 * from busy owners to idle ones while the difference is worth a move.
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
    double weight; /**< capacity relative to the others, above 0 */
    bool takes;    /**< may be given more keys */
    bool leaves;   /**< is to own nothing */
};

/** Keys from first to last go from one holder to another. */
struct keyplan_move {
    uint32_t first;
    uint32_t last;
    struct keymap_holder from; /**< without an instance: nobody's */
    struct keymap_holder to;
};

/** What a plan is made of. */
struct keyplan_input {
    const struct keymap *map;
    const struct keyplan_target *members;
    size_t member_count;
    struct keyload_curve *curve;
    /** An owner's load above this many times its fair share is moved; 0:
     * only keys without an owner and of those who leave are. */
    double tolerance;
};

/**
 * Writes moves, and returns how many. Segments whose holder is not among
 * the members and has an instance are left alone: their owner may live.
 */
size_t keyplan_compute(const struct keyplan_input *input,
                       struct keyplan_move moves[KEYPLAN_MOVES_MAX]);

#endif
