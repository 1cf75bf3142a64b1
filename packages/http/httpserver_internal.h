/**
 * @file
 * Shared by the server (httpserver.c) and its connections
 * (httpconnection.c).
 */
#ifndef CHESTNUTGAP_HTTP_HTTPSERVER_INTERNAL_H
#define CHESTNUTGAP_HTTP_HTTPSERVER_INTERNAL_H

#include <sys/queue.h>

#include <event2/event.h>
#include <event2/util.h>

#include "base/counter.h"
#include "base/memorybudget.h"
#include "base/runtime.h"
#include "http/httpmessage.h"
#include "http/httpserver.h"

/* clang-format off */
#define HTTP_SERVER_COUNTERS(X)                                               \
    X(requests, "requests received completely")                               \
    X(answers, "requests answered")                                           \
    X(cancelled, "requests whose caller disconnected before the answer")      \
    X(refused, "requests rejected before they were handled")                  \
    X(body_bytes, "bytes of request bodies held now")                         \
    X(connections, "connections accepted")                                    \
    X(connections_open, "connections open now")                               \
    X(accept_pauses, "times that accepting stopped at the limit")             \
    X(accept_errors, "times that accepting a connection failed")              \
    X(receive_timeouts, "connections closed during a slow request")           \
    X(send_timeouts, "connections closed because the caller did not read")    \
    X(memory_closed, "connections closed because memory was short")           \
    X(memory_refused, "requests refused because memory was short")            \
    X(idle_closed, "idle connections closed for a new one")
/* clang-format on */

struct http_server_counters {
#define HTTP_COUNTER_FIELD(field, help) struct counter *field;
    HTTP_SERVER_COUNTERS(HTTP_COUNTER_FIELD)
#undef HTTP_COUNTER_FIELD
};

#define HTTP_SPARE_READERS_MAX 64

LIST_HEAD(http_connection_list, http_connection);
LIST_HEAD(http_request_list, http_request);
TAILQ_HEAD(http_pipeline, http_request);

struct http_server {
    struct runtime *runtime;
    struct http_server_config config;
    struct address address;
    struct evconnlistener *listener;
    struct http_connection_list connections;
    struct http_connection *check_next; /* of the timeout check's loop */
    struct http_request_list requests;  /* not freed yet */
    struct http_reader *spare_readers[HTTP_SPARE_READERS_MAX];
    size_t spare_reader_count;
    unsigned connection_count;
    size_t body_bytes; /* of all requests */
    bool stopping;
    bool retiring;                  /* see http_server_retire() */
    struct http_pipeline abandoned; /* to be reported as cancelled */
    void (*stopped)(void *ctx);
    void *stopped_ctx;
    struct event *stopped_event;
    struct timer timeout_check_timer;
    struct http_server_counters counters;
};

/** What a connection waits for. */
enum http_connection_state {
    HTTP_CONNECTION_READING,  /**< for a request */
    HTTP_CONNECTION_HANDLING, /**< for answers; reads no further request */
    HTTP_CONNECTION_CLOSING,  /**< for the last answer to be sent */
    HTTP_CONNECTION_LINGERING /**< for the caller to close */
};

struct http_connection {
    LIST_ENTRY(http_connection) link;
    struct http_server *server;
    struct bufferevent *bev;
    struct address peer;
    struct http_reader *reader; /* NULL unless a request is being read */
    enum http_connection_state state;
    bool feeding;   /* in connection_feed(), which must not nest */
    bool receiving; /* part of a request was read */
    bool continue_sent;
    bool closes_after_pipeline;    /* a request behind it was refused */
    bool answered;                 /* a request that had no other behind it */
    size_t body_bytes;             /* part of server->body_bytes */
    struct http_pipeline pipeline; /* answer not yet written, in order */
    unsigned pipeline_count;
    int64_t deadline_us;         /* of the state, 0: none */
    size_t backlog;              /* output bytes at the last check */
    struct memory_holder memory; /* see httpmemory.c */
    size_t answer_bytes;         /* of complete answers behind others */
    unsigned running;            /* requests without an answer */
    bool close_pending;          /* is closed at the next timeout check */
};

struct http_request {
    LIST_ENTRY(http_request) link;
    struct http_server *server;
    TAILQ_ENTRY(http_request) pipeline;
    struct http_connection *connection; /* NULL: caller disconnected */
    bool abandoned;                     /* linked in server->abandoned */
    bool follows_answer;                /* of the connection */
    struct evbuffer *answer;            /* waits for the answers before it */
    bool close;        /* connection closes after the answer */
    size_t body_bytes; /* part of server->body_bytes */
    struct memory_holder memory;
    struct http_reader *reader;
    const struct http_message *message;
    struct address peer;
    void *data;
};

void http_connection_accept(struct http_server *server, evutil_socket_t fd,
                            const struct address *peer);
void http_connection_free(struct http_connection *connection);

/** True between requests. */
bool http_connection_is_idle(const struct http_connection *connection);

/** Closes the connection if its deadline has passed without progress. */
void http_connection_check_timeout(struct http_connection *connection,
                                   int64_t now_us);

/** Closes the connection at once. Its unanswered requests are not reported as
 * cancelled. */
void http_connection_abort(struct http_connection *connection);

/** Closes an idle connection after a grace period for requests in transit. */
void http_connection_stop(struct http_connection *connection);

/** Writes the answer after those before it, then frees the request and
 * resumes reading. */
void http_connection_reply(struct http_request *request,
                           const struct http_reply *reply);

/* httpmemory.c. Without a budget these allow everything. */

/** Starts to account for a connection. */
void http_memory_begin(struct http_connection *connection);

/** Protects the connection from eviction while it is in use or has a request
 * that runs. */
void http_memory_protect(struct http_connection *connection);

/** Charges the connection for a body of which size bytes have arrived. @return
 * false if memory is short */
bool http_memory_charge_body(struct http_connection *connection, size_t size);

/** Moves the charge of the body just read to the request. @return false if
 * memory is short */
bool http_memory_charge_request(struct http_connection *connection,
                                struct http_request *request);

/** Charges the connection for an answer before it is copied. @return false if
 * memory is short */
bool http_memory_charge_answer(struct http_connection *connection,
                               size_t size);

/** True while the caller has so much left to read that no further request of
 * it is handled. */
bool http_memory_output_is_full(const struct http_connection *connection);

/** Adjusts the charge to what the connection holds now. */
void http_memory_update(struct http_connection *connection);

void http_memory_release(struct http_server *server,
                         struct memory_holder *holder);

/** Frees a request, answered or not. */
void http_request_free(struct http_request *request);

/** A reader for one connection; NULL if out of memory. Idle connections
 * have none, which saves most of their memory. */
struct http_reader *http_server_acquire_reader(struct http_server *server);

/** reader may be NULL. */
void http_server_release_reader(struct http_server *server,
                                struct http_reader *reader);

/** Called after a connection has been freed. */
void http_server_connection_closed(struct http_server *server);

#endif
