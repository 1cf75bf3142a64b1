#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "gate/dedup_internal.h"

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
    TAILQ_INIT(&dedup->by_end_time);
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

void
dedup_remove(struct dedup *dedup, struct dedup_entry *entry)
{
    dedup->bytes -= dedup_entry_bytes(entry);
    dedup->count--;
    LIST_REMOVE(entry, bucket_link);
    TAILQ_REMOVE(&entry->shard->entries, entry, shard_link);
    if (entry->state == DEDUP_STATE_RUNNING) {
        entry->shard->running_count--;
    }
    else {
        TAILQ_REMOVE(&dedup->by_end_time, entry, expiry_link);
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
dedup_get_or_add_shard(struct dedup *dedup, uint32_t number)
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
        return; /* works, but with longer chains */
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
    shard->running_count++;
    dedup->count++;
    dedup->bytes += dedup_entry_bytes(entry);
    return entry;
}

void
dedup_end_entry(struct dedup *dedup, struct dedup_entry *entry,
                enum dedup_state state, void *answer, size_t answer_size,
                int64_t ended_us)
{
    dedup->bytes -= dedup_entry_bytes(entry);
    entry->shard->running_count--;
    entry->state = state;
    entry->answer = answer;
    entry->answer_size = answer_size;
    entry->ended_us = ended_us;
    dedup->bytes += dedup_entry_bytes(entry);
    /* Imported entries may have ended earlier than the last one. */
    struct dedup_entry *before =
        TAILQ_LAST(&dedup->by_end_time, dedup_entries);
    while (before != NULL && before->ended_us > ended_us) {
        before = TAILQ_PREV(before, dedup_entries, expiry_link);
    }
    if (before == NULL) {
        TAILQ_INSERT_HEAD(&dedup->by_end_time, entry, expiry_link);
    }
    else {
        TAILQ_INSERT_AFTER(&dedup->by_end_time, before, entry, expiry_link);
    }
}

void
dedup_move_entry(struct dedup_entry *entry, struct dedup_shard *to)
{
    struct dedup_shard *from = entry->shard;
    TAILQ_REMOVE(&from->entries, entry, shard_link);
    TAILQ_INSERT_TAIL(&to->entries, entry, shard_link);
    if (entry->state == DEDUP_STATE_RUNNING) {
        from->running_count--;
        to->running_count++;
    }
    entry->shard = to;
}

static void
dedup_merge_cutoff(struct dedup_shard *to, const struct dedup_shard *from)
{
    if (from->cutoff_ms > to->cutoff_ms) {
        to->cutoff_ms = from->cutoff_ms;
    }
    if (from->cutoff_until_us > to->cutoff_until_us) {
        to->cutoff_until_us = from->cutoff_until_us;
    }
}

void
dedup_split_key(struct dedup *dedup, uint32_t base, uint32_t key)
{
    struct dedup_shard *from = dedup_find_shard(dedup, base);
    struct dedup_shard *to = dedup_get_or_add_shard(dedup, key);
    if (from == NULL || to == NULL) {
        return;
    }
    dedup_merge_cutoff(to, from);
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
dedup_merge_key(struct dedup *dedup, uint32_t base, uint32_t key)
{
    struct dedup_shard *from = dedup_find_shard(dedup, key);
    struct dedup_shard *to = dedup_get_or_add_shard(dedup, base);
    if (from == NULL || to == NULL) {
        return;
    }
    dedup_merge_cutoff(to, from);
    struct dedup_entry *entry = TAILQ_FIRST(&from->entries);
    while (entry != NULL) {
        struct dedup_entry *next = TAILQ_NEXT(entry, shard_link);
        dedup_move_entry(entry, to);
        entry = next;
    }
    LIST_REMOVE(from, link);
    free(from);
}

void
dedup_drop_shard(struct dedup *dedup, uint32_t number)
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
    if (shard->running_count == 0) {
        LIST_REMOVE(shard, link);
        free(shard);
        return;
    }
    /* Treats all ids as possibly run until the shard is acquired again. */
    shard->cutoff_ms = INT64_MAX / 2;
    shard->cutoff_until_us = INT64_MAX;
}

void
dedup_tick(struct dedup *dedup, int64_t now_us)
{
    struct dedup_entry *entry = TAILQ_FIRST(&dedup->by_end_time);
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
