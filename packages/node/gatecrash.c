#include "node/gatecrash.h"

#include "base/runtime.h"

/* A request that was cut so lately may have stopped the target. */
#define CUT_ACCUSED_US (1500 * US_PER_MS)
#define SUSPECT_MIN 2 /* ends of targets during which it ran */

void
gatecrash_note_cut(struct gatecrash *crash, uint64_t fingerprint,
                   int64_t now_us)
{
    crash->cuts[crash->next] = (struct gatecrash_cut){
        .fingerprint = fingerprint,
        .at_us = now_us,
    };
    crash->next = (crash->next + 1) % GATECRASH_CUTS;
}

void
gatecrash_accuse(struct gatecrash_accused *accused, uint64_t fingerprint)
{
    if (accused->count < GATECRASH_ACCUSED_MAX) {
        accused->fingerprints[accused->count++] = fingerprint;
    }
}

void
gatecrash_accuse_cuts(struct gatecrash *crash,
                      struct gatecrash_accused *accused, int64_t now_us)
{
    for (size_t i = 0; i < GATECRASH_CUTS; i++) {
        struct gatecrash_cut *cut = &crash->cuts[i];
        if (cut->at_us > 0 && now_us - cut->at_us < CUT_ACCUSED_US) {
            gatecrash_accuse(accused, cut->fingerprint);
        }
        cut->at_us = 0;
    }
}

bool
gatecrash_is_suspect(const struct instancetable *instancetable,
                     uint64_t fingerprint)
{
    return instancetable_crash_reporters(instancetable, fingerprint) >=
           SUSPECT_MIN;
}
