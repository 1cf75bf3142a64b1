#include "base/error.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct error_info {
    const char *name;
    const char *text;
};

static const struct error_info error_infos[ERROR_CODE_COUNT] = {
#define ERROR_INFO(code, text) [code] = {#code, text},
    ERROR_CODES(ERROR_INFO)
#undef ERROR_INFO
};

static char error_names[ERROR_CODE_COUNT][48];

static void
error_init(struct error *err, enum error_code code, const char *format,
           va_list args)
{
    *err = (struct error){.code = code};
    vsnprintf(err->subject, sizeof(err->subject), format, args);
}

bool
error_set(struct error *err, enum error_code code, const char *format, ...)
{
    if (err == NULL) {
        return false;
    }
    va_list args;
    va_start(args, format);
    error_init(err, code, format, args);
    va_end(args);
    return false;
}

bool
error_set_system(struct error *err, const char *format, ...)
{
    const int saved_errno = errno;
    if (err == NULL) {
        return false;
    }
    va_list args;
    va_start(args, format);
    error_init(err, ERROR_SYSTEM, format, args);
    va_end(args);
    err->sys_errno = saved_errno;
    return false;
}

bool
error_wrap(struct error *err, enum error_code code, const char *format, ...)
{
    if (err == NULL) {
        return false;
    }
    const struct error cause = *err;
    va_list args;
    va_start(args, format);
    error_init(err, code, format, args);
    va_end(args);
    err->cause = cause.code;
    err->sys_errno = cause.sys_errno;
    return false;
}

const char *
error_name(enum error_code code)
{
    if ((unsigned)code >= ERROR_CODE_COUNT) {
        return "unknown";
    }
    char *name = error_names[code];
    if (name[0] != '\0') {
        return name;
    }
    const char *full = error_infos[code].name + strlen("ERROR_");
    size_t i = 0;
    for (; full[i] != '\0' && i + 1 < sizeof(error_names[0]); i++) {
        const bool upper = full[i] >= 'A' && full[i] <= 'Z';
        name[i] = (char)(upper ? full[i] - 'A' + 'a' : full[i]);
    }
    name[i] = '\0';
    return name;
}

const char *
error_text(enum error_code code)
{
    if ((unsigned)code >= ERROR_CODE_COUNT) {
        return "unknown error";
    }
    return error_infos[code].text;
}

const char *
error_describe(const struct error *err, char *buffer, size_t buffer_size)
{
    const char *reason = err->sys_errno != 0 ? strerror(err->sys_errno) : "";
    const char *separator = err->sys_errno != 0 ? ": " : "";
    const bool has_cause = err->cause != ERROR_NONE;
    snprintf(buffer, buffer_size, "%s: %s%s%s%s%s%s", err->subject,
             error_text(err->code), separator, reason, has_cause ? " (" : "",
             has_cause ? error_text(err->cause) : "", has_cause ? ")" : "");
    return buffer;
}
