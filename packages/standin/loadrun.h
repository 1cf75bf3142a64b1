/**
 * @file
 * A load run: requests at a steady rate over libevent's HTTP client. An
 * order keeps its idempotency key when it is sent again.
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

/** What to send, and how much of it. */
struct load_config {
    struct address entries[LOAD_ENTRIES_MAX]; /**< taken in turn */
    size_t entry_count;
    const char *prefix;     /**< of the paths: PREFIX/KEY */
    const char *key_header; /**< the key goes there too; or NULL */
    unsigned connections;
    double rate; /**< requests a second */
    double seconds;
    double order_percent; /**< the rest are GETs */
    size_t keys;
    double zipf;
    size_t body_size;   /**< bytes of an order's body */
    size_t answer_size; /**< bytes asked for (size=N); 0: the usual */
    unsigned resends;   /**< of an order that was not answered */
    int64_t timeout_us;
    uint64_t seed;
    FILE *told; /**< JSON lines of what callers were told; or NULL */
};

/** Starts a run; done is called when its last request has ended. */
struct load_run *load_run_create(struct runtime *runtime,
                                 const struct load_config *config,
                                 struct load_result *result,
                                 void (*done)(void *ctx), void *ctx);
void load_run_destroy(struct load_run *run);

#endif
