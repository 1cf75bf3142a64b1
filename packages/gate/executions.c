#include "gate/executions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define ROW_SIZE (STORE_NAME_MAX + 1)
#define UNKNOWN_TXNS_MAX 4

enum executions_kind {
    EXECUTIONS_KIND_INSERT,
    EXECUTIONS_KIND_MARK,   /* finished */
    EXECUTIONS_KIND_DELETE, /* retention has ended */
};

struct executions_item {
    TAILQ_ENTRY(executions_item) link;
    enum executions_kind kind;
    struct executions_insert *insert; /* NULL once cancelled */
    int64_t deadline_us;              /* of an insert */
    int64_t due_us;                   /* of a delete */
    unsigned status;
    char row[ROW_SIZE];
};

TAILQ_HEAD(executions_items, executions_item);

struct executions {
    struct executions_config config;
    const struct store *store;
    struct random_state *random;
    executions_cb callback;
    void *ctx;
    struct executions_items waiting;
    struct executions_items batch; /* of the outstanding transaction */
    struct executions_items deletes;
    size_t mark_count;
    bool outstanding;
    uint64_t txn_id;
    /* Attempts of this batch whose outcome is unknown. */
    uint64_t unknown_txns[UNKNOWN_TXNS_MAX];
    size_t unknown_count;
    int64_t next_batch_us;
    int64_t now_us;
    /* Ring of row name hashes. */
    uint64_t unresolved[EXECUTIONS_UNRESOLVED_MAX];
    size_t unresolved_next;
    uint64_t commits;
};

struct executions *
executions_create(const struct executions_config *config,
                  const struct store *store, struct random_state *random,
                  executions_cb callback, void *ctx)
{
    struct executions *executions = calloc(1, sizeof(*executions));
    if (executions == NULL) {
        return NULL;
    }
    executions->config = *config;
    executions->store = store;
    executions->random = random;
    executions->callback = callback;
    executions->ctx = ctx;
    TAILQ_INIT(&executions->waiting);
    TAILQ_INIT(&executions->batch);
    TAILQ_INIT(&executions->deletes);
    return executions;
}

static void
executions_free_items(struct executions_items *items)
{
    struct executions_item *item;
    while ((item = TAILQ_FIRST(items)) != NULL) {
        TAILQ_REMOVE(items, item, link);
        if (item->insert != NULL) {
            item->insert->item = NULL;
        }
        free(item);
    }
}

void
executions_destroy(struct executions *executions)
{
    if (executions != NULL) {
        executions_free_items(&executions->waiting);
        executions_free_items(&executions->batch);
        executions_free_items(&executions->deletes);
        free(executions);
    }
}

/* The id is hashed because it may have any length and content. */
static void
executions_row_name(const struct executions *executions, uint32_t key,
                    const char *id, char row[ROW_SIZE])
{
    const uint64_t high = hash_bytes(id, strlen(id), 1);
    const uint64_t low = hash_bytes(id, strlen(id), 2);
    snprintf(row, ROW_SIZE, "%s/%u/%016llx%016llx", executions->config.service,
             key, (unsigned long long)high, (unsigned long long)low);
}

static struct executions_item *
executions_item_create(const struct executions *executions,
                       enum executions_kind kind, uint32_t key, const char *id)
{
    struct executions_item *item = calloc(1, sizeof(*item));
    if (item != NULL) {
        item->kind = kind;
        executions_row_name(executions, key, id, item->row);
    }
    return item;
}

static void
executions_add_unresolved(struct executions *executions, const char *row)
{
    executions->unresolved[executions->unresolved_next++ %
                           EXECUTIONS_UNRESOLVED_MAX] = hash_string(row);
}

static bool
executions_take_unresolved(struct executions *executions, const char *row)
{
    const uint64_t hash = hash_string(row);
    for (size_t i = 0; i < EXECUTIONS_UNRESOLVED_MAX; i++) {
        if (executions->unresolved[i] == hash) {
            executions->unresolved[i] = 0;
            return true;
        }
    }
    return false;
}

void
executions_insert(struct executions *executions,
                  struct executions_insert *insert, uint32_t key,
                  const char *id, int64_t deadline_us)
{
    struct executions_item *item =
        executions_item_create(executions, EXECUTIONS_KIND_INSERT, key, id);
    if (item == NULL) {
        abort();
    }
    item->insert = insert;
    item->deadline_us = deadline_us;
    insert->item = item;
    TAILQ_INSERT_TAIL(&executions->waiting, item, link);
}

void
executions_cancel(struct executions *executions,
                  struct executions_insert *insert)
{
    if (insert->item == NULL) {
        return;
    }
    executions_add_unresolved(executions, insert->item->row);
    insert->item->insert = NULL;
    insert->item = NULL;
}

void
executions_release(struct executions *executions, uint32_t key, const char *id)
{
    char row[ROW_SIZE];
    executions_row_name(executions, key, id, row);
    executions_add_unresolved(executions, row);
}

void
executions_finished(struct executions *executions, uint32_t key,
                    const char *id, unsigned status, int64_t now_us)
{
    struct executions_item *delete_item =
        executions_item_create(executions, EXECUTIONS_KIND_DELETE, key, id);
    if (delete_item != NULL) {
        delete_item->due_us = now_us + executions->config.retention_us;
        TAILQ_INSERT_TAIL(&executions->deletes, delete_item, link);
    }
    if (executions->mark_count >= EXECUTIONS_MARKS_MAX) {
        return; /* the row stays as started, which is safe */
    }
    struct executions_item *mark =
        executions_item_create(executions, EXECUTIONS_KIND_MARK, key, id);
    if (mark != NULL) {
        mark->status = status;
        executions->mark_count++;
        TAILQ_INSERT_TAIL(&executions->waiting, mark, link);
    }
}

static void
executions_end_item(struct executions *executions,
                    struct executions_items *items,
                    struct executions_item *item,
                    enum executions_verdict verdict)
{
    TAILQ_REMOVE(items, item, link);
    struct executions_insert *insert = item->insert;
    if (item->kind == EXECUTIONS_KIND_MARK) {
        executions->mark_count--;
    }
    free(item);
    if (insert != NULL) {
        insert->item = NULL;
        executions->callback(executions->ctx, insert, verdict);
    }
}

static void
executions_end_all(struct executions *executions,
                   struct executions_items *items,
                   enum executions_verdict verdict)
{
    struct executions_item *item = TAILQ_FIRST(items);
    while (item != NULL) {
        struct executions_item *next = TAILQ_NEXT(item, link);
        executions_end_item(executions, items, item, verdict);
        item = next;
    }
}

static void
executions_end_batch(struct executions *executions,
                     enum executions_verdict verdict)
{
    executions->unknown_count = 0;
    struct executions_items ended = TAILQ_HEAD_INITIALIZER(ended);
    TAILQ_CONCAT(&ended, &executions->batch, link);
    executions_end_all(executions, &ended, verdict);
}

/* The store applied nothing: refuses inserts and keeps marks for later. */
static void
executions_on_unavailable(struct executions *executions)
{
    struct executions_items refused = TAILQ_HEAD_INITIALIZER(refused);
    struct executions_items kept = TAILQ_HEAD_INITIALIZER(kept);
    struct executions_item *item = TAILQ_FIRST(&executions->batch);
    while (item != NULL) {
        struct executions_item *next = TAILQ_NEXT(item, link);
        TAILQ_REMOVE(&executions->batch, item, link);
        if (item->kind == EXECUTIONS_KIND_INSERT) {
            TAILQ_INSERT_TAIL(&refused, item, link);
        }
        else {
            TAILQ_INSERT_TAIL(&kept, item, link);
        }
        item = next;
    }
    TAILQ_CONCAT(&kept, &executions->waiting, link);
    TAILQ_CONCAT(&executions->waiting, &kept, link);
    executions_end_all(executions, &refused, EXECUTIONS_REFUSED);
}

static struct executions_item *
executions_find(struct executions *executions, const char *row)
{
    struct executions_item *item;
    TAILQ_FOREACH (item, &executions->batch, link) {
        if (item->kind == EXECUTIONS_KIND_INSERT &&
            strcmp(item->row, row) == 0) {
            return item;
        }
    }
    return NULL;
}

static bool
executions_is_own_txn(const struct executions *executions, uint64_t txn_id)
{
    for (size_t i = 0; i < executions->unknown_count; i++) {
        if (executions->unknown_txns[i] == txn_id) {
            return true;
        }
    }
    return false;
}

static bool
executions_is_holder(const struct executions *executions, const json_t *value)
{
    const char *holder = json_string_value(json_object_get(value, "holder"));
    return holder != NULL && strcmp(holder, executions->config.holder) == 0;
}

/* Reads the conflicting row, which shows whether this holder inserted it. */
static void
executions_on_conflict_read(void *ctx, const struct store_read_result *result)
{
    struct executions *executions = ctx;
    executions->outstanding = false;
    if (result->outcome != STORE_COMMITTED || result->row_count == 0) {
        return; /* the batch is retried */
    }
    const struct store_row *row = &result->rows[0];
    if (row->version == 0) {
        return; /* never written: the batch is retried */
    }
    if (executions_is_own_txn(executions, row->txn_id)) {
        executions_end_batch(executions, EXECUTIONS_RECORDED);
        return;
    }
    struct executions_item *item = executions_find(executions, row->name);
    if (item == NULL) {
        return;
    }
    const bool is_own = executions_is_holder(executions, row->value) &&
                        executions_take_unresolved(executions, row->name);
    executions_end_item(executions, &executions->batch, item,
                        is_own ? EXECUTIONS_RECORDED : EXECUTIONS_PRESENT);
}

static void
executions_on_commit(void *ctx, const struct store_commit_result *result)
{
    struct executions *executions = ctx;
    executions->outstanding = false;
    switch (result->outcome) {
    case STORE_COMMITTED:
        executions_end_batch(executions, EXECUTIONS_RECORDED);
        return;
    case STORE_CONFLICT:
        if (result->row == NULL) {
            return;
        }
        executions->outstanding = true;
        store_read(executions->store, EXECUTIONS_TABLE, result->row,
                   executions_on_conflict_read, executions);
        return;
    case STORE_UNAVAILABLE:
        /* An earlier attempt may still take effect. */
        if (executions->unknown_count == 0) {
            executions_on_unavailable(executions);
        }
        return;
    case STORE_UNKNOWN:
        executions
            ->unknown_txns[executions->unknown_count % UNKNOWN_TXNS_MAX] =
            executions->txn_id;
        if (executions->unknown_count < UNKNOWN_TXNS_MAX) {
            executions->unknown_count++;
        }
        return;
    }
}

/* Whether to refuse an insert, although its row may have been written or may
 * still be. */
static bool
executions_is_abandoned(const struct executions_item *item, bool sent,
                        int64_t now_us)
{
    if (item->kind != EXECUTIONS_KIND_INSERT) {
        return false;
    }
    return now_us >= item->deadline_us || (item->insert == NULL && !sent);
}

static void
executions_expire(struct executions *executions,
                  struct executions_items *items, int64_t now_us)
{
    struct executions_items refused = TAILQ_HEAD_INITIALIZER(refused);
    struct executions_items kept = TAILQ_HEAD_INITIALIZER(kept);
    const bool sent = items == &executions->batch;
    struct executions_item *item = TAILQ_FIRST(items);
    TAILQ_INIT(items);
    while (item != NULL) {
        struct executions_item *next = TAILQ_NEXT(item, link);
        if (executions_is_abandoned(item, sent, now_us)) {
            executions_add_unresolved(executions, item->row);
            TAILQ_INSERT_TAIL(&refused, item, link);
        }
        else {
            TAILQ_INSERT_TAIL(&kept, item, link);
        }
        item = next;
    }
    TAILQ_CONCAT(items, &kept, link);
    executions_end_all(executions, &refused, EXECUTIONS_REFUSED);
}

static void
executions_fill_batch(struct executions *executions, int64_t now_us)
{
    size_t count = 0;
    struct executions_item *item;
    while (count < EXECUTIONS_BATCH_MAX &&
           (item = TAILQ_FIRST(&executions->waiting)) != NULL) {
        TAILQ_REMOVE(&executions->waiting, item, link);
        TAILQ_INSERT_TAIL(&executions->batch, item, link);
        count++;
    }
    while (count < EXECUTIONS_BATCH_MAX &&
           (item = TAILQ_FIRST(&executions->deletes)) != NULL &&
           item->due_us <= now_us) {
        TAILQ_REMOVE(&executions->deletes, item, link);
        TAILQ_INSERT_TAIL(&executions->batch, item, link);
        count++;
    }
}

static void
executions_send_batch(struct executions *executions)
{
    executions->txn_id = random_u64(executions->random);
    struct store_txn *txn = store_txn_create(executions->txn_id);
    const struct executions_item *item;
    TAILQ_FOREACH (item, &executions->batch, link) {
        if (item->kind == EXECUTIONS_KIND_DELETE) {
            store_txn_delete(txn, EXECUTIONS_TABLE, item->row);
            continue;
        }
        if (item->kind == EXECUTIONS_KIND_INSERT) {
            store_txn_expect(txn, EXECUTIONS_TABLE, item->row, 0);
        }
        json_t *value =
            json_pack("{s:s, s:i}", "holder", executions->config.holder,
                      "status", (int)item->status);
        store_txn_put(txn, EXECUTIONS_TABLE, item->row, value);
    }
    executions->outstanding = true;
    executions->commits++;
    store_commit(executions->store, txn, executions_on_commit, executions);
    store_txn_destroy(txn);
}

void
executions_tick(struct executions *executions, int64_t now_us)
{
    executions->now_us = now_us;
    executions_expire(executions, &executions->waiting, now_us);
    if (executions->outstanding || now_us < executions->next_batch_us) {
        return;
    }
    executions_expire(executions, &executions->batch, now_us);
    if (TAILQ_EMPTY(&executions->batch)) {
        executions->unknown_count = 0;
        executions_fill_batch(executions, now_us);
    }
    if (!TAILQ_EMPTY(&executions->batch)) {
        executions->next_batch_us = now_us + executions->config.interval_us;
        executions_send_batch(executions);
    }
}

uint64_t
executions_commit_count(const struct executions *executions)
{
    return executions->commits;
}
