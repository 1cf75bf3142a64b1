/**
 * @file
 * Parses complete HTTP/1 messages with libevhtp's parser, for the server and
 * the client.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPMESSAGE_H
#define CHESTNUTGAP_HTTP_HTTPMESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "http/httpheaders.h"

#define HTTP_METHOD_SIZE 32        /* bytes of a method, with the terminator */
#define HTTP_TARGET_MAX_BYTES 8192 /* of path and query */
#define HTTP_HEAD_MAX_BYTES 65536  /* before the body */
/* Of one message: empty lines and interim answers before its head, the framing
 * of chunks, and trailers; besides, some bytes for each byte of the body. */
#define HTTP_EXTRA_MAX_BYTES 65536
#define HTTP_EXTRA_PER_BODY_BYTE 8

struct evbuffer;

enum http_message_kind {
    HTTP_MESSAGE_REQUEST,
    HTTP_MESSAGE_ANSWER,
};

/** Parsing state of a message. */
enum http_progress {
    HTTP_PROGRESS_NOT_STARTED,
    HTTP_PROGRESS_HEADERS, /**< reading headers */
    HTTP_PROGRESS_BODY,    /**< headers complete */
    HTTP_PROGRESS_COMPLETE,
    HTTP_PROGRESS_FAILED,
};

/** A message, valid until the next http_reader_reset(). */
struct http_message {
    char method[HTTP_METHOD_SIZE];
    char *path;      /**< of a request, without query, still percent-encoded */
    char *query;     /**< of a request, without "?"; NULL if there is none */
    unsigned status; /**< of an answer */
    bool keep_alive; /**< the connection persists after this message */
    bool http_1_0;   /**< of a request */
    bool expects_100; /**< Expect: 100-continue */
    struct http_headers headers;
    char *body; /**< contiguous; NULL if empty */
    size_t body_size;
    size_t body_capacity;
};

/** True for the status codes that an answer other than an interim one may
 * have. */
bool http_status_is_final(unsigned status);

/** Parser of the successive messages of a connection. */
struct http_reader;

/** body_max_bytes: limit of a body. NULL if out of memory. */
struct http_reader *http_reader_create(enum http_message_kind kind,
                                       size_t body_max_bytes);
void http_reader_destroy(struct http_reader *reader);

/** Frees the message and prepares for the next one. */
void http_reader_reset(struct http_reader *reader);

/** The next answer has no body, as after a HEAD request. */
void http_reader_expect_no_body(struct http_reader *reader);

/**
 * Consumes input, at most to the end of the message. The head is consumed
 * only when it is complete. Interim (1xx) answers are skipped.
 */
void http_reader_feed(struct http_reader *reader, struct evbuffer *input);

/** Accepts answers without a length, whose body ends when the connection
 * closes. */
void http_reader_allow_body_until_close(struct http_reader *reader);

/**
 * Completes an answer without a length after an orderly close.
 *
 * @return false if the message is incomplete.
 */
bool http_reader_finish_at_close(struct http_reader *reader);

enum http_progress http_reader_progress(const struct http_reader *reader);

/** Status code for the sender of a failed request: 400, 413, ... */
unsigned http_reader_failure(const struct http_reader *reader);

const struct http_message *
http_reader_message(const struct http_reader *reader);

/** Detaches the body, to be freed with free(). */
char *http_reader_take_body(struct http_reader *reader, size_t *size);

#endif
