/**
 * @file
 * The rules that make leases safe, each of which can be switched off by a
 * test of its need. The program always uses lease_rules_all().
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_RULES_H
#define CHESTNUTGAP_MEMBERSHIP_RULES_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_DRIFT_PPM 10000 /* most that two clocks differ in rate */

/** Rules of holders, guardians and fences. */
struct lease_rules {
    /** A guardian that has certified refuses renewals of that version. */
    bool sticky_certificates;
    /** A certificate waits a lease from the first sight of the version. */
    bool wait_from_first_sight;
    /** A new set of guardians goes with the earlier one until confirmed. */
    bool joint_guardians;
    /** The earlier set no longer counts once a confirmation is sent. */
    bool confirm_ends_outgoing;
    /** Waits on another clock are longer by the drift. */
    bool drift_margin;
    /** Most that the rates of two clocks differ, in parts per million. */
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

/** A duration on another clock, as long as this clock may have to wait. */
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
