/**
 * @file
 * How many keys each target of a service should own, relative to the others:
 * by its speed, and by its rate limit if that allows less.
 */
#ifndef CHESTNUTGAP_FLEET_KEYWEIGHT_H
#define CHESTNUTGAP_FLEET_KEYWEIGHT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/keyplan.h"

/** What is known of a target. */
struct keyweight_target {
    int64_t service_us; /**< smoothed service time; 0: unknown */
    double limit_per_s; /**< requests per second, if limited */
    unsigned slots;
    bool cold;
    bool leaving; /**< or its zone is out: it must release all keys */
    bool limited;
};

/** Sets the fields of targets that follow holder. A limited target keeps the
 * share of its limit, and gets more keys only if all are limited. */
void keyweight_compute(const struct keyweight_target *known, size_t count,
                       struct keyplan_target *targets);

#endif
