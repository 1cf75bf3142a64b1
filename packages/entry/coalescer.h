/**
 * @file
 * Request coalescing (single flight): identical idempotent reads under way
 * at one entry share one forward. Identical are GET requests with the same
 * target and the same headers, apart from those that do not change the
 * answer (see coalescer_ignores_header()). Services opt in.
 */
#ifndef CHESTNUTGAP_ENTRY_COALESCER_H
#define CHESTNUTGAP_ENTRY_COALESCER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "protocol/generated/forward.h"

/** One read, embedded in the user's struct. Fields are private. */
struct coalescer_read {
    LIST_ENTRY(coalescer_read) bucket_link; /* if leader */
    TAILQ_ENTRY(coalescer_read) link;       /* if follower */
    TAILQ_HEAD(, coalescer_read) followers;
    struct coalescer_read *leader; /* NULL for a leader */
    const struct forward_request *request;
    uint64_t hash;
    bool joined;
};

/** The reads under way at one entry. */
struct coalescer;

/** NULL if out of memory. */
struct coalescer *coalescer_create(void);
void coalescer_destroy(struct coalescer *coalescer);

/** Whether a header is ignored when requests are compared. */
bool coalescer_ignores_header(const char *header_name);

/**
 * Adds a read. The request must stay valid until coalescer_leave().
 *
 * @return true if it leads and must be forwarded; false if it follows and
 * gets its leader's answer.
 */
bool coalescer_join(struct coalescer *coalescer, struct coalescer_read *read,
                    const struct forward_request *request);

/**
 * Removes and returns the next follower of a leader that has its answer;
 * NULL at the end. If the leader was not answered, forward each follower by
 * itself.
 */
struct coalescer_read *coalescer_next_follower(struct coalescer_read *leader);

/**
 * Removes a read, after its followers were removed or because its caller has
 * closed its connection.
 *
 * @return the follower that must be forwarded in its place, or NULL.
 */
struct coalescer_read *coalescer_leave(struct coalescer *coalescer,
                                       struct coalescer_read *read);

#endif
