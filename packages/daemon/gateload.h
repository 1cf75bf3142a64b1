/**
 * @file
 * Load of each shard at one gate: the number of its requests in progress,
 * averaged over time, from the durations of those that ended.
 */
#ifndef CHESTNUTGAP_DAEMON_GATELOAD_H
#define CHESTNUTGAP_DAEMON_GATELOAD_H

#include <stdint.h>

struct gateload;

/** Aborts when memory is short. */
struct gateload *gateload_create(void);
void gateload_destroy(struct gateload *load);

/** A request of the shard ended after duration_us. */
void gateload_add(struct gateload *load, uint32_t shard, int64_t duration_us);

/**
 * Calls visit with the smoothed load of each shard that had requests lately,
 * and starts the next period. Shards that became idle are visited once with
 * a load of 0 and forgotten.
 */
void gateload_visit(struct gateload *load, int64_t now_us,
                    void (*visit)(void *ctx, uint32_t shard, double load),
                    void *ctx);

#endif
