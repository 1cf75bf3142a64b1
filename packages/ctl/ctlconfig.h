/**
 * @file
 * The accepted revisions of the declared state, as read from the store.
 */
#ifndef CHESTNUTGAP_CTL_CTLCONFIG_H
#define CHESTNUTGAP_CTL_CTLCONFIG_H

#include "ctl/ctl.h"
#include "state/revision.h"
#include "state/state.h"

/** A revision with its document. */
struct ctl_revision {
    struct revision_head head; /**< revision 0: nothing was applied yet */
    uint64_t head_version;     /**< of the head's row in the store */
    json_t *document;          /**< NULL if there is none */
    struct state *state;       /**< NULL if there is none */
};

/** Reads and checks a file. Problems are printed. */
enum ctl_exit ctl_load_state(struct ctl *ctl, const char *name,
                             json_t **document, struct state **state);

/** Reads the head's row. A failure is printed. */
enum ctl_exit ctl_read_head(struct ctl *ctl, struct revision_head *head,
                            uint64_t *version);

/** Reads the newest revision (0) or another one. A failure is printed. */
enum ctl_exit ctl_read_revision(struct ctl *ctl, uint64_t revision,
                                struct ctl_revision *result);
void ctl_revision_clear(struct ctl_revision *revision);

/** Like ctl_read_revision(), and fails if nothing was applied yet. */
enum ctl_exit ctl_read_applied(struct ctl *ctl, struct ctl_revision *result);

#endif
