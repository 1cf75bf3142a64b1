/**
 * @file
 * The right of an instance to let its target hold keys, until a time. It is
 * a row of the store that the holder rewrites; who wants to take its keys
 * must have seen the row unchanged for the whole lease, and deletes it.
 *
 * While the store cannot be reached, the lease is also good as long as all
 * instances that could take the keys promise not to.
 */
#ifndef CHESTNUTGAP_FLEET_KEYLEASE_H
#define CHESTNUTGAP_FLEET_KEYLEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/runtime.h"

#define KEYLEASE_DURATION_US (4 * US_PER_SECOND)
#define KEYLEASE_RENEW_INTERVAL_US (1250 * US_PER_MS)
#define KEYLEASE_RETRY_DELAY_US (300 * US_PER_MS)
/** How long the row is watched before its holder counts as gone: the lease,
 * 2 % for clocks of different speed, and what a timer may be late. */
#define KEYLEASE_TAKEOVER_US (KEYLEASE_DURATION_US + 180 * US_PER_MS)
#define KEYLEASE_PROMISE_US (2 * US_PER_SECOND)
/** Longest time that promises stand in for the store. */
#define KEYLEASE_PROMISED_MAX_US (30 * US_PER_SECOND)

/** What is known of one's own lease. All-zero: none. */
struct keylease {
    bool held;                 /**< the row is this process's */
    uint64_t version;          /**< of the row as last known; 0: no row */
    uint64_t acquired_version; /**< of the store when it was acquired */
    int64_t stored_until_us;
    int64_t promised_until_us;
    int64_t renew_us; /**< next renewal */
};

/** End of the right. */
int64_t keylease_until_us(const struct keylease *lease);

/** A write that was begun at begun_us took effect. store_version: of the
 * store then. @return true if the lease is new, so that ownership must be
 * read again before it is used */
bool keylease_record_write(struct keylease *lease, int64_t begun_us,
                           uint64_t row_version, uint64_t store_version);

/** Someone else wrote the row, or it was deleted: the keys may be gone. */
void keylease_record_loss(struct keylease *lease, uint64_t row_version);

/** A write had no effect, or nobody knows. */
void keylease_record_write_failure(struct keylease *lease, int64_t now_us);

/** All others promised, in calls that were begun at begun_us. A lease that
 * has ended by then needs the store again. */
void keylease_record_promises(struct keylease *lease, int64_t begun_us);

#endif
