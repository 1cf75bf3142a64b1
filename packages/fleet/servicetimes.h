/**
 * @file
 * Smoothed service time of each route at one target. Routes of a service
 * differ far more than its targets do: a single time for all routes would
 * refuse short requests because of long ones.
 */
#ifndef CHESTNUTGAP_FLEET_SERVICETIMES_H
#define CHESTNUTGAP_FLEET_SERVICETIMES_H

#include <stdint.h>

#define SERVICETIMES_ROUTES_MAX 256 /* colliding routes replace each other */

struct servicetimes_route {
    uint64_t route;
    int64_t mean_us; /**< smoothed */
    unsigned samples;
};

/** Initialise with zeros. */
struct servicetimes {
    struct servicetimes_route routes[SERVICETIMES_ROUTES_MAX];
};

void servicetimes_record(struct servicetimes *times, uint64_t route,
                         int64_t took_us);

/** The route's mean service time, or default_us if none is known. */
int64_t servicetimes_mean_us(const struct servicetimes *times, uint64_t route,
                             int64_t default_us);

#endif
