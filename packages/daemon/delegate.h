/**
 * @file
 * Forwards a request that the own target can't accept to another instance's
 * gate. The own gate still detects duplicates of its id.
 */
#ifndef CHESTNUTGAP_DAEMON_DELEGATE_H
#define CHESTNUTGAP_DAEMON_DELEGATE_H

#include <stdint.h>

#include "daemon/entryservice.h"
#include "daemon/forwarder.h"

struct runtime;

/** A delegated request in progress. */
struct delegate;

/**
 * Sends the request to another member of the service, without its key and id.
 * request is not used after the call.
 *
 * @param done called once, never within this call; with RPC_NOT_SENT if no
 * other member is available
 */
struct delegate *
delegate_send(struct forwarder *forwarder, struct runtime *runtime,
              struct entryservice *service, const char *instance,
              const struct forward_request *request, int64_t timeout_us,
              forwarder_done_cb done, void *ctx);

/** Cancels the request without a callback. */
void delegate_cancel(struct delegate *delegate);

#endif
