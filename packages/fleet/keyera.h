/**
 * @file
 * When keys may be granted after the store returned from an older copy of
 * itself. Its key maps may then give keys to former owners, while the present
 * ones hold them under leases that the copy does not show.
 *
 * Owners that live write again which keys they hold, in one transaction with
 * their lease. Keys that nobody has claimed by the time that all leases of the
 * former era have ended belong to whom the map says: the era is settled. The
 * first serving instance of a service knows that first, since leases name it,
 * and records it in a row for all others.
 */
#ifndef CHESTNUTGAP_FLEET_KEYERA_H
#define CHESTNUTGAP_FLEET_KEYERA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/keylease.h"

/* Longest time for which a lease of the former era that names this instance
 * holds, with promises: this instance gives none in the new era. */
#define KEYERA_SETTLE_US (KEYLEASE_TAKEOVER_US + KEYLEASE_PROMISE_US)
/* The same for leases that may not name this instance. */
#define KEYERA_UNNAMED_SETTLE_US KEYLEASE_TAKEOVER_UNNAMED_US

/** What is known of the eras of the store. All zero: nothing. */
struct keyera {
    bool known;
    bool restored; /**< the store has returned since this process started */
    uint64_t era;
    int64_t seen_us;  /**< when this process learnt of it */
    uint64_t settled; /**< latest era that the store's row says is settled */
    int64_t promised_until_us; /**< end of the latest promise to an owner */
    int64_t former_until_us;   /**< of those given before this era was known */
};

/** An owner was promised that its keys are not taken before until_us. */
void keyera_promise(struct keyera *era, int64_t until_us);

/** The store's answer had a version. @return true if it has returned from a
 * copy since the version before */
bool keyera_observe(struct keyera *era, uint64_t version, int64_t now_us);

/** Reads the row of the latest settled era. False if it is not valid. */
bool keyera_parse_settled(struct keyera *era, const char *text, size_t size);

/** The row for the present era; the user frees it. */
char *keyera_print_settled(const struct keyera *era);

/** True if the row says that the present era is settled. */
bool keyera_is_recorded(const struct keyera *era);

/** True if no lease of a former era that names this instance can hold any
 * more.
 */
bool keyera_may_record(const struct keyera *era, int64_t now_us);

/** True if no lease of a former era can hold any more. */
bool keyera_is_settled(const struct keyera *era, int64_t now_us);

/** True if keys with that fence were assigned in the present era. */
bool keyera_is_present(const struct keyera *era, uint64_t fence);

#endif
