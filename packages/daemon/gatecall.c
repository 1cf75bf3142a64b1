#include "daemon/gatetask_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "gate"
#include "base/counter.h"
#include "base/hash.h"
#include "base/log.h"
#include "daemon/gatereply.h"
#include "placement/shardmap.h"

#define EXECUTION_ID_SIZE (STATE_NAME_MAX + 48)

struct gatetask_call *
gatecall_of(struct gate_request *gate_request)
{
    return (struct gatetask_call *)(void *)((char *)gate_request -
                                            offsetof(struct gatetask_call,
                                                     gate_request));
}

static int64_t
now_of(const struct gatetask *gate)
{
    return runtime_now_us(gate->options.runtime);
}

void
gatecall_free(struct gatetask_call *call)
{
    if (call->arrival != NULL) {
        call->arrival->call = NULL;
    }
    if (call->target_call != NULL) {
        target_call_cancel(call->target_call);
    }
    if (call->delegate != NULL) {
        delegate_cancel(call->delegate);
    }
    timer_stop(&call->deadline);
    gatereply_request_free(call->copy);
    LIST_REMOVE(call, link);
    free(call);
}

size_t
gatecall_count_of_shard(const struct gatetask *gate, uint32_t shard)
{
    const struct gatetask_call *call;
    size_t count = 0;
    LIST_FOREACH (call, &gate->calls, link) {
        if (call->gate_request.admission.keyed &&
            call->gate_request.admission.shard == shard) {
            count++;
        }
    }
    return count;
}

/* Frees a call that core, the target and a delegate no longer use. */
static void
call_free_if_done(struct gatetask_call *call)
{
    struct gatetask *gate = call->gate;
    if (!call->ended || call->target_call != NULL || call->delegate != NULL ||
        call->dispatching) {
        return;
    }
    if (call->gate_request.admission.keyed) {
        gateload_add(gate->load, call->gate_request.admission.shard,
                     call->key_hash, now_of(gate) - call->arrived_us,
                     now_of(gate));
    }
    gatecall_free(call);
    if (!LIST_EMPTY(&gate->drains)) {
        gatetask_check_drains(gate);
    }
}

/* Copies a request that may still be sent after its entry was answered. */
static void
call_copy_request(struct gatetask_call *call)
{
    const bool may_still_be_sent =
        call->gate_request.entry != NULL &&
        call->gate_request.state != GATE_STATE_SENT && call->copy == NULL;
    if (may_still_be_sent) {
        call->copy = gatereply_request_copy(call->request);
        call->request = call->copy;
    }
}

static void
call_reply(struct gatetask_call *call, struct forward_reply *reply)
{
    struct gatetask *gate = call->gate;
    struct counter *by_outcome[] = {
        [FORWARD_ANSWERED] = gate->answered,
        [FORWARD_NOT_RUN] = gate->not_run,
        [FORWARD_UNKNOWN] = gate->unknown,
    };
    by_outcome[reply->outcome]->value++;
    gate->replayed->value += reply->replayed;
    gatetask_load(gate, &reply->load);
    call->detached = true;
    call->reply(call->ctx, reply);
}

static void
call_reply_result(struct gatetask_call *call)
{
    struct gatereply reply;
    gatereply_fill(&reply, call->request->method, call->result);
    call_reply(call, &reply.reply);
    gatereply_clear(&reply);
}

static void
call_reply_data(struct gatetask_call *call, const struct gate_answer *answer)
{
    struct forward_reply reply;
    if (!gatereply_decode(&reply, answer->data, answer->size)) {
        /* The request has run, but its answer can't be replayed. */
        reply = (struct forward_reply){
            .outcome = FORWARD_UNKNOWN,
            .reason = FORWARD_REASON_ID_UNKNOWN,
            .owner = "",
        };
        call_reply(call, &reply);
        return;
    }
    reply.replayed = answer->replayed;
    call_reply(call, &reply);
    xdr_free((xdrproc_t)xdr_forward_reply, (char *)&reply);
}

static void
call_reply_refusal(struct gatetask_call *call,
                   const struct gate_answer *answer)
{
    struct gatetask *gate = call->gate;
    struct forward_reply reply = {
        .outcome = answer->outcome,
        .reason = answer->reason,
        .retry_after_ms = answer->retry_after_ms,
        .owner = "",
    };
    if (answer->reason == FORWARD_REASON_NOT_OWNER) {
        uint64_t epoch = 0;
        const char *owner = gate->options.owner(
            gate->options.ctx, call->gate_request.admission.shard, &epoch);
        reply.owner = owner != NULL ? (char *)owner : "";
        reply.owner_epoch = epoch;
    }
    call_reply(call, &reply);
}

static void
call_on_answer(void *ctx, struct gate_request *gate_request,
               const struct gate_answer *answer)
{
    (void)ctx;
    struct gatetask_call *call = gatecall_of(gate_request);
    if (call->detached) {
        return;
    }
    if (answer->outcome != FORWARD_ANSWERED) {
        call_reply_refusal(call, answer);
    }
    else if (call->result != NULL) {
        call_reply_result(call);
    }
    else {
        call_reply_data(call, answer);
    }
}

static void
call_on_done(void *ctx, struct gate_request *gate_request)
{
    (void)ctx;
    struct gatetask_call *call = gatecall_of(gate_request);
    call->ended = true;
    timer_stop(&call->deadline);
    call_free_if_done(call);
}

static void
call_on_stop(void *ctx, struct gate_request *gate_request)
{
    (void)ctx;
    struct gatetask_call *call = gatecall_of(gate_request);
    if (call->target_call != NULL) {
        target_call_cancel(call->target_call);
        call->target_call = NULL;
    }
}

static enum gate_result
gate_result_of(const struct target_result *result)
{
    switch (result->outcome) {
    case TARGET_ANSWERED:
        return GATE_RESULT_ANSWERED;
    case TARGET_NOT_RUN:
        return result->reason == TARGET_REASON_CONNECT ||
                       result->reason == TARGET_REASON_NO_TARGET
                   ? GATE_RESULT_CONNECT_FAILED
                   : GATE_RESULT_SHED;
    case TARGET_UNKNOWN:
        break;
    }
    return result->reason == TARGET_REASON_DEADLINE ? GATE_RESULT_CANCELLED
                                                    : GATE_RESULT_CUT;
}

static void
call_finish(struct gatetask_call *call, const struct target_result *result)
{
    struct gatetask *gate = call->gate;
    const enum gate_result outcome = gate_result_of(result);
    void *data = NULL;
    size_t size = 0;
    if (outcome == GATE_RESULT_ANSWERED) {
        call->result = result;
    }
    if (outcome == GATE_RESULT_ANSWERED && call->gate_request.entry != NULL) {
        struct gatereply reply;
        gatereply_fill(&reply, call->request->method, result);
        data = gatereply_encode(&reply.reply, &size);
        gatereply_clear(&reply);
    }
    gate_finish(gate->core, &call->gate_request, outcome, result->status, data,
                size, now_of(gate));
    free(data);
    if (outcome == GATE_RESULT_CUT) {
        gate->options.target_cut(gate->options.ctx);
    }
}

static void
call_on_target(void *ctx, const struct target_result *result)
{
    struct gatetask_call *call = ctx;
    call->target_call = NULL;
    if (call->ended) {
        call_free_if_done(call);
        return;
    }
    call_finish(call, result);
}

static bool
call_may_send(void *ctx)
{
    struct gatetask_call *call = ctx;
    struct gatetask *gate = call->gate;
    if (call->ended ||
        !gate_begin_send(gate->core, &call->gate_request, now_of(gate))) {
        return false;
    }
    call->lease_unchecked = true;
    if (!timer_running(&gate->lease_recheck)) {
        timer_start(&gate->lease_recheck, 0);
    }
    return true;
}

void
gatecall_cancel_late_writes(struct gatetask *gate)
{
    const bool held = admission_lease_held(gate->admission, now_of(gate));
    struct gatetask_call *call = LIST_FIRST(&gate->calls);
    while (call != NULL) {
        struct gatetask_call *next = LIST_NEXT(call, link);
        const bool late = call->lease_unchecked && !held && !call->ended;
        call->lease_unchecked = false;
        if (late) {
            gate->cancelled_after_write->value++;
            LOG_WARN("cancelled_after_write", LOG_STR("id", call->id));
            call_on_stop(gate, &call->gate_request);
            call_finish(call, &(struct target_result){
                                  .outcome = TARGET_UNKNOWN,
                                  .reason = TARGET_REASON_DEADLINE,
                              });
        }
        call = next;
    }
}

static void
call_on_dispatch(void *ctx, struct gate_request *gate_request)
{
    struct gatetask *gate = ctx;
    struct gatetask_call *call = gatecall_of(gate_request);
    const struct forward_request *request = call->request;
    char execution[EXECUTION_ID_SIZE];
    struct http_header headers[HTTP_HEADERS_MAX];
    const size_t count = request->headers.headers_len;
    for (size_t i = 0; i < count; i++) {
        headers[i].name = request->headers.headers_val[i].name;
        headers[i].value = request->headers.headers_val[i].value;
    }
    snprintf(execution, sizeof(execution), "%s-%" PRIu64, gate->holder,
             ++gate->sequence);
    const struct target_request spec = {
        .method = request->method,
        .path = request->target,
        .headers = headers,
        .header_count = count,
        .body = request->body.body_val,
        .body_size = request->body.body_len,
        .keyed = request->keyed,
        .shard = gate_request->admission.shard,
        .epoch = call->epoch,
        .grant_expires_us = gate->lease_until_us,
        .deadline_us = gate_request->admission.entry.deadline_us,
        .request_id = execution,
        .may_send = call_may_send,
        .done = call_on_target,
        .ctx = call,
    };
    call->dispatching = true;
    call->target_call = target_forward(gate->options.target, &spec);
    call->dispatching = false;
}

const struct gate_ops gatecall_ops = {
    .dispatch = call_on_dispatch,
    .delegate = gatedelegate_send,
    .stop = call_on_stop,
    .answer = call_on_answer,
    .done = call_on_done,
};

static void
call_on_deadline(void *ctx)
{
    struct gatetask_call *call = ctx;
    call_copy_request(call);
    gate_expire(call->gate->core, &call->gate_request, now_of(call->gate));
}

static void
call_fill_gate_request(struct gatetask_call *call, int64_t now_us)
{
    const struct forward_request *request = call->request;
    struct gate_request *gate_request = &call->gate_request;
    const int64_t remaining_us = (int64_t)request->remaining_us;
    snprintf(call->id, sizeof(call->id), "%s", request->request_id);
    gate_request->id = call->id;
    gate_request->body_hash =
        hash_bytes(request->body.body_val, request->body.body_len, 0);
    call->key_hash =
        shardmap_hash(request->service, request->key, strlen(request->key));
    gate_request->key = shardmap_key_shard(call->key_hash);
    gate_request->may_delegate =
        request->keyed && call->gate->service.key_source == STATE_KEY_NONE;
    gate_request->admission = (struct admission_request){
        .entry =
            {
                .deadline_us = now_us + remaining_us,
                .idempotent = request->idempotent,
            },
        .keyed = request->keyed,
        .hedge = request->hedge,
        .suspect = request->suspect,
        .shard = request->shard,
        .epoch = request->epoch,
        .fingerprint =
            suspects_fingerprint(request->method, request->target,
                                 gate_request->body_hash, request->request_id),
    };
}

/* The entry may not know yet that the key was split into its own shard. */
static void
call_correct_shard(struct gatetask_call *call)
{
    const struct gatetask_options *options = &call->gate->options;
    const struct forward_request *request = call->request;
    struct admission_request *admission = &call->gate_request.admission;
    uint32_t shard = 0;
    if (request->keyed &&
        options->shard(options->ctx, request->service, request->key,
                       strlen(request->key), &shard) &&
        shard != admission->shard) {
        admission->shard = shard;
        admission->epoch = 0;
    }
}

/* Refuses requests that this gate can't serve. */
static bool
call_accept(struct gatetask_call *call)
{
    const struct gatetask *gate = call->gate;
    const struct forward_request *request = call->request;
    const bool valid =
        gate->core != NULL &&
        strcmp(request->service, gate->service.name) == 0 &&
        request->headers.headers_len <= HTTP_HEADERS_MAX &&
        request->remaining_us > 0 &&
        request->remaining_us <= (u_quad_t)gate->service.deadline_max_us &&
        strlen(request->request_id) < sizeof(call->id);
    if (!valid) {
        const struct gate_answer answer = {
            .outcome = FORWARD_NOT_RUN,
            .reason = FORWARD_REASON_NO_TARGET,
        };
        call_reply_refusal(call, &answer);
    }
    return valid;
}

void
gatecall_deliver(struct gatetask *gate, struct gate_arrival *arrival)
{
    struct gatetask_call *call = arrival->call;
    if (call == NULL) {
        return;
    }
    call->arrival = NULL;
    gate->requests->value++;
    if (!call_accept(call)) {
        gatecall_free(call);
        return;
    }
    const struct dedup_time time = {
        .now_us = now_of(gate),
        .wall_ms = runtime_wall_ms(gate->options.runtime),
    };
    call->arrived_us = time.now_us;
    call_fill_gate_request(call, time.now_us);
    call_correct_shard(call);
    gate->options.owned(gate->options.ctx, call->gate_request.admission.shard,
                        &call->epoch);
    timer_start_at(&call->deadline,
                   call->gate_request.admission.entry.deadline_us);
    gate_arrive(gate->core, &call->gate_request, &time);
}

struct gatetask_call *
gatetask_submit(struct gatetask *gate, const struct forward_request *request,
                gatetask_reply_cb reply, void *ctx)
{
    struct gatetask_call *call = calloc(1, sizeof(*call));
    struct gate_arrival *arrival = calloc(1, sizeof(*arrival));
    if (call == NULL || arrival == NULL) {
        abort();
    }
    call->gate = gate;
    call->request = request;
    call->reply = reply;
    call->ctx = ctx;
    call->arrival = arrival;
    arrival->call = call;
    timer_init(&call->deadline, gate->options.runtime, call_on_deadline, call);
    LIST_INSERT_HEAD(&gate->calls, call, link);
    task_post(gate->task, &arrival->message);
    return call;
}

void
gatetask_cancel(struct gatetask_call *call)
{
    call->detached = true;
    if (call->arrival != NULL) {
        gatecall_free(call);
        return;
    }
    call_copy_request(call);
    gate_cancel(call->gate->core, &call->gate_request, now_of(call->gate));
}
