/**
 * @file
 * Single coalescer: identical idempotent reads that are under way at one entry
 * share one forward. Only GET requests with the same target, and the same
 * headers but for those that do not change the answer (see
 * coalescer_ignores_header()), are identical. Services opt in.
 */
#ifndef CHESTNUTGAP_ENTRY_COALESCER_H
#define CHESTNUTGAP_ENTRY_COALESCER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "protocol/generated/forward.h"

/** A request that shares, embedded in its owner. Fields are private. */
struct coalescer_read {
    LIST_ENTRY(coalescer_read) bucket_link; /* of a leader */
    TAILQ_ENTRY(coalescer_read) link;       /* of a follower */
    TAILQ_HEAD(, coalescer_read) followers;
    struct coalescer_read *leader; /* NULL for a leader */
    const struct forward_request *request;
    uint64_t hash;
    bool joined;
};

/** The reads that are under way at one entry. */
struct coalescer;

/** NULL without memory. */
struct coalescer *coalescer_create(void);
void coalescer_destroy(struct coalescer *coalescer);

/** Whether a header is left out when requests are compared. */
bool coalescer_ignores_header(const char *header_name);

/**
 * Joins a read. The request must stay valid until it leaves.
 *
 * @return true if it leads, so that it must be forwarded; false if the
 * answer of another one will be its own.
 */
bool coalescer_join(struct coalescer *coalescer, struct coalescer_read *read,
                    const struct forward_request *request);

/**
 * A leader has its answer: its followers, one after the other, NULL at the
 * end. Each is no longer joined. If the leader was not answered, forward
 * each of them by itself.
 */
struct coalescer_read *coalescer_next_follower(struct coalescer_read *leader);

/**
 * The request leaves, after its followers were taken or because its caller
 * has gone.
 *
 * @return the follower that must be forwarded in its place, or NULL.
 */
struct coalescer_read *coalescer_leave(struct coalescer *coalescer,
                                       struct coalescer_read *read);

#endif
