/**
 * @file
 * Reads the accepted revisions of the declared state from the store.
 */
#ifndef CHESTNUTGAP_CTL_CTLCONFIG_H
#define CHESTNUTGAP_CTL_CTLCONFIG_H

#include "ctl/ctl.h"
#include "state/revision.h"
#include "state/state.h"

/** A revision with its document. */
struct ctl_revision {
    struct revision_head head; /**< revision 0: none applied yet */
    uint64_t head_version;     /**< row version of the head */
    json_t *document;          /**< NULL if there is none */
    struct state *state;       /**< NULL if there is none */
};

/** Loads and validates a file. Prints problems. */
enum ctl_exit ctl_load_state(struct ctl *ctl, const char *name,
                             json_t **document, struct state **state);

/** Requires a store and loads the file that the first argument names. */
enum ctl_exit ctl_load_argument(struct ctl *ctl, json_t **document,
                                struct state **state);

/** Reads the head's row. Prints errors. */
enum ctl_exit ctl_read_head(struct ctl *ctl, struct revision_head *head,
                            uint64_t *version);

/** Reads a revision; 0 is the newest. Prints errors. */
enum ctl_exit ctl_read_revision(struct ctl *ctl, uint64_t revision,
                                struct ctl_revision *result);
void ctl_revision_clear(struct ctl_revision *revision);

/** Reads the newest revision; fails if none was applied yet. */
enum ctl_exit ctl_read_applied(struct ctl *ctl, struct ctl_revision *result);

#endif
