/**
 * @file
 * Changes of the shard map that this instance wants, and the conditional
 * write of one page that carries several of them.
 */
#ifndef CHESTNUTGAP_PLACEMENT_CHANGE_H
#define CHESTNUTGAP_PLACEMENT_CHANGE_H

#include <sys/queue.h>

#include "placement/peers.h"
#include "placement/shardpage.h"

#define PAGE_WRITE_EXPECTS 8 /* members rows that one write compares */

enum change_kind {
    CHANGE_MOVE,    /**< the owner gives a shard to a receiver */
    CHANGE_REPLACE, /**< a shard of a member that is gone gets an owner */
    CHANGE_CLAIM,   /**< a shard that nobody ever owned gets an owner */
    CHANGE_SPLIT,   /**< the owner makes a hot key a shard of its own */
    CHANGE_MERGE,   /**< the owner merges a key back into its shard */
};

/** How a change ended. */
enum change_result {
    CHANGE_DONE,       /**< it is committed */
    CHANGE_REFUSED,    /**< proved not to have been done, now or later */
    CHANGE_SUPERSEDED, /**< another change came first */
};

/** One wanted change of one entry. */
struct change {
    TAILQ_ENTRY(change) link;
    enum change_kind kind;
    uint32_t shard;
    uint32_t base; /**< of a split: the shard that the key belongs to */
    char from[STATE_NAME_MAX + 1]; /**< owner before, "" for a claim */
    uint32_t from_epoch;
    char to[STATE_NAME_MAX + 1];
    bool wait;             /**< the new owner waits before it serves */
    uint64_t from_version; /**< of a replacement: members row of from */
    const char *why;
    unsigned tries;
    bool in_write;  /**< part of the write in progress */
    bool unsettled; /**< part of a write whose outcome is unknown */
};

TAILQ_HEAD(change_list, change);

/** A members row that must still have a version. */
struct page_expect {
    char instance[STATE_NAME_MAX + 1];
    uint64_t version;
};

/** A change as it is recorded in the audit trail. */
struct page_change {
    enum change_kind kind;
    uint32_t shard;
    uint32_t epoch;
    const char *why;
    char from[STATE_NAME_MAX + 1];
    char to[STATE_NAME_MAX + 1];
};

/** One transaction: the whole new page, if all versions are as expected. */
struct page_write {
    uint64_t txn_id;
    uint64_t base_version; /**< that the page's row must have, 0: none */
    struct shardpage page;
    struct page_expect expects[PAGE_WRITE_EXPECTS];
    size_t expect_count;
    struct page_change changes[SHARDPAGE_ENTRIES];
    size_t change_count;
};

/** What a page says about a change. */
enum standing {
    STANDING_WANTED, /**< the entry is as before: to be written */
    STANDING_DONE,
    STANDING_OVERTAKEN,
};

const char *change_kind_name(enum change_kind kind);

/** Compares a change with a page; a replacement also needs its former owner
 * to be gone at the version that it compares. */
enum standing change_standing(const struct change *change,
                              struct shardpage *page,
                              const struct peers *peers);

/** Makes a wanted change in a page. @return false if it is not possible. */
bool change_edit(const struct change *change, struct shardpage *page);

#endif
