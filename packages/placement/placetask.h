/**
 * @file
 * The task that keeps the shard map and decides about this instance's shards:
 * connects the placer with the store, with other instances and with the gate.
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

/** What the gate has to do. Each is called from the event loop. */
struct placetask_callbacks {
    /**
     * The shard is owned from now on. planned: the former owner's state is
     * complete, or there never was one; blob is that state or NULL.
     */
    void (*gained)(void *ctx, uint32_t shard, uint32_t epoch, bool planned,
                   const void *blob, size_t blob_size);
    /** Admit nothing more; answer with placetask_drained(). */
    void (*drain)(void *ctx, uint32_t shard);
    /** The move was given up: admit again. */
    void (*resume)(void *ctx, uint32_t shard);
    /** Forget the shard. */
    void (*lost)(void *ctx, uint32_t shard);
    /** The single-key shard was split out of base. */
    void (*split)(void *ctx, uint32_t base, uint32_t key);
    /** The single-key shard was merged into base. */
    void (*merged)(void *ctx, uint32_t base, uint32_t key);
    /** A members row was read, which may be new to membership. */
    void (*member_read)(void *ctx, const struct member *row);
    /** A page was committed by this instance; text is its row's JSON. */
    void (*published)(void *ctx, const char *row, uint64_t version,
                      const char *text);
    void *ctx;
};

struct placetask_options {
    struct runtime *runtime;
    const struct store *store;
    struct rpc_node *node;
    struct counter_registry *counters;
    const struct membertable *directory; /**< for addresses */
    const char *instance;
    const char *zone;
    int64_t poll_us; /**< between reads of changed pages, at least */
    uint64_t seed;
    struct placetask_callbacks callbacks;
};

/** Serves moves on the node. Aborts when memory is short. The strings must
 * outlive the task. */
struct placetask *placetask_create(const struct placetask_options *options);

/** The store and the node must call nobody any more. */
void placetask_destroy(struct placetask *task);

/** Another declared state is in force. service is the target's, or "". */
void placetask_set_state(struct placetask *task, const struct state *state,
                         const char *service);

/** A members row became known, the own one included. */
void placetask_update_member(struct placetask *task, const struct member *row);

void placetask_set_lease(struct placetask *task, int64_t until_us);

/** Gives all shards away. */
void placetask_leave(struct placetask *task);

void placetask_set_cold(struct placetask *task, bool cold, double limit);

/** Smoothed load of a shard with its hottest key; see placer_set_load(). */
void placetask_set_load(struct placetask *task, uint32_t shard, double load,
                        uint64_t hot_hash, double hot_load);

/** Nothing of the shard runs any more. blob is copied. */
void placetask_drained(struct placetask *task, uint32_t shard,
                       const void *blob, size_t blob_size);

/** True if the shard of the own service may be served now. */
bool placetask_serves(const struct placetask *task, uint32_t shard,
                      uint32_t *epoch);

/** True if what has begun for the shard may be finished, but no more. */
bool placetask_drains(const struct placetask *task, uint32_t shard,
                      uint32_t *epoch);

/** True if the own service's shard is owned, though it may be moving. */
bool placetask_owns(const struct placetask *task, uint32_t shard);

/** Shards that this instance owns, moving ones included. */
size_t placetask_owned_count(const struct placetask *task);

const struct shardmap *placetask_map(const struct placetask *task);

/**
 * Takes over a page that another instance spread; text is its row's JSON.
 *
 * @return false if it is malformed.
 */
bool placetask_apply_page(struct placetask *task, const char *text,
                          uint64_t version);

/** Remembers an owner that a gate named. */
void placetask_add_owner_hint(struct placetask *task, const char *service,
                              uint32_t shard, const char *owner,
                              uint64_t epoch);

#endif
