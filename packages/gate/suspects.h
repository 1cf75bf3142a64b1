/**
 * @file
 * Requests that are suspected of stopping the targets that run them. A crash
 * accuses every request that was in flight. A suspect is run alone; one that
 * was seen in two crashes is condemned, which means refused, for a while.
 */
#ifndef CHESTNUTGAP_GATE_SUSPECTS_H
#define CHESTNUTGAP_GATE_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SUSPECTS_CRASHES_MAX 4 /* crashes kept for one request */
#define SUSPECTS_SUSPICION_US INT64_C(60000000)   /* 1 min under suspicion */
#define SUSPECTS_QUARANTINE_US INT64_C(600000000) /* 10 min refused */

enum suspects_status {
    SUSPECTS_CLEAR,
    SUSPECTS_SUSPECT,
    SUSPECTS_QUARANTINED,
};

/** One crash of one target. */
struct suspects_crash {
    uint64_t id;      /**< hash of the target's instance and incarnation */
    uint32_t accused; /**< requests that were in flight */
};

/** What is known of one request; spread among members as it is. */
struct suspects_item {
    uint64_t fingerprint;
    struct suspects_crash crashes[SUSPECTS_CRASHES_MAX];
    uint32_t crash_count;
    uint32_t forgiven; /**< crashes that no longer count against it */
    int64_t remaining_us;
};

/** The table of suspects of one process. */
struct suspects;

/** NULL without memory. A full table forgets the oldest suspicion. */
struct suspects *suspects_create(size_t capacity);
void suspects_destroy(struct suspects *suspects);

/** Identifies a request. Parts may be empty. */
uint64_t suspects_fingerprint(const char *method, const char *target,
                              uint64_t body_hash, const char *request_id);

/** A target stopped while these requests were in flight. */
void suspects_add_crash(struct suspects *suspects, int64_t now_us,
                        uint64_t crash_id, const uint64_t *fingerprints,
                        size_t count);

/**
 * An entry was told that a target stopped while it ran the request. Counts
 * as a crash of its own until the gate's report arrives.
 *
 * @param alone nothing else was in flight
 */
void suspects_report(struct suspects *suspects, int64_t now_us,
                     uint64_t fingerprint, bool alone);

enum suspects_status suspects_get_status(const struct suspects *suspects,
                                         int64_t now_us, uint64_t fingerprint);

/** The request ran alone and was answered: its crashes are forgiven. */
void suspects_clear(struct suspects *suspects, uint64_t fingerprint);

/**
 * Operators lift the suspicion or condemnation.
 *
 * @return false if the request is not listed.
 */
bool suspects_lift(struct suspects *suspects, uint64_t fingerprint);

/** Removes what has expired. */
void suspects_tick(struct suspects *suspects, int64_t now_us);

/** Copies up to capacity items, newest first, with their remaining life. */
size_t suspects_export(const struct suspects *suspects, int64_t now_us,
                       struct suspects_item *items, size_t capacity);

/**
 * Merges an item from another member.
 *
 * @return true if it brought something new, so that it is worth spreading.
 */
bool suspects_import(struct suspects *suspects, int64_t now_us,
                     const struct suspects_item *item);

size_t suspects_count(const struct suspects *suspects);

#endif
