/**
 * @file
 * Client of the platform's store over HTTP with JSON (docs/STORE.md), on
 * kept-alive connections. A call whose answer is lost after the request may
 * have been sent is STORE_UNKNOWN if it writes; a call of which nothing was
 * sent is STORE_UNAVAILABLE.
 */
#ifndef CHESTNUTGAP_STORE_STOREHTTP_H
#define CHESTNUTGAP_STORE_STOREHTTP_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/runtime.h"
#include "store/store.h"

#define STORE_HTTP_DEFAULT_TIMEOUT_US (2 * US_PER_SECOND)
#define STORE_HTTP_DEFAULT_CONNECTIONS 8
#define STORE_HTTP_DEFAULT_QUEUE_MAX                                          \
    1024 /* calls that wait for a connection */

struct store_http_options {
    struct address address;
    int64_t
        timeout_us; /**< of a whole call; 0: STORE_HTTP_DEFAULT_TIMEOUT_US */
    unsigned connections; /**< calls in parallel; 0: the default above */
    size_t queue_max;     /**< 0: STORE_HTTP_DEFAULT_QUEUE_MAX */
    struct counter_registry *counters; /**< NULL: counts nothing */
};

/** The client. */
struct store_http;

/** NULL with err set on failure. It connects with the first call. */
struct store_http *store_http_create(struct runtime *runtime,
                                     const struct store_http_options *options,
                                     struct error *err);

/** Drops the calls in progress without callbacks. */
void store_http_destroy(struct store_http *http);

/** The store as the program sees it. */
struct store store_http_store(struct store_http *http);

#endif
