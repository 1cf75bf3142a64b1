/**
 * @file
 * A caller's request as a message to a gate.
 */
#ifndef CHESTNUTGAP_DAEMON_ENTRYMESSAGE_H
#define CHESTNUTGAP_DAEMON_ENTRYMESSAGE_H

#include "entry/requestkey.h"
#include "http/httpserver.h"
#include "protocol/generated/forward.h"

/** The message with the memory that it points to, except for the caller's
 * request and its key. Zero is empty. */
struct entrymessage {
    struct forward_request request;
    char *target; /**< path and query */
    struct http_headers passed;
};

/** Path and query as the caller sent them; free() the result. */
char *entrymessage_target(const struct http_request *http);

/** service, http and key must outlive the message; target is copied. */
void entrymessage_fill(struct entrymessage *message, const char *service,
                       const struct http_request *http,
                       const struct requestkey *key, const char *target);
void entrymessage_clear(struct entrymessage *message);

#endif
