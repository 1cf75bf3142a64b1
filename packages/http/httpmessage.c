#include "http/httpmessage.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>
#include <evhtp/parser.h>

#define HEAD_END "\r\n\r\n"
#define HEAD_END_SIZE 4
#define FIELD_NAME_MAX_BYTES 256
#define BODY_CAPACITY_MIN_BYTES 4096
#define BODY_PREALLOCATED_MAX (1u << 20) /* bytes */

struct http_reader {
    enum http_message_kind kind;
    size_t body_max_bytes;
    htparser *parser;
    bool no_body;
    bool allow_body_until_close;
    enum http_progress progress;
    unsigned failure;
    bool has_length;
    uint64_t length;
    bool chunked;
    size_t extra_bytes;              /* as limited by HTTP_EXTRA_MAX_BYTES */
    bool body_until_close;           /* body ends with the connection */
    char name[FIELD_NAME_MAX_BYTES]; /* of the field whose value follows */
    size_t name_size;
    struct http_message message;
};

static int
reader_fail(struct http_reader *reader, unsigned status)
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
        return reader_fail(reader, 501);
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
    return *text != NULL ? 0 : reader_fail(reader, 414);
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
        return reader_fail(reader, 431);
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
    const size_t count = reader->message.headers.count;
    if (!http_headers_add_sized(&reader->message.headers, reader->name,
                                reader->name_size, data, size)) {
        return reader_fail(reader, count >= HTTP_HEADERS_MAX ? 431 : 400);
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
                reader_fail(reader, 400);
                return false;
            }
            reader->has_length = true;
            reader->length = length;
        }
        else if (http_name_equal(header->name, "Transfer-Encoding")) {
            if (reader->chunked || strcasecmp(header->value, "chunked") != 0) {
                reader_fail(reader, 501);
                return false;
            }
            reader->chunked = true;
        }
    }
    if (reader->has_length && reader->chunked) {
        reader_fail(reader, 400);
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
        return reader_fail(reader, 400);
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
            return reader_fail(reader, 502);
        }
        /* RFC 9112, section 6.3: the body ends with the connection. It
         * bypasses the parser. */
        reader->body_until_close = true;
        message->keep_alive = false;
        reader->progress = HTTP_PROGRESS_BODY;
        return -1;
    }
    if (reader->has_length && reader->length > reader->body_max_bytes) {
        return reader_fail(reader, 413);
    }
    message->expects_100 =
        http_headers_have_token(&message->headers, "Expect", "100-continue");
    reader->progress = HTTP_PROGRESS_BODY;
    const bool preallocate =
        reader->has_length && reader->length <= BODY_PREALLOCATED_MAX;
    return !preallocate || reserve_body(reader, reader->length)
               ? 0
               : reader_fail(reader, 503);
}

static int
on_body(htparser *parser, const char *data, size_t size)
{
    struct http_reader *reader = htparser_get_userdata(parser);
    struct http_message *message = &reader->message;
    if (size > reader->body_max_bytes - message->body_size) {
        return reader_fail(reader, 413);
    }
    if (!reserve_body(reader, message->body_size + size)) {
        return reader_fail(reader, 503);
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
            return reader_fail(reader, 400);
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

static void
reader_restart(struct http_reader *reader)
{
    struct http_message *message = &reader->message;
    htparser_init(reader->parser, reader->kind == HTTP_MESSAGE_REQUEST
                                      ? htp_type_request
                                      : htp_type_response);
    htparser_set_userdata(reader->parser, reader);
    free(message->path);
    free(message->query);
    free(message->body);
    http_headers_clear(&message->headers);
    reader->message = (struct http_message){0};
    reader->name_size = 0;
    reader->progress = HTTP_PROGRESS_NOT_STARTED;
    reader->failure = 0;
    reader->has_length = false;
    reader->length = 0;
    reader->chunked = false;
    reader->extra_bytes = 0;
    reader->body_until_close = false;
}

struct http_reader *
http_reader_create(enum http_message_kind kind, size_t body_max_bytes)
{
    struct http_reader *reader = calloc(1, sizeof(*reader));
    if (reader == NULL) {
        return NULL;
    }
    reader->kind = kind;
    reader->body_max_bytes = body_max_bytes;
    reader->parser = htparser_new();
    if (reader->parser == NULL) {
        free(reader);
        return NULL;
    }
    http_reader_reset(reader);
    return reader;
}

void
http_reader_destroy(struct http_reader *reader)
{
    if (reader == NULL) {
        return;
    }
    reader_restart(reader);
    free(reader->parser);
    free(reader);
}

void
http_reader_reset(struct http_reader *reader)
{
    reader_restart(reader);
    reader->no_body = false;
}

void
http_reader_expect_no_body(struct http_reader *reader)
{
    reader->no_body = true;
}

/** Counts bytes that belong neither to a head nor to a body. */
static void
count_extra(struct http_reader *reader, size_t size)
{
    const size_t allowed =
        HTTP_EXTRA_MAX_BYTES +
        HTTP_EXTRA_PER_BODY_BYTE * reader->message.body_size;
    reader->extra_bytes += size;
    if (reader->extra_bytes > allowed) {
        reader_fail(reader, 431);
    }
}

/** Parses data, the first bytes of input, and drains what was parsed. */
static void
reader_parse(struct http_reader *reader, struct evbuffer *input,
             const void *data, size_t size)
{
    size_t parsed = htparser_run(reader->parser, &hooks, data, size);
    const htpparse_error error = htparser_get_error(reader->parser);
    /* The parser counts one byte too many when it stops at the end. */
    parsed = parsed < size ? parsed : size;
    evbuffer_drain(input, parsed);
    if (reader->progress < HTTP_PROGRESS_COMPLETE &&
        error != htparse_error_none && error != htparse_error_user) {
        reader_fail(reader, 400);
    }
}

/** True if the status is 1xx; head ends with HEAD_END. */
static bool
head_is_interim(const unsigned char *head)
{
    return strncmp((const char *)head, "HTTP/1.", 7) == 0 &&
           strchr("01", head[7]) != NULL && head[8] == ' ' && head[9] == '1';
}

static void
skip_empty_lines(struct http_reader *reader, struct evbuffer *input)
{
    char c;
    while (reader->progress != HTTP_PROGRESS_FAILED &&
           evbuffer_copyout(input, &c, 1) == 1 && (c == '\r' || c == '\n')) {
        evbuffer_drain(input, 1);
        count_extra(reader, 1);
    }
}

/** Parses a piece of a body with its framing. */
static void
reader_feed_body(struct http_reader *reader, struct evbuffer *input,
                 const void *data, size_t size)
{
    const size_t body_before = reader->message.body_size;
    const size_t input_before = evbuffer_get_length(input);
    reader_parse(reader, input, data, size);
    const size_t parsed = input_before - evbuffer_get_length(input);
    if (reader->progress != HTTP_PROGRESS_BODY) {
        return;
    }
    if (parsed == 0) {
        reader_fail(reader, 400);
        return;
    }
    count_extra(reader, parsed - (reader->message.body_size - body_before));
}

/**
 * Parses the head. It must be passed in one piece: the parser repeats bytes
 * of a path that is split.
 *
 * @return false if more input is needed.
 */
static bool
reader_feed_head(struct http_reader *reader, struct evbuffer *input)
{
    skip_empty_lines(reader, input);
    if (reader->progress == HTTP_PROGRESS_FAILED) {
        return false;
    }
    const struct evbuffer_ptr end =
        evbuffer_search(input, HEAD_END, HEAD_END_SIZE, NULL);
    const size_t available = evbuffer_get_length(input);
    if (end.pos < 0 || end.pos > HTTP_HEAD_MAX_BYTES) {
        if (available > HTTP_HEAD_MAX_BYTES) {
            reader_fail(reader, 431);
        }
        return false;
    }
    const ev_ssize_t size = end.pos + HEAD_END_SIZE;
    const unsigned char *head = evbuffer_pullup(input, size);
    if (head == NULL) {
        reader_fail(reader, 503);
        return false;
    }
    if (reader->kind == HTTP_MESSAGE_ANSWER && head_is_interim(head)) {
        evbuffer_drain(input, (size_t)size);
        count_extra(reader, (size_t)size);
        return reader->progress != HTTP_PROGRESS_FAILED;
    }
    reader_parse(reader, input, head, (size_t)size);
    if (reader->progress < HTTP_PROGRESS_BODY) {
        reader_fail(reader, 400);
    }
    return true;
}

/** Appends all input to a body that ends with the connection. */
static void
reader_feed_until_close(struct http_reader *reader, struct evbuffer *input)
{
    struct http_message *message = &reader->message;
    const size_t size = evbuffer_get_length(input);
    if (size > reader->body_max_bytes - message->body_size) {
        reader_fail(reader, 413);
        return;
    }
    if (!reserve_body(reader, message->body_size + size)) {
        reader_fail(reader, 503);
        return;
    }
    evbuffer_remove(input, message->body + message->body_size, size);
    message->body_size += size;
}

void
http_reader_allow_body_until_close(struct http_reader *reader)
{
    reader->allow_body_until_close = true;
}

bool
http_reader_finish_at_close(struct http_reader *reader)
{
    if (!reader->body_until_close || reader->progress != HTTP_PROGRESS_BODY) {
        return false;
    }
    reader->progress = HTTP_PROGRESS_COMPLETE;
    return true;
}

void
http_reader_feed(struct http_reader *reader, struct evbuffer *input)
{
    while (reader->progress < HTTP_PROGRESS_BODY) {
        if (!reader_feed_head(reader, input)) {
            return;
        }
    }
    if (reader->body_until_close && reader->progress == HTTP_PROGRESS_BODY) {
        if (evbuffer_get_length(input) > 0) {
            reader_feed_until_close(reader, input);
        }
        return;
    }
    struct evbuffer_iovec piece;
    while (reader->progress == HTTP_PROGRESS_BODY &&
           evbuffer_peek(input, -1, NULL, &piece, 1) > 0) {
        reader_feed_body(reader, input, piece.iov_base, piece.iov_len);
    }
}

enum http_progress
http_reader_progress(const struct http_reader *reader)
{
    return reader->progress;
}

unsigned
http_reader_failure(const struct http_reader *reader)
{
    return reader->failure;
}

const struct http_message *
http_reader_message(const struct http_reader *reader)
{
    return &reader->message;
}

char *
http_reader_take_body(struct http_reader *reader, size_t *size)
{
    char *body = reader->message.body;
    *size = reader->message.body_size;
    reader->message.body = NULL;
    reader->message.body_size = 0;
    reader->message.body_capacity = 0;
    return body;
}
