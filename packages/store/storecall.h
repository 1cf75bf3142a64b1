/**
 * @file
 * Calls and connections of the store's HTTP client.
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

enum store_call_kind {
    CALL_COMMIT,
    CALL_READ,
    CALL_SCAN,
    CALL_PUT_OBJECT,
    CALL_GET_OBJECT,
};

/** A persistent connection, which carries one call at a time. */
struct store_connection {
    TAILQ_ENTRY(store_connection) link;
    struct evhttp_connection *evcon;
    struct store_call *call; /* NULL if idle */
};

/** A call, from its start until after its callback. */
struct store_call {
    TAILQ_ENTRY(store_call) link;
    struct store_http *http;
    enum store_call_kind kind;
    bool queued; /* awaiting a connection */
    bool done;   /* has its outcome; the callback is scheduled */
    struct store_connection *connection;
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

TAILQ_HEAD(store_call_list, store_call);
TAILQ_HEAD(store_connection_list, store_connection);

struct store_http {
    struct runtime *runtime;
    struct task *task;
    struct store_http_options options;
    struct store_call_list queue;
    struct store_call_list active; /* sent, or awaiting the callback */
    size_t queue_length;
    struct store_connection_list connections;
    unsigned connection_count;
    struct counter *calls;
    struct counter *unavailable;
    struct counter *unknown;
    struct counter *bytes_sent;
    struct counter *bytes_received;
};

/** A call in no list. Takes ownership of path; NULL fails the call. */
struct store_call *store_call_create(struct store_http *http,
                                     enum store_call_kind kind, char *path,
                                     void *ctx);

/** Queues the call, or fails it if it can't be sent. */
void store_call_start(struct store_call *call);

/** Frees a call that is in no list. */
void store_call_destroy(struct store_call *call);

/** Closes all connections, without callbacks of their calls. */
void store_call_close_connections(struct store_http *http);

/** Message handler of the client's task. */
void store_call_on_message(void *ctx, struct message *message);

#endif
