/**
 * @file
 * Counts the targets that one request may have reached, and limits them to
 * what its route allows. An attempt counts from the moment it is sent until it
 * is certain that no target received it.
 */
#ifndef CHESTNUTGAP_FLEET_ATTEMPTLIMIT_H
#define CHESTNUTGAP_FLEET_ATTEMPTLIMIT_H

#include <stdbool.h>

struct attemptlimit {
    unsigned max;     /**< targets that the route allows */
    unsigned pending; /**< attempts without an outcome */
    unsigned reached; /**< ended attempts that a target may have received */
};

void attemptlimit_init(struct attemptlimit *limit, unsigned max);

/** Whether the request may be sent to one more target. */
bool attemptlimit_allows(const struct attemptlimit *limit);

void attemptlimit_begin(struct attemptlimit *limit);

/** An attempt has ended. may_have_reached: it is not certain that no target
 * received it. */
void attemptlimit_end(struct attemptlimit *limit, bool may_have_reached);

#endif
