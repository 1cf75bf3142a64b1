#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

static void *
abort_if_null(void *memory)
{
    if (memory == NULL) {
        abort();
    }
    return memory;
}

void *
memory_calloc(size_t count, size_t size)
{
    return abort_if_null(calloc(count > 0 ? count : 1, size));
}

void *
memory_reallocarray(void *memory, size_t count, size_t size)
{
    return abort_if_null(reallocarray(memory, count > 0 ? count : 1, size));
}

void *
memory_copy(const void *data, size_t size)
{
    void *copy = abort_if_null(malloc(size > 0 ? size : 1));
    if (size > 0) {
        memcpy(copy, data, size);
    }
    return copy;
}

char *
memory_strdup(const char *text)
{
    return text != NULL ? abort_if_null(strdup(text)) : NULL;
}
