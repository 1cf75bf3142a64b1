/**
 * @file
 * Load balancing of requests that any target of a service may run: power of
 * two choices by load and latency, in the entry's own availability zone
 * unless another is much cheaper. Slow and failing members are suspended and
 * probed with single requests. A member is an instance of the service.
 */
#ifndef CHESTNUTGAP_ENTRY_CHOICE_H
#define CHESTNUTGAP_ENTRY_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/random.h"
#include "protocol/generated/forward.h"

#define CHOICE_NO_MEMBER UINT32_MAX

/** An attempt under way, embedded in the user's struct. Fields are private. */
struct choice_attempt {
    TAILQ_ENTRY(choice_attempt) link;
    uint32_t member;
    int64_t started_us;
    bool active;
};

/** How an attempt ended. */
enum choice_result {
    CHOICE_ANSWERED,
    CHOICE_REFUSED,         /**< by the gate, which did not run it */
    CHOICE_FULL,            /**< refused by the gate: no capacity */
    CHOICE_UNREACHABLE,     /**< connection failed or no lease */
    CHOICE_CONNECTION_LOST, /**< closed before the reply */
    CHOICE_ABANDONED,       /**< cancelled or out of time */
};

/** State of one member, for operators and tests. */
struct choice_member_info {
    const char *name;
    unsigned outstanding; /**< attempts under way from this entry */
    int64_t latency_us;   /**< smoothed; 0 before the first sample */
    uint32_t limit;       /**< from the latest load report */
    bool suspended;
    bool cold;
    bool draining;
};

/** One entry's balancer for one service. */
struct choice;

/** zone: the entry's own. NULL if out of memory. */
struct choice *choice_create(const char *zone, struct random_state *random);
void choice_destroy(struct choice *choice);

/**
 * Adds a member or updates its zone.
 *
 * @return its number, or CHOICE_NO_MEMBER if out of memory.
 */
uint32_t choice_add(struct choice *choice, const char *name, const char *zone);

/** Removes a member. Its number is reused once its attempts have ended. */
void choice_remove(struct choice *choice, const char *name);

/** By declared state: an excluded member gets no new work. */
void choice_set_excluded(struct choice *choice, uint32_t member,
                         bool excluded);

/** @return its number, or CHOICE_NO_MEMBER. */
uint32_t choice_find_member(const struct choice *choice, const char *name);

/** NULL if there is no such member. */
const char *choice_member_name(const struct choice *choice, uint32_t member);

/**
 * Chooses a member.
 *
 * @param excluded members not to be chosen
 * @param may_probe the request may probe a suspended member
 * @return CHOICE_NO_MEMBER if there is none.
 */
uint32_t choice_pick(struct choice *choice, const uint32_t *excluded,
                     size_t excluded_count, bool may_probe, int64_t now_us);

/**
 * Rendezvous hashing: entries that know the same members choose the same one
 * for a hash.
 */
uint32_t choice_pick_by_hash(const struct choice *choice, uint64_t hash,
                             const uint32_t *excluded, size_t excluded_count,
                             int64_t now_us);

/** Whether the member has room for an extra attempt without queueing. */
bool choice_has_capacity(const struct choice *choice, uint32_t member,
                         int64_t now_us);

/** Call before sending an attempt to the member. */
void choice_attempt_started(struct choice *choice,
                            struct choice_attempt *attempt, uint32_t member,
                            int64_t now_us);

/** The attempt has ended. load: the report on its reply, or NULL. */
void choice_attempt_ended(struct choice *choice,
                          struct choice_attempt *attempt, int64_t now_us,
                          enum choice_result result,
                          const struct forward_load *load);

/** @return false if there is no such member. */
bool choice_get_member_info(const struct choice *choice, uint32_t member,
                            int64_t now_us, struct choice_member_info *info);

/** One past the highest member number. */
uint32_t choice_member_end(const struct choice *choice);

#endif
