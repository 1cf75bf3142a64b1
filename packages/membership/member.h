/**
 * @file
 * A row of the members table: one instance of the system, its attributes and
 * the guardians of its lease.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MEMBER_H
#define CHESTNUTGAP_MEMBERSHIP_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/address.h"
#include "base/error.h"
#include "base/timeunits.h"
#include "state/state.h"

#define MEMBER_TABLE "members"
#define MEMBER_GUARDIANS_MAX 3
#define MEMBER_DURATION_MAX_US (10000000 * US_PER_SECOND) /* 115 days */
#define MEMBER_INCARNATION_BITS 53 /* exact in every JSON parser */

enum member_state {
    MEMBER_UNKNOWN, /**< only named as a guardian by other rows */
    MEMBER_JOINING, /**< registered, not active yet */
    MEMBER_ACTIVE,
    MEMBER_LEAVING, /**< gets no new work, still holds its lease */
    MEMBER_LEFT,    /**< ended its lease itself */
    MEMBER_FENCED,  /**< its lease was proved to have ended */
};

/** One incarnation of an instance. */
struct member_ref {
    char instance[STATE_NAME_MAX + 1];
    uint64_t incarnation;
};

/** The guardians of a lease, or none. */
struct guardian_set {
    size_t count;
    struct member_ref refs[MEMBER_GUARDIANS_MAX];
};

/** A members row. */
struct member {
    struct member_ref self;
    char zone[STATE_NAME_MAX + 1];
    char region[STATE_NAME_MAX + 1];
    char service[STATE_NAME_MAX + 1]; /**< "" if it has no target */
    struct address rpc;
    struct address http;
    enum member_state state;
    unsigned slots;             /**< concurrent requests of its target */
    bool checks_grants;         /**< its target checks the sender's grant */
    int64_t longest_request_us; /**< the service's deadline_max_us */
    int64_t lease_us;
    int64_t renewal_max_us; /**< longest time between writes of the row */
    struct guardian_set guardians;
    struct guardian_set outgoing; /**< earlier set, until confirmed */
    /**
     * Set by a fence and kept by the next incarnation: a new owner waits this
     * long after it learnt of the fence, because the target may still run
     * earlier requests.
     */
    int64_t serve_after_us;
    uint64_t version; /**< of the row in the store; not part of the JSON */
};

/** Copies a name, truncated to STATE_NAME_MAX bytes. */
void member_copy_name(char to[STATE_NAME_MAX + 1], const char *from);

const char *member_state_name(enum member_state state);

bool member_ref_equal(const struct member_ref *a, const struct member_ref *b);

/** Same members in the same order. */
bool guardian_set_equal(const struct guardian_set *a,
                        const struct guardian_set *b);

bool guardian_set_contains(const struct guardian_set *set,
                           const struct member_ref *ref);

/** @return false if the set is full or has the member already. */
bool guardian_set_add(struct guardian_set *set, const struct member_ref *ref);

/** Acknowledgements that a holder needs from a set of this size. */
size_t guardian_quorum_hold(size_t count);

/** Certificates that a fence needs from a set of this size. */
size_t guardian_quorum_fence(size_t count);

/** True while the incarnation may hold a lease. */
bool member_is_live(const struct member *member);

/** The row's value. Aborts if memory is exhausted. */
json_t *member_to_json(const struct member *member);

/**
 * Parses a row's value. Unknown fields are ignored, so that older versions
 * accept rows of newer ones.
 *
 * @return false with ERROR_FIELD_MISSING, _TYPE, _RANGE or ERROR_ADDRESS.
 */
bool member_from_json(const json_t *value, uint64_t version,
                      struct member *member, struct error *err);

#endif
