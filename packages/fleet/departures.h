/**
 * @file
 * Lives of targets that have said that they leave. They get no new work,
 * whatever an announcement says that was held up on its way.
 */
#ifndef CHESTNUTGAP_FLEET_DEPARTURES_H
#define CHESTNUTGAP_FLEET_DEPARTURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/keymap.h"

#define DEPARTURES_MAX 8 /* a machine's target has few lives at a time */

/** One life. */
struct departure {
    char target[KEYMAP_NAME_MAX + 1];
    int64_t born_ms; /**< start of the life; 0: not said */
    int64_t at_us;
};

/** The latest departures. Begins zeroed. */
struct departures {
    struct departure items[DEPARTURES_MAX];
    size_t next;
};

/** True if both name the same life. A start that is not said fits any. */
bool departures_same_incarnation(const char *target, int64_t born_ms,
                                 const char *other, int64_t other_born_ms);

void departures_record(struct departures *departures, const char *target,
                       int64_t born_ms, int64_t now_us);

/** True if the life has said within the last minute that it leaves. */
bool departures_contains(const struct departures *departures,
                         const char *target, int64_t born_ms, int64_t now_us);

#endif
