/* Sends requests to the target and classifies the outcomes. */
#include "node/localgate_internal.h"

#define LOG_MODULE "gate"
#include "base/log.h"
#include "node/keyowner.h"
#include "node/localtarget.h"
#include "node/nodemetrics.h"
#include "node/ownrow.h"
#include "node/relaytask.h"

/* The target itself answers at its deadline; waits this much longer. */
#define TARGET_ANSWER_GRACE_US (100 * US_PER_MS)
/* A request without a connection to the target is refused so long before its
 * deadline, but not in the first part of its time left: the sender has to
 * learn from the reply, before its own deadline, that it has not run. */
#define LATEST_SEND_MARGIN_US (40 * US_PER_MS)
#define LATEST_SEND_MIN_PERCENT 50

static void
fill_fields(struct relay_field *fields, const struct http_headers *headers,
            u_int *count)
{
    for (size_t i = 0; i < headers->count; i++) {
        if (http_header_is_end_to_end(headers, headers->items[i].name)) {
            fields[*count].name = (char *)headers->items[i].name;
            fields[*count].value = (char *)headers->items[i].value;
            (*count)++;
        }
    }
}

static void
call_answered(struct localgate_call *call, const struct http_result *result)
{
    struct relay_field fields[HTTP_HEADERS_MAX];
    struct relay_reply reply = {
        .outcome = RELAY_ANSWERED,
        .reached = true,
        .status = result->status,
        .body = {(u_int)result->body_size, (char *)result->body},
    };
    ownrow_clear_suspect(call->gate->node->ownrow, call->fingerprint);
    fill_fields(fields, result->headers, &reply.fields.fields_len);
    reply.fields.fields_val = fields;
    localgate_answer(call, &reply);
}

static void
on_answer(struct localgate_call *call, const struct http_result *result)
{
    struct localgate *gate = call->gate;
    struct wire_answer answer;
    gate->node->wire->read_answer(result, &answer);
    targetqueue_release(gate->queue, &call->queue_request,
                        localgate_now_us(gate),
                        answer.kind == WIRE_ANSWER_RUN);
    if (answer.kind == WIRE_ANSWER_RUN) {
        servicetimes_record(&gate->servicetimes, call->route,
                            localgate_now_us(gate) - call->sent_us);
    }
    /* The others may not be the target's own. */
    if (answer.kind == WIRE_ANSWER_RUN || answer.kind == WIRE_ANSWER_NOT_RUN) {
        gatenotice_read(gate->notice, LIMITNOTICE_ANSWER, result->headers,
                        call->sent_us);
    }
    switch (answer.kind) {
    case WIRE_ANSWER_RUN:
        call_answered(call, result);
        break;
    case WIRE_ANSWER_NOT_RUN:
        gate->shed->value++;
        localgate_fail(call, RELAY_NOT_RUN, RELAY_REASON_SHED, true);
        break;
    case WIRE_ANSWER_NOT_HELD:
        LOG_WARN("not_held", LOG_STR("id", call->id),
                 LOG_UINT("key", call->key), LOG_BOOL("keyed", call->keyed));
        if (call->keyed) {
            keyowner_key_not_held(gate->node->keyowner, call->key);
        }
        localgate_fail(call, RELAY_NOT_RUN, RELAY_REASON_MOVING, false);
        break;
    case WIRE_ANSWER_INVALID:
        localgate_fail(call, RELAY_UNKNOWN, RELAY_REASON_INVALID, true);
        break;
    }
}

/** Logs how a request at the target ended; answered ones are sampled. */
static void
log_result(const struct localgate_call *call, const struct http_result *result)
{
    const struct localgate *gate = call->gate;
    if (result->outcome == HTTP_ANSWERED && !log_sampled(call->id)) {
        return;
    }
    LOG_STEP(
        "run", LOG_STR("id", call->id), LOG_INT("outcome", result->outcome),
        LOG_UINT("status", result->status),
        LOG_INT("queued_ms", (call->sent_us - call->arrived_us) / US_PER_MS),
        LOG_INT("ran_ms",
                (localgate_now_us(gate) - call->sent_us) / US_PER_MS),
        LOG_UINT("running", targetqueue_running(gate->queue)),
        LOG_UINT("waiting", targetqueue_waiting(gate->queue)),
        LOG_BOOL("cold", localgate_is_cold(gate)));
}

static void
on_http_result(void *ctx, const struct http_result *result)
{
    struct localgate_call *call = ctx;
    struct localgate *gate = call->gate;
    struct localtarget *target = gate->node->target;
    log_result(call, result);
    nodemetrics_record(gate->node->nodemetrics, NODEMETRICS_TARGET,
                       localgate_now_us(gate) - call->sent_us);
    const bool timed_out = localgate_now_us(gate) >= call->deadline_us;
    call->http = NULL;
    switch (result->outcome) {
    case HTTP_ANSWERED:
        on_answer(call, result);
        break;
    case HTTP_NOT_SENT:
        localgate_fail(
            call, RELAY_NOT_RUN,
            timed_out ? RELAY_REASON_DEADLINE : RELAY_REASON_CONNECT, false);
        break;
    case HTTP_REFUSED:
        localgate_fail(call, RELAY_NOT_RUN, RELAY_REASON_CONNECT, false);
        localtarget_connection_refused(target);
        break;
    case HTTP_TIMED_OUT:
        localgate_fail(call, RELAY_UNKNOWN, RELAY_REASON_DEADLINE, true);
        break;
    case HTTP_CONNECTION_LOST:
        gate->cut->value++;
        gatecrash_record_cut(&gate->crash, call->fingerprint,
                             localgate_now_us(gate));
        localgate_fail(call, RELAY_UNKNOWN, RELAY_REASON_CUT, true);
        localtarget_connection_cut(target);
        break;
    case HTTP_MALFORMED:
        localgate_fail(call, RELAY_UNKNOWN, RELAY_REASON_INVALID, true);
        break;
    }
    gateadmit_run_queue(gate);
}

static bool
is_own_answer(void *ctx, const struct http_headers *headers)
{
    const struct localgate_call *call = ctx;
    return call->gate->node->wire->answer_matches_request(headers, call->id);
}

/** A rejected request may come again with the same id, and an answer without
 * an id could be taken for that to any later one: no copy of such an answer
 * may meet another request. */
static bool
keeps_connection(void *ctx, const struct http_result *result)
{
    const struct localgate_call *call = ctx;
    struct wire_answer answer;
    call->gate->node->wire->read_answer(result, &answer);
    return answer.kind == WIRE_ANSWER_RUN;
}

/** Adds the fields that the caller sent. The instance that received the
 * request may have an older configuration, without workspaces. */
static void
add_caller_fields(const struct node *node, const struct relay_request *request,
                  struct http_headers *headers)
{
    const bool has_workspaces = request->workspace[0] != '\0' ||
                                (node->declared != NULL &&
                                 declared_requires_workspace(node->declared));
    for (u_int i = 0; i < request->fields.fields_len; i++) {
        const struct relay_field *field = &request->fields.fields_val[i];
        if (node->wire->forwards_header(field->name, has_workspaces)) {
            http_headers_add(headers, field->name, field->value);
        }
    }
}

void
gatesend_on_latest_send(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    if (call->http != NULL && !http_call_is_sent(call->http)) {
        localgate_fail(call, RELAY_NOT_RUN, RELAY_REASON_CONNECT, false);
        gateadmit_run_queue(gate);
    }
}

void
gatesend_start(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    const struct node *node = gate->node;
    const struct relay_request *request = call->request;
    struct http_headers headers = {.items = NULL};
    add_caller_fields(node, request, &headers);
    node->wire->add_target_fields(
        &headers,
        &(struct wire_target_fields){
            .target = localtarget_name(node->target),
            .caller = request->caller,
            .workspace = request->workspace,
            .time_left_us = call->deadline_us - localgate_now_us(gate),
        });
    call->state = CALL_SENT;
    call->sent_us = localgate_now_us(gate);
    const int64_t left_us = call->deadline_us - call->sent_us;
    const int64_t least_us = left_us * LATEST_SEND_MIN_PERCENT / 100;
    const int64_t send_us = left_us - LATEST_SEND_MARGIN_US;
    nodemetrics_record(node->nodemetrics, NODEMETRICS_QUEUE,
                       call->sent_us - call->arrived_us);
    timer_start(&call->timer, send_us > least_us ? send_us : least_us);
    gate->started->value++;
    call->http = http_call_start(
        localtarget_client(node->target),
        &(struct http_call_spec){
            .method = request->method,
            .target = request->path,
            .headers = headers.items,
            .header_count = headers.count,
            .body = request->body.body_val,
            .body_size = request->body.body_len,
            .deadline_us = call->deadline_us + TARGET_ANSWER_GRACE_US,
            .answer_matches = is_own_answer,
            .keeps_connection = keeps_connection,
            .done = on_http_result,
            .ctx = call,
        });
    http_headers_clear(&headers);
}
