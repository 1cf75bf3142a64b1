#include "fleet/instancetable.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/runtime.h"

#define SERVICE_DEFAULT_US (200 * US_PER_MS)
#define SERVICE_WEIGHT 16 /* answers that the smoothed time remembers */
#define FORGET_US (2.0 * US_PER_SECOND) /* half of it, of what was slow */
#define FAILURE_WEIGHT 16 /* requests that the smoothed share remembers */
#define UNREACHABLE_MIN_US (300 * US_PER_MS)
#define UNREACHABLE_DOUBLINGS_MAX 2
#define OTHER_ZONE_FACTOR 1.15 /* bytes between zones are dear */
#define COLD_FACTOR 1.5
#define FULL_US (1.0 * US_PER_SECOND) /* chosen only if all are full */
#define FULL_MAX_US (150 * US_PER_MS)
#define SILENCE_FACTOR 4.0
#define NEARLY_FULL_FACTOR 0.5 /* how much a busy target is slower */

void
instancetable_clear(struct instancetable *instancetable)
{
    struct instancetable_instance *instance;
    while ((instance = LIST_FIRST(&instancetable->instances)) != NULL) {
        LIST_REMOVE(instance, link);
        free(instance);
    }
}

struct instancetable_instance *
instancetable_find(const struct instancetable *instancetable,
                   const char *instance)
{
    struct instancetable_instance *item;
    LIST_FOREACH (item, &instancetable->instances, link) {
        if (strcmp(item->instance_row.instance, instance) == 0) {
            return item;
        }
    }
    return NULL;
}

/** Addresses are used again: who had this one before is gone. */
static void
supersede(struct instancetable *instancetable,
          const struct instancetable_instance *instance)
{
    struct instancetable_instance *other;
    LIST_FOREACH (other, &instancetable->instances, link) {
        if (other != instance && other->version < instance->version &&
            address_equal(&other->instance_row.address,
                          &instance->instance_row.address)) {
            other->instance_row.state = INSTANCETABLE_ABSENT;
        }
    }
}

struct instancetable_instance *
instancetable_update(struct instancetable *instancetable,
                     const struct instancetable_row *instance_row,
                     uint64_t version)
{
    struct instancetable_instance *instance =
        instancetable_find(instancetable, instance_row->instance);
    if (instance == NULL) {
        instance = memory_zeroed(1, sizeof(*instance));
        LIST_INSERT_HEAD(&instancetable->instances, instance, link);
    }
    else if (version < instance->version) {
        return instance;
    }
    const bool new_target =
        strcmp(instance->instance_row.target, instance_row->target) != 0 ||
        instance->instance_row.born_ms != instance_row->born_ms ||
        !address_equal(&instance->instance_row.address,
                       &instance_row->address);
    if (new_target) {
        instance->unreachable_until_us = 0;
        instance->unreachable_count = 0;
        instance->failure_rate = 0;
        instance->service_us = 0;
    }
    instance->instance_row = *instance_row;
    instance->version = version;
    supersede(instancetable, instance);
    return instance;
}

void
instancetable_remove(struct instancetable *instancetable, const char *instance)
{
    struct instancetable_instance *item =
        instancetable_find(instancetable, instance);
    if (item != NULL) {
        /* Requests that it has not answered still refer to it. */
        item->instance_row.state = INSTANCETABLE_ABSENT;
        item->instance_row.accused_count = 0;
    }
}

static bool
is_excluded(const struct instancetable_criteria *choice,
            const struct instancetable_instance *instance)
{
    for (size_t i = 0; i < choice->excluded_count; i++) {
        if (choice->excluded[i] == instance) {
            return true;
        }
    }
    return false;
}

static bool
is_eligible(const struct instancetable_criteria *choice,
            const struct instancetable_instance *instance)
{
    const struct instancetable_row *instance_row = &instance->instance_row;
    return instance_row->state == INSTANCETABLE_SERVING &&
           strcmp(instance_row->service, choice->service) == 0 &&
           choice->now_us >= instance->unreachable_until_us &&
           !is_excluded(choice, instance) &&
           !choice->zone_is_out(choice->ctx, instance_row->zone);
}

/** Usual time of the quickest instance that may be chosen. */
static int64_t
quickest_us(const struct instancetable *instancetable,
            const struct instancetable_criteria *choice)
{
    int64_t quickest = 0;
    const struct instancetable_instance *instance;
    LIST_FOREACH (instance, &instancetable->instances, link) {
        if (instance->service_us > 0 && is_eligible(choice, instance) &&
            (quickest == 0 || instance->service_us < quickest)) {
            quickest = instance->service_us;
        }
    }
    return quickest > 0 ? quickest : SERVICE_DEFAULT_US;
}

/** Time that the instance is believed to take. What is known gets old: who
 * was slow once is tried again. */
static double
believed_us(const struct instancetable_criteria *choice,
            const struct instancetable_instance *instance, int64_t quickest)
{
    const double slower = (double)(instance->service_us - quickest);
    if (instance->service_us == 0 || slower <= 0) {
        return (double)quickest;
    }
    const double age_us = (double)(choice->now_us - instance->result_us);
    return (double)quickest + slower * exp2(-age_us / FORGET_US);
}

/** How much longer than usual an instance with requests has been silent,
 * times a factor: one that is lost must not get more of them. */
static double
silence_us(const struct instancetable_criteria *choice,
           const struct instancetable_instance *instance, int64_t quickest)
{
    if (instance->outstanding == 0) {
        return 0;
    }
    const int64_t usual_us =
        instance->service_us > quickest ? instance->service_us : quickest;
    const int64_t over_us =
        choice->now_us - instance->silent_since_us - 2 * usual_us;
    return over_us > 0 ? SILENCE_FACTOR * (double)over_us : 0;
}

/** Time in which an answer is expected. */
static double
expected_us(const struct instancetable_criteria *choice,
            const struct instancetable_instance *instance, int64_t quickest)
{
    const unsigned slots =
        instance->instance_row.slots > 0 ? instance->instance_row.slots : 1;
    unsigned load = instance->reported_load + instance->sent_since_report;
    load = load > instance->outstanding ? load : instance->outstanding;
    const double busy = (double)(load + 1) / slots;
    double time_us = believed_us(choice, instance, quickest) *
                     (1.0 + NEARLY_FULL_FACTOR * (busy < 1.0 ? busy : 1.0));
    if (busy > 1.0) {
        time_us *= busy;
    }
    if (strcmp(instance->instance_row.zone, choice->zone) != 0) {
        time_us *= OTHER_ZONE_FACTOR;
    }
    if (instance->cold) {
        time_us *= COLD_FACTOR;
    }
    time_us += silence_us(choice, instance, quickest);
    if (choice->now_us < instance->full_until_us) {
        time_us += FULL_US;
    }
    const double success = 1.0 - instance->failure_rate;
    return time_us / (success > 0.05 ? success * success : 0.0025);
}

struct instancetable_instance *
instancetable_choose(const struct instancetable *instancetable,
                     const struct instancetable_criteria *choice,
                     struct random_state *random)
{
    struct instancetable_instance *best = NULL;
    double best_us = 0;
    const int64_t quickest = quickest_us(instancetable, choice);
    struct instancetable_instance *instance;
    LIST_FOREACH (instance, &instancetable->instances, link) {
        if (!is_eligible(choice, instance)) {
            continue;
        }
        /* A little chance keeps entries from choosing alike. */
        const double time_us = expected_us(choice, instance, quickest) *
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
        instance->silent_since_us = now_us;
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
    instance->result_us = now_us;
    instance->failure_rate +=
        ((failed ? 1.0 : 0.0) - instance->failure_rate) / FAILURE_WEIGHT;
    if (!failed && instance->service_us == 0) {
        instance->service_us = took_us;
    }
    else if (!failed) {
        instance->service_us +=
            (took_us - instance->service_us) / SERVICE_WEIGHT;
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
    instance->full_until_us =
        now_us + (wait_us < FULL_MAX_US ? wait_us : FULL_MAX_US);
}

void
instancetable_record_unreachable(struct instancetable_instance *instance,
                                 int64_t now_us)
{
    const unsigned doublings =
        instance->unreachable_count < UNREACHABLE_DOUBLINGS_MAX
            ? instance->unreachable_count
            : UNREACHABLE_DOUBLINGS_MAX;
    instance->unreachable_until_us =
        now_us + (UNREACHABLE_MIN_US << doublings);
    instance->unreachable_count++;
}

void
instancetable_record_reached(struct instancetable_instance *instance,
                             int64_t now_us)
{
    instance->silent_since_us = now_us;
    instance->unreachable_until_us = 0;
    instance->unreachable_count = 0;
}

size_t
instancetable_count(const struct instancetable *instancetable)
{
    size_t count = 0;
    const struct instancetable_instance *instance;
    LIST_FOREACH (instance, &instancetable->instances, link) {
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
instancetable_crash_reporters(const struct instancetable *instancetable,
                              uint64_t fingerprint)
{
    unsigned accusers = 0;
    const struct instancetable_instance *instance;
    LIST_FOREACH (instance, &instancetable->instances, link) {
        for (size_t i = 0; i < instance->instance_row.accused_count; i++) {
            accusers += instance->instance_row.accused[i] == fingerprint;
        }
    }
    return accusers;
}
