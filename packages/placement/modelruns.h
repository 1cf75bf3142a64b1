/**
 * @file
 * Randomised runs of the placement model: faults of all kinds, then a quiet
 * time in which everything must become whole again.
 */
#ifndef CHESTNUTGAP_PLACEMENT_MODELRUNS_H
#define CHESTNUTGAP_PLACEMENT_MODELRUNS_H

#include "placement/model.h"

/** One run whose size, faults and course follow from the seed. */
struct model_result model_random_run(uint64_t seed, FILE *trace);

void model_result_add(struct model_result *total,
                      const struct model_result *result);

void model_result_print(const struct model_result *result, FILE *stream);

#endif
