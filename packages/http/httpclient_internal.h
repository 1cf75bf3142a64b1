/**
 * @file
 * Shared by the pool (httpclient.c), its calls (httpcall.c) and its
 * connections (httpclientconnection.c).
 */
#ifndef CHESTNUTGAP_HTTP_HTTPCLIENT_INTERNAL_H
#define CHESTNUTGAP_HTTP_HTTPCLIENT_INTERNAL_H

#include <sys/queue.h>

#include <event2/event.h>

#include "base/counter.h"
#include "base/memorybudget.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "http/httpmessage.h"

/* clang-format off */
#define HTTP_CLIENT_COUNTERS(X)                                               \
    X(calls, "requests made")                                                 \
    X(answered, "requests answered completely")                               \
    X(not_sent, "requests that failed before a byte was sent")                \
    X(refused, "requests whose connection was refused")                       \
    X(timed_out, "requests without an answer by the deadline")                \
    X(cut, "requests whose connection ended before the answer did")           \
    X(malformed, "requests whose answer was invalid or too large")            \
    X(cancelled, "requests that were cancelled")                              \
    X(connects, "connections opened")                                         \
    X(abandoned, "connections closed because of an abandoned request")        \
    X(unexpected_bytes, "connections closed because of unexpected bytes")     \
    X(stray_answers, "answers dropped that belong to no request")             \
    X(memory_cut, "requests whose answer was cut because memory was short")
/* clang-format on */

struct http_client_counters {
#define HTTP_COUNTER_FIELD(field, help) struct counter *field;
    HTTP_CLIENT_COUNTERS(HTTP_COUNTER_FIELD)
#undef HTTP_COUNTER_FIELD
};

TAILQ_HEAD(http_call_queue, http_call);
LIST_HEAD(http_client_connection_list, http_client_connection);

struct http_client {
    struct runtime *runtime;
    struct http_client_config config;
    char host[ADDRESS_TEXT_SIZE];
    struct http_call_queue waiting; /* for a connection */
    struct http_call_queue failed;  /* to end in the next loop iteration */
    struct http_client_connection_list idle;
    struct http_client_connection_list busy;
    struct http_client_connection_list unused; /* see stays_open */
    unsigned connection_count;
    size_t body_bytes; /* of the answers in progress */
    struct event *failed_event;
    struct timer timeout_check_timer;
    struct http_client_counters counters;
};

struct http_client_connection {
    LIST_ENTRY(http_client_connection) link;
    struct http_client *client;
    struct bufferevent *bev;
    struct http_reader *reader;
    struct http_call *call; /* NULL while idle */
    bool connected;
    bool answered;               /* a call before the present one */
    unsigned stray_answers;      /* to other calls: then it is not reused */
    size_t body_bytes;           /* counted in the client's */
    struct memory_holder memory; /* charged for the answer */
    int64_t connect_deadline_us;
    int64_t connected_us; /* once connected */
    int64_t idle_since_us;
    int64_t idle_max_us; /* from the peer's Keep-Alive, 0: none */
};

struct http_call {
    TAILQ_ENTRY(http_call) link;
    struct http_call_queue *queue; /* that contains link, or NULL */
    struct http_client *client;
    struct http_client_connection *connection; /* NULL while waiting */
    struct evbuffer *message;                  /* until it is sent */
    size_t message_size;
    bool is_head;
    bool needs_own_connection;
    bool stays_open;
    enum http_outcome failed_outcome; /* while in client->failed */
    struct timer deadline;
    http_may_send_cb may_send;
    http_answer_match_cb answer_matches;
    http_keep_cb keeps_connection;
    http_done_cb done;
    void *ctx;
};

/* httpcall.c */

/** Calls the callback and frees a call that has no connection any more. */
void http_call_end(struct http_call *call, const struct http_result *result);
void http_call_end_without_answer(struct http_call *call,
                                  enum http_outcome outcome);

/** Frees a call that has no connection, without a callback. */
void http_call_free(struct http_call *call);

/** Ends the call in the next iteration of the event loop. */
void http_call_fail_later(struct http_call *call, enum http_outcome outcome);
void http_call_on_failed(evutil_socket_t fd, short what, void *ctx);

/* httpclientconnection.c */

/** Starts a connection, in the busy list. NULL on failure. */
struct http_client_connection *
http_client_connection_open(struct http_client *client);

/** Sends the call once connected, if may_send allows it. */
void http_client_connection_send(struct http_client_connection *connection,
                                 struct http_call *call);
void http_client_connection_close(struct http_client_connection *connection);

/** Closes the connection and ends its call. */
void http_client_connection_fail(struct http_client_connection *connection,
                                 enum http_outcome outcome);

/** True unless the peer has closed the connection, be it unnoticed so far. */
bool http_client_connection_is_open(
    const struct http_client_connection *connection);

/* httpclient.c */

/** Number of connections that count towards the limit: all but the unused. */
unsigned http_client_limited_count(const struct http_client *client);

/** Assigns connections to the waiting calls. */
void http_client_assign_connections(struct http_client *client);

#endif
