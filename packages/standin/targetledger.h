/**
 * @file
 * What a stand-in target executed: how often each request id, and when, so
 * that tests can see doubled executions and overlapping owners.
 */
#ifndef CHESTNUTGAP_STANDIN_TARGETLEDGER_H
#define CHESTNUTGAP_STANDIN_TARGETLEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

struct target_ledger;

/** One execution. Times are on CLOCK_BOOTTIME. */
struct target_execution {
    const char *id; /**< the request's, or "" */
    const char *method;
    const char *path;
    bool keyed;
    uint32_t shard;
    uint64_t epoch;
    int64_t start_us;
};

/** file: each start and end is appended to it as a JSON line; NULL: none.
 * Aborts when memory is short; NULL if the file can't be opened. */
struct target_ledger *target_ledger_create(const char *file);
void target_ledger_destroy(struct target_ledger *ledger);

/** @return the execution's number, for target_ledger_end(). */
size_t target_ledger_start(struct target_ledger *ledger,
                           const struct target_execution *execution);

void target_ledger_end(struct target_ledger *ledger, size_t number,
                       int64_t end_us, unsigned status);

size_t target_ledger_execution_count(const struct target_ledger *ledger);

/** {id: number of executions} */
json_t *target_ledger_counts(const struct target_ledger *ledger);

/** [{"id", "method", "path", "shard", "epoch", "start_us", "end_us",
 * "status"}], oldest first. */
json_t *target_ledger_records(const struct target_ledger *ledger);

#endif
