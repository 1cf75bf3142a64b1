/**
 * @file
 * What the pool (httpclient.c), its calls (httpcall.c) and its connections
 * (httpclientconnection.c) share.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPCLIENT_INTERNAL_H
#define CHESTNUTGAP_HTTP_HTTPCLIENT_INTERNAL_H

#include <sys/queue.h>

#include <event2/event.h>

#include "base/counter.h"
#include "base/runtime.h"
#include "http/httpclient.h"
#include "http/httpmessage.h"

/* clang-format off */
#define HTTP_CLIENT_COUNTERS(X)                                               \
    X(calls, "requests made")                                                 \
    X(answered, "requests answered whole")                                    \
    X(not_sent, "requests of which no byte was sent")                         \
    X(refused, "requests whose connection was refused")                       \
    X(timed_out, "requests without an answer by the deadline")                \
    X(cut, "requests whose connection ended before the answer was whole")     \
    X(malformed, "requests whose answer was not understood")                  \
    X(cancelled, "requests that were cancelled")                              \
    X(connects, "connections opened")                                         \
    X(abandoned, "connections closed since their request was abandoned")      \
    X(unexpected_bytes, "connections closed since bytes came unasked")        \
    X(stray_answers, "answers dropped since they belong to no request")
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
    struct http_call_queue failed;  /* to end in the next iteration */
    struct http_client_connection_list idle;
    struct http_client_connection_list busy;
    unsigned connection_count;
    struct event *failed_event;
    struct timer sweep_timer;
    struct http_client_counters counters;
};

struct http_client_connection {
    LIST_ENTRY(http_client_connection) link;
    struct http_client *client;
    struct bufferevent *bev;
    struct http_reader *reader;
    struct http_call *call; /* NULL while idle */
    bool connected;
    bool stray_answer; /* an answer was not its call's: not to be reused */
    int64_t connect_deadline_us;
    int64_t idle_since_us;
    int64_t idle_max_us; /* as the peer said, 0: nothing said */
};

struct http_call {
    TAILQ_ENTRY(http_call) link;
    struct http_call_queue *queue; /* that link is in, or NULL */
    struct http_client *client;
    struct http_client_connection *connection; /* NULL while waiting */
    struct evbuffer *message; /* while it is not on a connection */
    size_t message_size;
    bool to_head;
    enum http_outcome end_with; /* while in the queue of failed calls */
    struct timer deadline;
    http_may_send_cb may_send;
    http_answer_match_cb belongs;
    http_done_cb done;
    void *ctx;
};

/* httpcall.c */

/** Ends a call that has no connection any more. */
void http_call_end(struct http_call *call, const struct http_result *result);
void http_call_end_without_answer(struct http_call *call,
                                  enum http_outcome outcome);

/** Frees a call that has no connection, without a callback. */
void http_call_free(struct http_call *call);

/** Ends the call in the next iteration of the loop. */
void http_call_fail_later(struct http_call *call, enum http_outcome outcome);
void http_call_on_failed(evutil_socket_t fd, short what, void *ctx);

/* httpclientconnection.c */

/** NULL if no connection can be had. It is among the busy ones. */
struct http_client_connection *
http_client_connection_open(struct http_client *client);

/** Sends the call, once connected and unless its owner holds it back. */
void http_client_connection_send(struct http_client_connection *connection,
                                 struct http_call *call);
void http_client_connection_close(struct http_client_connection *connection);

/** Closes the connection and ends its call. */
void http_client_connection_fail(struct http_client_connection *connection,
                                 enum http_outcome outcome);

/* httpclient.c */

/** Gives connections to the calls that wait. */
void http_client_assign_connections(struct http_client *client);

#endif
