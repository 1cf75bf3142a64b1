/**
 * @file
 * Serializes a declared state to JSON, and computes the digest of a document.
 */
#ifndef CHESTNUTGAP_STATE_STATEJSON_H
#define CHESTNUTGAP_STATE_STATEJSON_H

#include <stdint.h>

#include <jansson.h>

#include "state/state.h"

#define STATE_DIGEST_SIZE 17 /* with the terminator */

/** Writes out every default; state_parse() reads back an equal state. */
json_t *state_to_json(const struct state *state);

/** Hash of a document, independent of the order of fields. */
uint64_t state_digest(const json_t *document);

/** Formats a digest as 16 hexadecimal digits. */
void state_digest_format(uint64_t digest, char text[STATE_DIGEST_SIZE]);

#endif
