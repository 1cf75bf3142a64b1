/**
 * @file
 * Records executed request ids in the store, for services with durable
 * at-most-once. An id is inserted by compare-and-swap before its request is
 * dispatched, so two owners can't both run it. A row whose request will not
 * run is released, so that a later owner can insert the id again. Inserts,
 * releases and marks of a gate are batched into transactions, of which one is
 * outstanding at a time.
 */
#ifndef CHESTNUTGAP_GATE_EXECUTIONS_H
#define CHESTNUTGAP_GATE_EXECUTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/random.h"
#include "store/store.h"

#define EXECUTIONS_TABLE "runs"
#define EXECUTIONS_BATCH_MAX 256 /* rows per transaction */
/* Finished marks and releases kept while the store is down. */
#define EXECUTIONS_KEPT_MAX 4096
#define EXECUTIONS_RETRY_AFTER_MS 1000

enum executions_verdict {
    EXECUTIONS_RECORDED, /**< dispatch the request */
    EXECUTIONS_PRESENT,  /**< an earlier owner may have run it */
    EXECUTIONS_REFUSED,  /**< not recorded in time; has not run */
};

/** An insert, embedded in the user's struct. Set shard. */
struct executions_insert {
    uint32_t shard;               /**< that contains the key now */
    struct executions_item *item; /* private */
    uint64_t version;             /* private; of the recorded row */
};

/** Never called within executions_insert(). */
typedef void (*executions_cb)(void *ctx, struct executions_insert *insert,
                              enum executions_verdict verdict);

struct executions_config {
    const char *service;
    const char *holder;  /**< instance and incarnation; unique */
    int64_t interval_us; /**< minimum time between two transactions */
    int64_t retention_us;
};

struct executions;

/** The strings of config, store and random must outlive the result. */
struct executions *executions_create(const struct executions_config *config,
                                     const struct store *store,
                                     struct random_state *random,
                                     executions_cb callback, void *ctx);

/** Pending inserts get no callback. */
void executions_destroy(struct executions *executions);

/** Queues the id to be recorded as started; aborts if out of memory. */
void executions_insert(struct executions *executions,
                       struct executions_insert *insert, uint32_t key,
                       const char *id, int64_t deadline_us);

/** Drops the callback of the insert. If its row was written, or may still be,
 * the row will be released. */
void executions_cancel(struct executions *executions,
                       struct executions_insert *insert);

/** Allows any owner to insert a recorded id again, which did not run. */
void executions_release(struct executions *executions,
                        const struct executions_insert *insert, uint32_t key,
                        const char *id);

/**
 * Number of inserts and releases that the store has not settled yet. A planned
 * move waits for 0: the next owner would take rows that stand for no run for
 * requests that began.
 *
 * @param shard of the rows, or of the single key
 */
size_t executions_unsettled_count(const struct executions *executions,
                                  uint32_t shard);

/** Whether executions_unsettled_count() is 0 for all shards. */
bool executions_settled(const struct executions *executions);

/** Marks a recorded id as finished, and deletes it after retention_us. */
void executions_finished(struct executions *executions, uint32_t key,
                         const char *id, unsigned status, int64_t now_us);

/** Sends the next batch if due. Call every few milliseconds. */
void executions_tick(struct executions *executions, int64_t now_us);

/** Number of transactions sent. */
uint64_t executions_commit_count(const struct executions *executions);

#endif
