/**
 * @file
 * Ownership of the keys of one service: contiguous segments, each with a
 * fence above all fences that its keys ever had. The keys are divided into
 * pages of equal size; each page is one row of the store and changes by
 * compare-and-swap, so that owners of different pages don't conflict. Segments
 * may span pages.
 */
#ifndef CHESTNUTGAP_FLEET_KEYMAP_H
#define CHESTNUTGAP_FLEET_KEYMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define KEYMAP_NAME_MAX 127 /* bytes of an instance, target or token */
#define KEYMAP_PAGES 64
#define KEYMAP_PAGE_KEYS 1024 /* keys in a page */

/** The instance whose target may hold keys, in any of its incarnations. */
struct keymap_holder {
    char instance[KEYMAP_NAME_MAX + 1]; /**< empty: none */
};

/** Keys from first to last (inclusive) with the same owner and fence. */
struct keymap_segment {
    uint32_t first;
    uint32_t last;
    struct keymap_holder holder;
    uint64_t fence;
    char token[KEYMAP_NAME_MAX + 1]; /**< handover token, or empty */
};

/** What a page keeps besides its segments. */
struct keymap_page {
    uint64_t version;    /**< of the row that it was read from; 0: no row */
    uint64_t next_fence; /**< above all fences that its keys ever had */
    /** Of keys that are assigned in this map; above all fences that they had
     * when it was read. Ranges that are assigned together share it, so that
     * fences do not get ahead of the store's versions. */
    uint64_t write_fence;
};

/** The map of one service; copy it with keymap_copy(). */
struct keymap {
    struct keymap_page pages[KEYMAP_PAGES];
    struct keymap_segment *segments; /**< cover all keys in order */
    size_t count;
};

/** Creates a map without owners. */
void keymap_init(struct keymap *map);
void keymap_clear(struct keymap *map);
void keymap_copy(struct keymap *to, const struct keymap *from);

/** Page of a key. */
unsigned keymap_page_of(uint32_t key);

/**
 * Replaces a page of the map by a row of the store.
 *
 * @return false with err set, and the map unchanged, if it is not valid.
 */
bool keymap_parse_page(struct keymap *map, unsigned page, const char *text,
                       size_t size, uint64_t version, struct error *err);

/** The row of a page is gone: its keys have no owner. Later fences are still
 * above all that are known. */
void keymap_forget_page(struct keymap *map, unsigned page);

/** The row of a page as JSON; the user frees it. */
char *keymap_print_page(const struct keymap *map, unsigned page);

/** True if owners, fences and tokens of a page are the same in both maps. */
bool keymap_page_equal(const struct keymap *a, const struct keymap *b,
                       unsigned page);

const struct keymap_segment *keymap_find(const struct keymap *map,
                                         uint32_t key);

/** Has all later assignments of the keys use fences above the given one. */
void keymap_raise_fence(struct keymap *map, uint32_t first, uint32_t last,
                        uint64_t fence);

/**
 * Assigns keys to a holder with a new fence. A holder without an instance
 * leaves them without an owner. token may be NULL; one that isn't valid text
 * (base/jsontext.h) or too long is left out.
 */
void keymap_assign(struct keymap *map, uint32_t first, uint32_t last,
                   const struct keymap_holder *holder, const char *token);

/** A move of keys that their owner has given up, under fences up to the one
 * given here. */
struct keymap_handover {
    uint32_t first;
    uint32_t last;
    const char *from; /**< the instance that gave them up */
    uint64_t fence_max;
    const struct keymap_holder *to;
    const char *token; /**< or NULL */
};

/** Applies a handover to the keys that were not assigned anew since they were
 * given up. @return false if there are none left */
bool keymap_apply_handover(struct keymap *map,
                           const struct keymap_handover *handover);

/** True if some of the keys were not assigned anew since. */
bool keymap_handover_pending(const struct keymap *map,
                             const struct keymap_handover *handover);

bool keymap_holder_equal(const struct keymap_holder *a,
                         const struct keymap_holder *b);

/** Fraction of all keys that the instance owns, 0 to 1. */
double keymap_share(const struct keymap *map, const char *instance);

#endif
