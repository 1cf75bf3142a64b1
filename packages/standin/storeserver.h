/**
 * @file
 * HTTP server of the store's protocol (docs/STORE.md) in front of an
 * in-memory store, with an endpoint that sets its faults.
 */
#ifndef CHESTNUTGAP_STANDIN_STORESERVER_H
#define CHESTNUTGAP_STANDIN_STORESERVER_H

#include <stddef.h>

#include "base/address.h"
#include "base/error.h"
#include "base/runtime.h"
#include "store/storememory.h"

#define STORE_SERVER_PATH_FAULTS "/v1/faults"
#define STORE_SERVER_ROWS_MAX ((size_t)4 << 20)           /* then 507 */
#define STORE_SERVER_OBJECT_BYTES_MAX ((size_t)256 << 20) /* of all puts */

struct store_server;

/** NULL with err set on failure, for example if the address is in use. */
struct store_server *store_server_create(struct runtime *runtime,
                                         struct store_memory *memory,
                                         const struct address *listen,
                                         struct error *err);

/** Closes all connections; requests in progress get no answer. */
void store_server_destroy(struct store_server *server);

/** Port the server listens on, or 0 on error. */
uint16_t store_server_port(const struct store_server *server);

#endif
