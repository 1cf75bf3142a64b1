/**
 * @file
 * A model of members that spread a configuration among each other, on
 * simulated time, with lost datagrams. Tests and measurements share it.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREADMODEL_H
#define CHESTNUTGAP_SPREAD_SPREADMODEL_H

#include "spread/spread.h"

struct spreadmodel_options {
    unsigned members;
    unsigned zones; /**< in all regions together */
    unsigned regions;
    unsigned pollers; /**< members of a zone that read the store each second */
    double loss;      /**< of datagrams, 0 to 1 */
    enum spread_peer_policy choice;
    double bytes_per_second; /**< budget of a member */
    size_t document_size;    /**< bytes of a revision's document */
    uint64_t seed;
};

/** What was measured since the last call of spreadmodel_reset_counts(). */
struct spreadmodel_counts {
    int64_t bytes;        /**< sent by all, with headers */
    int64_t zone_bytes;   /**< of these, across availability zones */
    int64_t region_bytes; /**< of these, across regions */
    int64_t messages;
    int64_t throttled;
};

struct spreadmodel;

/** NULL when memory is short. */
struct spreadmodel *
spreadmodel_create(const struct spreadmodel_options *options);
void spreadmodel_destroy(struct spreadmodel *model);

void spreadmodel_run(struct spreadmodel *model, int64_t duration_us);

/** A revision is accepted in the store now. */
void spreadmodel_accept(struct spreadmodel *model, uint64_t revision);

/** Cuts a region off from the others, or heals it. The store stays. */
void spreadmodel_partition_region(struct spreadmodel *model, unsigned region,
                                  bool cut);

/** Members that have the newest revision. */
unsigned spreadmodel_in_force_count(const struct spreadmodel *model);

/** Time from acceptance until all had it, -1 if not yet. */
int64_t spreadmodel_convergence_us(const struct spreadmodel *model);

/** Members of which a member knows that they have the newest revision. */
unsigned spreadmodel_acknowledged_count(const struct spreadmodel *model,
                                        unsigned member);

void spreadmodel_reset_counts(struct spreadmodel *model);
struct spreadmodel_counts spreadmodel_counts(const struct spreadmodel *model);
size_t spreadmodel_memory(const struct spreadmodel *model);

#endif
