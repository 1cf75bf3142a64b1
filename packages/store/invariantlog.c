#include "store/invariantlog.h"

#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "promises"
#include "base/invariant.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/random.h"
#include "store/audit.h"

#define WRITE_INTERVAL_US US_PER_SECOND
#define RETRY_INTERVAL_US (200 * US_PER_MS)
#define SUBJECT_SIZE 160 /* bytes, including the terminator */
#define INSTANCE_SIZE 64 /* bytes, including the terminator */

/** Violations of one invariant that are not written yet. */
struct violations {
    int64_t count;
    char subject[SUBJECT_SIZE]; /* of the latest */
};

struct invariantlog {
    struct runtime *runtime;
    struct store store;
    char instance[INSTANCE_SIZE];
    struct random_state random;
    struct timer timer;
    struct violations pending[INVARIANT_COUNT];
    /* Retried until known to be committed: repeating it is safe, as it has no
     * conditions and always writes the same rows. */
    struct store_txn *txn;
    bool committing;
    bool finishing;
    bool txn_has_totals;
    int64_t deadline_us;
    invariantlog_cb callback;
    void *ctx;
};

/** Replaces bytes that JSON can't hold: callers' keys may have any bytes. */
static void
copy_printable(char *to, size_t size, const char *from)
{
    size_t i = 0;
    for (; from[i] != '\0' && i + 1 < size; i++) {
        const unsigned char c = (unsigned char)from[i];
        to[i] = '?';
        if (c >= 0x20 && c < 0x7f) {
            to[i] = from[i];
        }
    }
    to[i] = '\0';
}

static void
on_violation(void *ctx, enum invariant id, const char *subject)
{
    struct invariantlog *log = ctx;
    struct violations *violations = &log->pending[id];
    violations->count++;
    copy_printable(violations->subject, sizeof(violations->subject),
                   subject != NULL ? subject : "");
    if (!timer_running(&log->timer) && !log->committing) {
        timer_start(&log->timer, 0);
    }
}

static bool
has_pending(const struct invariantlog *log)
{
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        if (log->pending[id].count > 0) {
            return true;
        }
    }
    return false;
}

static void
add_broken(struct invariantlog *log, enum invariant id, int64_t at_us)
{
    struct violations *violations = &log->pending[id];
    json_t *after =
        json_pack("{s:I, s:s}", "count", (json_int_t)violations->count,
                  "subject", violations->subject);
    const struct audit_entry entry = {
        .who = log->instance,
        .what = INVARIANTLOG_VIOLATION,
        .subject = invariant_name(id),
        .after = after,
        .why = invariant_text(id),
        .result = "broken",
        .at_us = at_us,
    };
    audit_add(log->txn, &entry);
    json_decref(after);
    *violations = (struct violations){.count = 0};
}

static void
add_totals(struct invariantlog *log, int64_t at_us)
{
    json_t *after = json_object();
    bool all_held = true;
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        const enum invariant id = (enum invariant)i;
        all_held = all_held && invariant_violations(id) == 0;
        json_object_set_new(
            after, invariant_name(id),
            json_pack("{s:I, s:I}", "checks", (json_int_t)invariant_checks(id),
                      "violations", (json_int_t)invariant_violations(id)));
    }
    const struct audit_entry entry = {
        .who = log->instance,
        .what = INVARIANTLOG_TOTALS,
        .subject = log->instance,
        .after = after,
        .why = "the instance stops",
        .result = all_held ? "kept" : "broken",
        .at_us = at_us,
    };
    audit_add(log->txn, &entry);
    json_decref(after);
    log->txn_has_totals = true;
}

/** Times of a transaction's rows differ by 1 us, as they are in the names. */
static void
build_txn(struct invariantlog *log)
{
    int64_t at_us = audit_wall_clock_us();
    log->txn = store_txn_create(random_u64(&log->random));
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        if (log->pending[id].count > 0) {
            add_broken(log, (enum invariant)id, at_us++);
        }
    }
    if (log->finishing) {
        add_totals(log, at_us);
    }
}

/** Runs the callback, which may destroy the log. */
static void
finish(struct invariantlog *log, bool written)
{
    const invariantlog_cb callback = log->callback;
    log->finishing = false;
    log->callback = NULL;
    if (callback != NULL) {
        callback(log->ctx, written);
    }
}

static void
on_commit(void *ctx, const struct store_commit_result *result)
{
    struct invariantlog *log = ctx;
    log->committing = false;
    if (result->outcome != STORE_COMMITTED) {
        timer_start(&log->timer, RETRY_INTERVAL_US);
        return;
    }
    store_txn_destroy(log->txn);
    log->txn = NULL;
    if (log->txn_has_totals) {
        log->txn_has_totals = false;
        finish(log, true);
        return;
    }
    if (log->finishing) {
        timer_start(&log->timer, 0);
    }
    else if (has_pending(log)) {
        timer_start(&log->timer, WRITE_INTERVAL_US);
    }
}

static void
on_timer(void *ctx)
{
    struct invariantlog *log = ctx;
    if (log->finishing && runtime_now_us(log->runtime) >= log->deadline_us) {
        LOG_ERR("totals_not_written");
        finish(log, false);
        return;
    }
    if (log->txn == NULL) {
        build_txn(log);
    }
    log->committing = true;
    store_commit(&log->store, log->txn, on_commit, log);
}

struct invariantlog *
invariantlog_create(struct runtime *runtime, const struct store *store,
                    const char *instance)
{
    struct invariantlog *log = memory_calloc(1, sizeof(*log));
    log->runtime = runtime;
    log->store = *store;
    snprintf(log->instance, sizeof(log->instance), "%s", instance);
    random_seed(&log->random, random_entropy());
    timer_init(&log->timer, runtime, on_timer, log);
    invariant_set_handler(on_violation, log);
    return log;
}

void
invariantlog_destroy(struct invariantlog *log)
{
    if (log == NULL) {
        return;
    }
    invariant_set_handler(NULL, NULL);
    timer_stop(&log->timer);
    store_txn_destroy(log->txn);
    free(log);
}

void
invariantlog_finish(struct invariantlog *log, int64_t limit_us,
                    invariantlog_cb callback, void *ctx)
{
    log->finishing = true;
    log->deadline_us = runtime_now_us(log->runtime) + limit_us;
    log->callback = callback;
    log->ctx = ctx;
    if (!log->committing) {
        timer_start(&log->timer, 0);
    }
}
