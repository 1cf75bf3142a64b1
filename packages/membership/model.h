/**
 * @file
 * A randomised simulation of one holder and its guardians, which also fence
 * it: the real decision code, each node on its own clock, with seeded faults
 * of processes, network and store. Used by tests, lease_soak and bench_lease.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MODEL_H
#define CHESTNUTGAP_MEMBERSHIP_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "membership/leaserules.h"

/** One run. */
struct model_config {
    uint64_t seed;
    struct lease_rules rules;
    int64_t faults_us;   /**< time with faults; then all of them end */
    int64_t recovery_us; /**< time without faults after that */
    int64_t drift_ppm;   /**< largest error of a clock's rate */
    int64_t lease_us;
    int64_t renewal_max_us;
    /** With random faults and random attempts to fence a live holder. */
    bool random_faults;
    unsigned loss_percent; /**< of messages, during the whole run */
    /** If positive, the holder's process is killed at this time. */
    int64_t kill_us;
    /** The holder's host goes down with its process. */
    bool kill_host;
    /** If positive, the holder is not killed but paused for this long. */
    int64_t pause_us;
    /** A guardian's process is restarted at kill_us instead. */
    bool kill_guardian;
    /** If positive, the store is down from this time on. */
    int64_t store_down_us;
};

/** Results of a run. */
struct model_result {
    bool violated;          /**< the lease was held without a live row */
    int64_t violated_us;    /**< time of that since the start */
    bool recovered;         /**< the holder holds its lease at the end */
    int64_t fences;         /**< committed */
    int64_t writes;         /**< of the holder's row, committed */
    int64_t store_calls;    /**< writes and reads sent to the store */
    int64_t lapses;         /**< of the lease */
    int64_t regains;        /**< lapses that ended without a fence */
    int64_t renewals;       /**< renewals that arrived at a guardian */
    int64_t faults;         /**< injected faults */
    int64_t first_fence_us; /**< time of the first committed fence, or 0 */
    int64_t held_until_us;  /**< end of the lease at the kill or pause */
};

/** Configuration of a run with random faults and clocks up to 15% off. */
struct model_config model_random_faults(uint64_t seed);

/** Configuration of a run without random faults, with clocks up to 0.1%
 * off. */
struct model_config model_fault_free(uint64_t seed);

struct model_result model_run(const struct model_config *config);

#endif
