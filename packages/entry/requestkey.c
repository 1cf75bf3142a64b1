#include "entry/requestkey.h"

#include <string.h>

#include "base/timeunits.h"

#define DEADLINE_DIGITS_MAX 9

struct span {
    const char *start;
    size_t size;
};

static int
hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

/* Decodes %XX, and "+" as a space in queries. */
static bool
span_decode(const struct span *span, bool query, char *out, size_t *size)
{
    size_t used = 0;
    for (size_t i = 0; i < span->size; i++) {
        char c = span->start[i];
        if (c == '+' && query) {
            c = ' ';
        }
        else if (c == '%') {
            const int high =
                i + 2 < span->size ? hex_digit(span->start[i + 1]) : -1;
            const int low =
                i + 2 < span->size ? hex_digit(span->start[i + 2]) : -1;
            if (high < 0 || low < 0) {
                return false;
            }
            c = (char)(high * 16 + low);
            i += 2;
        }
        if (c == '\0' || used == REQUESTKEY_BYTES_MAX) {
            return false;
        }
        out[used++] = c;
    }
    out[used] = '\0';
    *size = used;
    return true;
}

static bool
find_segment(const char *target, unsigned number, struct span *span)
{
    const char *position = target;
    for (unsigned i = 0; *position == '/'; i++) {
        position++;
        span->start = position;
        span->size = strcspn(position, "/?#");
        if (i == number) {
            return span->size > 0;
        }
        position += span->size;
    }
    return false;
}

static bool
find_parameter(const char *target, const char *name, struct span *span)
{
    const char *position = strchr(target, '?');
    while (position != NULL && *position != '\0' && *position != '#') {
        position++;
        const struct span encoded_name = {position, strcspn(position, "=&#")};
        const char *end = position + strcspn(position, "&#");
        char decoded[REQUESTKEY_BYTES_MAX + 1];
        size_t size;
        if (span_decode(&encoded_name, true, decoded, &size) &&
            strcmp(decoded, name) == 0) {
            span->start = position + encoded_name.size +
                          (position[encoded_name.size] == '=');
            span->size = (size_t)(end - span->start);
            return true;
        }
        position = *end == '&' ? end : NULL;
    }
    return false;
}

static bool
find_key(const struct state_service *service,
         const struct requestkey_source *source, struct span *span)
{
    const char *value;
    switch (service->key_source) {
    case STATE_KEY_NONE:
        break;
    case STATE_KEY_HEADER:
        value = source->header(source->header_ctx, service->key_name);
        if (value == NULL) {
            return false;
        }
        *span = (struct span){value, strlen(value)};
        return span->size > 0;
    case STATE_KEY_QUERY:
        return find_parameter(source->target, service->key_name, span);
    case STATE_KEY_PATH:
        return find_segment(source->target, service->key_segment, span);
    }
    return false;
}

static bool
read_key(const struct state_service *service,
         const struct requestkey_source *source, struct requestkey *key,
         struct error *err)
{
    struct span span;
    if (!find_key(service, source, &span)) {
        return error_set(err, ERROR_KEY_MISSING, "%s", service->name);
    }
    bool valid;
    if (service->key_source == STATE_KEY_HEADER) {
        valid = span.size <= REQUESTKEY_BYTES_MAX;
        if (valid) {
            memcpy(key->key, span.start, span.size);
            key->key_size = span.size;
        }
    }
    else {
        valid = span_decode(&span, service->key_source == STATE_KEY_QUERY,
                            key->key, &key->key_size);
    }
    if (!valid || key->key_size == 0) {
        return error_set(err, ERROR_KEY_INVALID, "%s", service->name);
    }
    key->keyed = true;
    return true;
}

static bool
read_id(const struct state_service *service,
        const struct requestkey_source *source, struct requestkey *key,
        struct error *err)
{
    const char *id = source->header(source->header_ctx, REQUESTKEY_ID_HEADER);
    if (id == NULL) {
        if (service->require_id && !key->idempotent) {
            return error_set(err, ERROR_ID_MISSING, "%s", service->name);
        }
        return true;
    }
    const size_t size = strlen(id);
    bool printable = true;
    for (size_t i = 0; i < size; i++) {
        printable = printable && id[i] > ' ' && id[i] < 0x7f;
    }
    if (size == 0 || size > REQUESTKEY_BYTES_MAX || !printable) {
        return error_set(err, ERROR_ID_INVALID, "%s", service->name);
    }
    memcpy(key->id, id, size + 1);
    return true;
}

static bool
read_deadline(const struct state_service *service,
              const struct requestkey_source *source, struct requestkey *key,
              struct error *err)
{
    key->remaining_us = service->deadline_us;
    const char *text =
        source->header(source->header_ctx, REQUESTKEY_DEADLINE_HEADER);
    if (text == NULL) {
        return true;
    }
    const size_t digits = strspn(text, "0123456789");
    if (digits == 0 || digits > DEADLINE_DIGITS_MAX || text[digits] != '\0') {
        return error_set(err, ERROR_DEADLINE_INVALID, "%.40s", text);
    }
    int64_t value_ms = 0;
    for (size_t i = 0; i < digits; i++) {
        value_ms = value_ms * 10 + (text[i] - '0');
    }
    key->remaining_us = value_ms * US_PER_MS;
    if (key->remaining_us > service->deadline_max_us) {
        key->remaining_us = service->deadline_max_us;
    }
    return true;
}

bool
requestkey_read(const struct state_service *service,
                const struct requestkey_source *source, struct requestkey *key,
                struct error *err)
{
    *key = (struct requestkey){0};
    key->idempotent = state_is_idempotent(service, source->method);
    if (!read_id(service, source, key, err) ||
        !read_deadline(service, source, key, err)) {
        return false;
    }
    if (service->key_source != STATE_KEY_NONE) {
        return read_key(service, source, key, err);
    }
    if (!key->idempotent && key->id[0] != '\0') {
        key->keyed = true;
        key->key_size = strlen(key->id);
        memcpy(key->key, key->id, key->key_size + 1);
    }
    return true;
}
