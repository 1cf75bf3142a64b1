/**
 * @file
 * The error struct that is passed down to functions that can fail. Each
 * failure has a type; the subject says what it concerns.
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

/** A failure. All-zero means that there is none. */
struct error {
    enum error_code code;
    enum error_code cause; /**< failure beneath this one, or ERROR_NONE */
    int sys_errno;         /**< errno of a failed system call, or 0 */
    char subject[ERROR_SUBJECT_SIZE]; /**< path, address or name concerned */
};

/**
 * Records a failure in err (which may be NULL).
 *
 * @return always false, so that a caller can return it.
 */
bool error_set(struct error *err, enum error_code code, const char *format,
               ...) __attribute__((format(printf, 3, 4)));

/** Like error_set() with code ERROR_SYSTEM, and stores errno. */
bool error_set_system(struct error *err, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Makes the failure in err the cause of a new one of type code. */
bool error_wrap(struct error *err, enum error_code code, const char *format,
                ...) __attribute__((format(printf, 3, 4)));

/** Name of a code in lower case without the prefix: "rpc_timeout". */
const char *error_name(enum error_code code);

/** What the code means, as one clause of English. */
const char *error_text(enum error_code code);

/**
 * Writes "SUBJECT: TEXT" with errno's meaning and the cause into buffer,
 * which is always terminated.
 *
 * @return buffer
 */
const char *error_describe(const struct error *err, char *buffer,
                           size_t buffer_size);

#endif
