/**
 * @file
 * The durable table of request ids, for services that ask for it. An id is
 * inserted, by compare-and-swap, before its request is dispatched, so two
 * owners can never both run it. Inserts and marks of all shards of a gate
 * share transactions; one transaction is outstanding at a time.
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
#define EXECUTIONS_BATCH_MAX 256 /* rows in one transaction */
#define EXECUTIONS_MARKS_MAX                                                  \
    4096 /* finished marks kept while the store is down */
#define EXECUTIONS_UNRESOLVED_MAX                                             \
    1024 /* rows that may be ours though not run */
#define EXECUTIONS_RETRY_AFTER_MS 1000

enum executions_verdict {
    EXECUTIONS_RECORDED, /**< the id is ours; dispatch the request */
    EXECUTIONS_PRESENT,  /**< an earlier owner may have run it */
    EXECUTIONS_REFUSED,  /**< the store did not answer in time; not run */
};

/** A wanted insert, embedded in its owner. Fields are private. */
struct executions_insert {
    struct executions_item *item;
};

/** Tells the verdict. Never called within executions_insert(). */
typedef void (*executions_cb)(void *ctx, struct executions_insert *insert,
                              enum executions_verdict verdict);

struct executions_config {
    const char *service;
    const char *holder;  /**< instance and incarnation; unique */
    int64_t interval_us; /**< least time between two transactions */
    int64_t retention_us;
};

/** The batches of one gate. */
struct runs;

/** The strings of config and the store must outlive it. */
struct runs *executions_create(const struct executions_config *config,
                               const struct store *store,
                               struct random_state *random,
                               executions_cb callback, void *ctx);

/** Inserts that wait get no callback. */
void executions_destroy(struct runs *executions);

/** Asks for the id to be recorded as started. */
void executions_insert(struct runs *executions,
                       struct executions_insert *insert, uint32_t key,
                       const char *id, int64_t deadline_us);

/** The insert is no longer wanted. It may take effect all the same. */
void executions_cancel(struct runs *executions,
                       struct executions_insert *insert);

/** A recorded id was not dispatched after all, and may be asked for again. */
void executions_release(struct runs *executions, uint32_t key, const char *id);

/** A recorded id has finished with this HTTP status. */
void executions_finished(struct runs *executions, uint32_t key, const char *id,
                         unsigned status, int64_t now_us);

/** Sends the next batch if it is time. Call every few milliseconds. */
void executions_tick(struct runs *executions, int64_t now_us);

/** Transactions sent, for measurements. */
uint64_t executions_commit_count(const struct runs *executions);

#endif
