#include "placement/balance.h"

#include <string.h>

#define FLOOR_SHARE 0.01  /* of the capacity, over a fair share of shards */
#define WORTH_MOVING 0.95 /* of the higher ratio: above it no move is made */
#define SHARE_KEPT 0.97   /* of the mean: kept when a member asks for load */

double
balance_floor(double capacity, size_t members, uint32_t shards)
{
    if (shards == 0) {
        return 0;
    }
    return FLOOR_SHARE * capacity * (double)(members == 0 ? 1 : members) /
           shards;
}

static bool
is_fresh(const struct peer *peer, int64_t now_us)
{
    return peer->reported_us != 0 &&
           now_us - peer->reported_us <= PEER_LOAD_FRESH_US;
}

double
balance_mean(const struct peers *peers, const char *self, double load,
             double capacity, int64_t now_us)
{
    for (size_t i = 0; i < peers_count(peers); i++) {
        const struct peer *peer = peers_at(peers, i);
        if (strcmp(peer->info.name, self) == 0 || !is_fresh(peer, now_us) ||
            peer->info.state == PEER_GONE) {
            continue;
        }
        load += peer->load + peer->pending;
        capacity += peer_is_eligible(peer) ? peer_capacity(peer) : 0;
    }
    return capacity > 0 ? load / capacity : 0;
}

bool
balance_is_high(const struct balance_view *view)
{
    return view->load > BALANCE_HIGH * view->mean * view->capacity;
}

bool
balance_wants(const struct balance_view *view)
{
    return view->load < BALANCE_WANTS * view->mean * view->capacity;
}

bool
balance_accepts(const struct balance_view *view, double weight)
{
    double share = BALANCE_REFUSE * view->mean * view->capacity;

    /* One shard heavier than the share has to be somewhere. */
    return view->load + weight <= share || view->load <= share / 4;
}

struct peer *
balance_receiver(const struct peers *peers, const char *self,
                 const struct balance_view *view, struct random_state *random,
                 int64_t now_us)
{
    struct peer *best = NULL;

    for (unsigned i = 0; i < BALANCE_CHOICES; i++) {
        struct peer *peer = peers_pick(peers, random, self);
        if (peer == NULL) {
            return NULL;
        }
        if (!is_fresh(peer, now_us) || peer_ratio(peer) >= view->mean) {
            continue;
        }
        if (best == NULL || peer_ratio(peer) < peer_ratio(best)) {
            best = peer;
        }
    }
    return best;
}

static bool
is_movable(const struct owned *owned, int64_t now_us)
{
    return owned->state == OWNED_SERVING && now_us >= owned->move_after_us;
}

static struct owned *
heaviest_within(const struct ownedset *set, const struct balance_view *view,
                double limit, int64_t now_us)
{
    struct owned *best = NULL;

    for (struct owned *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        double weight = owned->load + view->floor;
        if (!is_movable(owned, now_us) || weight > limit) {
            continue;
        }
        if (best == NULL || owned->load > best->load ||
            (owned->load == best->load && owned->shard < best->shard)) {
            best = owned;
        }
    }
    return best;
}

static struct owned *
lightest_that_helps(const struct ownedset *set,
                    const struct balance_view *view,
                    const struct peer *receiver, int64_t now_us)
{
    struct owned *best = NULL;
    double before = view->load / view->capacity;
    double after;

    for (struct owned *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        if (is_movable(owned, now_us) &&
            (best == NULL || owned->load < best->load)) {
            best = owned;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    after = peer_ratio(receiver) +
            (best->load + view->floor) / peer_capacity(receiver);
    return after < WORTH_MOVING * before ? best : NULL;
}

struct owned *
balance_shard(const struct ownedset *set, const struct balance_view *view,
              const struct peer *receiver, int64_t now_us)
{
    double keep = balance_is_high(view) ? 1.0 : SHARE_KEPT;
    double excess = view->load - keep * view->mean * view->capacity;
    double room = BALANCE_ROOM * view->mean * peer_capacity(receiver) -
                  (receiver->load + receiver->pending);
    double limit = excess < room ? excess : room;
    struct owned *owned = heaviest_within(set, view, limit, now_us);

    if (owned != NULL || !balance_is_high(view)) {
        return owned;
    }
    return lightest_that_helps(set, view, receiver, now_us);
}
