/**
 * @file
 * Decides how long what an instance knows of a table of the store may be
 * relied on. A revoked API key must not be accepted for longer than a bound
 * after the store acknowledged its removal, also on an instance that is
 * partitioned from the store or was paused.
 *
 * A successful read shows everything that the store acknowledged before the
 * read was begun. A read from another instance shows what that one knew, which
 * has an age. Nothing else makes knowledge newer, and nothing makes it older
 * than the best read so far.
 */
#ifndef CHESTNUTGAP_FLEET_FRESHNESS_H
#define CHESTNUTGAP_FLEET_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/** One whole read of a table. */
struct freshness_read {
    bool ok;          /**< it returned all changes */
    int64_t begun_us; /**< before anything was sent */
    int64_t ended_us;
    int64_t held_us; /**< by another instance, from the call to the answer */
    int64_t age_us;  /**< of its knowledge when it answered; 0: the store */
};

/** All zero: nothing is known. */
struct freshness {
    bool known;
    int64_t as_of_us; /**< everything acknowledged before is known */
};

void freshness_record(struct freshness *freshness,
                      const struct freshness_read *read);

/** Age of what is known, by this instance's clock; INT64_MAX: nothing is. */
int64_t freshness_age_us(const struct freshness *freshness, int64_t now_us);

/** Until when everything is known that was acknowledged bound_us earlier, by
 * any clock; INT64_MIN: never. */
int64_t freshness_until_us(const struct freshness *freshness,
                           int64_t bound_us);

#endif
