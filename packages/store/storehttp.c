#include "store/storehttp.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "store/storecall.h"
#include "store/storecodec.h"

static void
http_commit(void *impl, const struct store_txn *txn, store_commit_cb callback,
            void *ctx)
{
    struct store_call *call = store_call_create(
        impl, CALL_COMMIT, memory_strdup(STORE_PATH_COMMIT), ctx);
    call->callback.commit = callback;
    json_t *document = store_txn_to_json(txn);
    if (document != NULL) {
        call->body = json_dumps(document, JSON_COMPACT);
        json_decref(document);
    }
    call->body_size = call->body != NULL ? strlen(call->body) : 0;
    store_call_start(call);
}

static void
http_read(void *impl, const char *table, const char *row,
          store_read_cb callback, void *ctx)
{
    struct store_call *call = store_call_create(
        impl, CALL_READ, store_codec_row_path(table, row), ctx);
    call->callback.read = callback;
    call->table = memory_strdup(table);
    call->row = memory_strdup(row);
    store_call_start(call);
}

static void
http_scan(void *impl, const struct store_scan *scan, store_read_cb callback,
          void *ctx)
{
    struct store_call *call =
        store_call_create(impl, CALL_SCAN, store_codec_rows_path(scan), ctx);
    call->callback.read = callback;
    call->table = memory_strdup(scan->table);
    call->after = memory_strdup(scan->after);
    store_call_start(call);
}

static void
http_put_object(void *impl, const char *name, const void *data, size_t size,
                store_commit_cb callback, void *ctx)
{
    struct store_call *call = store_call_create(
        impl, CALL_PUT_OBJECT, store_codec_object_path(name), ctx);
    call->callback.commit = callback;
    call->body = malloc(size + 1);
    if (call->body != NULL && size > 0) {
        memcpy(call->body, data, size);
    }
    call->body_size = size;
    store_call_start(call);
}

static void
http_get_object(void *impl, const char *name, store_object_cb callback,
                void *ctx)
{
    struct store_call *call = store_call_create(
        impl, CALL_GET_OBJECT, store_codec_object_path(name), ctx);
    call->callback.object = callback;
    store_call_start(call);
}

static const struct store_ops http_ops = {
    .commit = http_commit,
    .read = http_read,
    .scan = http_scan,
    .put_object = http_put_object,
    .get_object = http_get_object,
};

static void
add_counters(struct store_http *http, struct counter_registry *registry)
{
    http->calls = counter_add(registry, "store_calls", "calls to the store");
    http->unavailable = counter_add(registry, "store_calls_unavailable",
                                    "calls proved not to have been done");
    http->unknown = counter_add(registry, "store_calls_unknown",
                                "writes whose answer was lost");
    http->bytes_sent =
        counter_add(registry, "store_sent_bytes", "bytes sent to the store");
    http->bytes_received = counter_add(registry, "store_received_bytes",
                                       "bytes received from the store");
}

struct store_http *
store_http_create(struct runtime *runtime,
                  const struct store_http_options *options, struct error *err)
{
    struct store_http *http = calloc(1, sizeof(*http));
    if (http == NULL) {
        error_set(err, ERROR_NO_MEMORY, "store client");
        return NULL;
    }
    http->runtime = runtime;
    http->options = *options;
    if (http->options.timeout_us == 0) {
        http->options.timeout_us = STORE_HTTP_DEFAULT_TIMEOUT_US;
    }
    if (http->options.connections == 0) {
        http->options.connections = STORE_HTTP_DEFAULT_CONNECTIONS;
    }
    if (http->options.queue_max == 0) {
        http->options.queue_max = STORE_HTTP_DEFAULT_QUEUE_MAX;
    }
    TAILQ_INIT(&http->queue);
    TAILQ_INIT(&http->active);
    TAILQ_INIT(&http->connections);
    http->task = task_create(runtime, "store", store_call_on_message, http);
    if (http->task == NULL) {
        error_set(err, ERROR_NO_MEMORY, "store client");
        free(http);
        return NULL;
    }
    if (options->counters != NULL) {
        add_counters(http, options->counters);
    }
    return http;
}

static void
destroy_calls(struct store_call_list *calls)
{
    struct store_call *call;
    while ((call = TAILQ_FIRST(calls)) != NULL) {
        TAILQ_REMOVE(calls, call, link);
        store_call_destroy(call);
    }
}

void
store_http_destroy(struct store_http *http)
{
    if (http == NULL) {
        return;
    }
    store_call_close_connections(http);
    destroy_calls(&http->queue);
    destroy_calls(&http->active);
    task_destroy(http->task);
    free(http);
}

struct store
store_http_store(struct store_http *http)
{
    return (struct store){.ops = &http_ops, .impl = http};
}
