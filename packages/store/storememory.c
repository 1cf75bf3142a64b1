#include "store/storememory.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/memory.h"
#include "base/random.h"
#include "store/storetxn.h"

#define PERCENT 100

enum call_kind {
    CALL_COMMIT,
    CALL_READ,
    CALL_SCAN,
    CALL_PUT_OBJECT,
    CALL_GET_OBJECT,
};

/** A call, from its start until its callback. */
struct memory_call {
    TAILQ_ENTRY(memory_call) link;
    struct store_memory *memory;
    struct timer timer;
    enum call_kind kind;
    bool executed; /* the callback is scheduled */
    enum store_outcome outcome;
    union {
        store_commit_cb commit;
        store_read_cb read;
        store_object_cb object;
    } callback;
    void *ctx;
    /* Request */
    struct store_txn *txn;
    char *table; /* or an object's name */
    char *row;   /* or a scan's prefix */
    char *after;
    uint64_t since;
    size_t limit;
    void *data;
    size_t size;
    /* Answer */
    struct store_commit_result result;
    struct store_row *rows;
    size_t row_count;
    uint64_t version;
    bool has_more;
};

/** A write that is applied after its call ended as STORE_UNKNOWN. */
struct delayed_write {
    TAILQ_ENTRY(delayed_write) link;
    struct store_memory *memory;
    struct timer timer;
    struct store_txn *txn;
};

TAILQ_HEAD(memory_call_list, memory_call);
TAILQ_HEAD(delayed_write_list, delayed_write);

struct store_memory {
    struct runtime *runtime;
    struct random_state random;
    struct store_tables *tables;
    struct store_faults faults;
    struct store_memory_counts counts;
    struct memory_call_list calls;
    struct delayed_write_list delayed;
};

static bool
should_inject_fault(struct store_memory *memory, unsigned percent)
{
    return percent > 0 && random_below(&memory->random, PERCENT) < percent;
}

static void
call_destroy(struct memory_call *call)
{
    for (size_t i = 0; i < call->row_count; i++) {
        json_decref(call->rows[i].value);
    }
    free(call->rows);
    store_txn_destroy(call->txn);
    free(call->table);
    free(call->row);
    free(call->after);
    free(call->data);
    free(call);
}

static void
delayed_write_destroy(struct delayed_write *delayed)
{
    timer_stop(&delayed->timer);
    TAILQ_REMOVE(&delayed->memory->delayed, delayed, link);
    store_txn_destroy(delayed->txn);
    free(delayed);
}

static void
on_delayed_write(void *ctx)
{
    struct delayed_write *delayed = ctx;
    struct store_commit_result result;
    store_tables_commit(delayed->memory->tables, delayed->txn, &result);
    delayed_write_destroy(delayed);
}

static void
delay_write(struct memory_call *call)
{
    struct store_memory *memory = call->memory;
    struct delayed_write *delayed = memory_calloc(1, sizeof(*delayed));
    delayed->memory = memory;
    delayed->txn = store_txn_copy(call->txn);
    TAILQ_INSERT_TAIL(&memory->delayed, delayed, link);
    timer_init(&delayed->timer, memory->runtime, on_delayed_write, delayed);
    timer_start(&delayed->timer, memory->faults.delay_writes_us);
    call->outcome = STORE_UNKNOWN;
}

static void
execute_commit(struct memory_call *call)
{
    struct store_memory *memory = call->memory;
    const struct store_faults *faults = &memory->faults;
    if (should_inject_fault(memory, faults->conflict_percent)) {
        const struct store_condition *first =
            STAILQ_FIRST(&call->txn->conditions);
        call->outcome = STORE_CONFLICT;
        call->result.table = first != NULL ? first->table : "";
        call->result.row = first != NULL ? first->row : "";
        return;
    }
    if (should_inject_fault(memory, faults->delay_writes_percent)) {
        delay_write(call);
        return;
    }
    store_tables_commit(memory->tables, call->txn, &call->result);
    call->outcome = call->result.outcome;
    if (should_inject_fault(memory, faults->lose_answers_percent) ||
        should_inject_fault(memory, faults->lose_write_answers_percent)) {
        call->outcome = STORE_UNKNOWN;
    }
}

static void
execute_read(struct memory_call *call)
{
    const struct store_tables *tables = call->memory->tables;
    call->version = store_tables_version(tables);
    if (call->kind == CALL_READ) {
        call->rows = memory_calloc(1, sizeof(call->rows[0]));
        call->row_count = 1;
        store_tables_read(tables, call->table, call->row, &call->rows[0]);
        json_incref(call->rows[0].value);
        return;
    }
    const struct store_scan scan = {
        .table = call->table,
        .prefix = call->row,
        .after = call->after,
        .since = call->since,
    };
    size_t max = call->limit;
    if (max == 0 || max > STORE_SCAN_ROWS_MAX) {
        max = STORE_SCAN_ROWS_MAX;
    }
    call->rows = memory_calloc(max, sizeof(call->rows[0]));
    call->row_count =
        store_tables_scan(tables, &scan, call->rows, max, &call->has_more);
    for (size_t i = 0; i < call->row_count; i++) {
        json_incref(call->rows[i].value);
    }
}

static void
execute_object(struct memory_call *call)
{
    struct store_tables *tables = call->memory->tables;
    if (call->kind == CALL_PUT_OBJECT) {
        store_tables_put_object(tables, call->table, call->data, call->size);
        return;
    }
    const void *data =
        store_tables_get_object(tables, call->table, &call->size);
    if (data != NULL) {
        call->data = memory_copy(data, call->size);
    }
}

static void
call_execute(struct memory_call *call)
{
    struct store_memory *memory = call->memory;
    const bool is_write =
        call->kind == CALL_COMMIT || call->kind == CALL_PUT_OBJECT;
    call->outcome = STORE_COMMITTED;
    if (memory->faults.down) {
        call->outcome = STORE_UNAVAILABLE;
        return;
    }
    if (call->kind == CALL_COMMIT) {
        execute_commit(call);
        return;
    }
    if (call->kind == CALL_READ || call->kind == CALL_SCAN) {
        execute_read(call);
    }
    else {
        execute_object(call);
    }
    if (should_inject_fault(memory, memory->faults.lose_answers_percent)) {
        call->outcome = is_write ? STORE_UNKNOWN : STORE_UNAVAILABLE;
    }
}

/** Runs the callback, which may destroy the store, and frees the call. */
static void
call_complete(struct memory_call *call)
{
    const bool done = call->outcome == STORE_COMMITTED;
    TAILQ_REMOVE(&call->memory->calls, call, link);
    if (call->kind == CALL_COMMIT || call->kind == CALL_PUT_OBJECT) {
        call->result.outcome = call->outcome;
        if (!done) {
            call->result.version = 0;
        }
        call->callback.commit(call->ctx, &call->result);
    }
    else if (call->kind == CALL_GET_OBJECT) {
        call->callback.object(call->ctx, call->outcome,
                              done ? call->data : NULL, done ? call->size : 0);
    }
    else {
        const struct store_read_result result = {
            .outcome = call->outcome,
            .rows = done ? call->rows : NULL,
            .row_count = done ? call->row_count : 0,
            .version = call->version,
            .has_more = done && call->has_more,
        };
        call->callback.read(call->ctx, &result);
    }
    call_destroy(call);
}

static void
on_call_timer(void *ctx)
{
    struct memory_call *call = ctx;
    if (call->executed) {
        call_complete(call);
        return;
    }
    call->executed = true;
    call_execute(call);
    const int64_t latency_us = call->memory->faults.latency_us;
    timer_start(&call->timer, latency_us - latency_us / 2);
}

static struct memory_call *
call_start(struct store_memory *memory, enum call_kind kind, void *ctx)
{
    struct memory_call *call = memory_calloc(1, sizeof(*call));
    call->memory = memory;
    call->kind = kind;
    call->ctx = ctx;
    TAILQ_INSERT_TAIL(&memory->calls, call, link);
    timer_init(&call->timer, memory->runtime, on_call_timer, call);
    timer_start(&call->timer, memory->faults.latency_us / 2);
    return call;
}

static void
memory_commit(void *impl, const struct store_txn *txn,
              store_commit_cb callback, void *ctx)
{
    struct store_memory *memory = impl;
    memory->counts.commits++;
    struct memory_call *call = call_start(memory, CALL_COMMIT, ctx);
    call->callback.commit = callback;
    call->txn = store_txn_copy(txn);
}

static void
memory_read(void *impl, const char *table, const char *row,
            store_read_cb callback, void *ctx)
{
    struct store_memory *memory = impl;
    memory->counts.reads++;
    struct memory_call *call = call_start(memory, CALL_READ, ctx);
    call->callback.read = callback;
    call->table = memory_strdup(table);
    call->row = memory_strdup(row);
}

static void
memory_scan(void *impl, const struct store_scan *scan, store_read_cb callback,
            void *ctx)
{
    struct store_memory *memory = impl;
    memory->counts.reads++;
    struct memory_call *call = call_start(memory, CALL_SCAN, ctx);
    call->callback.read = callback;
    call->table = memory_strdup(scan->table);
    call->row = memory_strdup(scan->prefix);
    call->after = memory_strdup(scan->after);
    call->since = scan->since;
    call->limit = scan->limit;
}

static void
memory_put_object(void *impl, const char *name, const void *data, size_t size,
                  store_commit_cb callback, void *ctx)
{
    struct store_memory *memory = impl;
    memory->counts.commits++;
    struct memory_call *call = call_start(memory, CALL_PUT_OBJECT, ctx);
    call->callback.commit = callback;
    call->table = memory_strdup(name);
    call->data = memory_copy(data, size);
    call->size = size;
}

static void
memory_get_object(void *impl, const char *name, store_object_cb callback,
                  void *ctx)
{
    struct store_memory *memory = impl;
    memory->counts.reads++;
    struct memory_call *call = call_start(memory, CALL_GET_OBJECT, ctx);
    call->callback.object = callback;
    call->table = memory_strdup(name);
}

static const struct store_ops memory_ops = {
    .commit = memory_commit,
    .read = memory_read,
    .scan = memory_scan,
    .put_object = memory_put_object,
    .get_object = memory_get_object,
};

struct store_memory *
store_memory_create(struct runtime *runtime, uint64_t seed)
{
    struct store_memory *memory = calloc(1, sizeof(*memory));
    if (memory == NULL) {
        return NULL;
    }
    memory->runtime = runtime;
    memory->tables = store_tables_create();
    random_seed(&memory->random, seed);
    TAILQ_INIT(&memory->calls);
    TAILQ_INIT(&memory->delayed);
    return memory;
}

void
store_memory_destroy(struct store_memory *memory)
{
    if (memory == NULL) {
        return;
    }
    struct memory_call *call;
    while ((call = TAILQ_FIRST(&memory->calls)) != NULL) {
        timer_stop(&call->timer);
        TAILQ_REMOVE(&memory->calls, call, link);
        call_destroy(call);
    }
    struct delayed_write *delayed = TAILQ_FIRST(&memory->delayed);
    while (delayed != NULL) {
        struct delayed_write *next = TAILQ_NEXT(delayed, link);
        delayed_write_destroy(delayed);
        delayed = next;
    }
    store_tables_destroy(memory->tables);
    free(memory);
}

struct store
store_memory_store(struct store_memory *memory)
{
    return (struct store){.ops = &memory_ops, .impl = memory};
}

void
store_memory_set_faults(struct store_memory *memory,
                        const struct store_faults *faults)
{
    memory->faults = *faults;
}

const struct store_faults *
store_memory_faults(const struct store_memory *memory)
{
    return &memory->faults;
}

struct store_memory_counts
store_memory_counts(const struct store_memory *memory)
{
    return memory->counts;
}

struct store_tables *
store_memory_tables(struct store_memory *memory)
{
    return memory->tables;
}
