/**
 * @file
 * Gossip protocol for versioned items. A member pushes a new version to a few
 * random peers, which push it in turn. A payload that doesn't fit into a
 * message is fetched. Periodic digests repair lost messages (anti-entropy). An
 * item is only ever replaced by a higher version. Bytes sent are rate-limited.
 * Does no I/O and reads no clock.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREAD_H
#define CHESTNUTGAP_SPREAD_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/timeunits.h"
#include "protocol/generated/spread.h"
#include "spread/spreadpeers.h"

#define SPREAD_KIND_COUNT 4
#define SPREAD_PUSH_INTERVAL_US (200 * US_PER_MS)
#define SPREAD_DIGEST_INTERVAL_US (2500 * US_PER_MS) /* mean */
#define SPREAD_CONFIG_NAME "head" /* the only item of kind SPREAD_CONFIG */
#define SPREAD_FANOUT 2           /* peers per push round */
/* Control traffic is limited to 7 KB/s. As much is received as sent, and lease
 * renewals use most of the rest. */
#define SPREAD_BYTES_PER_SECOND 1200.0 /* sent, with headers */
#define SPREAD_HEADER_BYTES 80 /* of a call or reply, with UDP and IP */

struct spread;

/** A versioned item. Name and payload are borrowed. */
struct spread_item {
    enum spread_kind kind;
    const char *name;
    uint64_t version;
    const void *payload;
    size_t size;
};

/** I/O and notifications, implemented by the user. */
struct spread_ops {
    /** Sends a message; the result goes to spread_handle_reply(). */
    void (*send)(void *ctx, const char *peer,
                 const struct spread_message *message);
    /** Fetches an item; the result goes to spread_handle_fetched(). */
    void (*fetch)(void *ctx, const char *peer, enum spread_kind kind,
                  const char *name);
    /** A peer sent a higher version of an item. */
    void (*deliver)(void *ctx, const struct spread_item *item);
    /** A peer reports its configuration revision in force. */
    void (*acknowledged)(void *ctx, const char *peer, uint64_t revision);
};

struct spread_options {
    const char *instance;
    const char *zone;
    const char *region;
    enum spread_peer_policy policy;
    double bytes_per_second; /**< sent, with headers */
    const struct spread_ops *ops;
    void *ctx;
    uint64_t seed;
};

struct spread_counts {
    int64_t messages;  /**< sent */
    int64_t bytes;     /**< sent in messages, with headers */
    int64_t replies;   /**< sent */
    int64_t fresh;     /**< new items received */
    int64_t duplicate; /**< known items received again */
    int64_t fetches;
    int64_t digests;
    int64_t throttled; /**< rounds stopped by the rate limit */
};

/** NULL if out of memory. */
struct spread *spread_create(const struct spread_options *options,
                             int64_t now_us);
void spread_destroy(struct spread *spread);

/** The peers to gossip with; owned by spread. */
struct spreadpeers *spread_peers(struct spread *spread);

/** Sets the configuration revision in force, sent in every message. */
void spread_set_revision(struct spread *spread, uint64_t revision);

/**
 * Publishes an item that did not come from a peer.
 *
 * @return false if the known version is not lower.
 */
bool spread_put(struct spread *spread, const struct spread_item *item,
                int64_t now_us);

/** @return false if the item or its payload is not known. */
bool spread_find(const struct spread *spread, enum spread_kind kind,
                 const char *name, struct spread_item *item);

/** Frees the payload of an item, for example of an expired suspect. The
 * version is kept, so that peers can't bring it back. */
void spread_discard_payload(struct spread *spread, enum spread_kind kind,
                            const char *name);

/** Sends pushes and digests that are due. */
void spread_run(struct spread *spread, int64_t now_us);

/** Time of the next spread_run(). */
int64_t spread_next_run_us(const struct spread *spread);

/**
 * Handles a message. The reply is valid until the next call on this spread.
 */
const struct spread_reply *
spread_handle_message(struct spread *spread,
                      const struct spread_message *message, int64_t now_us);

/** Handles a peer's reply; NULL if the call failed. */
void spread_handle_reply(struct spread *spread, const char *peer,
                         const struct spread_reply *reply, int64_t now_us);

/** Handles the end of a fetch; item is NULL if it failed. */
void spread_handle_fetched(struct spread *spread, const char *peer,
                           enum spread_kind kind, const char *name,
                           const struct spread_item *item, int64_t now_us);

struct spread_counts spread_counts(const struct spread *spread);
size_t spread_item_count(const struct spread *spread);
/** Bytes. */
size_t spread_memory(const struct spread *spread);

/** Estimated size on the wire, with all headers. */
size_t spread_message_bytes(const struct spread_message *message);
size_t spread_reply_bytes(const struct spread_reply *reply);

#endif
