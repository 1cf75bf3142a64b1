/**
 * @file
 * What a caller gets over HTTP: a target's answer, or a problem document
 * that says truthfully whether the request was run.
 */
#ifndef CHESTNUTGAP_DAEMON_ENTRYANSWER_H
#define CHESTNUTGAP_DAEMON_ENTRYANSWER_H

#include <stdint.h>

#include "base/error.h"
#include "http/httpserver.h"
#include "protocol/generated/forward.h"

#define ENTRY_REPLAYED_HEADER "Chestnutgap-Replayed"

/** Name of a reason in lower case with dashes: "not-owner". */
const char *entryanswer_reason_name(enum forward_reason reason);

/** "answered", "not-run" or "unknown". */
const char *entryanswer_outcome_name(enum forward_outcome outcome);

/** Passes on a target's answer and frees the request. */
void entryanswer_send(struct http_request *request,
                      const struct forward_reply *reply);

/** Tells that the request was not run, or that this is not known, and frees
 * the request. */
void entryanswer_refuse(struct http_request *request,
                        enum forward_outcome outcome,
                        enum forward_reason reason, uint32_t retry_after_ms);

/** Refuses a request that the caller made wrongly; it was not run. */
void entryanswer_invalid(struct http_request *request, unsigned status,
                         const struct error *err);

#endif
