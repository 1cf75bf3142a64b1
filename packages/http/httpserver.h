/**
 * @file
 * HTTP/1.1 server over libevent with libevhtp's parser. Handles complete
 * requests; they may be answered later and in any order.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPSERVER_H
#define CHESTNUTGAP_HTTP_HTTPSERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"
#include "http/httpheaders.h"

struct counter_registry;
struct memory_budget;
struct runtime;

struct http_server;

/** A request that is not answered yet; freed by its answer. */
struct http_request;

/** Limits and handlers of a server. Zero selects the default. */
struct http_server_config {
    struct address address;     /**< port 0 picks a port */
    size_t body_max_bytes;      /**< above it 413. Default 16 MiB */
    size_t bodies_max_bytes;    /**< of all; above it 503. Default 256 MiB */
    unsigned connections_max;   /**< then accepting pauses. Default 4096 */
    unsigned pipeline_max;      /**< concurrent per connection. Default 1 */
    int64_t receive_timeout_us; /**< for a complete request. Default 60 s */
    int64_t send_timeout_us;    /**< without progress. Default 30 s */
    int64_t idle_timeout_us;    /**< between requests. Default 120 s */
    /** Bounds bodies and unread responses, and stops reading from callers that
     * don't read their responses. NULL: no bound. */
    struct memory_budget *memory;
    bool closes_idle; /**< closes an idle connection for a new one when full */
    /** Must be answered with http_request_reply() once, now or later. */
    void (*handle)(void *ctx, struct http_request *request);
    /** The caller disconnected. May be NULL. The request must still be
     * answered; the answer is discarded. */
    void (*cancelled)(void *ctx, struct http_request *request);
    void *ctx;
};

/** Adds its counters to the registry. NULL with err set on failure. */
struct http_server *http_server_create(struct runtime *runtime,
                                       const struct http_server_config *config,
                                       struct counter_registry *counters,
                                       struct error *err);

/** The bound address, with the actual port. */
const struct address *http_server_address(const struct http_server *server);

/**
 * Stops accepting; each connection closes after its outstanding answers.
 * Calls done (may be NULL) when the last connection has closed, but not
 * before this function returns.
 */
void http_server_stop(struct http_server *server, void (*done)(void *ctx),
                      void *ctx);

/** From now on a connection closes after an answer if no further request has
 * been read. New connections are still accepted. */
void http_server_retire(struct http_server *server);

/** True if no request is in progress and the kernel has all answers. */
bool http_server_is_flushed(const struct http_server *server);

/** Closes all connections at once and frees unanswered requests. */
void http_server_destroy(struct http_server *server);

/* Contents of a request, valid until it is answered. */

const char *http_request_method(const struct http_request *request);
const char *http_request_path(const struct http_request *request);

/** Query without "?"; NULL if there is none. */
const char *http_request_query(const struct http_request *request);
const struct http_headers *
http_request_headers(const struct http_request *request);

/** Value of the first field of that name, or NULL. */
const char *http_request_header(const struct http_request *request,
                                const char *name);
const void *http_request_body(const struct http_request *request,
                              size_t *size);
const struct address *http_request_peer(const struct http_request *request);

/** True if the caller sent the request after an answer on its connection, and
 * so after this process started. Holds for callers that don't send ahead. */
bool http_request_follows_answer(const struct http_request *request);

/** The handler's own data for this request. */
void http_request_set_data(struct http_request *request, void *data);
void *http_request_data(const struct http_request *request);

/** An answer, copied by http_request_reply(). */
struct http_reply {
    unsigned status;
    const struct http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_size;
};

/** Answers and frees the request. */
void http_request_reply(struct http_request *request,
                        const struct http_reply *reply);

struct http_problem;

/** Answers with a problem document and its outcome as a header, and frees
 * the request. retry_after_s 0: no Retry-After. */
void http_request_reply_problem(struct http_request *request,
                                const struct http_problem *problem,
                                unsigned retry_after_s);

#endif
