/**
 * @file
 * The task that makes this process a member: registers its row, holds its
 * lease, guards other members' leases, learns of all members, and fences
 * those whose lease has ended.
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

/** What the task tells its owner. Members may be NULL. */
struct membertask_callbacks {
    /** The lease is held until until_us on the runtime's clock, which is in
     * the past if it has lapsed. */
    void (*lease_changed)(void *ctx, int64_t until_us);
    /** This incarnation was fenced or replaced: it owns nothing any more.
     * The task joins again as a new incarnation, which also owns nothing. */
    void (*lease_lost)(void *ctx);
    /** A row became known, from the store or by membertask_apply_row(). */
    void (*member_changed)(void *ctx, const struct member *row);
    /** A fence became known. That incarnation owns nothing any more; a new
     * owner starts row->serve_after_us after this call. The instance may
     * have joined again, as another incarnation. */
    void (*member_fenced)(void *ctx, const struct member *row);
    /** A member has a higher revision of the configuration than ours. */
    void (*revision_seen)(void *ctx, uint64_t revision);
    void *ctx;
};

struct membertask_config {
    struct runtime *runtime;
    const struct store *store;
    struct member_transport transport;
    struct counter_registry *counters;
    /** Wall clock for the audit trail, microseconds since 1970. NULL reads
     * CLOCK_REALTIME. */
    int64_t (*wall_clock_us)(void *ctx);
    void *wall_clock_ctx;
    /** Between polls of the members table, for a member that polls often.
     * 0 for 1 s. */
    int64_t poll_us;
    uint64_t seed; /**< of random numbers, for example random_entropy() */
    /** This instance. The incarnation, state, guardians and version are set
     * by the task; lease_us and renewal_max_us must be positive. */
    struct member self;
    struct membertask_callbacks callbacks;
};

/** Starts to join. NULL with err set on failure. */
struct membertask *membertask_create(const struct membertask_config *config,
                                     struct error *err);

/** Stops at once and without a word, as a crash would. The store must have
 * been destroyed before, or have no operation of the task outstanding. */
void membertask_destroy(struct membertask *task);

/** End of the own lease; at most the current time if it is not held. */
int64_t membertask_lease_until_us(const struct membertask *task);

/** True if the row is active and the lease is held now. */
bool membertask_is_active(const struct membertask *task);

/** Incarnation of the own row, 0 before it is registered. */
uint64_t membertask_incarnation(const struct membertask *task);

/** The own row as last known. */
const struct member *membertask_self(const struct membertask *task);

const struct directory *membertask_table(const struct membertask *task);

/** Takes over a row that was learnt from another member.
 * @return true if it was new. */
bool membertask_apply_row(struct membertask *task, const struct member *row);

/** Changes what the own row says about the target, and the lengths of the
 * lease, for example when another configuration is in force. */
void membertask_set_attributes(struct membertask *task,
                               const struct member *self);

/** Revision of the configuration in force here. */
void membertask_set_revision(struct membertask *task, uint64_t revision);

/** Writes the row as leaving: no new work, the lease is still held. */
void membertask_leave(struct membertask *task);

/** Ends the lease and writes the row as left; done is called once that is in
 * the store. To be used when nothing is owned and no request runs. */
void membertask_finish(struct membertask *task, void (*done)(void *ctx),
                       void *ctx);

/** A connection to this RPC or HTTP address was refused by its host. Asks
 * the guardians of the member there to look at once. */
void membertask_on_refused_connection(struct membertask *task,
                                      const struct address *address);

/** Instances that operators declare lost; the whole list each time. */
void membertask_apply_declared_lost(struct membertask *task,
                                    const char (*names)[STATE_NAME_MAX + 1],
                                    size_t count);

/** Answers a renewal that came from peer, for this member as guardian. */
struct lease_renew_result
membertask_on_renew(struct membertask *task, const struct address *peer,
                    const struct lease_renew_args *args);

/** Answers a request for a certificate. */
struct lease_certify_result
membertask_on_certify(struct membertask *task,
                      const struct lease_certify_args *args);

#endif
