/**
 * @file
 * Incarnations of targets that announced that they leave. They get no new
 * requests, even if an older, delayed announcement arrives later.
 */
#ifndef CHESTNUTGAP_FLEET_DEPARTURES_H
#define CHESTNUTGAP_FLEET_DEPARTURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/keymap.h"

#define DEPARTURES_MAX 8 /* an instance has few incarnations at a time */

struct departure {
    char target[KEYMAP_NAME_MAX + 1];
    int64_t started_ms; /**< start of the incarnation; 0: unknown */
    int64_t recorded_us;
};

/** The latest departures. Initialise with zeros. */
struct departures {
    struct departure items[DEPARTURES_MAX];
    size_t next;
};

/** True if both are the same incarnation. An unknown start matches any. */
bool departures_same_incarnation(const char *target, int64_t started_ms,
                                 const char *other, int64_t other_started_ms);

void departures_record(struct departures *departures, const char *target,
                       int64_t started_ms, int64_t now_us);

/** True if the incarnation was recorded within the last minute. */
bool departures_contains(const struct departures *departures,
                         const char *target, int64_t started_ms,
                         int64_t now_us);

#endif
