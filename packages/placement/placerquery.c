#include "placement/placer_internal.h"

int64_t
placer_due_us(const struct placer *placer)
{
    return placer->now_us + IDLE_PERIOD_US;
}

bool
placer_serves(const struct placer *placer, uint32_t shard, int64_t now_us,
              uint32_t *epoch)
{
    const struct owned_shard *owned = ownedset_find(placer->owned, shard);

    if (owned == NULL || !placer->ownership_known ||
        now_us >= placer->lease_until_us ||
        !owned_shard_is_serving(owned, now_us)) {
        return false;
    }
    *epoch = owned->epoch;
    return true;
}

bool
placer_drains(const struct placer *placer, uint32_t shard, int64_t now_us,
              uint32_t *epoch)
{
    const struct owned_shard *owned = ownedset_find(placer->owned, shard);

    if (owned == NULL || !placer->ownership_known ||
        now_us >= placer->lease_until_us || owned->state != OWNED_DRAINING) {
        return false;
    }
    *epoch = owned->epoch;
    return true;
}

size_t
placer_owned_count(const struct placer *placer)
{
    return ownedset_count(placer->owned);
}

bool
placer_knows_ownership(const struct placer *placer)
{
    return placer->ownership_known;
}

struct rebalance_view
placer_rebalance_view(const struct placer *placer)
{
    double capacity = placer->limits.capacity;
    struct rebalance_view view = {0};
    size_t owned = ownedset_count(placer->owned);

    view.idle_shard_load = rebalance_idle_shard_load(
        capacity, peers_count(placer->peers), placer->shards);
    if (placer->cold && placer->cold_limit < capacity) {
        capacity = placer->cold_limit;
    }
    view.capacity = capacity < 1 ? 1 : capacity;
    view.load = ownedset_total_load(placer->owned) +
                (double)owned * view.idle_shard_load;
    view.mean_ratio = placer->mean_ratio;
    return view;
}

void
placer_load_report(const struct placer *placer, int64_t now_us, double *load,
                   bool *cold, double *cold_limit, bool *wants_load)
{
    struct rebalance_view view = placer_rebalance_view(placer);

    (void)now_us;
    *load = view.load;
    *cold = placer->cold;
    *cold_limit = placer->cold_limit;
    *wants_load =
        placer_accepts_shards(placer) && rebalance_is_underloaded(&view);
}

struct peers *
placer_peers(const struct placer *placer)
{
    return placer->peers;
}

struct placer_counts
placer_counts(const struct placer *placer)
{
    return placer->counts;
}

size_t
placer_memory(const struct placer *placer)
{
    return sizeof(*placer) + peers_memory(placer->peers) +
           ownedset_count(placer->owned) * sizeof(struct owned_shard);
}
