/**
 * @file
 * The difference between two declared states. Services and zones are matched
 * by name regardless of their order. An omitted field equals its default.
 */
#ifndef CHESTNUTGAP_STATE_STATEDIFF_H
#define CHESTNUTGAP_STATE_STATEDIFF_H

#include <stddef.h>
#include <stdio.h>

#include <jansson.h>

#include "state/state.h"

#define STATE_DIFF_PATH_SIZE 256 /* with the terminator */

struct state_change {
    char path[STATE_DIFF_PATH_SIZE]; /**< for example "/services/NAME/slots" */
    json_t *before;                  /**< NULL if added */
    json_t *after;                   /**< NULL if removed */
};

/** All changes, in the order of their paths. */
struct state_diff {
    struct state_change *changes;
    size_t count;
};

/** NULL stands for an empty state. Aborts without memory. */
struct state_diff *state_diff_create(const struct state *before,
                                     const struct state *after);
void state_diff_destroy(struct state_diff *diff);

/** Array of {"path", "before", "after"}. */
json_t *state_diff_to_json(const struct state_diff *diff);

/** Prints a line per change; added and removed objects without contents. */
void state_diff_print(const struct state_diff *diff, FILE *stream);

#endif
