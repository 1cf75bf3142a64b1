/**
 * @file
 * Key hashing. The results do not depend on the machine.
 */
#ifndef CHESTNUTGAP_BASE_HASH_H
#define CHESTNUTGAP_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** XXH3 of a byte string with a seed. */
uint64_t hash_bytes(const void *data, size_t size, uint64_t seed);

/** XXH3 of a terminated string with seed 0. */
uint64_t hash_string(const char *text);

#endif
