/**
 * @file
 * JSON encoding of the store's faults.
 */
#ifndef CHESTNUTGAP_STANDIN_FAULTSJSON_H
#define CHESTNUTGAP_STANDIN_FAULTSJSON_H

#include <stdbool.h>

#include <jansson.h>

#include "base/document.h"
#include "store/storememory.h"

/** Parses a full set of faults; omitted ones are off. */
bool store_faults_parse(const json_t *document, struct store_faults *faults,
                        struct document_problems *problems);

json_t *store_faults_to_json(const struct store_faults *faults);

#endif
