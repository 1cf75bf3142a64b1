/**
 * @file
 * Reading of whole HTTP/1 messages with libevhtp's parser, for the server
 * and the client of this package.
 */
#ifndef CHESTNUTGAP_HTTP_HTTPMESSAGE_H
#define CHESTNUTGAP_HTTP_HTTPMESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "http/httpheaders.h"

#define HTTP_METHOD_SIZE 32        /* bytes of a method, with the terminator */
#define HTTP_TARGET_MAX_BYTES 8192 /* bytes of a path with its query */
#define HTTP_HEAD_MAX_BYTES 65536  /* bytes before the body */

struct evbuffer;

enum http_message_kind {
    HTTP_MESSAGE_REQUEST,
    HTTP_MESSAGE_ANSWER,
};

/** How far a message has been read. */
enum http_progress {
    HTTP_PROGRESS_NOT_STARTED, /**< not begun */
    HTTP_PROGRESS_HEADERS,     /**< within the headers */
    HTTP_PROGRESS_BODY,        /**< headers are whole */
    HTTP_PROGRESS_COMPLETE,
    HTTP_PROGRESS_FAILED,
};

/** A message, valid up to the next http_reader_reset(). */
struct http_message {
    char method[HTTP_METHOD_SIZE];
    char *path;       /**< of a request, without the query, not decoded */
    char *query;      /**< of a request, without "?"; NULL if there is none */
    unsigned status;  /**< of an answer */
    bool keep_alive;  /**< the sender lets the connection go on */
    bool http_1_0;    /**< of a request */
    bool expects_100; /**< the sender waits for 100 Continue */
    struct http_headers headers;
    char *body; /**< contiguous; NULL if empty */
    size_t body_size;
    size_t body_capacity;
};

/** Reads one message after the other from a connection. */
struct http_reader;

/** body_max: most bytes of a body. NULL when memory is short. */
struct http_reader *http_reader_create(enum http_message_kind kind,
                                       size_t body_max);
void http_reader_destroy(struct http_reader *reader);

/** Forgets the message and waits for the next one. */
void http_reader_reset(struct http_reader *reader);

/** The next answer has no body, as to a HEAD request. */
void http_reader_expect_no_body(struct http_reader *reader);

/**
 * Takes bytes out of input, at most to the end of the message. The head is
 * taken only when it is whole. Interim (1xx) answers are skipped.
 */
void http_reader_feed(struct http_reader *reader, struct evbuffer *input);

/** From now on an answer may have no length and end with its connection. */
void http_reader_allow_body_until_close(struct http_reader *reader);

/**
 * The connection was closed in order: an answer without a length is whole.
 *
 * @return false if the message was cut instead.
 */
bool http_reader_finish_at_close(struct http_reader *reader);

enum http_progress http_reader_progress(const struct http_reader *reader);

/** Status that tells the sender of a failed request why: 400, 413, ... */
unsigned http_reader_failure(const struct http_reader *reader);

const struct http_message *
http_reader_message(const struct http_reader *reader);

/** Moves the body out; the caller frees it. */
char *http_reader_take_body(struct http_reader *reader, size_t *size);

#endif
