/**
 * @file
 * Spreads versioned items among members: a new version is announced to a few
 * random peers, who announce it in turn; whoever lacks it and can't take it
 * from the announcement fetches it. A digest that is exchanged now and then
 * repairs what was lost. An item is only ever replaced by a higher version.
 * A pure unit within a budget of bytes.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREAD_H
#define CHESTNUTGAP_SPREAD_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/generated/spread.h"
#include "spread/spreadpeers.h"

#define SPREAD_KIND_COUNT 4
#define SPREAD_PUSH_INTERVAL_US                                               \
    INT64_C(200000) /* between rounds of pushes                               \
                     */
#define SPREAD_DIGEST_INTERVAL_US INT64_C(2500000) /* between digests */
#define SPREAD_CONFIG_NAME "head" /* of the one item of SPREAD_CONFIG */
#define SPREAD_FANOUT 2           /* peers told in a round */
/* Of the 7 KB/s for control; as much is received, and renewals of the lease
 * take most of the rest. */
#define SPREAD_BYTES_PER_SECOND 1200.0 /* sent, with headers */
#define SPREAD_HEADER_BYTES 80 /* of a call or a reply, with UDP and IP */

struct spread;

/** A versioned item. Strings and payloads are borrowed. */
struct spread_item {
    enum spread_kind kind;
    const char *name;
    uint64_t version;
    const void *payload;
    size_t size;
};

/** What the unit asks of its owner. */
struct spread_ops {
    /** Send a message to a peer. Answer with spread_handle_reply(). */
    void (*send)(void *ctx, const char *peer,
                 const struct spread_message *message);
    /** Fetch an item from a peer. Answer with spread_handle_fetched(). */
    void (*fetch)(void *ctx, const char *peer, enum spread_kind kind,
                  const char *name);
    /** A higher version of an item became known from a peer. */
    void (*deliver)(void *ctx, const struct spread_item *item);
    /** A peer has a revision of the configuration in force. */
    void (*acknowledged)(void *ctx, const char *peer, uint64_t revision);
};

struct spread_options {
    const char *instance;
    const char *zone;
    const char *region;
    enum spread_peer_policy choice;
    double bytes_per_second; /**< sent, with headers */
    const struct spread_ops *ops;
    void *ctx;
    uint64_t seed;
};

struct spread_counts {
    int64_t messages;  /**< sent */
    int64_t bytes;     /**< sent in messages, with headers */
    int64_t replies;   /**< sent */
    int64_t fresh;     /**< items received that were new */
    int64_t duplicate; /**< items received that were not */
    int64_t fetches;
    int64_t digests;
    int64_t throttled; /**< rounds in which the budget was used up */
};

/** NULL when memory is short. */
struct spread *spread_create(const struct spread_options *spec,
                             int64_t now_us);
void spread_destroy(struct spread *spread);

/** Members to spread to. */
struct spreadpeers *spread_peers(struct spread *spread);

/** Revision in force here, carried by every message. */
void spread_set_revision(struct spread *spread, uint64_t revision);

/**
 * Puts an item that this instance learnt by itself; it is spread from here.
 *
 * @return false if the version is not higher than the known one.
 */
bool spread_put(struct spread *spread, const struct spread_item *item,
                int64_t now_us);

/** Finds an item. @return false if it is not known in whole. */
bool spread_find(const struct spread *spread, enum spread_kind kind,
                 const char *name, struct spread_item *item);

/** Forgets an item, for example a suspect whose time is over. It is not
 * taken again in this version. */
void spread_discard_payload(struct spread *spread, enum spread_kind kind,
                            const char *name);

/** Sends what is due. */
void spread_run(struct spread *spread, int64_t now_us);

/** Time at which spread_run() has something to do. */
int64_t spread_next_run_us(const struct spread *spread);

/**
 * Handles a message. The reply is valid until the next call of this unit.
 */
const struct spread_reply *
spread_handle_message(struct spread *spread,
                      const struct spread_message *message, int64_t now_us);

/** A peer's reply to a message; NULL if none came. */
void spread_handle_reply(struct spread *spread, const char *peer,
                         const struct spread_reply *reply, int64_t now_us);

/** A fetch ended; item is NULL if it failed. */
void spread_handle_fetched(struct spread *spread, const char *peer,
                           enum spread_kind kind, const char *name,
                           const struct spread_item *item, int64_t now_us);

struct spread_counts spread_counts(const struct spread *spread);
size_t spread_item_count(const struct spread *spread);
size_t spread_memory(const struct spread *spread);

/** Bytes of a message and of a reply on the wire, with all headers. */
size_t spread_message_bytes(const struct spread_message *message);
size_t spread_reply_bytes(const struct spread_reply *reply);

#endif
