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

#include "fleet/roster.h"

#define GATECRASH_CUTS 32
/* So many requests at once may still be in the dark; with more, a crash
 * says nothing of each. */
#define GATECRASH_SUSPECTS_MAX 24

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
struct gatecrash_suspects {
    uint64_t fingerprints[GATECRASH_SUSPECTS_MAX];
    unsigned count;
};

void gatecrash_record_cut(struct gatecrash *crash, uint64_t fingerprint,
                          int64_t now_us);

/** Accuses what was cut lately, and forgets it. */
void gatecrash_add_cuts(struct gatecrash *crash,
                        struct gatecrash_suspects *accused, int64_t now_us);

void gatecrash_add_suspect(struct gatecrash_suspects *accused,
                           uint64_t fingerprint);

/** True if the request must not run beside another suspect. */
bool gatecrash_is_suspect(const struct roster *roster, uint64_t fingerprint);

#endif
