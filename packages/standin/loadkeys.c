#include "standin/loadkeys.h"

#include <math.h>
#include <stdlib.h>

#include "base/random.h"

struct load_keys {
    size_t count;
    double cumulative_weights[]; /* including this key */
};

struct load_keys *
load_keys_create(size_t count, double exponent)
{
    struct load_keys *keys =
        malloc(sizeof(*keys) + count * sizeof(keys->cumulative_weights[0]));
    if (keys == NULL) {
        abort();
    }
    keys->count = count;
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += pow((double)i + 1, -exponent);
        keys->cumulative_weights[i] = sum;
    }
    return keys;
}

void
load_keys_destroy(struct load_keys *keys)
{
    free(keys);
}

size_t
load_keys_next(const struct load_keys *keys, struct random_state *random)
{
    const double point =
        random_unit(random) * keys->cumulative_weights[keys->count - 1];
    size_t low = 0;
    size_t high = keys->count - 1;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (keys->cumulative_weights[middle] > point) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
