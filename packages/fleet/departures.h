/**
 * @file
 * Incarnations of targets that announced that they leave. They get no new
 * requests, even if an older, delayed announcement arrives later, or the
 * instance's process is replaced: departures are kept in the instance's row of
 * the store.
 */
#ifndef CHESTNUTGAP_FLEET_DEPARTURES_H
#define CHESTNUTGAP_FLEET_DEPARTURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "fleet/keymap.h"

#define DEPARTURES_MAX 8 /* an instance has few incarnations at a time */

struct departure {
    char target[KEYMAP_NAME_MAX + 1];
    int64_t started_ms; /**< start of the incarnation; 0: unknown */
    int64_t recorded_us;
    bool stored; /**< the instance's row was seen with it */
};

/** The latest departures, the oldest first. Initialise with zeros. */
struct departures {
    struct departure items[DEPARTURES_MAX];
    size_t count;
};

/** True if both are the same incarnation. An unknown start matches any. */
bool departures_same_incarnation(const char *target, int64_t started_ms,
                                 const char *other, int64_t other_started_ms);

/** Records a departure unless it is known. */
void departures_record(struct departures *departures, const char *target,
                       int64_t started_ms, int64_t now_us);

/** True if the incarnation was recorded. One with an unknown start is
 * forgotten after a minute. */
bool departures_contains(const struct departures *departures,
                         const char *target, int64_t started_ms,
                         int64_t now_us);

/** Gives records of the name without a start the start of the only
 * incarnation that they can mean. */
void departures_resolve_start(struct departures *departures,
                              const char *target, int64_t started_ms);

/** The instance's row was seen in the store with the departure, which is older
 * than those that were recorded; it takes the place of none. */
void departures_record_stored(struct departures *departures,
                              const char *target, int64_t started_ms,
                              int64_t now_us);

/** True if the departure is in the store, so that it outlives this process. */
bool departures_is_stored(const struct departures *departures,
                          const char *target, int64_t started_ms,
                          int64_t now_us);

/** True if any departure is not in the store yet. */
bool departures_any_unstored(const struct departures *departures,
                             int64_t now_us);

/** The departures as a field of the instance's row. */
json_t *departures_to_json(const struct departures *departures,
                           int64_t now_us);

/** Records the departures in a row of the instance that is in the store, as
 * departures_record_stored() does. Items of another form are left out. */
void departures_read_stored(struct departures *departures, const json_t *list,
                            int64_t now_us);

#endif
