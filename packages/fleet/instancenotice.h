/**
 * @file
 * What the replies of an instance tell of its target: the rate limit that it
 * has named, and that it leaves. Each is of one incarnation of the target.
 */
#ifndef CHESTNUTGAP_FLEET_INSTANCENOTICE_H
#define CHESTNUTGAP_FLEET_INSTANCENOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/keymap.h"

/** Initialise with zeros. */
struct instancenotice {
    bool limited;
    double per_s; /**< requests per second from all instances */
    char target[KEYMAP_NAME_MAX + 1];
    int64_t started_ms;
    int64_t ready_us; /**< when a request sent now is expected to start */

    char left_target[KEYMAP_NAME_MAX + 1]; /**< empty: none has left */
    int64_t left_started_ms;
    int64_t left_at_us; /**< when this became known */
};

/** An incarnation names a limit; a request that arrives there now is expected
 * to start after wait_us, at most RATELIMIT_INTERVAL_MAX_US. Values that are
 * out of range are ignored or limited: an instance may send anything. */
void instancenotice_set_limit(struct instancenotice *notice,
                              const char *target, int64_t started_ms,
                              double per_s, int64_t wait_us, int64_t now_us);
void instancenotice_clear_limit(struct instancenotice *notice);

/** Forgets the limit if it is of another incarnation than this one. */
void instancenotice_target_changed(struct instancenotice *notice,
                                   const char *target, int64_t started_ms);

/** A request was sent to the instance. */
void instancenotice_record_sent(struct instancenotice *notice, int64_t now_us);

/** Expected wait for the rate limit of a request sent now; 0 without one. */
int64_t instancenotice_wait_us(const struct instancenotice *notice,
                               int64_t now_us);

/** An incarnation leaves. */
void instancenotice_record_departure(struct instancenotice *notice,
                                     const char *target, int64_t started_ms,
                                     int64_t now_us);

/** True if that incarnation leaves. */
bool instancenotice_has_left(const struct instancenotice *notice,
                             const char *target, int64_t started_ms);

#endif
