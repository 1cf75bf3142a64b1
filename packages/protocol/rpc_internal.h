/**
 * @file
 * What the modules of the RPC transport share: the node's state, TCP
 * connections (rpcconnection.c), calls (rpccall.c), requests (rpcrequest.c)
 * and datagrams (rpcdatagram.c).
 */
#ifndef CHESTNUTGAP_PROTOCOL_RPC_INTERNAL_H
#define CHESTNUTGAP_PROTOCOL_RPC_INTERNAL_H

#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "protocol/rpc.h"
#include "protocol/rpcmessage.h"
#include "protocol/xidtable.h"

#define RPC_PROCEDURES_MAX 32
#define RPC_PEER_BUCKETS 256
#define RPC_CONNECT_TIMEOUT_US (1 * US_PER_SECOND)
#define RPC_IDLE_TIMEOUT_OUTGOING_US (60 * US_PER_SECOND)
#define RPC_IDLE_TIMEOUT_ACCEPTED_US (300 * US_PER_SECOND)
#define RPC_IDLE_CHECK_INTERVAL_US (1 * US_PER_SECOND)
#define RPC_OUTPUT_HIGH_BYTES (32u << 20) /* bytes; then reading stops */
#define RPC_OUTPUT_LOW_BYTES (4u << 20)   /* bytes; then reading goes on */
#define RPC_OUTPUT_MAX_BYTES (64u << 20)  /* bytes; then calls fail unsent */
#define RPC_PENDING_HIGH_BYTES                                                \
    (64u << 20) /* bytes of a peer's calls in work; then */
                /* reading stops until half are answered */
#define RPC_ACCEPTED_CONNECTIONS_MAX 16384 /* connections from peers */
#define RPC_BULK_MIN_BYTES                                                    \
    (64u << 10) /* bytes; such calls use their own lane */
#define RPC_IO_MAX_BYTES (256u << 10) /* bytes taken from a socket at once */
#define RPC_RECORD_MARK_SIZE 4        /* bytes of a record mark */
#define RPC_LAST_FRAGMENT 0x80000000u

/* clang-format off */
#define RPC_COUNTERS(X)                                                       \
    X(calls, "calls made")                                                    \
    X(calls_ok, "calls answered")                                             \
    X(calls_timed_out, "calls without an answer in time")                     \
    X(calls_closed, "calls whose connection closed")                          \
    X(calls_not_sent, "calls of which no byte was sent")                      \
    X(calls_refused_by_host, "calls to a host that refused the connection")   \
    X(calls_rejected, "calls that the peer refused as malformed")             \
    X(calls_garbage, "calls whose answer was not understood")                 \
    X(calls_cancelled, "calls that were cancelled by the caller")             \
    X(requests, "calls received")                                             \
    X(requests_cancelled, "received calls that were cancelled")               \
    X(late_replies, "replies without a call that waits for them")             \
    X(garbage_messages, "messages that were not understood")                  \
    X(oversize_messages, "messages larger than allowed")                      \
    X(version_mismatches, "calls of another program or version")              \
    X(unknown_procedures, "calls of a procedure that is not served")          \
    X(cut_messages, "connections that closed within a message")               \
    X(slow_readers, "times a connection's output was full")                   \
    X(held_back, "times that too much of one peer was in work")               \
    X(connects, "connections opened")                                         \
    X(accepts, "connections accepted")                                        \
    X(accept_errors, "times that accepting a connection failed")              \
    X(idle_closed, "idle connections closed")                                 \
    X(bytes_sent, "bytes handed to sockets")                                  \
    X(bytes_received, "bytes of messages received")
/* clang-format on */

struct rpc_counters {
#define RPC_COUNTER_FIELD(field, help) struct counter *field;
    RPC_COUNTERS(RPC_COUNTER_FIELD)
#undef RPC_COUNTER_FIELD
};

TAILQ_HEAD(rpc_call_queue, rpc_call);
LIST_HEAD(rpc_request_list, rpc_request);
LIST_HEAD(rpc_connection_list, rpc_connection);

struct rpc_node {
    struct runtime *runtime;
    struct address address;
    struct evconnlistener *listener;
    struct event *datagram_event;
    struct event *failed_event;
    struct timer sweep_timer;
    struct rpc_procedure procedures[RPC_PROCEDURES_MAX];
    bool served[RPC_PROCEDURES_MAX];
    struct xid_table calls;
    struct rpc_call_queue datagram_calls;
    struct rpc_call_queue failed; /* calls to end in the next iteration */
    struct rpc_request_list requests;
    struct rpc_connection_list accepted;
    size_t accepted_count;
    struct rpc_connection_list outgoing[RPC_PEER_BUCKETS];
    uint32_t next_xid;
    struct rpc_counters counters;
};

struct rpc_connection {
    LIST_ENTRY(rpc_connection) link;
    struct rpc_node *node;
    struct bufferevent *bev;
    struct address peer;
    bool outgoing;
    bool bulk; /* lane for large calls */
    bool connected;
    bool output_full;           /* reading stops: the peer does not read */
    bool pending_limit_reached; /* reading stops: too much of the peer is in
                                   work */
    struct timer connect_timer;
    struct rpc_call_queue waiting; /* not written: no connection yet */
    size_t waiting_call_bytes;     /* of the calls that wait */
    struct rpc_call_queue sent;
    struct xid_table requests;
    size_t pending_bytes;       /* of the peer's calls in work */
    uint64_t appended_bytes;    /* ever appended to the output */
    struct evbuffer *fragments; /* of a record that isn't complete */
    int64_t last_used_us;
};

struct rpc_call {
    struct xid_entry entry; /* first: found by xid */
    TAILQ_ENTRY(rpc_call) link;
    struct rpc_call_queue *queue; /* the queue that link is in */
    struct rpc_node *node;
    struct rpc_connection *connection; /* NULL for a datagram */
    struct address peer;
    struct evbuffer *unsent;  /* the message, while waiting */
    uint64_t start_offset;    /* of the message in the output */
    enum rpc_status end_with; /* while in the queue of failed calls */
    xdrproc_t decode_result;
    size_t result_size;
    rpc_done_cb done;
    void *ctx;
    struct timer timer;
};

struct rpc_request {
    struct xid_entry entry; /* first: found by xid */
    LIST_ENTRY(rpc_request) link;
    struct rpc_node *node;
    struct rpc_connection *connection; /* NULL: datagram, or closed */
    const struct rpc_procedure *procedure;
    struct address peer;
    size_t size; /* bytes of the message */
    void *args;
    void *data;
};

/* rpcconnection.c */

/** The shared connection to a peer, opened if there is none. NULL when no
 * socket can be had. */
struct rpc_connection *rpc_connection_get(struct rpc_node *node,
                                          const struct address *peer,
                                          bool bulk);
void rpc_connection_accept(struct rpc_node *node, evutil_socket_t fd,
                           const struct address *peer);

/** Ends the connection's calls with the status and cancels its requests. */
void rpc_connection_close(struct rpc_connection *connection,
                          enum rpc_status status);
void rpc_connection_free(struct rpc_connection *connection);

/** Bytes of the output that have been handed to the kernel. */
uint64_t rpc_connection_written_bytes(const struct rpc_connection *connection);

size_t rpc_connection_backlog_bytes(const struct rpc_connection *connection);

/** Notes that a record of size bytes was appended to the output. */
void rpc_connection_record_output(struct rpc_connection *connection,
                                  size_t size);

/** Counts a call of the peer that is now in work. */
void rpc_connection_add_pending(struct rpc_connection *connection,
                                size_t size);

/** Counts a call of the peer that has ended. */
void rpc_connection_remove_pending(struct rpc_connection *connection,
                                   size_t size);

/* rpccall.c */

/** Handles a reply. connection is NULL for a datagram from peer. */
void rpc_call_receive(struct rpc_node *node,
                      const struct rpc_connection *connection,
                      const struct address *peer,
                      const struct rpc_header *header, XDR *xdr, size_t size);

/** Writes the calls that waited for the connection. */
void rpc_call_flush(struct rpc_connection *connection);

/** Ends a call with its callback. */
void rpc_call_end(struct rpc_call *call, enum rpc_status status,
                  const void *result);
void rpc_call_free(struct rpc_call *call);
void rpc_call_on_failed(evutil_socket_t fd, short what, void *ctx);

/* rpcrequest.c */

/** Handles a call of the peer, or answers why not. */
void rpc_request_receive(struct rpc_node *node,
                         struct rpc_connection *connection,
                         const struct address *peer,
                         const struct rpc_header *header, XDR *xdr,
                         size_t size);
void rpc_request_free(struct rpc_request *request);

/** Tells the handler that the caller is gone. */
void rpc_request_cancel(struct rpc_request *request);

/* rpcdatagram.c */
bool rpc_datagram_open(struct rpc_node *node, struct error *err);
bool rpc_datagram_send(struct rpc_node *node, const struct address *peer,
                       const void *data, size_t size);

/* rpcnode.c */

/**
 * Handles one message.
 *
 * @return false if it was not an RPC message.
 */
bool rpc_node_receive(struct rpc_node *node, struct rpc_connection *connection,
                      const struct address *peer, void *data, size_t size);

#endif
