/**
 * @file
 * Memory that a process may hold for callers: bodies being received, requests
 * that run and responses that nobody reads yet. Handles callers that together
 * send or leave unread more than the process can hold. When the budget is
 * short, the holder that holds the most for the longest without progress is
 * evicted, or refused if it is the one that asks. A part is reserved for small
 * holders. Takes the time as an argument and makes no calls but evict.
 */
#ifndef CHESTNUTGAP_BASE_MEMORYBUDGET_H
#define CHESTNUTGAP_BASE_MEMORYBUDGET_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Holders of up to this size may use the reserve. */
#define MEMORY_SMALL_BYTES (64u << 10)

/** What memory is held for. */
enum memory_purpose {
    MEMORY_CONNECTIONS, /**< bodies being received and unread responses */
    MEMORY_REQUESTS,    /**< requests that run, with a copy for the target */
    MEMORY_RESPONSES,   /**< responses being received from the target */
    MEMORY_PURPOSES,
};

/** A part of the budget, embedded in its owner. All zero: holds nothing. */
struct memory_holder {
    LIST_ENTRY(memory_holder) link;
    enum memory_purpose purpose;
    size_t bytes;
    int64_t progress_us; /**< when it last made progress */
    /** Frees the holder's memory and releases the holder. NULL: it must not
     * be evicted now. */
    void (*evict)(struct memory_holder *holder);
};

LIST_HEAD(memory_holder_list, memory_holder);

struct memory_budget {
    size_t limit_bytes;
    size_t reserve_bytes; /**< for small holders */
    size_t held_bytes;
    size_t held_by_purpose[MEMORY_PURPOSES];
    struct memory_holder_list holders; /**< that hold anything */
    uint64_t evictions;
    uint64_t refusals;
};

/** The budget of a process with memory_mb MiB in all. */
void memory_budget_init(struct memory_budget *budget, unsigned memory_mb);

/**
 * Changes what the holder holds. Growth may evict others.
 *
 * @return false if it would exceed the budget: the holder keeps what it had
 */
bool memory_budget_set(struct memory_budget *budget,
                       struct memory_holder *holder, size_t bytes,
                       int64_t now_us);

/** The holder holds nothing any more. */
void memory_budget_release(struct memory_budget *budget,
                           struct memory_holder *holder);

#endif
