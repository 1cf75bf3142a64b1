#include "placement/hotkeys.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define BUCKETS 1024
#define NO_COUNTER UINT16_MAX

/* In a heap with the lowest weight first, and in a hash table by key. */
struct key_counter {
    struct hotkey key;
    uint16_t next;     /* counter in the same hash bucket */
    uint16_t position; /* in the heap */
};

struct hotkeys {
    struct key_counter counters[HOTKEYS_COUNTERS];
    uint16_t heap[HOTKEYS_COUNTERS];
    uint16_t buckets[BUCKETS];
    size_t count;
    double total;
    int64_t decayed_us;
};

struct hotkeys *
hotkeys_create(int64_t now_us)
{
    struct hotkeys *hotkeys = calloc(1, sizeof(*hotkeys));

    if (hotkeys == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < BUCKETS; i++) {
        hotkeys->buckets[i] = NO_COUNTER;
    }
    hotkeys->decayed_us = now_us;
    return hotkeys;
}

void
hotkeys_destroy(struct hotkeys *hotkeys)
{
    free(hotkeys);
}

static double
weight_at(const struct hotkeys *hotkeys, size_t position)
{
    return hotkeys->counters[hotkeys->heap[position]].key.weight;
}

static void
swap_positions(struct hotkeys *hotkeys, size_t a, size_t b)
{
    uint16_t index = hotkeys->heap[a];

    hotkeys->heap[a] = hotkeys->heap[b];
    hotkeys->heap[b] = index;
    hotkeys->counters[hotkeys->heap[a]].position = (uint16_t)a;
    hotkeys->counters[hotkeys->heap[b]].position = (uint16_t)b;
}

static void
sift_up(struct hotkeys *hotkeys, size_t position)
{
    while (position > 0 && weight_at(hotkeys, position) <
                               weight_at(hotkeys, (position - 1) / 2)) {
        swap_positions(hotkeys, position, (position - 1) / 2);
        position = (position - 1) / 2;
    }
}

static void
sift_down(struct hotkeys *hotkeys, size_t position)
{
    for (;;) {
        size_t lowest = position;
        for (size_t child = 2 * position + 1;
             child <= 2 * position + 2 && child < hotkeys->count; child++) {
            if (weight_at(hotkeys, child) < weight_at(hotkeys, lowest)) {
                lowest = child;
            }
        }
        if (lowest == position) {
            return;
        }
        swap_positions(hotkeys, position, lowest);
        position = lowest;
    }
}

/* Halving all counters keeps the heap in order. */
static void
decay(struct hotkeys *hotkeys, int64_t now_us)
{
    while (now_us - hotkeys->decayed_us >= HOTKEYS_HALF_LIFE_US) {
        hotkeys->decayed_us += HOTKEYS_HALF_LIFE_US;
        hotkeys->total /= 2;
        for (size_t i = 0; i < hotkeys->count; i++) {
            hotkeys->counters[i].key.weight /= 2;
            hotkeys->counters[i].key.error /= 2;
        }
        if (hotkeys->total < 1e-9) {
            hotkeys->decayed_us = now_us;
        }
    }
}

static uint16_t
hotkeys_find_counter(const struct hotkeys *hotkeys, uint64_t hash)
{
    uint16_t index = hotkeys->buckets[hash % BUCKETS];

    while (index != NO_COUNTER && hotkeys->counters[index].key.hash != hash) {
        index = hotkeys->counters[index].next;
    }
    return index;
}

static void
unlink_counter(struct hotkeys *hotkeys, uint16_t index)
{
    uint16_t *link =
        &hotkeys->buckets[hotkeys->counters[index].key.hash % BUCKETS];

    while (*link != index) {
        link = &hotkeys->counters[*link].next;
    }
    *link = hotkeys->counters[index].next;
}

/* Uses a free counter, or replaces the lowest one and inherits its weight. */
static uint16_t
allocate_counter(struct hotkeys *hotkeys, uint64_t hash, uint32_t shard)
{
    struct key_counter *counter;
    uint16_t index;
    double inherited = 0;

    if (hotkeys->count < HOTKEYS_COUNTERS) {
        index = (uint16_t)hotkeys->count;
        hotkeys->heap[hotkeys->count] = index;
        hotkeys->counters[index].position = (uint16_t)hotkeys->count++;
    }
    else {
        index = hotkeys->heap[0];
        inherited = hotkeys->counters[index].key.weight;
        unlink_counter(hotkeys, index);
    }
    counter = &hotkeys->counters[index];
    counter->key = (struct hotkey){hash, shard, inherited, inherited};
    counter->next = hotkeys->buckets[hash % BUCKETS];
    hotkeys->buckets[hash % BUCKETS] = index;
    sift_up(hotkeys, counter->position);
    return index;
}

void
hotkeys_add(struct hotkeys *hotkeys, uint64_t hash, uint32_t shard,
            double weight, int64_t now_us)
{
    uint16_t index;

    decay(hotkeys, now_us);
    index = hotkeys_find_counter(hotkeys, hash);
    if (index == NO_COUNTER) {
        index = allocate_counter(hotkeys, hash, shard);
    }
    hotkeys->total += weight;
    hotkeys->counters[index].key.shard = shard;
    hotkeys->counters[index].key.weight += weight;
    sift_down(hotkeys, hotkeys->counters[index].position);
}

uint64_t
hotkeys_hottest_of_shard(const struct hotkeys *hotkeys, uint32_t shard,
                         double *share)
{
    const struct hotkey *best = NULL;

    *share = 0;
    for (size_t i = 0; i < hotkeys->count; i++) {
        const struct hotkey *key = &hotkeys->counters[i].key;
        if (key->shard == shard &&
            (best == NULL || key->weight > best->weight)) {
            best = key;
        }
    }
    if (best == NULL || hotkeys->total <= 0) {
        return 0;
    }
    *share = (best->weight - best->error) / hotkeys->total;
    return best->hash;
}

static int
compare_hotkeys(const void *a, const void *b)
{
    const struct hotkey *left = a;
    const struct hotkey *right = b;

    return (left->weight < right->weight) - (left->weight > right->weight);
}

size_t
hotkeys_top(const struct hotkeys *hotkeys, struct hotkey *keys, size_t limit)
{
    struct hotkey all[HOTKEYS_COUNTERS];

    for (size_t i = 0; i < hotkeys->count; i++) {
        all[i] = hotkeys->counters[i].key;
    }
    qsort(all, hotkeys->count, sizeof(all[0]), compare_hotkeys);
    if (limit > hotkeys->count) {
        limit = hotkeys->count;
    }
    memcpy(keys, all, limit * sizeof(all[0]));
    return limit;
}
