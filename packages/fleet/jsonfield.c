#include "fleet/jsonfield.h"

#include <stdio.h>
#include <string.h>

bool
jsonfield_copy_text(const json_t *object, const char *field, char *to,
                    size_t size)
{
    const char *text = json_string_value(json_object_get(object, field));
    if (text == NULL || strlen(text) >= size) {
        return false;
    }
    snprintf(to, size, "%s", text);
    return true;
}
