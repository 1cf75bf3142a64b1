/**
 * @file
 * Reads a caller's request: its key, its idempotency key and its deadline.
 */
#ifndef CHESTNUTGAP_ENTRY_REQUESTKEY_H
#define CHESTNUTGAP_ENTRY_REQUESTKEY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "state/state.h"

#define REQUESTKEY_BYTES_MAX 255 /* of a key or an id */
#define REQUESTKEY_ID_HEADER "Idempotency-Key"
#define REQUESTKEY_DEADLINE_HEADER "Chestnutgap-Deadline-Ms"

/** Value of a header by its case-insensitive name, or NULL. */
typedef const char *(*requestkey_header_cb)(void *ctx, const char *name);

/** A caller's request. */
struct requestkey_source {
    const char *method;
    const char *target; /**< path and query, as sent */
    requestkey_header_cb header;
    void *header_ctx;
};

struct requestkey {
    bool keyed; /**< must run at the owner of its key */
    bool idempotent;
    char key[REQUESTKEY_BYTES_MAX + 1]; /**< decoded; "" unless keyed */
    size_t key_size;
    char id[REQUESTKEY_BYTES_MAX + 1]; /**< idempotency key, or "" */
    int64_t remaining_us;              /**< until the caller's deadline */
};

/**
 * Reads key, id and deadline as the service declares them. A request to an
 * un-keyed service that is not idempotent and has an id is keyed by that id,
 * so that a single gate records its execution.
 *
 * Fails with ERROR_KEY_MISSING, ERROR_KEY_INVALID, ERROR_ID_MISSING,
 * ERROR_ID_INVALID or ERROR_DEADLINE_INVALID: the caller's mistake; nothing
 * has run.
 */
bool requestkey_read(const struct state_service *service,
                     const struct requestkey_source *source,
                     struct requestkey *key, struct error *err);

#endif
