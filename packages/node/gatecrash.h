/**
 * @file
 * Which requests may have stopped the target: those that ran when it ended,
 * and those whose connection was cut shortly before. What several instances
 * accuse runs apart from other suspects, so that the next end tells which of
 * them it was.
 */
#ifndef CHESTNUTGAP_NODE_GATECRASH_H
#define CHESTNUTGAP_NODE_GATECRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/instancetable.h"

#define GATECRASH_CUTS 32
/* So many requests at once may still be in the dark; with more, a crash
 * says nothing of each. */
#define GATECRASH_ACCUSED_MAX 24

/** A request whose connection was cut. */
struct gatecrash_cut {
    uint64_t fingerprint;
    int64_t at_us;
};

/** Begins zeroed. */
struct gatecrash {
    struct gatecrash_cut cuts[GATECRASH_CUTS];
    size_t next;
};

/** Fingerprints that one end of the target accuses. Begins zeroed. */
struct gatecrash_accused {
    uint64_t fingerprints[GATECRASH_ACCUSED_MAX];
    unsigned count;
};

void gatecrash_note_cut(struct gatecrash *crash, uint64_t fingerprint,
                        int64_t now_us);

/** Accuses what was cut lately, and forgets it. */
void gatecrash_accuse_cuts(struct gatecrash *crash,
                           struct gatecrash_accused *accused, int64_t now_us);

void gatecrash_accuse(struct gatecrash_accused *accused, uint64_t fingerprint);

/** True if the request must not run beside another suspect. */
bool gatecrash_is_suspect(const struct instancetable *instancetable,
                          uint64_t fingerprint);

#endif
