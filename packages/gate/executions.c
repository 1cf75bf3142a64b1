#include "gate/executions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define ROW_SIZE (STORE_NAME_MAX + 1)

enum executions_kind {
    EXECUTIONS_KIND_INSERT,
    EXECUTIONS_KIND_RELEASE, /* the request of a recorded id has not run */
    EXECUTIONS_KIND_MARK,    /* finished */
    EXECUTIONS_KIND_DELETE,  /* retention has ended */
};

struct executions_item {
    TAILQ_ENTRY(executions_item) link;
    enum executions_kind kind;
    struct executions_insert *insert; /* NULL once cancelled or refused */
    int64_t deadline_us;              /* of an insert */
    int64_t due_us;                   /* of a delete */
    unsigned status;
    uint32_t shard;
    uint32_t key;
    uint64_t replaces; /* version of the row, of an insert or release */
    uint64_t row_hash;
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
    size_t kept_count;      /* marks and releases */
    size_t unsettled_count; /* inserts and releases */
    bool outstanding;
    uint64_t txn_id; /* of all attempts of this batch */
    bool may_land;   /* an attempt of this batch of unknown outcome */
    int64_t next_batch_us;
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

static bool
executions_is_conditional(enum executions_kind kind)
{
    return kind == EXECUTIONS_KIND_INSERT || kind == EXECUTIONS_KIND_RELEASE;
}

static bool
executions_is_kept(enum executions_kind kind)
{
    return kind == EXECUTIONS_KIND_MARK || kind == EXECUTIONS_KIND_RELEASE;
}

/* Frees an item that is in no list. */
static void
executions_free_item(struct executions *executions,
                     struct executions_item *item)
{
    executions->unsettled_count -= executions_is_conditional(item->kind);
    executions->kept_count -= executions_is_kept(item->kind);
    if (item->insert != NULL) {
        item->insert->item = NULL;
    }
    free(item);
}

static void
executions_free_items(struct executions *executions,
                      struct executions_items *items)
{
    struct executions_item *item;
    while ((item = TAILQ_FIRST(items)) != NULL) {
        TAILQ_REMOVE(items, item, link);
        executions_free_item(executions, item);
    }
}

void
executions_destroy(struct executions *executions)
{
    if (executions != NULL) {
        executions_free_items(executions, &executions->waiting);
        executions_free_items(executions, &executions->batch);
        executions_free_items(executions, &executions->deletes);
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
executions_item_create(struct executions *executions,
                       enum executions_kind kind, uint32_t key, const char *id)
{
    struct executions_item *item = calloc(1, sizeof(*item));
    if (item != NULL) {
        item->kind = kind;
        item->key = key;
        executions_row_name(executions, key, id, item->row);
        item->row_hash = hash_string(item->row);
        executions->unsettled_count += executions_is_conditional(kind);
        executions->kept_count += executions_is_kept(kind);
    }
    return item;
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
    item->shard = insert->shard;
    item->deadline_us = deadline_us;
    insert->item = item;
    TAILQ_INSERT_TAIL(&executions->waiting, item, link);
}

void
executions_cancel(struct executions *executions,
                  struct executions_insert *insert)
{
    (void)executions;
    if (insert->item == NULL) {
        return;
    }
    insert->item->insert = NULL;
    insert->item = NULL;
}

void
executions_release(struct executions *executions,
                   const struct executions_insert *insert, uint32_t key,
                   const char *id)
{
    if (executions->kept_count >= EXECUTIONS_KEPT_MAX) {
        return; /* the row stays as started, which is safe */
    }
    struct executions_item *item =
        executions_item_create(executions, EXECUTIONS_KIND_RELEASE, key, id);
    if (item != NULL) {
        item->shard = insert->shard;
        item->replaces = insert->version;
        TAILQ_INSERT_TAIL(&executions->waiting, item, link);
    }
}

static size_t
executions_count_unsettled(const struct executions_items *items,
                           uint32_t shard)
{
    size_t count = 0;
    const struct executions_item *item;
    TAILQ_FOREACH (item, items, link) {
        count += executions_is_conditional(item->kind) &&
                 (item->shard == shard || item->key == shard);
    }
    return count;
}

size_t
executions_unsettled_count(const struct executions *executions, uint32_t shard)
{
    if (executions->unsettled_count == 0) {
        return 0;
    }
    return executions_count_unsettled(&executions->waiting, shard) +
           executions_count_unsettled(&executions->batch, shard);
}

bool
executions_settled(const struct executions *executions)
{
    return executions->unsettled_count == 0;
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
    if (executions->kept_count >= EXECUTIONS_KEPT_MAX) {
        return; /* the row stays as started, which is safe */
    }
    struct executions_item *mark =
        executions_item_create(executions, EXECUTIONS_KIND_MARK, key, id);
    if (mark != NULL) {
        mark->status = status;
        TAILQ_INSERT_TAIL(&executions->waiting, mark, link);
    }
}

/* Ends an item that is in no list. */
static void
executions_end_item(struct executions *executions,
                    struct executions_item *item,
                    enum executions_verdict verdict)
{
    struct executions_insert *insert = item->insert;
    executions_free_item(executions, item);
    if (insert != NULL) {
        executions->callback(executions->ctx, insert, verdict);
    }
}

static void
executions_refuse_all(struct executions *executions,
                      struct executions_items *items)
{
    struct executions_item *item;
    while ((item = TAILQ_FIRST(items)) != NULL) {
        TAILQ_REMOVE(items, item, link);
        executions_end_item(executions, item, EXECUTIONS_REFUSED);
    }
}

/* The row of a request that was given up was written. Its release goes before
 * what has been queued since, which may insert the id again. */
static void
executions_release_abandoned(struct executions *executions,
                             struct executions_item *item, uint64_t version)
{
    item->kind = EXECUTIONS_KIND_RELEASE;
    item->replaces = version;
    executions->kept_count++;
    TAILQ_INSERT_HEAD(&executions->waiting, item, link);
}

static void
executions_on_written(struct executions *executions, uint64_t version)
{
    executions->may_land = false;
    struct executions_items written = TAILQ_HEAD_INITIALIZER(written);
    TAILQ_CONCAT(&written, &executions->batch, link);
    struct executions_item *item;
    while ((item = TAILQ_FIRST(&written)) != NULL) {
        TAILQ_REMOVE(&written, item, link);
        if (item->kind == EXECUTIONS_KIND_INSERT && item->insert == NULL) {
            executions_release_abandoned(executions, item, version);
            continue;
        }
        if (item->insert != NULL) {
            item->insert->version = version;
        }
        executions_end_item(executions, item, EXECUTIONS_RECORDED);
    }
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
    executions_refuse_all(executions, &refused);
}

static struct executions_item *
executions_find(struct executions *executions, const char *row)
{
    struct executions_item *item;
    TAILQ_FOREACH (item, &executions->batch, link) {
        if (executions_is_conditional(item->kind) &&
            strcmp(item->row, row) == 0) {
            return item;
        }
    }
    return NULL;
}

static bool
executions_is_released(const struct store_row *row)
{
    return json_is_true(json_object_get(row->value, "released"));
}

/* Reads the conflicting row, which shows whether an earlier attempt of this
 * batch took effect, or else what the row stands for. */
static void
executions_on_conflict_read(void *ctx, const struct store_read_result *result)
{
    struct executions *executions = ctx;
    executions->outstanding = false;
    if (result->outcome != STORE_COMMITTED || result->row_count == 0) {
        return; /* the batch is retried */
    }
    const struct store_row *row = &result->rows[0];
    if (row->version > 0 && executions->may_land &&
        row->txn_id == executions->txn_id) {
        executions_on_written(executions, row->version);
        return;
    }
    struct executions_item *item = executions_find(executions, row->name);
    if (item == NULL || row->version == item->replaces) {
        return; /* no conflict any more: the batch is retried */
    }
    if (item->insert != NULL && executions_is_released(row)) {
        item->replaces = row->version;
        return;
    }
    TAILQ_REMOVE(&executions->batch, item, link);
    executions_end_item(executions, item, EXECUTIONS_PRESENT);
}

static void
executions_on_commit(void *ctx, const struct store_commit_result *result)
{
    struct executions *executions = ctx;
    executions->outstanding = false;
    switch (result->outcome) {
    case STORE_COMMITTED:
        executions_on_written(executions, result->version);
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
        if (!executions->may_land) {
            executions_on_unavailable(executions);
        }
        return;
    case STORE_UNKNOWN:
        executions->may_land = true;
        return;
    }
}

static bool
executions_is_late(const struct executions_item *item, int64_t now_us)
{
    return item->insert != NULL && now_us >= item->deadline_us;
}

/* Ends inserts that are late or cancelled, of which nothing is in the store.
 * The list is whole again before the callbacks, which may count it. */
static void
executions_expire(struct executions *executions,
                  struct executions_items *items, int64_t now_us)
{
    struct executions_items ended = TAILQ_HEAD_INITIALIZER(ended);
    struct executions_items kept = TAILQ_HEAD_INITIALIZER(kept);
    struct executions_item *item = TAILQ_FIRST(items);
    TAILQ_INIT(items);
    while (item != NULL) {
        struct executions_item *next = TAILQ_NEXT(item, link);
        if (item->kind == EXECUTIONS_KIND_INSERT &&
            (item->insert == NULL || executions_is_late(item, now_us))) {
            TAILQ_INSERT_TAIL(&ended, item, link);
        }
        else {
            TAILQ_INSERT_TAIL(&kept, item, link);
        }
        item = next;
    }
    TAILQ_CONCAT(items, &kept, link);
    executions_refuse_all(executions, &ended);
}

/* Refuses late inserts that an attempt may still write. They stay in the
 * batch: only its outcome shows what there is to release. */
static void
executions_refuse_late(struct executions *executions, int64_t now_us)
{
    struct executions_item *item;
    TAILQ_FOREACH (item, &executions->batch, link) {
        struct executions_insert *insert = item->insert;
        if (executions_is_late(item, now_us)) {
            executions_cancel(executions, insert);
            executions->callback(executions->ctx, insert, EXECUTIONS_REFUSED);
        }
    }
}

static void
executions_expire_batch(struct executions *executions, int64_t now_us)
{
    if (executions->may_land) {
        executions_refuse_late(executions, now_us);
    }
    else {
        executions_expire(executions, &executions->batch, now_us);
    }
}

static bool
executions_is_in_batch(const struct executions *executions,
                       const struct executions_item *wanted)
{
    const struct executions_item *item;
    TAILQ_FOREACH (item, &executions->batch, link) {
        if (item->row_hash == wanted->row_hash) {
            return true;
        }
    }
    return false;
}

/* One transaction can't write a row twice: what follows waits for the next. */
static void
executions_fill_batch(struct executions *executions, int64_t now_us)
{
    size_t count = 0;
    struct executions_item *item;
    while (count < EXECUTIONS_BATCH_MAX &&
           (item = TAILQ_FIRST(&executions->waiting)) != NULL &&
           !executions_is_in_batch(executions, item)) {
        TAILQ_REMOVE(&executions->waiting, item, link);
        TAILQ_INSERT_TAIL(&executions->batch, item, link);
        count++;
    }
    while (count < EXECUTIONS_BATCH_MAX &&
           (item = TAILQ_FIRST(&executions->deletes)) != NULL &&
           item->due_us <= now_us &&
           !executions_is_in_batch(executions, item)) {
        TAILQ_REMOVE(&executions->deletes, item, link);
        TAILQ_INSERT_TAIL(&executions->batch, item, link);
        count++;
    }
}

static json_t *
executions_value(const struct executions *executions,
                 const struct executions_item *item)
{
    json_t *value =
        json_pack("{s:s, s:i}", "holder", executions->config.holder, "status",
                  (int)item->status);
    if (item->kind == EXECUTIONS_KIND_RELEASE) {
        json_object_set_new(value, "released", json_true());
    }
    return value;
}

static void
executions_send_batch(struct executions *executions)
{
    if (!executions->may_land) {
        executions->txn_id = random_u64(executions->random);
    }
    struct store_txn *txn = store_txn_create(executions->txn_id);
    const struct executions_item *item;
    TAILQ_FOREACH (item, &executions->batch, link) {
        if (item->kind == EXECUTIONS_KIND_DELETE) {
            store_txn_delete(txn, EXECUTIONS_TABLE, item->row);
            continue;
        }
        if (executions_is_conditional(item->kind)) {
            store_txn_expect(txn, EXECUTIONS_TABLE, item->row, item->replaces);
        }
        store_txn_put(txn, EXECUTIONS_TABLE, item->row,
                      executions_value(executions, item));
    }
    executions->outstanding = true;
    executions->commits++;
    store_commit(executions->store, txn, executions_on_commit, executions);
    store_txn_destroy(txn);
}

void
executions_tick(struct executions *executions, int64_t now_us)
{
    executions_expire(executions, &executions->waiting, now_us);
    if (executions->outstanding || now_us < executions->next_batch_us) {
        return;
    }
    executions_expire_batch(executions, now_us);
    if (TAILQ_EMPTY(&executions->batch)) {
        executions->may_land = false;
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
