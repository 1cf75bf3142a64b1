/**
 * @file
 * Picks key numbers from a Zipf distribution.
 */
#ifndef CHESTNUTGAP_STANDIN_LOADKEYS_H
#define CHESTNUTGAP_STANDIN_LOADKEYS_H

#include <stddef.h>

struct random_state;
struct load_keys;

/** Keys are 0 to count-1; key n has weight 1/(n+1)^exponent (exponent 0:
 * uniform). Aborts if out of memory. */
struct load_keys *load_keys_create(size_t count, double exponent);
void load_keys_destroy(struct load_keys *keys);

size_t load_keys_next(const struct load_keys *keys,
                      struct random_state *random);

#endif
