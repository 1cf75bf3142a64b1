#include "node/gatecrash.h"

#include "base/runtime.h"

/* A request that was cut so lately may have stopped the target. */
#define CUT_ACCUSED_US (1500 * US_PER_MS)
#define SUSPECT_MIN 2 /* ends of targets during which it ran */

void
gatecrash_record_cut(struct gatecrash *crash, uint64_t fingerprint,
                     int64_t now_us)
{
    crash->cuts[crash->next] = (struct gatecrash_cut){
        .fingerprint = fingerprint,
        .at_us = now_us,
    };
    crash->next = (crash->next + 1) % GATECRASH_CUTS;
}

void
gatecrash_add_suspect(struct gatecrash_suspects *accused, uint64_t fingerprint)
{
    if (accused->count < GATECRASH_SUSPECTS_MAX) {
        accused->fingerprints[accused->count++] = fingerprint;
    }
}

void
gatecrash_add_cuts(struct gatecrash *crash, struct gatecrash_suspects *accused,
                   int64_t now_us)
{
    for (size_t i = 0; i < GATECRASH_CUTS; i++) {
        struct gatecrash_cut *cut = &crash->cuts[i];
        if (cut->at_us > 0 && now_us - cut->at_us < CUT_ACCUSED_US) {
            gatecrash_add_suspect(accused, cut->fingerprint);
        }
        cut->at_us = 0;
    }
}

bool
gatecrash_is_suspect(const struct roster *roster, uint64_t fingerprint)
{
    return roster_accusers(roster, fingerprint) >= SUSPECT_MIN;
}
