#include "placement/ownedset.h"

#include <stdlib.h>

#define BUCKETS 1024

struct ownedset {
    struct owned_shard_list buckets[BUCKETS];
    size_t count;
};

struct ownedset *
ownedset_create(void)
{
    return calloc(1, sizeof(struct ownedset));
}

void
ownedset_destroy(struct ownedset *set)
{
    if (set == NULL) {
        return;
    }
    for (size_t i = 0; i < BUCKETS; i++) {
        struct owned_shard *owned = LIST_FIRST(&set->buckets[i]);
        while (owned != NULL) {
            struct owned_shard *next = LIST_NEXT(owned, link);
            free(owned->blob);
            free(owned);
            owned = next;
        }
    }
    free(set);
}

struct owned_shard *
ownedset_find(const struct ownedset *set, uint32_t shard)
{
    struct owned_shard *owned;

    LIST_FOREACH (owned, &set->buckets[shard % BUCKETS], link) {
        if (owned->shard == shard) {
            return owned;
        }
    }
    return NULL;
}

struct owned_shard *
ownedset_add(struct ownedset *set, uint32_t shard)
{
    struct owned_shard *owned = calloc(1, sizeof(*owned));

    if (owned == NULL) {
        abort();
    }
    owned->shard = shard;
    LIST_INSERT_HEAD(&set->buckets[shard % BUCKETS], owned, link);
    set->count++;
    return owned;
}

void
ownedset_remove(struct ownedset *set, struct owned_shard *owned)
{
    LIST_REMOVE(owned, link);
    set->count--;
    free(owned->blob);
    free(owned);
}

size_t
ownedset_count(const struct ownedset *set)
{
    return set->count;
}

static struct owned_shard *
first_from(const struct ownedset *set, size_t bucket)
{
    for (size_t i = bucket; i < BUCKETS; i++) {
        if (!LIST_EMPTY(&set->buckets[i])) {
            return LIST_FIRST(&set->buckets[i]);
        }
    }
    return NULL;
}

struct owned_shard *
ownedset_first(const struct ownedset *set)
{
    return first_from(set, 0);
}

struct owned_shard *
ownedset_next(const struct ownedset *set, const struct owned_shard *owned)
{
    struct owned_shard *next = LIST_NEXT(owned, link);

    return next != NULL ? next : first_from(set, owned->shard % BUCKETS + 1);
}

size_t
ownedset_moving_count(const struct ownedset *set)
{
    size_t moving = 0;

    for (struct owned_shard *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        moving += owned_shard_is_moving(owned) ? 1 : 0;
    }
    return moving;
}

double
ownedset_total_load(const struct ownedset *set)
{
    double load = 0;

    for (struct owned_shard *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        load += owned->load;
    }
    return load;
}

bool
owned_shard_is_moving(const struct owned_shard *owned)
{
    return owned->state >= OWNED_RESERVING;
}

bool
owned_shard_is_serving(const struct owned_shard *owned, int64_t now_us)
{
    if (owned->state == OWNED_WAITING) {
        return now_us >= owned->serve_at_us;
    }
    return owned->state == OWNED_SERVING || owned->state == OWNED_RESERVING;
}
