/**
 * @file
 * Results of a load run: latencies, and counts by status, outcome and
 * target.
 */
#ifndef CHESTNUTGAP_STANDIN_LOADRESULT_H
#define CHESTNUTGAP_STANDIN_LOADRESULT_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

struct load_result;

/** Aborts if out of memory. */
struct load_result *load_result_create(void);
void load_result_destroy(struct load_result *result);

void load_result_add_latency(struct load_result *result, int64_t latency_us);

/** Increments the count of name in a group ("status", "outcome", ...). */
void load_result_count(struct load_result *result, const char *group,
                       const char *name);

/** {"requests", "seconds", "rate", "p50_us", "p99_us", "p999_us", "max_us",
 * and each group as {name: count}}; a new reference. Sorts the latencies. */
json_t *load_result_to_json(struct load_result *result, double seconds);

#endif
