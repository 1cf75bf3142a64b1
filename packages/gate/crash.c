#include "gate/crash.h"

#include <string.h>

/* The target may close a single connection without crashing. */
#define CRASH_BURST_MIN 2

static void
crash_drop_old(struct crash_detector *crash, int64_t now_us)
{
    size_t old = 0;
    while (old < crash->count &&
           now_us - crash->cuts[old].at_us > CRASH_WINDOW_US) {
        old++;
    }
    if (old == 0 && crash->count == CRASH_CUTS_MAX) {
        old = 1;
    }
    crash->count -= old;
    memmove(&crash->cuts[0], &crash->cuts[old],
            crash->count * sizeof(crash->cuts[0]));
}

bool
crash_record_cut(struct crash_detector *crash, int64_t now_us,
                 uint64_t fingerprint, size_t in_flight)
{
    crash_drop_old(crash, now_us);
    crash->cuts[crash->count++] = (struct crash_cut){
        .fingerprint = fingerprint,
        .at_us = now_us,
    };
    if (in_flight > 0) {
        return false;
    }
    size_t burst = 0;
    for (size_t i = 0; i < crash->count; i++) {
        burst += now_us - crash->cuts[i].at_us <= CRASH_BURST_US;
    }
    return burst >= CRASH_BURST_MIN;
}

size_t
crash_take_fingerprints(struct crash_detector *crash, int64_t now_us,
                        uint64_t *fingerprints)
{
    crash_drop_old(crash, now_us);
    size_t taken = 0;
    for (size_t i = 0; i < crash->count; i++) {
        const uint64_t fingerprint = crash->cuts[i].fingerprint;
        size_t j = 0;
        while (j < taken && fingerprints[j] != fingerprint) {
            j++;
        }
        if (j == taken) {
            fingerprints[taken++] = fingerprint;
        }
    }
    crash->count = 0;
    return taken;
}
