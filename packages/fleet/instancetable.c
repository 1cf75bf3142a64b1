#include "fleet/instancetable.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/runtime.h"

#define SERVICE_DEFAULT_US (200 * US_PER_MS)
#define SERVICE_SMOOTHING 16 /* a new answer has the weight 1/16 */
#define SLOWNESS_HALF_LIFE_US (2.0 * US_PER_SECOND)
#define FAILURE_SMOOTHING 16 /* a new request has the weight 1/16 */
#define UNREACHABLE_BACKOFF_MIN_US (300 * US_PER_MS)
#define UNREACHABLE_BACKOFF_DOUBLINGS_MAX 2
#define OTHER_ZONE_FACTOR 1.15 /* traffic between zones is expensive */
#define COLD_FACTOR 1.5
#define OVERLOAD_PENALTY_US                                                   \
    (1.0 * US_PER_SECOND) /* chosen only if all are overloaded */
#define OVERLOAD_MAX_US (150 * US_PER_MS)
#define UNANSWERED_FACTOR 4.0
#define BUSY_SLOWDOWN 0.5 /* relative slowdown at full load */

void
instancetable_clear(struct instancetable *table)
{
    struct instancetable_instance *instance;
    while ((instance = LIST_FIRST(&table->instances)) != NULL) {
        LIST_REMOVE(instance, link);
        free(instance);
    }
}

struct instancetable_instance *
instancetable_find(const struct instancetable *table, const char *instance)
{
    struct instancetable_instance *item;
    LIST_FOREACH (item, &table->instances, link) {
        if (strcmp(item->instance_row.instance, instance) == 0) {
            return item;
        }
    }
    return NULL;
}

/** Marks older instances with the same address as absent: addresses are
 * reused. */
static void
mark_replaced(struct instancetable *table,
              const struct instancetable_instance *instance)
{
    struct instancetable_instance *other;
    LIST_FOREACH (other, &table->instances, link) {
        if (other != instance && other->version < instance->version &&
            address_equal(&other->instance_row.address,
                          &instance->instance_row.address)) {
            other->instance_row.state = INSTANCETABLE_ABSENT;
        }
    }
}

struct instancetable_instance *
instancetable_update(struct instancetable *table,
                     const struct instancetable_row *row, uint64_t version)
{
    struct instancetable_instance *instance =
        instancetable_find(table, row->instance);
    if (instance == NULL) {
        instance = memory_calloc(1, sizeof(*instance));
        LIST_INSERT_HEAD(&table->instances, instance, link);
    }
    else if (version < instance->version) {
        return instance;
    }
    const bool new_target =
        strcmp(instance->instance_row.target, row->target) != 0 ||
        instance->instance_row.target_started_ms != row->target_started_ms ||
        !address_equal(&instance->instance_row.address, &row->address);
    if (new_target) {
        instance->unreachable_until_us = 0;
        instance->unreachable_count = 0;
        instance->failure_rate = 0;
        instance->service_us = 0;
    }
    instance->instance_row = *row;
    instance->version = version;
    mark_replaced(table, instance);
    return instance;
}

void
instancetable_remove(struct instancetable *table, const char *instance)
{
    struct instancetable_instance *item = instancetable_find(table, instance);
    if (item != NULL) {
        /* Not freed: outstanding requests still refer to it. */
        item->instance_row.state = INSTANCETABLE_ABSENT;
        item->instance_row.crash_suspect_count = 0;
    }
}

static bool
is_excluded(const struct instancetable_criteria *criteria,
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
is_eligible(const struct instancetable_criteria *criteria,
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
           const struct instancetable_criteria *criteria)
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
estimated_us(const struct instancetable_criteria *criteria,
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
unanswered_penalty_us(const struct instancetable_criteria *criteria,
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

/** Expected latency with load, zone and penalties included. */
static double
expected_us(const struct instancetable_criteria *criteria,
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
    if (strcmp(instance->instance_row.zone, criteria->zone) != 0) {
        time_us *= OTHER_ZONE_FACTOR;
    }
    if (instance->cold) {
        time_us *= COLD_FACTOR;
    }
    time_us += unanswered_penalty_us(criteria, instance, fastest);
    if (criteria->now_us < instance->overloaded_until_us) {
        time_us += OVERLOAD_PENALTY_US;
    }
    const double success = 1.0 - instance->failure_rate;
    return time_us / (success > 0.05 ? success * success : 0.0025);
}

struct instancetable_instance *
instancetable_choose(const struct instancetable *table,
                     const struct instancetable_criteria *criteria,
                     struct random_state *random)
{
    struct instancetable_instance *best = NULL;
    double best_us = 0;
    const int64_t fastest = fastest_us(table, criteria);
    struct instancetable_instance *instance;
    LIST_FOREACH (instance, &table->instances, link) {
        if (!is_eligible(criteria, instance)) {
            continue;
        }
        /* Random jitter of 10 % keeps instances from choosing alike. */
        const double time_us = expected_us(criteria, instance, fastest) *
                               (0.9 + 0.2 * random_unit(random));
        if (best == NULL || time_us < best_us) {
            best = instance;
            best_us = time_us;
        }
    }
    return best;
}

void
instancetable_record_sent(struct instancetable_instance *instance,
                          int64_t now_us)
{
    if (instance->outstanding == 0) {
        instance->unanswered_since_us = now_us;
    }
    instance->outstanding++;
    instance->sent_since_report++;
}

void
instancetable_record_ended(struct instancetable_instance *instance)
{
    instance->outstanding--;
}

void
instancetable_record_result(struct instancetable_instance *instance,
                            int64_t now_us, int64_t took_us, bool failed)
{
    instance->last_result_us = now_us;
    instance->failure_rate +=
        ((failed ? 1.0 : 0.0) - instance->failure_rate) / FAILURE_SMOOTHING;
    if (!failed && instance->service_us == 0) {
        instance->service_us = took_us;
    }
    else if (!failed) {
        instance->service_us +=
            (took_us - instance->service_us) / SERVICE_SMOOTHING;
    }
}

void
instancetable_record_load(struct instancetable_instance *instance,
                          unsigned load, bool cold)
{
    instance->reported_load = load;
    instance->sent_since_report = 0;
    instance->cold = cold;
}

void
instancetable_record_overload(struct instancetable_instance *instance,
                              int64_t now_us, int64_t wait_us)
{
    instance->overloaded_until_us =
        now_us + (wait_us < OVERLOAD_MAX_US ? wait_us : OVERLOAD_MAX_US);
}

void
instancetable_record_unreachable(struct instancetable_instance *instance,
                                 int64_t now_us)
{
    const unsigned doublings =
        instance->unreachable_count < UNREACHABLE_BACKOFF_DOUBLINGS_MAX
            ? instance->unreachable_count
            : UNREACHABLE_BACKOFF_DOUBLINGS_MAX;
    instance->unreachable_until_us =
        now_us + (UNREACHABLE_BACKOFF_MIN_US << doublings);
    instance->unreachable_count++;
}

void
instancetable_record_reached(struct instancetable_instance *instance,
                             int64_t now_us)
{
    instance->unanswered_since_us = now_us;
    instance->unreachable_until_us = 0;
    instance->unreachable_count = 0;
}

size_t
instancetable_count(const struct instancetable *table)
{
    size_t count = 0;
    const struct instancetable_instance *instance;
    LIST_FOREACH (instance, &table->instances, link) {
        count++;
    }
    return count;
}

bool
instancetable_started_earlier(const struct instancetable_row *a,
                              const struct instancetable_row *b)
{
    if (a->started_ms != b->started_ms) {
        return a->started_ms < b->started_ms;
    }
    return strcmp(a->instance, b->instance) < 0;
}

unsigned
instancetable_crash_reporters(const struct instancetable *table,
                              uint64_t fingerprint)
{
    unsigned reporters = 0;
    const struct instancetable_instance *instance;
    LIST_FOREACH (instance, &table->instances, link) {
        for (size_t i = 0; i < instance->instance_row.crash_suspect_count;
             i++) {
            reporters +=
                instance->instance_row.crash_suspects[i] == fingerprint;
        }
    }
    return reporters;
}
