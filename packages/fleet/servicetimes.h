/**
 * @file
 * How long a target works on the requests of each route. Routes to one
 * service differ by far more than its targets do, so that one time for all
 * of them refuses short requests for the sake of long ones.
 */
#ifndef CHESTNUTGAP_FLEET_SERVICETIMES_H
#define CHESTNUTGAP_FLEET_SERVICETIMES_H

#include <stdint.h>

#define SERVICETIMES_ROUTES_MAX                                               \
    256 /* a route replaces another with its place */

struct servicetimes_route {
    uint64_t route;
    int64_t usual_us; /**< smoothed */
    unsigned samples;
};

/** Begins zeroed. */
struct servicetimes {
    struct servicetimes_route routes[SERVICETIMES_ROUTES_MAX];
};

/** A request of the route took this long at the target. */
void servicetimes_record(struct servicetimes *times, uint64_t route,
                         int64_t took_us);

/** The route's usual time, or otherwise_us if it is not known. */
int64_t servicetimes_mean_us(const struct servicetimes *times, uint64_t route,
                             int64_t otherwise_us);

#endif
