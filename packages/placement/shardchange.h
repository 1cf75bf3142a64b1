/**
 * @file
 * Changes of the shard map that this instance wants, and the conditional
 * write of one page that carries several of them.
 */
#ifndef CHESTNUTGAP_PLACEMENT_SHARDCHANGE_H
#define CHESTNUTGAP_PLACEMENT_SHARDCHANGE_H

#include <sys/queue.h>

#include "placement/peers.h"
#include "placement/shardpage.h"

#define PAGE_WRITE_CONDITIONS 8 /* members rows that one write compares */

enum shardchange_kind {
    SHARDCHANGE_MOVE,    /**< the owner gives a shard to a receiver */
    SHARDCHANGE_REPLACE, /**< a shard of a member that is gone gets an owner */
    SHARDCHANGE_CLAIM,   /**< a shard that nobody ever owned gets an owner */
    SHARDCHANGE_SPLIT,   /**< the owner makes a hot key a shard of its own */
    SHARDCHANGE_MERGE,   /**< the owner merges a key back into its shard */
};

/** How a change ended. */
enum shardchange_result {
    SHARDCHANGE_COMMITTED,  /**< it is committed */
    SHARDCHANGE_FAILED,     /**< proved not to have been done, now or later */
    SHARDCHANGE_SUPERSEDED, /**< another change came first */
};

/** One wanted change of one entry. */
struct shardchange {
    TAILQ_ENTRY(shardchange) link;
    enum shardchange_kind kind;
    uint32_t shard;
    uint32_t base; /**< of a split: the shard that the key belongs to */
    char from[STATE_NAME_MAX + 1]; /**< owner before, "" for a claim */
    uint32_t from_epoch;
    char to[STATE_NAME_MAX + 1];
    bool wait;             /**< the new owner waits before it serves */
    uint64_t from_version; /**< of a replacement: members row of from */
    const char *reason;
    unsigned attempts;
    bool in_write;   /**< part of the write in progress */
    bool unresolved; /**< part of a write whose outcome is unknown */
};

TAILQ_HEAD(shardchange_list, shardchange);

/** A members row that must still have a version. */
struct page_condition {
    char instance[STATE_NAME_MAX + 1];
    uint64_t version;
};

/** A change as it is recorded in the audit trail. */
struct shardchange_record {
    enum shardchange_kind kind;
    uint32_t shard;
    uint32_t epoch;
    const char *reason;
    char from[STATE_NAME_MAX + 1];
    char to[STATE_NAME_MAX + 1];
};

/** One transaction: the whole new page, if all versions are as expected. */
struct page_write {
    uint64_t txn_id;
    uint64_t base_version; /**< that the page's row must have, 0: none */
    struct shardpage page;
    struct page_condition conditions[PAGE_WRITE_CONDITIONS];
    size_t condition_count;
    struct shardchange_record changes[SHARDPAGE_ENTRIES];
    size_t change_count;
};

/** What a page says about a change. */
enum shardchange_status {
    SHARDCHANGE_PENDING, /**< the entry is as before: to be written */
    SHARDCHANGE_APPLIED,
    SHARDCHANGE_STALE,
};

const char *shardchange_kind_name(enum shardchange_kind kind);

/** Compares a change with a page; a replacement also needs its former owner
 * to be gone at the version that it compares. */
enum shardchange_status shardchange_compare(const struct shardchange *change,
                                            struct shardpage *page,
                                            const struct peers *peers);

/** Makes a wanted change in a page. @return false if it is not possible. */
bool shardchange_apply(const struct shardchange *change,
                       struct shardpage *page);

#endif
