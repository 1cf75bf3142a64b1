#include "fleet/feedsource.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/runtime.h"

#define EXCLUSION_MIN_US (2 * US_PER_SECOND)
#define EXCLUSION_DOUBLINGS_MAX 4
#define STORE_FAILURE_US (2 * US_PER_SECOND)

static const struct feedsource_failed *
find_failed(const struct feedsource *source, const char *instance)
{
    for (size_t i = 0; i < FEEDSOURCE_FAILED_MAX; i++) {
        if (strcmp(source->failed[i].instance, instance) == 0) {
            return &source->failed[i];
        }
    }
    return NULL;
}

static bool
is_candidate(const struct feedsource *source,
             const struct feedsource_self *self,
             const struct instancetable_instance *instance, int64_t now_us)
{
    const struct instancetable_row *row = &instance->instance_row;
    if (row->state != INSTANCETABLE_SERVING ||
        instance->unreachable_count > 0 ||
        strcmp(row->zone, self->zone) != 0 ||
        strcmp(row->instance, self->instance) == 0) {
        return false;
    }
    const struct feedsource_failed *failed =
        find_failed(source, row->instance);
    return failed == NULL || now_us >= failed->excluded_until_us;
}

static int
compare_starts(const void *a, const void *b)
{
    const struct instancetable_instance *const *first = a;
    const struct instancetable_instance *const *second = b;
    return instancetable_started_earlier(&(*first)->instance_row,
                                         &(*second)->instance_row)
               ? -1
               : 1;
}

bool
feedsource_started_before(const struct instancetable_row *row,
                          const struct feedsource_self *self)
{
    return row->started_ms != self->started_ms
               ? row->started_ms < self->started_ms
               : strcmp(row->instance, self->instance) < 0;
}

const struct instancetable_instance *
feedsource_choose(const struct feedsource *source,
                  const struct instancetable *table,
                  const struct feedsource_self *self, int64_t now_us)
{
    const struct instancetable_instance **candidates =
        memory_calloc(instancetable_count(table) + 1, sizeof(const void *));
    const struct instancetable_instance *instance;
    size_t count = 0;
    size_t rank = 0; /* candidates that started before this instance */
    LIST_FOREACH (instance, &table->instances, link) {
        if (is_candidate(source, self, instance, now_us)) {
            candidates[count++] = instance;
            rank += feedsource_started_before(&instance->instance_row, self);
        }
    }
    const struct instancetable_instance *chosen = NULL;
    if (rank > 0 || (count > 0 && now_us < source->store_failing_until_us)) {
        qsort(candidates, count, sizeof(const void *), compare_starts);
        chosen = candidates[rank > 0 ? (rank - 1) / FEEDSOURCE_FANOUT : 0];
    }
    free(candidates);
    return chosen;
}

/** The entry of an instance, in place of an older one if there is none. */
static struct feedsource_failed *
add_failed(struct feedsource *source, const char *instance)
{
    struct feedsource_failed *failed =
        (struct feedsource_failed *)find_failed(source, instance);
    if (failed == NULL) {
        failed = &source->failed[source->next_failed];
        source->next_failed =
            (source->next_failed + 1) % FEEDSOURCE_FAILED_MAX;
        *failed = (struct feedsource_failed){.failures = 0};
        snprintf(failed->instance, sizeof(failed->instance), "%s", instance);
    }
    return failed;
}

void
feedsource_record_peer(struct feedsource *source, const char *instance,
                       bool ok, int64_t now_us)
{
    struct feedsource_failed *failed =
        (struct feedsource_failed *)find_failed(source, instance);
    if (ok) {
        if (failed != NULL) {
            *failed = (struct feedsource_failed){.failures = 0};
        }
        return;
    }
    failed = add_failed(source, instance);
    const unsigned doublings = failed->failures < EXCLUSION_DOUBLINGS_MAX
                                   ? failed->failures
                                   : EXCLUSION_DOUBLINGS_MAX;
    failed->failures++;
    failed->excluded_until_us = now_us + (EXCLUSION_MIN_US << doublings);
}

void
feedsource_record_refusal(struct feedsource *source, const char *instance,
                          int64_t now_us)
{
    struct feedsource_failed *failed = add_failed(source, instance);
    failed->failures = 0;
    failed->excluded_until_us = now_us + EXCLUSION_MIN_US;
}

void
feedsource_record_store(struct feedsource *source, bool ok, int64_t now_us)
{
    source->store_failing_until_us = ok ? 0 : now_us + STORE_FAILURE_US;
}
