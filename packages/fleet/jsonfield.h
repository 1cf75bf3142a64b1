/**
 * @file
 * Reading of fields of the rows that instances write.
 */
#ifndef CHESTNUTGAP_FLEET_JSONFIELD_H
#define CHESTNUTGAP_FLEET_JSONFIELD_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

/** Copies a text that fits. @return false if there is none */
bool jsonfield_copy_text(const json_t *object, const char *field, char *to,
                         size_t size);

#endif
