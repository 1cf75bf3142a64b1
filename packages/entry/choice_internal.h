/**
 * @file
 * Shared by the files of the choice of targets.
 */
#ifndef CHESTNUTGAP_ENTRY_CHOICE_INTERNAL_H
#define CHESTNUTGAP_ENTRY_CHOICE_INTERNAL_H

#include "base/timeunits.h"
#include "entry/choice.h"

#define CHOICE_NAME_SIZE 64
#define CHOICE_LATENCY_DEFAULT_US 10000.0
#define CHOICE_PROBE_DELAY_MIN_US (100 * US_PER_MS)
#define CHOICE_ATTEMPTS_UNLIMITED 1e9

TAILQ_HEAD(choice_attempts, choice_attempt);

struct choice_member {
    char name[CHOICE_NAME_SIZE];
    uint64_t name_hash;
    bool used;
    bool removed; /* freed when its last attempt ends */
    bool local;
    bool excluded;
    struct choice_attempts attempts; /* oldest first */
    unsigned outstanding;
    double latency_us; /* smoothed, 0 before the first sample */
    unsigned samples;
    double stall_expected_answers;
    int64_t stall_checked_us;
    /* Load from all other entries, by the latest reply. */
    double others_load;
    int64_t others_load_at_us;
    uint32_t limit;
    bool cold;
    int64_t draining_until_us;
    int64_t full_pause_until_us;
    /* Suspended because it was slow or failed. */
    bool suspended;
    bool unreachable; /* by the latest attempt */
    unsigned consecutive_losses;
    bool probing;
    int64_t probe_at_us;
    int64_t probe_delay_us;
    unsigned good_probes;
    double attempt_limit; /* concurrent attempts after a suspension */
};

/* Numbers of the members of the own or of other zones. */
struct choice_candidates {
    uint32_t *members;
    size_t count;
};

struct choice {
    char zone[CHOICE_NAME_SIZE];
    struct random_state *random;
    struct choice_member *members;
    uint32_t count;
    uint32_t capacity;
    struct choice_candidates local;
    struct choice_candidates remote;
    size_t suspended_count;
    double baseline_us; /* latency of healthy members */
    int64_t baseline_computed_us;
};

/** NULL if there is no such member. */
struct choice_member *choice_member(const struct choice *choice,
                                    uint32_t number);

void choice_set_suspended(struct choice *choice, struct choice_member *member,
                          bool suspended);

/** Makes the number of a removed member free again. */
void choice_free_member(struct choice *choice, struct choice_member *member);

/** Recomputes the baseline latency if it is due. */
void choice_refresh_baseline(struct choice *choice, int64_t now_us);

/** Suspends a member that has stopped answering. */
void choice_check_stall(struct choice *choice, struct choice_member *member,
                        int64_t now_us);

#endif
