/**
 * @file
 * Header fields of HTTP messages, and which of them a proxy forwards
 * (RFC 9110, section 7.6).
 */
#ifndef CHESTNUTGAP_HTTP_HTTPHEADERS_H
#define CHESTNUTGAP_HTTP_HTTPHEADERS_H

#include <stdbool.h>
#include <stddef.h>

#define HTTP_HEADERS_MAX 128     /* fields of a message that is read */
#define HTTP_HEADERS_ADDED_MAX 8 /* more, of one that is passed on */
#define HTTP_VIA "1.1 chestnutgap"

/** Prefix of the fields that chestnutgap exchanges with callers and targets;
 * never forwarded. */
#define HTTP_PRIVATE_PREFIX "Chestnutgap-"

struct http_header {
    const char *name;
    const char *value;
};

/** Fields in order. Zero-initialized is empty. */
struct http_headers {
    struct http_header *items;
    size_t count;
    size_t capacity;
};

/** Kind of message that a proxy forwards. */
enum http_forward_kind {
    HTTP_FORWARD_REQUEST,
    HTTP_FORWARD_ANSWER,
    HTTP_FORWARD_ANSWER_NO_BODY, /**< to HEAD, or 304: keeps Content-Length */
};

void http_headers_clear(struct http_headers *headers);

/**
 * Adds a copy of a field.
 *
 * @return false on an invalid character, too many fields or out of memory.
 */
bool http_headers_add(struct http_headers *headers, const char *name,
                      const char *value);

/** Like http_headers_add(), with the lengths in bytes. */
bool http_headers_add_sized(struct http_headers *headers, const char *name,
                            size_t name_size, const char *value,
                            size_t value_size);

/** Compares field names, ignoring case. */
bool http_name_equal(const char *a, const char *b);

/** Value of the first field of that name (ignoring case), or NULL. */
const char *http_headers_find(const struct http_headers *headers,
                              const char *name);

/** Number of fields of that name (ignoring case). */
size_t http_headers_count(const struct http_headers *headers,
                          const char *name);

/** True if the comma-separated list has the token (ignoring case). */
bool http_value_has_token(const char *value, const char *token);

/** True if any field of that name lists the token. */
bool http_headers_have_token(const struct http_headers *headers,
                             const char *name, const char *token);

/** True if a received field is end-to-end (RFC 9110, section 7.6.1) and not
 * Content-Length. */
bool http_header_is_end_to_end(const struct http_headers *received,
                               const char *name);

/**
 * Adds to forwarded the fields of received that go to the next hop, and
 * Via. Leaves out hop-by-hop fields, those that Connection lists, recomputed
 * lengths and fields with HTTP_PRIVATE_PREFIX.
 */
bool http_headers_forward(struct http_headers *forwarded,
                          const struct http_headers *received,
                          enum http_forward_kind kind);

#endif
