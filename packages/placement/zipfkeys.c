#include "placement/zipfkeys.h"

#include <math.h>
#include <stdlib.h>

#include "base/hash.h"
#include "placement/shardmap.h"

#define VIRTUAL_NODES 100

struct ring_point {
    uint64_t hash;
    unsigned member;
};

static void *
allocate(size_t count, size_t size)
{
    void *memory = calloc(count, size);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

struct zipfkeys *
zipfkeys_create(size_t count, double exponent, uint64_t seed)
{
    struct zipfkeys *keys = allocate(1, sizeof(*keys));
    double total = 0;

    keys->count = count;
    keys->share = allocate(count, sizeof(*keys->share));
    keys->hash = allocate(count, sizeof(*keys->hash));
    random_seed(&keys->random, seed);
    for (size_t i = 0; i < count; i++) {
        keys->share[i] = 1.0 / pow((double)i + 1, exponent);
        total += keys->share[i];
        keys->hash[i] = shardmap_hash("patrymau", &i, sizeof(i));
    }
    for (size_t i = 0; i < count; i++) {
        keys->share[i] /= total;
    }
    return keys;
}

void
zipfkeys_destroy(struct zipfkeys *keys)
{
    if (keys != NULL) {
        free(keys->share);
        free(keys->hash);
        free(keys);
    }
}

void
zipfkeys_swap_hot(struct zipfkeys *keys, size_t hot)
{
    for (size_t i = 0; i < hot; i++) {
        size_t other = random_below(&keys->random, keys->count);
        uint64_t hash = keys->hash[i];
        keys->hash[i] = keys->hash[other];
        keys->hash[other] = hash;
    }
}

void
zipfkeys_load_by_shard(const struct zipfkeys *keys, uint32_t shards,
                       double *loads)
{
    for (uint32_t i = 0; i < shards; i++) {
        loads[i] = 0;
    }
    for (size_t i = 0; i < keys->count; i++) {
        loads[shardmap_shard_of(keys->hash[i], shards)] += keys->share[i];
    }
}

static int
compare_points(const void *a, const void *b)
{
    const struct ring_point *left = a;
    const struct ring_point *right = b;

    return (left->hash > right->hash) - (left->hash < right->hash);
}

static void
ring_owners(const struct zipfkeys *keys, const char *alive, unsigned members,
            unsigned *owners)
{
    struct ring_point *points =
        allocate((size_t)members * VIRTUAL_NODES, sizeof(*points));
    size_t count = 0;

    for (unsigned i = 0; i < members; i++) {
        for (unsigned j = 0; alive[i] != 0 && j < VIRTUAL_NODES; j++) {
            points[count].hash = hash_bytes(&j, sizeof(j), i + 1);
            points[count++].member = i;
        }
    }
    qsort(points, count, sizeof(*points), compare_points);
    for (size_t i = 0; i < keys->count; i++) {
        size_t low = 0;
        size_t high = count;
        while (low < high) {
            size_t middle = low + (high - low) / 2;
            if (points[middle].hash < keys->hash[i]) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        owners[i] = points[low == count ? 0 : low].member;
    }
    free(points);
}

static void
rendezvous_owners(const struct zipfkeys *keys, const char *alive,
                  unsigned members, unsigned *owners)
{
    for (size_t i = 0; i < keys->count; i++) {
        uint64_t best = 0;
        for (unsigned j = 0; j < members; j++) {
            uint64_t rank;
            if (alive[j] == 0) {
                continue;
            }
            rank = (keys->hash[i] ^
                    ((uint64_t)j + 1) * UINT64_C(0x9e3779b97f4a7c15)) *
                   UINT64_C(0xff51afd7ed558ccd);
            rank ^= rank >> 32;
            rank *= UINT64_C(0xc4ceb9fe1a85ec53);
            if (rank >= best) {
                best = rank;
                owners[i] = j;
            }
        }
    }
}

void
zipfkeys_owners(const struct zipfkeys *keys, enum zipf_baseline baseline,
                const char *alive, unsigned members, unsigned *owners)
{
    if (baseline == ZIPF_RING) {
        ring_owners(keys, alive, members, owners);
    }
    else {
        rendezvous_owners(keys, alive, members, owners);
    }
}

double
zipfkeys_imbalance(const struct zipfkeys *keys, const unsigned *owners,
                   const char *alive, unsigned members)
{
    double *loads = allocate(members, sizeof(*loads));
    double highest = 0;
    unsigned count = 0;

    for (size_t i = 0; i < keys->count; i++) {
        loads[owners[i]] += keys->share[i];
    }
    for (unsigned i = 0; i < members; i++) {
        highest = loads[i] > highest ? loads[i] : highest;
        count += alive[i] != 0 ? 1 : 0;
    }
    free(loads);
    return highest * count;
}

double
zipfkeys_moved(const struct zipfkeys *keys, const unsigned *before,
               const unsigned *after)
{
    double moved = 0;

    for (size_t i = 0; i < keys->count; i++) {
        moved += before[i] != after[i] ? keys->share[i] : 0;
    }
    return moved;
}

double
zipfkeys_hottest_share(const struct zipfkeys *keys)
{
    return keys->share[0];
}
