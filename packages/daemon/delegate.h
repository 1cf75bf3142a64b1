/**
 * @file
 * Hands an order that the own target can't take to another instance's gate,
 * while the own gate goes on to remember its id.
 */
#ifndef CHESTNUTGAP_DAEMON_DELEGATE_H
#define CHESTNUTGAP_DAEMON_DELEGATE_H

#include <stdint.h>

#include "daemon/entryservice.h"
#include "daemon/forwarder.h"

struct runtime;

/** An order that was handed over and has not ended. */
struct delegate;

/**
 * Sends the order to another member of the service, as neither keyed nor with
 * an id. Nothing of request is used after the call.
 *
 * @param done called once, never within this call; with RPC_NOT_SENT if no
 * other member is known
 */
struct delegate *
delegate_send(struct forwarder *forwarder, struct runtime *runtime,
              struct entryservice *service, const char *instance,
              const struct forward_request *request, int64_t timeout_us,
              forwarder_done_cb done, void *ctx);

/** Ends it without a callback. */
void delegate_cancel(struct delegate *delegate);

#endif
