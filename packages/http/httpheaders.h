/**
 * @file
 * Header fields of HTTP messages, and which of them a proxy passes on
 * (RFC 9110, section 7.6).
 */
#ifndef CHESTNUTGAP_HTTP_HTTPHEADERS_H
#define CHESTNUTGAP_HTTP_HTTPHEADERS_H

#include <stdbool.h>
#include <stddef.h>

#define HTTP_HEADERS_MAX 128 /* fields of one message */
#define HTTP_VIA "1.1 chestnutgap"

/** Prefix of the fields by which the system talks to callers and targets.
 * They are never passed on. */
#define HTTP_PRIVATE_PREFIX "Chestnutgap-"

/** One field. */
struct http_header {
    const char *name;
    const char *value;
};

/** Fields in order. All-zero is empty. */
struct http_headers {
    struct http_header *items;
    size_t count;
    size_t capacity;
};

/** Which message a proxy passes on. */
enum http_forward_kind {
    HTTP_FORWARD_REQUEST,
    HTTP_FORWARD_ANSWER,
    HTTP_FORWARD_ANSWER_NO_BODY, /**< to HEAD, or 304: keeps the length */
};

void http_headers_clear(struct http_headers *headers);

/**
 * Adds a copy of a field.
 *
 * @return false if a character is not allowed or there are too many fields.
 */
bool http_headers_add(struct http_headers *headers, const char *name,
                      const char *value);

/** Like http_headers_add(), with the lengths in bytes. */
bool http_headers_add_sized(struct http_headers *headers, const char *name,
                            size_t name_size, const char *value,
                            size_t value_size);

/** True if the names are the same in any case. */
bool http_name_equal(const char *a, const char *b);

/** Value of the first field of that name (in any case), or NULL. */
const char *http_headers_find(const struct http_headers *headers,
                              const char *name);

/** True if the comma-separated list in value has the token (in any case). */
bool http_value_has_token(const char *value, const char *token);

/** True if any field of that name lists the token. */
bool http_headers_have_token(const struct http_headers *headers,
                             const char *name, const char *token);

/** True if a received field is not of the connection, so that a proxy passes
 * it on. Lengths are not. */
bool http_header_is_end_to_end(const struct http_headers *received,
                               const char *name);

/**
 * Adds to passed the fields of received that go to the next hop, and Via.
 * Fields of the connection, those that Connection lists, lengths that are
 * recomputed, and private fields stay behind.
 */
bool http_headers_forward(struct http_headers *passed,
                          const struct http_headers *received,
                          enum http_forward_kind direction);

#endif
