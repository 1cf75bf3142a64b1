/**
 * @file
 * Faults of a server that stand-ins and tests play.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPFAULT_H
#define CHESTNUTGAP_HTTP_HTTPFAULT_H

#include <stddef.h>

struct http_reply;
struct http_request;

/**
 * Sends the answer without its last lost bytes, closes the connection and
 * frees the request. Of a long answer only the beginning is sent.
 */
void http_request_reply_truncated(struct http_request *request,
                                  const struct http_reply *reply, size_t lost);

#endif
