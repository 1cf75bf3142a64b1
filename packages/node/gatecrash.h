/**
 * @file
 * Requests that may have crashed the target: those running when it ended, and
 * those whose connection was cut shortly before. A request reported after
 * several crashes does not run concurrently with another suspect, so that the
 * next crash shows which of them caused it.
 */
#ifndef CHESTNUTGAP_NODE_GATECRASH_H
#define CHESTNUTGAP_NODE_GATECRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/instancetable.h"

#define GATECRASH_CUTS_MAX 32
/* With more requests running, a crash indicates none of them in particular. */
#define GATECRASH_SUSPECTS_MAX 24

/** A request whose connection was cut. */
struct gatecrash_cut {
    uint64_t fingerprint;
    int64_t at_us;
};

/** The latest cuts. Initialise with zeros. */
struct gatecrash {
    struct gatecrash_cut cuts[GATECRASH_CUTS_MAX];
    size_t next;
};

/** Fingerprints of the suspects of one crash. Initialise with zeros. */
struct gatecrash_suspects {
    uint64_t fingerprints[GATECRASH_SUSPECTS_MAX];
    unsigned count;
};

void gatecrash_record_cut(struct gatecrash *crash, uint64_t fingerprint,
                          int64_t now_us);

/** Adds the requests that were cut recently, and clears all cuts. */
void gatecrash_add_cuts(struct gatecrash *crash,
                        struct gatecrash_suspects *suspects, int64_t now_us);

void gatecrash_add_suspect(struct gatecrash_suspects *suspects,
                           uint64_t fingerprint);

/** True if enough crashes were reported for the request: it must not run
 * concurrently with another suspect. */
bool gatecrash_is_suspect(const struct instancetable *instancetable,
                          uint64_t fingerprint);

#endif
