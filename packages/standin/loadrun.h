/**
 * @file
 * Load generator: sends requests at a constant rate over libevent's HTTP
 * client. An order is a POST with an idempotency key, which it keeps when it
 * is retried.
 */
#ifndef CHESTNUTGAP_STANDIN_LOADRUN_H
#define CHESTNUTGAP_STANDIN_LOADRUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/address.h"

struct load_result;
struct load_run;
struct runtime;

#define LOAD_ENTRIES_MAX 64

/** Settings of a load run; the strings must outlive the run. */
struct load_config {
    struct address entries[LOAD_ENTRIES_MAX]; /**< used round-robin */
    size_t entry_count;
    const char *prefix;     /**< paths are PREFIX/KEY */
    const char *key_header; /**< header that repeats the key, or NULL */
    unsigned connections;
    double rate; /**< requests per second */
    double seconds;
    double order_percent; /**< the rest are GETs */
    size_t key_count;
    double zipf_exponent;
    size_t body_size;     /**< bytes of an order's body */
    size_t answer_size;   /**< bytes to request by size=N; 0: not sent */
    unsigned retries_max; /**< of an unanswered order */
    int64_t timeout_us;
    uint64_t seed;
    FILE *outcome_log; /**< JSON line for each attempt of an order; or NULL */
};

/** Starts a run; done is called when its last request has ended. */
struct load_run *load_run_create(struct runtime *runtime,
                                 const struct load_config *config,
                                 struct load_result *result,
                                 void (*done)(void *ctx), void *ctx);
void load_run_destroy(struct load_run *run);

#endif
