#include "membership/names.h"

#include <stdlib.h>
#include <string.h>

void
names_clear(struct names *names)
{
    for (size_t i = 0; i < names->count; i++) {
        free(names->texts[i]);
    }
    free(names->texts);
    *names = (struct names){0};
}

uint16_t
names_number(struct names *names, const char *text)
{
    for (size_t i = 0; i < names->count; i++) {
        if (strcmp(names->texts[i], text) == 0) {
            return (uint16_t)i;
        }
    }
    char **texts =
        realloc(names->texts, (names->count + 1) * sizeof(*names->texts));
    char *copy = strdup(text);
    if (texts == NULL || copy == NULL || names->count == UINT16_MAX) {
        abort();
    }
    names->texts = texts;
    texts[names->count] = copy;
    return (uint16_t)names->count++;
}

size_t
names_memory(const struct names *names)
{
    size_t bytes = names->count * sizeof(*names->texts);
    for (size_t i = 0; i < names->count; i++) {
        bytes += strlen(names->texts[i]) + 1;
    }
    return bytes;
}
