#include "gate/suspects.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define SUSPECTS_CRASHES_TO_QUARANTINE 2

struct suspects_entry {
    struct suspects_item item;
    int64_t expires_us;
    bool quarantined;
};

struct suspects {
    size_t capacity;
    size_t count;
    struct suspects_entry entries[]; /* oldest first */
};

struct suspects *
suspects_create(size_t capacity)
{
    struct suspects *suspects =
        calloc(1, sizeof(*suspects) + capacity * sizeof(suspects->entries[0]));
    if (suspects != NULL) {
        suspects->capacity = capacity;
    }
    return suspects;
}

void
suspects_destroy(struct suspects *suspects)
{
    free(suspects);
}

uint64_t
suspects_fingerprint(const char *method, const char *target,
                     uint64_t body_hash, const char *request_id)
{
    uint64_t hash = hash_bytes(method, strlen(method), body_hash);
    hash = hash_bytes(target, strlen(target), hash);
    return hash_bytes(request_id, strlen(request_id), hash);
}

static struct suspects_entry *
suspects_lookup(const struct suspects *suspects, uint64_t fingerprint)
{
    for (size_t i = 0; i < suspects->count; i++) {
        const struct suspects_entry *entry = &suspects->entries[i];
        if (entry->item.fingerprint == fingerprint) {
            return (struct suspects_entry *)entry;
        }
    }
    return NULL;
}

static void
suspects_remove_at(struct suspects *suspects, size_t index)
{
    suspects->count--;
    memmove(&suspects->entries[index], &suspects->entries[index + 1],
            (suspects->count - index) * sizeof(suspects->entries[0]));
}

static struct suspects_entry *
suspects_append(struct suspects *suspects, uint64_t fingerprint)
{
    if (suspects->count == suspects->capacity) {
        suspects_remove_at(suspects, 0);
    }
    struct suspects_entry *entry = &suspects->entries[suspects->count++];
    *entry = (struct suspects_entry){.item.fingerprint = fingerprint};
    return entry;
}

static bool
suspects_in_crash(const struct suspects_item *item, uint64_t crash_id)
{
    for (uint32_t i = 0; i < item->crash_count; i++) {
        if (item->crashes[i].id == crash_id) {
            return true;
        }
    }
    return false;
}

static bool
suspects_record_crash(struct suspects_item *item,
                      const struct suspects_crash *crash)
{
    if (suspects_in_crash(item, crash->id) ||
        item->crash_count == SUSPECTS_CRASHES_MAX) {
        return false;
    }
    item->crashes[item->crash_count++] = *crash;
    return true;
}

/* Whether all requests that were in flight at the crash are in the table. */
static bool
suspects_crash_complete(const struct suspects *suspects,
                        const struct suspects_crash *crash)
{
    uint32_t known = 0;
    for (size_t i = 0; i < suspects->count; i++) {
        known += suspects_in_crash(&suspects->entries[i].item, crash->id);
    }
    return known >= crash->in_flight;
}

/* Whether only one request was in flight at both crashes. */
static bool
suspects_is_only_common(const struct suspects *suspects,
                        const struct suspects_crash *a,
                        const struct suspects_crash *b)
{
    size_t common = 0;
    for (size_t i = 0; i < suspects->count; i++) {
        const struct suspects_item *item = &suspects->entries[i].item;
        common +=
            suspects_in_crash(item, a->id) && suspects_in_crash(item, b->id);
    }
    return common == 1 && suspects_crash_complete(suspects, a) &&
           suspects_crash_complete(suspects, b);
}

/* Stands for the crash id, which the entry doesn't know. */
static uint64_t
suspects_report_id(uint64_t fingerprint, bool alone)
{
    return hash_bytes(&alone, sizeof(alone), fingerprint);
}

/* Lower bound: an entry and a gate may have reported the same crash. */
static uint32_t
suspects_distinct_crash_count(const struct suspects_item *item)
{
    const uint32_t reports =
        suspects_in_crash(item, suspects_report_id(item->fingerprint, false)) +
        suspects_in_crash(item, suspects_report_id(item->fingerprint, true));
    const uint32_t seen = item->crash_count - reports;
    return seen > reports ? seen : reports;
}

/*
 * After two crashes, a request is quarantined if it was the only one in flight
 * at one of them or the only one in flight at both.
 */
static bool
suspects_should_quarantine(const struct suspects *suspects,
                           const struct suspects_item *item)
{
    if (suspects_distinct_crash_count(item) < SUSPECTS_CRASHES_TO_QUARANTINE ||
        item->cleared >= item->crash_count) {
        return false;
    }
    for (uint32_t i = 0; i < item->crash_count; i++) {
        if (item->crashes[i].in_flight == 1) {
            return true;
        }
        for (uint32_t j = 0; j < i; j++) {
            if (suspects_is_only_common(suspects, &item->crashes[j],
                                        &item->crashes[i])) {
                return true;
            }
        }
    }
    return false;
}

static void
suspects_update_quarantine(struct suspects *suspects,
                           struct suspects_entry *entry, int64_t now_us)
{
    if (!entry->quarantined &&
        suspects_should_quarantine(suspects, &entry->item)) {
        entry->quarantined = true;
        entry->expires_us = now_us + SUSPECTS_QUARANTINE_US;
    }
}

void
suspects_add_crash(struct suspects *suspects, int64_t now_us,
                   uint64_t crash_id, const uint64_t *fingerprints,
                   size_t count)
{
    const struct suspects_crash crash = {
        .id = crash_id,
        .in_flight = (uint32_t)count,
    };
    for (size_t i = 0; i < count; i++) {
        struct suspects_entry *entry =
            suspects_lookup(suspects, fingerprints[i]);
        if (entry == NULL) {
            entry = suspects_append(suspects, fingerprints[i]);
        }
        suspects_record_crash(&entry->item, &crash);
        if (entry->expires_us < now_us + SUSPECTS_SUSPICION_US) {
            entry->expires_us = now_us + SUSPECTS_SUSPICION_US;
        }
    }
    for (size_t i = 0; i < count; i++) {
        struct suspects_entry *entry =
            suspects_lookup(suspects, fingerprints[i]);
        if (entry != NULL) {
            suspects_update_quarantine(suspects, entry, now_us);
        }
    }
}

void
suspects_report(struct suspects *suspects, int64_t now_us,
                uint64_t fingerprint, bool alone)
{
    /* Separate ids for alone or not: a report of each kind counts once. */
    const uint64_t crash_id = suspects_report_id(fingerprint, alone);
    struct suspects_entry *entry = suspects_lookup(suspects, fingerprint);
    if (entry == NULL) {
        entry = suspects_append(suspects, fingerprint);
    }
    const struct suspects_crash crash = {
        .id = crash_id,
        .in_flight = alone ? 1 : UINT32_MAX,
    };
    suspects_record_crash(&entry->item, &crash);
    if (entry->expires_us < now_us + SUSPECTS_SUSPICION_US) {
        entry->expires_us = now_us + SUSPECTS_SUSPICION_US;
    }
    suspects_update_quarantine(suspects, entry, now_us);
}

enum suspects_status
suspects_get_status(const struct suspects *suspects, int64_t now_us,
                    uint64_t fingerprint)
{
    if (suspects->count == 0) {
        return SUSPECTS_CLEAR;
    }
    const struct suspects_entry *entry =
        suspects_lookup(suspects, fingerprint);
    if (entry == NULL || now_us >= entry->expires_us ||
        entry->item.cleared >= entry->item.crash_count) {
        return SUSPECTS_CLEAR;
    }
    return entry->quarantined ? SUSPECTS_QUARANTINED : SUSPECTS_SUSPECT;
}

void
suspects_clear(struct suspects *suspects, uint64_t fingerprint)
{
    struct suspects_entry *entry = suspects_lookup(suspects, fingerprint);
    if (entry != NULL && !entry->quarantined) {
        entry->item.cleared = entry->item.crash_count;
    }
}

bool
suspects_lift(struct suspects *suspects, uint64_t fingerprint)
{
    struct suspects_entry *entry = suspects_lookup(suspects, fingerprint);
    if (entry == NULL) {
        return false;
    }
    entry->quarantined = false;
    entry->item.cleared = entry->item.crash_count;
    return true;
}

void
suspects_tick(struct suspects *suspects, int64_t now_us)
{
    size_t i = 0;
    while (i < suspects->count) {
        if (now_us >= suspects->entries[i].expires_us) {
            suspects_remove_at(suspects, i);
        }
        else {
            i++;
        }
    }
}

size_t
suspects_export(const struct suspects *suspects, int64_t now_us,
                struct suspects_item *items, size_t capacity)
{
    size_t count = 0;
    for (size_t i = suspects->count; i > 0 && count < capacity; i--) {
        const struct suspects_entry *entry = &suspects->entries[i - 1];
        if (now_us < entry->expires_us) {
            items[count] = entry->item;
            items[count++].remaining_us = entry->expires_us - now_us;
        }
    }
    return count;
}

static bool
suspects_item_valid(const struct suspects_item *item)
{
    return item->crash_count >= 1 &&
           item->crash_count <= SUSPECTS_CRASHES_MAX &&
           item->cleared <= item->crash_count && item->remaining_us > 0 &&
           item->remaining_us <= SUSPECTS_QUARANTINE_US;
}

bool
suspects_import(struct suspects *suspects, int64_t now_us,
                const struct suspects_item *item)
{
    if (!suspects_item_valid(item)) {
        return false;
    }
    struct suspects_entry *entry =
        suspects_lookup(suspects, item->fingerprint);
    bool changed = entry == NULL;
    if (entry == NULL) {
        entry = suspects_append(suspects, item->fingerprint);
        entry->expires_us = now_us + item->remaining_us;
    }
    for (uint32_t i = 0; i < item->crash_count; i++) {
        changed |= suspects_record_crash(&entry->item, &item->crashes[i]);
    }
    if (item->cleared > entry->item.cleared) {
        entry->item.cleared = item->cleared;
        entry->quarantined = false;
        changed = true;
    }
    /* The item may be the last missing request of another suspect's crash. */
    for (size_t i = 0; i < suspects->count; i++) {
        suspects_update_quarantine(suspects, &suspects->entries[i], now_us);
    }
    return changed;
}

size_t
suspects_count(const struct suspects *suspects)
{
    return suspects->count;
}
