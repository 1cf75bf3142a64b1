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

/** What is to be written about one promise. */
struct broken {
    int64_t count;
    char subject[SUBJECT_SIZE]; /* of the last time */
};

struct invariantlog {
    struct runtime *runtime;
    struct store store;
    char instance[INSTANCE_SIZE];
    struct random_state random;
    struct timer timer;
    struct broken broken[INVARIANT_COUNT];
    /* Written again until it is known to be committed: it has no condition
     * and always writes the same rows. */
    struct store_txn *txn;
    bool busy; /* a commit is under way */
    bool finishing;
    bool totals_taken; /* txn has the totals */
    int64_t give_up_us;
    invariantlog_cb callback;
    void *ctx;
};

/** Keeps what JSON can hold; keys of callers may be any bytes. */
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
on_broken(void *ctx, enum invariant id, const char *subject)
{
    struct invariantlog *log = ctx;
    struct broken *broken = &log->broken[id];
    broken->count++;
    copy_printable(broken->subject, sizeof(broken->subject),
                   subject != NULL ? subject : "");
    if (!timer_running(&log->timer) && !log->busy) {
        timer_start(&log->timer, 0);
    }
}

static bool
has_broken(const struct invariantlog *log)
{
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        if (log->broken[id].count > 0) {
            return true;
        }
    }
    return false;
}

static void
add_broken(struct invariantlog *log, enum invariant id, int64_t at_us)
{
    struct broken *broken = &log->broken[id];
    json_t *after = json_pack("{s:I, s:s}", "count", (json_int_t)broken->count,
                              "subject", broken->subject);
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
    *broken = (struct broken){.count = 0};
}

static void
add_totals(struct invariantlog *log, int64_t at_us)
{
    json_t *after = json_object();
    bool kept = true;
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        const enum invariant id = (enum invariant)i;
        kept = kept && invariant_violations(id) == 0;
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
        .result = kept ? "kept" : "broken",
        .at_us = at_us,
    };
    audit_add(log->txn, &entry);
    json_decref(after);
    log->totals_taken = true;
}

/** Rows of one transaction differ in their times by one microsecond each. */
static void
build_txn(struct invariantlog *log)
{
    int64_t at_us = audit_wall_clock_us();
    log->txn = store_txn_create(random_u64(&log->random));
    for (int id = 0; id < INVARIANT_COUNT; id++) {
        if (log->broken[id].count > 0) {
            add_broken(log, (enum invariant)id, at_us++);
        }
    }
    if (log->finishing) {
        add_totals(log, at_us);
    }
}

/** Tells the end. The callback may destroy the log. */
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
    log->busy = false;
    if (result->outcome != STORE_COMMITTED) {
        timer_start(&log->timer, RETRY_INTERVAL_US);
        return;
    }
    store_txn_destroy(log->txn);
    log->txn = NULL;
    if (log->totals_taken) {
        log->totals_taken = false;
        finish(log, true);
        return;
    }
    if (log->finishing) {
        timer_start(&log->timer, 0);
    }
    else if (has_broken(log)) {
        timer_start(&log->timer, WRITE_INTERVAL_US);
    }
}

static void
on_timer(void *ctx)
{
    struct invariantlog *log = ctx;
    if (log->finishing && runtime_now_us(log->runtime) >= log->give_up_us) {
        LOG_ERR("totals_not_written");
        finish(log, false);
        return;
    }
    if (log->txn == NULL) {
        build_txn(log);
    }
    log->busy = true;
    store_commit(&log->store, log->txn, on_commit, log);
}

struct invariantlog *
invariantlog_create(struct runtime *runtime, const struct store *store,
                    const char *instance)
{
    struct invariantlog *log = memory_zeroed(1, sizeof(*log));
    log->runtime = runtime;
    log->store = *store;
    snprintf(log->instance, sizeof(log->instance), "%s", instance);
    random_seed(&log->random, random_entropy());
    timer_init(&log->timer, runtime, on_timer, log);
    invariant_set_handler(on_broken, log);
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
    log->give_up_us = runtime_now_us(log->runtime) + limit_us;
    log->callback = callback;
    log->ctx = ctx;
    if (!log->busy) {
        timer_start(&log->timer, 0);
    }
}
