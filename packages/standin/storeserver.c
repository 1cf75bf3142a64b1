#include "standin/storeserver.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "standin/faultsjson.h"
#include "store/storecodec.h"
#include "store/storetxn.h"

#define IDLE_TIMEOUT_S 600

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409,
    STATUS_UNAVAILABLE = 503,
    STATUS_FULL = 507,
};

struct store_server {
    struct evhttp *http;
    struct evhttp_bound_socket *socket;
    struct store_memory *memory;
    struct store store;
    size_t object_bytes; /* of all puts */
};

static void
reply_json(struct evhttp_request *request, int status, json_t *document)
{
    struct evbuffer *body = evbuffer_new();
    char *text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    if (body == NULL || text == NULL) {
        abort();
    }
    evbuffer_add(body, text, strlen(text));
    free(text);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    evhttp_send_reply(request, status, NULL, body);
    evbuffer_free(body);
}

/** Reports that a request was not executed. */
static void
reply_refused(struct evhttp_request *request, int status, const char *reason)
{
    reply_json(
        request, status,
        json_pack("{s:s, s:s}", "outcome", "unavailable", "error", reason));
}

/** Closes the connection without an answer: the outcome stays unknown. */
static void
drop_connection(struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection != NULL) {
        evhttp_connection_free(connection);
        return;
    }
    evhttp_request_free(request);
}

static void
on_commit(void *ctx, const struct store_commit_result *result)
{
    struct evhttp_request *request = ctx;
    static const int statuses[] = {
        [STORE_COMMITTED] = STATUS_OK,
        [STORE_CONFLICT] = STATUS_CONFLICT,
        [STORE_UNAVAILABLE] = STATUS_UNAVAILABLE,
    };
    if (result->outcome == STORE_UNKNOWN) {
        drop_connection(request);
        return;
    }
    reply_json(request, statuses[result->outcome],
               store_codec_commit_to_json(result));
}

static void
on_read(void *ctx, const struct store_read_result *result)
{
    struct evhttp_request *request = ctx;
    if (result->outcome != STORE_COMMITTED) {
        reply_refused(request, STATUS_UNAVAILABLE, "down");
        return;
    }
    reply_json(request, STATUS_OK, store_codec_rows_to_json(result));
}

static void
on_object(void *ctx, enum store_outcome outcome, const void *data, size_t size)
{
    struct evhttp_request *request = ctx;
    if (outcome != STORE_COMMITTED) {
        reply_refused(request, STATUS_UNAVAILABLE, "down");
        return;
    }
    if (data == NULL) {
        reply_json(request, STATUS_NOT_FOUND,
                   json_pack("{s:s}", "outcome", "absent"));
        return;
    }
    struct evbuffer *body = evbuffer_new();
    if (body == NULL) {
        abort();
    }
    evbuffer_add(body, data, size);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/octet-stream");
    evhttp_send_reply(request, STATUS_OK, NULL, body);
    evbuffer_free(body);
}

/** The request's body as JSON, or NULL. */
static json_t *
parse_body(struct evhttp_request *request)
{
    struct evbuffer *body = evhttp_request_get_input_buffer(request);
    const size_t size = evbuffer_get_length(body);
    const char *text = (const char *)evbuffer_pullup(body, -1);
    if (text == NULL) {
        return NULL;
    }
    return json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
}

static void
serve_commit(struct evhttp_request *request, void *ctx)
{
    struct store_server *server = ctx;
    struct error err = {.code = ERROR_NONE};
    if (evhttp_request_get_command(request) != EVHTTP_REQ_POST) {
        reply_refused(request, STATUS_BAD_REQUEST, "method");
        return;
    }
    json_t *document = parse_body(request);
    struct store_txn *txn =
        document != NULL ? store_txn_parse(document, &err) : NULL;
    if (txn == NULL) {
        reply_refused(request, STATUS_BAD_REQUEST, err.subject);
    }
    else if (store_tables_row_count(store_memory_tables(server->memory)) >=
             STORE_SERVER_ROWS_MAX) {
        reply_refused(request, STATUS_FULL, "rows");
    }
    else {
        store_commit(&server->store, txn, on_commit, request);
    }
    store_txn_destroy(txn);
    json_decref(document);
}

static bool
parse_number(const char *text, uint64_t *number)
{
    *number = 0;
    if (text == NULL) {
        return true;
    }
    char *end;
    errno = 0;
    *number = strtoull(text, &end, 10);
    return errno == 0 && end != text && *end == '\0' && text[0] != '-';
}

static bool
name_is_valid(const char *name)
{
    return name != NULL && store_name_valid(name);
}

/** Parses the query; on success, clear parameters with
 * evhttp_clear_headers(). On failure, the request has been answered. */
static bool
parse_query(struct evhttp_request *request, struct evkeyvalq *parameters)
{
    TAILQ_INIT(parameters);
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = uri != NULL ? evhttp_uri_get_query(uri) : NULL;
    if (evhttp_request_get_command(request) != EVHTTP_REQ_GET ||
        query == NULL || evhttp_parse_query_str(query, parameters) != 0) {
        evhttp_clear_headers(parameters);
        reply_refused(request, STATUS_BAD_REQUEST, "query");
        return false;
    }
    return true;
}

static void
serve_row(struct evhttp_request *request, void *ctx)
{
    struct store_server *server = ctx;
    struct evkeyvalq parameters;
    if (!parse_query(request, &parameters)) {
        return;
    }
    const char *table = evhttp_find_header(&parameters, "table");
    const char *row = evhttp_find_header(&parameters, "row");
    if (name_is_valid(table) && name_is_valid(row)) {
        store_read(&server->store, table, row, on_read, request);
    }
    else {
        reply_refused(request, STATUS_BAD_REQUEST, "table or row");
    }
    evhttp_clear_headers(&parameters);
}

static void
serve_rows(struct evhttp_request *request, void *ctx)
{
    struct store_server *server = ctx;
    struct evkeyvalq parameters;
    if (!parse_query(request, &parameters)) {
        return;
    }
    uint64_t limit;
    struct store_scan scan = {
        .table = evhttp_find_header(&parameters, "table"),
        .prefix = evhttp_find_header(&parameters, "prefix"),
        .after = evhttp_find_header(&parameters, "after"),
    };
    const bool numbers_are_valid =
        parse_number(evhttp_find_header(&parameters, "since"), &scan.since) &&
        parse_number(evhttp_find_header(&parameters, "limit"), &limit);
    if (name_is_valid(scan.table) && numbers_are_valid) {
        scan.limit = (size_t)limit;
        store_scan(&server->store, &scan, on_read, request);
    }
    else {
        reply_refused(request, STATUS_BAD_REQUEST, "table, since or limit");
    }
    evhttp_clear_headers(&parameters);
}

static void
put_object(struct store_server *server, struct evhttp_request *request,
           const char *name)
{
    struct evbuffer *body = evhttp_request_get_input_buffer(request);
    const size_t size = evbuffer_get_length(body);
    if (size > STORE_SERVER_OBJECT_BYTES_MAX - server->object_bytes) {
        reply_refused(request, STATUS_FULL, "objects");
        return;
    }
    server->object_bytes += size;
    store_put_object(&server->store, name, evbuffer_pullup(body, -1), size,
                     on_commit, request);
}

static void
serve_object(struct store_server *server, struct evhttp_request *request,
             const char *name)
{
    if (!name_is_valid(name)) {
        reply_refused(request, STATUS_BAD_REQUEST, "name");
        return;
    }
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
        store_get_object(&server->store, name, on_object, request);
        return;
    case EVHTTP_REQ_PUT:
        put_object(server, request, name);
        return;
    default:
        reply_refused(request, STATUS_BAD_REQUEST, "method");
        return;
    }
}

/** Serves object paths, which contain the object's name, and refuses unknown
 * paths. */
static void
serve_object_path(struct evhttp_request *request, void *ctx)
{
    struct store_server *server = ctx;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri != NULL ? evhttp_uri_get_path(uri) : "";
    const size_t prefix_length = strlen(STORE_PATH_OBJECTS);
    if (path == NULL ||
        strncmp(path, STORE_PATH_OBJECTS, prefix_length) != 0) {
        reply_refused(request, STATUS_NOT_FOUND, "path");
        return;
    }
    char *name = evhttp_uridecode(path + prefix_length, 0, NULL);
    serve_object(server, request, name);
    free(name);
}

static void
serve_faults(struct evhttp_request *request, void *ctx)
{
    struct store_server *server = ctx;
    struct document_problems problems = {.count = 0};
    if (evhttp_request_get_command(request) == EVHTTP_REQ_POST) {
        struct store_faults faults;
        json_t *document = parse_body(request);
        const bool valid = store_faults_parse(document, &faults, &problems);
        json_decref(document);
        if (!valid) {
            reply_refused(request, STATUS_BAD_REQUEST,
                          problems.problems[0].subject);
            return;
        }
        store_memory_set_faults(server->memory, &faults);
    }
    reply_json(request, STATUS_OK,
               store_faults_to_json(store_memory_faults(server->memory)));
}

static bool
server_listen(struct store_server *server, const struct address *listen)
{
    char text[ADDRESS_TEXT_SIZE];
    address_format(listen, text);
    *strrchr(text, ':') = '\0';
    server->socket = evhttp_bind_socket_with_handle(server->http, text,
                                                    address_port(listen));
    return server->socket != NULL;
}

struct store_server *
store_server_create(struct runtime *runtime, struct store_memory *memory,
                    const struct address *listen, struct error *err)
{
    struct store_server *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        error_set(err, ERROR_NO_MEMORY, "store server");
        return NULL;
    }
    server->memory = memory;
    server->store = store_memory_store(memory);
    server->http = evhttp_new(runtime_event_base(runtime));
    if (server->http == NULL || !server_listen(server, listen)) {
        char text[ADDRESS_TEXT_SIZE];
        error_set_system(err, "%s", address_format(listen, text));
        store_server_destroy(server);
        return NULL;
    }
    evhttp_set_max_body_size(server->http,
                             (ev_ssize_t)STORE_REQUEST_BYTES_MAX);
    evhttp_set_timeout(server->http, IDLE_TIMEOUT_S);
    evhttp_set_allowed_methods(server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                                 EVHTTP_REQ_PUT);
    evhttp_set_cb(server->http, STORE_PATH_COMMIT, serve_commit, server);
    evhttp_set_cb(server->http, STORE_PATH_ROW, serve_row, server);
    evhttp_set_cb(server->http, STORE_PATH_ROWS, serve_rows, server);
    evhttp_set_cb(server->http, STORE_SERVER_PATH_FAULTS, serve_faults,
                  server);
    evhttp_set_gencb(server->http, serve_object_path, server);
    return server;
}

void
store_server_destroy(struct store_server *server)
{
    if (server == NULL) {
        return;
    }
    if (server->http != NULL) {
        evhttp_free(server->http);
    }
    free(server);
}

uint16_t
store_server_port(const struct store_server *server)
{
    struct address address = {.length = sizeof(address.storage)};
    const evutil_socket_t fd = evhttp_bound_socket_get_fd(server->socket);
    if (getsockname(fd, (struct sockaddr *)&address.storage,
                    &address.length) != 0) {
        return 0;
    }
    return address_port(&address);
}
