/**
 * @file
 * JSON of a declared state with every default written out, and the digest of
 * a document.
 */
#ifndef CHESTNUTGAP_STATE_STATEJSON_H
#define CHESTNUTGAP_STATE_STATEJSON_H

#include <stdint.h>

#include <jansson.h>

#include "state/state.h"

#define STATE_DIGEST_SIZE 17 /* 16 hexadecimal digits and terminator */

/** A document that state_parse() reads as an equal state. */
json_t *state_to_json(const struct state *state);

/** Hash of a document that does not depend on the order of fields. */
uint64_t state_digest(const json_t *document);

/** The digest as 16 hexadecimal digits. */
void state_digest_format(uint64_t digest, char text[STATE_DIGEST_SIZE]);

#endif
