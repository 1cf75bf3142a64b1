/**
 * @file
 * HTTP/1.1 server over libevent with libevhtp's parser: whole requests in,
 * whole answers out, in any order in time.
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
struct runtime;

struct http_server;

/** A request that is not answered yet. */
struct http_request;

/** Limits and handlers of a server. Zero means the default. */
struct http_server_config {
    struct address address; /**< port 0 picks a port */
    size_t body_max;        /**< bytes; larger get 413. Default 16 MiB */
    size_t bodies_max;      /**< bytes of all bodies held; then 503. 256 MiB */
    unsigned connections_max; /**< then accepting stops. Default 4096 */
    unsigned pipeline_max; /**< requests of a connection in work. Default 1 */
    int64_t receive_timeout_us; /**< for a whole request. Default 60 s */
    int64_t send_timeout_us;    /**< without progress. Default 30 s */
    int64_t idle_timeout_us;    /**< between requests. Default 120 s */
    /** Answer with http_request_reply() now or later, exactly once. */
    void (*handle)(void *ctx, struct http_request *request);
    /** The caller went away. May be NULL. The request must still be
     * answered; the answer goes nowhere. */
    void (*cancelled)(void *ctx, struct http_request *request);
    void *ctx;
};

/** Counters are added to the registry. NULL with err set on failure. */
struct http_server *http_server_create(struct runtime *runtime,
                                       const struct http_server_config *config,
                                       struct counter_registry *counters,
                                       struct error *err);

/** The address in use, with the real port. */
const struct address *http_server_address(const struct http_server *server);

/**
 * Stops accepting; connections close after the answers that are due. Calls
 * done (may be NULL) when the last connection has closed, not within this.
 */
void http_server_stop(struct http_server *server, void (*done)(void *ctx),
                      void *ctx);

/** From now on each connection closes after an answer behind which no further
 * request was read. New connections are still accepted. */
void http_server_retire(struct http_server *server);

/** True if no request is in work and all answers were handed to the kernel. */
bool http_server_is_flushed(const struct http_server *server);

/** Closes everything at once and frees requests that are not answered. */
void http_server_destroy(struct http_server *server);

/* What a request says. Strings are valid until the request is answered. */

const char *http_request_method(const struct http_request *request);
const char *http_request_path(const struct http_request *request);

/** Without "?"; NULL if there is none. */
const char *http_request_query(const struct http_request *request);
const struct http_headers *
http_request_headers(const struct http_request *request);

/** First value of that name, or NULL. */
const char *http_request_header(const struct http_request *request,
                                const char *name);
const void *http_request_body(const struct http_request *request,
                              size_t *size);
const struct address *http_request_peer(const struct http_request *request);

/** A place for the handler's own context. */
void http_request_set_data(struct http_request *request, void *data);
void *http_request_data(const struct http_request *request);

/** An answer; everything is copied. */
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

/** Answers with a problem document, and its outcome as a header.
 * retry_after_s: 0 for none. */
void http_request_reply_problem(struct http_request *request,
                                const struct http_problem *problem,
                                unsigned retry_after_s);

#endif
