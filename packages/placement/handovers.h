/**
 * @file
 * State of shards that their owners handed to this instance and whose
 * change of owner has not been seen yet.
 */
#ifndef CHESTNUTGAP_PLACEMENT_HANDOVERS_H
#define CHESTNUTGAP_PLACEMENT_HANDOVERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/state.h"

#define HANDOVER_KEPT_US INT64_C(120000000) /* an unused offer is dropped */
#define HANDOVER_LOAD_COUNTED_US                                              \
    INT64_C(3000000) /* its load is counted this long */

struct handovers;

/** NULL when memory is short. */
struct handovers *handovers_create(void);
void handovers_destroy(struct handovers *handovers);

/** What an owner hands over. blob is copied. */
struct handover_info {
    uint32_t shard;
    uint32_t epoch; /**< that the receiver will have */
    const char *from;
    uint64_t incarnation; /**< of from */
    uint64_t attempt;     /**< rises with each attempt of an incarnation */
    double weight;
    const void *blob;
    size_t blob_size;
};

/** Keeps an offer in place of earlier ones for its shard.
 * @return false if a later attempt is kept already. */
bool handovers_put(struct handovers *handovers,
                   const struct handover_info *info, int64_t now_us);

/**
 * Takes the blob for a shard at an epoch (to be freed by the caller) and
 * forgets all offers for the shard.
 *
 * @return false if there is none.
 */
bool handovers_extract(struct handovers *handovers, uint32_t shard,
                       uint32_t epoch, void **blob, size_t *blob_size);

/** Load of the recent offers, whose shards are about to come. */
double handovers_pending_load(const struct handovers *handovers,
                              int64_t now_us);

/** Drops offers that were not used in time. */
void handovers_expire(struct handovers *handovers, int64_t now_us);

#endif
