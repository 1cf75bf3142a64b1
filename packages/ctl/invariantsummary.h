/**
 * @file
 * Adds up what the daemons say about the promises that each of them checks.
 */
#ifndef CHESTNUTGAP_CTL_INVARIANTSUMMARY_H
#define CHESTNUTGAP_CTL_INVARIANTSUMMARY_H

#include <stdint.h>

#include "base/invariant.h"
#include "ctl/ctldaemon.h"

enum invariant_verdict {
    VERDICT_HELD,        /**< checked, nobody saw it broken, all answered */
    VERDICT_NOT_CHECKED, /**< the same, but there was no occasion */
    VERDICT_VIOLATED,    /**< a daemon saw it broken */
    VERDICT_UNKNOWN,     /**< nobody saw it broken, but not all answered */
};

/** One promise over all daemons. */
struct invariantsummary_entry {
    enum invariant_verdict verdict;
    int64_t checks;      /**< also of daemons that ended and left totals */
    int64_t violations;  /**< seen by the daemons that answer */
    int64_t recorded;    /**< violations in the audit trail */
    size_t unresponsive; /**< daemons that did not answer for it */
};

/** All promises. */
struct invariantsummary {
    struct invariantsummary_entry entries[INVARIANT_COUNT];
    size_t daemon_count; /**< daemons */
    size_t
        stopped_count; /**< daemons that left their totals when they stopped */
};

/** Adds the answers to DAEMON_PATH_PROMISES. */
void invariantsummary_add_answers(struct invariantsummary *summary,
                                  const struct daemon_queries *queries);

/** Adds a row of the audit trail, if it is about promises. */
void invariantsummary_add_audit_row(struct invariantsummary *summary,
                                    const json_t *value);

/** Decides the verdicts, after everything was added. */
void invariantsummary_finish(struct invariantsummary *summary);

const char *invariant_verdict_name(enum invariant_verdict verdict);

#endif
