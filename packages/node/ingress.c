#include "node/ingress_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "ingress"
#include "base/log.h"
#include "base/memory.h"

/* Part of the declared budget that this instance uses for itself: others
 * may see other numbers of requests. */
#define BUDGET_SHARE_PERCENT 60
#define BUDGET_RESERVE_MIN 3
/* How long a request waits for an owner of its key. */
#define OWNER_WAIT_PERCENT 25
#define START_RETRY_US (300 * US_PER_MS) /* before anything is declared */
/* The way from and to the caller: an answer that comes after the caller has
 * given up takes those behind it on the connection with it. */
#define CALLER_WAY_US (30 * US_PER_MS)
/* A target answers by itself when the time is over. */
#define ANSWER_GRACE_US (8 * US_PER_MS)
#define STOP_RETRY_US (100 * US_PER_MS) /* another instance takes it */

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
    struct ingress_retry_budget *item;
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

int64_t
ingress_now_us(const struct ingress_call *call)
{
    return node_now_us(call->ingress->node);
}

static void
send_clear(struct ingress_attempt *send)
{
    if (send->sent != NULL) {
        relaytask_cancel(send->sent);
        send->sent = NULL;
        roster_note_ended(send->instance);
    }
}

void
ingress_free_call(struct ingress_call *call)
{
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
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
        ingress_free_call(call);
        call = next;
    }
    struct ingress_retry_budget *budget = LIST_FIRST(&ingress->budgets);
    while (budget != NULL) {
        struct ingress_retry_budget *following = LIST_NEXT(budget, link);
        free(budget);
        budget = following;
    }
    free(ingress);
}

size_t
ingress_unanswered_count(const struct ingress *ingress)
{
    return ingress->count;
}

void
ingress_give_up(struct ingress_call *call)
{
    /* What is under way may run, and answers nobody. */
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
        call->may_have_run = call->may_have_run || call->sends[i].sent != NULL;
        send_clear(&call->sends[i]);
    }
    ingressanswer_refuse(call);
    ingress_free_call(call);
}

static void
on_deadline(void *ctx)
{
    struct ingress_call *call = ctx;
    call->timed_out = true;
    if (ingressattempt_is_pending(call)) {
        call->reason = RELAY_REASON_DEADLINE;
    }
    ingress_give_up(call);
}

/** Times of the request, from what the caller and the route say. */
static void
set_times(struct ingress_call *call, const struct wire_request *read,
          const struct declared_route *route)
{
    const int64_t now_us = ingress_now_us(call);
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
    timer_init(&call->step, node->runtime, ingressattempt_step, call);
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
        ingress_free_call(call);
        return;
    }
    if (ingresscrash_is_quarantined(ingress, call->message.fingerprint)) {
        call->reason = RELAY_REASON_SUSPECT;
        ingress_give_up(call);
        return;
    }
    ingressattempt_start(call);
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
             LOG_INT("after_ms",
                     (ingress_now_us(call) - call->begun_us) / US_PER_MS));
    http_request_reply(request, &(struct http_reply){.status = 503});
    ingress_free_call(call);
}

void
ingress_owners_changed(struct ingress *ingress)
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
