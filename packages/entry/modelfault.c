#include "entry/model_internal.h"

#include <stdlib.h>

#define FENCE_DELAY_US                                                        \
    (1000 * US_PER_MS) /* from the freeze to the new owners */
#define LEASE_US (750 * US_PER_MS)
#define MOVE_POLL_US (20 * US_PER_MS)
#define HANDOVER_BYTES_MAX (16u << 20)

static void
entries_set_zone_excluded(struct model *model, void *ctx, uint64_t zone)
{
    const bool out = ctx != NULL;
    for (unsigned i = 0; i < model->config.targets; i++) {
        for (unsigned j = 0; j < model->config.targets; j++) {
            if (model->instances[j].zone == zone) {
                choice_set_excluded(model->instances[i].choice, j, out);
            }
        }
    }
}

static unsigned
model_move_destination(const struct model *model, unsigned from)
{
    for (unsigned i = 1; i <= model->config.targets; i++) {
        const unsigned to = (from + i) % model->config.targets;
        const struct model_instance *instance = &model->instances[to];
        if (!instance->frozen && !instance->leaving && !instance->moving &&
            !model->zone_out[instance->zone]) {
            return to;
        }
    }
    return from;
}

void
model_set_zone_out(struct model *model, unsigned zone, bool out)
{
    model->zone_out[zone] = out;
    model->zone_out_since_us[zone] = model->now_us;
    model_trace(model, "zone z%u %s", zone, out ? "out" : "back");
    model_schedule(model, MODEL_GOSSIP_DELAY_US, entries_set_zone_excluded,
                   out ? model : NULL, zone);
    for (unsigned i = 0; i < model->config.targets; i++) {
        struct model_instance *instance = &model->instances[i];
        if (instance->zone == zone) {
            admission_set_zone_out(instance->admission, out, model->now_us);
            if (out) {
                model_move(model, i, model_move_destination(model, i));
            }
        }
    }
}

static void
model_hand_over(struct model *model, struct model_instance *from)
{
    if (model->instances[from->moving_to].frozen) {
        from->moving_to = model_move_destination(model, from->number);
    }
    struct model_instance *to = &model->instances[from->moving_to];
    for (uint32_t shard = 0; shard < MODEL_SHARDS; shard++) {
        if (model->owners[shard] != from->number) {
            continue;
        }
        size_t size = 0;
        void *blob = dedup_export(from->dedup, shard, HANDOVER_BYTES_MAX,
                                  model->now_us, &size);
        const struct dedup_time time = model_dedup_time(model);
        if (blob == NULL ||
            !dedup_import(to->dedup, shard, blob, size, model->now_us, NULL)) {
            dedup_acquire_shard(to->dedup, shard, DEDUP_ACQUIRED_TAKEOVER,
                                &time);
        }
        free(blob);
        dedup_drop_shard(from->dedup, shard);
        model->owners[shard] = to->number;
        model->epochs[shard]++;
    }
}

/* Hands the shards over once their last requests have ended. */
static void
model_move_step(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_instance *from = &model->instances[number];
    if (!from->moving) {
        return;
    }
    size_t running = 0;
    for (uint32_t shard = 0; shard < MODEL_SHARDS; shard++) {
        if (model->owners[shard] == number) {
            running += dedup_running_count(from->dedup, shard);
        }
    }
    if (running > 0) {
        model_schedule(model, MOVE_POLL_US, model_move_step, NULL, number);
        return;
    }
    model_hand_over(model, from);
    from->moving = false;
    model_trace(model, "%s shards moved to i%u", from->name, from->moving_to);
}

void
model_move(struct model *model, unsigned from, unsigned to)
{
    if (from == to || model->instances[from].moving) {
        return;
    }
    model->instances[from].moving = true;
    model->instances[from].moving_to = to;
    model_schedule(model, MOVE_POLL_US, model_move_step, NULL, from);
}

static void
entries_exclude_instance(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    for (unsigned i = 0; i < model->config.targets; i++) {
        choice_set_excluded(model->instances[i].choice, (uint32_t)number,
                            true);
    }
}

void
model_leave(struct model *model, unsigned number)
{
    struct model_instance *instance = &model->instances[number];
    model_trace(model, "%s leaves", instance->name);
    instance->leaving = true;
    admission_set_leaving(instance->admission, true, model->now_us);
    model_schedule(model, MODEL_GOSSIP_DELAY_US, entries_exclude_instance,
                   NULL, number);
    model_move(model, number, model_move_destination(model, number));
}

bool
model_has_left(const struct model *model, unsigned number)
{
    const struct model_instance *instance = &model->instances[number];
    return instance->leaving && !instance->moving &&
           admission_idle(instance->admission);
}

static void
model_fence_frozen(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    if (!model->instances[number].frozen) {
        return;
    }
    const unsigned to = model_move_destination(model, (unsigned)number);
    const struct dedup_time time = model_dedup_time(model);
    for (uint32_t shard = 0; shard < MODEL_SHARDS; shard++) {
        if (model->owners[shard] == number) {
            dedup_acquire_shard(model->instances[to].dedup, shard,
                                DEDUP_ACQUIRED_TAKEOVER, &time);
            model->owners[shard] = to;
            model->epochs[shard]++;
        }
    }
    model_trace(model, "i%llu fenced, its shards go to i%u",
                (unsigned long long)number, to);
    entries_exclude_instance(model, NULL, number);
}

void
model_freeze(struct model *model, unsigned number)
{
    struct model_instance *instance = &model->instances[number];
    model_trace(model, "%s frozen", instance->name);
    instance->frozen = true;
    instance->moving = false;
    admission_set_lease(instance->admission, model->now_us + LEASE_US);
    model_schedule(model, FENCE_DELAY_US, model_fence_frozen, NULL, number);
}

static void
model_renew_lease(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    if (!model->instances[number].frozen) {
        admission_set_lease(model->instances[number].admission, INT64_MAX / 2);
        for (unsigned i = 0; i < model->config.targets; i++) {
            choice_set_excluded(model->instances[i].choice, (uint32_t)number,
                                false);
        }
    }
}

void
model_thaw(struct model *model, unsigned number)
{
    model->instances[number].frozen = false;
    model_trace(model, "%s goes on", model->instances[number].name);
    model_schedule(model, MODEL_GOSSIP_DELAY_US, model_renew_lease, NULL,
                   number);
}
