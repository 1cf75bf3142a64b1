/**
 * @file
 * Internals shared by the modules of the gate's task.
 */
#ifndef CHESTNUTGAP_DAEMON_GATETASK_INTERNAL_H
#define CHESTNUTGAP_DAEMON_GATETASK_INTERNAL_H

#include <sys/queue.h>

#include "base/random.h"
#include "base/runtime.h"
#include "base/task.h"
#include "daemon/gateload.h"
#include "daemon/gatetask.h"
#include "gate/gate.h"
#include "target/target.h"

#define GATE_ID_SIZE 256 /* bytes of an id, with the terminator */

/* Message that delivers a call to the gate's task. */
struct gate_arrival {
    struct message message;
    struct gatetask_call *call; /* NULL: cancelled before it was delivered */
};

struct gatetask_call {
    LIST_ENTRY(gatetask_call) link;
    struct gatetask *gate;
    struct gate_arrival *arrival; /* NULL once delivered */
    struct gate_request gate_request;
    const struct forward_request *request; /* the entry's, or copy */
    struct forward_request *copy; /* kept after the entry was answered */
    char id[GATE_ID_SIZE];
    uint64_t epoch; /* of the shard at arrival */
    int64_t arrived_us;
    uint64_t key_hash; /* shardmap_hash() */
    gatetask_reply_cb reply;
    void *ctx;
    bool detached;        /* answered or cancelled */
    bool ended;           /* core no longer uses it */
    bool dispatching;     /* within target_forward() */
    bool lease_unchecked; /* written since the last check of the lease */
    struct target_call *target_call;
    struct delegate *delegate;          /* NULL unless delegated */
    const struct target_result *result; /* during its callback */
    struct timer deadline;
};

LIST_HEAD(gate_calls, gatetask_call);

/* A shard that is being drained. */
struct gate_drain {
    LIST_ENTRY(gate_drain) link;
    uint32_t shard;
    uint64_t epoch;
    bool withdrawing;
    bool resumed; /* the move was cancelled */
    struct gatetask *gate;
};

LIST_HEAD(gate_drains, gate_drain);

struct gatetask {
    struct gatetask_options options;
    struct random_state random;
    struct task *task;
    struct admission *admission;
    struct dedup *dedup;
    struct executions *executions;
    struct gate *core;            /* NULL before a service is known */
    struct state_service service; /* name is "" if undeclared */
    char service_name[STATE_NAME_MAX + 1];
    char holder[STATE_NAME_MAX + 32];
    int64_t lease_until_us;
    uint64_t sequence;
    uint64_t target_incarnation; /* hash; identifies its crashes */
    struct gate_calls calls;
    struct gate_drains drains;
    struct gateload *load;
    struct timer tick;
    struct timer lease_recheck; /* after requests were written */
    struct counter *requests;
    struct counter *answered;
    struct counter *not_run;
    struct counter *unknown;
    struct counter *replayed;
    struct counter *cancelled_after_write;
    struct counter *delegated;
    struct counter *in_flight;
    struct counter *queued;
    struct counter *limit;
    struct counter *dedup_ids;
    struct counter *dedup_bytes;
};

/** Operations for core; their context is the task. */
extern const struct gate_ops gatecall_ops;

/** Returns the call in which gate_request is embedded. */
struct gatetask_call *gatecall_of(struct gate_request *gate_request);

/** Delegates to another instance's gate; an operation for core. */
void gatedelegate_send(void *ctx, struct gate_request *gate_request);

/** Handles a submitted call, unless it was cancelled meanwhile. */
void gatecall_deliver(struct gatetask *gate, struct gate_arrival *arrival);

/** Frees a call without a reply. */
void gatecall_free(struct gatetask_call *call);

/** Cancels requests that were written after the lease had expired, because
 * the process was paused between the check and the write. */
void gatecall_cancel_late_writes(struct gatetask *gate);

/** Number of requests of the shard in progress. */
size_t gatecall_count_of_shard(const struct gatetask *gate, uint32_t shard);

/** Ends drains of shards without requests in progress. */
void gatetask_check_drains(struct gatetask *gate);

#endif
