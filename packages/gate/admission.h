/**
 * @file
 * Admission control for the target of this instance. Decides each request by
 * lease, ownership, draining, zone state, concurrency limit, queue and suspect
 * status.
 */
#ifndef CHESTNUTGAP_GATE_ADMISSION_H
#define CHESTNUTGAP_GATE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "gate/limit.h"
#include "gate/queue.h"
#include "gate/suspects.h"
#include "protocol/generated/forward.h"

/* How long an instance that is leaving or whose zone is out still serves the
 * shards it owns, so that they can move. */
#define ADMISSION_GRACE_US INT64_C(2000000) /* 2 s */
/* A request started later than this violates an invariant. */
#define ADMISSION_GRACE_MAX_US INT64_C(3000000) /* 3 s */

enum admission_ownership {
    ADMISSION_OWNED,
    ADMISSION_DRAINING, /**< admits only requests with begun set */
    ADMISSION_MOVING,   /**< being handed over; admits nothing */
    ADMISSION_NOT_OWNED,
};

/** Returns this instance's ownership of a shard; sets epoch if it owns it. */
typedef enum admission_ownership (*admission_owner_cb)(void *ctx,
                                                       uint32_t shard,
                                                       uint64_t *epoch);

enum admission_verdict {
    ADMISSION_DISPATCH,
    ADMISSION_QUEUED,
    ADMISSION_REFUSE, /**< has not run */
};

struct admission_decision {
    enum admission_verdict verdict;
    enum forward_reason reason;
    uint32_t retry_after_ms; /**< 0: none */
};

enum admission_state {
    ADMISSION_STATE_NONE,
    ADMISSION_STATE_WAITING,
    ADMISSION_STATE_IN_FLIGHT,
};

/** A request, embedded in the user's struct. Set the fields above state. */
struct admission_request {
    struct queue_entry entry; /**< see its documentation */
    bool keyed;               /**< requires ownership of shard */
    bool suspect;             /**< reported by the entry; runs alone */
    bool hedge;               /**< an extra attempt; never queued */
    bool begun; /**< its id is recorded; a hand-over waits for it */
    uint32_t shard;
    uint64_t epoch; /**< latest known to the entry, or 0 */
    uint64_t fingerprint;
    enum admission_state state;
    bool alone; /**< must not run with other requests */
    int64_t dispatched_us;
    TAILQ_ENTRY(admission_request) link;
};

struct admission;

/** NULL if out of memory. suspects is shared and must outlive the result. */
struct admission *admission_create(const struct limit_config *config,
                                   struct suspects *suspects,
                                   admission_owner_cb owner, void *owner_ctx,
                                   int64_t now_us);
void admission_destroy(struct admission *admission);

/** The target's limit, for restarts, capacity reports and probes. */
struct limit *admission_limit(struct admission *admission);

/** Sets the end of the lease, without which no request is admitted. */
void admission_set_lease(struct admission *admission, int64_t until_us);

/** Sets whether the instance is leaving. */
void admission_set_leaving(struct admission *admission, bool leaving,
                           int64_t now_us);

/** Sets whether the instance's availability zone is out. */
void admission_set_zone_out(struct admission *admission, bool out,
                            int64_t now_us);

/**
 * Checks deadline, lease and ownership of the shard. Call before
 * dedup_begin(): only then does "not run" also hold for earlier attempts with
 * the same id.
 */
struct admission_decision
admission_check_owner(const struct admission *admission,
                      const struct admission_request *request, int64_t now_us);

/**
 * Whether a request that any target may run should go to another one, because
 * this target is slow or can't start it soon.
 */
bool admission_prefers_other_target(const struct admission *admission,
                                    int64_t now_us);

/** Decides a request that has arrived. */
struct admission_decision admission_arrive(struct admission *admission,
                                           struct admission_request *request,
                                           int64_t now_us);

/**
 * Repeats the checks right before the first byte of a dispatched request is
 * written. On ADMISSION_REFUSE the request is finished and has not run.
 */
struct admission_decision admission_start(struct admission *admission,
                                          struct admission_request *request,
                                          int64_t now_us);

/**
 * Whether the lease is valid. Check again after the write, as the process may
 * have been paused since admission_start(), and if it is not, cancel the
 * request at the target.
 */
bool admission_lease_held(const struct admission *admission, int64_t now_us);

/** Ends a dispatched request. */
void admission_finish(struct admission *admission,
                      struct admission_request *request, int64_t now_us,
                      enum limit_sample sample);

/** Ends a request that waits, or that the target no longer runs. */
void admission_cancel(struct admission *admission,
                      struct admission_request *request, int64_t now_us);

/** Call every LIMIT_TICK_US. */
void admission_tick(struct admission *admission, int64_t now_us);

/**
 * Decides and returns the next waiting request that can start or must be
 * refused. Call it after each event until it returns NULL.
 */
struct admission_request *admission_next(struct admission *admission,
                                         int64_t now_us,
                                         struct admission_decision *decision);

/** Load information for replies to entries. */
void admission_load(const struct admission *admission, int64_t now_us,
                    struct forward_load *load);

/** True if no request waits or is in flight. */
bool admission_idle(const struct admission *admission);

#endif
