/**
 * @file
 * A model of members of one service around the placement unit: messages,
 * store and leases with faults, on simulated time. Tests, soak runs and
 * measurements share it. It checks for each shard that at most one member
 * serves it at any time, that its epoch rises, that what is handed over is
 * complete, and, once the faults end, that each shard is served again.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACEMODEL_H
#define CHESTNUTGAP_PLACEMENT_PLACEMODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "placement/placer.h"

/** Faults that occur at random, each with its own rate. */
struct placemodel_faults {
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
};

struct placemodel_options {
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
    struct placemodel_faults faults;
    uint64_t seed;
    /** Leaves out what only matters under faults: copies of pages and rows to
     * members that do not need them. For large measurements. */
    bool reduced_messages;
    FILE *trace; /**< session text, or NULL */
};

/** What a run found and counted. */
struct placemodel_result {
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
    int64_t merges;
};

struct placemodel;

/** Options of an ordinary run without faults: Powys' latencies. */
struct placemodel_options placemodel_defaults(void);

/** NULL when memory is short. */
struct placemodel *placemodel_create(const struct placemodel_options *options);
void placemodel_destroy(struct placemodel *model);

/** Runs the model for a duration. */
void placemodel_run(struct placemodel *model, int64_t duration_us);

int64_t placemodel_now_us(const struct placemodel *model);

/** Stops random faults and heals everything that is broken. */
void placemodel_heal(struct placemodel *model);

/** True if each shard is served by exactly one member in a zone that is in. */
bool placemodel_all_served(struct placemodel *model);

struct placemodel_result placemodel_result(const struct placemodel *model);

/** @name Events made by hand */
/**@{*/
void placemodel_start(struct placemodel *model, unsigned member);
void placemodel_crash(struct placemodel *model, unsigned member);
void placemodel_leave(struct placemodel *model, unsigned member);
void placemodel_set_zone_out(struct placemodel *model, unsigned zone,
                             bool out);
void placemodel_set_store_down(struct placemodel *model, bool down);
void placemodel_set_faults(struct placemodel *model,
                           const struct placemodel_faults *faults);
/** The next commit is done, but its answer is lost. */
void placemodel_lose_next_answer(struct placemodel *model);
/** The next commit conflicts with another write of the same page. */
void placemodel_conflict_next_commit(struct placemodel *model);
void placemodel_set_load(struct placemodel *model, uint32_t shard,
                         double load);
/** Names the hottest key of a shard, which may be split out. */
void placemodel_set_hot_key(struct placemodel *model, uint32_t shard,
                            uint64_t hash, double load);
/**@}*/

/** @name What can be seen */
/**@{*/
/** Member that serves the shard, or -1. */
int placemodel_server_of(struct placemodel *model, uint32_t shard);
/** Number of shards that a member serves. */
unsigned placemodel_served_by(struct placemodel *model, unsigned member);
/** Load of the shards that a member owns, from its own placer. */
double placemodel_load_of(struct placemodel *model, unsigned member);
const struct placer *placemodel_placer(const struct placemodel *model,
                                       unsigned member);
/** Durations for which a shard was not served during planned moves. */
size_t placemodel_move_gaps(const struct placemodel *model,
                            const int64_t **gaps_us);
/** Load moved so far. */
double placemodel_load_moved(const struct placemodel *model);
int64_t placemodel_shards_moved(const struct placemodel *model);
/**@}*/

#endif
