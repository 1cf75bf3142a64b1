/**
 * @file
 * Rows of the table "config": one per accepted revision of the declared state,
 * and the head row, which refers to the newest.
 */
#ifndef CHESTNUTGAP_STATE_REVISION_H
#define CHESTNUTGAP_STATE_REVISION_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error.h"
#include "state/state.h"
#include "state/statejson.h"

#define REVISION_TABLE "config"
#define REVISION_HEAD_ROW "head"
#define REVISION_ROW_NAME_SIZE 30 /* with the terminator */

/** An accepted revision; in the head row, the newest. */
struct revision_head {
    uint64_t revision; /**< 0: none was accepted yet */
    uint64_t base;     /**< revision that it was derived from */
    char digest[STATE_DIGEST_SIZE];
    char author[STATE_NAME_MAX + 1];
    int64_t at_us; /**< Unix time */
};

/** Formats "revision/NUMBER", zero-padded so that names sort by number. */
void revision_row_name(uint64_t revision, char name[REVISION_ROW_NAME_SIZE]);

/** Value of the head row. */
json_t *revision_head_to_json(const struct revision_head *head);

/** Parses the value of the head row; NULL stands for an empty table. */
bool revision_head_parse(const json_t *value, struct revision_head *head,
                         struct error *err);

/** Value of the row of a revision. */
json_t *revision_row_to_json(const struct revision_head *head,
                             const json_t *document);

/**
 * Parses the value of the row of a revision.
 *
 * @return the document, borrowed from value. NULL if a field is missing or
 * invalid, or if the document doesn't match the digest in the row.
 */
json_t *revision_row_document(const json_t *value, struct revision_head *head,
                              struct error *err);

/**
 * Checks that after changes no immutable field: the number of shards of an
 * existing service.
 *
 * @return false with at least one problem listed if it does.
 */
bool revision_check_immutable(const struct state *before,
                              const struct state *after,
                              struct document_problems *problems);

#endif
