/**
 * @file
 * The table of non-idempotent requests that carry an id, kept by the gate
 * that owns the id's shard. It lets a request that is sent again get the
 * answer of its only execution.
 *
 * An id may carry the time at which its caller made it, as
 * "MILLISECONDS-REST": decimal milliseconds since 1970 (13 digits), a minus
 * sign and anything that makes it unique. Only such ids can be told from
 * those that an earlier owner may have run.
 */
#ifndef CHESTNUTGAP_GATE_DEDUP_H
#define CHESTNUTGAP_GATE_DEDUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/error.h"

/** Bytes kept free for the answer of a request that runs. */
#define DEDUP_ANSWER_RESERVE 2048

struct dedup_config {
    int64_t retention_us;    /**< finished ids and answers are kept */
    int64_t clock_margin_us; /**< how far callers' clocks may be off */
    size_t bytes_max;        /**< memory for ids and answers */
    bool durable;            /**< the runs table knows what has been run */
};

/** Time as this process and as its callers see it. */
struct dedup_time {
    int64_t now_us;  /**< monotonic */
    int64_t wall_ms; /**< milliseconds since 1970 */
};

enum dedup_acquisition {
    DEDUP_ACQUIRED_NEW,     /**< the shard never had an owner */
    DEDUP_ACQUIRED_TAKEOVER /**< the former owner's table is lost */
};

enum dedup_verdict {
    DEDUP_RUN,       /**< never run; it is now noted as running */
    DEDUP_WAIT,      /**< running; the waiter gets its answer */
    DEDUP_REPLAY,    /**< finished; here is the answer */
    DEDUP_ID_REUSED, /**< the id belongs to another request; not run */
    DEDUP_UNKNOWN,   /**< may have run; must not run again */
    DEDUP_FULL,      /**< no memory to remember it; not run */
};

/** A request with an id. */
struct dedup_request {
    uint32_t shard; /**< that it belongs to now */
    uint32_t key;   /**< shardmap_key_of() its key: the same after a split */
    const char *id;
    uint64_t body_hash;
};

/** A second request with a running id, embedded in its owner. */
struct dedup_waiter {
    TAILQ_ENTRY(dedup_waiter) link;
    bool waiting; /**< private */
};

TAILQ_HEAD(dedup_waiters, dedup_waiter);

/** A remembered id. Valid until it is forgotten. */
struct dedup_entry;

struct dedup_result {
    enum dedup_verdict verdict;
    struct dedup_entry *entry; /**< with RUN */
    const void *answer;        /**< with REPLAY; valid until the next call */
    size_t answer_size;
    uint32_t retry_after_ms; /**< with FULL */
};

struct dedup;

/** NULL without memory. */
struct dedup *dedup_create(const struct dedup_config *config);
void dedup_destroy(struct dedup *dedup);

/** Takes over a changed declaration. */
void dedup_configure(struct dedup *dedup, const struct dedup_config *config);

/** This instance now owns the shard, without an import. */
void dedup_acquire_shard(struct dedup *dedup, uint32_t shard,
                         enum dedup_acquisition acquisition,
                         const struct dedup_time *time);

/** Forgets a shard that was handed over. Running ids stay until they end. */
void dedup_drop_shard(struct dedup *dedup, uint32_t shard);

/** The key, which is a shard number too, was split out of shard base. */
void dedup_split_key(struct dedup *dedup, uint32_t base, uint32_t key);

/** The single-key shard was merged back into shard base. */
void dedup_merge_key(struct dedup *dedup, uint32_t base, uint32_t key);

/** A request with an id has arrived. */
struct dedup_result dedup_begin(struct dedup *dedup,
                                const struct dedup_request *request,
                                struct dedup_waiter *waiter,
                                const struct dedup_time *time);

/** The first byte is about to be written. Checks INVARIANT_AT_MOST_ONCE. */
bool dedup_mark_dispatched(struct dedup_entry *entry);

/*
 * How the execution ended. Each moves those who wait to waiters, which must
 * be initialised.
 */

/** Answered: the answer is copied and kept. */
void dedup_finish(struct dedup *dedup, struct dedup_entry *entry,
                  const void *answer, size_t answer_size, int64_t now_us,
                  struct dedup_waiters *waiters);

/** Proved not to have run: the id is forgotten. */
void dedup_finish_not_run(struct dedup *dedup, struct dedup_entry *entry,
                          struct dedup_waiters *waiters);

/** It may have run. The id is never run again. */
void dedup_finish_unknown(struct dedup *dedup, struct dedup_entry *entry,
                          int64_t now_us, struct dedup_waiters *waiters);

/** The waiter no longer waits for the id's answer. */
void dedup_cancel_wait(struct dedup *dedup, struct dedup_entry *entry,
                       struct dedup_waiter *waiter);

/** The entry that a waiter waits for; NULL if the id is not running. */
struct dedup_entry *dedup_find_running(const struct dedup *dedup, uint32_t key,
                                       const char *id);

/** Whether other requests wait for the running id. */
bool dedup_has_waiters(const struct dedup_entry *entry);

const char *dedup_id(const struct dedup_entry *entry);

/** Ids of the shard that run. A planned move waits until there are none. */
size_t dedup_running_count(const struct dedup *dedup, uint32_t shard);

/** Forgets ids whose retention is over. */
void dedup_tick(struct dedup *dedup, int64_t now_us);

size_t dedup_count(const struct dedup *dedup);
size_t dedup_bytes(const struct dedup *dedup);

/**
 * The shard's ids for its next owner, at most size_max bytes: if they do not
 * fit, answers are left out, never ids. Ids that still run are listed as
 * unknown. Free the result with free().
 *
 * @return NULL if the ids alone do not fit or the shard is not known.
 */
void *dedup_export(const struct dedup *dedup, uint32_t shard, size_t size_max,
                   int64_t now_us, size_t *size);

/**
 * Takes over a shard with the ids of its former owner.
 *
 * @return false with err set, and nothing changed, if the blob is damaged,
 * of another version or shard; then use dedup_acquire_shard() as unplanned.
 */
bool dedup_import(struct dedup *dedup, uint32_t shard, const void *blob,
                  size_t size, int64_t now_us, struct error *err);

/**
 * Reads the time in an id.
 *
 * @return false if the id does not have the form.
 */
bool dedup_id_created_ms(const char *id, int64_t *created_ms);

#endif
