#include "http/httpwriter.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <event2/buffer.h>

#include "http/httpproblem.h"

#define PIECE_MAX_BYTES (64u << 10)
#define DATE_SIZE 40 /* bytes of a Date value, with the terminator */

static void
add_text(struct evbuffer *output, const char *text)
{
    evbuffer_add(output, text, strlen(text));
}

static void
add_field(struct evbuffer *output, const char *name, const char *value)
{
    add_text(output, name);
    evbuffer_add(output, ": ", 2);
    add_text(output, value);
    evbuffer_add(output, "\r\n", 2);
}

static void
add_length(struct evbuffer *output, size_t size)
{
    char text[24];
    snprintf(text, sizeof(text), "%zu", size);
    add_field(output, "Content-Length", text);
}

static bool
is_field(const struct http_header *header, const char *name)
{
    return http_name_equal(header->name, name);
}

static bool
has_field(const struct http_header *headers, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (is_field(&headers[i], name)) {
            return true;
        }
    }
    return false;
}

/** Writes the fields except those that the writer sets itself. */
static void
add_fields(struct evbuffer *output, const struct http_header *headers,
           size_t count, bool keep_length)
{
    for (size_t i = 0; i < count; i++) {
        const struct http_header *header = &headers[i];
        const bool skipped =
            is_field(header, "Connection") ||
            is_field(header, "Transfer-Encoding") ||
            (!keep_length && is_field(header, "Content-Length"));
        if (!skipped) {
            add_field(output, header->name, header->value);
        }
    }
}

static void
add_date(struct evbuffer *output)
{
    static time_t formatted_at;
    static char text[DATE_SIZE];
    const time_t now = time(NULL);
    if (now != formatted_at) {
        struct tm utc;
        gmtime_r(&now, &utc);
        strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &utc);
        formatted_at = now;
    }
    add_field(output, "Date", text);
}

/** Adds a body in pieces, each of which is freed once it is sent. */
static void
add_body(struct evbuffer *output, const char *body, size_t size)
{
    while (size > 0) {
        const size_t piece = size < PIECE_MAX_BYTES ? size : PIECE_MAX_BYTES;
        evbuffer_add(output, body, piece);
        body += piece;
        size -= piece;
    }
}

static bool
status_forbids_body(unsigned status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

void
http_write_answer(struct evbuffer *output, const struct http_answer *answer)
{
    char line[96];
    snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", answer->status,
             http_status_text(answer->status));
    add_text(output, line);
    const bool no_body =
        answer->to_head || status_forbids_body(answer->status);
    add_fields(output, answer->headers, answer->header_count, no_body);
    if (!has_field(answer->headers, answer->header_count, "Date")) {
        add_date(output);
    }
    const bool has_length =
        no_body &&
        has_field(answer->headers, answer->header_count, "Content-Length");
    if (!status_forbids_body(answer->status) && !has_length) {
        add_length(output, answer->body_size);
    }
    if (answer->close) {
        add_text(output, "Connection: close\r\n");
    }
    else if (answer->keep_alive) {
        add_text(output, "Connection: keep-alive\r\n");
    }
    evbuffer_add(output, "\r\n", 2);
    if (!no_body) {
        add_body(output, answer->body, answer->body_size);
    }
}

static bool
method_expects_body(const char *method)
{
    return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
           strcmp(method, "PATCH") == 0;
}

void
http_write_request(struct evbuffer *output,
                   const struct http_outgoing_request *request)
{
    add_text(output, request->method);
    evbuffer_add(output, " ", 1);
    add_text(output, request->target);
    add_text(output, " HTTP/1.1\r\n");
    if (!has_field(request->headers, request->header_count, "Host")) {
        add_field(output, "Host", request->host);
    }
    add_fields(output, request->headers, request->header_count, false);
    if (request->body_size > 0 || method_expects_body(request->method)) {
        add_length(output, request->body_size);
    }
    evbuffer_add(output, "\r\n", 2);
    add_body(output, request->body, request->body_size);
}
