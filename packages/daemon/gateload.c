#include "daemon/gateload.h"

#include <stdbool.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "placement/hotkeys.h"

#define BUCKETS 64
#define SMOOTHING 0.2    /* weight of the newest period */
#define IDLE_LOAD 0.0005 /* requests in progress */

struct shard_load {
    LIST_ENTRY(shard_load) link;
    uint32_t shard;
    int64_t busy_us; /* in this period */
    double smoothed;
};

LIST_HEAD(shard_loads, shard_load);

struct gateload {
    struct hotkeys *hotkeys;
    double total; /* smoothed load of all shards */
    struct shard_loads buckets[BUCKETS];
    int64_t period_start_us;
};

struct gateload *
gateload_create(int64_t now_us)
{
    struct gateload *load = calloc(1, sizeof(*load));
    if (load == NULL) {
        abort();
    }
    load->period_start_us = now_us;
    load->hotkeys = hotkeys_create(now_us);
    if (load->hotkeys == NULL) {
        abort();
    }
    return load;
}

void
gateload_destroy(struct gateload *load)
{
    for (size_t i = 0; i < BUCKETS; i++) {
        struct shard_load *item = LIST_FIRST(&load->buckets[i]);
        while (item != NULL) {
            struct shard_load *next = LIST_NEXT(item, link);
            free(item);
            item = next;
        }
    }
    hotkeys_destroy(load->hotkeys);
    free(load);
}

void
gateload_add(struct gateload *load, uint32_t shard, uint64_t hash,
             int64_t duration_us, int64_t now_us)
{
    hotkeys_add(load->hotkeys, hash, shard, (double)duration_us, now_us);
    struct shard_loads *bucket = &load->buckets[shard % BUCKETS];
    struct shard_load *item;
    LIST_FOREACH (item, bucket, link) {
        if (item->shard == shard) {
            item->busy_us += duration_us;
            return;
        }
    }
    item = calloc(1, sizeof(*item));
    if (item == NULL) {
        abort();
    }
    item->shard = shard;
    item->busy_us = duration_us;
    LIST_INSERT_HEAD(bucket, item, link);
}

static void
visit_shard(const struct gateload *load, const struct shard_load *item,
            gateload_cb visit, void *ctx)
{
    double share = 0;
    const uint64_t hash =
        hotkeys_hottest_of_shard(load->hotkeys, item->shard, &share);
    double hot_load = share * load->total;
    if (hot_load > item->smoothed) {
        hot_load = item->smoothed;
    }
    visit(ctx, item->shard, item->smoothed, hash, hot_load);
}

void
gateload_visit(struct gateload *load, int64_t now_us, gateload_cb visit,
               void *ctx)
{
    double total = 0;
    const int64_t period_us = now_us - load->period_start_us;
    load->period_start_us = now_us;
    for (size_t i = 0; i < BUCKETS; i++) {
        struct shard_load *item = LIST_FIRST(&load->buckets[i]);
        while (item != NULL) {
            struct shard_load *next = LIST_NEXT(item, link);
            const double current =
                period_us > 0 ? (double)item->busy_us / (double)period_us : 0;
            item->busy_us = 0;
            item->smoothed += SMOOTHING * (current - item->smoothed);
            total += item->smoothed;
            if (item->smoothed >= IDLE_LOAD) {
                visit_shard(load, item, visit, ctx);
            }
            else {
                visit(ctx, item->shard, 0, 0, 0);
                LIST_REMOVE(item, link);
                free(item);
            }
            item = next;
        }
    }
    load->total = total;
}
