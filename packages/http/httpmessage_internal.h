/**
 * @file
 * Shared by the reader, which feeds the parser (httpmessage.c), and the
 * callbacks of the parser (httpmessageparser.c).
 */
#ifndef CHESTNUTGAP_HTTP_HTTPMESSAGE_INTERNAL_H
#define CHESTNUTGAP_HTTP_HTTPMESSAGE_INTERNAL_H

#include <stdint.h>

#include <evhtp/parser.h>

#include "http/httpmessage.h"

#define FIELD_NAME_MAX_BYTES 256

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

/** Fails the message unless it has failed already. status is for its sender.
 * @return -1, which stops the parser. */
int http_reader_fail(struct http_reader *reader, unsigned status);

/** Makes room for size more bytes of the body, or fails the message. */
bool http_reader_make_room(struct http_reader *reader, size_t size);

/** Parses data. @return the number of bytes that were parsed. */
size_t http_reader_run_parser(struct http_reader *reader, const void *data,
                              size_t size);

#endif
