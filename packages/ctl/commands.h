/**
 * @file
 * Commands of chestnutgapctl. Each prints its result and returns the exit
 * code.
 */
#ifndef CHESTNUTGAP_CTL_COMMANDS_H
#define CHESTNUTGAP_CTL_COMMANDS_H

#include "ctl/ctl.h"

enum ctl_exit command_check(struct ctl *ctl);
enum ctl_exit command_diff(struct ctl *ctl);
enum ctl_exit command_apply(struct ctl *ctl);
enum ctl_exit command_get(struct ctl *ctl);
enum ctl_exit command_status(struct ctl *ctl);
enum ctl_exit command_owners(struct ctl *ctl);
enum ctl_exit command_members(struct ctl *ctl);
enum ctl_exit command_audit(struct ctl *ctl);
enum ctl_exit command_explain(struct ctl *ctl);
/** Prints the timeline of a request id, or of key=N, from log lines. */
enum ctl_exit command_explain_log(struct ctl *ctl);
enum ctl_exit command_promises(struct ctl *ctl);
enum ctl_exit command_suspects(struct ctl *ctl);
enum ctl_exit command_entries(struct ctl *ctl);

#endif
