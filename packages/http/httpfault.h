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
 * Sends at most the first size bytes of the answer, closes the connection
 * and frees the request. The rest is lost.
 */
void http_request_cut(struct http_request *request,
                      const struct http_reply *reply, size_t size);

#endif
