#include "http/httpmessage_internal.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#define HEAD_END "\r\n\r\n"
#define HEAD_END_SIZE 4
#define STATUS_OFFSET 9 /* of the status code in a status line */

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
        http_reader_fail(reader, 431);
    }
}

/** Parses data, the first bytes of input, and drains what was parsed. */
static void
reader_parse(struct http_reader *reader, struct evbuffer *input,
             const void *data, size_t size)
{
    size_t parsed = http_reader_run_parser(reader, data, size);
    const htpparse_error error = htparser_get_error(reader->parser);
    /* The parser counts one byte too many when it stops at the end. */
    parsed = parsed < size ? parsed : size;
    evbuffer_drain(input, parsed);
    if (reader->progress < HTTP_PROGRESS_COMPLETE &&
        error != htparse_error_none && error != htparse_error_user) {
        http_reader_fail(reader, 400);
    }
}

/** True if the head, which ends with HEAD_END, begins with a status line as in
 * RFC 9112, section 4, whose status is from 100 to 599. The reason phrase and
 * the space before it may be missing. The parser itself accepts others. */
static bool
status_line_is_valid(const char *head)
{
    const char *status = head + STATUS_OFFSET;
    return strncmp(head, "HTTP/1.", 7) == 0 &&
           (head[7] == '0' || head[7] == '1') && head[8] == ' ' &&
           status[0] >= '1' && status[0] <= '5' && status[1] >= '0' &&
           status[1] <= '9' && status[2] >= '0' && status[2] <= '9' &&
           (status[3] == ' ' || status[3] == '\r');
}

/** True if the status of a valid status line is 1xx. */
static bool
head_is_interim(const char *head)
{
    return head[STATUS_OFFSET] == '1';
}

bool
http_status_is_final(unsigned status)
{
    return status >= 200 && status <= 599;
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
        http_reader_fail(reader, 400);
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
            http_reader_fail(reader, 431);
        }
        return false;
    }
    const ev_ssize_t size = end.pos + HEAD_END_SIZE;
    const char *head = (const char *)evbuffer_pullup(input, size);
    if (head == NULL) {
        http_reader_fail(reader, 503);
        return false;
    }
    if (reader->kind == HTTP_MESSAGE_ANSWER && !status_line_is_valid(head)) {
        http_reader_fail(reader, 502);
        return false;
    }
    if (reader->kind == HTTP_MESSAGE_ANSWER && head_is_interim(head)) {
        evbuffer_drain(input, (size_t)size);
        count_extra(reader, (size_t)size);
        return reader->progress != HTTP_PROGRESS_FAILED;
    }
    reader_parse(reader, input, head, (size_t)size);
    if (reader->progress < HTTP_PROGRESS_BODY) {
        http_reader_fail(reader, 400);
    }
    return true;
}

/** Appends all input to a body that ends with the connection. */
static void
reader_feed_until_close(struct http_reader *reader, struct evbuffer *input)
{
    struct http_message *message = &reader->message;
    const size_t size = evbuffer_get_length(input);
    if (!http_reader_make_room(reader, size)) {
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
