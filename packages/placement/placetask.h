/**
 * @file
 * Keeps the shard map up to date and connects the placer of this instance's
 * service with the store, other instances and the gate.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACETASK_H
#define CHESTNUTGAP_PLACEMENT_PLACETASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "membership/member.h"
#include "membership/membertable.h"
#include "placement/placer.h"
#include "placement/shardmap.h"
#include "protocol/rpc.h"
#include "state/state.h"
#include "store/store.h"

struct counter_registry;
struct runtime;
struct placetask;

/** Calls to the gate and to membership, from the event loop. */
struct placetask_callbacks {
    /**
     * The shard is owned from now on. planned: there was no previous owner or
     * its state is complete; blob is that state or NULL.
     */
    void (*gained)(void *ctx, uint32_t shard, uint32_t epoch, bool planned,
                   const void *blob, size_t blob_size);
    /** Stop admitting, finish, then call placetask_drained(). */
    void (*drain)(void *ctx, uint32_t shard);
    /** The move was cancelled: admit again. */
    void (*resume)(void *ctx, uint32_t shard);
    /** Drop all state of the shard. */
    void (*lost)(void *ctx, uint32_t shard);
    /** The single-key shard was split out of base. */
    void (*split)(void *ctx, uint32_t base, uint32_t key);
    /** The single-key shard was merged into base. */
    void (*merged)(void *ctx, uint32_t base, uint32_t key);
    /** Passes on a members row, which membership may not know yet. */
    void (*member_read)(void *ctx, const struct member *row);
    /** Spreads a page that this instance committed; text is its row's JSON. */
    void (*published)(void *ctx, const char *row, uint64_t version,
                      const char *text);
    void *ctx;
};

struct placetask_options {
    struct runtime *runtime;
    const struct store *store;
    struct rpc_node *node;
    struct counter_registry *counters;
    const struct membertable *members; /**< for addresses */
    const char *instance;
    const char *zone;
    int64_t poll_us; /**< minimum time between reads of changed pages */
    uint64_t seed;
    struct placetask_callbacks callbacks;
};

/** Registers the RPC procedures of moves on the node. Aborts when memory is
 * short. The strings must outlive the task. */
struct placetask *placetask_create(const struct placetask_options *options);

/** The store and the node must not call back any more. */
void placetask_destroy(struct placetask *task);

/** Sets the declared state. service is the target's, or "". */
void placetask_set_state(struct placetask *task, const struct state *state,
                         const char *service);

/** Updates a member from its row; also for this instance's own row. */
void placetask_update_member(struct placetask *task, const struct member *row);

void placetask_set_lease(struct placetask *task, int64_t until_us);

/** Moves all shards away. */
void placetask_leave(struct placetask *task);

void placetask_set_cold(struct placetask *task, bool cold, double limit);

/** See placer_set_load(). */
void placetask_set_load(struct placetask *task, uint32_t shard, double load,
                        uint64_t hot_hash, double hot_load);

/** See placer_drained(). blob is copied. */
void placetask_drained(struct placetask *task, uint32_t shard,
                       const void *blob, size_t blob_size);

/** True if this instance may serve the shard of its service now. */
bool placetask_serves(const struct placetask *task, uint32_t shard,
                      uint32_t *epoch);

/** True if the shard admits nothing, but may finish running requests. */
bool placetask_drains(const struct placetask *task, uint32_t shard,
                      uint32_t *epoch);

/** True if the map names this instance as the shard's owner, also during a
 * move. */
bool placetask_owns(const struct placetask *task, uint32_t shard);

/** Number of owned shards, moving ones included. */
size_t placetask_owned_count(const struct placetask *task);

const struct shardmap *placetask_map(const struct placetask *task);

/**
 * Applies a page spread by another instance; text is its row's JSON.
 *
 * @return false if it is malformed.
 */
bool placetask_apply_page(struct placetask *task, const char *text,
                          uint64_t version);

/** Stores an owner named by a gate; see shardmap_add_owner_hint(). */
void placetask_add_owner_hint(struct placetask *task, const char *service,
                              uint32_t shard, const char *owner,
                              uint64_t epoch);

#endif
