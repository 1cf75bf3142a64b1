/**
 * @file
 * State of the membership task and the interfaces between its parts.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MEMBERTASK_INTERNAL_H
#define CHESTNUTGAP_MEMBERSHIP_MEMBERTASK_INTERNAL_H

#include <sys/queue.h>

#include "base/counter.h"
#include "base/random.h"
#include "membership/endpoint.h"
#include "membership/guardian.h"
#include "membership/lease.h"
#include "membership/membertask.h"

/** Purpose of a call to another member. */
enum member_call_kind {
    MEMBER_CALL_RENEW,
    MEMBER_CALL_CERTIFY,
    MEMBER_CALL_PROBE_HOLDER,
    MEMBER_CALL_PROBE_GUARDIAN,
};

/** A pending call to another member. */
struct member_call {
    LIST_ENTRY(member_call) link;
    struct membertask *task;
    void *handle;
    enum member_call_kind kind;
    uint64_t owner_serial; /**< serial of the lease or fence attempt */
    struct member_ref peer;
    int64_t sent_us;
};

LIST_HEAD(member_call_list, member_call);

/** A pending store operation. */
struct member_operation {
    LIST_ENTRY(member_operation) link;
    struct membertask *task;
    uint64_t owner_serial; /**< serial of the lease or fence attempt */
    uint64_t txn_id;
};

LIST_HEAD(member_operation_list, member_operation);

/** A running attempt to fence a member. */
struct member_fence {
    LIST_ENTRY(member_fence) link;
    uint64_t serial;
    struct fence *fence;
    int64_t next_us;
};

LIST_HEAD(member_fence_list, member_fence);

/** Data about a guarded holder besides its struct guardian_holder. */
struct member_contact {
    uint64_t holder;
    char instance[STATE_NAME_MAX + 1]; /**< "" until its row is known */
    struct endpoint renewal_source;    /**< of the latest renewal */
    int64_t last_renewal_us;
    int64_t last_probe_us;
    int64_t fence_after_us; /**< earliest start of the next attempt */
};

/** Progress of reading the members table. */
struct member_poll {
    bool busy;
    bool complete;       /**< all rows were read once */
    bool failing;        /**< the latest read failed */
    uint64_t since;      /**< rows up to this version are known */
    uint64_t next_since; /**< the store's version at the first page */
    char after[STORE_NAME_MAX + 1];
    int64_t started_us;
    int64_t next_us;
};

/** An address whose refused connection was reported to guardians. */
struct member_alert {
    struct endpoint endpoint;
    int64_t at_us;
};

#define MEMBER_ALERTS 8

struct member_counters {
    struct counter *renewals_sent;
    struct counter *renewals_answered;
    struct counter *renewals_served;
    struct counter *lapses;
    struct counter *losses;
    struct counter *fences;
    struct counter *fence_attempts;
    struct counter *certificates;
    struct counter *store_writes;
    struct counter *store_reads;
    struct counter *members;
};

enum member_step {
    MEMBER_STEP_SCAN,        /**< reading the members table */
    MEMBER_STEP_PREDECESSOR, /**< fencing this instance's last incarnation */
    MEMBER_STEP_REGISTER,    /**< registering, or registered */
    MEMBER_STEP_HALTED,      /**< declared lost by operators */
    MEMBER_STEP_LEFT,
};

struct membertask {
    struct membertask_config config;
    struct runtime *runtime;
    struct random_state random;
    struct timer timer;
    struct lease_rules rules;
    struct membertable *table;
    struct guardian *guardian;
    struct lease *lease; /**< NULL before registration */
    uint64_t lease_serial;
    uint64_t next_serial;
    enum member_step step;
    bool leaving;
    bool finishing; /**< writing the row as left; acknowledges nothing */
    bool lapsed;    /**< the lease was not held at the latest update */
    bool updating;
    struct member self;    /**< with the incarnation, without guardians */
    int64_t retry_us;      /**< next attempt to fence the predecessor */
    int64_t registered_us; /**< start of the registration */
    int64_t reported_until_us;
    uint64_t revision;
    struct member_poll poll;
    struct member_call_list calls;
    struct member_operation_list operations;
    struct member_fence_list fences;
    struct member_contact *contacts;
    size_t contact_count;
    struct member_alert alerts[MEMBER_ALERTS];
    size_t next_alert;
    int64_t last_watch_us; /**< latest check of the guarded holders */
    int64_t next_overdue_check_us;
    char (*declared_lost)[STATE_NAME_MAX + 1];
    size_t declared_lost_count;
    int64_t next_declared_lost_check_us;
    int64_t declared_lost_changed_us;
    void (*on_left)(void *ctx);
    void *on_left_ctx;
    struct member_counters counters;
};

/* membertask.c */
int64_t member_now_us(const struct membertask *task);
int64_t member_wall_us(const struct membertask *task);

/** Runs all parts that are due and sets the timer. Must be called after every
 * event. */
void member_update(struct membertask *task);

/** Applies a row from any source and calls the callbacks.
 * @return true if it was new. */
bool member_apply_row(struct membertask *task, const struct member *row);

/** Parses a row of the store into out and applies it.
 * @return false if it is invalid. */
bool member_apply_store_row(struct membertask *task,
                            const struct store_row *row, struct member *out);

/* memberjoin.c */

/** Starts a new incarnation, which guards no holder and has no lease. */
bool member_new_incarnation(struct membertask *task);

/** Ends the lease and this incarnation, and calls lease_lost. */
void member_lose_lease(struct membertask *task);

/** Advances this instance's own membership.
 * @return the latest time of the next call. */
int64_t member_join_tick(struct membertask *task, int64_t now_us);

/* membercall.c */
void member_call_start(struct membertask *task, enum member_call_kind kind,
                       uint64_t owner_serial, const struct member_ref *peer,
                       const struct address *address, const void *args);
void member_call_cancel_all(struct membertask *task);

/** Arguments of a call that asks the guardian to certify that it renews the
 * lease of this row no more. */
struct lease_certify_args
member_certify_args(const struct member *row,
                    const struct member_ref *guardian);

struct member_operation *member_operation_start(struct membertask *task,
                                                uint64_t owner_serial,
                                                uint64_t txn_id);
void member_operation_end(struct member_operation *operation);

/* memberlease.c */
bool member_lease_start(struct membertask *task, uint64_t version);
void member_lease_stop(struct membertask *task);
void member_lease_on_call_done(struct membertask *task,
                               const struct member_call *call,
                               enum rpc_status status,
                               const struct lease_renew_result *result);

/* memberpoll.c */
int64_t member_poll_tick(struct membertask *task, int64_t now_us);

/** Brings the next poll forward, for a row that is not known here. */
void member_poll_soon(struct membertask *task);

/* memberfence.c */
struct member_fence *member_fence_start(struct membertask *task,
                                        const struct member_ref *holder);
struct member_fence *member_fence_find(struct membertask *task,
                                       uint64_t holder);
int64_t member_fence_tick(struct membertask *task, int64_t now_us);
void member_fence_on_call_done(struct membertask *task,
                               const struct member_call *call,
                               enum rpc_status status,
                               const struct lease_certify_result *result);
void member_fence_stop_all(struct membertask *task);

/* memberwatch.c */
int64_t member_watch_tick(struct membertask *task, int64_t now_us);
void member_watch_record_renewal(struct membertask *task, uint64_t holder,
                                 const struct address *peer);
void member_watch_probe(struct membertask *task, uint64_t holder);
void member_watch_on_probe_done(struct membertask *task,
                                const struct member_call *call,
                                enum rpc_status status);

/** Detects a pause of this process, which must not count as time without
 * contact from the holders. */
void member_watch_check_pause(struct membertask *task, int64_t now_us);

#endif
