#include "gate/gate.h"

#include <stdlib.h>

#include "gate/gate_internal.h"

static struct gate_request *
gate_request_of_insert(struct executions_insert *insert)
{
    return (
        struct gate_request *)(void *)((char *)insert -
                                       offsetof(struct gate_request, insert));
}

static struct gate_request *
gate_request_of_admission(struct admission_request *admission)
{
    return (struct gate_request *)(void *)((char *)admission -
                                           offsetof(struct gate_request,
                                                    admission));
}

struct gate *
gate_create(struct admission *admission, struct dedup *dedup,
            struct executions *executions, struct suspects *suspects,
            const struct gate_ops *ops, void *ctx)
{
    struct gate *gate = calloc(1, sizeof(*gate));
    if (gate == NULL) {
        return NULL;
    }
    gate->admission = admission;
    gate->dedup = dedup;
    gate->executions = executions;
    gate->suspects = suspects;
    gate->ops = *ops;
    gate->ctx = ctx;
    return gate;
}

void
gate_destroy(struct gate *gate)
{
    free(gate);
}

void
gate_set_executions(struct gate *gate, struct executions *executions)
{
    gate->executions = executions;
}

static bool
gate_may_delegate(const struct gate *gate, const struct gate_request *request)
{
    return gate->ops.delegate != NULL && request->may_delegate &&
           request->entry != NULL && request->state != GATE_STATE_SENT;
}

static void
gate_delegate(struct gate *gate, struct gate_request *request)
{
    if (!dedup_mark_dispatched(request->entry)) {
        gate_end_unknown(gate, request, FORWARD_REASON_ID_UNKNOWN);
        return;
    }
    request->state = GATE_STATE_DELEGATED;
    gate->ops.delegate(gate->ctx, request);
}

/* Whether another instance may be able to run the request. */
static bool
gate_may_run_elsewhere(enum forward_reason reason)
{
    switch (reason) {
    case FORWARD_REASON_OVERLOADED:
    case FORWARD_REASON_COLD:
    case FORWARD_REASON_DRAINING:
    case FORWARD_REASON_ZONE_OUT:
    case FORWARD_REASON_TARGET_CONNECT:
        return true;
    default:
        return false;
    }
}

void
gate_refuse_or_delegate(struct gate *gate, struct gate_request *request,
                        enum forward_reason reason, uint32_t retry_after_ms)
{
    if (gate_may_run_elsewhere(reason) && gate_may_delegate(gate, request)) {
        gate_delegate(gate, request);
        return;
    }
    gate_refuse(gate, request, reason, retry_after_ms);
}

static void
gate_decide(struct gate *gate, struct gate_request *request,
            const struct admission_decision *decision)
{
    switch (decision->verdict) {
    case ADMISSION_DISPATCH:
        request->state = GATE_STATE_DISPATCHED;
        gate->ops.dispatch(gate->ctx, request);
        return;
    case ADMISSION_QUEUED:
        request->state = GATE_STATE_QUEUED;
        return;
    case ADMISSION_REFUSE:
        gate_refuse_or_delegate(gate, request, decision->reason,
                                decision->retry_after_ms);
        return;
    }
}

static void
gate_admit(struct gate *gate, struct gate_request *request, int64_t now_us)
{
    if (gate_may_delegate(gate, request) &&
        admission_prefers_other_target(gate->admission, now_us)) {
        gate_delegate(gate, request);
        return;
    }
    const struct admission_decision decision =
        admission_arrive(gate->admission, &request->admission, now_us);
    gate_decide(gate, request, &decision);
    if (decision.verdict == ADMISSION_QUEUED) {
        /* The request may have displaced another, or a suspect may start. */
        gate_dispatch_queued(gate, now_us);
    }
}

static void
gate_check_duplicate(struct gate *gate, struct gate_request *request,
                     const struct dedup_time *time)
{
    const struct dedup_request dedup_request = {
        .shard = request->admission.shard,
        .key = request->key,
        .id = request->id,
        .body_hash = request->body_hash,
    };
    const struct dedup_result result =
        dedup_begin(gate->dedup, &dedup_request, &request->waiter, time);
    struct gate_answer answer = {
        .outcome = FORWARD_NOT_RUN,
        .reason = FORWARD_REASON_ID_REUSED,
    };
    switch (result.verdict) {
    case DEDUP_RUN:
        request->entry = result.entry;
        if (gate->executions != NULL) {
            request->state = GATE_STATE_RECORDING;
            request->insert.shard = request->admission.shard;
            executions_insert(gate->executions, &request->insert, request->key,
                              request->id,
                              request->admission.entry.deadline_us);
            return;
        }
        gate_admit(gate, request, time->now_us);
        return;
    case DEDUP_WAIT:
        request->state = GATE_STATE_WAITING;
        return;
    case DEDUP_FULL:
        gate_refuse(gate, request, FORWARD_REASON_OVERLOADED,
                    result.retry_after_ms);
        return;
    case DEDUP_ID_REUSED:
        break;
    case DEDUP_UNKNOWN:
        answer.outcome = FORWARD_UNKNOWN;
        answer.reason = FORWARD_REASON_ID_UNKNOWN;
        break;
    case DEDUP_REPLAY:
        answer.outcome = FORWARD_ANSWERED;
        answer.reason = FORWARD_REASON_NONE;
        answer.replayed = true;
        answer.data = result.answer;
        answer.size = result.answer_size;
        break;
    }
    gate_answer(gate, request, &answer);
    gate_done(gate, request);
}

static void
gate_arrive_with_id(struct gate *gate, struct gate_request *request,
                    const struct dedup_time *time)
{
    const struct admission_decision decision = admission_check_owner(
        gate->admission, &request->admission, time->now_us);
    if (decision.verdict == ADMISSION_REFUSE) {
        gate_refuse(gate, request, decision.reason, decision.retry_after_ms);
        return;
    }
    gate_check_duplicate(gate, request, time);
}

void
gate_arrive(struct gate *gate, struct gate_request *request,
            const struct dedup_time *time)
{
    gate->now_us = time->now_us;
    struct admission_request *admission = &request->admission;
    admission->entry.movable =
        !admission->keyed ||
        (request->may_delegate && gate->ops.delegate != NULL);
    if (admission->keyed && !admission->entry.idempotent &&
        request->id[0] != '\0') {
        gate_arrive_with_id(gate, request, time);
        return;
    }
    gate_admit(gate, request, time->now_us);
}

void
gate_on_execution_verdict(void *ctx, struct executions_insert *insert,
                          enum executions_verdict verdict)
{
    struct gate *gate = ctx;
    struct gate_request *request = gate_request_of_insert(insert);
    switch (verdict) {
    case EXECUTIONS_RECORDED:
        request->recorded = true;
        request->admission.begun = true;
        gate_admit(gate, request, gate->now_us);
        return;
    case EXECUTIONS_PRESENT:
        gate_end_unknown(gate, request, FORWARD_REASON_ID_UNKNOWN);
        return;
    case EXECUTIONS_REFUSED:
        gate_refuse(gate, request, FORWARD_REASON_OVERLOADED,
                    EXECUTIONS_RETRY_AFTER_MS);
        return;
    }
}

bool
gate_begin_send(struct gate *gate, struct gate_request *request,
                int64_t now_us)
{
    gate->now_us = now_us;
    const struct admission_decision decision =
        admission_start(gate->admission, &request->admission, now_us);
    if (decision.verdict == ADMISSION_REFUSE) {
        gate_refuse(gate, request, decision.reason, decision.retry_after_ms);
        gate_dispatch_queued(gate, now_us);
        return false;
    }
    if (request->entry != NULL && !dedup_mark_dispatched(request->entry)) {
        admission_cancel(gate->admission, &request->admission, now_us);
        gate_end_unknown(gate, request, FORWARD_REASON_ID_UNKNOWN);
        return false;
    }
    request->state = GATE_STATE_SENT;
    return true;
}

void
gate_set_incarnation(struct gate *gate, uint64_t crash_id)
{
    gate->crash_id = crash_id;
}

void
gate_tick(struct gate *gate, int64_t now_us)
{
    gate->now_us = now_us;
    admission_tick(gate->admission, now_us);
    dedup_tick(gate->dedup, now_us);
    suspects_tick(gate->suspects, now_us);
    if (gate->executions != NULL) {
        executions_tick(gate->executions, now_us);
    }
    gate_dispatch_queued(gate, now_us);
}

void
gate_dispatch_queued(struct gate *gate, int64_t now_us)
{
    gate->now_us = now_us;
    struct admission_decision decision;
    struct admission_request *next;
    while ((next = admission_next(gate->admission, now_us, &decision)) !=
           NULL) {
        gate_decide(gate, gate_request_of_admission(next), &decision);
    }
}
