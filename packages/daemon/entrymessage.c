#include "daemon/entrymessage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

char *
entrymessage_target(const struct http_request *http)
{
    const char *path = http_request_path(http);
    const char *query = http_request_query(http);
    char *target;
    const int length = query != NULL ? asprintf(&target, "%s?%s", path, query)
                                     : asprintf(&target, "%s", path);
    if (length < 0) {
        abort();
    }
    return target;
}

static void
fill_headers(struct entrymessage *message, const struct http_request *http)
{
    struct forward_request *request = &message->request;
    http_headers_forward(&message->passed, http_request_headers(http),
                         HTTP_FORWARD_REQUEST);
    const size_t count = message->passed.count;
    request->headers.headers_val =
        calloc(count + 1, sizeof(struct forward_header));
    if (request->headers.headers_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        request->headers.headers_val[i] = (struct forward_header){
            .name = (char *)message->passed.items[i].name,
            .value = (char *)message->passed.items[i].value,
        };
    }
    request->headers.headers_len = (u_int)count;
}

void
entrymessage_fill(struct entrymessage *message, const char *service,
                  const struct http_request *http,
                  const struct requestkey *key, const char *target)
{
    struct forward_request *request = &message->request;
    size_t body_size;
    const void *body = http_request_body(http, &body_size);
    message->target = strdup(target);
    if (message->target == NULL) {
        abort();
    }
    fill_headers(message, http);
    request->service = (char *)service;
    request->keyed = key->keyed;
    request->idempotent = key->idempotent;
    request->key = (char *)key->key;
    request->request_id = (char *)key->id;
    request->method = (char *)http_request_method(http);
    request->target = message->target;
    request->body.body_val = (char *)body;
    request->body.body_len = (u_int)body_size;
}

void
entrymessage_clear(struct entrymessage *message)
{
    http_headers_clear(&message->passed);
    free(message->request.headers.headers_val);
    free(message->target);
}
