/**
 * @file
 * Finds the hottest keys of an instance in bounded memory with the
 * space-saving algorithm: a new key replaces the one with the lowest counter
 * and inherits its count. Counters decay, so that keys which cooled down are
 * replaced.
 */
#ifndef CHESTNUTGAP_PLACEMENT_HOTKEYS_H
#define CHESTNUTGAP_PLACEMENT_HOTKEYS_H

#include <stddef.h>
#include <stdint.h>

#include "base/timeunits.h"

#define HOTKEYS_COUNTERS 512                      /* number of counted keys */
#define HOTKEYS_HALF_LIFE_US (20 * US_PER_SECOND) /* of a counter */

/** A counted key. */
struct hotkey {
    uint64_t hash; /**< shardmap_hash() of service and key */
    uint32_t shard;
    double weight; /**< decayed sum, at most error too high */
    double error;
};

struct hotkeys;

/** NULL if out of memory. */
struct hotkeys *hotkeys_create(int64_t now_us);
void hotkeys_destroy(struct hotkeys *hotkeys);

/** Counts a request with a weight such as its duration. */
void hotkeys_add(struct hotkeys *hotkeys, uint64_t hash, uint32_t shard,
                 double weight, int64_t now_us);

/**
 * Finds the hottest key of a shard and its share of the total weight.
 *
 * @return its hash; 0, with *share 0, if no key of the shard is counted.
 */
uint64_t hotkeys_hottest_of_shard(const struct hotkeys *hotkeys,
                                  uint32_t shard, double *share);

/** Copies up to limit keys, hottest first. @return their number. */
size_t hotkeys_top(const struct hotkeys *hotkeys, struct hotkey *keys,
                   size_t limit);

#endif
