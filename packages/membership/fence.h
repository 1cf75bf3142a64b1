/**
 * @file
 * One attempt to fence a holder whose lease may have ended: reads its row,
 * collects proof, and writes the row as fenced if the row still has the
 * version that the proof is for.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_FENCE_H
#define CHESTNUTGAP_MEMBERSHIP_FENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "membership/leaserules.h"
#include "membership/member.h"
#include "protocol/generated/lease.h"
#include "store/store.h"

struct fence;

/** What proves that the holder's lease has ended. */
enum fence_proof {
    FENCE_NO_PROOF,
    FENCE_CERTIFICATES,       /**< of enough guardians of each set */
    FENCE_CONNECTION_REFUSED, /**< by the host: the process is gone */
    FENCE_DECLARED_LOST, /**< by operators; no guardian reports it alive */
    FENCE_OVERDUE,       /**< the row was not renewed for renewal_max_us */
};

enum fence_status {
    FENCE_RUNNING,
    FENCE_COMMITTED,  /**< this attempt fenced the holder */
    FENCE_NOT_NEEDED, /**< the row is another incarnation's or not live */
    FENCE_ALIVE,      /**< guardians still receive renewals */
    FENCE_TIMED_OUT,  /**< no proof, or the store unavailable */
};

/** Sends the attempt's messages and store operations. No function waits for
 * the reply. */
struct fence_ops {
    /** Requests a certificate. The reply, if any, goes to
     * fence_on_certify_reply() or fence_on_guardian_gone(). */
    void (*request_certificate)(void *ctx, struct fence *fence,
                                const struct member_ref *guardian);
    /** Reads the holder's row. The result goes to fence_on_read(). */
    void (*read)(void *ctx, struct fence *fence);
    /** Writes the fenced row if the stored one has row->version. The outcome
     * goes to fence_on_written(). */
    void (*write)(void *ctx, struct fence *fence, const struct member *row,
                  uint64_t txn_id);
};

struct fence_config {
    struct lease_rules rules;
    struct random_state *random; /**< for transaction ids */
};

struct fence *fence_create(const struct fence_config *config,
                           const struct member_ref *holder,
                           const struct fence_ops *ops, void *ctx,
                           int64_t now_us);
void fence_destroy(struct fence *fence);

/**
 * Sends the requests and starts the store operation that are due.
 *
 * @return the latest time of the next call.
 */
int64_t fence_tick(struct fence *fence, int64_t now_us);

/** first_seen_us is when this process first learnt the row's version. */
void fence_on_read(struct fence *fence, enum store_outcome outcome,
                   const struct member *row, uint64_t txn_id,
                   int64_t first_seen_us, int64_t now_us);

void fence_on_certify_reply(struct fence *fence,
                            const struct member_ref *guardian,
                            const struct lease_certify_result *result,
                            int64_t now_us);

/** The guardian's process is proved to be gone. This counts as a certificate
 * after a lease's length, since it acknowledges no more renewals. */
void fence_on_guardian_gone(struct fence *fence,
                            const struct member_ref *guardian, int64_t now_us);

/** The holder's host refused a connection to this incarnation's address. */
void fence_on_connection_refused(struct fence *fence);

/** Operators declared the instance lost. */
void fence_on_declared_lost(struct fence *fence, int64_t now_us);

void fence_on_written(struct fence *fence, enum store_outcome outcome,
                      uint64_t version, int64_t now_us);

enum fence_status fence_status(const struct fence *fence);
enum fence_proof fence_proof(const struct fence *fence);
const char *fence_proof_name(enum fence_proof proof);

const struct member_ref *fence_holder(const struct fence *fence);

/** The holder's row as read, or as written once it is fenced; NULL before. */
const struct member *fence_row(const struct fence *fence);

#endif
