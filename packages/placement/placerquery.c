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
    const struct owned *owned = ownedset_find(placer->owned, shard);

    if (owned == NULL || !placer->confirmed ||
        now_us >= placer->lease_until_us || !owned_is_serving(owned, now_us)) {
        return false;
    }
    *epoch = owned->epoch;
    return true;
}

bool
placer_drains(const struct placer *placer, uint32_t shard, int64_t now_us,
              uint32_t *epoch)
{
    const struct owned *owned = ownedset_find(placer->owned, shard);

    if (owned == NULL || !placer->confirmed ||
        now_us >= placer->lease_until_us || owned->state != OWNED_DRAINING) {
        return false;
    }
    *epoch = owned->epoch;
    return true;
}

size_t
placer_owned(const struct placer *placer)
{
    return ownedset_count(placer->owned);
}

bool
placer_confirmed(const struct placer *placer)
{
    return placer->confirmed;
}

struct balance_view
placer_view(const struct placer *placer)
{
    double capacity = placer->limits.capacity;
    struct balance_view view = {0};
    size_t owned = ownedset_count(placer->owned);

    view.floor =
        balance_floor(capacity, peers_count(placer->peers), placer->shards);
    if (placer->cold && placer->cold_limit < capacity) {
        capacity = placer->cold_limit;
    }
    view.capacity = capacity < 1 ? 1 : capacity;
    view.load = ownedset_load(placer->owned) + (double)owned * view.floor;
    view.mean = placer->mean;
    return view;
}

void
placer_report(const struct placer *placer, int64_t now_us, double *load,
              bool *cold, double *cold_limit, bool *wants)
{
    struct balance_view view = placer_view(placer);

    (void)now_us;
    *load = view.load;
    *cold = placer->cold;
    *cold_limit = placer->cold_limit;
    *wants = placer_accepts_shards(placer) && balance_wants(&view);
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
           ownedset_count(placer->owned) * sizeof(struct owned);
}
