/**
 * @file
 * The calls between members, behind an interface that tests can replace.
 */
#ifndef CHESTNUTGAP_MEMBERSHIP_MEMBERTRANSPORT_H
#define CHESTNUTGAP_MEMBERSHIP_MEMBERTRANSPORT_H

#include <stdint.h>

#include "base/address.h"
#include "protocol/generated/lease.h"
#include "protocol/procedures.h"
#include "protocol/rpc.h"

struct membertask;

/** A call. PROCEDURE_NULL uses TCP, since only a TCP connection is refused
 * by the host when the process is gone; the others use UDP. */
struct member_call_spec {
    const struct address *peer;
    /** PROCEDURE_RENEW, PROCEDURE_CERTIFY, or PROCEDURE_NULL. */
    enum rpc_procedure_number procedure;
    const void *args; /**< the procedure's struct; NULL for PROCEDURE_NULL */
    int64_t timeout_us;
    rpc_done_cb done; /**< called once, never before call() returns */
    void *ctx;
};

struct member_transport_ops {
    /** Starts a call. Returns a handle for cancel, NULL on failure. */
    void *(*call)(void *impl, const struct member_call_spec *spec);
    /** Cancels a call; done is not called. */
    void (*cancel)(void *impl, void *call);
};

/** A transport: operations and the implementation's context. */
struct member_transport {
    const struct member_transport_ops *ops;
    void *impl;
};

/** The transport over an RPC node. */
struct member_transport member_transport_rpc(struct rpc_node *node);

/** Makes the node serve renewals and certificate requests of the task. */
void member_transport_serve(struct rpc_node *node, struct membertask *task);

#endif
