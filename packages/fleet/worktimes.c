#include "fleet/worktimes.h"

#define WEIGHT 16 /* answers that the smoothed time remembers */

void
worktimes_note(struct worktimes *times, uint64_t route, int64_t took_us)
{
    struct worktimes_route *known = &times->routes[route % WORKTIMES_MAX];
    if (known->route != route) {
        *known = (struct worktimes_route){.route = route};
    }
    known->samples += known->samples < WEIGHT;
    known->usual_us += (took_us - known->usual_us) / (int64_t)known->samples;
}

int64_t
worktimes_usual_us(const struct worktimes *times, uint64_t route,
                   int64_t otherwise_us)
{
    const struct worktimes_route *known =
        &times->routes[route % WORKTIMES_MAX];
    return known->route == route && known->samples > 0 ? known->usual_us
                                                       : otherwise_us;
}
