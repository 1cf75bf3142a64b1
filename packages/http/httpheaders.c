#include "http/httpheaders.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CAPACITY_MIN 16
#define CASE_BIT 0x20 /* differs between upper and lower case */

/* Hop-by-hop fields, and fields that are generated anew for the next hop. */
static const char *const hop_by_hop_fields[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Authentication-Info",
    "Expect",
};

void
http_headers_clear(struct http_headers *headers)
{
    for (size_t i = 0; i < headers->count; i++) {
        /* One allocation holds the name and the value. */
        free((char *)headers->items[i].name);
    }
    free(headers->items);
    *headers = (struct http_headers){0};
}

bool
http_name_equal(const char *a, const char *b)
{
    /* Most names differ in the first letter. */
    return ((a[0] ^ b[0]) & ~CASE_BIT) == 0 && strcasecmp(a, b) == 0;
}

static bool
is_token_char(unsigned char c)
{
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
           (c >= 'a' && c <= 'z') ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_name(const char *name, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (!is_token_char((unsigned char)name[i])) {
            return false;
        }
    }
    return size > 0;
}

static bool
is_value(const char *value, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        const unsigned char c = (unsigned char)value[i];
        if ((c < 0x20 && c != '\t') || c == 0x7f) {
            return false;
        }
    }
    return true;
}

static bool
headers_reserve(struct http_headers *headers)
{
    if (headers->count < headers->capacity) {
        return true;
    }
    const size_t capacity =
        headers->capacity > 0 ? headers->capacity * 2 : CAPACITY_MIN;
    struct http_header *items =
        realloc(headers->items, capacity * sizeof(*items));
    if (items == NULL) {
        return false;
    }
    headers->items = items;
    headers->capacity = capacity;
    return true;
}

bool
http_headers_add_sized(struct http_headers *headers, const char *name,
                       size_t name_size, const char *value, size_t value_size)
{
    if (headers->count >= HTTP_HEADERS_MAX + HTTP_HEADERS_ADDED_MAX ||
        !is_name(name, name_size) || !is_value(value, value_size) ||
        !headers_reserve(headers)) {
        return false;
    }
    char *block = malloc(name_size + value_size + 2);
    if (block == NULL) {
        return false;
    }
    char *value_copy = block + name_size + 1;
    memcpy(block, name, name_size);
    block[name_size] = '\0';
    memcpy(value_copy, value, value_size);
    value_copy[value_size] = '\0';
    headers->items[headers->count++] =
        (struct http_header){.name = block, .value = value_copy};
    return true;
}

bool
http_headers_add(struct http_headers *headers, const char *name,
                 const char *value)
{
    return http_headers_add_sized(headers, name, strlen(name), value,
                                  strlen(value));
}

const char *
http_headers_find(const struct http_headers *headers, const char *name)
{
    for (size_t i = 0; i < headers->count; i++) {
        if (http_name_equal(headers->items[i].name, name)) {
            return headers->items[i].value;
        }
    }
    return NULL;
}

size_t
http_headers_count(const struct http_headers *headers, const char *name)
{
    size_t count = 0;
    for (size_t i = 0; i < headers->count; i++) {
        count += http_name_equal(headers->items[i].name, name);
    }
    return count;
}

bool
http_value_has_token(const char *value, const char *token)
{
    const size_t token_size = strlen(token);
    while (*value != '\0') {
        value += strspn(value, " \t,");
        const size_t size = strcspn(value, " \t,");
        if (size == token_size && strncasecmp(value, token, size) == 0) {
            return true;
        }
        value += size;
    }
    return false;
}

bool
http_headers_have_token(const struct http_headers *headers, const char *name,
                        const char *token)
{
    for (size_t i = 0; i < headers->count; i++) {
        if (http_name_equal(headers->items[i].name, name) &&
            http_value_has_token(headers->items[i].value, token)) {
            return true;
        }
    }
    return false;
}

static bool
is_hop_by_hop_field(const char *name)
{
    const size_t count =
        sizeof(hop_by_hop_fields) / sizeof(hop_by_hop_fields[0]);
    for (size_t i = 0; i < count; i++) {
        if (http_name_equal(hop_by_hop_fields[i], name)) {
            return true;
        }
    }
    return false;
}

bool
http_header_is_end_to_end(const struct http_headers *received,
                          const char *name)
{
    return !http_name_equal(name, "Content-Length") &&
           !is_hop_by_hop_field(name) &&
           !http_headers_have_token(received, "Connection", name);
}

static bool
is_forwarded(const struct http_headers *received, const char *name,
             enum http_forward_kind kind)
{
    if (http_name_equal(name, "Content-Length")) {
        return kind == HTTP_FORWARD_ANSWER_NO_BODY;
    }
    return http_header_is_end_to_end(received, name) &&
           strncasecmp(name, HTTP_PRIVATE_PREFIX,
                       strlen(HTTP_PRIVATE_PREFIX)) != 0;
}

bool
http_headers_forward(struct http_headers *forwarded,
                     const struct http_headers *received,
                     enum http_forward_kind kind)
{
    for (size_t i = 0; i < received->count; i++) {
        const struct http_header *header = &received->items[i];
        if (is_forwarded(received, header->name, kind) &&
            !http_headers_add(forwarded, header->name, header->value)) {
            return false;
        }
    }
    return http_headers_add(forwarded, "Via", HTTP_VIA);
}
