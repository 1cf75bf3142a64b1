#include "fleet/freshness.h"

#define CLOCK_DRIFT_DIVISOR 100    /* two clocks differ by 1 % at most */
#define AGE_MAX_US (INT64_MAX / 4) /* sums of two stay in range */

static int64_t
drift_us(int64_t duration_us)
{
    return duration_us / CLOCK_DRIFT_DIVISOR;
}

static bool
is_valid(const struct freshness_read *read)
{
    return read->ok && read->ended_us >= read->begun_us &&
           read->held_us >= 0 && read->held_us < AGE_MAX_US &&
           read->age_us >= 0 && read->age_us < AGE_MAX_US;
}

void
freshness_record(struct freshness *freshness,
                 const struct freshness_read *read)
{
    if (!is_valid(read)) {
        return;
    }
    /* The other instance got the call after it was sent, so its answer was
     * given at least that much later. Not when the answer arrived here: it may
     * have waited meanwhile. */
    const int64_t took_us = read->ended_us - read->begun_us;
    const int64_t held_us = read->held_us < took_us ? read->held_us : took_us;
    const int64_t as_of_us = read->begun_us + held_us - drift_us(held_us) -
                             read->age_us - drift_us(read->age_us);
    if (!freshness->known || as_of_us > freshness->as_of_us) {
        freshness->known = true;
        freshness->as_of_us = as_of_us;
    }
}

int64_t
freshness_age_us(const struct freshness *freshness, int64_t now_us)
{
    return freshness->known ? now_us - freshness->as_of_us : INT64_MAX;
}

int64_t
freshness_until_us(const struct freshness *freshness, int64_t bound_us)
{
    return freshness->known
               ? freshness->as_of_us + bound_us - drift_us(bound_us)
               : INT64_MIN;
}
