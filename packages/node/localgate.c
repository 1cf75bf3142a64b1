#include "node/localgate_internal.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "gate"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner.h"
#include "node/localtarget.h"
#include "node/ownrow.h"
#include "node/relaytask.h"

#define EXCESS_AGE_MAX_US (3 * US_PER_SECOND)

static void
on_wake(void *ctx)
{
    gateadmit_run_queue(ctx);
}

struct localgate *
localgate_create(struct node *node)
{
    struct localgate *gate = memory_calloc(1, sizeof(*gate));
    struct counter_registry *counters = node->options.counters;
    gate->node = node;
    gate->queue = targetqueue_create(1);
    gate->notice = gatenotice_create(node);
    TAILQ_INIT(&gate->calls);
    timer_init(&gate->wake, node->runtime, on_wake, gate);
    gate->started =
        counter_add(counters, "gate_started", "requests sent to the target");
    gate->refused = counter_add(counters, "gate_refused",
                                "requests refused before they ran");
    gate->cut =
        counter_add(counters, "gate_cut", "requests whose connection was cut");
    gate->shed =
        counter_add(counters, "gate_shed", "requests that the target shed");
    gate->rate_limited =
        counter_add(counters, "gate_rate_limited",
                    "requests refused for the target's rate limit");
    return gate;
}

int64_t
localgate_now_us(const struct localgate *gate)
{
    return node_now_us(gate->node);
}

static void
call_free(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    timer_stop(&call->timer);
    if (call->http != NULL) {
        http_call_cancel(call->http);
    }
    targetqueue_release(gate->queue, &call->queue_request,
                        localgate_now_us(gate), false);
    TAILQ_REMOVE(&gate->calls, call, link);
    free(call);
}

void
localgate_destroy(struct localgate *gate)
{
    if (gate == NULL) {
        return;
    }
    struct localgate_call *call = TAILQ_FIRST(&gate->calls);
    while (call != NULL) {
        struct localgate_call *next = TAILQ_NEXT(call, link);
        call_free(call);
        call = next;
    }
    timer_stop(&gate->wake);
    gatenotice_destroy(gate->notice);
    targetqueue_destroy(gate->queue);
    free(gate);
}

void
localgate_answer(struct localgate_call *call, struct relay_reply *reply)
{
    struct localgate *gate = call->gate;
    const localgate_cb done = call->request != NULL ? call->done : NULL;
    void *ctx = call->ctx;
    const uint32_t key = call->key;
    const bool names_owner =
        reply->reason == RELAY_REASON_NOT_OWNER && call->keyed;
    call_free(call);
    reply->owner = "";
    if (names_owner) {
        reply->owner = (char *)keyowner_find_owner(gate->node->keyowner, key);
        reply->map_version = keyowner_map_version(gate->node->keyowner, key);
    }
    reply->load = localgate_load(gate);
    reply->cold = localgate_is_cold(gate);
    gatenotice_fill_reply(
        gate->notice, reply,
        targetqueue_expected_wait_us(gate->queue, localgate_now_us(gate)));
    if (done != NULL) {
        done(ctx, reply);
    }
}

void
localgate_fail(struct localgate_call *call, enum relay_outcome outcome,
               enum relay_reason reason, bool reached)
{
    struct localgate *gate = call->gate;
    if (outcome == RELAY_NOT_RUN) {
        gate->refused->value++;
        LOG_STEP(
            "refused", LOG_STR("id", call->id),
            LOG_STR("reason", relaytask_reason(reason)),
            LOG_INT("key", call->keyed ? (int64_t)call->key : -1),
            LOG_INT("waited_ms",
                    (localgate_now_us(gate) - call->arrived_us) / US_PER_MS),
            LOG_UINT("running", targetqueue_running(gate->queue)),
            LOG_UINT("waiting", targetqueue_waiting(gate->queue)),
            LOG_UINT("limit", targetqueue_limit(gate->queue)),
            LOG_STR("bound", targetqueue_bound_name(targetqueue_bound(
                                 gate->queue, localgate_now_us(gate)))),
            LOG_INT("rate_per_1000_s", gatenotice_per_1000_s(gate->notice)),
            LOG_INT("usual_ms",
                    targetqueue_service_us(gate->queue) / US_PER_MS),
            LOG_BOOL("cold", localgate_is_cold(gate)));
    }
    struct relay_reply reply = {
        .outcome = outcome,
        .reason = reason,
        .reached = reached,
        .retry_after_us = (u_quad_t)targetqueue_assign_return_us(
            gate->queue, localgate_now_us(gate)),
    };
    localgate_answer(call, &reply);
}

static void
on_call_timer(void *ctx)
{
    struct localgate_call *call = ctx;
    if (call->state == CALL_SENT) {
        gatesend_on_latest_send(call);
        return;
    }
    const bool awaits_key = call->state == CALL_AWAITS_KEY;
    localgate_fail(call, RELAY_NOT_RUN,
                   awaits_key ? RELAY_REASON_MOVING : call->refusal, false);
}

struct localgate_call *
localgate_submit(struct localgate *gate, const struct relay_request *request,
                 int64_t transit_us, localgate_cb done, void *ctx)
{
    struct localgate_call *call = memory_calloc(1, sizeof(*call));
    const int64_t now_us = localgate_now_us(gate);
    call->gate = gate;
    call->arrived_us = now_us;
    call->request = request;
    call->done = done;
    call->ctx = ctx;
    call->key = request->key;
    call->keyed = request->keyed;
    call->fingerprint = request->fingerprint;
    call->route = request->route;
    call->suspect =
        gatecrash_is_suspect(&gate->node->instancetable, call->fingerprint);
    call->deadline_us = now_us + (int64_t)request->left_us - transit_us;
    strncpy(call->id, request->id, sizeof(call->id) - 1);
    gateadmit_set_deadlines(call, request, transit_us);
    timer_init(&call->timer, gate->node->runtime, on_call_timer, call);
    TAILQ_INSERT_TAIL(&gate->calls, call, link);
    if (request->limit != NULL) {
        gatenotice_hear_peer_limit(gate->notice, request->limit);
    }
    if (strcmp(request->to, gate->node->settings.instance) != 0) {
        gateadmit_refuse_later(call, RELAY_REASON_NO_TARGET);
        return call;
    }
    if (call->deadline_us <= now_us || request->key >= DECLARED_KEY_COUNT) {
        gateadmit_refuse_later(call, RELAY_REASON_DEADLINE);
        return call;
    }
    gateadmit_call(call);
    gateadmit_run_queue(gate);
    return call;
}

bool
localgate_may_have_run(const struct localgate_call *call)
{
    return call->state == CALL_SENT &&
           (call->http == NULL || http_call_is_sent(call->http));
}

const char *
localgate_stage(const struct localgate_call *call)
{
    switch (call->state) {
    case CALL_REFUSED:
        return "refusal";
    case CALL_AWAITS_KEY:
        return "key";
    case CALL_QUEUED:
        return "slot";
    case CALL_SENT:
        break;
    }
    return localgate_may_have_run(call) ? "target" : "target-connection";
}

void
localgate_withdraw(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    if (!localgate_may_have_run(call)) {
        localgate_fail(call, RELAY_NOT_RUN, RELAY_REASON_WITHDRAWN, false);
        gateadmit_run_queue(gate);
    }
}

void
localgate_readmit(struct localgate *gate)
{
    gateadmit_readmit_waiting(gate);
}

bool
localgate_is_idle(const struct localgate *gate)
{
    return TAILQ_EMPTY(&gate->calls);
}

void
localgate_cancel(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    const bool keeps_running =
        localgate_may_have_run(call) && !call->request->idempotent;
    LOG_STEP("cancelled", LOG_STR("id", call->id),
             LOG_STR("at", localgate_stage(call)),
             LOG_BOOL("runs_on", keeps_running),
             LOG_INT("after_ms",
                     (localgate_now_us(gate) - call->arrived_us) / US_PER_MS));
    call->request = NULL;
    if (!keeps_running) {
        call_free(call);
        gateadmit_run_queue(gate);
    }
}

void
localgate_target_gone(struct localgate *gate)
{
    struct gatecrash_suspects suspects = {.count = 0};
    gatecrash_add_cuts(&gate->crash, &suspects, localgate_now_us(gate));
    struct localgate_call *call = TAILQ_FIRST(&gate->calls);
    while (call != NULL) {
        struct localgate_call *next = TAILQ_NEXT(call, link);
        if (call->state == CALL_SENT) {
            const bool sent =
                call->http != NULL && http_call_is_sent(call->http);
            if (sent) {
                gatecrash_add_suspect(&suspects, call->fingerprint);
            }
            localgate_fail(call, sent ? RELAY_UNKNOWN : RELAY_NOT_RUN,
                           RELAY_REASON_CUT, sent);
            /* The callback may have freed other calls too. */
            next = TAILQ_FIRST(&gate->calls);
        }
        call = next;
    }
    ownrow_report_suspects(gate->node->ownrow, suspects.fingerprints,
                           suspects.count);
}

/** Applies the target's slots and rate limit to the queue. */
static void
apply_limits(struct localgate *gate)
{
    const struct limitnotice *notice = gatenotice_limit(gate->notice);
    targetqueue_set_limit(
        gate->queue,
        gatenotice_slots(gate->notice, localtarget_slots(gate->node->target)));
    if (notice->limited) {
        targetqueue_set_rate(gate->queue, notice->per_s,
                             localgate_now_us(gate));
    }
    else {
        targetqueue_clear_rate(gate->queue);
    }
}

void
localgate_target_changed(struct localgate *gate)
{
    const struct declared_service *service = node_own_service(gate->node);
    const struct localtarget *target = gate->node->target;
    gatenotice_target_changed(gate->notice);
    apply_limits(gate);
    if (service != NULL && service->cold_requests_per_s > 0) {
        targetqueue_set_cold(gate->queue, localtarget_cold_until_us(target),
                             service->cold_requests_per_s);
    }
    gateadmit_readmit_waiting(gate);
}

void
localgate_rate_changed(struct localgate *gate)
{
    apply_limits(gate);
    gateadmit_run_queue(gate);
}

void
localgate_read_health(struct localgate *gate,
                      const struct http_headers *headers, int64_t sent_us)
{
    gatenotice_read(gate->notice, LIMITNOTICE_HEALTH, headers, sent_us);
}

void
localgate_keys_changed(struct localgate *gate)
{
    gateadmit_readmit_waiting(gate);
}

/** Inserts a key in order unless it is there. @return the new number */
static size_t
insert_key(uint32_t *keys, size_t count, uint32_t key)
{
    size_t index = count;
    while (index > 0 && keys[index - 1] >= key) {
        index--;
    }
    if (index < count && keys[index] == key) {
        return count;
    }
    memmove(&keys[index + 1], &keys[index], (count - index) * sizeof(*keys));
    keys[index] = key;
    return count + 1;
}

size_t
localgate_running_keys(const struct localgate *gate, uint32_t first,
                       uint32_t last, uint32_t *keys, size_t max)
{
    const struct localgate_call *call;
    size_t count = 0;
    TAILQ_FOREACH (call, &gate->calls, link) {
        if (call->state != CALL_SENT || !call->keyed || call->key < first ||
            call->key > last) {
            continue;
        }
        if (count == max) {
            return max + 1;
        }
        count = insert_key(keys, count, call->key);
    }
    return count;
}

unsigned
localgate_load(const struct localgate *gate)
{
    return targetqueue_running(gate->queue) + targetqueue_waiting(gate->queue);
}

unsigned
localgate_running(const struct localgate *gate)
{
    return targetqueue_running(gate->queue);
}

int64_t
localgate_service_us(const struct localgate *gate)
{
    return targetqueue_service_us(gate->queue);
}

bool
localgate_is_cold(const struct localgate *gate)
{
    return targetqueue_is_cold(gate->queue, localgate_now_us(gate));
}

const struct limitnotice *
localgate_limit(const struct localgate *gate)
{
    return gatenotice_limit(gate->notice);
}

enum relay_limit_state
localgate_limit_state(const struct localgate *gate)
{
    return gatenotice_state(gate->notice);
}

bool
localgate_exceeds_limit(const struct localgate *gate)
{
    return gatenotice_limit(gate->notice)->limited &&
           gate->rate_limited->value > 0 &&
           localgate_now_us(gate) - gate->rate_limited_us < EXCESS_AGE_MAX_US;
}
