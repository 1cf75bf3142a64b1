/**
 * @file
 * Simulation of instances that take tokens of one workspace's quota from two
 * granters, with delays and failures of instances and calls. For tests and
 * measurements.
 */
#ifndef CHESTNUTGAP_FLEET_QUOTAMODEL_H
#define CHESTNUTGAP_FLEET_QUOTAMODEL_H

#include <stdbool.h>
#include <stdint.h>

/** What happens each six seconds, from the fourth on; moves come twice a
 * second.
 */
enum quotamodel_fault {
    QUOTAMODEL_CALM,
    QUOTAMODEL_DIE,         /**< a granter dies; its key moves after 4 s */
    QUOTAMODEL_PAUSE,       /**< a granter stands still for 2 s */
    QUOTAMODEL_PARTITION,   /**< one is cut off from half of the instances and
                               the store; its key moves after 4 s */
    QUOTAMODEL_RESTART,     /**< an instance begins anew without tokens */
    QUOTAMODEL_MOVE,        /**< a granter's key moves at once */
    QUOTAMODEL_RATE,        /**< the rate changes; the largest one counts */
    QUOTAMODEL_ASKER_PAUSE, /**< asking instances stand still for 2 s */
    QUOTAMODEL_JOIN, /**< half of the instances get no requests, or all do */
    QUOTAMODEL_FAULT_COUNT,
};

struct quotamodel_options {
    uint64_t seed;
    unsigned instances;
    unsigned through; /**< instances that requests arrive at */
    double rate_per_s;
    double burst;
    double demand; /**< of the rate */
    enum quotamodel_fault fault;
};

struct quotamodel_result {
    double highest_window; /**< of the limit of a window, slack included */
    double served;         /**< of the requests */
    double refused_over;
    double refused_unknown;
    double calls_per_s;
};

/** Runs for 40 s of simulated time; the first 3 s are not counted. */
void quotamodel_run(const struct quotamodel_options *options,
                    struct quotamodel_result *result);

const char *quotamodel_fault_name(enum quotamodel_fault fault);

#endif
