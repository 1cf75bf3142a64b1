#include "fleet/servicetimes.h"

#define WEIGHT 16 /* answers that the smoothed time remembers */

void
servicetimes_record(struct servicetimes *times, uint64_t route,
                    int64_t took_us)
{
    struct servicetimes_route *known =
        &times->routes[route % SERVICETIMES_ROUTES_MAX];
    if (known->route != route) {
        *known = (struct servicetimes_route){.route = route};
    }
    known->samples += known->samples < WEIGHT;
    known->usual_us += (took_us - known->usual_us) / (int64_t)known->samples;
}

int64_t
servicetimes_mean_us(const struct servicetimes *times, uint64_t route,
                     int64_t otherwise_us)
{
    const struct servicetimes_route *known =
        &times->routes[route % SERVICETIMES_ROUTES_MAX];
    return known->route == route && known->samples > 0 ? known->usual_us
                                                       : otherwise_us;
}
