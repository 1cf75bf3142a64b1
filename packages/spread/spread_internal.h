/**
 * @file
 * State of the spreading unit, shared by the files that implement it.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREAD_INTERNAL_H
#define CHESTNUTGAP_SPREAD_SPREAD_INTERNAL_H

#include <sys/queue.h>

#include "base/random.h"
#include "spread/itemtable.h"
#include "spread/spread.h"

#define SPREAD_MESSAGE_ITEM_BYTES_MAX                                         \
    1200                      /* bytes of items in one message                \
                               */
#define SPREAD_ENTRY_BYTES 40 /* of an item without name and payload */

TAILQ_HEAD(push_queue, stored_item);

struct spread {
    char instance[STATE_NAME_MAX + 1];
    const struct spread_ops *ops;
    void *ctx;
    double rate;
    double tokens;
    int64_t tokens_us;
    struct random_state random;
    struct spreadpeers *peers;
    struct itemtable *store;
    struct push_queue hot[SPREAD_KIND_COUNT]; /* by kind, most urgent first */
    uint64_t revision;
    uint32_t section;  /* of the latest digest */
    uint32_t sections; /* of the latest digest */
    int64_t round_us;
    int64_t digest_us;
    struct spread_counts counts;

    /* Parts of the message or reply that is being made. */
    struct spread_entry entries[SPREAD_ITEMS_MAX];
    u_int sums[SPREAD_BUCKETS];
    u_int differing[SPREAD_BUCKETS];
    struct spread_known known[SPREAD_KNOWN_MAX];
    u_quad_t wanted[SPREAD_KNOWN_MAX];
    struct spread_reply reply;
};

/** Sends a message and counts its bytes. */
void spread_send(struct spread *spread, const char *peer,
                 struct spread_message *message);

/** Bytes of an item in a message. */
size_t spread_entry_bytes(const struct stored_item *stored);

void spread_fill_entry(const struct stored_item *stored,
                       struct spread_entry *entry);

/** @name spreaddigest.c */
/**@{*/
void spread_send_digest(struct spread *spread);

/** Lists in the reply what is known in the buckets that differ. */
void spread_answer_digest(struct spread *spread,
                          const struct spread_message *message);

/** Sends the peer what its listing lacks and asks for what it has more. */
void spread_reconcile(struct spread *spread, const char *peer,
                      const struct spread_reply *reply);
/**@}*/

#endif
