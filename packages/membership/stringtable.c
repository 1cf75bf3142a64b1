#include "membership/stringtable.h"

#include <stdlib.h>
#include <string.h>

void
stringtable_clear(struct stringtable *table)
{
    for (size_t i = 0; i < table->count; i++) {
        free(table->texts[i]);
    }
    free(table->texts);
    *table = (struct stringtable){0};
}

uint16_t
stringtable_intern(struct stringtable *table, const char *text)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->texts[i], text) == 0) {
            return (uint16_t)i;
        }
    }
    char **texts =
        realloc(table->texts, (table->count + 1) * sizeof(*table->texts));
    char *copy = strdup(text);
    if (texts == NULL || copy == NULL || table->count == UINT16_MAX) {
        abort();
    }
    table->texts = texts;
    texts[table->count] = copy;
    return (uint16_t)table->count++;
}

size_t
stringtable_memory(const struct stringtable *table)
{
    size_t bytes = table->count * sizeof(*table->texts);
    for (size_t i = 0; i < table->count; i++) {
        bytes += strlen(table->texts[i]) + 1;
    }
    return bytes;
}
