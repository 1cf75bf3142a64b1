/**
 * @file
 * Admission of requests to the one target beside this process. Combines
 * lease, ownership, draining, the zone's state, the limit, the queue and the
 * suspects into one decision per event.
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

/*
 * A leaving or taken-out instance still serves the shards that it owns until
 * they have moved, for at most this long.
 */
#define ADMISSION_GRACE_US INT64_C(2000000) /* 2 s */
/* No new work at all after this time; checked as an invariant. */
#define ADMISSION_GRACE_MAX_US INT64_C(3000000) /* 3 s */

enum admission_ownership {
    ADMISSION_OWNED,
    ADMISSION_DRAINING, /**< admits only what has begun */
    ADMISSION_MOVING,   /**< being handed over: admits nothing new */
    ADMISSION_NOT_OWNED,
};

/** Says whether this instance owns a shard; epoch is set if it does. */
typedef enum admission_ownership (*admission_owner_cb)(void *ctx,
                                                       uint32_t shard,
                                                       uint64_t *epoch);

enum admission_verdict {
    ADMISSION_DISPATCH,
    ADMISSION_QUEUED,
    ADMISSION_REFUSE, /**< not run */
};

struct admission_decision {
    enum admission_verdict verdict;
    enum forward_reason reason;
    uint32_t retry_after_ms; /**< 0: no advice */
};

enum admission_state {
    ADMISSION_STATE_NONE,
    ADMISSION_STATE_WAITING,
    ADMISSION_STATE_IN_FLIGHT,
};

/** A request, embedded in its owner. Set the fields above state. */
struct admission_request {
    struct queue_entry entry; /**< its first three fields are set */
    bool keyed;               /**< this instance must own the shard */
    bool suspect;             /**< the entry asks for it to run alone */
    bool hedge;               /**< an extra try; it never waits */
    bool begun;               /**< its id is recorded; a hand-over waits */
    uint32_t shard;
    uint64_t epoch; /**< as the entry knows it, or 0 */
    uint64_t fingerprint;
    enum admission_state state;
    bool alone; /**< no other request may run beside it */
    int64_t dispatched_us;
    TAILQ_ENTRY(admission_request) link;
};

/** Admission to one target. */
struct admission;

/** NULL without memory. suspects is shared and must outlive this. */
struct admission *admission_create(const struct limit_config *config,
                                   struct suspects *suspects,
                                   admission_owner_cb owner, void *owner_ctx,
                                   int64_t now_us);
void admission_destroy(struct admission *admission);

/** The limit, to feed it with restarts, reports and probes. */
struct limit *admission_limit(struct admission *admission);

/** End of the lease. All requests need it. */
void admission_set_lease(struct admission *admission, int64_t until_us);

/** The instance is leaving (or, if false, is not any more). */
void admission_set_leaving(struct admission *admission, bool leaving,
                           int64_t now_us);

/** The instance's availability zone is out. */
void admission_set_zone_out(struct admission *admission, bool out,
                            int64_t now_us);

/**
 * Whether this instance may speak for the request: in time, with a lease and
 * as the owner of its shard. Ask before the duplicate table is: only then
 * does "not run" hold for earlier tries with the same id too.
 */
struct admission_decision
admission_check_owner(const struct admission *admission,
                      const struct admission_request *request, int64_t now_us);

/**
 * Whether a request that any target may run is better run by another one:
 * this target is slow, or cannot start it soon.
 */
bool admission_prefers_other_target(const struct admission *admission,
                                    int64_t now_us);

/** A request has arrived. */
struct admission_decision admission_arrive(struct admission *admission,
                                           struct admission_request *request,
                                           int64_t now_us);

/**
 * The first byte of a dispatched request is about to be written: the last
 * check. On ADMISSION_REFUSE it has ended as not run.
 */
struct admission_decision admission_start(struct admission *admission,
                                          struct admission_request *request,
                                          int64_t now_us);

/**
 * Whether the lease still holds. Ask after the write too: the process may
 * have been paused in between; if not, cancel the request at the target.
 */
bool admission_lease_held(const struct admission *admission, int64_t now_us);

/** A dispatched request has ended. */
void admission_finish(struct admission *admission,
                      struct admission_request *request, int64_t now_us,
                      enum limit_sample sample);

/** The request is no longer wanted; it is not in flight at the target. */
void admission_cancel(struct admission *admission,
                      struct admission_request *request, int64_t now_us);

/** Call every LIMIT_TICK_US. */
void admission_tick(struct admission *admission, int64_t now_us);

/**
 * The next waiting request that has been decided, or NULL. Call it after
 * each event until it returns NULL.
 */
struct admission_request *admission_next(struct admission *admission,
                                         int64_t now_us,
                                         struct admission_decision *decision);

/** Load that rides on every reply. */
void admission_load(const struct admission *admission, int64_t now_us,
                    struct forward_load *load);

/** True if nothing waits and nothing is in flight. */
bool admission_idle(const struct admission *admission);

#endif
