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
#define RATELIMIT_RETURN_SPREAD_US INT64_C(1000000)

/** Initialise with zeros: without a limit. */
struct ratelimit {
    bool limited;
    int64_t interval_us; /**< between starts, on average */
    int64_t due_us;      /**< when the next start is due */
    int64_t demand_us;   /**< when all requests so far would have started */
    int64_t return_us;   /**< when the latest refused request may return */
};

/** Average time between starts at that rate, from 1 to
 * RATELIMIT_INTERVAL_MAX_US. */
int64_t ratelimit_interval_us(double per_s);

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

/** A request arrives, whether or not it will start. */
void ratelimit_record_demand(struct ratelimit *limit, int64_t now_us);

/** True if more requests arrive than the limit allows: those that arrived in
 * the last seconds would wait long if all of them were to start. */
bool ratelimit_is_saturated(const struct ratelimit *limit, int64_t now_us);

/** After how long a request that is refused now should return. A request that
 * arrives now would wait for wait_us; each one refused gets a later turn, up
 * to RATELIMIT_RETURN_SPREAD_US after that, so that they don't return
 * together.
 */
int64_t ratelimit_assign_return_us(struct ratelimit *limit, int64_t wait_us,
                                   int64_t now_us);

/** A request starts now, allowed or not. */
void ratelimit_record_start(struct ratelimit *limit, int64_t now_us);

#endif
