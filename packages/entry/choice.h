/**
 * @file
 * Choice of a target for a request that any target of the service may run:
 * the cheaper of two random ones by load and latency, in the entry's own
 * availability zone unless another is much cheaper. Slow and failing targets
 * are left and tried again with single requests.
 */
#ifndef CHESTNUTGAP_ENTRY_CHOICE_H
#define CHESTNUTGAP_ENTRY_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/random.h"
#include "protocol/generated/forward.h"

#define CHOICE_NO_MEMBER UINT32_MAX /* no member */

/** A try that is under way, embedded in its owner. Fields are private. */
struct choice_attempt {
    TAILQ_ENTRY(choice_attempt) link;
    uint32_t member;
    int64_t started_us;
    bool active;
};

/** How a try ended. */
enum choice_result {
    CHOICE_ANSWERED,
    CHOICE_REFUSED,         /**< by the gate, as not run */
    CHOICE_FULL,            /**< by the gate, for want of capacity */
    CHOICE_UNREACHABLE,     /**< it could not be reached */
    CHOICE_CONNECTION_LOST, /**< the connection closed before the reply */
    CHOICE_ABANDONED,       /**< cancelled before its end was known */
};

/** What is known of one member, for operators and tests. */
struct choice_member_info {
    const char *name;
    unsigned outstanding;
    int64_t latency_us;
    uint32_t limit;
    bool suspended;
    bool cold;
    bool draining;
};

/** The members of one service as one entry sees them. */
struct choice;

/** zone: the entry's own. NULL without memory. */
struct choice *choice_create(const char *zone, struct random_state *random);
void choice_destroy(struct choice *choice);

/**
 * Adds a member or updates its zone.
 *
 * @return its number, or CHOICE_NO_MEMBER without memory.
 */
uint32_t choice_add(struct choice *choice, const char *name, const char *zone);

/** Removes a member. Its number is reused once its tries have ended. */
void choice_remove(struct choice *choice, const char *name);

/** Whether a member may get new work, as the declared state says. */
void choice_set_excluded(struct choice *choice, uint32_t member,
                         bool excluded);

/** @return its number, or CHOICE_NO_MEMBER. */
uint32_t choice_find_member(const struct choice *choice, const char *name);

/** NULL if there is no such member. */
const char *choice_member_name(const struct choice *choice, uint32_t member);

/**
 * Chooses a member.
 *
 * @param tried members not to be chosen
 * @param may_test the request may be used to test a member that was left
 * @return CHOICE_NO_MEMBER if there is none.
 */
uint32_t choice_pick(struct choice *choice, const uint32_t *excluded,
                     size_t excluded_count, bool may_probe, int64_t now_us);

/**
 * The member that all entries choose for this hash, as long as they know the
 * same members.
 */
uint32_t choice_pick_by_hash(const struct choice *choice, uint64_t hash,
                             const uint32_t *excluded, size_t excluded_count,
                             int64_t now_us);

/** Whether the member could take an extra try without delay. */
bool choice_has_capacity(const struct choice *choice, uint32_t member,
                         int64_t now_us);

/** A try is being sent to the member. */
void choice_attempt_started(struct choice *choice,
                            struct choice_attempt *attempt, uint32_t member,
                            int64_t now_us);

/** The try has ended. load is what rode on the reply, or NULL. */
void choice_attempt_ended(struct choice *choice,
                          struct choice_attempt *attempt, int64_t now_us,
                          enum choice_result result,
                          const struct forward_load *load);

/** @return false if there is no such member. */
bool choice_get_member_info(const struct choice *choice, uint32_t member,
                            int64_t now_us, struct choice_member_info *info);

/** Numbers of members are below this. */
uint32_t choice_member_end(const struct choice *choice);

#endif
