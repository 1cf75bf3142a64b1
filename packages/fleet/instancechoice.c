#include "fleet/instancechoice.h"

#include <math.h>
#include <string.h>

#include "base/timeunits.h"

#define SERVICE_DEFAULT_US (200 * US_PER_MS)
#define SLOWNESS_HALF_LIFE_US (2.0 * US_PER_SECOND)
#define COLD_FACTOR 1.5
#define UNANSWERED_FACTOR 4.0
#define BUSY_SLOWDOWN 0.5 /* relative slowdown at full load */
/* Traffic between zones is expensive: an instance of the own zone that is
 * expected to answer within this part of the objective is good enough. */
#define GOOD_ENOUGH_PERCENT 60
/* Of the objective, for leaving the zone otherwise. */
#define OTHER_ZONE_PERCENT 20
#define OTHER_ZONE_MIN_US (10.0 * US_PER_MS)
#define OVERLOAD_PENALTY_US                                                   \
    (1.0 * US_PER_SECOND) /* chosen only if all are overloaded */

static bool
is_excluded(const struct instancechoice_criteria *criteria,
            const struct instancetable_instance *instance)
{
    for (size_t i = 0; i < criteria->excluded_count; i++) {
        if (criteria->excluded[i] == instance) {
            return true;
        }
    }
    return false;
}

static bool
is_eligible(const struct instancechoice_criteria *criteria,
            const struct instancetable_instance *instance)
{
    const struct instancetable_row *row = &instance->instance_row;
    return row->state == INSTANCETABLE_SERVING &&
           strcmp(row->service, criteria->service) == 0 &&
           criteria->now_us >= instance->unreachable_until_us &&
           !is_excluded(criteria, instance) &&
           !criteria->zone_is_out(criteria->ctx, row->zone);
}

/** Smoothed latency of the fastest eligible instance. */
static int64_t
fastest_us(const struct instancetable *table,
           const struct instancechoice_criteria *criteria)
{
    int64_t fastest = 0;
    const struct instancetable_instance *instance;
    LIST_FOREACH (instance, &table->instances, link) {
        if (instance->service_us > 0 && is_eligible(criteria, instance) &&
            (fastest == 0 || instance->service_us < fastest)) {
            fastest = instance->service_us;
        }
    }
    return fastest > 0 ? fastest : SERVICE_DEFAULT_US;
}

/** Estimated latency. Measured slowness decays over time, so that an instance
 * that was slow is tried again. */
static double
estimated_us(const struct instancechoice_criteria *criteria,
             const struct instancetable_instance *instance, int64_t fastest)
{
    const double excess_us = (double)(instance->service_us - fastest);
    if (instance->service_us == 0 || excess_us <= 0) {
        return (double)fastest;
    }
    const double age_us =
        (double)(criteria->now_us - instance->last_result_us);
    return (double)fastest + excess_us * exp2(-age_us / SLOWNESS_HALF_LIFE_US);
}

/** Penalty for an instance that has left requests unanswered for longer than
 * usual, so that a lost one gets no further requests. */
static double
unanswered_penalty_us(const struct instancechoice_criteria *criteria,
                      const struct instancetable_instance *instance,
                      int64_t fastest)
{
    if (instance->outstanding == 0) {
        return 0;
    }
    const int64_t usual_us =
        instance->service_us > fastest ? instance->service_us : fastest;
    const int64_t overdue_us =
        criteria->now_us - instance->unanswered_since_us - 2 * usual_us;
    return overdue_us > 0 ? UNANSWERED_FACTOR * (double)overdue_us : 0;
}

/** Added to the expected latency in another zone. It grows with the objective:
 * a request that has time left can wait in its own zone. */
static double
other_zone_penalty_us(const struct instancechoice_criteria *criteria)
{
    const double penalty_us =
        (double)criteria->objective_us * OTHER_ZONE_PERCENT / 100;
    return penalty_us > OTHER_ZONE_MIN_US ? penalty_us : OTHER_ZONE_MIN_US;
}

/** Expected latency with load, zone and penalties included. */
static double
expected_us(const struct instancechoice_criteria *criteria,
            const struct instancetable_instance *instance, int64_t fastest)
{
    const unsigned slots =
        instance->instance_row.slots > 0 ? instance->instance_row.slots : 1;
    unsigned load = instance->reported_load + instance->sent_since_report;
    load = load > instance->outstanding ? load : instance->outstanding;
    const double utilization = (double)(load + 1) / slots;
    double time_us =
        estimated_us(criteria, instance, fastest) *
        (1.0 + BUSY_SLOWDOWN * (utilization < 1.0 ? utilization : 1.0));
    if (utilization > 1.0) {
        time_us *= utilization;
    }
    if (instance->cold) {
        time_us *= COLD_FACTOR;
    }
    time_us +=
        (double)instancenotice_wait_us(&instance->notice, criteria->now_us);
    time_us += unanswered_penalty_us(criteria, instance, fastest);
    if (strcmp(instance->instance_row.zone, criteria->zone) != 0) {
        time_us += other_zone_penalty_us(criteria);
    }
    if (criteria->now_us < instance->overloaded_until_us) {
        time_us += OVERLOAD_PENALTY_US;
    }
    const double success = 1.0 - instance->failure_rate;
    return time_us / (success > 0.05 ? success * success : 0.0025);
}

/** The best instance so far, of those looked at. */
struct candidate {
    struct instancetable_instance *instance;
    double time_us;
};

static void
consider(struct candidate *best, struct instancetable_instance *instance,
         double time_us)
{
    if (best->instance == NULL || time_us < best->time_us) {
        best->instance = instance;
        best->time_us = time_us;
    }
}

struct instancetable_instance *
instancechoice_pick(const struct instancetable *table,
                    const struct instancechoice_criteria *criteria,
                    struct random_state *random)
{
    struct candidate best = {.instance = NULL};
    struct candidate best_in_zone = {.instance = NULL};
    const int64_t fastest = fastest_us(table, criteria);
    struct instancetable_instance *instance;
    LIST_FOREACH (instance, &table->instances, link) {
        if (!is_eligible(criteria, instance)) {
            continue;
        }
        /* Random jitter of 10 % keeps instances from choosing alike. */
        const double time_us = expected_us(criteria, instance, fastest) *
                               (0.9 + 0.2 * random_unit(random));
        consider(&best, instance, time_us);
        if (strcmp(instance->instance_row.zone, criteria->zone) == 0) {
            consider(&best_in_zone, instance, time_us);
        }
    }
    const double good_enough_us =
        (double)criteria->objective_us * GOOD_ENOUGH_PERCENT / 100;
    return best_in_zone.instance != NULL &&
                   best_in_zone.time_us <= good_enough_us
               ? best_in_zone.instance
               : best.instance;
}
