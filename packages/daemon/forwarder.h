/**
 * @file
 * Sends a caller's request to the gate of an instance: to the own gate by a
 * message, to others by RPC.
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

/** A request that was sent and has not ended. */
struct forwarder_attempt;

/** Tells the end of a try, once; never within forwarder_send(). reply is
 * valid during the call and NULL unless status is RPC_OK. */
typedef void (*forwarder_done_cb)(void *ctx, enum rpc_status status,
                                  const struct forward_reply *reply);

struct forwarder_options {
    struct runtime *runtime;
    struct rpc_node *node;
    struct gatetask *gate;
    struct membertask *members;
    const char *instance; /**< the own name */
};

/** Aborts when memory is short. The strings must outlive it. */
struct forwarder *forwarder_create(const struct forwarder_options *options);
void forwarder_destroy(struct forwarder *forwarder);

/** request must stay valid until the end of the try or its cancellation. */
struct forwarder_attempt *forwarder_send(struct forwarder *forwarder,
                                         const char *instance,
                                         const struct forward_request *request,
                                         int64_t timeout_us,
                                         forwarder_done_cb done, void *ctx);

/** Ends a try without a callback and tells the gate to stop. */
void forwarder_cancel(struct forwarder_attempt *attempt);

/** Serves other instances' requests at the own gate. */
void forwarder_serve(struct rpc_node *node, struct gatetask *gate);

#endif
