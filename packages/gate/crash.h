/**
 * @file
 * Tells a crash of the target from the loss of a single connection, and
 * collects the requests that were in flight.
 */
#ifndef CHESTNUTGAP_GATE_CRASH_H
#define CHESTNUTGAP_GATE_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CRASH_CUTS_MAX 256 /* cut requests remembered */
/* Cuts this long before a crash was noticed belong to it. */
#define CRASH_WINDOW_US INT64_C(1000000)
/* Cuts of all connections within this time are a crash by themselves. */
#define CRASH_BURST_US INT64_C(20000)

/** A request whose connection was cut while it ran. */
struct crash_cut {
    uint64_t fingerprint;
    int64_t at_us;
};

/** Recent cuts. All-zero is empty. */
struct crash_detector {
    struct crash_cut cuts[CRASH_CUTS_MAX];
    size_t count;
};

/**
 * Records a cut.
 *
 * @param left requests still in flight.
 * @return true if this completes a crash: several requests were in flight
 * and all were cut at nearly the same time.
 */
bool crash_record_cut(struct crash_detector *crash, int64_t now_us,
                      uint64_t fingerprint, size_t in_flight);

/**
 * Takes the fingerprints of all recent cuts, each once.
 *
 * @return the number written to fingerprints (CRASH_CUTS_MAX places).
 */
size_t crash_take_fingerprints(struct crash_detector *crash, int64_t now_us,
                               uint64_t *fingerprints);

#endif
