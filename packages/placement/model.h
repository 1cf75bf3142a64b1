/**
 * @file
 * A model of members of one service around the placement unit: messages,
 * store and leases with faults, on simulated time. Tests, soak runs and
 * measurements share it. It checks for each shard that at most one member
 * serves it at any time, that its epoch rises, that what is handed over is
 * complete, and, once the faults end, that each shard is served again.
 */
#ifndef CHESTNUTGAP_PLACEMENT_MODEL_H
#define CHESTNUTGAP_PLACEMENT_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "placement/placer.h"

/** Faults that occur at random, each with its own rate. */
struct model_faults {
    double loss;              /**< of messages, 0 to 1 */
    double lost_answers;      /**< of commits: done, but answered UNKNOWN */
    double late_writes;       /**< of commits: answered UNKNOWN, done later */
    double store_down_every;  /**< mean seconds between outages, 0: none */
    double crash_every;       /**< mean seconds between crashes, 0: none */
    double pause_every;       /**< mean seconds between pauses, 0: none */
    double isolate_every;     /**< mean seconds between cuts, 0: none */
    double zone_every;        /**< mean seconds between zones taken out */
    double restart_all_every; /**< mean seconds between restarts of all */
    double leave_every;       /**< mean seconds between planned stops */
    double split_every;       /**< mean seconds between hot keys */
};

struct model_options {
    unsigned members;
    unsigned zones;
    uint32_t shards;
    bool targets_check_grants;
    int64_t one_way_us;         /**< latency between members */
    int64_t store_us;           /**< of a store operation, to its answer */
    int64_t longest_request_us; /**< a drain takes up to this */
    int64_t drain_mean_us;      /**< mean duration of a drain */
    unsigned moves_per_second;
    double capacity;
    struct model_faults faults;
    uint64_t seed;
    FILE *trace; /**< session text, or NULL */
};

/** What a run found and counted. */
struct model_result {
    int64_t violations;
    char first_violation[160];
    int64_t checks;
    int64_t events;
    int64_t moves;
    int64_t moves_given_up;
    int64_t replaced;
    int64_t commits;
    int64_t conflicts;
    int64_t unknown;
    int64_t crashes;
    int64_t fences;
    int64_t zone_outs;
    int64_t restarts_of_all;
    int64_t splits;
};

struct model;

/** Options of an ordinary run without faults: Powys' latencies. */
struct model_options model_defaults(void);

/** NULL when memory is short. */
struct model *model_create(const struct model_options *options);
void model_destroy(struct model *model);

/** Runs the model for a duration. */
void model_run(struct model *model, int64_t duration_us);

int64_t model_now_us(const struct model *model);

/** Stops random faults and heals everything that is broken. */
void model_heal(struct model *model);

/** True if each shard is served by exactly one member in a zone that is in. */
bool model_is_whole(struct model *model);

struct model_result model_result(const struct model *model);

/** @name Events made by hand */
/**@{*/
void model_start(struct model *model, unsigned member);
void model_crash(struct model *model, unsigned member);
void model_leave(struct model *model, unsigned member);
void model_set_zone_out(struct model *model, unsigned zone, bool out);
void model_set_store_down(struct model *model, bool down);
void model_set_faults(struct model *model, const struct model_faults *faults);
/** The next commit is done, but its answer is lost. */
void model_lose_next_answer(struct model *model);
/** The next commit conflicts with another write of the same page. */
void model_conflict_next(struct model *model);
void model_set_load(struct model *model, uint32_t shard, double load);
/**@}*/

/** @name What can be seen */
/**@{*/
/** Member that serves the shard, or -1. */
int model_server_of(struct model *model, uint32_t shard);
/** Number of shards that a member serves. */
unsigned model_served_by(struct model *model, unsigned member);
/** Load of the shards that a member owns, from its own placer. */
double model_load_of(struct model *model, unsigned member);
const struct placer *model_placer(const struct model *model, unsigned member);
/** Durations for which a shard was not served during planned moves. */
size_t model_gaps(const struct model *model, const int64_t **gaps_us);
/** Load moved so far. */
double model_load_moved(const struct model *model);
int64_t model_shards_moved(const struct model *model);
/**@}*/

#endif
