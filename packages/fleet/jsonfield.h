/**
 * @file
 * Reads fields of JSON objects.
 */
#ifndef CHESTNUTGAP_FLEET_JSONFIELD_H
#define CHESTNUTGAP_FLEET_JSONFIELD_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

/** Copies a string field. @return false if it is missing or does not fit */
bool jsonfield_copy_text(const json_t *object, const char *field, char *to,
                         size_t size);

#endif
