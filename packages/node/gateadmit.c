/* Decides whether a request may run at the target now, waits or is refused. */
#include "node/localgate_internal.h"

#include <string.h>

#include "base/hash.h"
#include "node/keyowner.h"
#include "node/localtarget.h"

/* Longest wait in the queue, in percent of the time left; shorter if the
 * target could not answer in what then remains. */
#define QUEUE_WAIT_PERCENT 60
/* Of the usual service time, left when a request starts: many take longer than
 * usual, and one that reaches its deadline has used a slot for nothing. */
#define SERVICE_RESERVE_PERCENT 200
#define KEY_WAIT_PERCENT 50 /* of the time until the objective */
#define KEY_WAIT_MIN_US (100 * US_PER_MS)

void
gateadmit_set_deadlines(struct localgate_call *call,
                        const struct relay_request *request)
{
    const struct localgate *gate = call->gate;
    const int64_t left_us = (int64_t)request->left_us;
    const int64_t expected_service_us =
        servicetimes_mean_us(&gate->servicetimes, request->route,
                             targetqueue_service_us(gate->queue));
    const int64_t wait_max_us = left_us * QUEUE_WAIT_PERCENT / 100;
    const int64_t needed_us =
        expected_service_us * SERVICE_RESERVE_PERCENT / 100;
    const int64_t wait_us =
        left_us - needed_us < wait_max_us ? left_us - needed_us : wait_max_us;
    call->queue_request.priority = request->priority;
    call->queue_request.workspace =
        request->workspace[0] != '\0' ? hash_string(request->workspace) : 0;
    call->queue_request.keyed = request->keyed;
    call->queue_request.repeated = request->repeated;
    call->queue_request.objective_deadline_us =
        call->arrived_us + request->due_us;
    call->queue_request.expected_service_us = expected_service_us;
    call->queue_request.start_deadline_us =
        call->arrived_us + (wait_us > 0 ? wait_us : 0);
}

void
gateadmit_refuse_later(struct localgate_call *call, enum relay_reason reason)
{
    call->state = CALL_REFUSED;
    call->refusal = reason;
    timer_start(&call->timer, 0);
}

/** True if the target is cold and its declared rate is not known: this
 * process has read no configuration. */
static bool
cold_rate_is_unknown(const struct localgate *gate)
{
    return node_own_service(gate->node) == NULL &&
           localtarget_cold_until_us(gate->node->target) >
               localgate_now_us(gate);
}

/** Why the target may not run the request now, regardless of its key;
 * RELAY_REASON_NONE if it may. */
static enum relay_reason
gate_refusal(const struct localgate *gate, const struct localgate_call *call)
{
    const struct node *node = gate->node;
    if (!localtarget_accepts_connections(node->target)) {
        return RELAY_REASON_NO_TARGET;
    }
    if (strcmp(localtarget_service(node->target), call->request->service) !=
        0) {
        return RELAY_REASON_NO_TARGET;
    }
    if (nodestop_refuses(node)) {
        return RELAY_REASON_LEAVING;
    }
    if (cold_rate_is_unknown(gate)) {
        return RELAY_REASON_FULL;
    }
    /* No other instance may serve its keys before they are handed over. */
    const int64_t now_us = localgate_now_us(gate);
    const int64_t keyed = call->keyed ? 1 : 0;
    if (localtarget_is_leaving(node->target) &&
        now_us >= localtarget_leaving_since_us(node->target) +
                      keyed * node->settings.drain_us *
                          NODE_KEYED_SERVE_PERCENT / 100) {
        return RELAY_REASON_LEAVING;
    }
    if (node_zone_is_out(gate->node, node->settings.zone) &&
        now_us >= node_zone_out_since_us(node, node->settings.zone) +
                      keyed * node->settings.evacuate_us *
                          NODE_KEYED_SERVE_PERCENT / 100) {
        return RELAY_REASON_ZONE_OUT;
    }
    return RELAY_REASON_NONE;
}

/** The limit that keeps the queue from starting a request in time. */
static enum relay_reason
queue_refusal(struct localgate *gate)
{
    if (targetqueue_bound(gate->queue, localgate_now_us(gate)) !=
        TARGETQUEUE_BOUND_RATE) {
        return RELAY_REASON_FULL;
    }
    gate->rate_limited->value++;
    gate->rate_limited_us = localgate_now_us(gate);
    return RELAY_REASON_LIMITED;
}

/** True if the call is a suspect and another suspect runs at the target. */
static bool
conflicts_with_suspect(const struct localgate_call *call)
{
    const struct localgate_call *other;
    if (!call->suspect) {
        return false;
    }
    TAILQ_FOREACH (other, &call->gate->calls, link) {
        if (other->state == CALL_SENT && other->suspect &&
            other->fingerprint != call->fingerprint) {
            return true;
        }
    }
    return false;
}

/** Repeats the checks, then sends the call to the target. */
static void
call_start(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    enum relay_reason refusal = gate_refusal(gate, call);
    if (refusal == RELAY_REASON_NONE && conflicts_with_suspect(call)) {
        refusal = RELAY_REASON_SUSPECT;
    }
    if (refusal != RELAY_REASON_NONE) {
        targetqueue_release(gate->queue, &call->queue_request,
                            localgate_now_us(gate), false);
        gateadmit_refuse_later(call, refusal);
        return;
    }
    gatesend_start(call);
}

/** Waits for the key, at most for a part of the time until the latency
 * objective, so that a retry by the caller can still meet it. */
static void
call_await_key(struct localgate_call *call)
{
    const int64_t objective_left_us =
        call->queue_request.objective_deadline_us - call->arrived_us;
    int64_t wait_us = objective_left_us * KEY_WAIT_PERCENT / 100;
    wait_us = wait_us > KEY_WAIT_MIN_US ? wait_us : KEY_WAIT_MIN_US;
    const int64_t until_us = call->arrived_us + wait_us;
    call->state = CALL_AWAITS_KEY;
    timer_start_at(&call->timer,
                   until_us < call->queue_request.start_deadline_us
                       ? until_us
                       : call->queue_request.start_deadline_us);
}

/** Adds the call to the load of its key once, even if the queue is full. */
static void
count_demand(struct localgate_call *call)
{
    if (!call->counted) {
        call->counted = true;
        keyowner_count_request(call->gate->node->keyowner, call->key);
    }
}

void
gateadmit_call(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    const int64_t now_us = localgate_now_us(gate);
    const enum relay_reason refusal = gate_refusal(gate, call);
    if (refusal != RELAY_REASON_NONE) {
        gateadmit_refuse_later(call, refusal);
        return;
    }
    if (call->keyed) {
        const enum keyowner_verdict verdict = keyowner_check(
            gate->node->keyowner, call->key, call->request->map_version);
        if (verdict == KEYOWNER_NOT_OWNER) {
            gateadmit_refuse_later(call, RELAY_REASON_NOT_OWNER);
            return;
        }
        count_demand(call);
        if (verdict == KEYOWNER_WAIT) {
            call_await_key(call);
            return;
        }
    }
    timer_stop(&call->timer);
    switch (targetqueue_admit(gate->queue, &call->queue_request, now_us)) {
    case TARGETQUEUE_START:
        call_start(call);
        break;
    case TARGETQUEUE_WAIT:
        call->state = CALL_QUEUED;
        break;
    case TARGETQUEUE_REFUSE:
        gateadmit_refuse_later(call, queue_refusal(gate));
        break;
    }
}

void
gateadmit_run_queue(struct localgate *gate)
{
    enum targetqueue_verdict verdict;
    struct targetqueue_request *queue_request;
    if (gate->serving_queue) {
        return;
    }
    gate->serving_queue = true;
    while ((queue_request = targetqueue_next(
                gate->queue, localgate_now_us(gate), &verdict)) != NULL) {
        struct localgate_call *call = (struct localgate_call *)queue_request;
        if (verdict == TARGETQUEUE_REFUSE) {
            gateadmit_refuse_later(call, queue_refusal(gate));
        }
        else {
            call_start(call);
        }
    }
    gate->serving_queue = false;
    const int64_t wake_us =
        targetqueue_wakeup_us(gate->queue, localgate_now_us(gate));
    if (wake_us == INT64_MAX) {
        timer_stop(&gate->wake);
    }
    else {
        timer_start_at(&gate->wake, wake_us);
    }
}

void
gateadmit_readmit_waiting(struct localgate *gate)
{
    struct localgate_call *call = TAILQ_FIRST(&gate->calls);
    while (call != NULL) {
        struct localgate_call *next = TAILQ_NEXT(call, link);
        if (call->state == CALL_QUEUED) {
            targetqueue_release(gate->queue, &call->queue_request,
                                localgate_now_us(gate), false);
            gateadmit_call(call);
        }
        else if (call->state == CALL_AWAITS_KEY) {
            gateadmit_call(call);
        }
        call = next;
    }
    gateadmit_run_queue(gate);
}
