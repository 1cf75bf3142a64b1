#include "ctl/ctldaemon.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "http/httpclient.h"

#define PARALLEL_MAX 64
#define ANSWER_TIMEOUT_US (2 * US_PER_SECOND)
#define ANSWER_SIZE_MAX ((size_t)16 << 20)

enum {
    STATUS_OK_FIRST = 200,
    STATUS_OK_LAST = 299,
};

/** A request in flight. */
struct daemon_exchange {
    struct exchange_batch *batch;
    struct daemon_query *query;
    struct http_client *client;
};

/** Progress of daemon_send_all(). */
struct exchange_batch {
    struct ctl *ctl;
    struct daemon_queries *queries;
    const struct daemon_request *request;
    struct daemon_exchange *exchanges; /* one for each query */
    size_t started;
    size_t finished;
    struct http_client *finished_client; /* to be destroyed */
};

enum ctl_exit
daemon_read_members(struct ctl *ctl, struct member **members, size_t *count)
{
    const struct ctl_scan scan = {.table = MEMBER_TABLE};
    struct ctl_rows rows;
    *members = NULL;
    *count = 0;
    enum ctl_exit code = ctl_scan(ctl, &scan, &rows);
    if (code != CTL_OK) {
        return code;
    }
    *members = memory_calloc(rows.count + 1, sizeof((*members)[0]));
    for (size_t i = 0; i < rows.count && code == CTL_OK; i++) {
        struct error err = {.code = ERROR_NONE};
        if (!member_from_json(rows.rows[i].value, rows.rows[i].version,
                              &(*members)[i], &err)) {
            error_wrap(&err, ERROR_STORE_ANSWER, "%s/%s", MEMBER_TABLE,
                       rows.rows[i].name);
            code = ctl_fail(ctl, CTL_FAILED, &err);
        }
    }
    *count = rows.count;
    ctl_rows_clear(&rows);
    if (code != CTL_OK) {
        free(*members);
        *members = NULL;
    }
    return code;
}

void
daemon_select_live(const struct member *members, size_t count,
                   struct daemon_queries *queries)
{
    queries->queries = memory_calloc(count + 1, sizeof(queries->queries[0]));
    queries->count = 0;
    for (size_t i = 0; i < count; i++) {
        if (!member_is_live(&members[i])) {
            continue;
        }
        struct daemon_query *query = &queries->queries[queries->count++];
        member_copy_name(query->name, members[i].self.instance);
        query->address = members[i].http;
    }
}

enum ctl_exit
daemon_select(struct ctl *ctl, struct daemon_queries *queries)
{
    *queries = (struct daemon_queries){.queries = NULL};
    if (ctl->options.has_daemon) {
        queries->queries = memory_calloc(1, sizeof(queries->queries[0]));
        queries->count = 1;
        address_format(&ctl->options.daemon, queries->queries[0].name);
        queries->queries[0].address = ctl->options.daemon;
        return CTL_OK;
    }
    enum ctl_exit code = ctl_require_store(ctl);
    if (code != CTL_OK) {
        return code;
    }
    struct member *members;
    size_t count;
    code = daemon_read_members(ctl, &members, &count);
    if (code == CTL_OK) {
        daemon_select_live(members, count, queries);
        free(members);
    }
    return code;
}

void
daemon_queries_clear(struct daemon_queries *queries)
{
    for (size_t i = 0; i < queries->count; i++) {
        json_decref(queries->queries[i].answer);
    }
    free(queries->queries);
    *queries = (struct daemon_queries){.queries = NULL};
}

static void start_next(struct exchange_batch *batch);

static void
on_answer(void *ctx, const struct http_result *result)
{
    struct daemon_exchange *exchange = ctx;
    struct exchange_batch *batch = exchange->batch;
    if (result->outcome == HTTP_ANSWERED &&
        result->status >= STATUS_OK_FIRST &&
        result->status <= STATUS_OK_LAST) {
        exchange->query->answer = json_loadb(result->body, result->body_size,
                                             JSON_REJECT_DUPLICATES, NULL);
    }
    /* A client must not be destroyed in its own callback. */
    http_client_destroy(batch->finished_client);
    batch->finished_client = exchange->client;
    batch->finished++;
    if (batch->started < batch->queries->count) {
        start_next(batch);
    }
    if (batch->finished == batch->queries->count) {
        runtime_stop(batch->ctl->runtime);
    }
}

static void
start_next(struct exchange_batch *batch)
{
    struct ctl *ctl = batch->ctl;
    const size_t index = batch->started++;
    struct daemon_exchange *exchange = &batch->exchanges[index];
    exchange->batch = batch;
    exchange->query = &batch->queries->queries[index];
    const struct http_client_config config = {
        .address = exchange->query->address,
        .connections_max = 1,
        .body_max_bytes = ANSWER_SIZE_MAX,
    };
    exchange->client =
        http_client_create(ctl->runtime, &config, ctl->counters);
    const char *body = batch->request->body;
    const struct http_header headers[] = {
        {"Content-Type", "application/json"},
    };
    const struct http_call_spec spec = {
        .method = batch->request->method,
        .target = batch->request->path,
        .headers = headers,
        .header_count = body != NULL ? 1 : 0,
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .deadline_us = runtime_now_us(ctl->runtime) + ANSWER_TIMEOUT_US,
        .done = on_answer,
        .ctx = exchange,
    };
    http_call_start(exchange->client, &spec);
}

void
daemon_send_all(struct ctl *ctl, struct daemon_queries *queries,
                const struct daemon_request *request)
{
    struct exchange_batch batch = {
        .ctl = ctl,
        .queries = queries,
        .request = request,
        .exchanges =
            memory_calloc(queries->count + 1, sizeof(struct daemon_exchange)),
    };
    for (size_t i = 0; i < queries->count; i++) {
        json_decref(queries->queries[i].answer);
        queries->queries[i].answer = NULL;
    }
    while (batch.started < queries->count && batch.started < PARALLEL_MAX) {
        start_next(&batch);
    }
    if (queries->count > 0) {
        runtime_run(ctl->runtime);
    }
    http_client_destroy(batch.finished_client);
    free(batch.exchanges);
}

void
daemon_get_all(struct ctl *ctl, struct daemon_queries *queries,
               const char *path)
{
    const struct daemon_request request = {.method = "GET", .path = path};
    daemon_send_all(ctl, queries, &request);
}
