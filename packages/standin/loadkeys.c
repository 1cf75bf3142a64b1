#include "standin/loadkeys.h"

#include <math.h>
#include <stdlib.h>

#include "base/random.h"

struct load_keys {
    size_t count;
    double cumulated[]; /* weight of this key and those before it */
};

struct load_keys *
load_keys_create(size_t count, double exponent)
{
    struct load_keys *keys =
        malloc(sizeof(*keys) + count * sizeof(keys->cumulated[0]));
    if (keys == NULL) {
        abort();
    }
    keys->count = count;
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += pow((double)i + 1, -exponent);
        keys->cumulated[i] = sum;
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
        random_unit(random) * keys->cumulated[keys->count - 1];
    size_t low = 0;
    size_t high = keys->count - 1;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (keys->cumulated[middle] > point) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
