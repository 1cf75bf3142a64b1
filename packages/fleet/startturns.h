/**
 * @file
 * Divides the starts of an overloaded target between priorities: one of six
 * goes to a less urgent request, so that none starves while more urgent ones
 * alone would fill the target.
 */
#ifndef CHESTNUTGAP_FLEET_STARTTURNS_H
#define CHESTNUTGAP_FLEET_STARTTURNS_H

#include <stdbool.h>

/** Zeroed at first. */
struct startturns {
    unsigned urgent; /**< starts since the last of a less urgent request */
};

/** True if the next start is a less urgent request's, if one waits. */
bool startturns_is_less_urgent(const struct startturns *turns);

/** A request started while others waited. */
void startturns_record(struct startturns *turns, bool less_urgent);

/** Number of starts before that of a request behind that many of its own
 * priority, if all the others are more urgent and never end. */
unsigned startturns_before(unsigned ahead);

#endif
