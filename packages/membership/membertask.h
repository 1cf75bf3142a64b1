/**
 * @file
 * The membership of this process: registers its row, holds its lease, guards
 * other members' leases, keeps the table of all members, and fences those
 * whose lease has ended.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MEMBERTASK_H
#define CHESTNUTGAP_MEMBERSHIP_MEMBERTASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/runtime.h"
#include "membership/fence.h"
#include "membership/member.h"
#include "membership/membertable.h"
#include "membership/membertransport.h"
#include "store/store.h"

struct counter_registry;
struct membertask;

/** Events of the task. Callbacks may be NULL. */
struct membertask_callbacks {
    /** The end of the lease changed to until_us on the runtime's clock, which
     * is in the past if the lease has lapsed. */
    void (*lease_changed)(void *ctx, int64_t until_us);
    /** This incarnation was fenced or replaced and owns nothing any more. The
     * task joins again as a new incarnation, which owns nothing either. */
    void (*lease_lost)(void *ctx);
    /** A new version of a row was applied. */
    void (*member_changed)(void *ctx, const struct member *row);
    /** The row's incarnation was fenced and owns nothing any more. A new
     * owner starts row->serve_after_us after this call. The instance may
     * already have joined again as another incarnation. */
    void (*member_fenced)(void *ctx, const struct member *row);
    /** A member has a higher configuration revision than this one. */
    void (*revision_seen)(void *ctx, uint64_t revision);
    void *ctx;
};

struct membertask_config {
    struct runtime *runtime;
    const struct store *store;
    struct member_transport transport;
    struct counter_registry *counters;
    /** Wall clock for the audit trail, in microseconds since 1970; NULL for
     * CLOCK_REALTIME. */
    int64_t (*wall_clock_us)(void *ctx);
    void *wall_clock_ctx;
    /** Interval between polls of the members table by the members of a zone
     * that poll often; 0 for 1 s. */
    int64_t poll_us;
    uint64_t seed; /**< for example random_entropy() */
    /** This instance. The task sets the incarnation, state, guardians and
     * version; lease_us and renewal_max_us must be positive. */
    struct member self;
    struct membertask_callbacks callbacks;
};

/** Starts joining. NULL with err set on failure. */
struct membertask *membertask_create(const struct membertask_config *config,
                                     struct error *err);

/** Stops at once without writing the row, as a crash would. The store must
 * have been destroyed before, or have no pending operation of the task. */
void membertask_destroy(struct membertask *task);

/** End of this member's lease; at most the current time if it is not held. */
int64_t membertask_lease_until_us(const struct membertask *task);

/** True if the row is active and the lease is held. */
bool membertask_is_active(const struct membertask *task);

/** Incarnation of this member, 0 before it is registered. */
uint64_t membertask_incarnation(const struct membertask *task);

/** This member's latest known row. */
const struct member *membertask_self(const struct membertask *task);

const struct membertable *membertask_table(const struct membertask *task);

/** Applies a row that was received from another member.
 * @return true if it was new. */
bool membertask_apply_row(struct membertask *task, const struct member *row);

/** Changes the fields of this member's row about the target, lease_us and
 * renewal_max_us, for example after a change of the configuration. */
void membertask_set_attributes(struct membertask *task,
                               const struct member *self);

/** Sets the configuration revision that is in force here. */
void membertask_set_revision(struct membertask *task, uint64_t revision);

/** Writes the row as leaving: the member gets no new work but still holds its
 * lease. */
void membertask_leave(struct membertask *task);

/** Ends the lease and writes the row as left, then calls done. To be called
 * when the member owns nothing and runs no request. */
void membertask_finish(struct membertask *task, void (*done)(void *ctx),
                       void *ctx);

/** Reports that the host refused a connection to this RPC or HTTP address.
 * Makes the guardians of the member there probe it at once. */
void membertask_on_refused_connection(struct membertask *task,
                                      const struct address *address);

/** Replaces the list of instances that operators declared lost. */
void membertask_apply_declared_lost(struct membertask *task,
                                    const char (*names)[STATE_NAME_MAX + 1],
                                    size_t count);

/** Handles a renewal from peer, with this member as guardian. */
struct lease_renew_result
membertask_on_renew(struct membertask *task, const struct address *peer,
                    const struct lease_renew_args *args);

/** Handles a request for a certificate, with this member as guardian. */
struct lease_certify_result
membertask_on_certify(struct membertask *task,
                      const struct lease_certify_args *args);

#endif
