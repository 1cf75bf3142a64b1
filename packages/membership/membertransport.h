/**
 * @file
 * The calls between members, behind a narrow interface that tests replace.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MEMBERTRANSPORT_H
#define CHESTNUTGAP_MEMBERSHIP_MEMBERTRANSPORT_H

#include <stdint.h>

#include "base/address.h"
#include "protocol/generated/lease.h"
#include "protocol/procedures.h"
#include "protocol/rpc.h"

struct membertask;

/** One call: over UDP, or for PROCEDURE_NULL over TCP, since only a TCP
 * connection is refused by the host when the process is gone. */
struct member_call_spec {
    const struct address *peer;
    /** PROCEDURE_RENEW, PROCEDURE_CERTIFY, or PROCEDURE_NULL. */
    enum rpc_procedure_number procedure;
    const void *args; /**< struct of the procedure; NULL for PROCEDURE_NULL */
    int64_t timeout_us;
    rpc_done_cb done; /**< once, never within the call */
    void *ctx;
};

struct member_transport_ops {
    /** Starts a call and returns a handle for cancel. */
    void *(*call)(void *impl, const struct member_call_spec *spec);
    /** Ends a call without a callback. */
    void (*cancel)(void *impl, void *call);
};

/** A transport: operations and the implementation's context pointer. */
struct member_transport {
    const struct member_transport_ops *ops;
    void *impl;
};

/** The transport over an RPC node. */
struct member_transport member_transport_rpc(struct rpc_node *node);

/** Serves renewals and certificates of the task on the node. */
void member_transport_serve(struct rpc_node *node, struct membertask *task);

#endif
