#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/memory.h"
#include "node/ingress_internal.h"

/** Path and query as the caller sent them. */
static char *
request_target(const struct http_request *request)
{
    const char *path = http_request_path(request);
    const char *query = http_request_query(request);
    if (query == NULL) {
        return memory_strdup(path);
    }
    const size_t size = strlen(path) + strlen(query) + 2;
    char *target = memory_calloc(size, 1);
    snprintf(target, size, "%s?%s", path, query);
    return target;
}

/** Hash of the request's method, target, caller and body: equal for copies of
 * the same request. */
static uint64_t
fingerprint_of(const struct relay_request *message)
{
    uint64_t hash = hash_string(message->method);
    hash = hash_bytes(message->path, strlen(message->path), hash);
    hash = hash_bytes(message->caller, strlen(message->caller), hash);
    return hash_bytes(message->body.body_val, message->body.body_len, hash);
}

static void
fill_fields(const struct node *node, const struct http_request *request,
            struct relay_request *message)
{
    const struct http_headers *headers = http_request_headers(request);
    struct relay_field *fields =
        memory_calloc(headers->count + 1, sizeof(*fields));
    const bool has_workspaces = declared_requires_workspace(node->declared);
    u_int count = 0;
    for (size_t i = 0; i < headers->count; i++) {
        const struct http_header *header = &headers->items[i];
        if (http_header_is_end_to_end(headers, header->name) &&
            node->wire->forwards_header(header->name, has_workspaces)) {
            fields[count].name = (char *)header->name;
            fields[count].value = (char *)header->value;
            count++;
        }
    }
    message->fields.fields_val = fields;
    message->fields.fields_len = count;
}

void
ingressmessage_fill(struct ingress_call *call, const struct wire_request *read,
                    const struct declared_route *route,
                    const struct declared_workspace *workspace)
{
    struct node *node = call->ingress->node;
    struct relay_request *message = &call->message;
    size_t body_size;
    const void *body = http_request_body(call->http, &body_size);
    call->path = request_target(call->http);
    *message = (struct relay_request){
        .service = call->service,
        .caller = node->settings.service,
        .id = (char *)call->id,
        .keyed = message->keyed,
        .key = read->key,
        .idempotent = route->idempotent,
        .priority = workspace != NULL && workspace->has_priority
                        ? workspace->priority
                        : route->priority,
        .route = hash_string(route->prefix) ^ hash_string(route->host),
        .method = (char *)http_request_method(call->http),
        .path = call->path,
        .workspace = call->workspace,
        .body = {(u_int)body_size, (char *)body},
    };
    fill_fields(node, call->http, message);
    message->fingerprint = fingerprint_of(message);
}

void
ingressmessage_clear(struct ingress_call *call)
{
    free(call->path);
    free(call->message.fields.fields_val);
}
