/**
 * @file
 * Answers callers over HTTP: with a target's answer, or with a problem
 * document that says whether the request was run.
 */
#ifndef CHESTNUTGAP_DAEMON_ENTRYANSWER_H
#define CHESTNUTGAP_DAEMON_ENTRYANSWER_H

#include <stdint.h>

#include "base/error.h"
#include "http/httpserver.h"
#include "protocol/generated/forward.h"

#define ENTRY_REPLAYED_HEADER "Chestnutgap-Replayed"

/** Name of a reason in lower case with dashes, as in "not-owner". */
const char *entryanswer_reason_name(enum forward_reason reason);

/** "answered", "not-run" or "unknown". */
const char *entryanswer_outcome_name(enum forward_outcome outcome);

/** Sends a target's answer and frees the request. */
void entryanswer_send(struct http_request *request,
                      const struct forward_reply *reply);

/** Answers that the request was not run or that its outcome is unknown, and
 * frees it. */
void entryanswer_refuse(struct http_request *request,
                        enum forward_outcome outcome,
                        enum forward_reason reason, uint32_t retry_after_ms);

/** Refuses an invalid request as not run, and frees it. */
void entryanswer_invalid(struct http_request *request, unsigned status,
                         const struct error *err);

#endif
