#include "gate/gate.h"

#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"

struct gate {
    struct admission *admission;
    struct dedup *dedup;
    struct runs *runs;
    struct suspects *suspects;
    struct gate_ops ops;
    void *ctx;
    struct crash crash;
    uint64_t crash_id;
    int64_t now_us; /* of the latest event, for callbacks without a time */
};

/* The request whose member waiter or insert is given. */
static struct gate_request *
gate_of_waiter(struct dedup_waiter *waiter)
{
    return (
        struct gate_request *)(void *)((char *)waiter -
                                       offsetof(struct gate_request, waiter));
}

static struct gate_request *
gate_of_insert(struct runs_insert *insert)
{
    return (
        struct gate_request *)(void *)((char *)insert -
                                       offsetof(struct gate_request, insert));
}

static struct gate_request *
gate_of_admission(struct admission_request *admission)
{
    return (struct gate_request *)(void *)((char *)admission -
                                           offsetof(struct gate_request,
                                                    admission));
}

struct gate *
gate_create(struct admission *admission, struct dedup *dedup,
            struct runs *runs, struct suspects *suspects,
            const struct gate_ops *ops, void *ctx)
{
    struct gate *gate = calloc(1, sizeof(*gate));
    if (gate == NULL) {
        return NULL;
    }
    gate->admission = admission;
    gate->dedup = dedup;
    gate->runs = runs;
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
gate_set_runs(struct gate *gate, struct runs *runs)
{
    gate->runs = runs;
}

static void
gate_answer(struct gate *gate, struct gate_request *request,
            const struct gate_answer *answer)
{
    if (request->answered) {
        return;
    }
    request->answered = true;
    gate->ops.answer(gate->ctx, request, answer);
}

static void
gate_done(struct gate *gate, struct gate_request *request)
{
    request->state = GATE_STATE_DONE;
    gate->ops.done(gate->ctx, request);
}

static void
gate_end_waiters(struct gate *gate, struct dedup_waiters *waiters,
                 const struct gate_answer *answer)
{
    struct gate_answer shared = *answer;
    shared.replayed = answer->outcome == FORWARD_ANSWERED;
    struct dedup_waiter *waiter;
    while ((waiter = TAILQ_FIRST(waiters)) != NULL) {
        TAILQ_REMOVE(waiters, waiter, link);
        struct gate_request *request = gate_of_waiter(waiter);
        gate_answer(gate, request, &shared);
        gate_done(gate, request);
    }
}

/* Ends a request of which no byte was sent, or that the target shed. */
static void
gate_refuse(struct gate *gate, struct gate_request *request,
            enum forward_reason reason, uint32_t retry_after_ms)
{
    const struct gate_answer answer = {
        .outcome = FORWARD_NOT_RUN,
        .reason = reason,
        .retry_after_ms = retry_after_ms,
    };
    invariant_check(INVARIANT_NOT_RUN,
                    request->state != GATE_STATE_SENT ||
                        reason == FORWARD_REASON_TARGET_SHED,
                    request->id);
    struct dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
    if (request->recorded) {
        runs_release(gate->runs, request->key, request->id);
    }
    if (request->entry != NULL) {
        dedup_not_run(gate->dedup, request->entry, &waiters);
        request->entry = NULL;
    }
    gate_end_waiters(gate, &waiters, &answer);
    gate_answer(gate, request, &answer);
    gate_done(gate, request);
}

/* Ends a request that may have run. */
static void
gate_lose(struct gate *gate, struct gate_request *request,
          enum forward_reason reason)
{
    const struct gate_answer answer = {
        .outcome = FORWARD_UNKNOWN,
        .reason = reason,
    };
    struct dedup_waiters waiters = TAILQ_HEAD_INITIALIZER(waiters);
    if (request->entry != NULL) {
        dedup_lost(gate->dedup, request->entry, gate->now_us, &waiters);
        request->entry = NULL;
    }
    gate_end_waiters(gate, &waiters, &answer);
    gate_answer(gate, request, &answer);
    gate_done(gate, request);
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
    if (!dedup_dispatched(request->entry)) {
        gate_lose(gate, request, FORWARD_REASON_ID_UNKNOWN);
        return;
    }
    request->state = GATE_STATE_DELEGATED;
    gate->ops.delegate(gate->ctx, request);
}

/* Whether another instance may have what this one lacks. */
static bool
gate_lacks_capacity(enum forward_reason reason)
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

static void
gate_refuse_or_delegate(struct gate *gate, struct gate_request *request,
                        enum forward_reason reason, uint32_t retry_after_ms)
{
    if (gate_lacks_capacity(reason) && gate_may_delegate(gate, request)) {
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
        admission_prefers_elsewhere(gate->admission, now_us)) {
        gate_delegate(gate, request);
        return;
    }
    const struct admission_decision decision =
        admission_arrive(gate->admission, &request->admission, now_us);
    gate_decide(gate, request, &decision);
    if (decision.verdict == ADMISSION_QUEUED) {
        gate_pump(gate, now_us); /* a suspect may start, a read give way */
    }
}

static void
gate_begin_id(struct gate *gate, struct gate_request *request,
              const struct dedup_time *time)
{
    const struct dedup_request wanted = {
        .shard = request->admission.shard,
        .key = request->key,
        .id = request->id,
        .body_hash = request->body_hash,
    };
    const struct dedup_result result =
        dedup_begin(gate->dedup, &wanted, &request->waiter, time);
    struct gate_answer answer = {
        .outcome = FORWARD_NOT_RUN,
        .reason = FORWARD_REASON_ID_REUSED,
    };
    switch (result.verdict) {
    case DEDUP_RUN:
        request->entry = result.entry;
        if (gate->runs != NULL) {
            request->state = GATE_STATE_RECORDING;
            runs_insert(gate->runs, &request->insert, request->key,
                        request->id, request->admission.entry.deadline_us);
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
    case DEDUP_REUSED:
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

void
gate_arrive(struct gate *gate, struct gate_request *request,
            const struct dedup_time *time)
{
    gate->now_us = time->now_us;
    const struct admission_decision decision =
        admission_check(gate->admission, &request->admission, time->now_us);
    if (decision.verdict == ADMISSION_REFUSE) {
        gate_refuse(gate, request, decision.reason, decision.retry_after_ms);
        return;
    }
    const struct admission_request *admission = &request->admission;
    if (admission->keyed && !admission->entry.idempotent &&
        request->id[0] != '\0') {
        gate_begin_id(gate, request, time);
        return;
    }
    gate_admit(gate, request, time->now_us);
}

void
gate_on_recorded(void *ctx, struct runs_insert *insert,
                 enum runs_verdict verdict)
{
    struct gate *gate = ctx;
    struct gate_request *request = gate_of_insert(insert);
    switch (verdict) {
    case RUNS_RECORDED:
        request->recorded = true;
        gate_admit(gate, request, gate->now_us);
        return;
    case RUNS_PRESENT:
        gate_lose(gate, request, FORWARD_REASON_ID_UNKNOWN);
        return;
    case RUNS_REFUSED:
        gate_refuse(gate, request, FORWARD_REASON_OVERLOADED,
                    RUNS_RETRY_AFTER_MS);
        return;
    }
}

bool
gate_send(struct gate *gate, struct gate_request *request, int64_t now_us)
{
    gate->now_us = now_us;
    const struct admission_decision decision =
        admission_start(gate->admission, &request->admission, now_us);
    if (decision.verdict == ADMISSION_REFUSE) {
        gate_refuse(gate, request, decision.reason, decision.retry_after_ms);
        gate_pump(gate, now_us);
        return false;
    }
    if (request->entry != NULL && !dedup_dispatched(request->entry)) {
        admission_cancel(gate->admission, &request->admission, now_us);
        gate_lose(gate, request, FORWARD_REASON_ID_UNKNOWN);
        return false;
    }
    request->state = GATE_STATE_SENT;
    return true;
}

static enum limit_sample
gate_sample(enum gate_end end)
{
    switch (end) {
    case GATE_END_ANSWERED:
        return LIMIT_SAMPLE_ANSWERED;
    case GATE_END_SHED:
        return LIMIT_SAMPLE_SHED;
    case GATE_END_CONNECT:
    case GATE_END_CUT:
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
        if (gate->runs != NULL) {
            runs_finished(gate->runs, request->key, request->id, status,
                          gate->now_us);
        }
    }
    gate_end_waiters(gate, &waiters, &answer);
    gate_answer(gate, request, &answer);
    gate_done(gate, request);
}

void
gate_finish(struct gate *gate, struct gate_request *request, enum gate_end end,
            unsigned status, const void *data, size_t size, int64_t now_us)
{
    gate->now_us = now_us;
    const uint64_t fingerprint = request->admission.fingerprint;
    const bool alone = request->admission.alone;
    admission_finish(gate->admission, &request->admission, now_us,
                     gate_sample(end));
    switch (end) {
    case GATE_END_ANSWERED:
        gate_finish_answered(gate, request, status, data, size);
        break;
    case GATE_END_SHED:
        gate_refuse(gate, request, FORWARD_REASON_TARGET_SHED, 0);
        break;
    case GATE_END_CONNECT:
        gate_refuse_or_delegate(gate, request, FORWARD_REASON_TARGET_CONNECT,
                                0);
        break;
    case GATE_END_CUT:
        if (crash_cut(&gate->crash, now_us, fingerprint,
                      limit_in_flight(admission_limit(gate->admission))) ||
            alone) {
            gate_crashed(gate, gate->crash_id, now_us);
        }
        gate_lose(gate, request, FORWARD_REASON_TARGET_CUT);
        break;
    }
    gate_pump(gate, now_us);
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
        gate_lose(gate, request, result->reason);
        return;
    }
}

void
gate_cancel(struct gate *gate, struct gate_request *request, int64_t now_us)
{
    gate->now_us = now_us;
    request->answered = true;
    if (request->entry != NULL && dedup_awaited(request->entry)) {
        return; /* others wait for this execution */
    }
    struct dedup_entry *running;
    switch (request->state) {
    case GATE_STATE_WAITING:
        running = dedup_running(gate->dedup, request->key, request->id);
        if (running != NULL) {
            dedup_leave(gate->dedup, running, &request->waiter);
        }
        gate_done(gate, request);
        return;
    case GATE_STATE_RECORDING:
        runs_cancel(gate->runs, &request->insert);
        gate_refuse(gate, request, FORWARD_REASON_CANCELLED, 0);
        return;
    case GATE_STATE_DELEGATED:
        return; /* runs on; its answer is kept */
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
        gate_lose(gate, request, FORWARD_REASON_CANCELLED);
    }
    else {
        gate_refuse(gate, request, FORWARD_REASON_CANCELLED, 0);
    }
    gate_pump(gate, now_us);
}

void
gate_expire(struct gate *gate, struct gate_request *request, int64_t now_us)
{
    gate->now_us = now_us;
    const bool may_have_run = request->state == GATE_STATE_SENT ||
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
gate_crashed(struct gate *gate, uint64_t crash_id, int64_t now_us)
{
    gate->now_us = now_us;
    uint64_t fingerprints[CRASH_CUTS_MAX];
    const size_t count = crash_take(&gate->crash, now_us, fingerprints);
    if (count > 0) {
        suspects_add_crash(gate->suspects, now_us, crash_id, fingerprints,
                           count);
    }
    limit_restarted(admission_limit(gate->admission), now_us);
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
    if (gate->runs != NULL) {
        runs_tick(gate->runs, now_us);
    }
    gate_pump(gate, now_us);
}

void
gate_pump(struct gate *gate, int64_t now_us)
{
    gate->now_us = now_us;
    struct admission_decision decision;
    struct admission_request *next;
    while ((next = admission_next(gate->admission, now_us, &decision)) !=
           NULL) {
        gate_decide(gate, gate_of_admission(next), &decision);
    }
}
