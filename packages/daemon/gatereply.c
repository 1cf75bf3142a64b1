#include "daemon/gatereply.h"

#include <stdlib.h>
#include <string.h>

#include "http/httpheaders.h"

#define STATUS_NOT_MODIFIED 304

void
gatereply_fill(struct gatereply *reply, const char *method,
               const struct target_result *result)
{
    const bool no_body =
        strcmp(method, "HEAD") == 0 || result->status == STATUS_NOT_MODIFIED;
    memset(reply, 0, sizeof(*reply));
    http_headers_forward(&reply->passed, result->headers,
                         no_body ? HTTP_FORWARD_ANSWER_NO_BODY
                                 : HTTP_FORWARD_ANSWER);
    reply->headers =
        calloc(reply->passed.count + 1, sizeof(reply->headers[0]));
    if (reply->headers == NULL) {
        abort();
    }
    for (size_t i = 0; i < reply->passed.count; i++) {
        reply->headers[i].name = (char *)reply->passed.items[i].name;
        reply->headers[i].value = (char *)reply->passed.items[i].value;
    }
    struct forward_reply *message = &reply->reply;
    message->outcome = FORWARD_ANSWERED;
    message->owner = "";
    message->status = result->status;
    message->headers.headers_len = (u_int)reply->passed.count;
    message->headers.headers_val = reply->headers;
    message->body.body_len = (u_int)result->body_size;
    message->body.body_val = (char *)result->body;
}

void
gatereply_clear(struct gatereply *reply)
{
    http_headers_clear(&reply->passed);
    free(reply->headers);
}

static void *
encode(xdrproc_t encoder, void *value, size_t *size)
{
    const size_t needed = xdr_sizeof(encoder, value);
    if (needed == 0) {
        return NULL;
    }
    char *data = malloc(needed);
    if (data == NULL) {
        abort();
    }
    XDR xdrs;
    xdrmem_create(&xdrs, data, (u_int)needed, XDR_ENCODE);
    const bool ok = encoder(&xdrs, value);
    xdr_destroy(&xdrs);
    if (!ok) {
        free(data);
        return NULL;
    }
    *size = needed;
    return data;
}

static bool
decode(xdrproc_t decoder, void *value, const void *data, size_t size)
{
    XDR xdrs;
    xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
    const bool ok = decoder(&xdrs, value);
    xdr_destroy(&xdrs);
    if (!ok) {
        xdr_free(decoder, value);
    }
    return ok;
}

void *
gatereply_encode(struct forward_reply *reply, size_t *size)
{
    return encode((xdrproc_t)xdr_forward_reply, reply, size);
}

bool
gatereply_decode(struct forward_reply *reply, const void *data, size_t size)
{
    memset(reply, 0, sizeof(*reply));
    return decode((xdrproc_t)xdr_forward_reply, reply, data, size);
}

struct forward_request *
gatereply_request_copy(const struct forward_request *request)
{
    size_t size;
    void *data =
        encode((xdrproc_t)xdr_forward_request, (void *)request, &size);
    struct forward_request *copy = calloc(1, sizeof(*copy));
    if (data == NULL || copy == NULL ||
        !decode((xdrproc_t)xdr_forward_request, copy, data, size)) {
        abort();
    }
    free(data);
    return copy;
}

void
gatereply_request_free(struct forward_request *request)
{
    if (request == NULL) {
        return;
    }
    xdr_free((xdrproc_t)xdr_forward_request, (char *)request);
    free(request);
}
