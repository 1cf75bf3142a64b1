/**
 * @file
 * Pseudo-random numbers. The same seed gives the same sequence.
 */
#ifndef CHESTNUTGAP_BASE_RANDOM_H
#define CHESTNUTGAP_BASE_RANDOM_H

#include <stdbool.h>
#include <stdint.h>

/** Generator state, initialized by random_seed(). */
struct random_state {
    uint64_t word;
};

void random_seed(struct random_state *state, uint64_t seed);

/** A seed from the operating system. */
uint64_t random_entropy(void);

uint64_t random_u64(struct random_state *state);

/** Uniform in [0, bound); bound must be positive. */
uint64_t random_below(struct random_state *state, uint64_t bound);

/** Uniform in [low, high], both included. */
int64_t random_range(struct random_state *state, int64_t low, int64_t high);

/** Uniform in [0, 1). */
double random_unit(struct random_state *state);

/** Exponentially distributed with the given mean. */
double random_exponential(struct random_state *state, double mean);

/** True with the given probability (0 to 1). */
bool random_chance(struct random_state *state, double probability);

#endif
