/**
 * @file
 * State of shards that their owners handed to this instance and whose
 * change of owner has not been seen yet.
 */
#ifndef CHESTNUTGAP_PLACEMENT_OFFERS_H
#define CHESTNUTGAP_PLACEMENT_OFFERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/state.h"

#define OFFER_KEPT_US INT64_C(120000000)  /* an unused offer is dropped */
#define OFFER_COUNTED_US INT64_C(3000000) /* its load is counted this long */

struct offers;

/** NULL when memory is short. */
struct offers *offers_create(void);
void offers_destroy(struct offers *offers);

/** What an owner hands over. blob is copied. */
struct offer_info {
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
bool offers_put(struct offers *offers, const struct offer_info *info,
                int64_t now_us);

/**
 * Takes the blob for a shard at an epoch (to be freed by the caller) and
 * forgets all offers for the shard.
 *
 * @return false if there is none.
 */
bool offers_take(struct offers *offers, uint32_t shard, uint32_t epoch,
                 void **blob, size_t *blob_size);

/** Load of the recent offers, whose shards are about to come. */
double offers_weight(const struct offers *offers, int64_t now_us);

/** Drops offers that were not used in time. */
void offers_expire(struct offers *offers, int64_t now_us);

#endif
