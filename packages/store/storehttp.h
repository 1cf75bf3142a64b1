/**
 * @file
 * Client of the platform's store: JSON over HTTP (docs/STORE.md) on
 * persistent connections. If no valid answer arrives, a write that may have
 * been sent is STORE_UNKNOWN; reads and unsent writes are STORE_UNAVAILABLE.
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
#define STORE_HTTP_DEFAULT_QUEUE_MAX 1024 /* calls awaiting a connection */

struct store_http_options {
    struct address address;
    int64_t timeout_us;   /**< of a whole call; 0: default */
    unsigned connections; /**< maximum parallel calls; 0: default */
    size_t queue_max;     /**< calls awaiting a connection; 0: default */
    struct counter_registry *counters; /**< may be NULL */
};

struct store_http;

/** NULL with err set on failure. Connects on the first call. */
struct store_http *store_http_create(struct runtime *runtime,
                                     const struct store_http_options *options,
                                     struct error *err);

/** Cancels outstanding calls without callbacks. */
void store_http_destroy(struct store_http *http);

/** The store's interface, valid until the client is destroyed. */
struct store store_http_store(struct store_http *http);

#endif
