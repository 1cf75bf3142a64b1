/**
 * @file
 * Selects the instance for a request without a key: the one with the shortest
 * expected latency, in the caller's availability zone unless waiting there
 * would cost the request its latency objective. The wait for a target's rate
 * limit counts, so that each gets about the rate that it takes. Many instances
 * choose among the same targets with reports of different ages: an old report
 * loses weight against the mean of all, and nearly full targets are avoided
 * before they are full.
 */
#ifndef CHESTNUTGAP_FLEET_INSTANCECHOICE_H
#define CHESTNUTGAP_FLEET_INSTANCECHOICE_H

#include "base/random.h"
#include "fleet/instancetable.h"

#define INSTANCECHOICE_EXCLUDED_MAX 8

/** Criteria for the choice of an instance. */
struct instancechoice_criteria {
    const char *service;
    const char *zone;     /**< of the caller; preferred */
    int64_t objective_us; /**< for the latency of the request */
    /** True for a zone that operators have taken out of service. */
    bool (*zone_is_out)(void *ctx, const char *zone);
    void *ctx;
    const struct instancetable_instance *excluded[INSTANCECHOICE_EXCLUDED_MAX];
    size_t excluded_count;
    int64_t now_us;
};

/** The instance with the shortest expected latency, or NULL if none is
 * eligible. */
struct instancetable_instance *
instancechoice_pick(const struct instancetable *table,
                    const struct instancechoice_criteria *criteria,
                    struct random_state *random);

#endif
