#include "fleet/keyweight.h"

#include "base/timeunits.h"

#define WEIGHT_MIN 0.5 /* of the average */
#define WEIGHT_MAX 2.0
#define LIMITED_WEIGHT_MIN 0.01
#define COLD_WEIGHT_FACTOR 0.4

/** Requests per second that the target's slots allow; 0 if unknown. */
static double
speed_of(const struct keyweight_target *known)
{
    const unsigned slots = known->slots > 0 ? known->slots : 1;
    return known->service_us > 0
               ? slots * (double)US_PER_SECOND / (double)known->service_us
               : 0;
}

/** Requests per second that the target takes; 0 if unknown. */
static double
capacity_of(const struct keyweight_target *known)
{
    const double speed = speed_of(known);
    if (!known->limited) {
        return speed;
    }
    return speed > 0 && speed < known->limit_per_s ? speed
                                                   : known->limit_per_s;
}

/** Average of the known capacities of limited or of other targets; 0 if none
 * is known. */
static double
average_capacity(const struct keyweight_target *known, size_t count,
                 bool limited)
{
    double sum = 0;
    size_t found = 0;
    for (size_t i = 0; i < count; i++) {
        const double capacity = capacity_of(&known[i]);
        if (known[i].limited == limited && capacity > 0) {
            sum += capacity;
            found++;
        }
    }
    return found > 0 ? sum / (double)found : 0;
}

static double
weight_of(const struct keyweight_target *known, double average)
{
    const double capacity = capacity_of(known);
    const double least = known->limited ? LIMITED_WEIGHT_MIN : WEIGHT_MIN;
    if (average <= 0 || (capacity <= 0 && !known->limited)) {
        return 1;
    }
    const double weight = capacity / average;
    if (weight < least) {
        return least;
    }
    return weight < WEIGHT_MAX ? weight : WEIGHT_MAX;
}

/** Whether any target that may get keys has no rate limit. */
static bool
any_unlimited(const struct keyweight_target *known, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!known[i].leaving && !known[i].limited) {
            return true;
        }
    }
    return false;
}

/** Whether any target that may get keys is warm. */
static bool
any_warm(const struct keyweight_target *known, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!known[i].leaving && !known[i].cold) {
            return true;
        }
    }
    return false;
}

void
keyweight_compute(const struct keyweight_target *known, size_t count,
                  struct keyplan_target *targets)
{
    const bool warm = any_warm(known, count);
    const bool unlimited = any_unlimited(known, count);
    double average = average_capacity(known, count, false);
    if (average <= 0) {
        average = average_capacity(known, count, true);
    }
    for (size_t i = 0; i < count; i++) {
        struct keyplan_target *target = &targets[i];
        const bool avoid_cold = known[i].cold && warm;
        const bool avoid_limited = known[i].limited && unlimited;
        target->weight = weight_of(&known[i], average);
        if (avoid_cold) {
            target->weight *= COLD_WEIGHT_FACTOR;
        }
        target->must_release_all = known[i].leaving;
        target->can_receive =
            !known[i].leaving && !avoid_cold && !avoid_limited;
        target->limited = avoid_limited && !known[i].leaving;
    }
}
