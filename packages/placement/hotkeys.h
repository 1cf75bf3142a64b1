/**
 * @file
 * The hottest keys of an instance, found in bounded memory: a table of
 * counters in which a new key takes over the lowest one (space-saving), with
 * decay, so that yesterday's hot keys make room.
 */
#ifndef CHESTNUTGAP_PLACEMENT_HOTKEYS_H
#define CHESTNUTGAP_PLACEMENT_HOTKEYS_H

#include <stddef.h>
#include <stdint.h>

#define HOTKEYS_COUNTERS 512                   /* keys counted at one time */
#define HOTKEYS_HALF_LIFE_US INT64_C(20000000) /* a count halves in this */

/** A counted key. */
struct hotkey {
    uint64_t hash; /**< shardmap_hash() of service and key */
    uint32_t shard;
    double weight; /**< decayed sum; too high by at most error */
    double error;
};

struct hotkeys;

/** NULL when memory is short. */
struct hotkeys *hotkeys_create(int64_t now_us);
void hotkeys_destroy(struct hotkeys *hotkeys);

/** Counts a request, for example by the time that it kept a slot busy. */
void hotkeys_add(struct hotkeys *hotkeys, uint64_t hash, uint32_t shard,
                 double weight, int64_t now_us);

/**
 * The hottest key of a shard with its share of all that was counted.
 *
 * @return its hash, 0 with *share 0 if none of its keys is counted.
 */
uint64_t hotkeys_hottest_of_shard(const struct hotkeys *hotkeys,
                                  uint32_t shard, double *share);

/** Copies up to limit keys, hottest first. @return their number. */
size_t hotkeys_top(const struct hotkeys *hotkeys, struct hotkey *keys,
                   size_t limit);

#endif
