/**
 * @file
 * Request paths and JSON answers of the store's HTTP protocol
 * (docs/STORE.md), for the client and the stand-in server.
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

#define STORE_REQUEST_BYTES_MAX ((size_t)16 << 20) /* of a body */
#define STORE_ANSWER_BYTES_MAX ((size_t)64 << 20)  /* of a body */

/** Request path with query, to be freed; NULL if out of memory. */
char *store_codec_row_path(const char *table, const char *row);
char *store_codec_rows_path(const struct store_scan *scan);
char *store_codec_object_path(const char *name);

/** Answer to a commit or an object's write. */
json_t *store_codec_commit_to_json(const struct store_commit_result *result);

/**
 * Parses the output of store_codec_commit_to_json().
 *
 * @param document must outlive result, which points into it
 * @return false with STORE_UNKNOWN if the answer has no valid outcome
 */
bool store_codec_commit_parse(const json_t *document,
                              struct store_commit_result *result);

/** Answer to a read or scan. */
json_t *store_codec_rows_to_json(const struct store_read_result *result);

/** Constraints on the rows of an answer. */
struct store_codec_expected {
    const char *table;
    const char *row;   /**< name of a read's single row; NULL for a scan */
    const char *after; /**< exclusive lower bound of a scan; may be NULL */
};

/**
 * Parses the output of store_codec_rows_to_json(). Rows must be in order of
 * name.
 *
 * @param document must outlive the rows, which point into it
 * @param rows set to an array to be freed, also on failure
 */
bool store_codec_rows_parse(const json_t *document,
                            const struct store_codec_expected *expected,
                            struct store_row **rows,
                            struct store_read_result *result);

#endif
