/**
 * @file
 * The task that spreads items among the members: the spreading unit with its
 * calls over the RPC node.
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

/** What the task tells its owner and asks of it. */
struct spreadtask_callbacks {
    /** A higher version of an item came from a peer. Strings and payload are
     * valid during the call. */
    void (*deliver)(void *ctx, const struct spread_item *item);
    /** A peer has a revision of the configuration in force. May be NULL. */
    void (*acknowledged)(void *ctx, const char *peer, uint64_t revision);
    /** Address of a member's RPC node. @return false if not known. */
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
    double bytes_per_second; /**< budget of what is sent */
    uint64_t seed;
    struct spreadtask_callbacks callbacks;
};

/** Serves PROCEDURE_SPREAD and PROCEDURE_FETCH on the node and starts
 * rounds. NULL when memory is short. */
struct spreadtask *spreadtask_create(const struct spreadtask_options *options);

/** To be called before the node is destroyed; its calls are cancelled. The
 * node must not receive calls after this. */
void spreadtask_destroy(struct spreadtask *task);

/** A member to spread to. The name must outlive it or its removal. */
void spreadtask_add_member(struct spreadtask *task, const char *name,
                           const char *zone, const char *region);
void spreadtask_remove_member(struct spreadtask *task, const char *name);

/** Revision of the configuration in force here. */
void spreadtask_set_revision(struct spreadtask *task, uint64_t revision);

/** Spreads an item that this instance learnt by itself. deliver() is not
 * called for it. @return false if the version is not higher. */
bool spreadtask_put(struct spreadtask *task, const struct spread_item *item);

/** Finds an item. @return false if it is not known in whole. */
bool spreadtask_find(const struct spreadtask *task, enum spread_kind kind,
                     const char *name, struct spread_item *item);

void spreadtask_discard_payload(struct spreadtask *task, enum spread_kind kind,
                                const char *name);

/** Asks a member at once which revision it has in force; the answer comes by
 * acknowledged(). For "apply --wait", at a bounded rate. */
void spreadtask_query_revision(struct spreadtask *task, const char *peer);

struct spread_counts spreadtask_counts(const struct spreadtask *task);

#endif
