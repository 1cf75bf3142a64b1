#include "store/storeresolver.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "store"
#include "base/log.h"
#include "base/memory.h"
#include "store/storetxn.h"

/** One commit until its outcome is settled. */
struct resolving {
    TAILQ_ENTRY(resolving) link;
    struct store_resolver *resolver;
    struct store_txn *txn;
    store_commit_cb callback;
    void *ctx;
    struct timer timer;
    int64_t give_up_us;
    bool unknown; /* an attempt's outcome is not known */
    /* The row that is being read back: conditions first, then writes. */
    const struct store_condition *condition;
    const struct store_write *write;
    const struct store_condition *broken; /* a condition that failed */
    bool untouched; /* a row that would have been written was not */
};

TAILQ_HEAD(resolving_list, resolving);

struct store_resolver {
    struct runtime *runtime;
    struct store store;
    struct store_resolver_options options;
    struct resolving_list commits;
};

static void
resolving_destroy(struct resolving *resolving)
{
    timer_stop(&resolving->timer);
    store_txn_destroy(resolving->txn);
    free(resolving);
}

/** Runs the callback, which may destroy the resolver, and frees. */
static void
settle(struct resolving *resolving, const struct store_commit_result *result)
{
    TAILQ_REMOVE(&resolving->resolver->commits, resolving, link);
    resolving->callback(resolving->ctx, result);
    resolving_destroy(resolving);
}

static void
settle_unknown(struct resolving *resolving)
{
    const struct store_commit_result result = {.outcome = STORE_UNKNOWN};
    LOG_WARN("commit_unresolved",
             LOG_UINT("txn", store_txn_id(resolving->txn)));
    settle(resolving, &result);
}

static void
retry_later(struct resolving *resolving)
{
    struct store_resolver *resolver = resolving->resolver;
    if (runtime_now_us(resolver->runtime) >= resolving->give_up_us) {
        settle_unknown(resolving);
        return;
    }
    timer_start(&resolving->timer, resolver->options.retry_us);
}

static void
on_commit(void *ctx, const struct store_commit_result *result)
{
    struct resolving *resolving = ctx;
    if (result->outcome == STORE_UNKNOWN) {
        resolving->unknown = true;
    }
    /* After an unknown attempt only a read tells which of them was first. */
    if (result->outcome == STORE_COMMITTED || !resolving->unknown) {
        settle(resolving, result);
        return;
    }
    retry_later(resolving);
}

static void
commit(struct resolving *resolving)
{
    store_commit(&resolving->resolver->store, resolving->txn, on_commit,
                 resolving);
}

/** Decides after all rows were read and none has the transaction's id. */
static void
decide_not_found(struct resolving *resolving)
{
    if (resolving->broken == NULL) {
        commit(resolving);
        return;
    }
    if (!resolving->untouched) {
        settle_unknown(resolving);
        return;
    }
    const struct store_commit_result result = {
        .outcome = STORE_CONFLICT,
        .table = resolving->broken->table,
        .row = resolving->broken->row,
    };
    settle(resolving, &result);
}

/** The version that a written row had before, if a condition tells. */
static uint64_t
version_before(const struct store_txn *txn, const struct store_write *write)
{
    const struct store_condition *condition;
    STAILQ_FOREACH (condition, &txn->conditions, link) {
        if (strcmp(condition->table, write->table) == 0 &&
            strcmp(condition->row, write->row) == 0) {
            return condition->version;
        }
    }
    return 0;
}

static void read_next(struct resolving *resolving);

static void
on_read(void *ctx, const struct store_read_result *result)
{
    struct resolving *resolving = ctx;
    const struct store_txn *txn = resolving->txn;
    if (result->outcome != STORE_COMMITTED) {
        retry_later(resolving);
        return;
    }
    const struct store_row *row = &result->rows[0];
    if (resolving->condition != NULL) {
        if (row->version != resolving->condition->version) {
            resolving->broken = resolving->condition;
        }
        resolving->condition = STAILQ_NEXT(resolving->condition, link);
        read_next(resolving);
        return;
    }
    if (row->txn_id == txn->id && row->version > 0) {
        const struct store_commit_result committed = {
            .outcome = STORE_COMMITTED,
            .version = row->version,
        };
        settle(resolving, &committed);
        return;
    }
    if (row->version == version_before(txn, resolving->write)) {
        resolving->untouched = true;
    }
    resolving->write = STAILQ_NEXT(resolving->write, link);
    read_next(resolving);
}

/** Reads the next row, or decides after the last. */
static void
read_next(struct resolving *resolving)
{
    const struct store *store = &resolving->resolver->store;
    if (resolving->condition != NULL) {
        store_read(store, resolving->condition->table,
                   resolving->condition->row, on_read, resolving);
        return;
    }
    if (resolving->write != NULL) {
        store_read(store, resolving->write->table, resolving->write->row,
                   on_read, resolving);
        return;
    }
    decide_not_found(resolving);
}

/** Reads all rows back. Writes come last, as the rules above need it. */
static void
on_retry(void *ctx)
{
    struct resolving *resolving = ctx;
    resolving->broken = NULL;
    resolving->untouched = false;
    resolving->condition = STAILQ_FIRST(&resolving->txn->conditions);
    resolving->write = STAILQ_FIRST(&resolving->txn->writes);
    read_next(resolving);
}

struct store_resolver *
store_resolver_create(struct runtime *runtime, const struct store *store,
                      const struct store_resolver_options *options)
{
    struct store_resolver *resolver = memory_zeroed(1, sizeof(*resolver));
    resolver->runtime = runtime;
    resolver->store = *store;
    resolver->options = *options;
    TAILQ_INIT(&resolver->commits);
    return resolver;
}

void
store_resolver_destroy(struct store_resolver *resolver)
{
    if (resolver == NULL) {
        return;
    }
    struct resolving *resolving = TAILQ_FIRST(&resolver->commits);
    while (resolving != NULL) {
        struct resolving *next = TAILQ_NEXT(resolving, link);
        resolving_destroy(resolving);
        resolving = next;
    }
    free(resolver);
}

/** True if some row is both a condition and written. */
static bool
can_be_resolved(const struct store_txn *txn)
{
    const struct store_write *write;
    STAILQ_FOREACH (write, &txn->writes, link) {
        const struct store_condition *condition;
        STAILQ_FOREACH (condition, &txn->conditions, link) {
            if (strcmp(condition->table, write->table) == 0 &&
                strcmp(condition->row, write->row) == 0) {
                return true;
            }
        }
    }
    return false;
}

void
store_resolver_commit(struct store_resolver *resolver,
                      const struct store_txn *txn, store_commit_cb callback,
                      void *ctx)
{
    if (!can_be_resolved(txn)) {
        LOG_ERR("commit_without_guard", LOG_UINT("txn", store_txn_id(txn)));
        abort();
    }
    struct resolving *resolving = memory_zeroed(1, sizeof(*resolving));
    resolving->resolver = resolver;
    resolving->txn = store_txn_copy(txn);
    resolving->callback = callback;
    resolving->ctx = ctx;
    resolving->give_up_us =
        runtime_now_us(resolver->runtime) + resolver->options.limit_us;
    timer_init(&resolving->timer, resolver->runtime, on_retry, resolving);
    TAILQ_INSERT_TAIL(&resolver->commits, resolving, link);
    commit(resolving);
}
