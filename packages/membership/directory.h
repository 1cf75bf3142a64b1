/**
 * @file
 * The local table of all members. It is compact, since every instance keeps
 * all of it, and rows only move forward by their versions.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_DIRECTORY_H
#define CHESTNUTGAP_MEMBERSHIP_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "membership/member.h"

struct directory;

/**
 * A member as seen by a visit or lookup. The strings live as long as the
 * directory; everything else is a copy.
 */
struct directory_view {
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
    unsigned wards; /**< members that name it as a guardian */
    bool checks_grants;
};

/** Selects members. Strings may be NULL for any. */
struct directory_filter {
    const char *zone;
    const char *service;
    bool live_only; /**< joining, active or leaving */
};

typedef void (*directory_visitor)(void *ctx,
                                  const struct directory_view *view);

/** NULL when memory is short. */
struct directory *directory_create(void);
void directory_destroy(struct directory *directory);

/**
 * Takes over a row if its version is higher than the one known.
 *
 * @return true if it was taken over.
 */
bool directory_apply(struct directory *directory, const struct member *row,
                     int64_t now_us);

/** Members with a row, live or not. */
size_t directory_count(const struct directory *directory);

/** Members that are joining, active or leaving. */
size_t directory_live_count(const struct directory *directory);

/** Highest version of any row, which a poll of the store may go on from. */
uint64_t directory_version(const struct directory *directory);

/** @return false if no row of the instance is known. */
bool directory_find(const struct directory *directory, const char *instance,
                    struct directory_view *view);

/** The whole row. @return false if none is known. */
bool directory_row(const struct directory *directory, const char *instance,
                   struct member *row);

/** The whole row of an incarnation, by a search of all members. */
bool directory_row_by_incarnation(const struct directory *directory,
                                  uint64_t incarnation, struct member *row);

/** The whole row of the live member with this RPC or HTTP address, by a
 * search of all members. */
bool directory_row_by_address(const struct directory *directory,
                              const struct address *address,
                              struct member *row);

/** Address of the incarnation's RPC node. @return false if not known. */
bool directory_rpc_address(const struct directory *directory,
                           const struct member_ref *ref,
                           struct address *address);

/** Visits members in the order in which they became known. */
void directory_visit(const struct directory *directory,
                     const struct directory_filter *filter,
                     directory_visitor visit, void *ctx);

/** The member at a position below directory_size(), for sampling. */
bool directory_at(const struct directory *directory, size_t position,
                  struct directory_view *view);
size_t directory_size(const struct directory *directory);

/** Bytes of memory in use, without malloc's own. */
size_t directory_memory(const struct directory *directory);

#endif
