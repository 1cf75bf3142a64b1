/**
 * @file
 * Limits starts to a rate that may change, as the generic cell rate algorithm
 * (ITU-T I.371): each start is due one interval after the one before, and may
 * come before that by a short burst.
 */
#ifndef CHESTNUTGAP_FLEET_RATELIMIT_H
#define CHESTNUTGAP_FLEET_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define RATELIMIT_INTERVAL_MAX_US INT64_C(10000000)

/** Initialise with zeros: without a limit. */
struct ratelimit {
    bool limited;
    int64_t interval_us; /**< between starts, on average */
    int64_t due_us;      /**< when the next start is due */
};

/** Limits starts to per_s a second. A limit that begins allows no burst at
 * first. Near zero, one start each RATELIMIT_INTERVAL_MAX_US remains: the
 * target's answer to it tells whether it still names the limit. */
void ratelimit_set(struct ratelimit *limit, double per_s, int64_t now_us);

void ratelimit_clear(struct ratelimit *limit);

/** Earliest time of the next start; INT64_MIN without a limit. */
int64_t ratelimit_ready_us(const struct ratelimit *limit);

/** Wait until that many starts and one more are possible. */
int64_t ratelimit_wait_us(const struct ratelimit *limit, unsigned ahead,
                          int64_t now_us);

/** True if starts are possible that no first attempt is likely to need: there
 * is no limit, or half of the burst is unused. */
bool ratelimit_has_reserve(const struct ratelimit *limit, int64_t now_us);

/** A request starts now, allowed or not. */
void ratelimit_record(struct ratelimit *limit, int64_t now_us);

#endif
