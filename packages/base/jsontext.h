/**
 * @file
 * Text that JSON can hold. Texts from outside are checked where they are read;
 * documents are printed by a function that reports a text it can't hold.
 */
#ifndef CHESTNUTGAP_BASE_JSONTEXT_H
#define CHESTNUTGAP_BASE_JSONTEXT_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "base/error.h"

/** True if text is UTF-8 (RFC 3629) without control characters. */
bool jsontext_is_valid(const char *text);

/**
 * Copies a text from outside that is valid and fits into size bytes.
 *
 * @return false with err set to ERROR_TEXT_ENCODING or ERROR_FIELD_RANGE; what
 * names the text in it
 */
bool jsontext_copy(char *to, size_t size, const char *text, const char *what,
                   struct error *err);

/**
 * Prints a document, which it releases; the user frees the text.
 *
 * @return NULL with err set to ERROR_TEXT_ENCODING if the document is NULL,
 * which is what json_pack() returns for a text that isn't UTF-8
 */
char *jsontext_print(json_t *document, size_t flags, struct error *err);

#endif
