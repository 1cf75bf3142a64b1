/**
 * @file
 * Writing of whole HTTP/1.1 messages. Lengths and the connection's own
 * fields are set here; such fields among the given headers are left out.
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
    bool to_head;    /**< no body; a given Content-Length is kept */
    bool close;      /**< the connection closes after it */
    bool keep_alive; /**< say so, for HTTP/1.0 */
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
