#include "placement/peers.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define PICK_ATTEMPTS 16 /* random picks before a linear search */

struct peers {
    struct peer **list; /* sorted by name */
    size_t count;
    size_t capacity;
    char (*zones_out)[STATE_NAME_MAX + 1];
    size_t zone_out_count;
};

struct peers *
peers_create(void)
{
    return calloc(1, sizeof(struct peers));
}

void
peers_destroy(struct peers *peers)
{
    if (peers == NULL) {
        return;
    }
    for (size_t i = 0; i < peers->count; i++) {
        free(peers->list[i]);
    }
    free(peers->list);
    free(peers->zones_out);
    free(peers);
}

/* Index of the first peer whose name is not less than name. */
static size_t
position_of(const struct peers *peers, const char *name)
{
    size_t low = 0;
    size_t high = peers->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (strcmp(peers->list[middle]->info.name, name) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

struct peer *
peers_find(const struct peers *peers, const char *name)
{
    size_t position = position_of(peers, name);

    if (position < peers->count &&
        strcmp(peers->list[position]->info.name, name) == 0) {
        return peers->list[position];
    }
    return NULL;
}

static bool
zone_is_out(const struct peers *peers, const char *zone)
{
    for (size_t i = 0; i < peers->zone_out_count; i++) {
        if (strcmp(peers->zones_out[i], zone) == 0) {
            return true;
        }
    }
    return false;
}

static struct peer *
add_peer(struct peers *peers, const char *name)
{
    size_t position = position_of(peers, name);
    struct peer *peer = calloc(1, sizeof(*peer));

    if (peers->count == peers->capacity) {
        peers->capacity = peers->capacity == 0 ? 16 : 2 * peers->capacity;
        peers->list =
            realloc(peers->list, peers->capacity * sizeof(*peers->list));
    }
    if (peer == NULL || peers->list == NULL) {
        abort();
    }
    memmove(&peers->list[position + 1], &peers->list[position],
            (peers->count - position) * sizeof(*peers->list));
    peers->list[position] = peer;
    peers->count++;
    peer->hash = hash_string(name);
    return peer;
}

struct peer *
peers_update(struct peers *peers, const struct peer_info *info, int64_t now_us)
{
    struct peer *peer = peers_find(peers, info->name);
    bool known = peer != NULL;

    if (known && info->version < peer->info.version) {
        return peer;
    }
    if (!known) {
        peer = add_peer(peers, info->name);
    }
    if (!known || info->state != peer->info.state ||
        info->incarnation != peer->info.incarnation) {
        peer->state_changed_us = now_us;
        peer->pending_load = 0;
        peer->load = 0;
        peer->reported_us = 0;
    }
    peer->info = *info;
    peer->zone_out = zone_is_out(peers, info->zone);
    return peer;
}

size_t
peers_count(const struct peers *peers)
{
    return peers->count;
}

struct peer *
peers_at(const struct peers *peers, size_t index)
{
    return peers->list[index];
}

void
peers_set_zone_out(struct peers *peers, const char *zone, bool out)
{
    if (zone_is_out(peers, zone) == out) {
        return;
    }
    if (out) {
        size_t size = (peers->zone_out_count + 1) * sizeof(*peers->zones_out);
        peers->zones_out = realloc(peers->zones_out, size);
        if (peers->zones_out == NULL) {
            abort();
        }
        strncpy(peers->zones_out[peers->zone_out_count], zone, STATE_NAME_MAX);
        peers->zones_out[peers->zone_out_count++][STATE_NAME_MAX] = '\0';
    }
    else {
        size_t i = 0;
        while (strcmp(peers->zones_out[i], zone) != 0) {
            i++;
        }
        peers->zone_out_count--;
        memmove(peers->zones_out[i], peers->zones_out[peers->zone_out_count],
                sizeof(peers->zones_out[i]));
    }
    for (size_t i = 0; i < peers->count; i++) {
        struct peer *peer = peers->list[i];
        peer->zone_out = zone_is_out(peers, peer->info.zone);
    }
}

void
peers_record_load(struct peer *peer, double load, bool cold, double cold_limit,
                  bool wants_load, int64_t now_us)
{
    peer->load = load;
    if (now_us - peer->load_added_us > PEER_PENDING_LOAD_US) {
        peer->pending_load = 0;
    }
    peer->cold = cold;
    peer->cold_limit = cold_limit;
    peer->wants_load = wants_load;
    peer->reported_us = now_us;
}

void
peers_add_pending_load(struct peer *peer, double load, int64_t now_us)
{
    peer->pending_load += load;
    peer->load_added_us = now_us;
}

void
peers_remove_pending_load(struct peer *peer, double load)
{
    peer->pending_load -= load;
    if (peer->pending_load < 0) {
        peer->pending_load = 0;
    }
}

bool
peer_is_eligible(const struct peer *peer)
{
    return peer->info.state == PEER_ACTIVE && !peer->zone_out;
}

double
peer_capacity(const struct peer *peer)
{
    double capacity = peer->info.capacity;

    if (peer->cold && peer->cold_limit < capacity) {
        capacity = peer->cold_limit;
    }
    return capacity < 1 ? 1 : capacity;
}

double
peer_load_ratio(const struct peer *peer)
{
    return (peer->load + peer->pending_load) / peer_capacity(peer);
}

struct peer *
peers_pick_random(const struct peers *peers, struct random_state *random,
                  const char *except)
{
    size_t start;

    if (peers->count == 0) {
        return NULL;
    }
    for (int i = 0; i < PICK_ATTEMPTS; i++) {
        struct peer *peer = peers->list[random_below(random, peers->count)];
        if (peer_is_eligible(peer) && strcmp(peer->info.name, except) != 0) {
            return peer;
        }
    }
    start = random_below(random, peers->count);
    for (size_t i = 0; i < peers->count; i++) {
        struct peer *peer = peers->list[(start + i) % peers->count];
        if (peer_is_eligible(peer) && strcmp(peer->info.name, except) != 0) {
            return peer;
        }
    }
    return NULL;
}

struct peer *
peers_pick_least_loaded(const struct peers *peers, struct random_state *random,
                        unsigned choices, double weight, const char *except)
{
    struct peer *best = NULL;
    double best_ratio = 0;

    for (unsigned i = 0; i < choices; i++) {
        struct peer *peer = peers_pick_random(peers, random, except);
        double ratio;
        if (peer == NULL) {
            return NULL;
        }
        ratio = peer_load_ratio(peer) + weight / peer_capacity(peer);
        if (best == NULL || ratio < best_ratio) {
            best = peer;
            best_ratio = ratio;
        }
    }
    return best;
}

/* Finalizer of a 64-bit mixing function. */
static uint64_t
mix(uint64_t value)
{
    value ^= value >> 33;
    value *= UINT64_C(0xff51afd7ed558ccd);
    value ^= value >> 33;
    value *= UINT64_C(0xc4ceb9fe1a85ec53);
    return value ^ (value >> 33);
}

size_t
peers_rank(const struct peers *peers, uint64_t subject, const char *name)
{
    uint64_t own = mix(hash_string(name) ^ subject);
    size_t rank = 0;

    for (size_t i = 0; i < peers->count; i++) {
        const struct peer *peer = peers->list[i];
        if (peer_is_eligible(peer) && mix(peer->hash ^ subject) > own) {
            rank++;
        }
    }
    return rank;
}

size_t
peers_memory(const struct peers *peers)
{
    return sizeof(*peers) + peers->capacity * sizeof(*peers->list) +
           peers->count * sizeof(struct peer);
}
