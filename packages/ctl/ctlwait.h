/**
 * @file
 * Waits until a revision is in force everywhere: each member that may hold a
 * lease says that it, or a newer one, is in force there.
 */
#ifndef CHESTNUTGAP_CTL_CTLWAIT_H
#define CHESTNUTGAP_CTL_CTLWAIT_H

#include "ctl/ctl.h"
#include "ctl/ctldaemon.h"

/** What the members say about a revision. */
struct in_force {
    size_t members;  /**< that may hold a lease */
    size_t current;  /**< of them, with the revision or a newer one */
    json_t *missing; /**< names of the others */
};

/** Counts the answers to DAEMON_PATH_STATUS. */
void in_force_count(const struct daemon_queries *queries, uint64_t revision,
                    struct in_force *result);

/**
 * Waits for the command's time, prints the result.
 *
 * @return CTL_OK, CTL_CHECK_FAILED if it is not in force in time, or a failure
 * to read the members.
 */
enum ctl_exit ctl_wait_in_force(struct ctl *ctl, uint64_t revision);

#endif
