#include "fleet/servicetimes.h"

#define SAMPLES_MAX 16 /* a new answer has the weight 1/16 */

void
servicetimes_record(struct servicetimes *times, uint64_t route,
                    int64_t took_us)
{
    struct servicetimes_route *known =
        &times->routes[route % SERVICETIMES_ROUTES_MAX];
    if (known->route != route) {
        *known = (struct servicetimes_route){.route = route};
    }
    known->samples += known->samples < SAMPLES_MAX;
    known->mean_us += (took_us - known->mean_us) / (int64_t)known->samples;
}

int64_t
servicetimes_mean_us(const struct servicetimes *times, uint64_t route,
                     int64_t default_us)
{
    const struct servicetimes_route *known =
        &times->routes[route % SERVICETIMES_ROUTES_MAX];
    return known->route == route && known->samples > 0 ? known->mean_us
                                                       : default_us;
}
