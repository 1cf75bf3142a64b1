/**
 * @file
 * Shared by the modules of a plan: keys without an owner and of leaving
 * targets (keyplan.c), and moves between working targets (keybalance.c).
 */
#ifndef CHESTNUTGAP_FLEET_KEYPLAN_INTERNAL_H
#define CHESTNUTGAP_FLEET_KEYPLAN_INTERNAL_H

#include "fleet/keyplan.h"

#define KEYPLAN_NO_TARGET SIZE_MAX
#define KEYPLAN_MOVE_SHARE_MIN                                                \
    0.02 /* of the fair share; less does not justify a move */

struct keyplan {
    const struct keyplan_input *input;
    struct keymap map; /**< after the moves so far */
    double *loads;     /**< by target, divided by its weight */
    double total;      /**< load of all keys */
    double weight;     /**< of the targets that keep a share */
    struct keyplan_move *moves;
    size_t count;
};

/** Index of a holder among the targets, or KEYPLAN_NO_TARGET. */
size_t keyplan_find_target(const struct keyplan_input *input,
                           const struct keymap_holder *holder);

/** True if the target may own the share of its weight. */
bool keyplan_keeps_share(const struct keyplan_target *target);

/** The least loaded target that accepts keys, or KEYPLAN_NO_TARGET. */
size_t keyplan_least_loaded(const struct keyplan *plan);

/** Adds a move and updates loads and map. */
void keyplan_add_move(struct keyplan *plan, uint32_t first, uint32_t last,
                      size_t to);

/** Adds moves from the most to the least loaded targets while they are
 * justified and there is room for them. */
void keybalance_add_moves(struct keyplan *plan);

#endif
