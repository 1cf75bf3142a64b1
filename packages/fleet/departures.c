#include "fleet/departures.h"

#include <stdio.h>
#include <string.h>

#include "base/timeunits.h"

/* Announcements are delayed by seconds; a target without a known start may
 * return under the same name later. */
#define RETENTION_US (60 * US_PER_SECOND)

bool
departures_same_incarnation(const char *target, int64_t started_ms,
                            const char *other, int64_t other_started_ms)
{
    return strcmp(target, other) == 0 &&
           (started_ms == 0 || other_started_ms == 0 ||
            started_ms == other_started_ms);
}

void
departures_record(struct departures *departures, const char *target,
                  int64_t started_ms, int64_t now_us)
{
    if (target[0] == '\0' ||
        departures_contains(departures, target, started_ms, now_us)) {
        return;
    }
    struct departure *item = &departures->items[departures->next];
    departures->next = (departures->next + 1) % DEPARTURES_MAX;
    snprintf(item->target, sizeof(item->target), "%s", target);
    item->started_ms = started_ms;
    item->recorded_us = now_us;
}

bool
departures_contains(const struct departures *departures, const char *target,
                    int64_t started_ms, int64_t now_us)
{
    for (size_t i = 0; i < DEPARTURES_MAX; i++) {
        const struct departure *item = &departures->items[i];
        if (item->target[0] != '\0' &&
            now_us - item->recorded_us < RETENTION_US &&
            departures_same_incarnation(item->target, item->started_ms, target,
                                        started_ms)) {
            return true;
        }
    }
    return false;
}
