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
/* Reports older than this have less than half of their weight. */
#define REPORT_HALF_WEIGHT_US (1.0 * US_PER_SECOND)
/* Expected while few have reported, with the weight of so many reports. */
#define UTILIZATION_DEFAULT 0.5
#define UTILIZATION_DEFAULT_WEIGHT 5.0
/* An instance that is expected to be fuller may be full by now. */
#define FREE_UTILIZATION 0.7
#define QUEUE_RISK_FACTOR 3.0
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

/** What is known of the eligible instances together. */
struct overview {
    int64_t fastest_us; /* smoothed latency of the fastest */
    double utilization; /* mean of the reports by their weight */
};

/** Weight of the instance's last report, 1 for a new one: others have sent
 * requests since, and requests that were running have ended. */
static double
report_weight(const struct instancechoice_criteria *criteria,
              const struct instancetable_instance *instance)
{
    const double age_us = (double)(criteria->now_us - instance->reported_us);
    return instance->reported ? 1 / (1 + age_us / REPORT_HALF_WEIGHT_US) : 0;
}

static unsigned
slots_of(const struct instancetable_instance *instance)
{
    return instance->instance_row.slots > 0 ? instance->instance_row.slots : 1;
}

/** Load by the last report and what was sent since. */
static double
reported_load(const struct instancetable_instance *instance)
{
    return instance->reported_load + instance->sent_since_report;
}

static void
overview_fill(struct overview *overview, const struct instancetable *table,
              const struct instancechoice_criteria *criteria)
{
    const struct instancetable_instance *instance;
    double weights = UTILIZATION_DEFAULT_WEIGHT;
    *overview = (struct overview){
        .utilization = UTILIZATION_DEFAULT * UTILIZATION_DEFAULT_WEIGHT,
    };
    LIST_FOREACH (instance, &table->instances, link) {
        if (!is_eligible(criteria, instance)) {
            continue;
        }
        const double weight = report_weight(criteria, instance);
        weights += weight;
        overview->utilization +=
            weight * reported_load(instance) / slots_of(instance);
        if (instance->service_us > 0 &&
            (overview->fastest_us == 0 ||
             instance->service_us < overview->fastest_us)) {
            overview->fastest_us = instance->service_us;
        }
    }
    overview->utilization /= weights;
    if (overview->fastest_us == 0) {
        overview->fastest_us = SERVICE_DEFAULT_US;
    }
}

/** Estimated share of the slots in use, with the request to be sent. An old
 * report tells little: the mean of all instances replaces it. */
static double
estimated_utilization(const struct instancechoice_criteria *criteria,
                      const struct instancetable_instance *instance,
                      const struct overview *overview)
{
    const unsigned slots = slots_of(instance);
    const double weight = report_weight(criteria, instance);
    double load = weight * reported_load(instance) +
                  (1 - weight) * overview->utilization * slots;
    load = load > instance->outstanding ? load : instance->outstanding;
    return (load + 1) / slots;
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
            const struct instancetable_instance *instance,
            const struct overview *overview)
{
    const int64_t fastest = overview->fastest_us;
    const double utilization =
        estimated_utilization(criteria, instance, overview);
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

/** Order among the instances that answer in time: one that is nearly full is
 * likely to be full when the request arrives, since others choose it too. */
static double
rank_us(const struct instancechoice_criteria *criteria,
        const struct instancetable_instance *instance,
        const struct overview *overview, double time_us)
{
    const double utilization =
        estimated_utilization(criteria, instance, overview);
    return utilization > FREE_UTILIZATION
               ? time_us *
                     (1 + QUEUE_RISK_FACTOR * (utilization - FREE_UTILIZATION))
               : time_us;
}

struct instancetable_instance *
instancechoice_pick(const struct instancetable *table,
                    const struct instancechoice_criteria *criteria,
                    struct random_state *random)
{
    struct candidate best = {.instance = NULL};
    struct candidate good_in_zone = {.instance = NULL};
    struct overview overview;
    const double good_enough_us =
        (double)criteria->objective_us * GOOD_ENOUGH_PERCENT / 100;
    overview_fill(&overview, table, criteria);
    struct instancetable_instance *instance;
    LIST_FOREACH (instance, &table->instances, link) {
        if (!is_eligible(criteria, instance)) {
            continue;
        }
        /* Random jitter of 10 % keeps instances from choosing alike. */
        const double time_us = expected_us(criteria, instance, &overview) *
                               (0.9 + 0.2 * random_unit(random));
        consider(&best, instance, time_us);
        if (time_us <= good_enough_us &&
            strcmp(instance->instance_row.zone, criteria->zone) == 0) {
            consider(&good_in_zone, instance,
                     rank_us(criteria, instance, &overview, time_us));
        }
    }
    return good_in_zone.instance != NULL ? good_in_zone.instance
                                         : best.instance;
}
