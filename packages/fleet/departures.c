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

static bool
is_valid(const struct departure *item, int64_t now_us)
{
    return item->started_ms != 0 || now_us - item->recorded_us < RETENTION_US;
}

static bool
matches(const struct departure *item, const char *target, int64_t started_ms,
        int64_t now_us)
{
    return is_valid(item, now_us) &&
           departures_same_incarnation(item->target, item->started_ms, target,
                                       started_ms);
}

static struct departure
make_departure(const char *target, int64_t started_ms, int64_t now_us)
{
    struct departure item = {.started_ms = started_ms, .recorded_us = now_us};
    snprintf(item.target, sizeof(item.target), "%s", target);
    return item;
}

void
departures_record(struct departures *departures, const char *target,
                  int64_t started_ms, int64_t now_us)
{
    struct departure *items = departures->items;
    if (target[0] == '\0' ||
        departures_contains(departures, target, started_ms, now_us)) {
        return;
    }
    if (departures->count == DEPARTURES_MAX) {
        departures->count--;
        memmove(&items[0], &items[1], departures->count * sizeof(items[0]));
    }
    items[departures->count++] = make_departure(target, started_ms, now_us);
}

bool
departures_contains(const struct departures *departures, const char *target,
                    int64_t started_ms, int64_t now_us)
{
    for (size_t i = 0; i < departures->count; i++) {
        if (matches(&departures->items[i], target, started_ms, now_us)) {
            return true;
        }
    }
    return false;
}

void
departures_resolve_start(struct departures *departures, const char *target,
                         int64_t started_ms)
{
    for (size_t i = 0; i < departures->count; i++) {
        struct departure *item = &departures->items[i];
        if (item->started_ms == 0 && strcmp(item->target, target) == 0) {
            item->started_ms = started_ms;
        }
    }
}

void
departures_record_stored(struct departures *departures, const char *target,
                         int64_t started_ms, int64_t now_us)
{
    struct departure *items = departures->items;
    for (size_t i = 0; i < departures->count; i++) {
        if (items[i].started_ms == started_ms &&
            strcmp(items[i].target, target) == 0) {
            items[i].stored = true;
            return;
        }
    }
    if (target[0] == '\0' || departures->count == DEPARTURES_MAX) {
        return;
    }
    memmove(&items[1], &items[0], departures->count * sizeof(items[0]));
    departures->count++;
    items[0] = make_departure(target, started_ms, now_us);
    items[0].stored = true;
}

bool
departures_is_stored(const struct departures *departures, const char *target,
                     int64_t started_ms, int64_t now_us)
{
    bool any = false;
    for (size_t i = 0; i < departures->count; i++) {
        const struct departure *item = &departures->items[i];
        if (matches(item, target, started_ms, now_us)) {
            if (!item->stored) {
                return false;
            }
            any = true;
        }
    }
    return any;
}

bool
departures_any_unstored(const struct departures *departures, int64_t now_us)
{
    for (size_t i = 0; i < departures->count; i++) {
        const struct departure *item = &departures->items[i];
        if (is_valid(item, now_us) && !item->stored) {
            return true;
        }
    }
    return false;
}

json_t *
departures_to_json(const struct departures *departures, int64_t now_us)
{
    json_t *list = json_array();
    for (size_t i = 0; i < departures->count; i++) {
        const struct departure *item = &departures->items[i];
        if (is_valid(item, now_us)) {
            json_array_append_new(
                list, json_pack("{s:s, s:I}", "target", item->target,
                                "born_ms", (json_int_t)item->started_ms));
        }
    }
    return list;
}

void
departures_read_stored(struct departures *departures, const json_t *list,
                       int64_t now_us)
{
    for (size_t i = json_array_size(list); i > 0; i--) {
        const json_t *item = json_array_get(list, i - 1);
        const char *target =
            json_string_value(json_object_get(item, "target"));
        const json_t *born = json_object_get(item, "born_ms");
        if (target != NULL && strlen(target) <= KEYMAP_NAME_MAX &&
            json_is_integer(born)) {
            departures_record_stored(departures, target,
                                     json_integer_value(born), now_us);
        }
    }
}
