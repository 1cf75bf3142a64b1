/**
 * @file
 * An in-memory store with fault injection, for tests and the stand-in
 * server.
 */
#ifndef CHESTNUTGAP_STORE_STOREMEMORY_H
#define CHESTNUTGAP_STORE_STOREMEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/runtime.h"
#include "store/store.h"
#include "store/storetables.h"

/** Faults to inject; all zero for none. */
struct store_faults {
    int64_t latency_us;            /**< from a call to its callback */
    bool down;                     /**< all calls end as STORE_UNAVAILABLE */
    unsigned lose_answers_percent; /**< applied, but the answer is lost */
    unsigned lose_write_answers_percent; /**< same, commits only */
    unsigned delay_writes_percent;       /**< STORE_UNKNOWN, applied later */
    int64_t delay_writes_us;             /**< delay until applied */
    unsigned conflict_percent; /**< commits that end as STORE_CONFLICT */
};

/** Calls received. */
struct store_memory_counts {
    int64_t commits;
    int64_t reads; /**< of rows or objects, and scans */
};

struct store_memory;

/** seed determines which calls fail. NULL if out of memory. */
struct store_memory *store_memory_create(struct runtime *runtime,
                                         uint64_t seed);

/** Cancels outstanding calls and delayed writes. */
void store_memory_destroy(struct store_memory *memory);

/** The store's interface, valid until memory is destroyed. */
struct store store_memory_store(struct store_memory *memory);

void store_memory_set_faults(struct store_memory *memory,
                             const struct store_faults *faults);

const struct store_faults *
store_memory_faults(const struct store_memory *memory);

struct store_memory_counts
store_memory_counts(const struct store_memory *memory);

/** For synchronous access without injected faults. */
struct store_tables *store_memory_tables(struct store_memory *memory);

#endif
