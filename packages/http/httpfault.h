/**
 * @file
 * Server faults that stand-ins and tests inject.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPFAULT_H
#define CHESTNUTGAP_HTTP_HTTPFAULT_H

#include <stddef.h>

struct http_reply;
struct http_request;

/**
 * Sends the answer without its last missing_bytes bytes, at most the first
 * 64 KiB, closes the connection and frees the request.
 */
void http_request_reply_truncated(struct http_request *request,
                                  const struct http_reply *reply,
                                  size_t missing_bytes);

/** Sends bytes ahead of the answer. */
void http_request_send_ahead(struct http_request *request, const void *data,
                             size_t size);

#endif
