/**
 * @file
 * The guardian of other members' leases: acknowledges renewals, and
 * certifies that it has stopped doing so. Its records are only in memory; a
 * restarted process is another incarnation and refuses.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_GUARDIAN_H
#define CHESTNUTGAP_MEMBERSHIP_GUARDIAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/timeunits.h"
#include "membership/leaserules.h"
#include "protocol/generated/lease.h"

/**
 * A record is kept this long after the last contact. Dropping its
 * certificate then is safe, since a holder whose lease lapsed longer ago than
 * LEASE_REGAIN_MAX_US never uses acknowledgements again.
 */
#define GUARDIAN_RETENTION_US (INT64_C(24) * 3600 * US_PER_SECOND)

struct guardian;

/** A guarded holder. */
struct guardian_holder {
    uint64_t holder;  /**< incarnation */
    uint64_t version; /**< highest version of its row that was seen */
    uint64_t certified_version; /**< highest, 0 if there is none */
    int64_t version_seen_us;    /**< when that version was first seen */
    int64_t last_ack_us;        /**< INT64_MIN if it never renewed */
    int64_t last_contact_us;    /**< last renewal or new version */
    int64_t acks_end_us;        /**< end of all acknowledged renewals */
    int64_t lease_us;           /**< length of its lease at that version */
};

/**
 * incarnation is the guardian's own. It certifies only after
 * certify_after_percent of the holder's lease_us without contact.
 */
struct guardian *guardian_create(uint64_t incarnation,
                                 unsigned certify_after_percent,
                                 const struct lease_rules *rules);
void guardian_destroy(struct guardian *guardian);

/** Handles a renewal. Leaves revision in the result 0. */
struct lease_renew_result guardian_renew(struct guardian *guardian,
                                         const struct lease_renew_args *args,
                                         int64_t now_us);

/**
 * Handles a request for a certificate. A given certificate is valid after
 * counts_in_us, and renewals of the holder up to that version are refused.
 */
struct lease_certify_result
guardian_certify(struct guardian *guardian,
                 const struct lease_certify_args *args, int64_t now_us);

/** Records a version of the holder's row, read or received. */
void guardian_record_version(struct guardian *guardian, uint64_t holder,
                             uint64_t version, int64_t lease_us,
                             int64_t now_us);

/** NULL if there is no record of that incarnation. */
const struct guardian_holder *guardian_find(const struct guardian *guardian,
                                            uint64_t holder);

/** Sets the last contact with all holders to now, after a pause of this
 * process in which it may have left renewals unhandled. */
void guardian_reset_contact_times(struct guardian *guardian, int64_t now_us);

/** Calls visit for each holder without contact for percent of its lease. */
void guardian_visit_unresponsive(
    const struct guardian *guardian, unsigned percent, int64_t now_us,
    void (*visit)(void *ctx, const struct guardian_holder *holder), void *ctx);

/** Deletes records without contact for GUARDIAN_RETENTION_US. */
void guardian_expire(struct guardian *guardian, int64_t now_us);

/** Number of records. */
size_t guardian_count(const struct guardian *guardian);

#endif
