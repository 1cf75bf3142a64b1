#include "http/httpclient_internal.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "http/httpwriter.h"

static void
call_count(const struct http_client *client, enum http_outcome outcome)
{
    const struct http_client_counters *counters = &client->counters;
    struct counter *const by_outcome[] = {
        [HTTP_ANSWERED] = counters->answered,
        [HTTP_NOT_SENT] = counters->not_sent,
        [HTTP_REFUSED] = counters->refused,
        [HTTP_TIMED_OUT] = counters->timed_out,
        [HTTP_CONNECTION_LOST] = counters->cut,
        [HTTP_MALFORMED] = counters->malformed,
    };
    by_outcome[outcome]->value++;
}

void
http_call_free(struct http_call *call)
{
    timer_stop(&call->deadline);
    if (call->queue != NULL) {
        TAILQ_REMOVE(call->queue, call, link);
    }
    if (call->message != NULL) {
        evbuffer_free(call->message);
    }
    free(call);
}

void
http_call_end(struct http_call *call, const struct http_result *result)
{
    timer_stop(&call->deadline);
    call_count(call->client, result->outcome);
    call->done(call->ctx, result);
    http_call_free(call);
}

void
http_call_end_without_answer(struct http_call *call, enum http_outcome outcome)
{
    http_call_end(call, &(struct http_result){.outcome = outcome});
}

bool
http_call_is_sent(const struct http_call *call)
{
    const struct http_client_connection *connection = call->connection;
    if (connection == NULL || call->message != NULL) {
        return false;
    }
    const struct evbuffer *output = bufferevent_get_output(connection->bev);
    return evbuffer_get_length(output) < call->message_size;
}

static void
call_on_deadline(void *ctx)
{
    struct http_call *call = ctx;
    if (call->connection == NULL) {
        http_call_end_without_answer(call, HTTP_NOT_SENT);
        return;
    }
    call->client->counters.abandoned->value++;
    http_client_connection_fail(call->connection, HTTP_TIMED_OUT);
}

void
http_call_fail_later(struct http_call *call, enum http_outcome outcome)
{
    call->failed_outcome = outcome;
    call->queue = &call->client->failed;
    TAILQ_INSERT_TAIL(call->queue, call, link);
    event_active(call->client->failed_event, EV_TIMEOUT, 1);
}

void
http_call_on_failed(evutil_socket_t fd, short what, void *ctx)
{
    struct http_client *client = ctx;
    (void)fd;
    (void)what;
    struct http_call *call = TAILQ_FIRST(&client->failed);
    if (call == NULL) {
        return;
    }
    if (TAILQ_NEXT(call, link) != NULL) {
        event_active(client->failed_event, EV_TIMEOUT, 1);
    }
    http_call_end_without_answer(call, call->failed_outcome);
}

struct http_call *
http_call_start(struct http_client *client, const struct http_call_spec *spec)
{
    struct http_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->client = client;
    call->may_send = spec->may_send;
    call->answer_matches = spec->answer_matches;
    call->keeps_connection = spec->keeps_connection;
    call->needs_own_connection = spec->needs_own_connection;
    call->stays_open = spec->stays_open;
    call->done = spec->done;
    call->ctx = spec->ctx;
    call->is_head = strcmp(spec->method, "HEAD") == 0;
    call->message = evbuffer_new();
    if (call->message == NULL) {
        abort();
    }
    http_write_request(call->message, &(struct http_outgoing_request){
                                          .method = spec->method,
                                          .target = spec->target,
                                          .host = client->host,
                                          .headers = spec->headers,
                                          .header_count = spec->header_count,
                                          .body = spec->body,
                                          .body_size = spec->body_size,
                                      });
    call->message_size = evbuffer_get_length(call->message);
    timer_init(&call->deadline, client->runtime, call_on_deadline, call);
    timer_start_at(&call->deadline, spec->deadline_us);
    client->counters.calls->value++;
    call->queue = &client->waiting;
    TAILQ_INSERT_TAIL(call->queue, call, link);
    http_client_assign_connections(client);
    return call;
}

void
http_call_cancel(struct http_call *call)
{
    struct http_client *client = call->client;
    struct http_client_connection *connection = call->connection;
    client->counters.cancelled->value++;
    http_call_free(call);
    if (connection != NULL) {
        client->counters.abandoned->value++;
        http_client_connection_close(connection);
        http_client_assign_connections(client);
    }
}
