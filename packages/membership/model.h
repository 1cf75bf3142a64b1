/**
 * @file
 * A randomised model of one holder, its guardians and those that fence it:
 * the decision units on clocks of their own, with seeded faults of processes,
 * network and store. Used by tests, the soak program and measurements.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MODEL_H
#define CHESTNUTGAP_MEMBERSHIP_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "membership/rules.h"

/** One run. */
struct model_config {
    uint64_t seed;
    struct lease_rules rules;
    int64_t faults_us;   /**< time with faults; then all of them end */
    int64_t recovery_us; /**< time after that */
    int64_t drift_ppm;   /**< most that a clock's rate is off */
    int64_t lease_us;
    int64_t renewal_max_us;
    /** Faults and certificates of live holders; false for a quiet run. */
    bool adverse;
    unsigned loss_percent; /**< of messages, all the time */
    /** If positive, the holder's process ends at this time... */
    int64_t kill_us;
    /** ...and its host does not answer either. */
    bool kill_host;
    /** If positive, the holder stands still from kill_us for this long. */
    int64_t pause_us;
    /** A guardian's process ends at kill_us, in place of the holder's. */
    bool kill_guardian;
    /** If positive, the store is down from this time on. */
    int64_t store_down_us;
};

/** What came of a run. */
struct model_result {
    bool violated;          /**< somebody held the lease after its end */
    int64_t violated_us;    /**< when, since the start */
    bool recovered;         /**< the holder holds its lease at the end */
    int64_t fences;         /**< committed */
    int64_t writes;         /**< of the holder's row, committed */
    int64_t store_calls;    /**< writes and reads sent to the store */
    int64_t lapses;         /**< times that the lease lapsed */
    int64_t regains;        /**< lapses that ended without a fence */
    int64_t renewals;       /**< renewals that arrived at a guardian */
    int64_t faults;         /**< faults that were started */
    int64_t first_fence_us; /**< when the first fence was committed, or 0 */
    int64_t held_until_us;  /**< end of the lease at the kill or pause */
};

/** Configuration of an adverse run. */
struct model_config model_adverse(uint64_t seed);

/** Configuration of a run without faults, with clocks 0.1% off. */
struct model_config model_fault_free(uint64_t seed);

struct model_result model_run(const struct model_config *config);

#endif
