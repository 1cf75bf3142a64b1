/**
 * @file
 * Keys whose load follows Zipf's law, and their distribution over members by
 * hashing alone, as a baseline of measurements.
 */
#ifndef CHESTNUTGAP_PLACEMENT_ZIPFKEYS_H
#define CHESTNUTGAP_PLACEMENT_ZIPFKEYS_H

#include <stddef.h>
#include <stdint.h>

#include "base/random.h"

/** Keys with their shares of the load; the shares add up to 1. */
struct zipfkeys {
    size_t count;
    double *share;
    uint64_t *hash;
    struct random_state random;
};

/** Assignment of keys to members by hashing alone. */
enum zipf_baseline {
    ZIPF_RING,       /**< consistent hashing, 100 virtual nodes per member */
    ZIPF_RENDEZVOUS, /**< the member with the highest hash for the key */
};

/** Aborts if out of memory. */
struct zipfkeys *zipfkeys_create(size_t count, double exponent, uint64_t seed);
void zipfkeys_destroy(struct zipfkeys *keys);

/** Swaps the loads of the hot hottest keys with random keys. */
void zipfkeys_swap_hot(struct zipfkeys *keys, size_t hot);

/** Sums up the shares of the keys of each shard. */
void zipfkeys_load_by_shard(const struct zipfkeys *keys, uint32_t shards,
                            double *loads);

/** Sets the owner of each key, a member with alive[i] != 0. */
void zipfkeys_owners(const struct zipfkeys *keys, enum zipf_baseline baseline,
                     const char *alive, unsigned members, unsigned *owners);

/** Highest load of a member over the mean of those alive. */
double zipfkeys_imbalance(const struct zipfkeys *keys, const unsigned *owners,
                          const char *alive, unsigned members);

/** Share of the load whose owner differs. */
double zipfkeys_moved(const struct zipfkeys *keys, const unsigned *before,
                      const unsigned *after);

/** Share of the hottest key. */
double zipfkeys_hottest_share(const struct zipfkeys *keys);

#endif
