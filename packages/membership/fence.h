/**
 * @file
 * One attempt to fence a holder whose lease is thought to have ended: reads
 * its row, gathers proof, and writes the row as fenced if it still has the
 * version that the proof is about.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_FENCE_H
#define CHESTNUTGAP_MEMBERSHIP_FENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "membership/member.h"
#include "membership/rules.h"
#include "protocol/generated/lease.h"
#include "store/store.h"

struct fence;

/** What proves that the holder's lease has ended. */
enum fence_proof {
    FENCE_NO_PROOF,
    FENCE_CERTIFICATES,       /**< of enough guardians of each set */
    FENCE_CONNECTION_REFUSED, /**< the holder's host says its process is gone
                               */
    FENCE_DECLARED_LOST,      /**< by operators; no guardian contradicts */
    FENCE_OVERDUE,            /**< the row was not renewed in the store */
};

enum fence_status {
    FENCE_RUNNING,
    FENCE_COMMITTED,  /**< this attempt fenced the holder */
    FENCE_NOT_NEEDED, /**< the row is not this incarnation's or not live */
    FENCE_ALIVE,      /**< guardians still hear of the holder */
    FENCE_TIMED_OUT,  /**< no proof or no store in time */
};

/** What the attempt sends. Each call returns before any answer. */
struct fence_ops {
    /** Asks for a certificate; answered by fence_on_certificate(),
     * fence_on_guardian_gone(), or never. */
    void (*request_certificate)(void *ctx, struct fence *fence,
                                const struct member_ref *guardian);
    /** Reads the holder's row; answered by fence_on_read(). */
    void (*read)(void *ctx, struct fence *fence);
    /** Writes the fenced row if the row has row->version; answered by
     * fence_on_written(). */
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
 * Sends what is due.
 *
 * @return when to call again at the latest.
 */
int64_t fence_tick(struct fence *fence, int64_t now_us);

/** first_seen_us is when this process first knew the row's version. */
void fence_on_read(struct fence *fence, enum store_outcome outcome,
                   const struct member *row, uint64_t txn_id,
                   int64_t first_seen_us, int64_t now_us);

void fence_on_certificate(struct fence *fence,
                          const struct member_ref *guardian,
                          const struct lease_certify_result *result,
                          int64_t now_us);

/** The guardian's process is proved to be gone, so that it acknowledges
 * nothing from now on. */
void fence_on_guardian_gone(struct fence *fence,
                            const struct member_ref *guardian, int64_t now_us);

/** The holder's host connection_refused a connection to this incarnation's
 * address. */
void fence_on_holder_refused(struct fence *fence);

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
