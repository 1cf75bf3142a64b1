#include "gate/dedup.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/invariant.h"
#include "gate/dedup_internal.h"

#define US_PER_MS INT64_C(1000)

#define MINT_DIGITS 13 /* milliseconds since 1970, until the year 2286 */

struct dedup *
dedup_create(const struct dedup_config *config)
{
    struct dedup *dedup = calloc(1, sizeof(*dedup));
    if (dedup == NULL) {
        return NULL;
    }
    dedup->config = *config;
    dedup->bucket_count = DEDUP_BUCKETS_MIN;
    dedup->buckets = calloc(dedup->bucket_count, sizeof(dedup->buckets[0]));
    if (dedup->buckets == NULL) {
        free(dedup);
        return NULL;
    }
    TAILQ_INIT(&dedup->by_end);
    return dedup;
}

static size_t
dedup_entry_bytes(const struct dedup_entry *entry)
{
    const size_t answer_size = entry->state == DEDUP_STATE_RUNNING
                                   ? DEDUP_ANSWER_RESERVE
                                   : entry->answer_size;
    return sizeof(*entry) + strlen(entry->id) + 1 + answer_size;
}

static void
dedup_remove(struct dedup *dedup, struct dedup_entry *entry)
{
    dedup->bytes -= dedup_entry_bytes(entry);
    dedup->count--;
    LIST_REMOVE(entry, bucket_link);
    TAILQ_REMOVE(&entry->shard->entries, entry, shard_link);
    if (entry->state == DEDUP_STATE_RUNNING) {
        entry->shard->running--;
    }
    else {
        TAILQ_REMOVE(&dedup->by_end, entry, expiry_link);
    }
    free(entry->answer);
    free(entry);
}

void
dedup_destroy(struct dedup *dedup)
{
    if (dedup == NULL) {
        return;
    }
    for (size_t i = 0; i < DEDUP_SHARD_BUCKETS; i++) {
        struct dedup_shard *shard;
        while ((shard = LIST_FIRST(&dedup->shards[i])) != NULL) {
            struct dedup_entry *entry;
            while ((entry = TAILQ_FIRST(&shard->entries)) != NULL) {
                dedup_remove(dedup, entry);
            }
            LIST_REMOVE(shard, link);
            free(shard);
        }
    }
    free(dedup->buckets);
    free(dedup);
}

void
dedup_configure(struct dedup *dedup, const struct dedup_config *config)
{
    dedup->config = *config;
}

struct dedup_shard *
dedup_find_shard(const struct dedup *dedup, uint32_t number)
{
    struct dedup_shard *shard;
    LIST_FOREACH (shard, &dedup->shards[number % DEDUP_SHARD_BUCKETS], link) {
        if (shard->number == number) {
            return shard;
        }
    }
    return NULL;
}

struct dedup_shard *
dedup_get_shard(struct dedup *dedup, uint32_t number)
{
    struct dedup_shard *shard = dedup_find_shard(dedup, number);
    if (shard != NULL) {
        return shard;
    }
    shard = calloc(1, sizeof(*shard));
    if (shard == NULL) {
        return NULL;
    }
    shard->number = number;
    TAILQ_INIT(&shard->entries);
    LIST_INSERT_HEAD(&dedup->shards[number % DEDUP_SHARD_BUCKETS], shard,
                     link);
    return shard;
}

static uint64_t
dedup_hash(uint32_t key, const char *id)
{
    return hash_bytes(id, strlen(id), key);
}

struct dedup_entry *
dedup_find(const struct dedup *dedup, uint32_t key, const char *id)
{
    const uint64_t hash = dedup_hash(key, id);
    struct dedup_entry *entry;
    LIST_FOREACH (entry, &dedup->buckets[hash & (dedup->bucket_count - 1)],
                  bucket_link) {
        if (entry->id_hash == hash && entry->key == key &&
            strcmp(entry->id, id) == 0) {
            return entry;
        }
    }
    return NULL;
}

static void
dedup_grow(struct dedup *dedup)
{
    const size_t count = dedup->bucket_count * 2;
    struct dedup_bucket *buckets = calloc(count, sizeof(buckets[0]));
    if (buckets == NULL) {
        return; /* longer chains, but right */
    }
    for (size_t i = 0; i < dedup->bucket_count; i++) {
        struct dedup_entry *entry;
        while ((entry = LIST_FIRST(&dedup->buckets[i])) != NULL) {
            LIST_REMOVE(entry, bucket_link);
            LIST_INSERT_HEAD(&buckets[entry->id_hash & (count - 1)], entry,
                             bucket_link);
        }
    }
    free(dedup->buckets);
    dedup->buckets = buckets;
    dedup->bucket_count = count;
}

struct dedup_entry *
dedup_add(struct dedup *dedup, struct dedup_shard *shard,
          const struct dedup_request *request)
{
    const size_t id_size = strlen(request->id) + 1;
    struct dedup_entry *entry = calloc(1, sizeof(*entry) + id_size);
    if (entry == NULL) {
        return NULL;
    }
    if (dedup->count >= dedup->bucket_count) {
        dedup_grow(dedup);
    }
    memcpy(entry->id, request->id, id_size);
    entry->shard = shard;
    entry->key = request->key;
    entry->id_hash = dedup_hash(request->key, request->id);
    entry->body_hash = request->body_hash;
    entry->state = DEDUP_STATE_RUNNING;
    TAILQ_INIT(&entry->waiters);
    LIST_INSERT_HEAD(
        &dedup->buckets[entry->id_hash & (dedup->bucket_count - 1)], entry,
        bucket_link);
    TAILQ_INSERT_TAIL(&shard->entries, entry, shard_link);
    shard->running++;
    dedup->count++;
    dedup->bytes += dedup_entry_bytes(entry);
    return entry;
}

void
dedup_end(struct dedup *dedup, struct dedup_entry *entry,
          enum dedup_state state, void *answer, size_t answer_size,
          int64_t ended_us)
{
    dedup->bytes -= dedup_entry_bytes(entry);
    entry->shard->running--;
    entry->state = state;
    entry->answer = answer;
    entry->answer_size = answer_size;
    entry->ended_us = ended_us;
    dedup->bytes += dedup_entry_bytes(entry);
    /* Imported entries may be older than the last one. */
    struct dedup_entry *before = TAILQ_LAST(&dedup->by_end, dedup_entries);
    while (before != NULL && before->ended_us > ended_us) {
        before = TAILQ_PREV(before, dedup_entries, expiry_link);
    }
    if (before == NULL) {
        TAILQ_INSERT_HEAD(&dedup->by_end, entry, expiry_link);
    }
    else {
        TAILQ_INSERT_AFTER(&dedup->by_end, before, entry, expiry_link);
    }
}

void
dedup_gain(struct dedup *dedup, uint32_t number, enum dedup_gain gain,
           const struct dedup_time *time)
{
    struct dedup_shard *shard = dedup_get_shard(dedup, number);
    if (shard == NULL) {
        return; /* an unknown shard refuses all ids */
    }
    if (gain == DEDUP_GAIN_FIRST) {
        shard->horizon_ms = 0;
        return;
    }
    shard->horizon_ms = time->wall_ms;
    shard->horizon_until_us = time->now_us + dedup->config.retention_us +
                              dedup->config.clock_margin_us;
}

void
dedup_lose(struct dedup *dedup, uint32_t number)
{
    struct dedup_shard *shard = dedup_find_shard(dedup, number);
    if (shard == NULL) {
        return;
    }
    struct dedup_entry *entry = TAILQ_FIRST(&shard->entries);
    while (entry != NULL) {
        struct dedup_entry *next = TAILQ_NEXT(entry, shard_link);
        if (entry->state != DEDUP_STATE_RUNNING) {
            dedup_remove(dedup, entry);
        }
        entry = next;
    }
    if (shard->running == 0) {
        LIST_REMOVE(shard, link);
        free(shard);
        return;
    }
    /* Until it is gained again, no id can be told to be new. */
    shard->horizon_ms = INT64_MAX / 2;
    shard->horizon_until_us = INT64_MAX;
}

void
dedup_move_entry(struct dedup_entry *entry, struct dedup_shard *to)
{
    struct dedup_shard *from = entry->shard;
    TAILQ_REMOVE(&from->entries, entry, shard_link);
    TAILQ_INSERT_TAIL(&to->entries, entry, shard_link);
    if (entry->state == DEDUP_STATE_RUNNING) {
        from->running--;
        to->running++;
    }
    entry->shard = to;
}

static void
dedup_take_horizon(struct dedup_shard *to, const struct dedup_shard *from)
{
    if (from->horizon_ms > to->horizon_ms) {
        to->horizon_ms = from->horizon_ms;
    }
    if (from->horizon_until_us > to->horizon_until_us) {
        to->horizon_until_us = from->horizon_until_us;
    }
}

void
dedup_split(struct dedup *dedup, uint32_t base, uint32_t key)
{
    struct dedup_shard *from = dedup_find_shard(dedup, base);
    struct dedup_shard *to = dedup_get_shard(dedup, key);
    if (from == NULL || to == NULL) {
        return;
    }
    dedup_take_horizon(to, from);
    struct dedup_entry *entry = TAILQ_FIRST(&from->entries);
    while (entry != NULL) {
        struct dedup_entry *next = TAILQ_NEXT(entry, shard_link);
        if (entry->key == key) {
            dedup_move_entry(entry, to);
        }
        entry = next;
    }
}

void
dedup_merge(struct dedup *dedup, uint32_t base, uint32_t key)
{
    struct dedup_shard *from = dedup_find_shard(dedup, key);
    struct dedup_shard *to = dedup_get_shard(dedup, base);
    if (from == NULL || to == NULL) {
        return;
    }
    dedup_take_horizon(to, from);
    struct dedup_entry *entry = TAILQ_FIRST(&from->entries);
    while (entry != NULL) {
        struct dedup_entry *next = TAILQ_NEXT(entry, shard_link);
        dedup_move_entry(entry, to);
        entry = next;
    }
    LIST_REMOVE(from, link);
    free(from);
}

bool
dedup_mint_ms(const char *id, int64_t *mint_ms)
{
    int64_t value = 0;
    for (int i = 0; i < MINT_DIGITS; i++) {
        if (id[i] < '0' || id[i] > '9') {
            return false;
        }
        value = value * 10 + (id[i] - '0');
    }
    if (id[MINT_DIGITS] != '-' || id[MINT_DIGITS + 1] == '\0') {
        return false;
    }
    *mint_ms = value;
    return true;
}

/* Whether an id that is not in the table is proved never to have run. */
static bool
dedup_is_new(const struct dedup *dedup, const struct dedup_shard *shard,
             const char *id, const struct dedup_time *time)
{
    const int64_t margin_ms = dedup->config.clock_margin_us / US_PER_MS;
    const int64_t retention_ms = dedup->config.retention_us / US_PER_MS;
    const bool past_horizon = shard->horizon_ms == 0 ||
                              dedup->config.durable ||
                              time->now_us >= shard->horizon_until_us;
    int64_t mint_ms;
    if (!dedup_mint_ms(id, &mint_ms)) {
        return past_horizon;
    }
    if (mint_ms > time->wall_ms + margin_ms ||
        mint_ms + retention_ms < time->wall_ms + margin_ms) {
        return false; /* from the future, or old enough to be forgotten */
    }
    return past_horizon || mint_ms > shard->horizon_ms + margin_ms;
}

static uint32_t
dedup_retry_after_ms(const struct dedup *dedup, int64_t now_us)
{
    const struct dedup_entry *first = TAILQ_FIRST(&dedup->by_end);
    if (first == NULL) {
        return 1000;
    }
    const int64_t wait_us =
        first->ended_us + dedup->config.retention_us - now_us;
    return wait_us > 0 ? (uint32_t)(wait_us / US_PER_MS) + 1 : 1;
}

static struct dedup_result
dedup_known(struct dedup_entry *entry, uint64_t body_hash,
            struct dedup_waiter *waiter)
{
    struct dedup_result result = {.verdict = DEDUP_UNKNOWN};
    if (entry->body_hash != body_hash) {
        result.verdict = DEDUP_REUSED;
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
        return dedup_known(entry, request->body_hash, waiter);
    }
    if (!dedup_is_new(dedup, shard, request->id, time)) {
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
dedup_dispatched(struct dedup_entry *entry)
{
    const bool first =
        entry->state == DEDUP_STATE_RUNNING && !entry->dispatched;
    entry->dispatched = true;
    return invariant_check(INVARIANT_AT_MOST_ONCE, first, entry->id);
}

static void
dedup_release(struct dedup_entry *entry, struct dedup_waiters *waiters)
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
    dedup_release(entry, waiters);
    const size_t bytes = dedup->bytes - DEDUP_ANSWER_RESERVE + answer_size;
    void *copy = NULL;
    if (bytes <= dedup->config.bytes_max) {
        copy = malloc(answer_size > 0 ? answer_size : 1);
    }
    if (copy == NULL) {
        /* It ran, and must not run again, but its answer is not kept. */
        dedup_end(dedup, entry, DEDUP_STATE_LOST, NULL, 0, now_us);
        return;
    }
    memcpy(copy, answer, answer_size);
    dedup_end(dedup, entry, DEDUP_STATE_FINISHED, copy, answer_size, now_us);
}

void
dedup_not_run(struct dedup *dedup, struct dedup_entry *entry,
              struct dedup_waiters *waiters)
{
    dedup_release(entry, waiters);
    dedup_remove(dedup, entry);
}

void
dedup_lost(struct dedup *dedup, struct dedup_entry *entry, int64_t now_us,
           struct dedup_waiters *waiters)
{
    dedup_release(entry, waiters);
    dedup_end(dedup, entry, DEDUP_STATE_LOST, NULL, 0, now_us);
}

void
dedup_leave(struct dedup *dedup, struct dedup_entry *entry,
            struct dedup_waiter *waiter)
{
    (void)dedup;
    if (waiter->waiting) {
        waiter->waiting = false;
        TAILQ_REMOVE(&entry->waiters, waiter, link);
    }
}

struct dedup_entry *
dedup_running(const struct dedup *dedup, uint32_t key, const char *id)
{
    struct dedup_entry *entry = dedup_find(dedup, key, id);
    return entry != NULL && entry->state == DEDUP_STATE_RUNNING ? entry : NULL;
}

bool
dedup_awaited(const struct dedup_entry *entry)
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
    return shard == NULL ? 0 : shard->running;
}

void
dedup_tick(struct dedup *dedup, int64_t now_us)
{
    struct dedup_entry *entry = TAILQ_FIRST(&dedup->by_end);
    while (entry != NULL &&
           entry->ended_us + dedup->config.retention_us <= now_us) {
        struct dedup_entry *next = TAILQ_NEXT(entry, expiry_link);
        dedup_remove(dedup, entry);
        entry = next;
    }
}

size_t
dedup_count(const struct dedup *dedup)
{
    return dedup->count;
}

size_t
dedup_bytes(const struct dedup *dedup)
{
    return dedup->bytes;
}
