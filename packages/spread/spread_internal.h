/**
 * @file
 * State of the gossip protocol, shared by spread.c and spreaddigest.c.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREAD_INTERNAL_H
#define CHESTNUTGAP_SPREAD_SPREAD_INTERNAL_H

#include <sys/queue.h>

#include "base/random.h"
#include "spread/itemtable.h"
#include "spread/spread.h"

#define SPREAD_MESSAGE_ITEM_BYTES 1200 /* most for items in a message */
#define SPREAD_ENTRY_BYTES 40 /* of an entry without name and payload */

TAILQ_HEAD(push_queue, stored_item);

struct spread {
    char instance[STATE_NAME_MAX + 1];
    const struct spread_ops *ops;
    void *ctx;
    double bytes_per_second;
    double tokens; /* bytes that may be sent now */
    int64_t refilled_us;
    struct random_state random;
    struct spreadpeers *peers;
    struct itemtable *table;
    struct push_queue queues[SPREAD_KIND_COUNT]; /* in order of priority */
    uint64_t revision;
    uint32_t digest_section;  /* of the latest digest sent */
    uint32_t digest_sections; /* their number then */
    int64_t next_push_us;
    int64_t next_digest_us;
    struct spread_counts counts;

    /* Buffers of the message or reply being built. */
    struct spread_entry entries[SPREAD_ITEMS_MAX];
    u_int sums[SPREAD_BUCKETS];
    u_int differing[SPREAD_BUCKETS];
    struct spread_known known[SPREAD_KNOWN_MAX];
    u_quad_t wanted[SPREAD_KNOWN_MAX];
    struct spread_reply reply;
};

/** Sends a message and counts its bytes against the rate limit. */
void spread_send(struct spread *spread, const char *peer,
                 struct spread_message *message);

/** Size of an item in a message. */
size_t spread_entry_bytes(const struct stored_item *stored);

void spread_fill_entry(const struct stored_item *stored,
                       struct spread_entry *entry);

/** @name spreaddigest.c */
/**@{*/
void spread_send_digest(struct spread *spread);

/** Lists in the reply the known items of buckets whose sums differ. */
void spread_answer_digest(struct spread *spread,
                          const struct spread_message *message);

/** Sends items that the reply lacks and requests those missing here. */
void spread_reconcile(struct spread *spread, const char *peer,
                      const struct spread_reply *reply);
/**@}*/

#endif
