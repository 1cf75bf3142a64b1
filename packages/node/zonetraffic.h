/**
 * @file
 * Bytes exchanged with instances of other availability zones, by purpose.
 * Each instance counts its own calls and their replies, so the sum over all
 * instances counts each byte once.
 */
#ifndef CHESTNUTGAP_NODE_ZONETRAFFIC_H
#define CHESTNUTGAP_NODE_ZONETRAFFIC_H

#include "fleet/instancetable.h"

struct counter;
struct counter_registry;
struct node;

enum zonetraffic_purpose {
    ZONETRAFFIC_REQUESTS, /**< relayed requests and answers, whole */
    ZONETRAFFIC_BODIES,   /**< of these, the bodies */
    ZONETRAFFIC_LOADS,    /**< loads of keys */
    ZONETRAFFIC_KEYS,     /**< key maps, moves and promises */
    ZONETRAFFIC_PURPOSES,
};

struct zonetraffic {
    struct counter *bytes[ZONETRAFFIC_PURPOSES];
};

void zonetraffic_init(struct zonetraffic *traffic,
                      struct counter_registry *counters);

/** Counter of bytes to and from the instance, or NULL if it is in the node's
 * own zone. */
struct counter *zonetraffic_counter(struct node *node,
                                    enum zonetraffic_purpose purpose,
                                    const struct instancetable_instance *peer);

#endif
