#include "fleet/instancetable.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/timeunits.h"

#define SERVICE_SMOOTHING 16 /* a new answer has the weight 1/16 */
#define FAILURE_SMOOTHING 16 /* a new request has the weight 1/16 */
#define UNREACHABLE_BACKOFF_MIN_US (300 * US_PER_MS)
#define UNREACHABLE_BACKOFF_DOUBLINGS_MAX 2
#define OVERLOAD_MAX_US (150 * US_PER_MS)

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

/** Marks the instance as leaving if the target of its row is known to leave:
 * the row may be older than that. */
static void
mark_departed(struct instancetable_instance *instance)
{
    struct instancetable_row *row = &instance->instance_row;
    if (row->state == INSTANCETABLE_SERVING &&
        instancenotice_has_left(&instance->notice, row->target,
                                row->target_started_ms)) {
        row->state = INSTANCETABLE_LEAVING;
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
    instancenotice_target_changed(&instance->notice, row->target,
                                  row->target_started_ms);
    mark_departed(instance);
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

void
instancetable_record_sent(struct instancetable_instance *instance,
                          int64_t now_us)
{
    if (instance->outstanding == 0) {
        instance->unanswered_since_us = now_us;
    }
    instance->outstanding++;
    instance->sent_since_report++;
    instancenotice_record_sent(&instance->notice, now_us);
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
                          int64_t now_us, unsigned load, bool cold)
{
    instance->reported = true;
    instance->reported_us = now_us;
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

void
instancetable_record_departure(struct instancetable_instance *instance,
                               const char *target, int64_t started_ms,
                               int64_t now_us)
{
    struct instancetable_row *row = &instance->instance_row;
    instancenotice_record_departure(&instance->notice, target, started_ms,
                                    now_us);
    mark_departed(instance);
    /* The row may not name this incarnation yet. */
    if (row->state == INSTANCETABLE_SERVING &&
        row->target_started_ms < started_ms) {
        row->state = INSTANCETABLE_LEAVING;
    }
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
