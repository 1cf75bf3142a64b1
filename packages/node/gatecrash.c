#include "node/gatecrash.h"

#include "base/timeunits.h"

/* How long before the crash a cut request counts as a suspect. */
#define CUT_SUSPECT_US (1500 * US_PER_MS)
#define SUSPECT_REPORTS_MIN 2 /* crashes during which it ran */

void
gatecrash_record_cut(struct gatecrash *crash, uint64_t fingerprint,
                     int64_t now_us)
{
    crash->cuts[crash->next] = (struct gatecrash_cut){
        .fingerprint = fingerprint,
        .at_us = now_us,
    };
    crash->next = (crash->next + 1) % GATECRASH_CUTS_MAX;
}

void
gatecrash_add_suspect(struct gatecrash_suspects *suspects,
                      uint64_t fingerprint)
{
    if (suspects->count < GATECRASH_SUSPECTS_MAX) {
        suspects->fingerprints[suspects->count++] = fingerprint;
    }
}

void
gatecrash_add_cuts(struct gatecrash *crash,
                   struct gatecrash_suspects *suspects, int64_t now_us)
{
    for (size_t i = 0; i < GATECRASH_CUTS_MAX; i++) {
        struct gatecrash_cut *cut = &crash->cuts[i];
        if (cut->at_us > 0 && now_us - cut->at_us < CUT_SUSPECT_US) {
            gatecrash_add_suspect(suspects, cut->fingerprint);
        }
        cut->at_us = 0;
    }
}

bool
gatecrash_is_suspect(const struct instancetable *instancetable,
                     uint64_t fingerprint)
{
    return instancetable_crash_reporters(instancetable, fingerprint) >=
           SUSPECT_REPORTS_MIN;
}
