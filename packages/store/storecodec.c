#include "store/storecodec.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>

#include "store/storetxn.h"

static const char *const outcome_names[] = {
    [STORE_COMMITTED] = "committed",
    [STORE_CONFLICT] = "conflict",
    [STORE_UNAVAILABLE] = "unavailable",
    [STORE_UNKNOWN] = "unknown",
};

/** Writes the separator and NAME=VALUE with the value percent-encoded. */
static bool
print_parameter(FILE *stream, char separator, const char *name,
                const char *value)
{
    char *encoded = evhttp_uriencode(value, -1, 0);
    if (encoded == NULL) {
        return false;
    }
    fprintf(stream, "%c%s=%s", separator, name, encoded);
    free(encoded);
    return true;
}

/** Closes the stream. Returns its text, or NULL on any failure. */
static char *
finish_path(FILE *stream, char **text, bool ok)
{
    if (fclose(stream) != 0 || !ok) {
        free(*text);
        return NULL;
    }
    return *text;
}

char *
store_codec_row_path(const char *table, const char *row)
{
    char *text = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    if (stream == NULL) {
        return NULL;
    }
    fputs(STORE_PATH_ROW, stream);
    const bool ok = print_parameter(stream, '?', "table", table) &&
                    print_parameter(stream, '&', "row", row);
    return finish_path(stream, &text, ok);
}

char *
store_codec_rows_path(const struct store_scan *scan)
{
    char *text = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    if (stream == NULL) {
        return NULL;
    }
    fputs(STORE_PATH_ROWS, stream);
    bool ok = print_parameter(stream, '?', "table", scan->table);
    if (scan->prefix != NULL && scan->prefix[0] != '\0') {
        ok = ok && print_parameter(stream, '&', "prefix", scan->prefix);
    }
    if (scan->after != NULL) {
        ok = ok && print_parameter(stream, '&', "after", scan->after);
    }
    if (scan->since > 0) {
        fprintf(stream, "&since=%" PRIu64, scan->since);
    }
    if (scan->limit > 0) {
        fprintf(stream, "&limit=%zu", scan->limit);
    }
    return finish_path(stream, &text, ok);
}

char *
store_codec_object_path(const char *name)
{
    char *encoded = evhttp_uriencode(name, -1, 0);
    char *path = NULL;
    if (encoded != NULL &&
        asprintf(&path, "%s%s", STORE_PATH_OBJECTS, encoded) < 0) {
        path = NULL;
    }
    free(encoded);
    return path;
}

json_t *
store_codec_commit_to_json(const struct store_commit_result *result)
{
    json_t *document =
        json_pack("{s:s}", "outcome", outcome_names[result->outcome]);
    if (result->outcome == STORE_COMMITTED) {
        json_object_set_new(document, "version",
                            json_integer((json_int_t)result->version));
    }
    if (result->outcome == STORE_CONFLICT) {
        json_object_set_new(document, "table", json_string(result->table));
        json_object_set_new(document, "row", json_string(result->row));
    }
    return document;
}

bool
store_codec_commit_parse(const json_t *document,
                         struct store_commit_result *result)
{
    *result = (struct store_commit_result){.outcome = STORE_UNKNOWN};
    const char *outcome =
        json_string_value(json_object_get(document, "outcome"));
    if (outcome == NULL) {
        return false;
    }
    const json_t *version = json_object_get(document, "version");
    if (strcmp(outcome, outcome_names[STORE_COMMITTED]) == 0 &&
        json_is_integer(version) && json_integer_value(version) >= 0) {
        result->outcome = STORE_COMMITTED;
        result->version = (uint64_t)json_integer_value(version);
        return true;
    }
    result->table = json_string_value(json_object_get(document, "table"));
    result->row = json_string_value(json_object_get(document, "row"));
    if (strcmp(outcome, outcome_names[STORE_CONFLICT]) == 0 &&
        result->table != NULL && result->row != NULL) {
        result->outcome = STORE_CONFLICT;
        return true;
    }
    if (strcmp(outcome, outcome_names[STORE_UNAVAILABLE]) == 0) {
        result->outcome = STORE_UNAVAILABLE;
        return true;
    }
    return false;
}

json_t *
store_codec_rows_to_json(const struct store_read_result *result)
{
    json_t *rows = json_array();
    for (size_t i = 0; i < result->row_count; i++) {
        const struct store_row *row = &result->rows[i];
        char txn[STORE_TXN_ID_SIZE];
        store_txn_id_format(row->txn_id, txn);
        json_array_append_new(rows, json_pack("{s:s, s:I, s:s, s:O?}", "row",
                                              row->name, "version",
                                              (json_int_t)row->version, "txn",
                                              txn, "value", row->value));
    }
    return json_pack("{s:I, s:b, s:o}", "version", (json_int_t)result->version,
                     "more", result->has_more, "rows", rows);
}

static bool
parse_row(const json_t *item, struct store_row *row)
{
    const json_t *version = json_object_get(item, "version");
    const char *txn = json_string_value(json_object_get(item, "txn"));
    json_t *value = json_object_get(item, "value");
    row->name = json_string_value(json_object_get(item, "row"));
    if (row->name == NULL || !json_is_integer(version) ||
        json_integer_value(version) < 0 || txn == NULL ||
        !store_txn_id_parse(txn, &row->txn_id) ||
        !(json_is_object(value) || json_is_null(value))) {
        return false;
    }
    row->version = (uint64_t)json_integer_value(version);
    row->value = json_is_null(value) ? NULL : value;
    return true;
}

static bool
parse_rows(const json_t *items, const struct store_codec_expected *expected,
           struct store_row *rows)
{
    const char *previous = expected->after;
    for (size_t i = 0; i < json_array_size(items); i++) {
        rows[i].table = expected->table;
        if (!parse_row(json_array_get(items, i), &rows[i])) {
            return false;
        }
        if (previous != NULL && strcmp(rows[i].name, previous) <= 0) {
            return false;
        }
        previous = rows[i].name;
    }
    if (expected->row == NULL) {
        return true;
    }
    return previous != NULL && json_array_size(items) == 1 &&
           strcmp(previous, expected->row) == 0;
}

bool
store_codec_rows_parse(const json_t *document,
                       const struct store_codec_expected *expected,
                       struct store_row **rows,
                       struct store_read_result *result)
{
    const json_t *version = json_object_get(document, "version");
    const json_t *more = json_object_get(document, "more");
    const json_t *items = json_object_get(document, "rows");
    *rows = NULL;
    *result = (struct store_read_result){.outcome = STORE_UNAVAILABLE};
    if (!json_is_integer(version) || json_integer_value(version) < 0 ||
        !json_is_boolean(more) || !json_is_array(items)) {
        return false;
    }
    const size_t count = json_array_size(items);
    *rows = calloc(count + 1, sizeof((*rows)[0]));
    if (*rows == NULL || !parse_rows(items, expected, *rows)) {
        return false;
    }
    *result = (struct store_read_result){
        .outcome = STORE_COMMITTED,
        .rows = *rows,
        .row_count = count,
        .version = (uint64_t)json_integer_value(version),
        .has_more = json_is_true(more),
    };
    return true;
}
