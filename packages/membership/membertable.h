/**
 * @file
 * The local table of all members. It is compact, since every instance keeps
 * the whole table. A row is only replaced by one of a higher version.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MEMBERTABLE_H
#define CHESTNUTGAP_MEMBERSHIP_MEMBERTABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "membership/member.h"

struct membertable;

/**
 * A member as returned by a visit or lookup. The strings live as long as
 * the table; everything else is a copy.
 */
struct membertable_view {
    const char *instance;
    const char *zone;
    const char *region;
    const char *service;
    uint64_t incarnation;
    uint64_t version;
    int64_t first_seen_us; /**< when this version was applied */
    int64_t longest_request_us;
    int64_t serve_after_us;
    int64_t lease_us;
    int64_t renewal_max_us;
    enum member_state state;
    unsigned slots;
    unsigned guarded_count; /**< live members that name it as a guardian */
    bool checks_grants;
};

/** Selects members. A NULL string matches any. */
struct membertable_filter {
    const char *zone;
    const char *service;
    bool live_only; /**< joining, active or leaving */
};

typedef void (*membertable_visitor)(void *ctx,
                                    const struct membertable_view *view);

/** NULL if memory is exhausted. */
struct membertable *membertable_create(void);
void membertable_destroy(struct membertable *table);

/**
 * Applies a row if its version is higher than the known one.
 *
 * @return true if it was applied.
 */
bool membertable_apply(struct membertable *table, const struct member *row,
                       int64_t now_us);

/** Number of members with a row, live or not. */
size_t membertable_count(const struct membertable *table);

/** Number of members that are joining, active or leaving. */
size_t membertable_live_count(const struct membertable *table);

/** Highest version of any row, from which a poll of the store may continue. */
uint64_t membertable_version(const struct membertable *table);

/** @return false if no row of the instance is known. */
bool membertable_find(const struct membertable *table, const char *instance,
                      struct membertable_view *view);

/** The whole row. @return false if none is known. */
bool membertable_row(const struct membertable *table, const char *instance,
                     struct member *row);

/** The whole row of an incarnation, by a linear search. */
bool membertable_row_by_incarnation(const struct membertable *table,
                                    uint64_t incarnation, struct member *row);

/** The whole row of the live member with this RPC or HTTP address, by a
 * linear search. */
bool membertable_row_by_address(const struct membertable *table,
                                const struct address *address,
                                struct member *row);

/** RPC address of the incarnation. @return false if it is not known. */
bool membertable_rpc_address(const struct membertable *table,
                             const struct member_ref *ref,
                             struct address *address);

/** Visits the selected members in the order in which they became known. */
void membertable_visit(const struct membertable *table,
                       const struct membertable_filter *filter,
                       membertable_visitor visit, void *ctx);

/** The member at a position below membertable_size(), for sampling.
 * @return false if it has no row. */
bool membertable_at(const struct membertable *table, size_t position,
                    struct membertable_view *view);
size_t membertable_size(const struct membertable *table);

/** Bytes of memory in use, without the allocator's overhead. */
size_t membertable_memory(const struct membertable *table);

#endif
