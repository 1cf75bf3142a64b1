#include "base/document.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "base/jsontext.h"
#include "base/timeunits.h"

#define DOCUMENT_LINE_SIZE 512
#define DOCUMENT_READ_SIZE 65536

/** Counts a problem. @return its slot, or NULL if the list is full */
static struct error *
allocate_problem(struct document_problems *problems)
{
    const size_t index = problems->count++;
    if (index >= DOCUMENT_PROBLEMS_MAX) {
        return NULL;
    }
    return &problems->problems[index];
}

bool
document_add_problem(struct document_problems *problems, enum error_code code,
                     const char *format, ...)
{
    char subject[ERROR_SUBJECT_SIZE];
    va_list args;
    va_start(args, format);
    vsnprintf(subject, sizeof(subject), format, args);
    va_end(args);
    return error_set(allocate_problem(problems), code, "%s", subject);
}

json_t *
document_parse(const char *text, size_t size,
               struct document_problems *problems)
{
    json_error_t json_error;
    json_t *document =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_error);
    if (document == NULL) {
        document_add_problem(problems, ERROR_DOCUMENT_SYNTAX,
                             "line %d column %d (%s)", json_error.line,
                             json_error.column, json_error.text);
    }
    return document;
}

/** Reads a stream to its end. NULL with a problem on failure. */
static char *
read_stream(FILE *stream, const char *name, size_t *size,
            struct document_problems *problems)
{
    char *text = NULL;
    size_t length = 0;
    for (;;) {
        char *grown = realloc(text, length + DOCUMENT_READ_SIZE);
        if (grown == NULL) {
            document_add_problem(problems, ERROR_NO_MEMORY, "%s", name);
            break;
        }
        text = grown;
        const size_t read =
            fread(text + length, 1, DOCUMENT_READ_SIZE, stream);
        length += read;
        if (length > DOCUMENT_SIZE_MAX) {
            document_add_problem(problems, ERROR_FIELD_RANGE,
                                 "%s (expected at most %zu bytes)", name,
                                 DOCUMENT_SIZE_MAX);
            break;
        }
        if (read < DOCUMENT_READ_SIZE && !ferror(stream)) {
            *size = length;
            return text;
        }
        if (ferror(stream)) {
            document_add_problem(problems, ERROR_DOCUMENT_UNREADABLE, "%s",
                                 name);
            break;
        }
    }
    free(text);
    return NULL;
}

json_t *
document_load(const char *name, struct document_problems *problems)
{
    const bool is_stdin = strcmp(name, "-") == 0;
    FILE *stream = is_stdin ? stdin : fopen(name, "r");
    if (stream == NULL) {
        struct error *problem = allocate_problem(problems);
        if (problem != NULL) {
            const int open_errno = errno;
            error_set(problem, ERROR_DOCUMENT_UNREADABLE, "%s", name);
            problem->sys_errno = open_errno;
        }
        return NULL;
    }
    size_t size = 0;
    char *text = read_stream(stream, name, &size, problems);
    if (!is_stdin) {
        fclose(stream);
    }
    json_t *document =
        text != NULL ? document_parse(text, size, problems) : NULL;
    free(text);
    return document;
}

bool
document_begin(struct document_object *object, const json_t *value,
               struct document_problems *problems, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    vsnprintf(object->path, sizeof(object->path), format, args);
    va_end(args);
    object->json = value;
    object->problems = problems;
    object->field_count = 0;
    if (!json_is_object(value)) {
        return document_add_problem(
            problems, ERROR_FIELD_TYPE, "%s (expected an object)",
            object->path[0] != '\0' ? object->path : "/");
    }
    return true;
}

static bool
is_known_field(const struct document_object *object, const char *field)
{
    for (size_t i = 0; i < object->field_count; i++) {
        if (strcmp(object->fields[i], field) == 0) {
            return true;
        }
    }
    return false;
}

void
document_end(struct document_object *object)
{
    const char *field;
    json_t *value;
    json_object_foreach ((json_t *)object->json, field, value) {
        if (!is_known_field(object, field)) {
            document_add_problem(object->problems, ERROR_FIELD_UNKNOWN,
                                 "%s/%s", object->path, field);
        }
    }
}

const json_t *
document_field(struct document_object *object, const char *field,
               enum document_need need)
{
    if (object->field_count < DOCUMENT_FIELDS_MAX) {
        object->fields[object->field_count++] = field;
    }
    const json_t *value = json_object_get(object->json, field);
    if (value == NULL && need == DOCUMENT_REQUIRED) {
        document_add_problem(object->problems, ERROR_FIELD_MISSING, "%s/%s",
                             object->path, field);
    }
    return value;
}

static bool
add_type_problem(const struct document_object *object, const char *field,
                 const char *expected)
{
    return document_add_problem(object->problems, ERROR_FIELD_TYPE,
                                "%s/%s (expected %s)", object->path, field,
                                expected);
}

/** The field's value if it is a string of 1 to size - 1 bytes. */
static const char *
read_string(struct document_object *object, const char *field,
            enum document_need need, size_t size)
{
    const json_t *value = document_field(object, field, need);
    if (value == NULL) {
        return NULL;
    }
    const char *text = json_string_value(value);
    if (text == NULL) {
        add_type_problem(object, field, "a string");
        return NULL;
    }
    const size_t length = json_string_length(value);
    if (length == 0 || length >= size || !jsontext_is_valid(text)) {
        document_add_problem(object->problems, ERROR_FIELD_RANGE,
                             "%s/%s (expected 1 to %zu printable bytes)",
                             object->path, field, size - 1);
        return NULL;
    }
    return text;
}

bool
document_string(struct document_object *object, const char *field,
                enum document_need need, char *buffer, size_t size)
{
    const char *text = read_string(object, field, need, size);
    if (text == NULL) {
        return false;
    }
    snprintf(buffer, size, "%s", text);
    return true;
}

bool
document_name_valid(const char *text, size_t size)
{
    const size_t length = strlen(text);
    return length > 0 && length < size &&
           strspn(text, "abcdefghijklmnopqrstuvwxyz"
                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789-_.") == length;
}

bool
document_name(struct document_object *object, const char *field,
              enum document_need need, char *buffer, size_t size)
{
    const char *text = read_string(object, field, need, size);
    if (text == NULL) {
        return false;
    }
    if (!document_name_valid(text, size)) {
        return document_add_problem(
            object->problems, ERROR_FIELD_RANGE,
            "%s/%s (expected letters, digits, '-', '_' or '.')", object->path,
            field);
    }
    snprintf(buffer, size, "%s", text);
    return true;
}

bool
document_integer(struct document_object *object, const char *field,
                 enum document_need need, int64_t min, int64_t max,
                 int64_t *value)
{
    const json_t *json = document_field(object, field, need);
    if (json == NULL) {
        return false;
    }
    if (!json_is_integer(json)) {
        return add_type_problem(object, field, "an integer");
    }
    const json_int_t number = json_integer_value(json);
    if (number < min || number > max) {
        return document_add_problem(object->problems, ERROR_FIELD_RANGE,
                                    "%s/%s (expected %" PRId64 " to %" PRId64
                                    ")",
                                    object->path, field, min, max);
    }
    *value = number;
    return true;
}

bool
document_unsigned(struct document_object *object, const char *field,
                  enum document_need need, unsigned min, unsigned max,
                  unsigned *value)
{
    int64_t number = 0;
    if (!document_integer(object, field, need, min, max, &number)) {
        return false;
    }
    *value = (unsigned)number;
    return true;
}

bool
document_milliseconds(struct document_object *object, const char *field,
                      enum document_need need, int64_t min_ms, int64_t max_ms,
                      int64_t *value_us)
{
    int64_t number = 0;
    if (!document_integer(object, field, need, min_ms, max_ms, &number)) {
        return false;
    }
    *value_us = number * US_PER_MS;
    return true;
}

bool
document_bool(struct document_object *object, const char *field,
              enum document_need need, bool *value)
{
    const json_t *json = document_field(object, field, need);
    if (json == NULL) {
        return false;
    }
    if (!json_is_boolean(json)) {
        return add_type_problem(object, field, "true or false");
    }
    *value = json_is_true(json);
    return true;
}

const json_t *
document_array(struct document_object *object, const char *field,
               enum document_need need, size_t max)
{
    const json_t *json = document_field(object, field, need);
    if (json == NULL) {
        return NULL;
    }
    if (!json_is_array(json)) {
        add_type_problem(object, field, "an array");
        return NULL;
    }
    if (json_array_size(json) > max) {
        document_add_problem(object->problems, ERROR_FIELD_RANGE,
                             "%s/%s (expected at most %zu items)",
                             object->path, field, max);
        return NULL;
    }
    return json;
}

int
document_choice(struct document_object *object, const char *field,
                enum document_need need, const char *const *choices,
                size_t choice_count)
{
    const json_t *json = document_field(object, field, need);
    if (json == NULL) {
        return -1;
    }
    char expected[DOCUMENT_PATH_SIZE] = "";
    size_t length = 0;
    for (size_t i = 0; i < choice_count; i++) {
        const char *text = json_string_value(json);
        if (text != NULL && strcmp(text, choices[i]) == 0) {
            return (int)i;
        }
        if (length < sizeof(expected)) {
            length +=
                (size_t)snprintf(expected + length, sizeof(expected) - length,
                                 "%s\"%s\"", i > 0 ? ", " : "", choices[i]);
        }
    }
    document_add_problem(object->problems, ERROR_FIELD_RANGE,
                         "%s/%s (expected one of %s)", object->path, field,
                         expected);
    return -1;
}

void
document_print_problems(const struct document_problems *problems,
                        const char *name, FILE *stream)
{
    size_t kept = problems->count;
    if (kept > DOCUMENT_PROBLEMS_MAX) {
        kept = DOCUMENT_PROBLEMS_MAX;
    }
    for (size_t i = 0; i < kept; i++) {
        char line[DOCUMENT_LINE_SIZE];
        fprintf(stream, "%s: %s\n", name,
                error_describe(&problems->problems[i], line, sizeof(line)));
    }
    if (problems->count > kept) {
        fprintf(stream, "%s: %zu more problems\n", name,
                problems->count - kept);
    }
}
