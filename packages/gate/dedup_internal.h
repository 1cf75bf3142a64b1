/**
 * @file
 * Declarations shared by the files of the duplicate detection.
 */
#ifndef CHESTNUTGAP_GATE_DEDUP_INTERNAL_H
#define CHESTNUTGAP_GATE_DEDUP_INTERNAL_H

#include "gate/dedup.h"

#define DEDUP_BUCKETS_MIN 1024 /* a power of two */
#define DEDUP_SHARD_BUCKETS 256

enum dedup_state {
    DEDUP_STATE_RUNNING = 1,
    DEDUP_STATE_FINISHED = 2,
    DEDUP_STATE_UNKNOWN = 3, /* may have run, or its answer wasn't kept */
};

struct dedup_entry {
    LIST_ENTRY(dedup_entry) bucket_link;
    TAILQ_ENTRY(dedup_entry) shard_link;
    TAILQ_ENTRY(dedup_entry) expiry_link; /* unless running */
    struct dedup_shard *shard;
    uint64_t id_hash;
    uint32_t key;
    uint64_t body_hash;
    int64_t ended_us;
    enum dedup_state state;
    bool dispatched;
    struct dedup_waiters waiters;
    void *answer;
    size_t answer_size;
    char id[];
};

TAILQ_HEAD(dedup_entries, dedup_entry);
LIST_HEAD(dedup_bucket, dedup_entry);

struct dedup_shard {
    LIST_ENTRY(dedup_shard) link;
    uint32_t number;
    int64_t cutoff_ms;       /* ids created earlier may have run; 0: none */
    int64_t cutoff_until_us; /* then retention of such ids has ended */
    size_t running_count;
    struct dedup_entries entries;
};

LIST_HEAD(dedup_shards, dedup_shard);

struct dedup {
    struct dedup_config config;
    struct dedup_bucket *buckets;
    size_t bucket_count;
    struct dedup_shards shards[DEDUP_SHARD_BUCKETS];
    struct dedup_entries by_end_time; /* oldest first */
    size_t count;
    size_t bytes;
};

struct dedup_shard *dedup_find_shard(const struct dedup *dedup,
                                     uint32_t number);

/** NULL if out of memory. */
struct dedup_shard *dedup_get_or_add_shard(struct dedup *dedup,
                                           uint32_t number);

struct dedup_entry *dedup_find(const struct dedup *dedup, uint32_t key,
                               const char *id);

/** Adds an entry in state RUNNING. NULL if out of memory. */
struct dedup_entry *dedup_add(struct dedup *dedup, struct dedup_shard *shard,
                              const struct dedup_request *request);

void dedup_remove(struct dedup *dedup, struct dedup_entry *entry);

void dedup_move_entry(struct dedup_entry *entry, struct dedup_shard *to);

/** Ends a running entry, which takes ownership of answer. */
void dedup_end_entry(struct dedup *dedup, struct dedup_entry *entry,
                     enum dedup_state state, void *answer, size_t answer_size,
                     int64_t ended_us);

#endif
