/**
 * @file
 * Serializes HTTP/1.1 messages. Sets Content-Length and Connection itself;
 * such fields among the given headers, and Transfer-Encoding, are left out.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPWRITER_H
#define CHESTNUTGAP_HTTP_HTTPWRITER_H

#include <stdbool.h>
#include <stddef.h>

#include "http/httpheaders.h"

struct evbuffer;

/** An answer to write. */
struct http_answer {
    unsigned status;
    const struct http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_size;
    bool to_head;    /**< to HEAD: no body, Content-Length kept */
    bool close;      /**< send Connection: close */
    bool keep_alive; /**< send it explicitly, for HTTP/1.0 */
};

void http_write_answer(struct evbuffer *output,
                       const struct http_answer *answer);

/** A request to write. */
struct http_outgoing_request {
    const char *method;
    const char *target; /**< path and query */
    const char *host;   /**< used if the headers have no Host */
    const struct http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_size;
};

void http_write_request(struct evbuffer *output,
                        const struct http_outgoing_request *request);

#endif
