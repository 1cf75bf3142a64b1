#include "node/rowwatch.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "rowwatch"
#include "base/log.h"
#include "base/memory.h"
#include "base/runtime.h"
#include "node/feedrelay.h"

#define READ_TIMEOUT_US (1500 * US_PER_MS)
/* Short, since a store that falls silent is noticed at its end only. */
#define WAIT_DEFAULT_US (1 * US_PER_SECOND)
#define RETRY_MIN_US (50 * US_PER_MS)
#define RETRY_MAX_US (900 * US_PER_MS)
/* After the store returned from a copy, its users write again what they had
 * written since. */
#define RESTORED_SETTLE_US (1500 * US_PER_MS)
#define KEY_SUFFIX "\x01" /* appended to a key, starts after it */

/* A row that was reported. */
struct known_row {
    LIST_ENTRY(known_row) link;
    uint64_t version;
    uint64_t last_scan; /* number of the latest scan with it */
    uint64_t sequence;  /* of its latest report */
    bool removed;
    char *value;
    size_t size;
    char key[];
};

LIST_HEAD(known_rows, known_row);

struct rowwatch {
    struct rowwatch_options options;
    struct known_rows rows;
    struct rowstore_call *scan;
    struct feedrelay_call *feed;
    struct timer retry;
    int64_t retry_delay_us;
    int64_t wait_us; /* of a read for changes */
    struct freshness freshness;
    uint64_t sequence; /* of the latest report */
    uint64_t version;  /* all rows up to it were reported */
    uint64_t scan_number;
    uint64_t scan_version; /* of the scan's first answer */
    int64_t scan_begun_us; /* before its first read */
    char *scan_next_key;
    int64_t settle_until_us; /* then rows that a copy lacked are reported */
    bool scan_due;           /* before the feed continues */
    int64_t scan_retry_us;   /* no scan before; the feed continues meanwhile */
    bool reachable;
    bool reachable_known;
};

static void watch_continue(struct rowwatch *watch);

static void
on_retry(void *ctx)
{
    watch_continue(ctx);
}

struct rowwatch *
rowwatch_create(const struct rowwatch_options *options)
{
    struct rowwatch *watch = memory_calloc(1, sizeof(*watch));
    watch->options = *options;
    watch->retry_delay_us = RETRY_MIN_US;
    watch->wait_us = WAIT_DEFAULT_US;
    watch->scan_due = true;
    timer_init(&watch->retry, options->runtime, on_retry, watch);
    timer_start(&watch->retry, 0);
    return watch;
}

static void
watch_cancel(struct rowwatch *watch)
{
    timer_stop(&watch->retry);
    if (watch->scan != NULL) {
        watch->options.store->ops->cancel(watch->options.store->impl,
                                          watch->scan);
        watch->scan = NULL;
    }
    if (watch->feed != NULL) {
        feedrelay_cancel(watch->feed);
        watch->feed = NULL;
    }
}

void
rowwatch_destroy(struct rowwatch *watch)
{
    if (watch == NULL) {
        return;
    }
    watch_cancel(watch);
    struct known_row *row;
    while ((row = LIST_FIRST(&watch->rows)) != NULL) {
        LIST_REMOVE(row, link);
        free(row->value);
        free(row);
    }
    free(watch->scan_next_key);
    free(watch);
}

static struct known_row *
find_row(const struct rowwatch *watch, const char *key)
{
    struct known_row *row;
    LIST_FOREACH (row, &watch->rows, link) {
        if (strcmp(row->key, key) == 0) {
            return row;
        }
    }
    return NULL;
}

static void
set_reachable(struct rowwatch *watch, bool reachable)
{
    if (watch->reachable_known && watch->reachable == reachable) {
        return;
    }
    watch->reachable_known = true;
    watch->reachable = reachable;
    if (watch->options.reachable != NULL) {
        watch->options.reachable(watch->options.ctx, reachable);
    }
    feedrelay_table_changed(watch->options.feeds, watch->options.table);
}

/** Keeps a row for instances that read from this one, and reports it. */
static void
store_and_report(struct rowwatch *watch, struct known_row *known,
                 const struct rowstore_row *row)
{
    free(known->value);
    known->value = memory_calloc(row->size + 1, 1);
    memcpy(known->value, row->value, row->size);
    known->size = row->size;
    known->version = row->version;
    known->removed = row->removed;
    known->sequence = ++watch->sequence;
    watch->options.row(watch->options.ctx, row);
}

/** Reports a row if it is newer than the version reported before. */
static void
report_row(struct rowwatch *watch, const struct rowstore_row *row)
{
    struct known_row *known = find_row(watch, row->key);
    if (known == NULL) {
        const size_t size = strlen(row->key) + 1;
        known = memory_calloc(1, sizeof(*known) + size);
        memcpy(known->key, row->key, size);
        known->removed = true;
        LIST_INSERT_HEAD(&watch->rows, known, link);
    }
    known->last_scan = watch->scan_number;
    if (row->version <= known->version) {
        return;
    }
    if (known->removed && row->removed) {
        known->version = row->version;
        return;
    }
    store_and_report(watch, known, row);
}

void
rowwatch_apply_row(struct rowwatch *watch, const struct rowstore_row *row)
{
    report_row(watch, row);
    feedrelay_table_changed(watch->options.feeds, watch->options.table);
}

void
rowwatch_apply_conflict(struct rowwatch *watch,
                        const struct rowstore_result *result, const char *key)
{
    for (size_t i = 0;
         result->outcome == ROWSTORE_CONFLICT && i < result->row_count; i++) {
        if (strcmp(result->rows[i].key, key) == 0) {
            rowwatch_apply_row(watch, &result->rows[i]);
        }
    }
}

/** False for a row that the copy lacked from which the store returned. */
static bool
row_exists(const struct rowwatch *watch, const struct known_row *row)
{
    return row != NULL && !row->removed &&
           rowstore_era(row->version) >= rowstore_era(watch->version);
}

uint64_t
rowwatch_row_version(const struct rowwatch *watch, const char *key)
{
    const struct known_row *row = find_row(watch, key);
    return row_exists(watch, row) ? row->version : 0;
}

bool
rowwatch_has_value(const struct rowwatch *watch, const char *key,
                   const char *value)
{
    const struct known_row *row = find_row(watch, key);
    return row_exists(watch, row) && strcmp(row->value, value) == 0;
}

/** Reports rows as removed that a whole scan did not return. */
static void
report_missing(struct rowwatch *watch)
{
    struct known_row *row;
    LIST_FOREACH (row, &watch->rows, link) {
        if (row->removed || row->last_scan == watch->scan_number ||
            row->version > watch->scan_version) {
            continue;
        }
        store_and_report(watch, row,
                         &(struct rowstore_row){
                             .key = row->key,
                             .version = watch->scan_version,
                             .removed = true,
                             .value = "",
                         });
    }
}

static void
retry_later(struct rowwatch *watch)
{
    timer_start(&watch->retry, watch->retry_delay_us);
    watch->retry_delay_us *= 2;
    if (watch->retry_delay_us > RETRY_MAX_US) {
        watch->retry_delay_us = RETRY_MAX_US;
    }
}

/** True if the version shows that the store has returned from a copy. */
static bool
is_restored(const struct rowwatch *watch, uint64_t version)
{
    return watch->version > 0 &&
           rowstore_era(version) > rowstore_era(watch->version);
}

/** All rows that the read returned were reported. */
static void
finish_batch(struct rowwatch *watch, uint64_t version,
             const struct freshness_read *read)
{
    freshness_record(&watch->freshness, read);
    if (is_restored(watch, version)) {
        LOG_WARN("store_restored", LOG_STR("table", watch->options.table),
                 LOG_UINT("era", rowstore_era(version)),
                 LOG_UINT("version", version),
                 LOG_UINT("known_version", watch->version));
        watch->settle_until_us =
            runtime_now_us(watch->options.runtime) + RESTORED_SETTLE_US;
    }
    if (version > watch->version) {
        watch->version = version;
    }
    watch->retry_delay_us = RETRY_MIN_US;
    set_reachable(watch, true);
    watch->options.settled(watch->options.ctx);
    feedrelay_table_changed(watch->options.feeds, watch->options.table);
}

static void
finish_scan(struct rowwatch *watch)
{
    /* A row that the copy lacks may be written again soon. */
    if (!is_restored(watch, watch->scan_version) &&
        watch->settle_until_us == 0) {
        report_missing(watch);
    }
    free(watch->scan_next_key);
    watch->scan_next_key = NULL;
    watch->scan_due = false;
    finish_batch(watch, watch->scan_version,
                 &(struct freshness_read){
                     .ok = true,
                     .begun_us = watch->scan_begun_us,
                     .ended_us = runtime_now_us(watch->options.runtime),
                 });
}

/** Another instance may reach the store: once the table is known, its feed
 * tells of changes until the next scan. */
static void
scan_failed(struct rowwatch *watch)
{
    if (watch->version == 0) {
        set_reachable(watch, false);
        retry_later(watch);
        return;
    }
    free(watch->scan_next_key);
    watch->scan_next_key = NULL;
    watch->scan_retry_us =
        runtime_now_us(watch->options.runtime) + RETRY_MAX_US;
    watch_continue(watch);
}

static void
on_read(void *ctx, const struct rowstore_result *result)
{
    struct rowwatch *watch = ctx;
    watch->scan = NULL;
    if (result->outcome != ROWSTORE_DONE) {
        scan_failed(watch);
        return;
    }
    if (watch->scan_next_key == NULL) {
        watch->scan_version = result->version;
    }
    if (result->version < watch->version) {
        /* A stale answer may lack rows, which would be reported removed. */
        LOG_WARN("scan_stale", LOG_STR("table", watch->options.table),
                 LOG_UINT("version", result->version),
                 LOG_UINT("known_version", watch->version));
        retry_later(watch);
        return;
    }
    if (rowstore_era(result->version) != rowstore_era(watch->scan_version)) {
        /* Rows that were read before may be missing in the copy, and others
         * behind them. */
        free(watch->scan_next_key);
        watch->scan_next_key = NULL;
        watch_continue(watch);
        return;
    }
    for (size_t i = 0; i < result->row_count; i++) {
        report_row(watch, &result->rows[i]);
    }
    free(watch->scan_next_key);
    watch->scan_next_key = NULL;
    if (result->more && result->row_count > 0) {
        const char *last = result->rows[result->row_count - 1].key;
        const size_t size = strlen(last);
        watch->scan_next_key = memory_calloc(size + sizeof(KEY_SUFFIX), 1);
        memcpy(watch->scan_next_key, last, size);
        memcpy(watch->scan_next_key + size, KEY_SUFFIX, sizeof(KEY_SUFFIX));
    }
    else {
        finish_scan(watch);
    }
    watch_continue(watch);
}

static void
on_feed(void *ctx, const struct rowstore_result *result,
        const struct freshness_read *read)
{
    struct rowwatch *watch = ctx;
    watch->feed = NULL;
    switch (result->outcome) {
    case ROWSTORE_DONE:
        for (size_t i = 0; i < result->row_count; i++) {
            report_row(watch, &result->rows[i]);
        }
        finish_batch(watch, result->version, read);
        watch_continue(watch);
        return;
    case ROWSTORE_HISTORY_GONE:
        LOG_INFO("history_gone", LOG_STR("table", watch->options.table),
                 LOG_UINT("version", watch->version));
        if (!watch->scan_due) {
            watch->scan_due = true;
            watch_continue(watch);
            return;
        }
        /* A scan has just failed. */
        retry_later(watch);
        return;
    default:
        set_reachable(watch, false);
        retry_later(watch);
        return;
    }
}

static void
watch_continue(struct rowwatch *watch)
{
    const struct rowstore *store = watch->options.store;
    if (watch->scan != NULL || watch->feed != NULL) {
        return;
    }
    if (watch->settle_until_us > 0 &&
        runtime_now_us(watch->options.runtime) >= watch->settle_until_us) {
        watch->settle_until_us = 0;
        watch->scan_due = true;
    }
    if (!watch->scan_due ||
        runtime_now_us(watch->options.runtime) < watch->scan_retry_us) {
        /* After a failure the first call doesn't wait for changes, to find
         * out soon whether the store answers again. */
        watch->feed = feedrelay_start(
            watch->options.feeds, watch->options.table, watch->version,
            watch->reachable ? watch->wait_us : 0, on_feed, watch);
        return;
    }
    if (watch->scan_next_key == NULL) {
        watch->scan_number++;
        watch->scan_begun_us = runtime_now_us(watch->options.runtime);
    }
    const struct rowstore_range range = {
        .table = watch->options.table,
        .from = watch->scan_next_key,
    };
    watch->scan =
        store->ops->read(store->impl, &range, READ_TIMEOUT_US, on_read, watch);
}

void
rowwatch_refresh(struct rowwatch *watch)
{
    watch_cancel(watch);
    free(watch->scan_next_key);
    watch->scan_next_key = NULL;
    watch->scan_due = true;
    watch_continue(watch);
}

void
rowwatch_set_wait(struct rowwatch *watch, int64_t wait_us)
{
    watch->wait_us = wait_us > 0 ? wait_us : WAIT_DEFAULT_US;
}

const struct freshness *
rowwatch_freshness(const struct rowwatch *watch)
{
    return &watch->freshness;
}

bool
rowwatch_is_reachable(const struct rowwatch *watch)
{
    return watch->reachable;
}

uint64_t
rowwatch_sequence(const struct rowwatch *watch)
{
    return watch->sequence;
}

void
rowwatch_list_changes(const struct rowwatch *watch, uint64_t after,
                      uint64_t sequence,
                      void (*row)(void *ctx, const struct rowstore_row *row),
                      void *ctx)
{
    const struct known_row *known;
    LIST_FOREACH (known, &watch->rows, link) {
        if (known->version > after && known->sequence > sequence) {
            row(ctx, &(struct rowstore_row){
                         .key = known->key,
                         .version = known->version,
                         .removed = known->removed,
                         .value = known->value,
                         .size = known->size,
                     });
        }
    }
}

uint64_t
rowwatch_version(const struct rowwatch *watch)
{
    return watch->version;
}
