#include "placement/placetask_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "placement"
#include "base/log.h"
#include "store/audit.h"

#define SCAN_BATCH 256 /* rows per read */

static json_t *
changes_to_json(const struct page_write *write)
{
    json_t *changes = json_array();
    for (size_t i = 0; i < write->change_count; i++) {
        const struct shardchange_record *change = &write->changes[i];
        json_array_append_new(
            changes, json_pack("{s:s, s:I, s:I, s:s, s:s, s:s}", "kind",
                               shardchange_kind_name(change->kind), "shard",
                               (json_int_t)change->shard, "epoch",
                               (json_int_t)change->epoch, "from", change->from,
                               "to", change->to, "why",
                               change->reason != NULL ? change->reason : ""));
    }
    return changes;
}

static void
add_audit(const struct placetask *task, struct store_txn *txn,
          const struct page_write *write, const char *row)
{
    json_t *changes = changes_to_json(write);
    const struct audit_entry entry = {
        .who = task->options.instance,
        .what = "assign",
        .subject = row,
        .after = changes,
        .why = write->change_count > 0 ? write->changes[0].reason : NULL,
        .at_us = audit_wall_clock_us(),
    };
    audit_add(txn, &entry);
    json_decref(changes);
}

static void
on_committed(void *ctx, const struct store_commit_result *result)
{
    struct place_operation *operation = ctx;
    struct placetask *task = operation->task;
    const uint64_t txn_id = operation->action->write->txn_id;
    task->conflicts->value += result->outcome == STORE_CONFLICT;
    task->unknown->value += result->outcome == STORE_UNKNOWN;
    place_operation_end(operation);
    placer_committed(task->placer, txn_id, result->outcome, result->version,
                     placetask_now_us(task));
    placetask_run_actions(task);
}

void
placestore_commit(struct placetask *task, struct place_action *action)
{
    const struct page_write *write = action->write;
    struct store_txn *txn = store_txn_create(write->txn_id);
    char row[SHARDPAGE_ROW_NAME_SIZE];
    shardpage_row_name(row, write->page.service, write->page.page);
    store_txn_expect(txn, PLACE_SHARDS_TABLE, row, write->base_version);
    for (size_t i = 0; i < write->condition_count; i++) {
        store_txn_expect(txn, MEMBER_TABLE, write->conditions[i].instance,
                         write->conditions[i].version);
    }
    store_txn_put(txn, PLACE_SHARDS_TABLE, row,
                  shardpage_to_json(&write->page));
    add_audit(task, txn, write, row);
    task->commits->value++;
    store_commit(task->options.store, txn, on_committed,
                 place_operation_start(task, action));
    store_txn_destroy(txn);
}

/* Parses the page of a row. @return false if it is absent or malformed. */
static bool
page_of_row(const struct store_row *row, struct shardpage *page)
{
    struct error err = {.code = ERROR_NONE};
    if (row->value == NULL) {
        return false;
    }
    if (!shardpage_from_json(page, row->value, &err)) {
        LOG_ERR("page_malformed", LOG_STR("row", row->name),
                LOG_STR("error", error_name(err.code)),
                LOG_STR("subject", err.subject));
        return false;
    }
    return true;
}

static void
on_page(void *ctx, const struct store_read_result *result)
{
    struct place_operation *operation = ctx;
    struct placetask *task = operation->task;
    const uint32_t number = operation->action->page;
    const bool ok =
        result->outcome == STORE_COMMITTED && result->row_count == 1;
    struct shardpage page;
    const bool present = ok && page_of_row(&result->rows[0], &page);
    place_operation_end(operation);
    placer_page_read(task->placer, number, ok, present ? &page : NULL,
                     ok ? result->rows[0].version : 0, placetask_now_us(task));
    placetask_run_actions(task);
}

void
placestore_read(struct placetask *task, struct place_action *action)
{
    char row[SHARDPAGE_ROW_NAME_SIZE];
    shardpage_row_name(row, task->service, action->page);
    store_read(task->options.store, PLACE_SHARDS_TABLE, row, on_page,
               place_operation_start(task, action));
}

static void
on_member_row(void *ctx, const struct store_read_result *result)
{
    struct place_operation *operation = ctx;
    struct placetask *task = operation->task;
    struct member row;
    struct error err;
    place_operation_end(operation);
    const bool ok = result->outcome == STORE_COMMITTED &&
                    result->row_count == 1 && result->rows[0].value != NULL;
    if (ok && member_from_json(result->rows[0].value, result->rows[0].version,
                               &row, &err)) {
        task->options.callbacks.member_read(task->options.callbacks.ctx, &row);
    }
}

void
placestore_read_member(struct placetask *task, struct place_action *action)
{
    char peer[STATE_NAME_MAX + 1];
    member_copy_name(peer, action->peer);
    store_read(task->options.store, MEMBER_TABLE, peer, on_member_row,
               place_operation_start(task, action));
}

static void
apply_page(struct placetask *task, const struct shardpage *page,
           uint64_t version)
{
    if (task->placer != NULL) {
        placer_apply_page(task->placer, page, version, placetask_now_us(task));
        return;
    }
    shardmap_apply(task->map, page, version, NULL, NULL);
}

static void scan_batch(struct placetask *task);

static void
scan_end(struct placetask *task, bool ok)
{
    struct place_scan *scan = &task->scan;
    scan->running = false;
    if (ok && scan->version > task->known_version) {
        task->known_version = scan->version;
    }
    if (scan->for_placer && task->placer != NULL) {
        placer_pages_scanned(task->placer, ok, scan->version,
                             placetask_now_us(task));
    }
    if (task->scan_wanted) {
        task->scan_wanted = false;
        placestore_scan(task, true);
    }
    placetask_run_actions(task);
}

static void
on_batch(void *ctx, const struct store_read_result *result)
{
    struct placetask *task = ctx;
    struct place_scan *scan = &task->scan;
    if (result->outcome != STORE_COMMITTED) {
        scan_end(task, false);
        return;
    }
    if (scan->version == 0) {
        scan->version = result->version;
    }
    for (size_t i = 0; i < result->row_count; i++) {
        struct shardpage page;
        if (page_of_row(&result->rows[i], &page)) {
            apply_page(task, &page, result->rows[i].version);
        }
    }
    if (result->has_more && result->row_count > 0) {
        snprintf(scan->after, sizeof(scan->after), "%s",
                 result->rows[result->row_count - 1].name);
        scan_batch(task);
        return;
    }
    scan_end(task, true);
}

static void
scan_batch(struct placetask *task)
{
    const struct place_scan *scan = &task->scan;
    const struct store_scan request = {
        .table = PLACE_SHARDS_TABLE,
        .prefix = "",
        .after = scan->after[0] != '\0' ? scan->after : NULL,
        .since = scan->since,
        .limit = SCAN_BATCH,
    };
    store_scan(task->options.store, &request, on_batch, task);
}

void
placestore_scan(struct placetask *task, bool for_placer)
{
    if (task->scan.running) {
        task->scan_wanted = task->scan_wanted || for_placer;
        return;
    }
    task->scan = (struct place_scan){
        .running = true,
        .for_placer = for_placer,
        .since = for_placer ? 0 : task->known_version,
    };
    task->scans->value++;
    scan_batch(task);
}
