/**
 * @file
 * The body of the fuzz programs for both kinds of HTTP messages.
 */
#ifndef CHESTNUTGAP_FUZZ_FUZZ_HTTP_H
#define CHESTNUTGAP_FUZZ_FUZZ_HTTP_H

#include <stdint.h>
#include <stdlib.h>

#include <event2/buffer.h>

#include "http/httpmessage.h"

#define FUZZ_BODY_MAX 4096

/** Feeds a piece; a complete message is read and followed by the next one. */
static inline void
fuzz_http_feed(struct http_reader *reader, struct evbuffer *input)
{
    size_t before = 0;
    while (evbuffer_get_length(input) != before) {
        before = evbuffer_get_length(input);
        http_reader_feed(reader, input);
        if (http_reader_progress(reader) == HTTP_PROGRESS_COMPLETE) {
            if (http_reader_message(reader)->body_size > FUZZ_BODY_MAX) {
                abort();
            }
            http_reader_reset(reader);
        }
    }
}

static inline int
fuzz_http(enum http_message_kind kind, const uint8_t *data, size_t size)
{
    struct http_reader *reader = http_reader_create(kind, FUZZ_BODY_MAX);
    struct evbuffer *input = evbuffer_new();
    const size_t step = size > 0 ? data[0] % 64 + 1 : 1;
    for (size_t at = 1; at < size; at += step) {
        const size_t left = size - at;
        evbuffer_add(input, data + at, left < step ? left : step);
        fuzz_http_feed(reader, input);
    }
    http_reader_finish_at_close(reader);
    evbuffer_free(input);
    http_reader_destroy(reader);
    return 0;
}

#define FUZZ_HTTP(kind)                                                       \
    int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);             \
    int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)              \
    {                                                                         \
        return fuzz_http(kind, data, size);                                   \
    }

#endif
