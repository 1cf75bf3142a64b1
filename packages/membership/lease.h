/**
 * @file
 * The holder's side of a lease: decides when to renew it with which
 * guardian, when to write the members row, and until when it is held.
 *
 * The lease is held until the latest of
 * - for each guardian set that counts: the second-latest of the send times
 *   that its guardians acknowledged, plus the lease's length (for a set of
 *   three);
 * - the send time of the latest committed write of the row, plus the lease's
 *   length;
 * but never longer than renewal_max_us after that write. A lease without
 * guardians is held for renewal_max_us.
 *
 * A set counts if a fence needs its certificates whichever of the writes
 * with an unknown outcome was committed.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_LEASE_H
#define CHESTNUTGAP_MEMBERSHIP_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/timeunits.h"
#include "membership/leaserules.h"
#include "membership/member.h"
#include "protocol/generated/lease.h"
#include "store/store.h"

/** A lease that lapsed longer ago than this is regained only by a write of
 * the row, not by acknowledged renewals. */
#define LEASE_REGAIN_MAX_US (3600 * US_PER_SECOND)

#define LEASE_NEVER_US INT64_MIN

struct lease;

enum lease_status {
    LEASE_UNREGISTERED, /**< no write of the row is known to be committed */
    LEASE_REGISTERED,   /**< the row is this holder's; see lease_until_us() */
    LEASE_ENDED,        /**< fenced, replaced or left; never held again */
};

/** Why a row is written. */
enum lease_reason {
    LEASE_REASON_JOIN,
    LEASE_REASON_STATE,       /**< state or attributes changed */
    LEASE_REASON_REESTABLISH, /**< the lease was about to lapse */
    LEASE_REASON_GUARDIANS,   /**< a guardian is replaced or added */
    LEASE_REASON_CONFIRM,     /**< the outgoing guardians are removed */
    LEASE_REASON_RENEW,       /**< half of renewal_max_us has passed */
};

/** Sends the holder's messages and store operations. No function waits for
 * the reply. */
struct lease_ops {
    /** Sends a renewal. The reply, if any, goes to lease_on_renew_reply(). */
    void (*renew)(void *ctx, const struct member_ref *guardian,
                  uint64_t version, int64_t sent_us);
    /** Writes the row if the stored one has row->version. The outcome goes
     * to lease_on_written(). */
    void (*write)(void *ctx, const struct member *row, uint64_t txn_id,
                  enum lease_reason reason);
    /** Reads the row. The result goes to lease_on_read(). */
    void (*read)(void *ctx);
    /** Adds guardians to chosen, which contains those to keep. Members to
     * avoid are added only if there are no others. */
    void (*choose)(void *ctx, const struct member_ref *avoid,
                   size_t avoid_count, struct guardian_set *chosen);
};

struct lease_config {
    struct lease_rules rules;
    struct random_state *random; /**< for transaction ids and jitter */
};

/** row describes this incarnation. row->version is the version of the
 * instance's stored row that it replaces, 0 if there is none. */
struct lease *lease_create(const struct lease_config *config,
                           const struct member *row,
                           const struct lease_ops *ops, void *ctx);
void lease_destroy(struct lease *lease);

/**
 * Sends the renewals and starts the store operation that are due.
 *
 * @return the latest time of the next call.
 */
int64_t lease_tick(struct lease *lease, int64_t now_us);

/** Handles the reply to the renewal that was sent at sent_us. */
void lease_on_renew_reply(struct lease *lease,
                          const struct member_ref *guardian,
                          enum lease_renew_status status, int64_t sent_us);

/** Time since the first unanswered renewal to the guardian; 0 if the latest
 * was answered or if it is not a guardian. */
int64_t lease_unanswered_us(struct lease *lease,
                            const struct member_ref *guardian, int64_t now_us);

/** Replaces a guardian whose process is gone or leaving. */
void lease_on_guardian_gone(struct lease *lease,
                            const struct member_ref *guardian);

void lease_on_written(struct lease *lease, uint64_t txn_id,
                      enum store_outcome outcome, uint64_t version,
                      int64_t now_us);

/** row is NULL if the instance never had one; txn_id is the transaction that
 * wrote it. */
void lease_on_read(struct lease *lease, enum store_outcome outcome,
                   const struct member *row, uint64_t txn_id, int64_t now_us);

/** Handles a row of the instance that was not read by this lease. A newer
 * row that is fenced or another incarnation's ends the lease. */
void lease_on_row(struct lease *lease, const struct member *row,
                  int64_t now_us);

/** Ends the lease at once and permanently. */
void lease_end(struct lease *lease);

/** Changes the state in the row. MEMBER_LEFT ends the holding of the lease
 * at once, before the write. */
void lease_set_state(struct lease *lease, enum member_state state);

/** Changes the row's fields about the target, lease_us and renewal_max_us.
 * Other fields of the argument are ignored. */
void lease_set_attributes(struct lease *lease, const struct member *row);

/** Sets the longest random delay before a lost guardian is replaced while the
 * lease is not about to lapse. */
void lease_set_replacement_jitter(struct lease *lease,
                                  int64_t replacement_jitter_us);

enum lease_status lease_status(const struct lease *lease);

/** End of the lease; LEASE_NEVER_US if it was never held or has ended. */
int64_t lease_until_us(const struct lease *lease);

bool lease_is_held(const struct lease *lease, int64_t now_us);

/** The latest row known to be in the store, with its version. */
const struct member *lease_row(const struct lease *lease);

/** True if the latest row known to be in the store has this state. */
bool lease_in_state(const struct lease *lease, enum member_state state);

#endif
