/**
 * @file
 * The durable table of request ids, for services that ask for it. An id is
 * inserted, by compare-and-swap, before its request is dispatched, so two
 * owners can never both run it. Inserts and marks of all shards of a gate
 * share transactions; one transaction is outstanding at a time.
 */
#ifndef CHESTNUTGAP_GATE_RUNS_H
#define CHESTNUTGAP_GATE_RUNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/random.h"
#include "store/store.h"

#define RUNS_TABLE "runs"
#define RUNS_BATCH_MAX 256  /* rows in one transaction */
#define RUNS_MARKS_MAX 4096 /* finished marks kept while the store is down */
#define RUNS_DOUBTFUL_MAX 1024 /* rows that may be ours though not run */
#define RUNS_RETRY_AFTER_MS 1000

enum runs_verdict {
    RUNS_RECORDED, /**< the id is ours; dispatch the request */
    RUNS_PRESENT,  /**< an earlier owner may have run it */
    RUNS_REFUSED,  /**< the store did not answer in time; not run */
};

/** A wanted insert, embedded in its owner. Fields are private. */
struct runs_insert {
    struct runs_item *item;
};

/** Tells the verdict. Never called within runs_insert(). */
typedef void (*runs_cb)(void *ctx, struct runs_insert *insert,
                        enum runs_verdict verdict);

struct runs_config {
    const char *service;
    const char *holder;  /**< instance and incarnation; unique */
    int64_t interval_us; /**< least time between two transactions */
    int64_t retention_us;
};

/** The batches of one gate. */
struct runs;

/** The strings of config and the store must outlive it. */
struct runs *runs_create(const struct runs_config *config,
                         const struct store *store,
                         struct random_state *random, runs_cb callback,
                         void *ctx);

/** Inserts that wait get no callback. */
void runs_destroy(struct runs *runs);

/** Asks for the id to be recorded as started. */
void runs_insert(struct runs *runs, struct runs_insert *insert, uint32_t key,
                 const char *id, int64_t deadline_us);

/** The insert is no longer wanted. It may take effect all the same. */
void runs_cancel(struct runs *runs, struct runs_insert *insert);

/** A recorded id was not dispatched after all, and may be asked for again. */
void runs_release(struct runs *runs, uint32_t key, const char *id);

/** A recorded id has finished with this HTTP status. */
void runs_finished(struct runs *runs, uint32_t key, const char *id,
                   unsigned status, int64_t now_us);

/** Sends the next batch if it is time. Call every few milliseconds. */
void runs_tick(struct runs *runs, int64_t now_us);

/** Transactions sent, for measurements. */
uint64_t runs_commits(const struct runs *runs);

#endif
