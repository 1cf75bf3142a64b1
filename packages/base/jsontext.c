#include "base/jsontext.h"

#include <string.h>

bool
jsontext_is_valid(const char *text)
{
    for (const char *p = text; *p != '\0'; p++) {
        if ((unsigned char)*p < 0x20 || *p == 0x7f) {
            return false;
        }
    }
    json_t *string = json_string(text); /* NULL if it isn't UTF-8 */
    json_decref(string);
    return string != NULL;
}

bool
jsontext_copy(char *to, size_t size, const char *text, const char *what,
              struct error *err)
{
    const size_t length = strlen(text);
    if (length >= size) {
        return error_set(err, ERROR_FIELD_RANGE, "%s", what);
    }
    if (!jsontext_is_valid(text)) {
        return error_set(err, ERROR_TEXT_ENCODING, "%s", what);
    }
    memcpy(to, text, length + 1);
    return true;
}

char *
jsontext_print(json_t *document, size_t flags, struct error *err)
{
    char *text = json_dumps(document, flags);
    json_decref(document);
    if (text == NULL) {
        error_set(err, ERROR_TEXT_ENCODING, "document");
    }
    return text;
}
