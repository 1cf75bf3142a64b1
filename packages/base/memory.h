/**
 * @file
 * Allocation functions that abort if out of memory, for code that cannot
 * continue without it.
 */
#ifndef CHESTNUTGAP_BASE_MEMORY_H
#define CHESTNUTGAP_BASE_MEMORY_H

#include <stddef.h>

void *memory_calloc(size_t count, size_t size);

void *memory_reallocarray(void *memory, size_t count, size_t size);

/** Copies size bytes. The result is for free(), also for size 0. */
void *memory_copy(const void *data, size_t size);

/** NULL for NULL. */
char *memory_strdup(const char *text);

#endif
