/**
 * @file
 * Duplicate detection for non-idempotent requests with an id, at the gate that
 * owns the id's shard. A retry gets the answer of the only execution.
 *
 * An id may contain its creation time, as "MILLISECONDS-REST": 13 decimal
 * digits of milliseconds since 1970, a minus sign and a part that makes it
 * unique. After an unplanned change of owner, only such an id can be proved
 * not to have run at an earlier owner.
 */
#ifndef CHESTNUTGAP_GATE_DEDUP_H
#define CHESTNUTGAP_GATE_DEDUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/error.h"

/** Bytes reserved for the answer of each running request. */
#define DEDUP_ANSWER_RESERVE 2048

struct dedup_config {
    int64_t retention_us;    /**< of finished ids and their answers */
    int64_t clock_margin_us; /**< maximum error of callers' clocks */
    size_t bytes_max;        /**< of ids and answers */
    bool durable;            /**< executions are recorded in the store */
};

struct dedup_time {
    int64_t now_us;  /**< monotonic */
    int64_t wall_ms; /**< milliseconds since 1970 */
};

enum dedup_acquisition {
    DEDUP_ACQUIRED_NEW,     /**< the shard never had an owner */
    DEDUP_ACQUIRED_TAKEOVER /**< the former owner's table is lost */
};

enum dedup_verdict {
    DEDUP_RUN,       /**< new; now recorded as running */
    DEDUP_WAIT,      /**< running; the waiter will get its answer */
    DEDUP_REPLAY,    /**< finished; the result has the answer */
    DEDUP_ID_REUSED, /**< same id but another request; not run */
    DEDUP_UNKNOWN,   /**< may have run; must not run again */
    DEDUP_FULL,      /**< no memory for a new id; not run */
};

/** A request with an id. */
struct dedup_request {
    uint32_t shard; /**< that currently contains the key */
    uint32_t
        key; /**< shardmap_key_shard() of its key; the same after a split */
    const char *id;
    uint64_t body_hash;
};

/** A duplicate of a running request, embedded in the user's struct. */
struct dedup_waiter {
    TAILQ_ENTRY(dedup_waiter) link;
    bool waiting; /**< private */
};

TAILQ_HEAD(dedup_waiters, dedup_waiter);

/** An id in the table. Valid until it is removed. */
struct dedup_entry;

struct dedup_result {
    enum dedup_verdict verdict;
    struct dedup_entry *entry; /**< with RUN */
    const void *answer;        /**< with REPLAY; valid until the next call */
    size_t answer_size;
    uint32_t retry_after_ms; /**< with FULL */
};

struct dedup;

/** NULL if out of memory. */
struct dedup *dedup_create(const struct dedup_config *config);
void dedup_destroy(struct dedup *dedup);

/** Changes the configuration. */
void dedup_configure(struct dedup *dedup, const struct dedup_config *config);

/** Adds a shard that this instance now owns, without dedup_import(). */
void dedup_acquire_shard(struct dedup *dedup, uint32_t shard,
                         enum dedup_acquisition acquisition,
                         const struct dedup_time *time);

/** Removes a shard that was handed over. Running ids stay until they end. */
void dedup_drop_shard(struct dedup *dedup, uint32_t shard);

/** Moves a key's ids from shard base to the shard numbered like the key. */
void dedup_split_key(struct dedup *dedup, uint32_t base, uint32_t key);

/** Moves the ids of the single-key shard back to shard base. */
void dedup_merge_key(struct dedup *dedup, uint32_t base, uint32_t key);

/** Looks up the id of a request that has arrived and adds it if it is new. */
struct dedup_result dedup_begin(struct dedup *dedup,
                                const struct dedup_request *request,
                                struct dedup_waiter *waiter,
                                const struct dedup_time *time);

/** Call before the first byte is written. Checks INVARIANT_AT_MOST_ONCE. */
bool dedup_mark_dispatched(struct dedup_entry *entry);

/*
 * The following end the execution of an id and append its waiters to the
 * argument waiters, which must be initialised.
 */

/** Answered. Copies the answer; too large a one makes the id unknown. */
void dedup_finish(struct dedup *dedup, struct dedup_entry *entry,
                  const void *answer, size_t answer_size, int64_t now_us,
                  struct dedup_waiters *waiters);

/** Proved not to have run. Removes the id. */
void dedup_finish_not_run(struct dedup *dedup, struct dedup_entry *entry,
                          struct dedup_waiters *waiters);

/** May have run. Further requests with the id get DEDUP_UNKNOWN. */
void dedup_finish_unknown(struct dedup *dedup, struct dedup_entry *entry,
                          int64_t now_us, struct dedup_waiters *waiters);

/** Removes the waiter if it still waits. */
void dedup_cancel_wait(struct dedup *dedup, struct dedup_entry *entry,
                       struct dedup_waiter *waiter);

/** NULL if the id is not running. */
struct dedup_entry *dedup_find_running(const struct dedup *dedup, uint32_t key,
                                       const char *id);

bool dedup_has_waiters(const struct dedup_entry *entry);

const char *dedup_id(const struct dedup_entry *entry);

/** Number of running ids in the shard; a planned move waits for 0. */
size_t dedup_running_count(const struct dedup *dedup, uint32_t shard);

/** Removes ids whose retention has ended. */
void dedup_tick(struct dedup *dedup, int64_t now_us);

size_t dedup_count(const struct dedup *dedup);
size_t dedup_bytes(const struct dedup *dedup);

/**
 * Encodes the shard's ids for its next owner. If size_max is exceeded, all
 * answers are left out, but no ids. Running ids are exported as unknown.
 *
 * @return a buffer to release with free(); NULL if the ids alone exceed
 * size_max, the shard doesn't exist or memory is out
 */
void *dedup_export(const struct dedup *dedup, uint32_t shard, size_t size_max,
                   int64_t now_us, size_t *size);

/**
 * Adds a shard with the ids that its former owner exported.
 *
 * @return false with err set if the blob is damaged or of another version or
 * shard, which changes nothing. Then call dedup_acquire_shard() with
 * DEDUP_ACQUIRED_TAKEOVER.
 */
bool dedup_import(struct dedup *dedup, uint32_t shard, const void *blob,
                  size_t size, int64_t now_us, struct error *err);

/**
 * Parses the creation time of an id.
 *
 * @return false if the id doesn't contain one
 */
bool dedup_id_created_ms(const char *id, int64_t *created_ms);

#endif
