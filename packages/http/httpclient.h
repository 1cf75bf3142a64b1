/**
 * @file
 * HTTP/1.1 client with a pool of persistent connections to one address. A
 * call reports whether its request may have run. A connection carries one
 * request at a time and is closed, never reused, after an abandoned request
 * or an incomplete answer.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPCLIENT_H
#define CHESTNUTGAP_HTTP_HTTPCLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"
#include "http/httpheaders.h"

struct counter_registry;
struct memory_budget;
struct runtime;

struct http_client;

/** An outstanding request. */
struct http_call;

/** How a call ended. */
enum http_outcome {
    HTTP_ANSWERED,        /**< completely */
    HTTP_NOT_SENT,        /**< no byte was sent: not run */
    HTTP_REFUSED,         /**< connection refused: not run */
    HTTP_TIMED_OUT,       /**< the deadline passed; may have run */
    HTTP_CONNECTION_LOST, /**< connection lost before the end; may have run */
    HTTP_MALFORMED,       /**< answer invalid or too large */
};

struct http_client_config {
    struct address address;
    /** Without the one that stays open unused. Default 64 */
    unsigned connections_max;
    size_t body_max_bytes;   /**< bytes of an answer's body. Default 16 MiB */
    size_t bodies_max_bytes; /**< bytes of all bodies in progress. Default 64
                                MiB */
    int64_t connect_timeout_us; /**< Default 1 s */
    int64_t idle_timeout_us;    /**< Default 30 s */
    bool body_may_end_at_close; /**< a body may end with its connection */
    /** Bounds answers being received; above it a call ends as malformed. NULL:
     * no bound. */
    struct memory_budget *memory;
};

/** Result of a call, valid during the callback. */
struct http_result {
    enum http_outcome outcome;
    unsigned status; /**< this and the following: only if answered */
    const struct http_headers *headers;
    const void *body;
    size_t body_size;
};

typedef void (*http_done_cb)(void *ctx, const struct http_result *result);

/**
 * Called on an open connection just before the first byte is written,
 * possibly within http_call_start(). If it returns false, nothing is sent
 * and the call ends later with HTTP_NOT_SENT. It must not cancel the call.
 */
typedef bool (*http_may_send_cb)(void *ctx);

/**
 * Whether an answer belongs to the request. If not, e.g. because it is a
 * late answer to an earlier request, it is dropped and the next is awaited.
 */
typedef bool (*http_answer_match_cb)(void *ctx,
                                     const struct http_headers *headers);

/** Whether the connection may carry other calls after that answer. */
typedef bool (*http_keep_cb)(void *ctx, const struct http_result *result);

/** A request, copied by http_call_start(). */
struct http_call_spec {
    const char *method;
    const char *target; /**< path and query */
    const struct http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_size;
    int64_t deadline_us;                 /**< of the runtime's clock */
    http_may_send_cb may_send;           /**< may be NULL */
    http_answer_match_cb answer_matches; /**< may be NULL */
    /** NULL: after each answer. A late copy of an answer can only be told from
     * the answers to later calls by answer_matches. */
    http_keep_cb keeps_connection;
    /** The connection is opened for this call and carries no other, so that
     * no late answer to another can arrive on it. */
    bool needs_own_connection;
    /** After the answer such a connection stays open, unused, until the next
     * one does: see http_client_has_open_since(). */
    bool stays_open;
    http_done_cb done; /**< called once, never within http_call_start() */
    void *ctx;
};

/** Adds its counters to the registry. Aborts if out of memory. */
struct http_client *http_client_create(struct runtime *runtime,
                                       const struct http_client_config *config,
                                       struct counter_registry *counters);

/** Closes all connections. Outstanding calls get no callback. */
void http_client_destroy(struct http_client *client);

/** Sets the limit; excess connections close when their call ends. */
void http_client_set_connections(struct http_client *client, unsigned max);

/** Number of open connections and connection attempts. */
unsigned http_client_connections(const struct http_client *client);

/** True if a connection that was established by since_us, and has carried an
 * answer since, is still open: then the process that the address led to at
 * since_us is still the one there, as far as its host tells. In a callback the
 * answer that it reports doesn't count. */
bool http_client_has_open_since(const struct http_client *client,
                                int64_t since_us);

/** Bytes that the bodies of answers in progress hold. */
size_t http_client_body_bytes(const struct http_client *client);

/** Starts a call. It is queued while all connections are busy. */
struct http_call *http_call_start(struct http_client *client,
                                  const struct http_call_spec *spec);

/** Ends a call without a callback and closes its connection. */
void http_call_cancel(struct http_call *call);

/** True if a byte of the request has been handed to the kernel. */
bool http_call_is_sent(const struct http_call *call);

#endif
