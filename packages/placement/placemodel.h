/**
 * @file
 * Simulates the members of one service with their placers, messages, store and
 * leases, with faults and in simulated time, for tests, soak runs and
 * benchmarks. Checks for each shard that at most one member serves it at any
 * time, that its epoch rises, that handovers are complete and, once the faults
 * end, that it is served again.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACEMODEL_H
#define CHESTNUTGAP_PLACEMENT_PLACEMODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "placement/placer.h"

/** Random faults. Shares are from 0 to 1, other values mean seconds between
 * faults; 0: none. */
struct placemodel_faults {
    double loss;         /**< share of messages that are lost */
    double lost_answers; /**< share of commits that apply but answer UNKNOWN */
    double late_writes;  /**< share of commits that apply after the answer
                              UNKNOWN */
    double store_down_every_s;
    double crash_every_s;
    double pause_every_s;
    double isolate_every_s;
    double zone_every_s;        /**< zones taken out */
    double restart_all_every_s; /**< restarts of all members */
    double leave_every_s;       /**< planned stops */
};

struct placemodel_options {
    unsigned members;
    unsigned zones;
    uint32_t shards;
    bool targets_check_grants;
    int64_t one_way_us;         /**< mean latency between members */
    int64_t store_us;           /**< mean duration of a store operation */
    int64_t longest_request_us; /**< maximum duration of a drain */
    int64_t drain_mean_us;      /**< mean duration of a drain */
    unsigned moves_per_second;
    double capacity;
    struct placemodel_faults faults;
    uint64_t seed;
    /** Omits copies of pages and rows that members need only under faults. For
     * large benchmarks. */
    bool reduced_messages;
    FILE *trace; /**< receives all events as text, or NULL */
};

/** Violations and totals of a run. */
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

/** Options of a run without faults, with Powys' latencies. */
struct placemodel_options placemodel_defaults(void);

/** NULL if out of memory. */
struct placemodel *placemodel_create(const struct placemodel_options *options);
void placemodel_destroy(struct placemodel *model);

/** Advances the simulated time by a duration. */
void placemodel_run(struct placemodel *model, int64_t duration_us);

int64_t placemodel_now_us(const struct placemodel *model);

/** Stops random faults and repairs the effects of earlier ones. */
void placemodel_heal(struct placemodel *model);

/** True if each shard is served by a member that is not leaving, in a zone
 * that is not taken out. */
bool placemodel_all_served(struct placemodel *model);

struct placemodel_result placemodel_result(const struct placemodel *model);

/** @name Explicit events */
/**@{*/
void placemodel_start(struct placemodel *model, unsigned member);
void placemodel_crash(struct placemodel *model, unsigned member);
void placemodel_leave(struct placemodel *model, unsigned member);
void placemodel_set_zone_out(struct placemodel *model, unsigned zone,
                             bool out);
void placemodel_set_store_down(struct placemodel *model, bool down);
void placemodel_set_faults(struct placemodel *model,
                           const struct placemodel_faults *faults);
/** Loses the answer of the next commit, which takes effect. */
void placemodel_lose_next_answer(struct placemodel *model);
/** Makes the next commit conflict with another write of its page. */
void placemodel_conflict_next_commit(struct placemodel *model);
void placemodel_set_load(struct placemodel *model, uint32_t shard,
                         double load);
/** Sets the hottest key of a shard, which may be split out. */
void placemodel_set_hot_key(struct placemodel *model, uint32_t shard,
                            uint64_t hash, double load);
/**@}*/

/** @name Observations */
/**@{*/
/** Index of the member that serves the shard, or -1. */
int placemodel_server_of(struct placemodel *model, uint32_t shard);
/** Number of shards that a member serves. */
unsigned placemodel_served_by(struct placemodel *model, unsigned member);
/** Load of the shards that a member serves. */
double placemodel_load_of(struct placemodel *model, unsigned member);
const struct placer *placemodel_placer(const struct placemodel *model,
                                       unsigned member);
/** Durations for which a shard was not served during planned moves. */
size_t placemodel_move_gaps(const struct placemodel *model,
                            const int64_t **gaps_us);
/** Total load of the shards in committed changes. */
double placemodel_load_moved(const struct placemodel *model);
int64_t placemodel_shards_moved(const struct placemodel *model);
/**@}*/

#endif
