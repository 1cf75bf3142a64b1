/**
 * @file
 * Announcements of departures that wait for their answer until the departure
 * is in the store: an acknowledged departure must hold for the next process of
 * this instance too.
 */
#ifndef CHESTNUTGAP_NODE_DEPARTUREACK_H
#define CHESTNUTGAP_NODE_DEPARTUREACK_H

#include <stdint.h>

struct counter_registry;
struct departureacks;
struct departures;
struct http_request;
struct runtime;

/** The departures must outlive it. Aborts if out of memory. */
struct departureacks *departureacks_create(struct runtime *runtime,
                                           const struct departures *departures,
                                           struct counter_registry *counters);

/** Leaves waiting requests to their server, which frees them. */
void departureacks_destroy(struct departureacks *acks);

/** Answers 200 once the departure is stored, or 503 if that takes so long that
 * the target no longer waits. started_ms 0: unknown. */
void departureacks_add(struct departureacks *acks,
                       struct http_request *request, const char *target,
                       int64_t started_ms);

/** Answers the requests whose departures have been stored. */
void departureacks_check(struct departureacks *acks);

/** Answers an announcement. */
void departureacks_reply(struct http_request *request, unsigned status);

#endif
