/**
 * @file
 * Shared by the modules of the RPC transport: the node's state, TCP
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
#define RPC_OUTPUT_HIGH_BYTES (32u << 20) /* then reading stops */
#define RPC_OUTPUT_LOW_BYTES (4u << 20)   /* then it resumes */
#define RPC_OUTPUT_MAX_BYTES (64u << 20)  /* then calls fail unsent */
/* Unanswered calls of a peer; reading stops until half are answered. */
#define RPC_PENDING_HIGH_BYTES (64u << 20)
#define RPC_ACCEPTED_CONNECTIONS_MAX 16384
/* Calls of this size and more use the peer's bulk connection. */
#define RPC_BULK_MIN_BYTES (64u << 10)
#define RPC_IO_MAX_BYTES (256u << 10) /* of one read or write */
#define RPC_RECORD_MARK_SIZE 4        /* bytes */
#define RPC_LAST_FRAGMENT 0x80000000u

/* clang-format off */
#define RPC_COUNTERS(X)                                                       \
    X(calls, "calls made")                                                    \
    X(calls_ok, "calls answered")                                             \
    X(calls_timed_out, "calls without an answer in time")                     \
    X(calls_closed, "calls whose connection closed")                          \
    X(calls_not_sent, "calls that failed before they were sent whole")        \
    X(calls_refused_by_host, "calls to a host that refused the connection")   \
    X(calls_rejected, "calls that the peer rejected as malformed or unknown") \
    X(calls_garbage, "calls whose reply could not be decoded")                \
    X(calls_cancelled, "calls that were cancelled")                           \
    X(requests, "calls received")                                             \
    X(requests_cancelled, "received calls that were cancelled")               \
    X(late_replies, "replies without an outstanding call")                    \
    X(garbage_messages, "messages that could not be decoded")                 \
    X(oversize_messages, "messages larger than allowed")                      \
    X(version_mismatches, "calls of another program or version")              \
    X(unknown_procedures, "calls of a procedure that is not served")          \
    X(cut_messages, "connections that closed in the middle of a message")     \
    X(slow_readers, "times a connection's output was full")                   \
    X(held_back, "times that a peer reached the limit of unanswered calls")   \
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
    struct timer idle_check_timer;
    struct rpc_procedure procedures[RPC_PROCEDURES_MAX];
    bool served[RPC_PROCEDURES_MAX];
    struct xid_table calls;
    struct rpc_call_queue datagram_calls;
    struct rpc_call_queue failed; /* to end in the next loop iteration */
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
    bool bulk; /* for large calls only */
    bool connected;
    bool output_full;           /* not reading: the peer reads too slowly */
    bool pending_limit_reached; /* not reading: too many unanswered calls */
    struct timer connect_timer;
    struct rpc_call_queue waiting; /* until the connection is open */
    size_t waiting_call_bytes;
    struct rpc_call_queue sent;
    struct xid_table requests;
    size_t pending_bytes;       /* of the peer's unanswered calls */
    uint64_t appended_bytes;    /* to the output, in total */
    struct evbuffer *fragments; /* of an incomplete record */
    int64_t last_used_us;
};

struct rpc_call {
    struct xid_entry entry; /* first: cast from the table's entry */
    TAILQ_ENTRY(rpc_call) link;
    struct rpc_call_queue *queue; /* that contains link, or NULL */
    struct rpc_node *node;
    struct rpc_connection *connection; /* NULL for a datagram */
    struct address peer;
    struct evbuffer *unsent;       /* the message until it is sent */
    uint64_t end_offset;           /* of the message in the output stream */
    enum rpc_status failed_status; /* while in node->failed */
    xdrproc_t decode_result;
    size_t result_size;
    struct counter *bytes; /* or NULL */
    rpc_done_cb done;
    void *ctx;
    struct timer timer;
};

struct rpc_request {
    struct xid_entry entry; /* first: cast from the table's entry */
    LIST_ENTRY(rpc_request) link;
    struct rpc_node *node;
    struct rpc_connection *connection; /* NULL: datagram, or cancelled */
    const struct rpc_procedure *procedure;
    struct address peer;
    size_t size; /* bytes of the message */
    void *args;
    void *data;
};

/* rpcconnection.c */

/** The shared connection to a peer, opened if there is none. NULL if that
 * fails. */
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

/** Accounts for a record of size bytes just appended to the output. */
void rpc_connection_record_output(struct rpc_connection *connection,
                                  size_t size);

/** Accounts for a received call until it is answered. */
void rpc_connection_add_pending(struct rpc_connection *connection,
                                size_t size);

/** Undoes rpc_connection_add_pending() when the call has ended. */
void rpc_connection_remove_pending(struct rpc_connection *connection,
                                   size_t size);

/* rpccall.c */

/** Handles a reply. connection is NULL for a datagram from peer. */
void rpc_call_receive(struct rpc_node *node,
                      const struct rpc_connection *connection,
                      const struct address *peer,
                      const struct rpc_header *header, XDR *xdr, size_t size);

/** Sends the waiting calls once the connection is open. */
void rpc_call_flush(struct rpc_connection *connection);

/** Calls the callback and frees the call. */
void rpc_call_end(struct rpc_call *call, enum rpc_status status,
                  const void *result);
void rpc_call_free(struct rpc_call *call);
void rpc_call_on_failed(evutil_socket_t fd, short what, void *ctx);

/* rpcrequest.c */

/** Handles a peer's call or sends an error reply. */
void rpc_request_receive(struct rpc_node *node,
                         struct rpc_connection *connection,
                         const struct address *peer,
                         const struct rpc_header *header, XDR *xdr,
                         size_t size);
void rpc_request_free(struct rpc_request *request);

/** Tells the handler that the peer no longer waits for the reply. */
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
