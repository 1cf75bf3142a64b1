#include "placement/rebalance.h"

#include <string.h>

/* Load counted for a fair share of idle shards, relative to the capacity. */
#define IDLE_LOAD_SHARE 0.01
/* A shard above the receiver's free capacity is moved only if the receiver's
 * ratio stays below this share of the sender's. */
#define MOVE_GAIN_RATIO 0.95
/* Share of the mean that is kept when a member asks for load. */
#define KEPT_SHARE 0.97

double
rebalance_idle_shard_load(double capacity, size_t members, uint32_t shards)
{
    if (shards == 0) {
        return 0;
    }
    return IDLE_LOAD_SHARE * capacity * (double)(members == 0 ? 1 : members) /
           shards;
}

static bool
has_fresh_report(const struct peer *peer, int64_t now_us)
{
    return peer->reported_us != 0 &&
           now_us - peer->reported_us <= PEER_REPORT_FRESH_US;
}

double
rebalance_mean_ratio(const struct peers *peers, const char *self, double load,
                     double capacity, int64_t now_us)
{
    for (size_t i = 0; i < peers_count(peers); i++) {
        const struct peer *peer = peers_at(peers, i);
        if (strcmp(peer->info.name, self) == 0 ||
            !has_fresh_report(peer, now_us) || peer->info.state == PEER_GONE) {
            continue;
        }
        load += peer->load + peer->pending_load;
        capacity += peer_is_eligible(peer) ? peer_capacity(peer) : 0;
    }
    return capacity > 0 ? load / capacity : 0;
}

bool
rebalance_is_overloaded(const struct rebalance_view *view)
{
    return view->load >
           REBALANCE_HIGH_RATIO * view->mean_ratio * view->capacity;
}

bool
rebalance_is_underloaded(const struct rebalance_view *view)
{
    return view->load <
           REBALANCE_LOW_RATIO * view->mean_ratio * view->capacity;
}

bool
rebalance_accepts(const struct rebalance_view *view, double weight)
{
    double share = REBALANCE_REFUSE_RATIO * view->mean_ratio * view->capacity;

    /* Some member must accept a shard that is heavier than the share. */
    return view->load + weight <= share || view->load <= share / 4;
}

struct peer *
rebalance_pick_receiver(const struct peers *peers, const char *self,
                        const struct rebalance_view *view,
                        struct random_state *random, int64_t now_us)
{
    struct peer *best = NULL;

    for (unsigned i = 0; i < REBALANCE_CHOICES; i++) {
        struct peer *peer = peers_pick_random(peers, random, self);
        if (peer == NULL) {
            return NULL;
        }
        if (!has_fresh_report(peer, now_us) ||
            peer_load_ratio(peer) >= view->mean_ratio) {
            continue;
        }
        if (best == NULL || peer_load_ratio(peer) < peer_load_ratio(best)) {
            best = peer;
        }
    }
    return best;
}

static bool
is_movable(const struct owned_shard *owned, int64_t now_us)
{
    return owned->state == OWNED_SERVING &&
           now_us >= owned->move_not_before_us;
}

static struct owned_shard *
heaviest_fitting(const struct ownedset *set, const struct rebalance_view *view,
                 double limit, int64_t now_us)
{
    struct owned_shard *best = NULL;

    for (struct owned_shard *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        double weight = owned->load + view->idle_shard_load;
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

static struct owned_shard *
lightest_improving(const struct ownedset *set,
                   const struct rebalance_view *view,
                   const struct peer *receiver, int64_t now_us)
{
    struct owned_shard *best = NULL;
    double present_ratio = view->load / view->capacity;
    double ratio_after;

    for (struct owned_shard *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        if (is_movable(owned, now_us) &&
            (best == NULL || owned->load < best->load)) {
            best = owned;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    ratio_after =
        peer_load_ratio(receiver) +
        (best->load + view->idle_shard_load) / peer_capacity(receiver);
    return ratio_after < MOVE_GAIN_RATIO * present_ratio ? best : NULL;
}

struct owned_shard *
rebalance_pick_shard(const struct ownedset *set,
                     const struct rebalance_view *view,
                     const struct peer *receiver, int64_t now_us)
{
    double kept_share = rebalance_is_overloaded(view) ? 1.0 : KEPT_SHARE;
    double excess =
        view->load - kept_share * view->mean_ratio * view->capacity;
    double room =
        REBALANCE_FILL_RATIO * view->mean_ratio * peer_capacity(receiver) -
        (receiver->load + receiver->pending_load);
    double limit = excess < room ? excess : room;
    struct owned_shard *owned = heaviest_fitting(set, view, limit, now_us);

    if (owned != NULL || !rebalance_is_overloaded(view)) {
        return owned;
    }
    return lightest_improving(set, view, receiver, now_us);
}
