/**
 * @file
 * When keys that nobody has ever owned are assigned. Instances that start at
 * the same time learn of each other within seconds; the first plan waits until
 * they are known, so that all of them get their share. A plan that is made too
 * early gives every key to the only instance that it knows.
 */
#ifndef CHESTNUTGAP_FLEET_FIRSTPLAN_H
#define CHESTNUTGAP_FLEET_FIRSTPLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/runtime.h"

/** No instance must have appeared for this long. Rows
 * of other instances arrive with reads of the store that wait up to 1 s. */
#define FIRSTPLAN_QUIET_US (2 * US_PER_SECOND)
/** Longest wait. */
#define FIRSTPLAN_WAIT_MAX_US (5 * US_PER_SECOND)

struct firstplan {
    size_t instances; /**< the most that were known at the same time */
    int64_t begun_us;
    int64_t appeared_us; /**< the latest of them */
};

void firstplan_init(struct firstplan *plan, int64_t now_us);

/** Records how many instances of the service are known now. */
void firstplan_observe(struct firstplan *plan, size_t instances,
                       int64_t now_us);

/** True if the keys may be assigned. */
bool firstplan_is_due(const struct firstplan *plan, int64_t now_us);

#endif
