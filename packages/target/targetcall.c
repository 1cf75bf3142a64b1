#include "target/target_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define NUMBER_SIZE 24 /* bytes of a number as text */
#define MS_PER_SECOND 1000
#define RETRY_AFTER_MAX_S 3600

struct target_call {
    TAILQ_ENTRY(target_call) link;
    struct target *target;
    struct http_call *http; /* NULL: fails in the next loop iteration */
    struct timer failure;
    int64_t started_us;
    int64_t deadline_us;
    char *request_id;
    http_may_send_cb may_send;
    target_done_cb done;
    void *ctx;
};

static void
target_call_free(struct target_call *call)
{
    TAILQ_REMOVE(&call->target->calls, call, link);
    call->target->call_count--;
    timer_stop(&call->failure);
    free(call->request_id);
    free(call);
}

static void
target_call_end(struct target_call *call, struct target_result *result)
{
    struct target *target = call->target;
    const struct target_counters *counters = &target->counters;
    switch (result->outcome) {
    case TARGET_ANSWERED:
        counters->answered->value++;
        break;
    case TARGET_NOT_RUN:
        counters->not_run->value++;
        break;
    case TARGET_UNKNOWN:
        counters->unknown->value++;
        break;
    }
    result->latency_us = runtime_now_us(target->runtime) - call->started_us;
    const target_done_cb done = call->done;
    void *ctx = call->ctx;
    target_call_free(call);
    done(ctx, result);
}

static void
target_call_end_unanswered(struct target_call *call,
                           enum target_outcome outcome,
                           enum target_reason reason)
{
    target_call_end(
        call, &(struct target_result){.outcome = outcome, .reason = reason});
}

/** Retry-After in seconds, as milliseconds; 0 if there is none. */
static unsigned
read_retry_after(const struct http_headers *headers)
{
    const char *text = http_headers_find(headers, "Retry-After");
    if (text == NULL) {
        return 0;
    }
    const long seconds = strtol(text, NULL, 10);
    if (seconds <= 0 || seconds > RETRY_AFTER_MAX_S) {
        return 0;
    }
    return (unsigned)seconds * MS_PER_SECOND;
}

static enum target_reason
not_run_reason(const char *why)
{
    if (strcasecmp(why, "grant") == 0) {
        return TARGET_REASON_GRANT;
    }
    if (strcasecmp(why, "draining") == 0) {
        return TARGET_REASON_DRAINING;
    }
    if (strcasecmp(why, "deadline") == 0) {
        return TARGET_REASON_DEADLINE;
    }
    return TARGET_REASON_SHED;
}

static void
target_call_answered(struct target_call *call,
                     const struct http_result *answer)
{
    struct target_result result = {
        .outcome = TARGET_ANSWERED,
        .retry_after_ms = read_retry_after(answer->headers),
        .status = answer->status,
        .headers = answer->headers,
        .body = answer->body,
        .body_size = answer->body_size,
    };
    const char *why =
        http_headers_find(answer->headers, TARGET_NOT_RUN_HEADER);
    if (why != NULL) {
        result.outcome = TARGET_NOT_RUN;
        result.reason = not_run_reason(why);
        if (result.reason == TARGET_REASON_SHED) {
            call->target->counters.shed->value++;
        }
    }
    target_call_end(call, &result);
}

static void
on_http_done(void *ctx, const struct http_result *result)
{
    struct target_call *call = ctx;
    struct target *target = call->target;
    const bool late = runtime_now_us(target->runtime) >= call->deadline_us;
    switch (result->outcome) {
    case HTTP_ANSWERED:
        target_call_answered(call, result);
        break;
    case HTTP_NOT_SENT:
        target_call_end_unanswered(call, TARGET_NOT_RUN,
                                   late ? TARGET_REASON_DEADLINE
                                        : TARGET_REASON_CONNECT);
        break;
    case HTTP_REFUSED:
        target_call_end_unanswered(call, TARGET_NOT_RUN,
                                   TARGET_REASON_CONNECT);
        /* Not target_lost(): this is a callback of the client. */
        target_probe_after_disconnect(target);
        break;
    case HTTP_TIMED_OUT:
        target_send_cancel(target, call->request_id);
        target_call_end_unanswered(call, TARGET_UNKNOWN,
                                   TARGET_REASON_DEADLINE);
        break;
    case HTTP_CONNECTION_LOST:
        target_call_end_unanswered(call, TARGET_UNKNOWN, TARGET_REASON_CUT);
        target_probe_after_disconnect(target);
        break;
    case HTTP_MALFORMED:
        target_call_end_unanswered(call, TARGET_UNKNOWN,
                                   TARGET_REASON_MALFORMED);
        break;
    }
}

static void
on_failure(void *ctx)
{
    target_call_end_unanswered(ctx, TARGET_NOT_RUN, TARGET_REASON_NO_TARGET);
}

/** Header fields of a request, with a buffer for numbers. */
struct request_fields {
    struct http_headers headers;
    char text[NUMBER_SIZE];
};

static void
add_number(struct request_fields *fields, const char *name, uint64_t number)
{
    snprintf(fields->text, sizeof(fields->text), "%" PRIu64, number);
    http_headers_add(&fields->headers, name, fields->text);
}

static void
fill_fields(struct request_fields *fields,
            const struct target_request *request)
{
    for (size_t i = 0; i < request->header_count; i++) {
        http_headers_add(&fields->headers, request->headers[i].name,
                         request->headers[i].value);
    }
    if (request->keyed) {
        add_number(fields, TARGET_SHARD_HEADER, request->shard);
        add_number(fields, TARGET_EPOCH_HEADER, request->epoch);
        add_number(fields, TARGET_EXPIRES_HEADER,
                   (uint64_t)request->grant_expires_us);
    }
    add_number(fields, TARGET_DEADLINE_HEADER, (uint64_t)request->deadline_us);
    if (request->request_id != NULL) {
        http_headers_add(&fields->headers, TARGET_ID_HEADER,
                         request->request_id);
    }
}

static bool
on_may_send(void *ctx)
{
    const struct target_call *call = ctx;
    return call->may_send(call->ctx);
}

static void
call_send(struct target_call *call, const struct target_request *request)
{
    struct request_fields fields = {0};
    fill_fields(&fields, request);
    call->http = http_call_start(
        call->target->requests,
        &(struct http_call_spec){
            .method = request->method,
            .target = request->path,
            .headers = fields.headers.items,
            .header_count = fields.headers.count,
            .body = request->body,
            .body_size = request->body_size,
            .deadline_us = request->deadline_us,
            .may_send = call->may_send != NULL ? on_may_send : NULL,
            .done = on_http_done,
            .ctx = call,
        });
    http_headers_clear(&fields.headers);
}

struct target_call *
target_forward(struct target *target, const struct target_request *request)
{
    struct target_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    call->target = target;
    call->started_us = runtime_now_us(target->runtime);
    call->deadline_us = request->deadline_us;
    call->request_id =
        request->request_id != NULL ? strdup(request->request_id) : NULL;
    call->may_send = request->may_send;
    call->done = request->done;
    call->ctx = request->ctx;
    timer_init(&call->failure, target->runtime, on_failure, call);
    TAILQ_INSERT_TAIL(&target->calls, call, link);
    target->call_count++;
    target->counters.requests->value++;
    if (target->present) {
        call_send(call, request);
    }
    else {
        timer_start(&call->failure, 0);
    }
    return call;
}

bool
target_call_is_sent(const struct target_call *call)
{
    return call->http != NULL && http_call_is_sent(call->http);
}

void
target_call_cancel(struct target_call *call)
{
    struct target *target = call->target;
    const bool sent = target_call_is_sent(call);
    if (call->http != NULL) {
        http_call_cancel(call->http);
    }
    if (sent) {
        target_send_cancel(target, call->request_id);
    }
    target_call_free(call);
}

void
target_call_fail(struct target_call *call)
{
    const bool sent = target_call_is_sent(call);
    if (call->http != NULL) {
        http_call_cancel(call->http);
    }
    target_call_end_unanswered(call, sent ? TARGET_UNKNOWN : TARGET_NOT_RUN,
                               sent ? TARGET_REASON_CUT
                                    : TARGET_REASON_CONNECT);
}

void
target_call_discard(struct target_call *call)
{
    if (call->http != NULL) {
        http_call_cancel(call->http);
    }
    target_call_free(call);
}
