#include "http/httpfault.h"

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "http/httpserver_internal.h"
#include "http/httpwriter.h"

#define SENT_MAX_BYTES 65536 /* of a truncated answer */

/** Writes the beginning of the answer directly to the socket, bypassing the
 * connection's output buffer. */
static void
send_truncated(const struct http_connection *connection,
               const struct http_reply *reply, size_t missing_bytes)
{
    struct evbuffer *message = evbuffer_new();
    if (message == NULL) {
        return;
    }
    http_write_answer(message, &(struct http_answer){
                                   .status = reply->status,
                                   .headers = reply->headers,
                                   .header_count = reply->header_count,
                                   .body = reply->body,
                                   .body_size = reply->body_size,
                               });
    const size_t available = evbuffer_get_length(message);
    const size_t kept_bytes =
        missing_bytes < available ? available - missing_bytes : 0;
    const size_t sent_bytes =
        kept_bytes < SENT_MAX_BYTES ? kept_bytes : SENT_MAX_BYTES;
    const unsigned char *data =
        evbuffer_pullup(message, (ev_ssize_t)sent_bytes);
    if (data != NULL) {
        (void)!send(bufferevent_getfd(connection->bev), data, sent_bytes,
                    MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    evbuffer_free(message);
}

void
http_request_reply_truncated(struct http_request *request,
                             const struct http_reply *reply,
                             size_t missing_bytes)
{
    struct http_connection *connection = request->connection;
    if (connection != NULL) {
        send_truncated(connection, reply, missing_bytes);
        http_connection_abort(connection);
    }
    http_request_reply(request, reply);
}

void
http_request_send_ahead(struct http_request *request, const void *data,
                        size_t size)
{
    const struct http_connection *connection = request->connection;
    if (connection != NULL) {
        evbuffer_add(bufferevent_get_output(connection->bev), data, size);
    }
}
