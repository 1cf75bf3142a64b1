/**
 * @file
 * Calls of the store's HTTP client and the connections that carry them.
 */
#ifndef CHESTNUTGAP_STORE_STORECALL_H
#define CHESTNUTGAP_STORE_STORECALL_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

#include <jansson.h>

#include "base/runtime.h"
#include "base/task.h"
#include "store/store.h"
#include "store/storehttp.h"

/** What a call does. */
enum call_kind {
    CALL_COMMIT,
    CALL_READ,
    CALL_SCAN,
    CALL_PUT_OBJECT,
    CALL_GET_OBJECT,
};

/** A kept-alive connection, which carries one call at a time. */
struct http_connection {
    TAILQ_ENTRY(http_connection) link;
    struct evhttp_connection *evcon;
    struct http_call *call; /* NULL while idle */
};

/** A call until its callback has run. */
struct http_call {
    TAILQ_ENTRY(http_call) link;
    struct store_http *http;
    enum call_kind kind;
    bool waiting; /* in the queue for a connection */
    bool done;
    struct http_connection *connection;
    struct timer timer;
    union {
        store_commit_cb commit;
        store_read_cb read;
        store_object_cb object;
    } callback;
    void *ctx;
    /* Request */
    char *path;
    char *body;
    size_t body_size;
    char *table;
    char *row;
    char *after;
    /* Answer */
    enum store_outcome outcome;
    json_t *document;
    char *data;
    size_t data_size;
};

TAILQ_HEAD(http_call_list, http_call);
TAILQ_HEAD(http_connection_list, http_connection);

/** The client. */
struct store_http {
    struct runtime *runtime;
    struct task *task;
    struct store_http_options options;
    struct http_call_list queue;
    struct http_call_list active; /* sent, or done and not yet answered */
    size_t queued;
    struct http_connection_list connections;
    unsigned connection_count;
    struct counter *calls;
    struct counter *unavailable;
    struct counter *unknown;
    struct counter *bytes_sent;
    struct counter *bytes_received;
};

/** A call in no list. path is then the call's; NULL fails the call. */
struct http_call *store_call_create(struct store_http *http,
                                    enum call_kind kind, char *path,
                                    void *ctx);

/** Queues the call, or fails it if it cannot be sent. */
void store_call_start(struct http_call *call);

/** Frees a call that is in no list. */
void store_call_destroy(struct http_call *call);

/** Closes all connections. Their calls get no outcome. */
void store_call_close_connections(struct store_http *http);

/** Handles the messages of the client's task. */
void store_call_on_message(void *ctx, struct message *message);

#endif
