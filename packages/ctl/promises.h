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
    PROMISE_KEPT,        /**< checked, nobody saw it broken, all answered */
    PROMISE_NOT_CHECKED, /**< the same, but there was no occasion */
    PROMISE_BROKEN,      /**< a daemon saw it broken */
    PROMISE_NOT_KNOWN,   /**< nobody saw it broken, but not all answered */
};

/** One promise over all daemons. */
struct promise {
    enum promise_verdict verdict;
    int64_t checks;     /**< also of daemons that ended and left totals */
    int64_t violations; /**< seen by the daemons that answer */
    int64_t recorded;   /**< violations in the audit trail */
    size_t silent;      /**< daemons that did not answer for it */
};

/** All promises. */
struct promises {
    struct promise list[INVARIANT_COUNT];
    size_t asked; /**< daemons */
    size_t ended; /**< daemons that left their totals when they stopped */
};

/** Adds the answers to DAEMON_PATH_PROMISES. */
void promises_add_answers(struct promises *promises,
                          const struct daemon_queries *queries);

/** Adds a row of the audit trail, if it is about promises. */
void promises_add_record(struct promises *promises, const json_t *value);

/** Decides the verdicts, after everything was added. */
void promises_decide(struct promises *promises);

const char *promise_verdict_name(enum promise_verdict verdict);

#endif
