/**
 * @file
 * Runs the gossip protocol of spread.h over an RPC node.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREADTASK_H
#define CHESTNUTGAP_SPREAD_SPREADTASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "spread/spread.h"

struct counter_registry;
struct rpc_node;
struct runtime;
struct spreadtask;

struct spreadtask_callbacks {
    /** A peer sent a higher version of an item, which is borrowed. */
    void (*deliver)(void *ctx, const struct spread_item *item);
    /** A peer reports its configuration revision in force. May be NULL. */
    void (*acknowledged)(void *ctx, const char *peer, uint64_t revision);
    /** Looks up a member's RPC address. @return false if not known. */
    bool (*address_of)(void *ctx, const char *peer, struct address *address);
    void *ctx;
};

struct spreadtask_options {
    struct runtime *runtime;
    struct rpc_node *node;
    struct counter_registry *counters;
    const char *instance;
    const char *zone;
    const char *region;
    double bytes_per_second; /**< limit on what is sent */
    uint64_t seed;
    struct spreadtask_callbacks callbacks;
};

/** Serves PROCEDURE_SPREAD and PROCEDURE_FETCH on the node and starts to send.
 * NULL if out of memory. */
struct spreadtask *spreadtask_create(const struct spreadtask_options *options);

/** Cancels its calls. Destroy the node afterwards; it must not receive calls
 * in between. */
void spreadtask_destroy(struct spreadtask *task);

/** Adds or replaces a peer; the own instance is ignored. The name is borrowed
 * until the peer is removed. */
void spreadtask_add_member(struct spreadtask *task, const char *name,
                           const char *zone, const char *region);
void spreadtask_remove_member(struct spreadtask *task, const char *name);

/** Sets the configuration revision in force here. */
void spreadtask_set_revision(struct spreadtask *task, uint64_t revision);

/** Publishes an item that did not come from a peer, without a call of
 * deliver(). @return false if the known version is not lower. */
bool spreadtask_put(struct spreadtask *task, const struct spread_item *item);

/** @return false if the item or its payload is not known. */
bool spreadtask_find(const struct spreadtask *task, enum spread_kind kind,
                     const char *name, struct spread_item *item);

/** Frees the payload of an item and keeps its version. */
void spreadtask_discard_payload(struct spreadtask *task, enum spread_kind kind,
                                const char *name);

/** Queries the revision that a member has in force; acknowledged() gets it.
 * For "apply --wait". Not counted against bytes_per_second: call it at a
 * bounded rate. */
void spreadtask_query_revision(struct spreadtask *task, const char *peer);

struct spread_counts spreadtask_counts(const struct spreadtask *task);

#endif
