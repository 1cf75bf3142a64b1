#include "node/localgate.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "gate"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/slots.h"
#include "fleet/worktimes.h"
#include "node/gatecrash.h"
#include "node/keeper.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/nodemetrics.h"
#include "node/ownrow.h"
#include "node/relaytask.h"

/* The target answers by itself at the deadline that it was given. */
#define TARGET_GRACE_US (100 * US_PER_MS)
/* Part of the bounds for a leave in which keys are served until they moved. */
#define GRACE_PERCENT 55
/* A request waits for room in this part of the time that it has, if the
 * target can still answer then. */
#define QUEUE_PERCENT 60

/* Where a request is. */
enum call_state {
    CALL_REFUSED, /* its answer is due */
    CALL_PARKED,  /* its key is on its way */
    CALL_QUEUED,  /* in the slots' queue */
    CALL_SENT,
};

struct localgate_call {
    struct slots_entry entry; /* first: found by it */
    TAILQ_ENTRY(localgate_call) link;
    struct localgate *gate;
    const struct relay_request *request; /* NULL once cancelled */
    localgate_cb done;
    void *ctx;
    enum call_state state;
    enum relay_reason refusal;
    int64_t deadline_us;
    uint64_t fingerprint;
    uint64_t route;
    uint32_t key;
    bool keyed;
    bool suspect; /* runs beside no other suspect */
    bool counted; /* as demand for its key */
    struct timer timer;
    int64_t arrived_us;
    int64_t sent_us;
    struct http_call *http;
    char id[RELAY_TEXT_MAX + 1];
};

TAILQ_HEAD(localgate_calls, localgate_call);

struct localgate {
    struct node *node;
    struct slots *slots;
    struct worktimes worktimes;
    struct localgate_calls calls;
    struct timer wake;
    struct gatecrash crash;
    bool pumping;
    struct counter *started;
    struct counter *refused;
    struct counter *cut;
    struct counter *shed;
};

static void gate_pump(struct localgate *gate);

static void
on_wake(void *ctx)
{
    gate_pump(ctx);
}

struct localgate *
localgate_create(struct node *node)
{
    struct localgate *gate = memory_zeroed(1, sizeof(*gate));
    struct counter_registry *counters = node->options.counters;
    gate->node = node;
    gate->slots = slots_create(1);
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
    return gate;
}

static int64_t
now_of(const struct localgate *gate)
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
    slots_leave(gate->slots, &call->entry, now_of(gate), false);
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
    slots_destroy(gate->slots);
    free(gate);
}

/** Answers and frees a call. */
static void
call_answer(struct localgate_call *call, struct relay_reply *reply)
{
    struct localgate *gate = call->gate;
    const localgate_cb done = call->request != NULL ? call->done : NULL;
    void *ctx = call->ctx;
    const bool keyed = call->keyed;
    const uint32_t key = call->key;
    call_free(call);
    reply->owner = (char *)(reply->reason == RELAY_REASON_NOT_OWNER && keyed
                                ? keeper_owner(gate->node->keeper, key)
                                : "");
    reply->load = localgate_load(gate);
    reply->cold = localgate_is_cold(gate);
    if (done != NULL) {
        done(ctx, reply);
    }
}

static void
call_fail(struct localgate_call *call, enum relay_outcome outcome,
          enum relay_reason reason, bool reached)
{
    struct localgate *gate = call->gate;
    if (outcome == RELAY_NOT_RUN) {
        gate->refused->value++;
        LOG_INFO(
            "refused", LOG_STR("id", call->id),
            LOG_STR("reason", relaytask_reason(reason)),
            LOG_INT("key", call->keyed ? (int64_t)call->key : -1),
            LOG_INT("waited_ms",
                    (now_of(gate) - call->arrived_us) / US_PER_MS),
            LOG_UINT("running", slots_running(gate->slots)),
            LOG_UINT("waiting", slots_waiting(gate->slots)),
            LOG_UINT("limit", slots_limit(gate->slots)),
            LOG_INT("usual_ms", slots_service_us(gate->slots) / US_PER_MS),
            LOG_BOOL("cold", localgate_is_cold(gate)));
    }
    struct relay_reply reply = {
        .outcome = outcome,
        .reason = reason,
        .reached = reached,
        .retry_after_us = (u_quad_t)slots_wait_us(gate->slots, now_of(gate)),
    };
    call_answer(call, &reply);
}

/** Refuses in the next iteration of the loop. */
static void
call_refuse_later(struct localgate_call *call, enum relay_reason reason)
{
    call->state = CALL_REFUSED;
    call->refusal = reason;
    timer_start(&call->timer, 0);
}

/** Whether the target may run requests now, whatever their key. */
static enum relay_reason
gate_closed(const struct localgate *gate, const struct localgate_call *call)
{
    const struct node *node = gate->node;
    if (!localtarget_present(node->target)) {
        return RELAY_REASON_NO_TARGET;
    }
    if (strcmp(localtarget_service(node->target), call->request->service) !=
        0) {
        return RELAY_REASON_NO_TARGET;
    }
    if (nodestop_refuses(node)) {
        return RELAY_REASON_LEAVING;
    }
    /* Nobody else may serve its keys before they have moved. */
    const int64_t now_us = now_of(gate);
    const int64_t grace = call->keyed ? 1 : 0;
    if (localtarget_leaves(node->target) &&
        now_us >= localtarget_leaving_since_us(node->target) +
                      grace * node->settings.drain_us * GRACE_PERCENT / 100) {
        return RELAY_REASON_LEAVING;
    }
    if (node_zone_is_out(gate->node, node->settings.zone) &&
        now_us >=
            node_zone_out_since_us(node, node->settings.zone) +
                grace * node->settings.evacuate_us * GRACE_PERCENT / 100) {
        return RELAY_REASON_ZONE_OUT;
    }
    return RELAY_REASON_NONE;
}

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

/** The target answered by itself. */
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
    ownrow_forgive(call->gate->node->ownrow, call->fingerprint);
    fill_fields(fields, result->headers, &reply.fields.fields_len);
    reply.fields.fields_val = fields;
    call_answer(call, &reply);
}

static void
on_answer(struct localgate_call *call, const struct http_result *result)
{
    struct localgate *gate = call->gate;
    struct wire_answer answer;
    gate->node->wire->read_answer(result, &answer);
    slots_leave(gate->slots, &call->entry, now_of(gate),
                answer.kind == WIRE_ANSWER_RUN);
    if (answer.kind == WIRE_ANSWER_RUN) {
        worktimes_note(&gate->worktimes, call->route,
                       now_of(gate) - call->sent_us);
    }
    switch (answer.kind) {
    case WIRE_ANSWER_RUN:
        call_answered(call, result);
        break;
    case WIRE_ANSWER_NOT_RUN:
        gate->shed->value++;
        call_fail(call, RELAY_NOT_RUN, RELAY_REASON_SHED, true);
        break;
    case WIRE_ANSWER_NOT_HELD:
        LOG_WARN("not_held", LOG_STR("id", call->id),
                 LOG_UINT("key", call->key), LOG_BOOL("keyed", call->keyed));
        if (call->keyed) {
            keeper_not_held(gate->node->keeper, call->key);
        }
        call_fail(call, RELAY_NOT_RUN, RELAY_REASON_MOVING, false);
        break;
    case WIRE_ANSWER_INVALID:
        call_fail(call, RELAY_UNKNOWN, RELAY_REASON_INVALID, true);
        break;
    }
}

/** How a request at the target ended: always if not with an answer. */
static void
log_run(const struct localgate_call *call, const struct http_result *result)
{
    const struct localgate *gate = call->gate;
    if (result->outcome == HTTP_ANSWERED && !log_sampled(call->id)) {
        return;
    }
    LOG_INFO(
        "run", LOG_STR("id", call->id), LOG_INT("outcome", result->outcome),
        LOG_UINT("status", result->status),
        LOG_INT("queued_ms", (call->sent_us - call->arrived_us) / US_PER_MS),
        LOG_INT("ran_ms", (now_of(gate) - call->sent_us) / US_PER_MS),
        LOG_UINT("running", slots_running(gate->slots)),
        LOG_UINT("waiting", slots_waiting(gate->slots)),
        LOG_BOOL("cold", localgate_is_cold(gate)));
}

static void
on_http(void *ctx, const struct http_result *result)
{
    struct localgate_call *call = ctx;
    struct localgate *gate = call->gate;
    struct localtarget *target = gate->node->target;
    log_run(call, result);
    nodemetrics_count(gate->node->nodemetrics, NODEMETRICS_TARGET,
                      now_of(gate) - call->sent_us);
    const bool late = now_of(gate) >= call->deadline_us;
    call->http = NULL;
    switch (result->outcome) {
    case HTTP_ANSWERED:
        on_answer(call, result);
        break;
    case HTTP_NOT_SENT:
        call_fail(call, RELAY_NOT_RUN,
                  late ? RELAY_REASON_DEADLINE : RELAY_REASON_CONNECT, false);
        break;
    case HTTP_REFUSED:
        call_fail(call, RELAY_NOT_RUN, RELAY_REASON_CONNECT, false);
        localtarget_refused(target);
        break;
    case HTTP_TIMED_OUT:
        call_fail(call, RELAY_UNKNOWN, RELAY_REASON_DEADLINE, true);
        break;
    case HTTP_CUT:
        gate->cut->value++;
        gatecrash_note_cut(&gate->crash, call->fingerprint, now_of(gate));
        call_fail(call, RELAY_UNKNOWN, RELAY_REASON_CUT, true);
        localtarget_cut(target);
        break;
    case HTTP_MALFORMED:
        call_fail(call, RELAY_UNKNOWN, RELAY_REASON_INVALID, true);
        break;
    }
    gate_pump(gate);
}

static bool
on_belongs(void *ctx, const struct http_headers *headers)
{
    const struct localgate_call *call = ctx;
    return call->gate->node->wire->belongs(headers, call->id);
}

static void
call_send(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    const struct node *node = gate->node;
    const struct relay_request *request = call->request;
    const struct keymap_holder holder = localtarget_holder(node->target);
    struct http_headers headers = {.items = NULL};
    for (u_int i = 0; i < request->fields.fields_len; i++) {
        const struct relay_field *field = &request->fields.fields_val[i];
        http_headers_add(&headers, field->name, field->value);
    }
    node->wire->add_target_fields(
        &headers, &(struct wire_target_fields){
                      .target = holder.target,
                      .caller = request->caller,
                      .time_left_us = call->deadline_us - now_of(gate),
                  });
    call->state = CALL_SENT;
    call->sent_us = now_of(gate);
    nodemetrics_count(node->nodemetrics, NODEMETRICS_QUEUE,
                      call->sent_us - call->arrived_us);
    timer_stop(&call->timer);
    gate->started->value++;
    call->http =
        http_call_start(localtarget_client(node->target),
                        &(struct http_call_spec){
                            .method = request->method,
                            .target = request->path,
                            .headers = headers.items,
                            .header_count = headers.count,
                            .body = request->body.body_val,
                            .body_size = request->body.body_len,
                            .deadline_us = call->deadline_us + TARGET_GRACE_US,
                            .belongs = on_belongs,
                            .done = on_http,
                            .ctx = call,
                        });
    http_headers_clear(&headers);
}

/** True while another request that may stop targets is at this one. */
static bool
is_beside_suspect(const struct localgate_call *call)
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

/** The target may take it: last check, then it is sent. */
static void
call_start(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    enum relay_reason closed = gate_closed(gate, call);
    if (closed == RELAY_REASON_NONE && is_beside_suspect(call)) {
        closed = RELAY_REASON_SUSPECT;
    }
    if (closed != RELAY_REASON_NONE) {
        slots_leave(gate->slots, &call->entry, now_of(gate), false);
        call_refuse_later(call, closed);
        return;
    }
    call_send(call);
}

/** Lets it wait for its key. */
static void
call_park(struct localgate_call *call)
{
    call->state = CALL_PARKED;
    timer_start_at(&call->timer, call->entry.give_up_us);
}

/** Counts what is asked of the key, also if there is no room for it. */
static void
count_demand(struct localgate_call *call)
{
    if (!call->counted) {
        call->counted = true;
        keeper_count(call->gate->node->keeper, call->key);
    }
}

/** Decides about a call that is not in the queue. */
static void
call_decide(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    const int64_t now_us = now_of(gate);
    const enum relay_reason closed = gate_closed(gate, call);
    if (closed != RELAY_REASON_NONE) {
        call_refuse_later(call, closed);
        return;
    }
    if (call->keyed) {
        const enum keeper_verdict verdict =
            keeper_check(gate->node->keeper, call->key);
        if (verdict == KEEPER_ELSEWHERE) {
            call_refuse_later(call, RELAY_REASON_NOT_OWNER);
            return;
        }
        count_demand(call);
        if (verdict == KEEPER_WAIT) {
            call_park(call);
            return;
        }
    }
    timer_stop(&call->timer);
    switch (slots_arrive(gate->slots, &call->entry, now_us)) {
    case SLOTS_START:
        call_start(call);
        break;
    case SLOTS_WAIT:
        call->state = CALL_QUEUED;
        break;
    case SLOTS_REFUSE:
        call_refuse_later(call, RELAY_REASON_FULL);
        break;
    }
}

static void
on_call_timer(void *ctx)
{
    struct localgate_call *call = ctx;
    const bool parked = call->state == CALL_PARKED;
    call_fail(call, RELAY_NOT_RUN,
              parked ? RELAY_REASON_MOVING : call->refusal, false);
}

/** Sets how urgent the call is and how long it may wait. */
static void
set_entry(struct localgate_call *call, const struct relay_request *request)
{
    const struct localgate *gate = call->gate;
    const int64_t left_us = (int64_t)request->left_us;
    const int64_t work_us = worktimes_usual_us(
        &gate->worktimes, request->route, slots_service_us(gate->slots));
    const int64_t most_us = left_us * QUEUE_PERCENT / 100;
    const int64_t wait_us =
        left_us - work_us < most_us ? left_us - work_us : most_us;
    call->entry.priority = request->priority;
    call->entry.due_us = call->arrived_us + request->due_us;
    call->entry.work_us = work_us;
    call->entry.give_up_us = call->arrived_us + (wait_us > 0 ? wait_us : 0);
}

struct localgate_call *
localgate_submit(struct localgate *gate, const struct relay_request *request,
                 localgate_cb done, void *ctx)
{
    struct localgate_call *call = memory_zeroed(1, sizeof(*call));
    const int64_t now_us = now_of(gate);
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
        gatecrash_is_suspect(&gate->node->roster, call->fingerprint);
    call->deadline_us = now_us + (int64_t)request->left_us;
    strncpy(call->id, request->id, sizeof(call->id) - 1);
    set_entry(call, request);
    timer_init(&call->timer, gate->node->runtime, on_call_timer, call);
    TAILQ_INSERT_TAIL(&gate->calls, call, link);
    if (strcmp(request->to, gate->node->settings.instance) != 0) {
        call_refuse_later(call, RELAY_REASON_NO_TARGET);
        return call;
    }
    if (call->deadline_us <= now_us || request->key >= DECLARED_KEYS) {
        call_refuse_later(call, RELAY_REASON_DEADLINE);
        return call;
    }
    call_decide(call);
    gate_pump(gate);
    return call;
}

void
localgate_cancel(struct localgate_call *call)
{
    struct localgate *gate = call->gate;
    const bool runs_on =
        call->state == CALL_SENT && !call->request->idempotent;
    if (call->state == CALL_SENT) {
        LOG_INFO("cancelled", LOG_STR("id", call->id),
                 LOG_BOOL("runs_on", runs_on),
                 LOG_INT("ran_ms",
                         (now_of(gate) - call->entry.started_us) / US_PER_MS));
    }
    call->request = NULL;
    if (!runs_on) {
        call_free(call);
        gate_pump(gate);
    }
}

/** Serves the queue. */
static void
gate_pump(struct localgate *gate)
{
    enum slots_verdict verdict;
    struct slots_entry *entry;
    if (gate->pumping) {
        return;
    }
    gate->pumping = true;
    while ((entry = slots_next(gate->slots, now_of(gate), &verdict)) != NULL) {
        struct localgate_call *call = (struct localgate_call *)entry;
        if (verdict == SLOTS_REFUSE) {
            call_refuse_later(call, RELAY_REASON_FULL);
        }
        else {
            call_start(call);
        }
    }
    gate->pumping = false;
    const int64_t wake_us = slots_wake_us(gate->slots, now_of(gate));
    if (wake_us == INT64_MAX) {
        timer_stop(&gate->wake);
    }
    else {
        timer_start_at(&gate->wake, wake_us);
    }
}

/** Decides again about all that waits. */
static void
decide_again(struct localgate *gate)
{
    struct localgate_call *call = TAILQ_FIRST(&gate->calls);
    while (call != NULL) {
        struct localgate_call *next = TAILQ_NEXT(call, link);
        if (call->state == CALL_QUEUED) {
            slots_leave(gate->slots, &call->entry, now_of(gate), false);
            call_decide(call);
        }
        else if (call->state == CALL_PARKED) {
            call_decide(call);
        }
        call = next;
    }
    gate_pump(gate);
}

void
localgate_target_gone(struct localgate *gate)
{
    struct gatecrash_accused accused = {.count = 0};
    gatecrash_accuse_cuts(&gate->crash, &accused, now_of(gate));
    struct localgate_call *call = TAILQ_FIRST(&gate->calls);
    while (call != NULL) {
        struct localgate_call *next = TAILQ_NEXT(call, link);
        if (call->state == CALL_SENT) {
            const bool sent =
                call->http != NULL && http_call_is_sent(call->http);
            if (sent) {
                gatecrash_accuse(&accused, call->fingerprint);
            }
            call_fail(call, sent ? RELAY_UNKNOWN : RELAY_NOT_RUN,
                      RELAY_REASON_CUT, sent);
            /* The answer may have ended other calls too. */
            next = TAILQ_FIRST(&gate->calls);
        }
        call = next;
    }
    ownrow_accuse(gate->node->ownrow, accused.fingerprints, accused.count);
}

void
localgate_target_changed(struct localgate *gate)
{
    const struct declared_service *service = node_own_service(gate->node);
    const struct localtarget *target = gate->node->target;
    slots_set_limit(gate->slots, localtarget_slots(target));
    if (service != NULL && service->cold_per_s > 0) {
        slots_set_cold(gate->slots, localtarget_cold_until_us(target),
                       service->cold_per_s);
    }
    decide_again(gate);
}

void
localgate_keys_changed(struct localgate *gate)
{
    decide_again(gate);
}

void
localgate_declared_changed(struct localgate *gate)
{
    localgate_target_changed(gate);
}

unsigned
localgate_load(const struct localgate *gate)
{
    return slots_running(gate->slots) + slots_waiting(gate->slots);
}

unsigned
localgate_running(const struct localgate *gate)
{
    return slots_running(gate->slots);
}

int64_t
localgate_service_us(const struct localgate *gate)
{
    return slots_service_us(gate->slots);
}

bool
localgate_is_cold(const struct localgate *gate)
{
    return slots_is_cold(gate->slots, now_of(gate));
}
