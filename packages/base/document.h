/**
 * @file
 * Strict reading of JSON documents. Every problem is listed with the path of
 * its place (as a JSON pointer) and what was expected there; reading goes on
 * after a problem, so that one check lists them all. A field that was not
 * asked for is a problem too.
 */
#ifndef CHESTNUTGAP_BASE_DOCUMENT_H
#define CHESTNUTGAP_BASE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "base/error.h"

#define DOCUMENT_PROBLEMS_MAX 64            /* problems kept of one document */
#define DOCUMENT_FIELDS_MAX 48              /* fields of one object */
#define DOCUMENT_PATH_SIZE 96               /* bytes with the terminator */
#define DOCUMENT_SIZE_MAX ((size_t)4 << 20) /* bytes of a file */

/** All problems of a document. */
struct document_problems {
    struct error problems[DOCUMENT_PROBLEMS_MAX];
    size_t count; /**< may exceed the maximum; the rest is lost */
};

/** An object that is being read. Its fields are private. */
struct document_object {
    const json_t *json;
    struct document_problems *problems;
    char path[DOCUMENT_PATH_SIZE];
    const char *fields[DOCUMENT_FIELDS_MAX];
    size_t field_count;
};

/** Whether a field may be left out; its variable then keeps its value. */
enum document_need {
    DOCUMENT_OPTIONAL,
    DOCUMENT_REQUIRED,
};

/** Adds a problem with its subject. @return false */
bool document_add_problem(struct document_problems *problems,
                          enum error_code code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Parses text. NULL with the problem's line listed on failure. */
json_t *document_parse(const char *text, size_t size,
                       struct document_problems *problems);

/** Parses a file, or standard input if name is "-". NULL on failure. */
json_t *document_load(const char *name, struct document_problems *problems);

/** Starts to read an object. False if value is none. */
bool document_begin(struct document_object *object, const json_t *value,
                    struct document_problems *problems, const char *format,
                    ...) __attribute__((format(printf, 4, 5)));

/** Ends reading: every field that was not asked for is a problem. */
void document_end(struct document_object *object);

/** The field as it is, or NULL (with a problem if it is required). */
const json_t *document_field(struct document_object *object, const char *field,
                             enum document_need need);

/** Text of 1 to size - 1 bytes without control characters. */
bool document_string(struct document_object *object, const char *field,
                     enum document_need need, char *buffer, size_t size);

/** Text of letters, digits, "-", "_" and ".", as names of things are. */
bool document_name(struct document_object *object, const char *field,
                   enum document_need need, char *buffer, size_t size);

/** Integer from min to max. */
bool document_integer(struct document_object *object, const char *field,
                      enum document_need need, int64_t min, int64_t max,
                      int64_t *value);

/** Like document_integer() into an unsigned. */
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

/** Index of the field's text among the choices, or -1. */
int document_choice(struct document_object *object, const char *field,
                    enum document_need need, const char *const *choices,
                    size_t choice_count);

/** True if text is a name as document_name() takes. */
bool document_name_valid(const char *text, size_t size);

/** Writes one problem a line, and how many were lost. */
void document_print_problems(const struct document_problems *problems,
                             const char *name, FILE *stream);

#endif
