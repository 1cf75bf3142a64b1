/**
 * @file
 * Errors, filled in by functions that can fail. The code says what failed, the
 * subject on what.
 */
#ifndef CHESTNUTGAP_BASE_ERROR_H
#define CHESTNUTGAP_BASE_ERROR_H

#include <stdbool.h>
#include <stddef.h>

#include "base/errorcodes.h"

#define ERROR_SUBJECT_SIZE 160 /* bytes, including the terminator */

enum error_code {
#define ERROR_ENUM(code, text) code,
    ERROR_CODES(ERROR_ENUM)
#undef ERROR_ENUM
    ERROR_CODE_COUNT
};

/** An error. All-zero means none. */
struct error {
    enum error_code code;
    enum error_code cause; /**< underlying error, or ERROR_NONE */
    int sys_errno;         /**< errno of a failed system call, or 0 */
    char subject[ERROR_SUBJECT_SIZE]; /**< path, address or name */
};

/**
 * Sets err, which may be NULL; the format gives its subject.
 *
 * @return always false, for use in a return statement
 */
bool error_set(struct error *err, enum error_code code, const char *format,
               ...) __attribute__((format(printf, 3, 4)));

/** Like error_set() with ERROR_SYSTEM; also stores errno. */
bool error_set_system(struct error *err, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Replaces the error in err by a new one, with the old one as its cause. */
bool error_wrap(struct error *err, enum error_code code, const char *format,
                ...) __attribute__((format(printf, 3, 4)));

/** Name in lower case without the prefix, for example "rpc_timeout". */
const char *error_name(enum error_code code);

/** Description of the code for operators. */
const char *error_text(enum error_code code);

/**
 * Writes "SUBJECT: TEXT", the errno message and the cause to buffer, truncated
 * if it does not fit.
 *
 * @return buffer
 */
const char *error_describe(const struct error *err, char *buffer,
                           size_t buffer_size);

#endif
