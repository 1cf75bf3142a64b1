/**
 * @file
 * The rules that make leases safe. Tests switch off each one to show that it
 * is needed; the daemon always uses lease_rules_all().
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_LEASERULES_H
#define CHESTNUTGAP_MEMBERSHIP_LEASERULES_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_DRIFT_PPM 10000 /* largest rate difference of two clocks */

/** Rules of holders, guardians and fences. */
struct lease_rules {
    /** A guardian that certified a row version refuses its renewals. */
    bool sticky_certificates;
    /** A certificate is valid only a lease's length after the guardian first
     * saw the version. */
    bool wait_from_first_sight;
    /** A new guardian set is joined by the earlier one until confirmed. */
    bool joint_guardians;
    /** The earlier set stops counting once the confirmation is sent. */
    bool confirm_ends_outgoing;
    /** Waits for times on another clock are extended by the drift. */
    bool drift_margin;
    /** Largest rate difference of two clocks, in parts per million. */
    int64_t drift_ppm;
};

static inline struct lease_rules
lease_rules_all(void)
{
    return (struct lease_rules){
        .sticky_certificates = true,
        .wait_from_first_sight = true,
        .joint_guardians = true,
        .confirm_ends_outgoing = true,
        .drift_margin = true,
        .drift_ppm = LEASE_DRIFT_PPM,
    };
}

/** The longest time on this clock in which duration_us passes on another. */
static inline int64_t
lease_rules_wait_us(const struct lease_rules *rules, int64_t duration_us)
{
    const int64_t million = 1000000;
    if (!rules->drift_margin) {
        return duration_us;
    }
    return duration_us +
           (duration_us * rules->drift_ppm + million - 1) / million;
}

#endif
