#include "spread/spreadpeers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct peer_list {
    const char **names; /* borrowed */
    size_t count;
    size_t capacity;
};

struct spreadpeers {
    char zone[STATE_NAME_MAX + 1];
    char region[STATE_NAME_MAX + 1];
    enum spread_peer_policy policy;
    struct peer_list lists[SPREAD_DISTANCE_COUNT];
};

/* Weight of one peer: the inverse of the latency in milliseconds. */
static const double latency_weights[SPREAD_DISTANCE_COUNT] = {
    [SPREAD_SAME_ZONE] = 1.0 / 0.3,
    [SPREAD_SAME_REGION] = 1.0 / 1.5,
    [SPREAD_OTHER_REGION] = 1.0 / 30,
};

/* Share of the choices, independent of the number of peers. */
static const double distance_shares[SPREAD_DISTANCE_COUNT] = {
    [SPREAD_SAME_ZONE] = 0.70,
    [SPREAD_SAME_REGION] = 0.20,
    [SPREAD_OTHER_REGION] = 0.10,
};

struct spreadpeers *
spreadpeers_create(const char *zone, const char *region,
                   enum spread_peer_policy policy)
{
    struct spreadpeers *peers = calloc(1, sizeof(*peers));

    if (peers == NULL) {
        return NULL;
    }
    (void)snprintf(peers->zone, sizeof(peers->zone), "%s", zone);
    (void)snprintf(peers->region, sizeof(peers->region), "%s", region);
    peers->policy = policy;
    return peers;
}

void
spreadpeers_destroy(struct spreadpeers *peers)
{
    if (peers == NULL) {
        return;
    }
    for (int i = 0; i < SPREAD_DISTANCE_COUNT; i++) {
        free((void *)peers->lists[i].names);
    }
    free(peers);
}

static enum spread_distance
distance_of(const struct spreadpeers *peers, const char *zone,
            const char *region)
{
    if (strcmp(region, peers->region) != 0) {
        return SPREAD_OTHER_REGION;
    }
    return strcmp(zone, peers->zone) == 0 ? SPREAD_SAME_ZONE
                                          : SPREAD_SAME_REGION;
}

void
spreadpeers_remove(struct spreadpeers *peers, const char *name)
{
    for (int i = 0; i < SPREAD_DISTANCE_COUNT; i++) {
        struct peer_list *list = &peers->lists[i];
        for (size_t j = 0; j < list->count; j++) {
            if (strcmp(list->names[j], name) == 0) {
                list->names[j] = list->names[--list->count];
                return;
            }
        }
    }
}

void
spreadpeers_add(struct spreadpeers *peers, const char *name, const char *zone,
                const char *region)
{
    struct peer_list *list = &peers->lists[distance_of(peers, zone, region)];

    if (list->count == list->capacity) {
        list->capacity = 2 * list->capacity + 8;
        list->names = realloc((void *)list->names,
                              list->capacity * sizeof(*list->names));
        if (list->names == NULL) {
            abort();
        }
    }
    list->names[list->count] = name;
    list->count++;
}

size_t
spreadpeers_count(const struct spreadpeers *peers)
{
    size_t count = 0;

    for (int i = 0; i < SPREAD_DISTANCE_COUNT; i++) {
        count += peers->lists[i].count;
    }
    return count;
}

static double
list_weight(const struct spreadpeers *peers, int distance)
{
    size_t count = peers->lists[distance].count;

    switch (peers->policy) {
    case SPREAD_PEERS_BY_LATENCY:
        return (double)count * latency_weights[distance];
    case SPREAD_PEERS_BY_SHARE:
        return count > 0 ? distance_shares[distance] : 0;
    default:
        return (double)count;
    }
}

static const char *
choose_at_least(const struct spreadpeers *peers, struct random_state *random,
                int nearest)
{
    double total_weight = 0;
    double point;

    for (int i = nearest; i < SPREAD_DISTANCE_COUNT; i++) {
        total_weight += list_weight(peers, i);
    }
    point = random_unit(random) * total_weight;
    for (int i = nearest; i < SPREAD_DISTANCE_COUNT; i++) {
        const struct peer_list *list = &peers->lists[i];
        point -= list_weight(peers, i);
        if (point < 0 && list->count > 0) {
            return list->names[random_below(random, list->count)];
        }
    }
    return NULL;
}

const char *
spreadpeers_choose(const struct spreadpeers *peers,
                   struct random_state *random)
{
    return choose_at_least(peers, random, SPREAD_SAME_ZONE);
}

const char *
spreadpeers_choose_other_zone(const struct spreadpeers *peers,
                              struct random_state *random)
{
    const char *name = choose_at_least(peers, random, SPREAD_SAME_REGION);

    return name != NULL ? name : spreadpeers_choose(peers, random);
}

size_t
spreadpeers_memory(const struct spreadpeers *peers)
{
    size_t bytes = sizeof(*peers);

    for (int i = 0; i < SPREAD_DISTANCE_COUNT; i++) {
        bytes += peers->lists[i].capacity * sizeof(char *);
    }
    return bytes;
}
