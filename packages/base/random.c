#include "base/random.h"

#include <math.h>
#include <stdlib.h>
#include <sys/random.h>

void
random_seed(struct random_state *state, uint64_t seed)
{
    state->word = seed;
}

uint64_t
random_entropy(void)
{
    uint64_t seed;
    if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed)) {
        abort();
    }
    return seed;
}

uint64_t
random_u64(struct random_state *state)
{
    /* SplitMix64 */
    uint64_t z = (state->word += UINT64_C(0x9e3779b97f4a7c15));
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

uint64_t
random_below(struct random_state *state, uint64_t bound)
{
    return (uint64_t)(((unsigned __int128)random_u64(state) * bound) >> 64);
}

int64_t
random_range(struct random_state *state, int64_t low, int64_t high)
{
    return low + (int64_t)random_below(state, (uint64_t)(high - low) + 1);
}

double
random_unit(struct random_state *state)
{
    return (double)(random_u64(state) >> 11) * 0x1p-53;
}

double
random_exponential(struct random_state *state, double mean)
{
    return -mean * log1p(-random_unit(state));
}

bool
random_chance(struct random_state *state, double probability)
{
    return random_unit(state) < probability;
}
