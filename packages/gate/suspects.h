/**
 * @file
 * Requests suspected of crashing the targets that run them. Every request that
 * was in flight at a crash becomes a suspect. A suspect is run alone. After
 * two crashes it may be quarantined, which means refused for a limited time.
 */
#ifndef CHESTNUTGAP_GATE_SUSPECTS_H
#define CHESTNUTGAP_GATE_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SUSPECTS_CRASHES_MAX 4                    /* per request */
#define SUSPECTS_SUSPICION_US INT64_C(60000000)   /* 1 min */
#define SUSPECTS_QUARANTINE_US INT64_C(600000000) /* 10 min */

enum suspects_status {
    SUSPECTS_CLEAR,
    SUSPECTS_SUSPECT,
    SUSPECTS_QUARANTINED,
};

/** One crash of one target. */
struct suspects_crash {
    uint64_t id;        /**< hash of the target's instance and incarnation */
    uint32_t in_flight; /**< number of requests in flight */
};

/** One suspect request, as members exchange it. */
struct suspects_item {
    uint64_t fingerprint;
    struct suspects_crash crashes[SUSPECTS_CRASHES_MAX];
    uint32_t crash_count;
    uint32_t cleared; /**< crashes it was cleared of */
    int64_t remaining_us;
};

struct suspects;

/**
 * Creates the table of one process. Adding to a full table drops the oldest
 * suspect.
 *
 * @return NULL if out of memory
 */
struct suspects *suspects_create(size_t capacity);
void suspects_destroy(struct suspects *suspects);

/** Hash that identifies a request. The strings may be empty. */
uint64_t suspects_fingerprint(const char *method, const char *target,
                              uint64_t body_hash, const char *request_id);

/** Records that a target crashed while these requests were in flight. */
void suspects_add_crash(struct suspects *suspects, int64_t now_us,
                        uint64_t crash_id, const uint64_t *fingerprints,
                        size_t count);

/**
 * Records that an entry lost the request to a crash of its target. Counts as a
 * separate crash until the gate's report arrives.
 *
 * @param alone no other request was in flight
 */
void suspects_report(struct suspects *suspects, int64_t now_us,
                     uint64_t fingerprint, bool alone);

enum suspects_status suspects_get_status(const struct suspects *suspects,
                                         int64_t now_us, uint64_t fingerprint);

/** Clears a request that ran alone and was answered, unless quarantined. */
void suspects_clear(struct suspects *suspects, uint64_t fingerprint);

/**
 * Clears a request, even if quarantined, at an operator's order.
 *
 * @return false if the request is not in the table
 */
bool suspects_lift(struct suspects *suspects, uint64_t fingerprint);

/** Removes expired suspects. */
void suspects_tick(struct suspects *suspects, int64_t now_us);

/** Copies up to capacity items, newest first, and sets remaining_us. */
size_t suspects_export(const struct suspects *suspects, int64_t now_us,
                       struct suspects_item *items, size_t capacity);

/**
 * Merges an item from another member.
 *
 * @return true if the table changed, so the item should be passed on
 */
bool suspects_import(struct suspects *suspects, int64_t now_us,
                     const struct suspects_item *item);

size_t suspects_count(const struct suspects *suspects);

#endif
