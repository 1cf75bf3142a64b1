#include "node/ingress.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "ingress"
#include "base/log.h"
#include "base/memory.h"
#include "node/ingress_internal.h"
#include "node/nodemetrics.h"

/* Part of the declared budget that this instance uses for itself: others
 * may see other numbers of requests. */
#define BUDGET_SHARE_PERCENT 60
#define BUDGET_RESERVE_MIN 3
/* The gate answers by itself; its answer may come this much later. */
#define SEND_MARGIN_US (60 * US_PER_MS)
/* How long a request waits for an owner of its key. */
#define OWNER_WAIT_PERCENT 25
#define OWNER_RECHECK_US (20 * US_PER_MS)
#define START_RETRY_US (300 * US_PER_MS) /* before anything is declared */
#define HEDGE_FACTOR 3 /* times the usual time of the instance */
#define HEDGE_MIN_US (60 * US_PER_MS)
#define HEDGE_LEFT_PERCENT 25 /* of the time, at least */
#define CONDEMNED_MIN 3       /* targets that a request has stopped */
#define FULL_TRIES 2          /* instances without room that a request asks */
#define REPEAT_LEFT_US (50 * US_PER_MS)
/* The way from and to the caller: an answer that comes after the caller has
 * given up takes those behind it on the connection with it. */
#define CALLER_WAY_US (30 * US_PER_MS)
/* A target answers by itself when the time is over. */
#define ANSWER_GRACE_US (8 * US_PER_MS)
#define STOP_RETRY_US (100 * US_PER_MS) /* another instance takes it */

static void call_try(struct ingress_call *call);

struct ingress *
ingress_create(struct node *node)
{
    struct ingress *ingress = memory_zeroed(1, sizeof(*ingress));
    struct counter_registry *counters = node->options.counters;
    ingress->node = node;
    LIST_INIT(&ingress->calls);
    LIST_INIT(&ingress->budgets);
    ingress->requests =
        counter_add(counters, "ingress_requests", "requests of callers");
    ingress->answered = counter_add(counters, "ingress_answered",
                                    "requests answered by a target");
    ingress->refused = counter_add(counters, "ingress_refused",
                                   "requests refused that did not run");
    ingress->unknown = counter_add(counters, "ingress_unknown",
                                   "requests that may have run, without an "
                                   "answer");
    ingress->timeouts = counter_add(counters, "ingress_timeouts",
                                    "requests that may have run, whose time "
                                    "was over");
    ingress->cancelled = counter_add(counters, "ingress_cancelled",
                                     "requests whose caller left");
    ingress->retries = counter_add(counters, "ingress_retries",
                                   "requests sent to one more target");
    ingress->hedges = counter_add(counters, "ingress_hedges",
                                  "requests sent to a second target while "
                                  "the first was at work");
    return ingress;
}

static struct budget *
budget_of(struct ingress *ingress, const char *service)
{
    const struct nodesettings *settings = &ingress->node->settings;
    struct ingress_budget *item;
    LIST_FOREACH (item, &ingress->budgets, link) {
        if (strcmp(item->service, service) == 0) {
            return &item->budget;
        }
    }
    item = memory_zeroed(1, sizeof(*item));
    snprintf(item->service, sizeof(item->service), "%s", service);
    budget_init(&item->budget,
                settings->retry_share * BUDGET_SHARE_PERCENT / 100,
                BUDGET_RESERVE_MIN);
    LIST_INSERT_HEAD(&ingress->budgets, item, link);
    return &item->budget;
}

static int64_t
now_of(const struct ingress_call *call)
{
    return node_now_us(call->ingress->node);
}

static void
send_clear(struct ingress_send *send)
{
    if (send->sent != NULL) {
        relaytask_cancel(send->sent);
        send->sent = NULL;
        roster_note_ended(send->instance);
    }
}

static void
call_free(struct ingress_call *call)
{
    for (size_t i = 0; i < INGRESS_SENDS_MAX; i++) {
        send_clear(&call->sends[i]);
    }
    timer_stop(&call->deadline);
    timer_stop(&call->step);
    ingressmessage_clear(call);
    LIST_REMOVE(call, link);
    call->ingress->count--;
    free(call);
}

void
ingress_destroy(struct ingress *ingress)
{
    if (ingress == NULL) {
        return;
    }
    struct ingress_call *call = LIST_FIRST(&ingress->calls);
    while (call != NULL) {
        struct ingress_call *next = LIST_NEXT(call, link);
        call_free(call);
        call = next;
    }
    struct ingress_budget *budget = LIST_FIRST(&ingress->budgets);
    while (budget != NULL) {
        struct ingress_budget *following = LIST_NEXT(budget, link);
        free(budget);
        budget = following;
    }
    free(ingress);
}

size_t
ingress_count(const struct ingress *ingress)
{
    return ingress->count;
}

static bool
is_sent(const struct ingress_call *call)
{
    for (size_t i = 0; i < INGRESS_SENDS_MAX; i++) {
        if (call->sends[i].sent != NULL) {
            return true;
        }
    }
    return false;
}

/** Gives the request up with what is known of it. */
static void
call_give_up(struct ingress_call *call)
{
    /* What is under way may run, and answers nobody. */
    for (size_t i = 0; i < INGRESS_SENDS_MAX; i++) {
        call->may_have_run = call->may_have_run || call->sends[i].sent != NULL;
        send_clear(&call->sends[i]);
    }
    ingressanswer_refuse(call);
    call_free(call);
}

static void
on_deadline(void *ctx)
{
    struct ingress_call *call = ctx;
    call->timed_out = true;
    if (is_sent(call)) {
        call->reason = RELAY_REASON_DEADLINE;
    }
    call_give_up(call);
}

/** Waits a moment for an owner or an instance, then gives up. */
static void
call_wait(struct ingress_call *call, enum relay_reason reason)
{
    const int64_t now_us = now_of(call);
    if (!call->may_have_run) {
        call->reason = reason;
    }
    if (now_us >= call->wait_until_us) {
        call_give_up(call);
        return;
    }
    call->waits = true;
    const int64_t recheck_us = now_us + OWNER_RECHECK_US;
    timer_start_at(&call->step, recheck_us < call->wait_until_us
                                    ? recheck_us
                                    : call->wait_until_us);
}

static void
exclude(struct ingress_call *call, struct roster_instance *instance)
{
    if (call->excluded_count < ROSTER_EXCLUDED_MAX) {
        call->excluded[call->excluded_count++] = instance;
    }
}

static struct roster_instance *
choose_owner(const struct ingress_call *call)
{
    const struct node *node = call->ingress->node;
    const struct node_keys *keys = node_keys_of(node, call->service);
    if (keys == NULL) {
        return NULL;
    }
    const struct keymap_segment *segment =
        keymap_find(&keys->map, call->message.key);
    struct roster_instance *owner = call->owner;
    if (owner == NULL) {
        owner = roster_find(&node->roster, segment->holder.instance);
    }
    return owner != NULL && now_of(call) >= owner->unreachable_until_us ? owner
                                                                        : NULL;
}

static struct roster_instance *
choose_any(const struct ingress_call *call)
{
    struct node *node = call->ingress->node;
    struct roster_choice choice = {
        .service = call->service,
        .zone = node->settings.zone,
        .zone_is_out = node_zone_is_out,
        .ctx = node,
        .excluded_count = call->excluded_count,
        .now_us = now_of(call),
    };
    memcpy(choice.excluded, call->excluded, sizeof(choice.excluded));
    return roster_choose(&node->roster, &choice, &node->random);
}

static void on_reply(void *ctx, enum rpc_status status,
                     const struct relay_reply *reply);

static void
call_send(struct ingress_call *call, struct roster_instance *instance)
{
    struct ingress *ingress = call->ingress;
    const int64_t now_us = now_of(call);
    struct ingress_send *send = &call->sends[0];
    if (send->sent != NULL) {
        send = &call->sends[1];
    }
    const int64_t left_us = call->deadline_us - now_us;
    call->waits = false;
    call->owner = NULL;
    call->tries++;
    call->instance = instance->notice.instance;
    call->message.to = (char *)call->instance;
    call->message.left_us = (u_quad_t)(left_us > 0 ? left_us : 0);
    call->message.due_us = call->due_us - now_us;
    send->call = call;
    send->instance = instance;
    send->sent_us = now_us;
    roster_note_sent(instance, now_us);
    if (call->tries > 1 || log_sampled(call->id)) {
        LOG_INFO("sent", LOG_STR("id", call->id),
                 LOG_STR("to", instance->notice.instance),
                 LOG_UINT("try", call->tries),
                 LOG_UINT("load", instance->reported_load),
                 LOG_INT("usual_ms", instance->service_us / US_PER_MS),
                 LOG_UINT("row_version", instance->version),
                 LOG_INT("left_ms", left_us / US_PER_MS));
    }
    send->sent = relaytask_send(ingress->node->relay, instance, &call->message,
                                left_us + SEND_MARGIN_US, on_reply, send);
}

/** Plans a second sending, should the first take long. */
static void
plan_hedge(struct ingress_call *call, const struct roster_instance *instance)
{
    int64_t delay_us = instance->service_us > 0
                           ? instance->service_us * HEDGE_FACTOR
                           : call->objective_us;
    delay_us = delay_us > HEDGE_MIN_US ? delay_us : HEDGE_MIN_US;
    const bool may = call->message.idempotent && !call->message.keyed &&
                     !call->hedged && call->reached + 1 < call->attempts_max;
    if (may) {
        timer_start(&call->step, delay_us);
    }
}

static void
call_try(struct ingress_call *call)
{
    if (call->tries >= INGRESS_TRIES_MAX) {
        call_give_up(call);
        return;
    }
    struct roster_instance *instance =
        call->message.keyed ? choose_owner(call) : choose_any(call);
    if (instance == NULL) {
        if (!call->message.keyed && call->excluded_count > 0) {
            call_give_up(call);
            return;
        }
        call_wait(call, RELAY_REASON_NO_TARGET);
        return;
    }
    call_send(call, instance);
    plan_hedge(call, instance);
}

static void
call_hedge(struct ingress_call *call)
{
    struct ingress *ingress = call->ingress;
    const int64_t left_us = call->deadline_us - now_of(call);
    const int64_t whole_us = call->deadline_us - call->begun_us;
    exclude(call, call->sends[0].instance);
    struct roster_instance *instance = choose_any(call);
    const bool idle =
        instance != NULL && instance->reported_load + instance->sent_since <
                                instance->notice.slots;
    if (!idle || left_us < whole_us * HEDGE_LEFT_PERCENT / 100 ||
        !budget_spend(call->budget)) {
        return;
    }
    call->hedged = true;
    ingress->hedges->value++;
    call_send(call, instance);
}

static void
on_step(void *ctx)
{
    struct ingress_call *call = ctx;
    if (call->waits) {
        call_try(call);
    }
    else if (call->sends[0].sent != NULL && call->sends[1].sent == NULL) {
        call_hedge(call);
    }
}

/** Whether the request may be sent to one more target. */
static bool
may_repeat(struct ingress_call *call)
{
    struct ingress *ingress = call->ingress;
    if (call->reached >= call->attempts_max ||
        (call->may_have_run && !call->message.idempotent) ||
        call->deadline_us - now_of(call) < REPEAT_LEFT_US) {
        return false;
    }
    if (call->reached == 0) {
        return true;
    }
    if (!budget_spend(call->budget)) {
        return false;
    }
    ingress->retries->value++;
    return true;
}

/** A sending had no answer of the target. */
static void
call_failed(struct ingress_call *call, struct roster_instance *instance)
{
    if (is_sent(call)) {
        return;
    }
    const bool owner_changes =
        call->message.keyed && (call->reason == RELAY_REASON_NOT_OWNER ||
                                call->reason == RELAY_REASON_MOVING ||
                                call->reason == RELAY_REASON_LEAVING ||
                                call->reason == RELAY_REASON_ZONE_OUT ||
                                call->reason == RELAY_REASON_NO_TARGET);
    if (owner_changes && call->owner != NULL && call->owner != instance) {
        call_try(call);
        return;
    }
    if (owner_changes && now_of(call) < call->wait_until_us) {
        call_wait(call, call->reason);
        return;
    }
    const bool full = call->reason == RELAY_REASON_FULL ||
                      call->reason == RELAY_REASON_SUSPECT;
    if ((call->message.keyed && (full || owner_changes)) ||
        (full && call->tries > FULL_TRIES) || !may_repeat(call)) {
        call_give_up(call);
        return;
    }
    if (!call->message.keyed) {
        exclude(call, instance);
    }
    call_try(call);
}

static bool
is_cleared(const struct ingress *ingress, uint64_t fingerprint)
{
    for (size_t i = 0; i < INGRESS_CLEARED_MAX; i++) {
        if (ingress->cleared[i] == fingerprint) {
            return true;
        }
    }
    return false;
}

/** A request that was answered does not stop targets, whoever accused it
 * because it ran when one stopped. */
static void
clear_accused(struct ingress *ingress, uint64_t fingerprint)
{
    if (roster_accusers(&ingress->node->roster, fingerprint) == 0 ||
        is_cleared(ingress, fingerprint)) {
        return;
    }
    ingress->cleared[ingress->cleared_next] = fingerprint;
    ingress->cleared_next = (ingress->cleared_next + 1) % INGRESS_CLEARED_MAX;
}

static bool
is_condemned(const struct ingress *ingress, uint64_t fingerprint)
{
    return roster_accusers(&ingress->node->roster, fingerprint) >=
               CONDEMNED_MIN &&
           !is_cleared(ingress, fingerprint);
}

static void
on_answered(struct ingress_call *call, const struct relay_reply *reply)
{
    clear_accused(call->ingress, call->message.fingerprint);
    ingressanswer_pass(call, reply);
    call_free(call);
}

/** No reply came: the instance or the way to it is gone. */
static void
on_no_reply(struct ingress_call *call, struct roster_instance *instance,
            enum rpc_status status)
{
    const bool not_sent =
        status == RPC_NOT_SENT || status == RPC_REFUSED_BY_HOST;
    call->reason = RELAY_REASON_CONNECT;
    if (status != RPC_TIMED_OUT) {
        roster_note_unreachable(instance, now_of(call));
    }
    if (!not_sent) {
        call->reached++;
        call->may_have_run = true;
        call->reason = RELAY_REASON_CUT;
    }
    LOG_INFO("no_reply", LOG_STR("id", call->id),
             LOG_STR("to", instance->notice.instance),
             LOG_INT("status", status));
    call_failed(call, instance);
}

static void
on_reply(void *ctx, enum rpc_status status, const struct relay_reply *reply)
{
    struct ingress_send *send = ctx;
    struct ingress_call *call = send->call;
    struct roster_instance *instance = send->instance;
    send->sent = NULL;
    roster_note_ended(instance);
    nodemetrics_count(call->ingress->node->nodemetrics, NODEMETRICS_RELAY,
                      now_of(call) - send->sent_us);
    if (status != RPC_OK) {
        on_no_reply(call, instance, status);
        return;
    }
    const bool failed = reply->outcome == RELAY_UNKNOWN ||
                        reply->reason == RELAY_REASON_SHED ||
                        reply->reason == RELAY_REASON_CONNECT;
    roster_note_reached(instance, now_of(call));
    if (reply->reason == RELAY_REASON_FULL) {
        roster_note_full(instance, now_of(call),
                         (int64_t)reply->retry_after_us);
    }
    if (reply->reason == RELAY_REASON_LEAVING) {
        /* Its row may say so later, or not at all. */
        instance->notice.state = ROSTER_LEAVING;
    }
    roster_note_load(instance, reply->load, reply->cold);
    if (reply->outcome == RELAY_ANSWERED || failed) {
        roster_note_result(instance, now_of(call),
                           now_of(call) - send->sent_us, failed);
    }
    if (reply->outcome == RELAY_ANSWERED) {
        on_answered(call, reply);
        return;
    }
    call->reason = reply->reason;
    call->timed_out = reply->reason == RELAY_REASON_DEADLINE;
    call->owner = reply->owner[0] != '\0'
                      ? roster_find(&call->ingress->node->roster, reply->owner)
                      : NULL;
    call->retry_after_us = (int64_t)reply->retry_after_us;
    call->reached += reply->reached ? 1 : 0;
    call->may_have_run = call->may_have_run || reply->outcome == RELAY_UNKNOWN;
    LOG_INFO("try_failed", LOG_STR("id", call->id),
             LOG_STR("to", instance->notice.instance),
             LOG_STR("outcome",
                     reply->outcome == RELAY_NOT_RUN ? "not-run" : "unknown"),
             LOG_STR("reason", relaytask_reason(reply->reason)),
             LOG_UINT("load", reply->load));
    call_failed(call, instance);
}

/** Times of the request, from what the caller and the route say. */
static void
set_times(struct ingress_call *call, const struct wire_request *read,
          const struct declared_route *route)
{
    const int64_t now_us = now_of(call);
    int64_t left_us = route->timeout_us;
    int64_t spent_us = 0;
    int64_t way_us = 0;
    if (read->has_time_left && read->time_left_us < left_us) {
        /* A caller that has less left than the route allows has tried
         * before: its answer counts from then. */
        spent_us = left_us - read->time_left_us;
        left_us = read->time_left_us;
    }
    /* While this instance stops, a request gets all of its time: an answer
     * of our own would count as a cut. */
    if (read->has_time_left && !call->ingress->node->stopping) {
        const int64_t usable_us = read->time_left_us - CALLER_WAY_US;
        way_us = usable_us < left_us ? left_us - usable_us : 0;
    }
    left_us = left_us > way_us ? left_us - way_us : 0;
    call->begun_us = now_us;
    call->deadline_us = now_us + left_us;
    call->objective_us = route->objective_us;
    call->due_us = now_us + route->objective_us - spent_us;
    call->wait_until_us =
        now_us + route->objective_us * OWNER_WAIT_PERCENT / 100;
    timer_start(&call->deadline, left_us + ANSWER_GRACE_US);
}

static void
call_begin(struct ingress *ingress, struct http_request *request,
           const struct wire_request *read, const struct declared_route *route)
{
    struct node *node = ingress->node;
    const unsigned draw =
        (unsigned)random_below(&node->random, route->weight_sum);
    const struct declared_service *service =
        declared_draw_service(node->declared, route, draw);
    struct ingress_call *call = memory_zeroed(1, sizeof(*call));
    call->ingress = ingress;
    call->http = request;
    call->id = read->id != NULL ? read->id : "";
    call->attempts_max = route->attempts;
    call->message.keyed = service->keyed;
    memcpy(call->service, service->name, sizeof(call->service));
    timer_init(&call->deadline, node->runtime, on_deadline, call);
    timer_init(&call->step, node->runtime, on_step, call);
    LIST_INSERT_HEAD(&ingress->calls, call, link);
    ingress->count++;
    http_request_set_data(request, call);
    ingressmessage_fill(call, read, route);
    set_times(call, read, route);
    call->budget = budget_of(ingress, service->name);
    budget_earn(call->budget);
    if (service->keyed && !read->has_key) {
        ingressanswer_reject(ingress, request, WIRE_INVALID, 0, "no key");
        call->http = NULL;
        call_free(call);
        return;
    }
    if (is_condemned(ingress, call->message.fingerprint)) {
        call->reason = RELAY_REASON_SUSPECT;
        call_give_up(call);
        return;
    }
    call_try(call);
}

void
ingress_handle(void *ctx, struct http_request *request)
{
    struct node *node = ctx;
    struct ingress *ingress = node->ingress;
    struct wire_request read;
    ingress->requests->value++;
    if (nodestop_refuses(node)) {
        ingressanswer_reject(ingress, request, WIRE_REFUSED, STOP_RETRY_US,
                             "the instance is about to stop");
        return;
    }
    if (node->declared == NULL) {
        ingressanswer_reject(ingress, request, WIRE_REFUSED, START_RETRY_US,
                             "no configuration is known yet");
        return;
    }
    node->wire->read_request(request, &read);
    const struct declared_route *route = declared_route_of(
        node->declared, read.host, http_request_path(request));
    if (route == NULL) {
        ingressanswer_reject(ingress, request, WIRE_NO_ROUTE, 0, "no route");
        return;
    }
    call_begin(ingress, request, &read, route);
}

void
ingress_cancelled(void *ctx, struct http_request *request)
{
    struct node *node = ctx;
    struct ingress_call *call = http_request_data(request);
    if (call == NULL) {
        return;
    }
    node->ingress->cancelled->value++;
    LOG_INFO("caller_left", LOG_STR("id", call->id),
             LOG_INT("after_ms", (now_of(call) - call->begun_us) / US_PER_MS));
    http_request_reply(request, &(struct http_reply){.status = 503});
    call_free(call);
}

void
ingress_changed(struct ingress *ingress)
{
    struct ingress_call *call = LIST_FIRST(&ingress->calls);
    while (call != NULL) {
        struct ingress_call *next = LIST_NEXT(call, link);
        if (call->waits) {
            timer_start(&call->step, 0);
        }
        call = next;
    }
}
