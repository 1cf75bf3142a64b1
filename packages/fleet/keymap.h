/**
 * @file
 * Ownership of the keys of one service: contiguous segments, each with a
 * fence above all fences that its keys ever had. The map is one row of the
 * store and changes by compare-and-swap.
 */
#ifndef CHESTNUTGAP_FLEET_KEYMAP_H
#define CHESTNUTGAP_FLEET_KEYMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define KEYMAP_NAME_MAX 127     /* bytes of an instance, target or token */
#define KEYMAP_SEGMENTS_MAX 256 /* bounds the size of the row */

/** One incarnation of a target at an instance. */
struct keymap_holder {
    char instance[KEYMAP_NAME_MAX + 1]; /**< empty: none */
    char target[KEYMAP_NAME_MAX + 1];
    int64_t target_started_ms; /**< start of the incarnation */
};

/** Keys from first to last (inclusive) with the same owner and fence. */
struct keymap_segment {
    uint32_t first;
    uint32_t last;
    struct keymap_holder holder;
    uint64_t fence;
    char token[KEYMAP_NAME_MAX + 1]; /**< handover token, or empty */
};

/** The map of one service; copy it with keymap_copy(). */
struct keymap {
    uint64_t version; /**< of the row that it was read from; 0: no row */
    uint64_t next_fence;
    struct keymap_segment *segments; /**< cover all keys in order */
    size_t count;
};

/** Creates a map without owners. */
void keymap_init(struct keymap *map);
void keymap_clear(struct keymap *map);
void keymap_copy(struct keymap *to, const struct keymap *from);

/**
 * Parses a row into an initialised map.
 *
 * @return false with err set, and the map unchanged, if it is not valid.
 */
bool keymap_parse(struct keymap *map, const char *text, size_t size,
                  uint64_t version, struct error *err);

/** The row as JSON; the user frees it. */
char *keymap_print(const struct keymap *map);

const struct keymap_segment *keymap_find(const struct keymap *map,
                                         uint32_t key);

/**
 * Assigns keys to a holder with a new fence. A holder without an instance
 * leaves them without an owner. token may be NULL.
 */
void keymap_assign(struct keymap *map, uint32_t first, uint32_t last,
                   const struct keymap_holder *holder, const char *token);

/** Merges adjacent segments of this holder (without an instance: those without
 * an owner) under a new fence. @return true if any were merged */
bool keymap_merge(struct keymap *map, const struct keymap_holder *holder);

bool keymap_holder_equal(const struct keymap_holder *a,
                         const struct keymap_holder *b);

/** Fraction of all keys that the instance owns, 0 to 1. */
double keymap_share(const struct keymap *map, const char *instance);

#endif
