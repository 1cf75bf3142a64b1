#include "gate/gate_internal.h"

#include "base/invariant.h"

static struct gate_request *
gate_request_of_waiter(struct dedup_waiter *waiter)
{
    return (
        struct gate_request *)(void *)((char *)waiter -
                                       offsetof(struct gate_request, waiter));
}

void
gate_answer(struct gate *gate, struct gate_request *request,
            const struct gate_answer *answer)
{
    if (request->answered) {
        return;
    }
    request->answered = true;
    gate->ops.answer(gate->ctx, request, answer);
}

void
gate_done(struct gate *gate, struct gate_request *request)
{
    request->state = GATE_STATE_DONE;
    gate->ops.done(gate->ctx, request);
}

static void
gate_answer_waiters(struct gate *gate, struct dedup_waiters *waiters,
                    const struct gate_answer *answer)
{
    struct gate_answer shared = *answer;
    shared.replayed = answer->outcome == FORWARD_ANSWERED;
    struct dedup_waiter *waiter;
    while ((waiter = TAILQ_FIRST(waiters)) != NULL) {
        TAILQ_REMOVE(waiters, waiter, link);
        struct gate_request *request = gate_request_of_waiter(waiter);
        gate_answer(gate, request, &shared);
        gate_done(gate, request);
    }
}

void
gate_refuse(struct gate *gate, struct gate_request *request,
            enum forward_reason reason, uint32_t retry_after_ms)
{
    const struct gate_answer answer = {
        .outcome = FORWARD_NOT_RUN,
        .reason = reason,
        .retry_after_ms = retry_after_ms,
    };
    /* After the send, only a shed answer or a failed connection shows that
     * the target has not run it. */
    invariant_check(INVARIANT_NOT_RUN,
                    request->state != GATE_STATE_SENT ||
                        reason == FORWARD_REASON_TARGET_SHED ||
                        reason == FORWARD_REASON_TARGET_CONNECT,
                    request->id);
    struct dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
    if (request->recorded) {
        executions_release(gate->executions, &request->insert, request->key,
                           request->id);
    }
    if (request->entry != NULL) {
        dedup_finish_not_run(gate->dedup, request->entry, &waiters);
        request->entry = NULL;
    }
    gate_answer_waiters(gate, &waiters, &answer);
    gate_answer(gate, request, &answer);
    gate_done(gate, request);
}

void
gate_end_unknown(struct gate *gate, struct gate_request *request,
                 enum forward_reason reason)
{
    const struct gate_answer answer = {
        .outcome = FORWARD_UNKNOWN,
        .reason = reason,
    };
    struct dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
    if (request->entry != NULL) {
        dedup_finish_unknown(gate->dedup, request->entry, gate->now_us,
                             &waiters);
        request->entry = NULL;
    }
    gate_answer_waiters(gate, &waiters, &answer);
    gate_answer(gate, request, &answer);
    gate_done(gate, request);
}

static enum limit_sample
gate_limit_sample(enum gate_result result)
{
    switch (result) {
    case GATE_RESULT_ANSWERED:
        return LIMIT_SAMPLE_ANSWERED;
    case GATE_RESULT_SHED:
        return LIMIT_SAMPLE_SHED;
    case GATE_RESULT_CANCELLED:
        return LIMIT_SAMPLE_ABANDONED;
    case GATE_RESULT_CONNECT_FAILED:
    case GATE_RESULT_CUT:
        break;
    }
    return LIMIT_SAMPLE_FAILED;
}

static void
gate_finish_answered(struct gate *gate, struct gate_request *request,
                     unsigned status, const void *data, size_t size)
{
    const struct gate_answer answer = {
        .outcome = FORWARD_ANSWERED,
        .data = data,
        .size = size,
    };
    struct dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
    if (request->entry != NULL) {
        dedup_finish(gate->dedup, request->entry, data, size, gate->now_us,
                     &waiters);
        request->entry = NULL;
        if (gate->executions != NULL) {
            executions_finished(gate->executions, request->key, request->id,
                                status, gate->now_us);
        }
    }
    gate_answer_waiters(gate, &waiters, &answer);
    gate_answer(gate, request, &answer);
    gate_done(gate, request);
}

void
gate_finish(struct gate *gate, struct gate_request *request,
            enum gate_result result, unsigned status, const void *data,
            size_t size, int64_t now_us)
{
    gate->now_us = now_us;
    const uint64_t fingerprint = request->admission.fingerprint;
    const bool alone = request->admission.alone;
    admission_finish(gate->admission, &request->admission, now_us,
                     gate_limit_sample(result));
    switch (result) {
    case GATE_RESULT_ANSWERED:
        gate_finish_answered(gate, request, status, data, size);
        break;
    case GATE_RESULT_SHED:
        gate_refuse(gate, request, FORWARD_REASON_TARGET_SHED, 0);
        break;
    case GATE_RESULT_CONNECT_FAILED:
        gate_refuse_or_delegate(gate, request, FORWARD_REASON_TARGET_CONNECT,
                                0);
        break;
    case GATE_RESULT_CUT:
        if (crash_record_cut(
                &gate->crash, now_us, fingerprint,
                limit_in_flight(admission_limit(gate->admission))) ||
            alone) {
            gate_target_crashed(gate, gate->crash_id, now_us);
        }
        gate_end_unknown(gate, request, FORWARD_REASON_TARGET_CUT);
        break;
    case GATE_RESULT_CANCELLED:
        gate_end_unknown(gate, request, FORWARD_REASON_CANCELLED);
        break;
    }
    gate_dispatch_queued(gate, now_us);
}

void
gate_delegated(struct gate *gate, struct gate_request *request,
               const struct gate_delegated *result, int64_t now_us)
{
    gate->now_us = now_us;
    switch (result->outcome) {
    case FORWARD_ANSWERED:
        gate_finish_answered(gate, request, result->status, result->data,
                             result->size);
        return;
    case FORWARD_NOT_RUN:
        gate_refuse(gate, request, result->reason, result->retry_after_ms);
        return;
    case FORWARD_UNKNOWN:
        gate_end_unknown(gate, request, result->reason);
        return;
    }
}

void
gate_cancel(struct gate *gate, struct gate_request *request, int64_t now_us)
{
    gate->now_us = now_us;
    request->answered = true;
    if (request->entry != NULL && dedup_has_waiters(request->entry)) {
        return; /* other requests wait for its answer */
    }
    struct dedup_entry *running;
    switch (request->state) {
    case GATE_STATE_WAITING:
        running = dedup_find_running(gate->dedup, request->key, request->id);
        if (running != NULL) {
            dedup_cancel_wait(gate->dedup, running, &request->waiter);
        }
        gate_done(gate, request);
        return;
    case GATE_STATE_RECORDING:
        executions_cancel(gate->executions, &request->insert);
        gate_refuse(gate, request, FORWARD_REASON_CANCELLED, 0);
        return;
    case GATE_STATE_DELEGATED:
        return; /* continues for later retries */
    case GATE_STATE_SENT:
        if (request->entry != NULL) {
            return;
        }
        gate->ops.stop(gate->ctx, request);
        break;
    case GATE_STATE_DISPATCHED:
        gate->ops.stop(gate->ctx, request);
        break;
    case GATE_STATE_QUEUED:
        break;
    case GATE_STATE_NEW:
    case GATE_STATE_DONE:
        return;
    }
    admission_cancel(gate->admission, &request->admission, now_us);
    if (request->state == GATE_STATE_SENT) {
        gate_end_unknown(gate, request, FORWARD_REASON_CANCELLED);
    }
    else {
        gate_refuse(gate, request, FORWARD_REASON_CANCELLED, 0);
    }
    gate_dispatch_queued(gate, now_us);
}

void
gate_expire(struct gate *gate, struct gate_request *request, int64_t now_us)
{
    gate->now_us = now_us;
    /* The request continues if others wait for its answer. */
    const bool continues =
        request->entry != NULL && dedup_has_waiters(request->entry);
    const bool may_have_run = continues || request->state == GATE_STATE_SENT ||
                              request->state == GATE_STATE_DELEGATED ||
                              request->state == GATE_STATE_WAITING;
    const struct gate_answer answer = {
        .outcome = may_have_run ? FORWARD_UNKNOWN : FORWARD_NOT_RUN,
        .reason = FORWARD_REASON_DEADLINE,
    };
    gate_answer(gate, request, &answer);
    gate_cancel(gate, request, now_us);
}

void
gate_target_crashed(struct gate *gate, uint64_t crash_id, int64_t now_us)
{
    gate->now_us = now_us;
    uint64_t fingerprints[CRASH_CUTS_MAX];
    const size_t count =
        crash_take_fingerprints(&gate->crash, now_us, fingerprints);
    if (count > 0) {
        suspects_add_crash(gate->suspects, now_us, crash_id, fingerprints,
                           count);
    }
    limit_target_restarted(admission_limit(gate->admission), now_us);
}
