/**
 * @file
 * Handovers received from the present owners of shards, kept until the page
 * that names this instance as the owner is known.
 */
#ifndef CHESTNUTGAP_PLACEMENT_HANDOVERS_H
#define CHESTNUTGAP_PLACEMENT_HANDOVERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/timeunits.h"
#include "state/state.h"

#define HANDOVER_KEPT_US (120 * US_PER_SECOND) /* until expiry */

/* Time for which the load of a handover counts as this instance's. */
#define HANDOVER_LOAD_COUNTED_US (3 * US_PER_SECOND)

struct handovers;

/** NULL if out of memory. */
struct handovers *handovers_create(void);
void handovers_destroy(struct handovers *handovers);

/** A received handover. blob is copied. */
struct handover_info {
    uint32_t shard;
    uint32_t epoch; /**< of the new ownership */
    const char *from;
    uint64_t incarnation; /**< of from */
    uint64_t attempt;     /**< rises within an incarnation */
    double weight;
    const void *blob;
    size_t blob_size;
};

/** Stores a handover and drops an earlier one of its shard.
 * @return false if the stored one is not older. */
bool handovers_put(struct handovers *handovers,
                   const struct handover_info *info, int64_t now_us);

/**
 * Returns the blob (to be freed with free()) of a shard's handover at an epoch
 * and drops the shard's handover unless it has a later epoch.
 *
 * @return false if there is none at the epoch.
 */
bool handovers_extract(struct handovers *handovers, uint32_t shard,
                       uint32_t epoch, void **blob, size_t *blob_size);

/** Load of recent handovers, whose shards will soon be owned here. */
double handovers_pending_load(const struct handovers *handovers,
                              int64_t now_us);

/** Drops handovers older than HANDOVER_KEPT_US. */
void handovers_expire(struct handovers *handovers, int64_t now_us);

#endif
