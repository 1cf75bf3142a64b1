/**
 * @file
 * Replies of the gate to the entry, and their encoding for the duplicate
 * table.
 */
#ifndef CHESTNUTGAP_DAEMON_GATEREPLY_H
#define CHESTNUTGAP_DAEMON_GATEREPLY_H

#include <stdbool.h>
#include <stddef.h>

#include "protocol/generated/forward.h"
#include "target/target.h"

/** A target's answer as a reply, with the memory that it points to. */
struct gatereply {
    struct forward_reply reply;
    struct http_headers passed;
    struct forward_header *headers;
};

/** Fills reply from a complete answer, which must outlive it. */
void gatereply_fill(struct gatereply *reply, const char *method,
                    const struct target_result *result);
void gatereply_clear(struct gatereply *reply);

/** Encodes as XDR. @return memory to free(), NULL if it is too large */
void *gatereply_encode(struct forward_reply *reply, size_t *size);

/** Free the content with xdr_free(). @return false if data is malformed */
bool gatereply_decode(struct forward_reply *reply, const void *data,
                      size_t size);

/** A deep copy of a request; free it with gatereply_request_free(). */
struct forward_request *
gatereply_request_copy(const struct forward_request *request);
void gatereply_request_free(struct forward_request *request);

#endif
