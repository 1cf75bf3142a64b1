/**
 * @file
 * Waits until every member that may hold a lease reports that a revision, or a
 * newer one, is in force.
 */
#ifndef CHESTNUTGAP_CTL_CTLWAIT_H
#define CHESTNUTGAP_CTL_CTLWAIT_H

#include "ctl/ctl.h"
#include "ctl/ctldaemon.h"

/** Where a revision is in force. */
struct in_force {
    size_t members;  /**< that may hold a lease */
    size_t current;  /**< of those, with the revision or a newer one */
    json_t *missing; /**< names of the others */
};

/** Evaluates the answers to DAEMON_PATH_STATUS. */
void in_force_count(const struct daemon_queries *queries, uint64_t revision,
                    struct in_force *result);

/**
 * Waits at most until the command's deadline and prints the result.
 *
 * @return CTL_OK, CTL_CHECK_FAILED if it is not in force in time, or a failure
 * to read the members.
 */
enum ctl_exit ctl_wait_in_force(struct ctl *ctl, uint64_t revision);

#endif
