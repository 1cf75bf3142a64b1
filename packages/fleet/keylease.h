/**
 * @file
 * Lease under which an instance's target may hold keys. It is a row of the
 * store that the holder rewrites; an instance that takes over its keys must
 * have seen the row unchanged for the whole lease, and deletes it.
 *
 * While the store is unreachable, the lease also holds as long as all
 * instances that could take over the keys promise not to.
 */
#ifndef CHESTNUTGAP_FLEET_KEYLEASE_H
#define CHESTNUTGAP_FLEET_KEYLEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/runtime.h"

#define KEYLEASE_DURATION_US (4 * US_PER_SECOND)
#define KEYLEASE_RENEW_INTERVAL_US (1250 * US_PER_MS)
#define KEYLEASE_RETRY_DELAY_US (300 * US_PER_MS)
/** Time that the row must stay unchanged before a takeover: the lease, 2 % for
 * clock drift, and the delay of a timer. */
#define KEYLEASE_TAKEOVER_US (KEYLEASE_DURATION_US + 180 * US_PER_MS)
#define KEYLEASE_PROMISE_US (2 * US_PER_SECOND)
/** Longest time that promises replace the store. */
#define KEYLEASE_PROMISED_MAX_US (30 * US_PER_SECOND)
/** Time that the row must stay unchanged for an instance that it does not
 * name, as promises may extend the lease without it; 2 % for clock drift. */
#define KEYLEASE_TAKEOVER_UNNAMED_US                                          \
    (KEYLEASE_TAKEOVER_US + KEYLEASE_PROMISED_MAX_US * 102 / 100)

/** State of this instance's own lease. All zero: none. */
struct keylease {
    bool held;                 /**< the row was written by this process */
    uint64_t version;          /**< last known version of the row; 0: no row */
    uint64_t acquired_version; /**< version of the store at acquisition */
    int64_t stored_until_us;
    int64_t promised_until_us;
    int64_t renew_us; /**< time of the next renewal */
};

/** End of the lease; 0: not held. */
int64_t keylease_until_us(const struct keylease *lease);

/** A write that began at begun_us succeeded at store_version. @return true if
 * the lease is new: ownership must be read again before it is used */
bool keylease_record_write(struct keylease *lease, int64_t begun_us,
                           uint64_t row_version, uint64_t store_version);

/** Another process wrote or deleted the row: the keys may have a new owner. */
void keylease_record_loss(struct keylease *lease, uint64_t row_version);

/** A write failed or its outcome is unknown. */
void keylease_record_write_failure(struct keylease *lease, int64_t now_us);

/** All others promised in calls that began at begun_us. If the lease had ended
 * by then, it must be renewed in the store. */
void keylease_record_promises(struct keylease *lease, int64_t begun_us);

#endif
