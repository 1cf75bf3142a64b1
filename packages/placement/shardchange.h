/**
 * @file
 * Requested changes of shard map entries, and the conditional write of one
 * page that combines several of them.
 */
#ifndef CHESTNUTGAP_PLACEMENT_SHARDCHANGE_H
#define CHESTNUTGAP_PLACEMENT_SHARDCHANGE_H

#include <sys/queue.h>

#include "placement/peers.h"
#include "placement/shardpage.h"

#define PAGE_WRITE_CONDITIONS 8 /* members rows compared by a write */

enum shardchange_kind {
    SHARDCHANGE_MOVE,    /**< the owner hands a shard over to a receiver */
    SHARDCHANGE_REPLACE, /**< a shard of a member that is gone is reassigned */
    SHARDCHANGE_CLAIM,   /**< a shard without any earlier owner is assigned */
    SHARDCHANGE_SPLIT,   /**< the owner splits a hot key out of its shard */
    SHARDCHANGE_MERGE,   /**< the owner merges a key back into its shard */
};

/** Final result of a change. */
enum shardchange_result {
    SHARDCHANGE_COMMITTED,
    SHARDCHANGE_FAILED,     /**< did not and will not take effect */
    SHARDCHANGE_SUPERSEDED, /**< the entry changed in another way */
};

/** A requested change of one entry. */
struct shardchange {
    TAILQ_ENTRY(shardchange) link;
    enum shardchange_kind kind;
    uint32_t shard;
    uint32_t base;                 /**< of a single key: shard it belongs to */
    char from[STATE_NAME_MAX + 1]; /**< previous owner, "" for a claim */
    uint32_t from_epoch;
    char to[STATE_NAME_MAX + 1];
    bool wait;             /**< the new owner delays serving */
    uint64_t from_version; /**< replacement: of the members row of from */
    const char *reason;
    unsigned attempts;
    bool in_write;   /**< included in the write in progress */
    bool unresolved; /**< in a write whose outcome is unknown */
};

TAILQ_HEAD(shardchange_list, shardchange);

/** Version that a members row must have for a write to commit. */
struct page_condition {
    char instance[STATE_NAME_MAX + 1];
    uint64_t version;
};

/** Audit record of a change. */
struct shardchange_record {
    enum shardchange_kind kind;
    uint32_t shard;
    uint32_t epoch;
    const char *reason;
    char from[STATE_NAME_MAX + 1];
    char to[STATE_NAME_MAX + 1];
};

/** A transaction that writes a whole page if all conditions hold. */
struct page_write {
    uint64_t txn_id;
    uint64_t base_version; /**< expected of the page's row, 0: absent */
    struct shardpage page;
    struct page_condition conditions[PAGE_WRITE_CONDITIONS];
    size_t condition_count;
    struct shardchange_record changes[SHARDPAGE_ENTRIES];
    size_t change_count;
};

/** Result of comparing a change with a page. */
enum shardchange_status {
    SHARDCHANGE_PENDING, /**< the entry is still unchanged */
    SHARDCHANGE_APPLIED, /**< the page contains it */
    SHARDCHANGE_STALE,   /**< the entry changed in another way */
};

const char *shardchange_kind_name(enum shardchange_kind kind);

/** Compares a change with a page. A replacement is stale also if the members
 * row of its previous owner is not gone or has another version. */
enum shardchange_status shardchange_compare(const struct shardchange *change,
                                            struct shardpage *page,
                                            const struct peers *peers);

/** Applies a pending change to a page. @return false if it is impossible. */
bool shardchange_apply(const struct shardchange *change,
                       struct shardpage *page);

#endif
