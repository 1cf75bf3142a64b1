/**
 * @file
 * Allocation for code that can't go on without memory: these functions
 * abort the program instead of returning NULL.
 */
#ifndef CHESTNUTGAP_BASE_MEMORY_H
#define CHESTNUTGAP_BASE_MEMORY_H

#include <stddef.h>

/** Memory set to zero. */
void *memory_calloc(size_t count, size_t size);

/** Like realloc(). */
void *memory_reallocarray(void *memory, size_t count, size_t size);

/** A copy of a byte string; of size 0 too, as something to free. */
void *memory_copy(const void *data, size_t size);

/** A copy of a text, NULL for NULL. */
char *memory_strdup(const char *text);

#endif
