/**
 * @file
 * Randomised runs of the placement model: faults of all kinds, then a quiet
 * time in which everything must become whole again.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PLACEMODELRUNS_H
#define CHESTNUTGAP_PLACEMENT_PLACEMODELRUNS_H

#include "placement/placemodel.h"

/** One run whose size, faults and course follow from the seed. */
struct placemodel_result placemodel_random_run(uint64_t seed, FILE *trace);

void placemodel_result_add(struct placemodel_result *total,
                           const struct placemodel_result *result);

void placemodel_result_print(const struct placemodel_result *result,
                             FILE *stream);

#endif
