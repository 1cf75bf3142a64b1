#include "gate/runs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define ROW_SIZE (STORE_NAME_MAX + 1)
#define UNKNOWN_TXNS_MAX 4

enum runs_kind {
    RUNS_KIND_INSERT,
    RUNS_KIND_MARK,   /* finished */
    RUNS_KIND_DELETE, /* retention is over */
};

struct runs_item {
    TAILQ_ENTRY(runs_item) link;
    enum runs_kind kind;
    struct runs_insert *insert; /* NULL once cancelled */
    int64_t deadline_us;        /* of an insert */
    int64_t due_us;             /* of a delete */
    unsigned status;
    char row[ROW_SIZE];
};

TAILQ_HEAD(runs_items, runs_item);

struct runs {
    struct runs_config config;
    const struct store *store;
    struct random_state *random;
    runs_cb callback;
    void *ctx;
    struct runs_items waiting;
    struct runs_items batch; /* of the outstanding transaction */
    struct runs_items deletes;
    size_t mark_count;
    bool outstanding;
    uint64_t txn_id;
    /* Transactions of this batch whose outcome is unknown. */
    uint64_t unknown_txns[UNKNOWN_TXNS_MAX];
    size_t unknown_count;
    int64_t next_us;
    int64_t now_us;
    uint64_t doubtful[RUNS_DOUBTFUL_MAX]; /* hashes of rows, a ring */
    size_t doubtful_next;
    uint64_t commits;
};

struct runs *
runs_create(const struct runs_config *config, const struct store *store,
            struct random_state *random, runs_cb callback, void *ctx)
{
    struct runs *runs = calloc(1, sizeof(*runs));
    if (runs == NULL) {
        return NULL;
    }
    runs->config = *config;
    runs->store = store;
    runs->random = random;
    runs->callback = callback;
    runs->ctx = ctx;
    TAILQ_INIT(&runs->waiting);
    TAILQ_INIT(&runs->batch);
    TAILQ_INIT(&runs->deletes);
    return runs;
}

static void
runs_free_items(struct runs_items *items)
{
    struct runs_item *item;
    while ((item = TAILQ_FIRST(items)) != NULL) {
        TAILQ_REMOVE(items, item, link);
        if (item->insert != NULL) {
            item->insert->item = NULL;
        }
        free(item);
    }
}

void
runs_destroy(struct runs *runs)
{
    if (runs != NULL) {
        runs_free_items(&runs->waiting);
        runs_free_items(&runs->batch);
        runs_free_items(&runs->deletes);
        free(runs);
    }
}

/* Ids of any length and content become a name of fixed length. */
static void
runs_row(const struct runs *runs, uint32_t key, const char *id,
         char row[ROW_SIZE])
{
    const uint64_t high = hash_bytes(id, strlen(id), 1);
    const uint64_t low = hash_bytes(id, strlen(id), 2);
    snprintf(row, ROW_SIZE, "%s/%u/%016llx%016llx", runs->config.service, key,
             (unsigned long long)high, (unsigned long long)low);
}

static struct runs_item *
runs_item_create(const struct runs *runs, enum runs_kind kind, uint32_t key,
                 const char *id)
{
    struct runs_item *item = calloc(1, sizeof(*item));
    if (item != NULL) {
        item->kind = kind;
        runs_row(runs, key, id, item->row);
    }
    return item;
}

static void
runs_doubt(struct runs *runs, const char *row)
{
    runs->doubtful[runs->doubtful_next++ % RUNS_DOUBTFUL_MAX] =
        hash_string(row);
}

static bool
runs_take_doubt(struct runs *runs, const char *row)
{
    const uint64_t hash = hash_string(row);
    for (size_t i = 0; i < RUNS_DOUBTFUL_MAX; i++) {
        if (runs->doubtful[i] == hash) {
            runs->doubtful[i] = 0;
            return true;
        }
    }
    return false;
}

void
runs_insert(struct runs *runs, struct runs_insert *insert, uint32_t key,
            const char *id, int64_t deadline_us)
{
    struct runs_item *item = runs_item_create(runs, RUNS_KIND_INSERT, key, id);
    if (item == NULL) {
        abort();
    }
    item->insert = insert;
    item->deadline_us = deadline_us;
    insert->item = item;
    TAILQ_INSERT_TAIL(&runs->waiting, item, link);
}

void
runs_cancel(struct runs *runs, struct runs_insert *insert)
{
    if (insert->item == NULL) {
        return;
    }
    runs_doubt(runs, insert->item->row);
    insert->item->insert = NULL;
    insert->item = NULL;
}

void
runs_release(struct runs *runs, uint32_t key, const char *id)
{
    char row[ROW_SIZE];
    runs_row(runs, key, id, row);
    runs_doubt(runs, row);
}

void
runs_finished(struct runs *runs, uint32_t key, const char *id, unsigned status,
              int64_t now_us)
{
    struct runs_item *remove =
        runs_item_create(runs, RUNS_KIND_DELETE, key, id);
    if (remove != NULL) {
        remove->due_us = now_us + runs->config.retention_us;
        TAILQ_INSERT_TAIL(&runs->deletes, remove, link);
    }
    if (runs->mark_count >= RUNS_MARKS_MAX) {
        return; /* the row stays "started", which is safe */
    }
    struct runs_item *mark = runs_item_create(runs, RUNS_KIND_MARK, key, id);
    if (mark != NULL) {
        mark->status = status;
        runs->mark_count++;
        TAILQ_INSERT_TAIL(&runs->waiting, mark, link);
    }
}

static void
runs_end_item(struct runs *runs, struct runs_items *items,
              struct runs_item *item, enum runs_verdict verdict)
{
    TAILQ_REMOVE(items, item, link);
    struct runs_insert *insert = item->insert;
    if (item->kind == RUNS_KIND_MARK) {
        runs->mark_count--;
    }
    free(item);
    if (insert != NULL) {
        insert->item = NULL;
        runs->callback(runs->ctx, insert, verdict);
    }
}

static void
runs_end_all(struct runs *runs, struct runs_items *items,
             enum runs_verdict verdict)
{
    struct runs_item *item = TAILQ_FIRST(items);
    while (item != NULL) {
        struct runs_item *next = TAILQ_NEXT(item, link);
        runs_end_item(runs, items, item, verdict);
        item = next;
    }
}

static void
runs_end_batch(struct runs *runs, enum runs_verdict verdict)
{
    runs->unknown_count = 0;
    struct runs_items ended = TAILQ_HEAD_INITIALIZER(ended);
    TAILQ_CONCAT(&ended, &runs->batch, link);
    runs_end_all(runs, &ended, verdict);
}

/* The store did nothing: inserts are refused, marks are kept for later. */
static void
runs_unavailable(struct runs *runs)
{
    struct runs_items refused = TAILQ_HEAD_INITIALIZER(refused);
    struct runs_items kept = TAILQ_HEAD_INITIALIZER(kept);
    struct runs_item *item = TAILQ_FIRST(&runs->batch);
    while (item != NULL) {
        struct runs_item *next = TAILQ_NEXT(item, link);
        TAILQ_REMOVE(&runs->batch, item, link);
        if (item->kind == RUNS_KIND_INSERT) {
            TAILQ_INSERT_TAIL(&refused, item, link);
        }
        else {
            TAILQ_INSERT_TAIL(&kept, item, link);
        }
        item = next;
    }
    TAILQ_CONCAT(&kept, &runs->waiting, link);
    TAILQ_CONCAT(&runs->waiting, &kept, link);
    runs_end_all(runs, &refused, RUNS_REFUSED);
}

static struct runs_item *
runs_find(struct runs *runs, const char *row)
{
    struct runs_item *item;
    TAILQ_FOREACH (item, &runs->batch, link) {
        if (item->kind == RUNS_KIND_INSERT && strcmp(item->row, row) == 0) {
            return item;
        }
    }
    return NULL;
}

static bool
runs_is_own_txn(const struct runs *runs, uint64_t txn_id)
{
    for (size_t i = 0; i < runs->unknown_count; i++) {
        if (runs->unknown_txns[i] == txn_id) {
            return true;
        }
    }
    return false;
}

static bool
runs_is_holder(const struct runs *runs, const json_t *value)
{
    const char *holder = json_string_value(json_object_get(value, "holder"));
    return holder != NULL && strcmp(holder, runs->config.holder) == 0;
}

/* A condition failed: the row tells whether the id is ours. */
static void
runs_on_conflict_read(void *ctx, const struct store_read_result *result)
{
    struct runs *runs = ctx;
    runs->outstanding = false;
    if (result->outcome != STORE_COMMITTED || result->row_count == 0) {
        return; /* the batch is sent again */
    }
    const struct store_row *row = &result->rows[0];
    if (row->version == 0) {
        return; /* refused for no reason of ours; sent again */
    }
    if (runs_is_own_txn(runs, row->txn_id)) {
        runs_end_batch(runs, RUNS_RECORDED);
        return;
    }
    struct runs_item *item = runs_find(runs, row->name);
    if (item == NULL) {
        return;
    }
    const bool ours =
        runs_is_holder(runs, row->value) && runs_take_doubt(runs, row->name);
    runs_end_item(runs, &runs->batch, item,
                  ours ? RUNS_RECORDED : RUNS_PRESENT);
}

static void
runs_on_commit(void *ctx, const struct store_commit_result *result)
{
    struct runs *runs = ctx;
    runs->outstanding = false;
    switch (result->outcome) {
    case STORE_COMMITTED:
        runs_end_batch(runs, RUNS_RECORDED);
        return;
    case STORE_CONFLICT:
        if (result->row == NULL) {
            return;
        }
        runs->outstanding = true;
        store_read(runs->store, RUNS_TABLE, result->row, runs_on_conflict_read,
                   runs);
        return;
    case STORE_UNAVAILABLE:
        /* An earlier try of this batch may still take effect. */
        if (runs->unknown_count == 0) {
            runs_unavailable(runs);
        }
        return;
    case STORE_UNKNOWN:
        runs->unknown_txns[runs->unknown_count % UNKNOWN_TXNS_MAX] =
            runs->txn_id;
        if (runs->unknown_count < UNKNOWN_TXNS_MAX) {
            runs->unknown_count++;
        }
        return;
    }
}

/* Inserts whose requests can no longer be served are refused. Their rows
 * may have been written, or may still be. */
static bool
runs_is_over(const struct runs_item *item, bool sent, int64_t now_us)
{
    if (item->kind != RUNS_KIND_INSERT) {
        return false;
    }
    return now_us >= item->deadline_us || (item->insert == NULL && !sent);
}

static void
runs_expire(struct runs *runs, struct runs_items *items, int64_t now_us)
{
    struct runs_items refused = TAILQ_HEAD_INITIALIZER(refused);
    struct runs_items kept = TAILQ_HEAD_INITIALIZER(kept);
    const bool sent = items == &runs->batch;
    struct runs_item *item = TAILQ_FIRST(items);
    TAILQ_INIT(items);
    while (item != NULL) {
        struct runs_item *next = TAILQ_NEXT(item, link);
        if (runs_is_over(item, sent, now_us)) {
            runs_doubt(runs, item->row);
            TAILQ_INSERT_TAIL(&refused, item, link);
        }
        else {
            TAILQ_INSERT_TAIL(&kept, item, link);
        }
        item = next;
    }
    TAILQ_CONCAT(items, &kept, link);
    runs_end_all(runs, &refused, RUNS_REFUSED);
}

static void
runs_fill_batch(struct runs *runs, int64_t now_us)
{
    size_t count = 0;
    struct runs_item *item;
    while (count < RUNS_BATCH_MAX &&
           (item = TAILQ_FIRST(&runs->waiting)) != NULL) {
        TAILQ_REMOVE(&runs->waiting, item, link);
        TAILQ_INSERT_TAIL(&runs->batch, item, link);
        count++;
    }
    while (count < RUNS_BATCH_MAX &&
           (item = TAILQ_FIRST(&runs->deletes)) != NULL &&
           item->due_us <= now_us) {
        TAILQ_REMOVE(&runs->deletes, item, link);
        TAILQ_INSERT_TAIL(&runs->batch, item, link);
        count++;
    }
}

static void
runs_send(struct runs *runs)
{
    runs->txn_id = random_u64(runs->random);
    struct store_txn *txn = store_txn_create(runs->txn_id);
    const struct runs_item *item;
    TAILQ_FOREACH (item, &runs->batch, link) {
        if (item->kind == RUNS_KIND_DELETE) {
            store_txn_delete(txn, RUNS_TABLE, item->row);
            continue;
        }
        if (item->kind == RUNS_KIND_INSERT) {
            store_txn_expect(txn, RUNS_TABLE, item->row, 0);
        }
        json_t *value = json_pack("{s:s, s:i}", "holder", runs->config.holder,
                                  "status", (int)item->status);
        store_txn_put(txn, RUNS_TABLE, item->row, value);
    }
    runs->outstanding = true;
    runs->commits++;
    store_commit(runs->store, txn, runs_on_commit, runs);
    store_txn_destroy(txn);
}

void
runs_tick(struct runs *runs, int64_t now_us)
{
    runs->now_us = now_us;
    runs_expire(runs, &runs->waiting, now_us);
    if (runs->outstanding || now_us < runs->next_us) {
        return;
    }
    runs_expire(runs, &runs->batch, now_us);
    if (TAILQ_EMPTY(&runs->batch)) {
        runs->unknown_count = 0;
        runs_fill_batch(runs, now_us);
    }
    if (!TAILQ_EMPTY(&runs->batch)) {
        runs->next_us = now_us + runs->config.interval_us;
        runs_send(runs);
    }
}

uint64_t
runs_commits(const struct runs *runs)
{
    return runs->commits;
}
