/**
 * @file
 * The audit trail as read from the store.
 */
#ifndef CHESTNUTGAP_CTL_CTLAUDIT_H
#define CHESTNUTGAP_CTL_CTLAUDIT_H

#include "ctl/ctl.h"

/** Rows of the last since_s seconds. A failure is printed. */
enum ctl_exit ctl_read_audit(struct ctl *ctl, int64_t since_s,
                             struct ctl_rows *rows);

#endif
