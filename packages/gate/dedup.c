#include "gate/dedup.h"

#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"
#include "gate/dedup_internal.h"

#define US_PER_MS INT64_C(1000)
#define CREATED_DIGITS 13 /* milliseconds since 1970, until the year 2286 */

void
dedup_acquire_shard(struct dedup *dedup, uint32_t number,
                    enum dedup_acquisition acquisition,
                    const struct dedup_time *time)
{
    struct dedup_shard *shard = dedup_get_or_add_shard(dedup, number);
    if (shard == NULL) {
        return; /* ids of a missing shard get DEDUP_UNKNOWN */
    }
    if (acquisition == DEDUP_ACQUIRED_NEW) {
        shard->cutoff_ms = 0;
        return;
    }
    shard->cutoff_ms = time->wall_ms;
    shard->cutoff_until_us = time->now_us + dedup->config.retention_us +
                             dedup->config.clock_margin_us;
}

bool
dedup_id_created_ms(const char *id, int64_t *created_ms)
{
    int64_t value = 0;
    for (int i = 0; i < CREATED_DIGITS; i++) {
        if (id[i] < '0' || id[i] > '9') {
            return false;
        }
        value = value * 10 + (id[i] - '0');
    }
    if (id[CREATED_DIGITS] != '-' || id[CREATED_DIGITS + 1] == '\0') {
        return false;
    }
    *created_ms = value;
    return true;
}

/* Whether an id that isn't in the table can't have run before. */
static bool
dedup_is_provably_new(const struct dedup *dedup,
                      const struct dedup_shard *shard, const char *id,
                      const struct dedup_time *time)
{
    const int64_t margin_ms = dedup->config.clock_margin_us / US_PER_MS;
    const int64_t retention_ms = dedup->config.retention_us / US_PER_MS;
    const bool cutoff_passed = shard->cutoff_ms == 0 ||
                               dedup->config.durable ||
                               time->now_us >= shard->cutoff_until_us;
    int64_t created_ms;
    if (!dedup_id_created_ms(id, &created_ms)) {
        return cutoff_passed;
    }
    if (created_ms > time->wall_ms + margin_ms ||
        created_ms + retention_ms < time->wall_ms + margin_ms) {
        return false; /* in the future, or its retention may have ended */
    }
    return cutoff_passed || created_ms > shard->cutoff_ms + margin_ms;
}

static uint32_t
dedup_retry_after_ms(const struct dedup *dedup, int64_t now_us)
{
    const struct dedup_entry *oldest = TAILQ_FIRST(&dedup->by_end_time);
    if (oldest == NULL) {
        return 1000;
    }
    const int64_t wait_us =
        oldest->ended_us + dedup->config.retention_us - now_us;
    return wait_us > 0 ? (uint32_t)(wait_us / US_PER_MS) + 1 : 1;
}

static struct dedup_result
dedup_result_of_known(struct dedup_entry *entry, uint64_t body_hash,
                      struct dedup_waiter *waiter)
{
    struct dedup_result result = {.verdict = DEDUP_UNKNOWN};
    if (entry->body_hash != body_hash) {
        result.verdict = DEDUP_ID_REUSED;
    }
    else if (entry->state == DEDUP_STATE_RUNNING) {
        result.verdict = DEDUP_WAIT;
        waiter->waiting = true;
        TAILQ_INSERT_TAIL(&entry->waiters, waiter, link);
    }
    else if (entry->state == DEDUP_STATE_FINISHED) {
        result.verdict = DEDUP_REPLAY;
        result.answer = entry->answer;
        result.answer_size = entry->answer_size;
    }
    return result;
}

struct dedup_result
dedup_begin(struct dedup *dedup, const struct dedup_request *request,
            struct dedup_waiter *waiter, const struct dedup_time *time)
{
    struct dedup_result result = {.verdict = DEDUP_UNKNOWN};
    struct dedup_shard *shard = dedup_find_shard(dedup, request->shard);
    if (shard == NULL) {
        return result;
    }
    struct dedup_entry *entry = dedup_find(dedup, request->key, request->id);
    if (entry != NULL) {
        return dedup_result_of_known(entry, request->body_hash, waiter);
    }
    if (!dedup_is_provably_new(dedup, shard, request->id, time)) {
        return result;
    }
    const size_t needed =
        sizeof(*entry) + strlen(request->id) + 1 + DEDUP_ANSWER_RESERVE;
    if (dedup->bytes + needed <= dedup->config.bytes_max) {
        result.entry = dedup_add(dedup, shard, request);
    }
    if (result.entry == NULL) {
        result.verdict = DEDUP_FULL;
        result.retry_after_ms = dedup_retry_after_ms(dedup, time->now_us);
        return result;
    }
    result.verdict = DEDUP_RUN;
    return result;
}

bool
dedup_mark_dispatched(struct dedup_entry *entry)
{
    const bool first =
        entry->state == DEDUP_STATE_RUNNING && !entry->dispatched;
    entry->dispatched = true;
    return invariant_check(INVARIANT_AT_MOST_ONCE, first, entry->id);
}

static void
dedup_release_waiters(struct dedup_entry *entry, struct dedup_waiters *waiters)
{
    struct dedup_waiter *waiter;
    TAILQ_FOREACH (waiter, &entry->waiters, link) {
        waiter->waiting = false;
    }
    TAILQ_CONCAT(waiters, &entry->waiters, link);
}

void
dedup_finish(struct dedup *dedup, struct dedup_entry *entry,
             const void *answer, size_t answer_size, int64_t now_us,
             struct dedup_waiters *waiters)
{
    dedup_release_waiters(entry, waiters);
    const size_t bytes = dedup->bytes - DEDUP_ANSWER_RESERVE + answer_size;
    void *copy = NULL;
    if (bytes <= dedup->config.bytes_max) {
        copy = malloc(answer_size > 0 ? answer_size : 1);
    }
    if (copy == NULL) {
        /* It has run, but its answer can't be kept. */
        dedup_end_entry(dedup, entry, DEDUP_STATE_UNKNOWN, NULL, 0, now_us);
        return;
    }
    memcpy(copy, answer, answer_size);
    dedup_end_entry(dedup, entry, DEDUP_STATE_FINISHED, copy, answer_size,
                    now_us);
}

void
dedup_finish_not_run(struct dedup *dedup, struct dedup_entry *entry,
                     struct dedup_waiters *waiters)
{
    dedup_release_waiters(entry, waiters);
    dedup_remove(dedup, entry);
}

void
dedup_finish_unknown(struct dedup *dedup, struct dedup_entry *entry,
                     int64_t now_us, struct dedup_waiters *waiters)
{
    dedup_release_waiters(entry, waiters);
    dedup_end_entry(dedup, entry, DEDUP_STATE_UNKNOWN, NULL, 0, now_us);
}

void
dedup_cancel_wait(struct dedup *dedup, struct dedup_entry *entry,
                  struct dedup_waiter *waiter)
{
    (void)dedup;
    if (waiter->waiting) {
        waiter->waiting = false;
        TAILQ_REMOVE(&entry->waiters, waiter, link);
    }
}

struct dedup_entry *
dedup_find_running(const struct dedup *dedup, uint32_t key, const char *id)
{
    struct dedup_entry *entry = dedup_find(dedup, key, id);
    return entry != NULL && entry->state == DEDUP_STATE_RUNNING ? entry : NULL;
}

bool
dedup_has_waiters(const struct dedup_entry *entry)
{
    return !TAILQ_EMPTY(&entry->waiters);
}

const char *
dedup_id(const struct dedup_entry *entry)
{
    return entry->id;
}

size_t
dedup_running_count(const struct dedup *dedup, uint32_t number)
{
    const struct dedup_shard *shard = dedup_find_shard(dedup, number);
    return shard == NULL ? 0 : shard->running_count;
}
