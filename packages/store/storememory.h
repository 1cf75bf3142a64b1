/**
 * @file
 * A store in memory, for tests and the stand-in program, whose faults can
 * be switched on while it runs.
 */
#ifndef CHESTNUTGAP_STORE_STOREMEMORY_H
#define CHESTNUTGAP_STORE_STOREMEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/runtime.h"
#include "store/store.h"
#include "store/storetables.h"

/** Faults of the store. All-zero means that it works. */
struct store_faults {
    int64_t latency_us;            /**< from a call to its answer */
    bool down;                     /**< every call is STORE_UNAVAILABLE */
    unsigned lose_answers_percent; /**< done, but the answer is lost */
    unsigned lose_write_answers_percent; /**< the same, of commits only */
    unsigned delay_writes_percent;       /**< answered UNKNOWN, done later */
    int64_t delay_writes_us;             /**< how much later a write is done */
    unsigned conflict_percent;           /**< commits refused as CONFLICT */
};

/** Calls that the store has received. */
struct store_memory_counts {
    int64_t commits;
    int64_t reads; /**< of rows and objects, and scans */
};

/** A store in memory. */
struct store_memory;

/** seed selects which calls the faults hit. NULL when memory is short. */
struct store_memory *store_memory_create(struct runtime *runtime,
                                         uint64_t seed);

/** Drops the calls in progress, delayed writes included. */
void store_memory_destroy(struct store_memory *memory);

/** The store as the program sees it. */
struct store store_memory_store(struct store_memory *memory);

void store_memory_set_faults(struct store_memory *memory,
                             const struct store_faults *faults);

const struct store_faults *
store_memory_faults(const struct store_memory *memory);

struct store_memory_counts
store_memory_counts(const struct store_memory *memory);

/** The rows, to inspect and change at once, whatever faults there are. */
struct store_tables *store_memory_tables(struct store_memory *memory);

#endif
