/**
 * @file
 * How long a target works on the requests of each route. Routes to one
 * service differ by far more than its targets do, so that one time for all
 * of them refuses short requests for the sake of long ones.
 */
#ifndef CHESTNUTGAP_FLEET_WORKTIMES_H
#define CHESTNUTGAP_FLEET_WORKTIMES_H

#include <stdint.h>

#define WORKTIMES_MAX 256 /* a route replaces another with its place */

struct worktimes_route {
    uint64_t route;
    int64_t usual_us; /**< smoothed */
    unsigned samples;
};

/** Begins zeroed. */
struct worktimes {
    struct worktimes_route routes[WORKTIMES_MAX];
};

/** A request of the route took this long at the target. */
void worktimes_note(struct worktimes *times, uint64_t route, int64_t took_us);

/** The route's usual time, or otherwise_us if it is not known. */
int64_t worktimes_usual_us(const struct worktimes *times, uint64_t route,
                           int64_t otherwise_us);

#endif
