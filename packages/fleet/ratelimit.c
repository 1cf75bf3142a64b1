#include "fleet/ratelimit.h"

#include "base/timeunits.h"

#define BURST_US (250 * US_PER_MS) /* starts of that time may come at once */
/* Demand is counted in the time that its starts take at the limit. */
#define SATURATED_US (500 * US_PER_MS)
#define DEMAND_MAX_US (1 * US_PER_SECOND)

int64_t
ratelimit_interval_us(double per_s)
{
    const double interval_us =
        per_s > 0 ? (double)US_PER_SECOND / per_s : RATELIMIT_INTERVAL_MAX_US;
    if (interval_us >= RATELIMIT_INTERVAL_MAX_US) {
        return RATELIMIT_INTERVAL_MAX_US;
    }
    return interval_us > 1 ? (int64_t)interval_us : 1;
}

void
ratelimit_set(struct ratelimit *limit, double per_s, int64_t now_us)
{
    const int64_t former_us = limit->interval_us;
    limit->interval_us = ratelimit_interval_us(per_s);
    if (!limit->limited) {
        limit->due_us = now_us + BURST_US;
    }
    else if (limit->due_us > now_us + BURST_US) {
        /* The wait for the next start is a number of intervals. */
        const int64_t wait_us = limit->due_us - BURST_US - now_us;
        limit->due_us =
            now_us + BURST_US + wait_us * limit->interval_us / former_us;
    }
    limit->limited = true;
}

void
ratelimit_clear(struct ratelimit *limit)
{
    *limit = (struct ratelimit){.limited = false};
}

int64_t
ratelimit_ready_us(const struct ratelimit *limit)
{
    return limit->limited ? limit->due_us - BURST_US : INT64_MIN;
}

int64_t
ratelimit_wait_us(const struct ratelimit *limit, unsigned ahead,
                  int64_t now_us)
{
    if (!limit->limited) {
        return 0;
    }
    const int64_t due_us = limit->due_us > now_us ? limit->due_us : now_us;
    const int64_t wait_us =
        due_us - BURST_US - now_us + (int64_t)ahead * limit->interval_us;
    return wait_us > 0 ? wait_us : 0;
}

bool
ratelimit_has_reserve(const struct ratelimit *limit, int64_t now_us)
{
    return !limit->limited || limit->due_us - BURST_US / 2 <= now_us;
}

void
ratelimit_record_demand(struct ratelimit *limit, int64_t now_us)
{
    const int64_t from_us =
        limit->demand_us > now_us ? limit->demand_us : now_us;
    const int64_t until_us = from_us + limit->interval_us;
    limit->demand_us =
        until_us < now_us + DEMAND_MAX_US ? until_us : now_us + DEMAND_MAX_US;
}

bool
ratelimit_is_saturated(const struct ratelimit *limit, int64_t now_us)
{
    return limit->limited && limit->demand_us > now_us + SATURATED_US;
}

int64_t
ratelimit_assign_return_us(struct ratelimit *limit, int64_t wait_us,
                           int64_t now_us)
{
    const int64_t first_us = now_us + wait_us;
    if (!limit->limited) {
        return wait_us;
    }
    limit->return_us += limit->interval_us;
    if (limit->return_us < first_us ||
        limit->return_us > first_us + RATELIMIT_RETURN_SPREAD_US) {
        limit->return_us = first_us;
    }
    return limit->return_us - now_us;
}

void
ratelimit_record_start(struct ratelimit *limit, int64_t now_us)
{
    const int64_t due_us = limit->due_us > now_us ? limit->due_us : now_us;
    if (limit->limited) {
        limit->due_us = due_us + limit->interval_us;
    }
}
