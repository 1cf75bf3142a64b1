/**
 * @file
 * Simulation of instances that choose targets for requests without a key: a
 * few zones, each with entries that know only what their own requests told
 * them, and targets with slots and a queue. The more entries share the
 * targets, the older is what each knows. For tests and measurements.
 */
#ifndef CHESTNUTGAP_FLEET_CHOICEMODEL_H
#define CHESTNUTGAP_FLEET_CHOICEMODEL_H

#include <stdbool.h>
#include <stdint.h>

#define CHOICEMODEL_ZONES 4
#define CHOICEMODEL_TARGETS 3 /* in each zone, unless set otherwise */
#define CHOICEMODEL_TARGETS_MAX 50
#define CHOICEMODEL_ENTRIES_MAX 50 /* in each zone */
#define CHOICEMODEL_SLOTS 10       /* of each target, unless set otherwise */
#define CHOICEMODEL_SLOTS_MAX 10
#define CHOICEMODEL_WORK_US 100000
#define CHOICEMODEL_OBJECTIVE_US 300000

struct choicemodel_options {
    uint64_t seed;
    unsigned targets; /**< in each zone */
    unsigned entries; /**< in each zone */
    unsigned slots;   /**< of each target */
    double requests_per_s[CHOICEMODEL_ZONES];
    /** Times that a target's work takes as long as usual; 0: it is lost. */
    double slowness[CHOICEMODEL_ZONES][CHOICEMODEL_TARGETS_MAX];
    /** Requests wait in one queue for all targets: the bound of any choice. */
    bool single_queue;
};

struct choicemodel_result {
    double in_objective; /**< share of the requests */
    double in_zone;      /**< share that stayed in their zone */
    double p99_ms;
    double wait_mean_ms; /**< in the queue of the target */
    double wait_p99_ms;
    /** Share of the instants, 100 ms apart, at which one target has all slots
     * busy and a queue while another has a third of its slots free. */
    double uneven;
    double queued_targets; /**< mean share of targets with a queue then */
};

/** All targets as usual, the same load in each zone: that part of its slots,
 * 0 to 1. */
void choicemodel_init(struct choicemodel_options *options, double load);

/** A fleet of that many targets and entries in each zone, whose targets have
 * speeds from 0.5 to 1.5, drawn from the seed; the load is the same part of
 * the speed of all targets together. */
void choicemodel_init_fleet(struct choicemodel_options *options, double load,
                            unsigned targets, unsigned slots, uint64_t seed);

/** Runs for 30 s of simulated time; the first 5 s are not counted. */
void choicemodel_run(const struct choicemodel_options *options,
                     struct choicemodel_result *result);

#endif
