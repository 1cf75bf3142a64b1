/**
 * @file
 * The holder of a lease: decides when to renew with which guardian, when to
 * write its members row, and until when the lease is held.
 *
 * The lease is held until the latest of
 * - for each set of guardians that counts: the second-latest send time of
 *   an acknowledged renewal, plus the lease's length (for a set of three);
 * - the send time of a committed write of the row, plus the lease's length;
 * but never longer than renewal_max_us after the latest such write. Without
 * any guardian it is held for renewal_max_us.
 *
 * A set counts if a fence would need its certificates, whichever of the
 * writes with an unknown outcome took effect.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_LEASE_H
#define CHESTNUTGAP_MEMBERSHIP_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "membership/member.h"
#include "membership/rules.h"
#include "protocol/generated/lease.h"
#include "store/store.h"

/** A lease that lapsed longer ago than this is regained only by a write. */
#define LEASE_REGAIN_MAX_US (INT64_C(3600) * 1000000)

#define LEASE_NEVER_US INT64_MIN

struct lease;

enum lease_status {
    LEASE_UNREGISTERED, /**< the first write of the row is not known */
    LEASE_REGISTERED,   /**< the row is ours; see lease_until_us() */
    LEASE_ENDED,        /**< fenced, replaced or left; never held again */
};

/** Why a row is written. */
enum lease_reason {
    LEASE_REASON_JOIN,
    LEASE_REASON_STATE,       /**< state or abilities changed */
    LEASE_REASON_REESTABLISH, /**< the lease was about to lapse */
    LEASE_REASON_GUARDIANS,   /**< a guardian is replaced or added */
    LEASE_REASON_CONFIRM,     /**< the earlier guardians are dismissed */
    LEASE_REASON_RENEW,       /**< renewal_max_us is half over */
};

/** What the holder sends. Each call returns before any answer. */
struct lease_ops {
    /** Sends a renewal; answered by lease_on_renewed(), or never. */
    void (*renew)(void *ctx, const struct member_ref *guardian,
                  uint64_t version, int64_t sent_us);
    /** Writes the row if it has row->version; answered by
     * lease_on_written(). */
    void (*write)(void *ctx, const struct member *row, uint64_t txn_id,
                  enum lease_reason reason);
    /** Reads the row; answered by lease_on_read(). */
    void (*read)(void *ctx);
    /** Adds guardians to chosen, which has those to keep. Those to avoid are
     * taken only if there is no other member. */
    void (*choose)(void *ctx, const struct member_ref *avoid,
                   size_t avoid_count, struct guardian_set *chosen);
};

struct lease_config {
    struct lease_rules rules;
    struct random_state *random; /**< for transaction ids and jitter */
};

/** row describes this incarnation; row->version is the version of the
 * instance's row that it replaces, 0 if there is none. */
struct lease *lease_create(const struct lease_config *config,
                           const struct member *row,
                           const struct lease_ops *ops, void *ctx);
void lease_destroy(struct lease *lease);

/**
 * Sends what is due.
 *
 * @return when to call again at the latest.
 */
int64_t lease_tick(struct lease *lease, int64_t now_us);

/** The guardian answered the renewal that was sent at sent_us. */
void lease_on_renewed(struct lease *lease, const struct member_ref *guardian,
                      enum lease_renew_status status, int64_t sent_us);

/** How long renewals sent to the guardian have not been answered; 0 if the
 * latest was, or if it is no guardian. */
int64_t lease_unanswered_us(struct lease *lease,
                            const struct member_ref *guardian, int64_t now_us);

/** The guardian's process is gone or leaving, so it is replaced. */
void lease_on_guardian_gone(struct lease *lease,
                            const struct member_ref *guardian);

void lease_on_written(struct lease *lease, uint64_t txn_id,
                      enum store_outcome outcome, uint64_t version,
                      int64_t now_us);

/** row is NULL if the instance never had one; txn_id wrote it. */
void lease_on_read(struct lease *lease, enum store_outcome outcome,
                   const struct member *row, uint64_t txn_id, int64_t now_us);

/** Notes a row of the instance that was learnt in another way. It ends the
 * lease if it is later and not this incarnation's, or fenced. */
void lease_on_row(struct lease *lease, const struct member *row,
                  int64_t now_us);

/** Ends the lease for good, before its time. */
void lease_end(struct lease *lease);

/** Changes the state in the row. Once MEMBER_LEFT is asked for, the lease is
 * not held any more. */
void lease_set_state(struct lease *lease, enum member_state state);

/** Changes what the row says about the target, and the lease's lengths. */
void lease_set_attributes(struct lease *lease, const struct member *row);

/** A guardian that is lost while the lease is safe is replaced after a
 * random part of replacement_jitter_us. */
void lease_set_replacement_jitter(struct lease *lease,
                                  int64_t replacement_jitter_us);

enum lease_status lease_status(const struct lease *lease);

/** End of the lease; LEASE_NEVER_US if it is not held at all. */
int64_t lease_until_us(const struct lease *lease);

bool lease_is_held(const struct lease *lease, int64_t now_us);

/** The row as last known, with its version. */
const struct member *lease_row(const struct lease *lease);

/** True if the member's row in the store has this state. */
bool lease_in_state(const struct lease *lease, enum member_state state);

#endif
