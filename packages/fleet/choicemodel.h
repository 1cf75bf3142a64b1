/**
 * @file
 * Simulation of instances that choose targets for requests without a key: a
 * few zones, each with an entry that knows only what its own requests told it,
 * and targets with slots and a queue. For tests and measurements.
 */
#ifndef CHESTNUTGAP_FLEET_CHOICEMODEL_H
#define CHESTNUTGAP_FLEET_CHOICEMODEL_H

#include <stdint.h>

#define CHOICEMODEL_ZONES 4
#define CHOICEMODEL_TARGETS 3 /* in each zone */
#define CHOICEMODEL_SLOTS 10  /* of each target */
#define CHOICEMODEL_WORK_US 100000
#define CHOICEMODEL_OBJECTIVE_US 300000

struct choicemodel_options {
    uint64_t seed;
    double requests_per_s[CHOICEMODEL_ZONES];
    /** Times that a target's work takes as long as usual; 0: it is lost. */
    double slowness[CHOICEMODEL_ZONES][CHOICEMODEL_TARGETS];
};

struct choicemodel_result {
    double in_objective; /**< share of the requests */
    double in_zone;      /**< share that stayed in their zone */
    double p99_ms;
};

/** All targets as usual, the same load in each zone: that part of its slots,
 * 0 to 1. */
void choicemodel_init(struct choicemodel_options *options, double load);

/** Runs for 30 s of simulated time; the first 5 s are not counted. */
void choicemodel_run(const struct choicemodel_options *options,
                     struct choicemodel_result *result);

#endif
