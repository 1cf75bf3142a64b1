/**
 * @file
 * Strict JSON document reader. Each problem is recorded with its JSON pointer
 * and what was expected there. Reading continues after a problem, so that one
 * check reports all of them. A field that is never read is a problem too.
 */
#ifndef CHESTNUTGAP_BASE_DOCUMENT_H
#define CHESTNUTGAP_BASE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "base/error.h"

#define DOCUMENT_PROBLEMS_MAX 64 /* recorded per document */
#define DOCUMENT_FIELDS_MAX 48   /* known fields per object */
#define DOCUMENT_PATH_SIZE 96    /* bytes, including the terminator */
#define DOCUMENT_SIZE_MAX ((size_t)4 << 20) /* file size in bytes */

/** Problems of a document. */
struct document_problems {
    struct error problems[DOCUMENT_PROBLEMS_MAX];
    size_t count; /**< may exceed the maximum; the excess is dropped */
};

/** JSON object reader. Its members are private. */
struct document_object {
    const json_t *json;
    struct document_problems *problems;
    char path[DOCUMENT_PATH_SIZE];
    const char *fields[DOCUMENT_FIELDS_MAX];
    size_t field_count;
};

/** Whether a field may be absent; its variable then keeps its value. */
enum document_need {
    DOCUMENT_OPTIONAL,
    DOCUMENT_REQUIRED,
};

/** Records a problem; the format gives its subject. @return false */
bool document_add_problem(struct document_problems *problems,
                          enum error_code code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Parses text. On failure records the problem and returns NULL. */
json_t *document_parse(const char *text, size_t size,
                       struct document_problems *problems);

/** Parses a file, or standard input if name is "-". NULL on failure. */
json_t *document_load(const char *name, struct document_problems *problems);

/** Starts reading an object. False, with a problem, if value is not one. */
bool document_begin(struct document_object *object, const json_t *value,
                    struct document_problems *problems, const char *format,
                    ...) __attribute__((format(printf, 4, 5)));

/** Records a problem for each field that was never read. */
void document_end(struct document_object *object);

/** The field's raw value, or NULL (with a problem if it is required). */
const json_t *document_field(struct document_object *object, const char *field,
                             enum document_need need);

/** String of 1 to size - 1 bytes without control characters. */
bool document_string(struct document_object *object, const char *field,
                     enum document_need need, char *buffer, size_t size);

/** Non-empty string of letters, digits, "-", "_" and ".". */
bool document_name(struct document_object *object, const char *field,
                   enum document_need need, char *buffer, size_t size);

/** Integer from min to max, both included. */
bool document_integer(struct document_object *object, const char *field,
                      enum document_need need, int64_t min, int64_t max,
                      int64_t *value);

/** Like document_integer() for an unsigned. */
bool document_unsigned(struct document_object *object, const char *field,
                       enum document_need need, unsigned min, unsigned max,
                       unsigned *value);

/** Milliseconds from min_ms to max_ms, stored in microseconds. */
bool document_milliseconds(struct document_object *object, const char *field,
                           enum document_need need, int64_t min_ms,
                           int64_t max_ms, int64_t *value_us);

bool document_bool(struct document_object *object, const char *field,
                   enum document_need need, bool *value);

/** Array of at most max items, or NULL. */
const json_t *document_array(struct document_object *object, const char *field,
                             enum document_need need, size_t max);

/** Index of the field's string in choices, or -1. */
int document_choice(struct document_object *object, const char *field,
                    enum document_need need, const char *const *choices,
                    size_t choice_count);

/** True if document_name() would accept text. */
bool document_name_valid(const char *text, size_t size);

/** Writes one problem per line, then how many were dropped. */
void document_print_problems(const struct document_problems *problems,
                             const char *name, FILE *stream);

#endif
