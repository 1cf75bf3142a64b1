/**
 * @file
 * The task of the gate: takes requests from entries, runs them through the
 * gate unit and sends those that are admitted to the target.
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

/** Answers a request, once; never within gatetask_submit(). */
typedef void (*gatetask_reply_cb)(void *ctx,
                                  const struct forward_reply *reply);

/** Names the owner of a shard as the map shows it, or NULL. */
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
    /** Finds the shard of a key. @return false if it is not known. */
    bool (*shard)(void *ctx, const char *service, const void *key,
                  size_t key_size, uint32_t *shard);
    admission_owner_cb owned; /**< whether this instance owns a shard */
    gatetask_owner_cb owner;  /**< who owns it otherwise */
    void (*target_cut)(
        void *ctx); /**< the target cut a request, maybe a crash */
    void (*shard_idle)(void *ctx, uint32_t shard); /**< a drain is over */
    /** Hands an order to another instance's gate; see delegate_send(). */
    struct delegate *(*delegate)(void *ctx,
                                 const struct forward_request *request,
                                 int64_t timeout_us, forwarder_done_cb done,
                                 void *done_ctx);
    void *ctx;
};

/** Aborts when memory is short. */
struct gatetask *gatetask_create(const struct gatetask_options *options);

/** Ends what it has at other instances; call it before the forwarder and the
 * entry are destroyed. */
void gatetask_stop(struct gatetask *gate);

/** Requests that are not answered get no answer. */
void gatetask_destroy(struct gatetask *gate);

/** request must stay valid until the reply or the cancellation. */
struct gatetask_call *gatetask_submit(struct gatetask *gate,
                                      const struct forward_request *request,
                                      gatetask_reply_cb reply, void *ctx);

/** The entry no longer waits; there will be no reply. */
void gatetask_cancel(struct gatetask_call *call);

/** The target's service as declared, NULL if it is not declared. */
void gatetask_set_service(struct gatetask *gate,
                          const struct state_service *service);
void gatetask_set_lease(struct gatetask *gate, int64_t until_us);
void gatetask_set_leaving(struct gatetask *gate, bool leaving);
void gatetask_set_zone_out(struct gatetask *gate, bool out);

/** The target started anew, as this run. */
void gatetask_target_restarted(struct gatetask *gate, uint64_t incarnation);

/** The target's process is gone. */
void gatetask_target_lost(struct gatetask *gate);

/** A shard is owned from now on. blob is the former owner's duplicate table
 * after a planned move, or NULL. */
void gatetask_shard_gained(struct gatetask *gate, uint32_t shard, bool first,
                           const void *blob, size_t blob_size);

/** The shard was handed over or lost. */
void gatetask_shard_lost(struct gatetask *gate, uint32_t shard);

/** The key, a shard of its own from now on, was split out of shard base. */
void gatetask_split_key(struct gatetask *gate, uint32_t base, uint32_t key);

/** The single-key shard was merged back into shard base. */
void gatetask_merge_key(struct gatetask *gate, uint32_t base, uint32_t key);

/** Waits until nothing of the shard runs, then calls shard_idle. */
void gatetask_drain_shard(struct gatetask *gate, uint32_t shard);

/** The shard does not move after all. */
void gatetask_resume_shard(struct gatetask *gate, uint32_t shard);

/** Duplicate table of a shard for its next owner; free() it. */
void *gatetask_export_ids(struct gatetask *gate, uint32_t shard,
                          size_t size_max, size_t *size);

/**
 * Calls visit with the smoothed number of requests in progress of each shard
 * that had any lately. Call it every second.
 */
void gatetask_visit_loads(struct gatetask *gate, gateload_cb visit, void *ctx);

/** Load as it rides on replies. */
void gatetask_load(const struct gatetask *gate, struct forward_load *load);

/** True if nothing waits and nothing runs. */
bool gatetask_idle(const struct gatetask *gate);

/** Serves the queue after a change of ownership. */
void gatetask_dispatch_queued(struct gatetask *gate);

#endif
