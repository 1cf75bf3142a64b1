/**
 * @file
 * Load of each shard at one gate: the number of its requests in progress,
 * averaged over time, from the durations of those that ended.
 */
#ifndef CHESTNUTGAP_DAEMON_GATELOAD_H
#define CHESTNUTGAP_DAEMON_GATELOAD_H

#include <stdint.h>

struct gateload;

/** Load of one shard with its hottest key (hot_load 0: none is known). */
typedef void (*gateload_cb)(void *ctx, uint32_t shard, double load,
                            uint64_t hot_hash, double hot_load);

/** Aborts when memory is short. */
struct gateload *gateload_create(int64_t now_us);
void gateload_destroy(struct gateload *load);

/** A request for the key of that hash ended after duration_us. */
void gateload_add(struct gateload *load, uint32_t shard, uint64_t hash,
                  int64_t duration_us, int64_t now_us);

/**
 * Calls visit with the smoothed load of each shard that had requests lately,
 * and starts the next period. Shards that became idle are visited once with
 * a load of 0 and forgotten.
 */
void gateload_visit(struct gateload *load, int64_t now_us, gateload_cb visit,
                    void *ctx);

#endif
