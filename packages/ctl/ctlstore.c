#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "ctl/ctl.h"
#include "store/storeresolver.h"

/** A store call that the command waits for. */
struct store_wait {
    struct ctl *ctl;
    enum store_outcome outcome;
    struct ctl_rows *rows; /* receives the rows read */
    bool has_more;
};

static void
append_row(struct ctl_rows *rows, const struct store_row *row)
{
    rows->rows = memory_reallocarray(rows->rows, rows->count + 1,
                                     sizeof(rows->rows[0]));
    struct ctl_row *copy = &rows->rows[rows->count++];
    snprintf(copy->name, sizeof(copy->name), "%s", row->name);
    copy->version = row->version;
    copy->value = json_incref(row->value);
}

static void
on_read(void *ctx, const struct store_read_result *result)
{
    struct store_wait *call = ctx;
    call->outcome = result->outcome;
    call->has_more = result->has_more;
    for (size_t i = 0; i < result->row_count; i++) {
        append_row(call->rows, &result->rows[i]);
    }
    runtime_stop(call->ctl->runtime);
}

static enum ctl_exit
fail_read(const struct ctl *ctl, const char *table)
{
    char text[ADDRESS_TEXT_SIZE];
    return ctl_fail_with(ctl, CTL_UNAVAILABLE, ERROR_STORE_UNAVAILABLE,
                         "%s, table %s",
                         address_format(&ctl->options.store, text), table);
}

void
ctl_row_clear(struct ctl_row *row)
{
    json_decref(row->value);
    row->value = NULL;
}

void
ctl_rows_clear(struct ctl_rows *rows)
{
    for (size_t i = 0; i < rows->count; i++) {
        ctl_row_clear(&rows->rows[i]);
    }
    free(rows->rows);
    *rows = (struct ctl_rows){.rows = NULL};
}

enum ctl_exit
ctl_read(struct ctl *ctl, const char *table, const char *name,
         struct ctl_row *row)
{
    struct ctl_rows rows = {.rows = NULL};
    struct store_wait call = {.ctl = ctl, .rows = &rows};
    *row = (struct ctl_row){.version = 0};
    store_read(&ctl->store, table, name, on_read, &call);
    runtime_run(ctl->runtime);
    if (call.outcome != STORE_COMMITTED) {
        return fail_read(ctl, table);
    }
    *row = rows.rows[0];
    free(rows.rows);
    return CTL_OK;
}

enum ctl_exit
ctl_scan(struct ctl *ctl, const struct ctl_scan *scan, struct ctl_rows *rows)
{
    char after[STORE_NAME_MAX + 1] = "";
    struct store_scan request = {
        .table = scan->table,
        .prefix = scan->prefix,
        .after = scan->after,
    };
    struct store_wait call = {.ctl = ctl, .rows = rows, .has_more = true};
    *rows = (struct ctl_rows){.rows = NULL};
    while (call.has_more) {
        store_scan(&ctl->store, &request, on_read, &call);
        runtime_run(ctl->runtime);
        const bool timed_out = call.has_more && ctl_remaining_us(ctl) == 0;
        if (call.outcome != STORE_COMMITTED || timed_out) {
            ctl_rows_clear(rows);
            return fail_read(ctl, scan->table);
        }
        if (rows->count > 0) {
            memcpy(after, rows->rows[rows->count - 1].name, sizeof(after));
            request.after = after;
        }
    }
    return CTL_OK;
}

static void
on_commit(void *ctx, const struct store_commit_result *result)
{
    struct store_wait *call = ctx;
    call->outcome = result->outcome;
    runtime_stop(call->ctl->runtime);
}

enum ctl_exit
ctl_commit(struct ctl *ctl, const struct store_txn *txn)
{
    struct store_wait call = {.ctl = ctl};
    store_resolver_commit(ctl->resolver, txn, on_commit, &call);
    runtime_run(ctl->runtime);
    char text[ADDRESS_TEXT_SIZE];
    address_format(&ctl->options.store, text);
    switch (call.outcome) {
    case STORE_COMMITTED:
        return CTL_OK;
    case STORE_CONFLICT:
        return CTL_CONFLICT;
    case STORE_UNAVAILABLE:
        return ctl_fail_with(ctl, CTL_UNAVAILABLE, ERROR_STORE_UNAVAILABLE,
                             "%s", text);
    case STORE_UNKNOWN:
        break;
    }
    return ctl_fail_with(ctl, CTL_UNKNOWN, ERROR_STORE_UNKNOWN, "%s", text);
}
