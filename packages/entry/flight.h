/**
 * @file
 * Single flight: identical idempotent reads that are under way at one entry
 * share one forward. Only GET requests with the same target, and the same
 * headers but for those that do not change the answer (see
 * flight_ignores()), are identical. Services opt in.
 */
#ifndef CHESTNUTGAP_ENTRY_FLIGHT_H
#define CHESTNUTGAP_ENTRY_FLIGHT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "protocol/generated/forward.h"

/** A request that shares, embedded in its owner. Fields are private. */
struct flight_member {
    LIST_ENTRY(flight_member) bucket_link; /* of a leader */
    TAILQ_ENTRY(flight_member) link;       /* of a follower */
    TAILQ_HEAD(, flight_member) followers;
    struct flight_member *leader; /* NULL for a leader */
    const struct forward_request *request;
    uint64_t hash;
    bool joined;
};

/** The reads that are under way at one entry. */
struct flight;

/** NULL without memory. */
struct flight *flight_create(void);
void flight_destroy(struct flight *flight);

/** Whether a header is left out when requests are compared. */
bool flight_ignores(const char *header_name);

/**
 * Joins a read. The request must stay valid until it leaves.
 *
 * @return true if it leads, so that it must be forwarded; false if the
 * answer of another one will be its own.
 */
bool flight_join(struct flight *flight, struct flight_member *member,
                 const struct forward_request *request);

/**
 * A leader has its answer: its followers, one after the other, NULL at the
 * end. Each is no longer joined. If the leader was not answered, forward
 * each of them by itself.
 */
struct flight_member *flight_next_follower(struct flight_member *leader);

/**
 * The request leaves, after its followers were taken or because its caller
 * has gone.
 *
 * @return the follower that must be forwarded in its place, or NULL.
 */
struct flight_member *flight_leave(struct flight *flight,
                                   struct flight_member *member);

#endif
