#include "gate/dedup.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "gate/dedup_internal.h"

/*
 * Layout, all numbers little-endian: header {magic u32, version u32, shard
 * u32, count u32, cutoff_ms u64, time until cutoff_until_us u64}, entries {id
 * size u16, state u8, 0 u8, answer size u32, key u32, body hash u64, age_us
 * u64, id, answer}, and the XXH3 of all preceding bytes as u64.
 */
#define BLOB_MAGIC 0x44454447u
#define BLOB_VERSION 1
#define BLOB_HEADER_SIZE 32
#define BLOB_ENTRY_SIZE 28
#define BLOB_CHECK_SIZE 8
#define BLOB_ID_MAX 255

static void
blob_put(uint8_t **at, uint64_t value, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        *(*at)++ = (uint8_t)(value >> (8 * i));
    }
}

static uint64_t
blob_get(const uint8_t **at, size_t size)
{
    uint64_t value = 0;
    for (size_t i = 0; i < size; i++) {
        value |= (uint64_t)(*(*at)++) << (8 * i);
    }
    return value;
}

static size_t
blob_size(const struct dedup_shard *shard, bool answers, size_t *count)
{
    size_t size = BLOB_HEADER_SIZE + BLOB_CHECK_SIZE;
    *count = 0;
    const struct dedup_entry *entry;
    TAILQ_FOREACH (entry, &shard->entries, shard_link) {
        size += BLOB_ENTRY_SIZE + strlen(entry->id);
        size += answers ? entry->answer_size : 0;
        (*count)++;
    }
    return size;
}

static void
blob_put_entry(uint8_t **at, const struct dedup_entry *entry, bool answers,
               int64_t now_us)
{
    const bool finished = entry->state == DEDUP_STATE_FINISHED && answers;
    const bool running = entry->state == DEDUP_STATE_RUNNING;
    const size_t id_size = strlen(entry->id);
    const size_t answer_size = finished ? entry->answer_size : 0;
    blob_put(at, id_size, 2);
    blob_put(at, finished ? DEDUP_STATE_FINISHED : DEDUP_STATE_UNKNOWN, 1);
    blob_put(at, 0, 1);
    blob_put(at, answer_size, 4);
    blob_put(at, entry->key, 4);
    blob_put(at, entry->body_hash, 8);
    blob_put(at, running ? 0 : (uint64_t)(now_us - entry->ended_us), 8);
    memcpy(*at, entry->id, id_size);
    *at += id_size;
    if (answer_size > 0) {
        memcpy(*at, entry->answer, answer_size);
        *at += answer_size;
    }
}

void *
dedup_export(const struct dedup *dedup, uint32_t number, size_t size_max,
             int64_t now_us, size_t *size)
{
    const struct dedup_shard *shard = dedup_find_shard(dedup, number);
    if (shard == NULL) {
        return NULL;
    }
    size_t count;
    bool answers = true;
    size_t needed = blob_size(shard, answers, &count);
    if (needed > size_max) {
        answers = false;
        needed = blob_size(shard, answers, &count);
    }
    uint8_t *blob = needed <= size_max ? malloc(needed) : NULL;
    if (blob == NULL) {
        return NULL;
    }
    uint8_t *at = blob;
    const bool has_cutoff =
        shard->cutoff_ms != 0 && shard->cutoff_until_us > now_us;
    blob_put(&at, BLOB_MAGIC, 4);
    blob_put(&at, BLOB_VERSION, 4);
    blob_put(&at, number, 4);
    blob_put(&at, count, 4);
    blob_put(&at, has_cutoff ? (uint64_t)shard->cutoff_ms : 0, 8);
    blob_put(&at, has_cutoff ? (uint64_t)(shard->cutoff_until_us - now_us) : 0,
             8);
    const struct dedup_entry *entry;
    TAILQ_FOREACH (entry, &shard->entries, shard_link) {
        blob_put_entry(&at, entry, answers, now_us);
    }
    *size = (size_t)(at - blob) + BLOB_CHECK_SIZE;
    blob_put(&at, hash_bytes(blob, (size_t)(at - blob), BLOB_VERSION), 8);
    return blob;
}

struct blob_entry {
    char id[BLOB_ID_MAX + 1];
    enum dedup_state state;
    uint32_t key;
    uint64_t body_hash;
    int64_t age_us;
    const uint8_t *answer;
    size_t answer_size;
};

static bool
blob_get_entry(const uint8_t **at, const uint8_t *end,
               struct blob_entry *entry)
{
    if (end - *at < BLOB_ENTRY_SIZE) {
        return false;
    }
    const size_t id_size = blob_get(at, 2);
    entry->state = (enum dedup_state)blob_get(at, 1);
    const uint64_t zero = blob_get(at, 1);
    entry->answer_size = blob_get(at, 4);
    entry->key = (uint32_t)blob_get(at, 4);
    entry->body_hash = blob_get(at, 8);
    entry->age_us = (int64_t)blob_get(at, 8);
    if (id_size == 0 || id_size > BLOB_ID_MAX || zero != 0 ||
        entry->age_us < 0 ||
        (size_t)(end - *at) < id_size + entry->answer_size) {
        return false;
    }
    if (entry->state != DEDUP_STATE_FINISHED &&
        entry->state != DEDUP_STATE_UNKNOWN) {
        return false;
    }
    memcpy(entry->id, *at, id_size);
    entry->id[id_size] = '\0';
    entry->answer = *at + id_size;
    *at += id_size + entry->answer_size;
    return strlen(entry->id) == id_size;
}

static bool
blob_check(const uint8_t *blob, size_t size, uint32_t shard, uint32_t *count)
{
    if (size < BLOB_HEADER_SIZE + BLOB_CHECK_SIZE) {
        return false;
    }
    const uint8_t *check = blob + size - BLOB_CHECK_SIZE;
    const uint8_t *at = check;
    if (blob_get(&at, 8) !=
        hash_bytes(blob, size - BLOB_CHECK_SIZE, BLOB_VERSION)) {
        return false;
    }
    at = blob;
    if (blob_get(&at, 4) != BLOB_MAGIC || blob_get(&at, 4) != BLOB_VERSION ||
        blob_get(&at, 4) != shard) {
        return false;
    }
    *count = (uint32_t)blob_get(&at, 4);
    at = blob + BLOB_HEADER_SIZE;
    struct blob_entry entry;
    for (uint32_t i = 0; i < *count; i++) {
        if (!blob_get_entry(&at, check, &entry)) {
            return false;
        }
    }
    return at == check;
}

static bool
blob_import_entry(struct dedup *dedup, struct dedup_shard *shard,
                  const struct blob_entry *source, int64_t now_us)
{
    struct dedup_entry *existing = dedup_find(dedup, source->key, source->id);
    if (existing != NULL) {
        dedup_move_entry(existing, shard); /* left from an earlier ownership */
        return true;
    }
    const struct dedup_request request = {
        .key = source->key,
        .id = source->id,
        .body_hash = source->body_hash,
    };
    struct dedup_entry *entry = dedup_add(dedup, shard, &request);
    if (entry == NULL) {
        return false;
    }
    void *answer = NULL;
    if (source->state == DEDUP_STATE_FINISHED &&
        dedup->bytes + source->answer_size <= dedup->config.bytes_max) {
        answer = malloc(source->answer_size > 0 ? source->answer_size : 1);
    }
    if (answer == NULL) {
        dedup_end_entry(dedup, entry, DEDUP_STATE_UNKNOWN, NULL, 0,
                        now_us - source->age_us);
        return true;
    }
    memcpy(answer, source->answer, source->answer_size);
    dedup_end_entry(dedup, entry, DEDUP_STATE_FINISHED, answer,
                    source->answer_size, now_us - source->age_us);
    return true;
}

bool
dedup_import(struct dedup *dedup, uint32_t number, const void *blob,
             size_t size, int64_t now_us, struct error *err)
{
    uint32_t count;
    if (!blob_check(blob, size, number, &count)) {
        return error_set(err, ERROR_HANDOVER, "shard %u", number);
    }
    struct dedup_shard *shard = dedup_get_or_add_shard(dedup, number);
    if (shard == NULL) {
        return error_set(err, ERROR_NO_MEMORY, "shard %u", number);
    }
    const uint8_t *at = (const uint8_t *)blob + BLOB_HEADER_SIZE - 16;
    const uint8_t *end = (const uint8_t *)blob + size - BLOB_CHECK_SIZE;
    shard->cutoff_ms = (int64_t)blob_get(&at, 8);
    shard->cutoff_until_us = now_us + (int64_t)blob_get(&at, 8);
    struct blob_entry entry;
    for (uint32_t i = 0; i < count; i++) {
        if (!blob_get_entry(&at, end, &entry)) {
            break; /* can't happen after blob_check() */
        }
        if (!blob_import_entry(dedup, shard, &entry, now_us)) {
            dedup_drop_shard(dedup, number);
            return error_set(err, ERROR_NO_MEMORY, "shard %u", number);
        }
    }
    return true;
}
