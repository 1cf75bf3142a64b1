/**
 * @file
 * The store's HTTP protocol (docs/STORE.md): paths of requests and JSON of
 * answers, for the client and the stand-in server.
 */
#ifndef CHESTNUTGAP_STORE_STORECODEC_H
#define CHESTNUTGAP_STORE_STORECODEC_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "base/error.h"
#include "store/store.h"

#define STORE_PATH_COMMIT "/v1/commit"
#define STORE_PATH_ROW "/v1/row"
#define STORE_PATH_ROWS "/v1/rows"
#define STORE_PATH_OBJECTS "/v1/objects/"

#define STORE_REQUEST_BYTES_MAX ((size_t)16 << 20) /* bytes of a body */
#define STORE_ANSWER_BYTES_MAX ((size_t)64 << 20)  /* bytes of a body */

/** Paths with query. The caller frees them; NULL when memory is short. */
char *store_codec_row_path(const char *table, const char *row);
char *store_codec_rows_path(const struct store_scan *scan);
char *store_codec_object_path(const char *name);

/** Answer to a commit or a write of an object. */
json_t *store_codec_commit_to_json(const struct store_commit_result *result);

/**
 * Reads such an answer.
 *
 * @param document must outlive the result, which points into it
 * @return false, and STORE_UNKNOWN, if it does not prove an outcome
 */
bool store_codec_commit_parse(const json_t *document,
                              struct store_commit_result *result);

/** Answer to a read or scan. */
json_t *store_codec_rows_to_json(const struct store_read_result *result);

/** What the rows of an answer must be. */
struct store_codec_expected {
    const char *table;
    const char *row;   /**< the only row of a read; NULL for a scan */
    const char *after; /**< a scan's rows come after this one; or NULL */
};

/**
 * Reads such an answer, whose rows must be in the order of their names.
 *
 * @param document must outlive the rows, which point into it
 * @param rows set to an array that the caller frees
 */
bool store_codec_rows_parse(const json_t *document,
                            const struct store_codec_expected *expected,
                            struct store_row **rows,
                            struct store_read_result *result);

#endif
