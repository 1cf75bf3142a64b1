/**
 * @file
 * ONC RPC (RFC 5531) between daemons over libevent: record marking on TCP
 * for requests and transfers, single datagrams on UDP for heartbeats. No
 * function blocks the event loop.
 */
#ifndef CHESTNUTGAP_PROTOCOL_RPC_H
#define CHESTNUTGAP_PROTOCOL_RPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#include "base/address.h"
#include "base/error.h"

struct counter;
struct counter_registry;
struct runtime;

#define RPC_PROGRAM 0x20c4e570 /* user-defined range of RFC 5531 */
#define RPC_VERSION 1
#define RPC_DATAGRAM_MAX_BYTES 1400      /* bytes of a UDP message */
#define RPC_RECORD_MAX_BYTES (20u << 20) /* bytes of a TCP message */

enum rpc_channel {
    RPC_TCP,
    RPC_UDP,
};

/** How a call ended. */
enum rpc_status {
    RPC_OK,
    RPC_NOT_SENT,        /**< the peer can't have received the whole call */
    RPC_REFUSED_BY_HOST, /**< connection refused: no process listens */
    RPC_TIMED_OUT,       /**< the peer may have received the call */
    RPC_CLOSED,          /**< connection closed; the peer may have the call */
    RPC_GARBAGE,         /**< the reply could not be decoded */
    RPC_REJECTED,        /**< malformed or unknown to the peer; not run */
};

/** An RPC endpoint, client and server: UDP and TCP sockets on one port. */
struct rpc_node;

/** An outstanding call of this process. */
struct rpc_call;

/** A peer's call that is not answered yet. */
struct rpc_request;

/** A procedure that a node serves; rpc_node_serve() copies it. */
struct rpc_procedure {
    uint32_t number;
    enum rpc_channel channel;
    xdrproc_t decode_args;
    size_t args_size; /**< size of the decoded struct */
    xdrproc_t encode_result;
    /**
     * Handles a call, ended with rpc_request_reply() or rpc_request_drop()
     * now or later. args are valid until then.
     */
    void (*handle)(void *ctx, struct rpc_request *request, const void *args);
    /** The peer cancelled the call or its connection closed. May be NULL.
     * The request must still be answered or dropped. */
    void (*cancelled)(void *ctx, struct rpc_request *request);
    /** The peer asks to end the call now if it only waits; see
     * rpc_call_withdraw(). May be NULL. */
    void (*withdrawn)(void *ctx, struct rpc_request *request);
    void *ctx;
};

/**
 * Opens the sockets on address (port 0 picks a port). Counters are added to
 * the registry. NULL with err set on failure.
 */
struct rpc_node *rpc_node_create(struct runtime *runtime,
                                 const struct address *address,
                                 struct counter_registry *counters,
                                 struct error *err);

/** Closes all sockets. Outstanding calls get no callback. */
void rpc_node_destroy(struct rpc_node *node);

/** The bound address, with the actual port. */
const struct address *rpc_node_address(const struct rpc_node *node);

void rpc_node_serve(struct rpc_node *node,
                    const struct rpc_procedure *procedure);

/** Sends the reply and frees the request. result is not kept. */
void rpc_request_reply(struct rpc_request *request, const void *result);

/** Frees the request without a reply. */
void rpc_request_drop(struct rpc_request *request);

/** Address of the peer that made the call. */
const struct address *rpc_request_peer(const struct rpc_request *request);

/** The handler's own data for this request. */
void rpc_request_set_data(struct rpc_request *request, void *data);
void *rpc_request_data(const struct rpc_request *request);

/** Called once when a call ends. result is valid during the callback; NULL
 * unless status is RPC_OK. */
typedef void (*rpc_done_cb)(void *ctx, enum rpc_status status,
                            const void *result);

/** Parameters of a call. */
struct rpc_call_spec {
    const struct address *peer;
    enum rpc_channel channel;
    uint32_t procedure;
    xdrproc_t encode_args;
    const void *args; /**< encoded before rpc_call_start() returns */
    xdrproc_t decode_result;
    size_t result_size;
    int64_t timeout_us;
    struct counter *bytes; /**< of the call and its reply; may be NULL */
    rpc_done_cb done;      /**< never called from rpc_call_start() */
    void *ctx;
};

/**
 * Starts a call. TCP connections to a peer are kept open and shared; a UDP
 * call is sent once, without retransmission.
 */
struct rpc_call *rpc_call_start(struct rpc_node *node,
                                const struct rpc_call_spec *spec);

/** False if no byte of the call was sent and none will be once it is
 * cancelled. */
bool rpc_call_may_be_sent(const struct rpc_call *call);

/** Ends a call without a callback and sends a TCP peer PROCEDURE_CANCEL. */
void rpc_call_cancel(struct rpc_call *call);

/** Asks the peer to reply at once if it has not begun to carry out the call,
 * and then never to begin. The call goes on. Does nothing to a call that is
 * not sent yet, or if the peer doesn't know PROCEDURE_WITHDRAW. */
void rpc_call_withdraw(const struct rpc_call *call);

/** Closes the connections to all peers and ends their calls. Further calls
 * open new ones. */
void rpc_node_close_outgoing(struct rpc_node *node);

/** True if the kernel has all replies. */
bool rpc_node_is_flushed(const struct rpc_node *node);

#endif
