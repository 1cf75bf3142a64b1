/* Callbacks of libevhtp's parser: they fill the message, determine how its
 * body is delimited and refuse what is invalid or too large. */
#include "http/httpmessage_internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define BODY_CAPACITY_MIN_BYTES 4096
#define BODY_PREALLOCATED_MAX_BYTES (1u << 20)

int
http_reader_fail(struct http_reader *reader, unsigned status)
{
    if (reader->progress != HTTP_PROGRESS_FAILED) {
        reader->progress = HTTP_PROGRESS_FAILED;
        reader->failure = status;
    }
    return -1;
}

static int
on_begin(htparser *parser)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    reader->progress = HTTP_PROGRESS_HEADERS;
    return 0;
}

static int
on_method(htparser *parser, const char *data, size_t size)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    if (size >= sizeof(reader->message.method)) {
        return http_reader_fail(reader, 501);
    }
    memcpy(reader->message.method, data, size);
    reader->message.method[size] = '\0';
    return 0;
}

static int
set_text(struct http_reader *reader, char **text, const char *data,
         size_t size)
{
    free(*text);
    *text = size <= HTTP_TARGET_MAX_BYTES ? strndup(data, size) : NULL;
    return *text != NULL ? 0 : http_reader_fail(reader, 414);
}

static int
on_path(htparser *parser, const char *data, size_t size)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    return set_text(reader, &reader->message.path, data, size);
}

static int
on_query(htparser *parser, const char *data, size_t size)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    return set_text(reader, &reader->message.query, data, size);
}

static int
on_header_name(htparser *parser, const char *data, size_t size)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    if (reader->progress == HTTP_PROGRESS_BODY) {
        /* The parser may stop within trailers, so no message can follow them
         * on this connection. */
        reader->message.keep_alive = false;
        return 0;
    }
    if (size > sizeof(reader->name)) {
        return http_reader_fail(reader, 431);
    }
    memcpy(reader->name, data, size);
    reader->name_size = size;
    return 0;
}

static int
on_header_value(htparser *parser, const char *data, size_t size)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    if (reader->progress == HTTP_PROGRESS_BODY) {
        return 0;
    }
    while (size > 0 && (data[size - 1] == ' ' || data[size - 1] == '\t')) {
        size--;
    }
    if (reader->message.headers.count >= HTTP_HEADERS_MAX) {
        return http_reader_fail(reader, 431);
    }
    if (!http_headers_add_sized(&reader->message.headers, reader->name,
                                reader->name_size, data, size)) {
        return http_reader_fail(reader, 400);
    }
    return 0;
}

static bool
parse_length(const char *text, uint64_t *length)
{
    uint64_t value = 0;
    if (*text == '\0') {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (*text < '0' || *text > '9' || value > UINT64_MAX / 16) {
            return false;
        }
        value = value * 10 + (uint64_t)(*text - '0');
    }
    *length = value;
    return true;
}

/** Determines how the body is delimited; rejects ambiguous framing. */
static bool
reader_set_body_framing(struct http_reader *reader)
{
    const struct http_headers *headers = &reader->message.headers;
    for (size_t i = 0; i < headers->count; i++) {
        const struct http_header *header = &headers->items[i];
        uint64_t length;
        if (http_name_equal(header->name, "Content-Length")) {
            if (!parse_length(header->value, &length) ||
                (reader->has_length && length != reader->length)) {
                http_reader_fail(reader, 400);
                return false;
            }
            reader->has_length = true;
            reader->length = length;
        }
        else if (http_name_equal(header->name, "Transfer-Encoding")) {
            if (reader->chunked || strcasecmp(header->value, "chunked") != 0) {
                http_reader_fail(reader, 501);
                return false;
            }
            reader->chunked = true;
        }
    }
    if (reader->has_length && reader->chunked) {
        http_reader_fail(reader, 400);
        return false;
    }
    return true;
}

/** The parser also accepts a request line without a path. */
static bool
request_line_is_valid(const struct http_reader *reader)
{
    const struct http_message *message = &reader->message;
    return reader->kind == HTTP_MESSAGE_ANSWER ||
           (message->method[0] != '\0' && message->path != NULL &&
            message->path[0] == '/');
}

/** True if the end of the body doesn't depend on the connection's close. */
static bool
answer_is_delimited(const struct http_reader *reader)
{
    return reader->kind == HTTP_MESSAGE_REQUEST || reader->has_length ||
           reader->chunked;
}

static bool
answer_has_no_body(const struct http_reader *reader)
{
    const unsigned status = reader->message.status;
    return reader->kind == HTTP_MESSAGE_ANSWER &&
           (reader->no_body || status == 204 || status == 304);
}

static bool
reserve_body(struct http_reader *reader, size_t size)
{
    struct http_message *message = &reader->message;
    if (size <= message->body_capacity) {
        return true;
    }
    size_t capacity = message->body_capacity > 0 ? message->body_capacity
                                                 : BODY_CAPACITY_MIN_BYTES;
    while (capacity < size) {
        capacity *= 2;
    }
    if (reader->has_length && capacity > reader->length) {
        capacity = reader->length;
    }
    char *body = realloc(message->body, capacity);
    if (body == NULL) {
        return false;
    }
    message->body = body;
    message->body_capacity = capacity;
    return true;
}

static int
on_headers_complete(htparser *parser)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    struct http_message *message = &reader->message;
    if (reader->progress == HTTP_PROGRESS_BODY) {
        return 0; /* trailers of a chunked message */
    }
    message->status = htparser_get_status(parser);
    message->keep_alive = htparser_should_keep_alive(parser) != 0;
    message->http_1_0 = htparser_get_minor(parser) == 0;
    if (!request_line_is_valid(reader)) {
        return http_reader_fail(reader, 400);
    }
    if (!reader_set_body_framing(reader)) {
        return -1;
    }
    if (answer_has_no_body(reader)) {
        reader->progress = HTTP_PROGRESS_COMPLETE;
        return -1;
    }
    if (!answer_is_delimited(reader)) {
        if (!reader->allow_body_until_close) {
            return http_reader_fail(reader, 502);
        }
        /* RFC 9112, section 6.3: the body ends with the connection. It
         * bypasses the parser. */
        reader->body_until_close = true;
        message->keep_alive = false;
        reader->progress = HTTP_PROGRESS_BODY;
        return -1;
    }
    if (reader->has_length && reader->length > reader->body_max_bytes) {
        return http_reader_fail(reader, 413);
    }
    message->expects_100 =
        http_headers_have_token(&message->headers, "Expect", "100-continue");
    reader->progress = HTTP_PROGRESS_BODY;
    const bool preallocate =
        reader->has_length && reader->length <= BODY_PREALLOCATED_MAX_BYTES;
    return !preallocate || reserve_body(reader, reader->length)
               ? 0
               : http_reader_fail(reader, 503);
}

bool
http_reader_make_room(struct http_reader *reader, size_t size)
{
    const struct http_message *message = &reader->message;
    if (size > reader->body_max_bytes - message->body_size) {
        http_reader_fail(reader, 413);
        return false;
    }
    if (!reserve_body(reader, message->body_size + size)) {
        http_reader_fail(reader, 503);
        return false;
    }
    return true;
}

static int
on_body(htparser *parser, const char *data, size_t size)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    struct http_message *message = &reader->message;
    if (!http_reader_make_room(reader, size)) {
        return -1;
    }
    memcpy(message->body + message->body_size, data, size);
    message->body_size += size;
    return 0;
}

static int
on_complete(htparser *parser)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    if (reader->progress == HTTP_PROGRESS_BODY) {
        const bool short_body =
            reader->has_length && reader->message.body_size != reader->length;
        if (short_body) {
            return http_reader_fail(reader, 400);
        }
        reader->progress = HTTP_PROGRESS_COMPLETE;
    }
    return -1; /* stops the parser at the end of the message */
}

static htparse_hooks hooks = {
    .on_msg_begin = on_begin,
    .method = on_method,
    .path = on_path,
    .args = on_query,
    .hdr_key = on_header_name,
    .hdr_val = on_header_value,
    .on_hdrs_complete = on_headers_complete,
    .body = on_body,
    .on_msg_complete = on_complete,
};

size_t
http_reader_run_parser(struct http_reader *reader, const void *data,
                       size_t size)
{
    return htparser_run(reader->parser, &hooks, data, size);
}
