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
gatecall_of(struct gate_request *unit)
{
    return (
        struct gatetask_call *)(void *)((char *)unit -
                                        offsetof(struct gatetask_call, unit));
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
gatecall_count(const struct gatetask *gate, uint32_t shard)
{
    const struct gatetask_call *call;
    size_t count = 0;
    LIST_FOREACH (call, &gate->calls, link) {
        if (call->unit.admission.keyed &&
            call->unit.admission.shard == shard) {
            count++;
        }
    }
    return count;
}

/* Frees a call once the unit and the target are both done with it. */
static void
call_settle(struct gatetask_call *call)
{
    struct gatetask *gate = call->gate;
    if (!call->ended || call->target_call != NULL || call->delegate != NULL ||
        call->dispatching) {
        return;
    }
    if (call->unit.admission.keyed) {
        gateload_add(gate->load, call->unit.admission.shard, call->key_hash,
                     now_of(gate) - call->arrived_us, now_of(gate));
    }
    gatecall_free(call);
    if (!LIST_EMPTY(&gate->drains)) {
        gatetask_check_drains(gate);
    }
}

/* Keeps the content of a request that may run after its entry is told. */
static void
call_keep_request(struct gatetask_call *call)
{
    const bool may_still_be_sent = call->unit.entry != NULL &&
                                   call->unit.state != GATE_STATE_SENT &&
                                   call->copy == NULL;
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
        /* The request has run, but its answer can't be given again. */
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
            gate->options.ctx, call->unit.admission.shard, &epoch);
        reply.owner = owner != NULL ? (char *)owner : "";
        reply.owner_epoch = epoch;
    }
    call_reply(call, &reply);
}

static void
call_on_answer(void *ctx, struct gate_request *unit,
               const struct gate_answer *answer)
{
    (void)ctx;
    struct gatetask_call *call = gatecall_of(unit);
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
call_on_done(void *ctx, struct gate_request *unit)
{
    (void)ctx;
    struct gatetask_call *call = gatecall_of(unit);
    call->ended = true;
    timer_stop(&call->deadline);
    call_settle(call);
}

static void
call_on_stop(void *ctx, struct gate_request *unit)
{
    (void)ctx;
    struct gatetask_call *call = gatecall_of(unit);
    if (call->target_call != NULL) {
        target_call_cancel(call->target_call);
        call->target_call = NULL;
    }
}

static enum gate_result
end_of(const struct target_result *result)
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
    const enum gate_result end = end_of(result);
    void *data = NULL;
    size_t size = 0;
    if (end == GATE_RESULT_ANSWERED) {
        call->result = result;
    }
    if (end == GATE_RESULT_ANSWERED && call->unit.entry != NULL) {
        struct gatereply reply;
        gatereply_fill(&reply, call->request->method, result);
        data = gatereply_encode(&reply.reply, &size);
        gatereply_clear(&reply);
    }
    gate_finish(gate->unit, &call->unit, end, result->status, data, size,
                now_of(gate));
    free(data);
    if (end == GATE_RESULT_CUT) {
        gate->options.cut(gate->options.ctx);
    }
}

static void
call_on_target(void *ctx, const struct target_result *result)
{
    struct gatetask_call *call = ctx;
    call->target_call = NULL;
    if (call->ended) {
        call_settle(call);
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
        !gate_begin_send(gate->unit, &call->unit, now_of(gate))) {
        return false;
    }
    call->unchecked = true;
    if (!timer_running(&gate->after_write)) {
        timer_start(&gate->after_write, 0);
    }
    return true;
}

void
gatecall_check_written(struct gatetask *gate)
{
    const bool held = admission_lease_held(gate->admission, now_of(gate));
    struct gatetask_call *call = LIST_FIRST(&gate->calls);
    while (call != NULL) {
        struct gatetask_call *next = LIST_NEXT(call, link);
        const bool late = call->unchecked && !held && !call->ended;
        call->unchecked = false;
        if (late) {
            gate->cancelled_after_write->value++;
            LOG_WARN("cancelled_after_write", LOG_STR("id", call->id));
            call_on_stop(gate, &call->unit);
            call_finish(call, &(struct target_result){
                                  .outcome = TARGET_UNKNOWN,
                                  .reason = TARGET_REASON_DEADLINE,
                              });
        }
        call = next;
    }
}

static void
call_on_dispatch(void *ctx, struct gate_request *unit)
{
    struct gatetask *gate = ctx;
    struct gatetask_call *call = gatecall_of(unit);
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
        .shard = unit->admission.shard,
        .epoch = call->epoch,
        .grant_expires_us = gate->lease_until_us,
        .deadline_us = unit->admission.entry.deadline_us,
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
    call_keep_request(call);
    gate_expire(call->gate->unit, &call->unit, now_of(call->gate));
}

static void
call_fill_unit(struct gatetask_call *call, int64_t now_us)
{
    const struct forward_request *request = call->request;
    struct gate_request *unit = &call->unit;
    const int64_t remaining_us = (int64_t)request->remaining_us;
    snprintf(call->id, sizeof(call->id), "%s", request->request_id);
    unit->id = call->id;
    unit->body_hash =
        hash_bytes(request->body.body_val, request->body.body_len, 0);
    call->key_hash =
        shardmap_hash(request->service, request->key, strlen(request->key));
    unit->key = shardmap_key_shard(call->key_hash);
    unit->may_delegate =
        request->keyed && call->gate->service.key_source == STATE_KEY_NONE;
    unit->admission = (struct admission_request){
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
                                 unit->body_hash, request->request_id),
    };
}

/* The entry may not know yet that a key became a shard of its own. */
static void
call_correct_shard(struct gatetask_call *call)
{
    const struct gatetask_options *options = &call->gate->options;
    const struct forward_request *request = call->request;
    struct admission_request *admission = &call->unit.admission;
    uint32_t shard = 0;
    if (request->keyed &&
        options->shard(options->ctx, request->service, request->key,
                       strlen(request->key), &shard) &&
        shard != admission->shard) {
        admission->shard = shard;
        admission->epoch = 0;
    }
}

/* Refuses what this gate can't run at all. */
static bool
call_is_served(struct gatetask_call *call)
{
    const struct gatetask *gate = call->gate;
    const struct forward_request *request = call->request;
    const bool valid =
        gate->unit != NULL &&
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
    if (!call_is_served(call)) {
        gatecall_free(call);
        return;
    }
    const struct dedup_time time = {
        .now_us = now_of(gate),
        .wall_ms = runtime_wall_ms(gate->options.runtime),
    };
    call->arrived_us = time.now_us;
    call_fill_unit(call, time.now_us);
    call_correct_shard(call);
    gate->options.owned(gate->options.ctx, call->unit.admission.shard,
                        &call->epoch);
    timer_start_at(&call->deadline, call->unit.admission.entry.deadline_us);
    gate_arrive(gate->unit, &call->unit, &time);
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
    call_keep_request(call);
    gate_cancel(call->gate->unit, &call->unit, now_of(call->gate));
}
