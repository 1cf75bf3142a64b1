/**
 * @file
 * Forwards callers' requests to gates: to the own gate by a message, to other
 * instances' gates by RPC.
 */
#ifndef CHESTNUTGAP_DAEMON_FORWARDER_H
#define CHESTNUTGAP_DAEMON_FORWARDER_H

#include <stdint.h>

#include "membership/membertask.h"
#include "protocol/generated/forward.h"
#include "protocol/rpc.h"

struct gatetask;
struct runtime;
struct forwarder;

/** An attempt in progress. */
struct forwarder_attempt;

/** Called once when an attempt has ended, never within forwarder_send().
 * reply is valid during the call, and NULL unless status is RPC_OK. */
typedef void (*forwarder_done_cb)(void *ctx, enum rpc_status status,
                                  const struct forward_reply *reply);

struct forwarder_options {
    struct runtime *runtime;
    struct rpc_node *node;
    struct gatetask *gate;
    struct membertask *members;
    const char *instance; /**< name of this instance */
};

/** Aborts if out of memory. The strings must outlive it. */
struct forwarder *forwarder_create(const struct forwarder_options *options);
void forwarder_destroy(struct forwarder *forwarder);

/** request must stay valid until the attempt has ended or was cancelled. */
struct forwarder_attempt *forwarder_send(struct forwarder *forwarder,
                                         const char *instance,
                                         const struct forward_request *request,
                                         int64_t timeout_us,
                                         forwarder_done_cb done, void *ctx);

/** Cancels an attempt without a callback, also at the gate. */
void forwarder_cancel(struct forwarder_attempt *attempt);

/** Serves other instances' requests with the own gate. */
void forwarder_serve(struct rpc_node *node, struct gatetask *gate);

#endif
