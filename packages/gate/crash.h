/**
 * @file
 * Distinguishes a crash of the target from the loss of a single connection and
 * collects the requests that were in flight.
 */
#ifndef CHESTNUTGAP_GATE_CRASH_H
#define CHESTNUTGAP_GATE_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CRASH_CUTS_MAX 256 /* older ones are dropped */
/* Cuts within this time before a crash is detected are attributed to it. */
#define CRASH_WINDOW_US INT64_C(1000000)
/* If all connections are cut within this time, the target crashed. */
#define CRASH_BURST_US INT64_C(20000)

/** A request whose connection was cut while it was in flight. */
struct crash_cut {
    uint64_t fingerprint;
    int64_t at_us;
};

/** Initialise to zero. */
struct crash_detector {
    struct crash_cut cuts[CRASH_CUTS_MAX];
    size_t count;
};

/**
 * Records a cut.
 *
 * @param in_flight other requests still in flight
 * @return true if the target crashed: several requests were in flight and all
 * were cut within CRASH_BURST_US
 */
bool crash_record_cut(struct crash_detector *crash, int64_t now_us,
                      uint64_t fingerprint, size_t in_flight);

/**
 * Removes all recent cuts and writes their distinct fingerprints.
 *
 * @param fingerprints array of CRASH_CUTS_MAX
 * @return the number written
 */
size_t crash_take_fingerprints(struct crash_detector *crash, int64_t now_us,
                               uint64_t *fingerprints);

#endif
