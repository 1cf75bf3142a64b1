/**
 * @file
 * Reads the audit trail from the store.
 */
#ifndef CHESTNUTGAP_CTL_CTLAUDIT_H
#define CHESTNUTGAP_CTL_CTLAUDIT_H

#include "ctl/ctl.h"

/** Rows of the last since_s seconds. Prints errors. */
enum ctl_exit ctl_read_audit(struct ctl *ctl, int64_t since_s,
                             struct ctl_rows *rows);

#endif
