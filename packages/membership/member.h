/**
 * @file
 * A row of the members table: one instance of the system, what it can do,
 * and the guardians of its lease.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MEMBER_H
#define CHESTNUTGAP_MEMBERSHIP_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/address.h"
#include "base/error.h"
#include "state/state.h"

#define MEMBER_TABLE "members"
#define MEMBER_GUARDIANS_MAX 3
#define MEMBER_DURATION_MAX_US INT64_C(10000000000000) /* 115 days */
#define MEMBER_INCARNATION_BITS 53 /* exact in every reader of JSON */

enum member_state {
    MEMBER_UNKNOWN, /**< only named by other rows */
    MEMBER_JOINING, /**< registered, has not held its lease yet */
    MEMBER_ACTIVE,
    MEMBER_LEAVING, /**< gets no new work, holds its lease until it left */
    MEMBER_LEFT,    /**< stopped on its own; holds nothing */
    MEMBER_FENCED,  /**< its lease was proved to have ended */
};

/** One run of one instance. */
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
    unsigned slots;             /**< requests its target runs at once */
    bool checks_grants;         /**< its target checks who orders */
    int64_t longest_request_us; /**< the service's deadline_max_us */
    int64_t lease_us;
    int64_t renewal_max_us; /**< the row is renewed this often */
    struct guardian_set guardians;
    struct guardian_set outgoing; /**< earlier set, until confirmed */
    /**
     * Set by a fence, and kept by the next incarnation: a new owner starts
     * only this long after it learnt of the fence, because the target may
     * still run earlier requests.
     */
    int64_t serve_after_us;
    uint64_t version; /**< of the row in the store; not part of the JSON */
};

/** Copies a name, cut to STATE_NAME_MAX bytes. */
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

/** Acknowledgements that a holder needs of a set of this size. */
size_t guardian_quorum_hold(size_t count);

/** Certificates that a fence needs of a set of this size. */
size_t guardian_quorum_fence(size_t count);

/** True while the incarnation may hold a lease. */
bool member_is_live(const struct member *member);

/** The row's value. Aborts without memory. */
json_t *member_to_json(const struct member *member);

/**
 * Reads a row's value. Unknown fields are ignored, so that older programs
 * read rows of newer ones.
 *
 * @return false with ERROR_FIELD_MISSING, _TYPE, _RANGE or ERROR_ADDRESS.
 */
bool member_from_json(const json_t *value, uint64_t version,
                      struct member *member, struct error *err);

#endif
