/**
 * @file
 * Rows of the table "config": one for each accepted revision of the
 * declared state, and the head, which names the newest.
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
#define REVISION_ROW_NAME_SIZE                                                \
    30 /* bytes of a row's name with its terminator */

/** The newest accepted revision. */
struct revision_head {
    uint64_t revision; /**< 0: nothing was applied yet */
    uint64_t base;     /**< revision that its author started from */
    char digest[STATE_DIGEST_SIZE];
    char author[STATE_NAME_MAX + 1];
    int64_t at_us; /**< wall-clock time since 1970 */
};

/** Writes "revision/NUMBER", so that names sort by number. */
void revision_row_name(uint64_t revision, char name[REVISION_ROW_NAME_SIZE]);

/** Value of the head's row. */
json_t *revision_head_to_json(const struct revision_head *head);

/** Reads it; NULL stands for an empty table. Names what is wrong in err. */
bool revision_head_parse(const json_t *value, struct revision_head *head,
                         struct error *err);

/** Value of a revision's row. */
json_t *revision_row_to_json(const struct revision_head *head,
                             const json_t *document);

/**
 * The document in a revision's row, borrowed. NULL if it is not whole: its
 * digest is compared with the one in the row.
 */
json_t *revision_row_document(const json_t *value, struct revision_head *head,
                              struct error *err);

/**
 * Lists what can't be changed between two revisions: the number of shards
 * of a service that exists.
 */
bool revision_check_immutable(const struct state *before,
                              const struct state *after,
                              struct document_problems *problems);

#endif
