#include "store/storeresolver.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "store"
#include "base/log.h"
#include "base/memory.h"
#include "store/storetxn.h"

/** A commit, until its outcome is known. */
struct pending_commit {
    TAILQ_ENTRY(pending_commit) link;
    struct store_resolver *resolver;
    struct store_txn *txn;
    store_commit_cb callback;
    void *ctx;
    struct timer timer;
    int64_t deadline_us;
    bool outcome_unknown; /* of an earlier attempt */
    /* Row that is being read back: conditions first, then writes. */
    const struct store_condition *condition;
    const struct store_write *write;
    const struct store_condition *failed_condition; /* or NULL */
    bool unwritten_row; /* a row to write has its old version */
};

TAILQ_HEAD(pending_commit_list, pending_commit);

struct store_resolver {
    struct runtime *runtime;
    struct store store;
    struct store_resolver_options options;
    struct pending_commit_list commits;
};

static void
pending_commit_destroy(struct pending_commit *pending)
{
    timer_stop(&pending->timer);
    store_txn_destroy(pending->txn);
    free(pending);
}

/** Runs the callback, which may destroy the resolver. */
static void
end_commit(struct pending_commit *pending,
           const struct store_commit_result *result)
{
    TAILQ_REMOVE(&pending->resolver->commits, pending, link);
    pending->callback(pending->ctx, result);
    pending_commit_destroy(pending);
}

static void
end_commit_unknown(struct pending_commit *pending)
{
    const struct store_commit_result result = {.outcome = STORE_UNKNOWN};
    LOG_WARN("commit_unresolved", LOG_UINT("txn", store_txn_id(pending->txn)));
    end_commit(pending, &result);
}

static void
schedule_read_back(struct pending_commit *pending)
{
    struct store_resolver *resolver = pending->resolver;
    if (runtime_now_us(resolver->runtime) >= pending->deadline_us) {
        end_commit_unknown(pending);
        return;
    }
    timer_start(&pending->timer, resolver->options.read_back_delay_us);
}

static void
on_commit(void *ctx, const struct store_commit_result *result)
{
    struct pending_commit *pending = ctx;
    if (result->outcome == STORE_UNKNOWN) {
        pending->outcome_unknown = true;
    }
    /* An attempt of unknown outcome may have caused a later one's conflict,
     * which only reading back shows. */
    if (result->outcome == STORE_COMMITTED || !pending->outcome_unknown) {
        end_commit(pending, result);
        return;
    }
    schedule_read_back(pending);
}

static void
send_commit(struct pending_commit *pending)
{
    store_commit(&pending->resolver->store, pending->txn, on_commit, pending);
}

/** Called after all rows were read and none has the transaction's id. */
static void
resolve_not_found(struct pending_commit *pending)
{
    if (pending->failed_condition == NULL) {
        send_commit(pending);
        return;
    }
    if (!pending->unwritten_row) {
        end_commit_unknown(pending);
        return;
    }
    const struct store_commit_result result = {
        .outcome = STORE_CONFLICT,
        .table = pending->failed_condition->table,
        .row = pending->failed_condition->row,
    };
    end_commit(pending, &result);
}

/** Version that a condition expects of the row, or 0. */
static uint64_t
expected_version(const struct store_txn *txn, const struct store_write *write)
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

static void read_next_row(struct pending_commit *pending);

static void
on_read(void *ctx, const struct store_read_result *result)
{
    struct pending_commit *pending = ctx;
    const struct store_txn *txn = pending->txn;
    if (result->outcome != STORE_COMMITTED) {
        schedule_read_back(pending);
        return;
    }
    const struct store_row *row = &result->rows[0];
    if (pending->condition != NULL) {
        if (row->version != pending->condition->version) {
            pending->failed_condition = pending->condition;
        }
        pending->condition = STAILQ_NEXT(pending->condition, link);
        read_next_row(pending);
        return;
    }
    if (row->txn_id == txn->id && row->version > 0) {
        const struct store_commit_result committed = {
            .outcome = STORE_COMMITTED,
            .version = row->version,
        };
        end_commit(pending, &committed);
        return;
    }
    if (row->version == expected_version(txn, pending->write)) {
        pending->unwritten_row = true;
    }
    pending->write = STAILQ_NEXT(pending->write, link);
    read_next_row(pending);
}

static void
read_next_row(struct pending_commit *pending)
{
    const struct store *store = &pending->resolver->store;
    if (pending->condition != NULL) {
        store_read(store, pending->condition->table, pending->condition->row,
                   on_read, pending);
        return;
    }
    if (pending->write != NULL) {
        store_read(store, pending->write->table, pending->write->row, on_read,
                   pending);
        return;
    }
    resolve_not_found(pending);
}

/** Reads back conditions, then writes, as the header's rules require. */
static void
on_read_back(void *ctx)
{
    struct pending_commit *pending = ctx;
    pending->failed_condition = NULL;
    pending->unwritten_row = false;
    pending->condition = STAILQ_FIRST(&pending->txn->conditions);
    pending->write = STAILQ_FIRST(&pending->txn->writes);
    read_next_row(pending);
}

struct store_resolver *
store_resolver_create(struct runtime *runtime, const struct store *store,
                      const struct store_resolver_options *options)
{
    struct store_resolver *resolver = memory_calloc(1, sizeof(*resolver));
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
    struct pending_commit *pending = TAILQ_FIRST(&resolver->commits);
    while (pending != NULL) {
        struct pending_commit *next = TAILQ_NEXT(pending, link);
        pending_commit_destroy(pending);
        pending = next;
    }
    free(resolver);
}

/** True if a row is both a condition and written. */
static bool
is_resolvable(const struct store_txn *txn)
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
    if (!is_resolvable(txn)) {
        LOG_ERR("commit_without_guard", LOG_UINT("txn", store_txn_id(txn)));
        abort();
    }
    struct pending_commit *pending = memory_calloc(1, sizeof(*pending));
    pending->resolver = resolver;
    pending->txn = store_txn_copy(txn);
    pending->callback = callback;
    pending->ctx = ctx;
    pending->deadline_us =
        runtime_now_us(resolver->runtime) + resolver->options.timeout_us;
    timer_init(&pending->timer, resolver->runtime, on_read_back, pending);
    TAILQ_INSERT_TAIL(&resolver->commits, pending, link);
    send_commit(pending);
}
