/**
 * @file
 * A caller's request as it is forwarded to a gate.
 */
#ifndef CHESTNUTGAP_DAEMON_ENTRYMESSAGE_H
#define CHESTNUTGAP_DAEMON_ENTRYMESSAGE_H

#include "entry/requestkey.h"
#include "http/httpserver.h"
#include "protocol/generated/forward.h"

/** The message with the storage that it points into, besides the caller's
 * request and its key. All-zero is empty. */
struct entrymessage {
    struct forward_request request;
    char *target; /**< path and query */
    struct http_headers passed;
};

/** Path and query as the caller sent them, to be freed. */
char *entrymessage_target(const struct http_request *http);

/** Fills the message. service, http and key must outlive it; target is
 * copied. */
void entrymessage_fill(struct entrymessage *message, const char *service,
                       const struct http_request *http,
                       const struct requestkey *key, const char *target);
void entrymessage_clear(struct entrymessage *message);

#endif
