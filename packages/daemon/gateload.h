/**
 * @file
 * Load of each shard at one gate: its mean number of requests in progress,
 * computed from the durations of the requests that ended.
 */
#ifndef CHESTNUTGAP_DAEMON_GATELOAD_H
#define CHESTNUTGAP_DAEMON_GATELOAD_H

#include <stdint.h>

struct gateload;

/** Load of one shard and of its hottest key; hot_load is 0 if none is known.
 */
typedef void (*gateload_cb)(void *ctx, uint32_t shard, double load,
                            uint64_t hot_hash, double hot_load);

/** Aborts if out of memory. */
struct gateload *gateload_create(int64_t now_us);
void gateload_destroy(struct gateload *load);

/** Adds a request that ended. hash is that of its key. */
void gateload_add(struct gateload *load, uint32_t shard, uint64_t hash,
                  int64_t duration_us, int64_t now_us);

/**
 * Calls visit with the smoothed load of each shard that had requests recently,
 * and starts the next period. Shards that became idle are visited once with
 * a load of 0, then removed.
 */
void gateload_visit(struct gateload *load, int64_t now_us, gateload_cb visit,
                    void *ctx);

#endif
