/**
 * @file
 * Summarizes the invariant checks of all daemons.
 */
#ifndef CHESTNUTGAP_CTL_INVARIANTSUMMARY_H
#define CHESTNUTGAP_CTL_INVARIANTSUMMARY_H

#include <stdint.h>

#include "base/invariant.h"
#include "ctl/ctldaemon.h"

enum invariant_verdict {
    VERDICT_HELD,        /**< checked, no violation, all answered */
    VERDICT_NOT_CHECKED, /**< the same, but there were no checks */
    VERDICT_VIOLATED,    /**< a daemon reported or recorded a violation */
    VERDICT_UNKNOWN,     /**< no violation, but not all answered */
};

/** One invariant over all daemons. */
struct invariantsummary_entry {
    enum invariant_verdict verdict;
    int64_t checks;      /**< including the totals of stopped daemons */
    int64_t violations;  /**< reported by the daemons that answered */
    int64_t recorded;    /**< violations in the audit trail */
    size_t unresponsive; /**< daemons without an answer for it */
};

struct invariantsummary {
    struct invariantsummary_entry entries[INVARIANT_COUNT];
    size_t daemon_count;  /**< daemons queried */
    size_t stopped_count; /**< daemons that stopped and left totals */
};

/** Adds the answers to DAEMON_PATH_PROMISES. */
void invariantsummary_add_answers(struct invariantsummary *summary,
                                  const struct daemon_queries *queries);

/** Adds an audit row; ignores rows that are not about invariants. */
void invariantsummary_add_audit_row(struct invariantsummary *summary,
                                    const json_t *value);

/** Sets the verdicts, after everything was added. */
void invariantsummary_finish(struct invariantsummary *summary);

const char *invariant_verdict_name(enum invariant_verdict verdict);

#endif
