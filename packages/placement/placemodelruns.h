/**
 * @file
 * Randomised runs of the placement model: faults of all kinds, then a time
 * without faults, after which all shards must be served again.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACEMODELRUNS_H
#define CHESTNUTGAP_PLACEMENT_PLACEMODELRUNS_H

#include "placement/placemodel.h"

/** Runs the model with a size, faults and course derived from the seed. */
struct placemodel_result placemodel_random_run(uint64_t seed, FILE *trace);

void placemodel_result_add(struct placemodel_result *total,
                           const struct placemodel_result *result);

void placemodel_result_print(const struct placemodel_result *result,
                             FILE *stream);

#endif
