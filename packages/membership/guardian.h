/**
 * @file
 * The guardian of other members' leases: acknowledges renewals, and
 * certifies that it has stopped doing so. A guardian's record lives only in
 * its process; a restarted process is another incarnation and refuses.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_GUARDIAN_H
#define CHESTNUTGAP_MEMBERSHIP_GUARDIAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "membership/rules.h"
#include "protocol/generated/lease.h"

/**
 * A record is kept this long after the last contact. A holder whose lease
 * lapsed longer ago than LEASE_REGAIN_MAX_US never uses acknowledgements
 * again, so a certificate that is forgotten can't be missed.
 */
#define GUARDIAN_RETENTION_US (INT64_C(24) * 3600 * 1000000)

struct guardian;

/** How a holder stands with this guardian. */
struct guardian_holder {
    uint64_t holder;         /**< incarnation */
    uint64_t version;        /**< latest version of its row that was seen */
    uint64_t certified;      /**< highest certified version, or 0 */
    int64_t first_seen_us;   /**< first sight of that version */
    int64_t last_ack_us;     /**< INT64_MIN if it never renewed */
    int64_t last_contact_us; /**< last renewal or sight of a new version */
    int64_t acks_end_us;     /**< no acknowledged renewal lasts longer */
    int64_t lease_us;        /**< length of its lease at that version */
};

/**
 * incarnation is the guardian's own. A certificate is given only if nothing
 * was heard for a share of the lease: certify_after_percent of lease_us.
 */
struct guardian *guardian_create(uint64_t incarnation,
                                 unsigned certify_after_percent,
                                 const struct lease_rules *rules);
void guardian_destroy(struct guardian *guardian);

/** Answers a renewal. revision in the result is left 0. */
struct lease_renew_result guardian_renew(struct guardian *guardian,
                                         const struct lease_renew_args *args,
                                         int64_t now_us);

/**
 * Answers a request for a certificate. Once it is given, renewals of the
 * holder up to that version are refused, and the certificate counts when
 * counts_in_us have passed.
 */
struct lease_certify_result
guardian_certify(struct guardian *guardian,
                 const struct lease_certify_args *args, int64_t now_us);

/** Notes a version of the holder's row that was read or learnt. */
void guardian_record_version(struct guardian *guardian, uint64_t holder,
                             uint64_t version, int64_t lease_us,
                             int64_t now_us);

/** NULL if nothing is known of that incarnation. */
const struct guardian_holder *guardian_find(const struct guardian *guardian,
                                            uint64_t holder);

/** Counts the time without renewals anew, after this process stood still
 * and may not have handled what it received. */
void guardian_reset_contact_times(struct guardian *guardian, int64_t now_us);

/** Calls visit for each record that was quiet for that share of its lease. */
void guardian_visit_unresponsive(
    const struct guardian *guardian, unsigned percent, int64_t now_us,
    void (*visit)(void *ctx, const struct guardian_holder *record), void *ctx);

/** Drops records without contact for GUARDIAN_RETENTION_US. */
void guardian_expire(struct guardian *guardian, int64_t now_us);

/** Records that are kept. */
size_t guardian_count(const struct guardian *guardian);

#endif
