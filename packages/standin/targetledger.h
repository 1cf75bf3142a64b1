/**
 * @file
 * Record of the requests that a stand-in target executed, for tests that look
 * for duplicate executions and overlapping owners.
 */
#ifndef CHESTNUTGAP_STANDIN_TARGETLEDGER_H
#define CHESTNUTGAP_STANDIN_TARGETLEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

struct target_ledger;

/** One execution. */
struct target_execution {
    const char *id; /**< request id, or "" */
    const char *method;
    const char *path;
    bool keyed; /**< shard and epoch are set */
    uint32_t shard;
    uint64_t epoch;
    int64_t start_us; /**< CLOCK_BOOTTIME */
};

/** Appends each start and end to file as a JSON line, unless file is NULL.
 * Aborts if out of memory; NULL if the file can't be opened. */
struct target_ledger *target_ledger_create(const char *file);
void target_ledger_destroy(struct target_ledger *ledger);

/** @return index of the execution, for target_ledger_end(). */
size_t target_ledger_start(struct target_ledger *ledger,
                           const struct target_execution *execution);

void target_ledger_end(struct target_ledger *ledger, size_t index,
                       int64_t end_us, unsigned status);

size_t target_ledger_execution_count(const struct target_ledger *ledger);

/** {request id: number of executions}; a new reference. */
json_t *target_ledger_counts(const struct target_ledger *ledger);

/** [{"id", "method", "path", "shard", "epoch", "start_us", "end_us",
 * "status"}], oldest first; a new reference. */
json_t *target_ledger_records(const struct target_ledger *ledger);

#endif
