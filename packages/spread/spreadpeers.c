#include "spread/spreadpeers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The peers at one distance. */
struct peer_class {
    const char **list; /* names, borrowed */
    size_t count;
    size_t capacity;
};

struct spreadpeers {
    char zone[STATE_NAME_MAX + 1];
    char region[STATE_NAME_MAX + 1];
    enum spread_peer_policy choice;
    struct peer_class classes[SPREAD_DISTANCE_COUNT];
};

/* Weight of one peer: the inverse of the latency at its distance. */
static const double nearer_weights[SPREAD_DISTANCE_COUNT] = {
    [SPREAD_SAME_ZONE] = 1.0 / 0.3,
    [SPREAD_SAME_REGION] = 1.0 / 1.5,
    [SPREAD_OTHER_REGION] = 1.0 / 30,
};

/* Share of each distance, whatever the number of peers there. */
static const double shares[SPREAD_DISTANCE_COUNT] = {
    [SPREAD_SAME_ZONE] = 0.70,
    [SPREAD_SAME_REGION] = 0.20,
    [SPREAD_OTHER_REGION] = 0.10,
};

struct spreadpeers *
spreadpeers_create(const char *zone, const char *region,
                   enum spread_peer_policy choice)
{
    struct spreadpeers *peers = calloc(1, sizeof(*peers));

    if (peers == NULL) {
        return NULL;
    }
    (void)snprintf(peers->zone, sizeof(peers->zone), "%s", zone);
    (void)snprintf(peers->region, sizeof(peers->region), "%s", region);
    peers->choice = choice;
    return peers;
}

void
spreadpeers_destroy(struct spreadpeers *peers)
{
    if (peers == NULL) {
        return;
    }
    for (int i = 0; i < SPREAD_DISTANCE_COUNT; i++) {
        free((void *)peers->classes[i].list);
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
        struct peer_class *at = &peers->classes[i];
        for (size_t j = 0; j < at->count; j++) {
            if (strcmp(at->list[j], name) == 0) {
                at->list[j] = at->list[--at->count];
                return;
            }
        }
    }
}

void
spreadpeers_add(struct spreadpeers *peers, const char *name, const char *zone,
                const char *region)
{
    struct peer_class *at = &peers->classes[distance_of(peers, zone, region)];

    if (at->count == at->capacity) {
        at->capacity = 2 * at->capacity + 8;
        at->list = realloc((void *)at->list, at->capacity * sizeof(*at->list));
        if (at->list == NULL) {
            abort();
        }
    }
    at->list[at->count] = name;
    at->count++;
}

size_t
spreadpeers_count(const struct spreadpeers *peers)
{
    size_t count = 0;

    for (int i = 0; i < SPREAD_DISTANCE_COUNT; i++) {
        count += peers->classes[i].count;
    }
    return count;
}

static double
class_weight(const struct spreadpeers *peers, int distance)
{
    size_t count = peers->classes[distance].count;

    switch (peers->choice) {
    case SPREAD_PEERS_BY_LATENCY:
        return (double)count * nearer_weights[distance];
    case SPREAD_PEERS_BY_SHARE:
        return count > 0 ? shares[distance] : 0;
    default:
        return (double)count;
    }
}

static const char *
choose_from(const struct spreadpeers *peers, struct random_state *random,
            int first)
{
    double total = 0;
    double at;

    for (int i = first; i < SPREAD_DISTANCE_COUNT; i++) {
        total += class_weight(peers, i);
    }
    at = random_unit(random) * total;
    for (int i = first; i < SPREAD_DISTANCE_COUNT; i++) {
        const struct peer_class *class = &peers->classes[i];
        at -= class_weight(peers, i);
        if (at < 0 && class->count > 0) {
            return class->list[random_below(random, class->count)];
        }
    }
    return NULL;
}

const char *
spreadpeers_choose(const struct spreadpeers *peers,
                   struct random_state *random)
{
    return choose_from(peers, random, SPREAD_SAME_ZONE);
}

const char *
spreadpeers_choose_other_zone(const struct spreadpeers *peers,
                              struct random_state *random)
{
    const char *name = choose_from(peers, random, SPREAD_SAME_REGION);

    return name != NULL ? name : spreadpeers_choose(peers, random);
}

size_t
spreadpeers_memory(const struct spreadpeers *peers)
{
    size_t bytes = sizeof(*peers);

    for (int i = 0; i < SPREAD_DISTANCE_COUNT; i++) {
        bytes += peers->classes[i].capacity * sizeof(char *);
    }
    return bytes;
}
