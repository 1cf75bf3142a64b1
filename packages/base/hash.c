#include "base/hash.h"

#include <string.h>

#include <xxhash.h>

uint64_t
hash_bytes(const void *data, size_t size, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

uint64_t
hash_string(const char *text)
{
    return hash_bytes(text, strlen(text), 0);
}
