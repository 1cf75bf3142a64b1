/**
 * @file
 * Task of the gate: passes requests from entries through the gate's state
 * machine and sends those that are admitted to the target.
 */
#ifndef CHESTNUTGAP_DAEMON_GATETASK_H
#define CHESTNUTGAP_DAEMON_GATETASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "daemon/delegate.h"
#include "daemon/gateload.h"
#include "gate/admission.h"
#include "gate/dedup.h"
#include "gate/suspects.h"
#include "protocol/generated/forward.h"
#include "state/state.h"
#include "store/store.h"

struct counter_registry;
struct runtime;
struct target;
struct gatetask;

/** A request that the gate has not answered yet. */
struct gatetask_call;

/** Called once with the reply, never within gatetask_submit(). */
typedef void (*gatetask_reply_cb)(void *ctx,
                                  const struct forward_reply *reply);

/** Returns the owner of a shard by the shard map, or NULL. */
typedef const char *(*gatetask_owner_cb)(void *ctx, uint32_t shard,
                                         uint64_t *epoch);

struct gatetask_options {
    struct runtime *runtime;
    const struct store *store;
    struct counter_registry *counters;
    struct suspects *suspects;
    struct target *target;
    const char *instance;
    size_t memory_bytes; /**< for the duplicate table */
    uint64_t seed;
    /** Finds the shard of a key. @return false if it is unknown */
    bool (*shard)(void *ctx, const char *service, const void *key,
                  size_t key_size, uint32_t *shard);
    admission_owner_cb owned;      /**< whether this instance owns a shard */
    gatetask_owner_cb owner;       /**< which instance owns it */
    void (*target_cut)(void *ctx); /**< a request was cut; maybe a crash */
    void (*shard_idle)(void *ctx, uint32_t shard); /**< a drain has ended */
    /** Forwards to another instance's gate; see delegate_send(). */
    struct delegate *(*delegate)(void *ctx,
                                 const struct forward_request *request,
                                 int64_t timeout_us, forwarder_done_cb done,
                                 void *done_ctx);
    void *ctx;
};

/** Aborts if out of memory. */
struct gatetask *gatetask_create(const struct gatetask_options *options);

/** Cancels delegated requests. Call before the forwarder and the entry are
 * destroyed. */
void gatetask_stop(struct gatetask *gate);

/** Requests in progress get no reply. */
void gatetask_destroy(struct gatetask *gate);

/** request must stay valid until it is answered or cancelled. */
struct gatetask_call *gatetask_submit(struct gatetask *gate,
                                      const struct forward_request *request,
                                      gatetask_reply_cb reply, void *ctx);

/** Cancels for the entry, which gets no reply. */
void gatetask_cancel(struct gatetask_call *call);

/** service is the target's, NULL if it is not declared. */
void gatetask_set_service(struct gatetask *gate,
                          const struct state_service *service);
void gatetask_set_lease(struct gatetask *gate, int64_t until_us);
void gatetask_set_leaving(struct gatetask *gate, bool leaving);
void gatetask_set_zone_out(struct gatetask *gate, bool out);

/** The target has restarted; incarnation is a hash of the new one. */
void gatetask_target_restarted(struct gatetask *gate, uint64_t incarnation);

/** The target's process has ended. */
void gatetask_target_lost(struct gatetask *gate);

/**
 * The instance now owns the shard.
 *
 * @param first the shard never had an owner
 * @param blob the former owner's duplicate table after a planned move, or NULL
 */
void gatetask_shard_gained(struct gatetask *gate, uint32_t shard, bool first,
                           const void *blob, size_t blob_size);

/** The shard was handed over or lost. */
void gatetask_shard_lost(struct gatetask *gate, uint32_t shard);

/** The key was split out of shard base into a shard of its own. */
void gatetask_split_key(struct gatetask *gate, uint32_t base, uint32_t key);

/** The single-key shard was merged back into shard base. */
void gatetask_merge_key(struct gatetask *gate, uint32_t base, uint32_t key);

/** Calls shard_idle once the shard has no requests in progress and its rows of
 * executions are settled. */
void gatetask_drain_shard(struct gatetask *gate, uint32_t shard);

/** Stops the drain of a shard whose move was cancelled. */
void gatetask_resume_shard(struct gatetask *gate, uint32_t shard);

/** Encodes the duplicate table of a shard for its next owner; free() it. */
void *gatetask_export_ids(struct gatetask *gate, uint32_t shard,
                          size_t size_max, size_t *size);

/**
 * Calls visit with the smoothed number of requests in progress of each shard
 * that had any recently. Call it every second.
 */
void gatetask_visit_loads(struct gatetask *gate, gateload_cb visit, void *ctx);

/** Fills in the load that is sent with replies. */
void gatetask_load(const struct gatetask *gate, struct forward_load *load);

/** True if no request waits or runs. */
bool gatetask_idle(const struct gatetask *gate);

/** True if the store knows of every recorded request that it has not run. */
bool gatetask_settled(const struct gatetask *gate);

/** Call after a change of ownership. */
void gatetask_dispatch_queued(struct gatetask *gate);

#endif
