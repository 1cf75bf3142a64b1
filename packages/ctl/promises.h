/**
 * @file
 * Adds up what the daemons say about the promises that each of them checks.
 */
#ifndef CHESTNUTGAP_CTL_PROMISES_H
#define CHESTNUTGAP_CTL_PROMISES_H

#include <stdint.h>

#include "base/invariant.h"
#include "ctl/ctldaemon.h"

enum promise_verdict {
    PROMISE_KEPT,      /**< every daemon answered, none saw it broken */
    PROMISE_BROKEN,    /**< a daemon saw it broken */
    PROMISE_NOT_KNOWN, /**< none saw it broken, but not all answered */
};

/** One promise over all daemons. */
struct promise {
    enum promise_verdict verdict;
    int64_t checks;
    int64_t violations;
    size_t silent; /**< daemons that did not answer for it */
};

/** Adds up the answers to DAEMON_PATH_PROMISES. */
void promises_add_up(const struct daemon_queries *queries,
                     struct promise promises[INVARIANT_COUNT]);

const char *promise_verdict_name(enum promise_verdict verdict);

#endif
