/**
 * @file
 * Simulation of members that gossip a configuration, on virtual time and with
 * lost datagrams. Used by tests and benchmarks.
 */
#ifndef CHESTNUTGAP_SPREAD_SPREADMODEL_H
#define CHESTNUTGAP_SPREAD_SPREADMODEL_H

#include "spread/spread.h"

struct spreadmodel_options {
    unsigned members;
    unsigned zones; /**< in all regions together */
    unsigned regions;
    unsigned pollers_per_zone; /**< members that read the store each second */
    double loss_rate;          /**< of datagrams, 0 to 1 */
    enum spread_peer_policy policy;
    double bytes_per_second; /**< limit of a member */
    size_t document_bytes;   /**< size of the configuration */
    uint64_t seed;
};

/** Totals of all members since spreadmodel_reset_counts(); throttled: since
 * the start. */
struct spreadmodel_counts {
    int64_t bytes;              /**< sent, with headers */
    int64_t cross_zone_bytes;   /**< of these, between availability zones */
    int64_t cross_region_bytes; /**< of these, between regions */
    int64_t messages;
    int64_t throttled;
};

struct spreadmodel;

/** NULL if out of memory. */
struct spreadmodel *
spreadmodel_create(const struct spreadmodel_options *options);
void spreadmodel_destroy(struct spreadmodel *model);

void spreadmodel_run(struct spreadmodel *model, int64_t duration_us);

/** Accepts a revision in the store now. */
void spreadmodel_accept(struct spreadmodel *model, uint64_t revision);

/** Cuts a region off from the others, or reconnects it. Its members still
 * reach the store. */
void spreadmodel_partition_region(struct spreadmodel *model, unsigned region,
                                  bool partitioned);

/** Number of members that have the newest revision in force. */
unsigned spreadmodel_in_force_count(const struct spreadmodel *model);

/** Time from acceptance until all members had it in force; -1 if not yet. */
int64_t spreadmodel_convergence_us(const struct spreadmodel *model);

/** Number of members whose acknowledgement of the newest revision reached
 * this member. */
unsigned spreadmodel_acknowledged_count(const struct spreadmodel *model,
                                        unsigned member);

void spreadmodel_reset_counts(struct spreadmodel *model);
struct spreadmodel_counts spreadmodel_counts(const struct spreadmodel *model);
/** Bytes of the first member. */
size_t spreadmodel_memory(const struct spreadmodel *model);

#endif
