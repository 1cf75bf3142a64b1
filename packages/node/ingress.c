#include "node/ingress_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "ingress"
#include "base/log.h"
#include "base/memory.h"

/* Part of the declared retry budget that this instance uses: others may see
 * different request rates. */
#define BUDGET_SHARE_PERCENT 60
#define BUDGET_RESERVE_MIN 3
/* Longest wait for an owner of the key, in percent of the objective. */
#define OWNER_WAIT_PERCENT 25
#define START_RETRY_US (300 * US_PER_MS) /* without a configuration */
/* Network time to and from the caller. An answer that arrives after the caller
 * has given up also loses those behind it on the connection. */
#define CALLER_LATENCY_US (30 * US_PER_MS)
/* A target itself answers at the deadline; waits this much longer. */
#define ANSWER_GRACE_US (8 * US_PER_MS)
#define STOP_RETRY_US (100 * US_PER_MS) /* for another instance to run it */

struct ingress *
ingress_create(struct node *node)
{
    struct ingress *ingress = memory_calloc(1, sizeof(*ingress));
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
                                    "requests that may have run and timed "
                                    "out");
    ingress->cancelled = counter_add(counters, "ingress_cancelled",
                                     "requests whose caller disconnected");
    ingress->retries = counter_add(counters, "ingress_retries",
                                   "requests retried at another target");
    ingress->hedges = counter_add(counters, "ingress_hedges",
                                  "requests sent to a second target while "
                                  "the first still ran them");
    ingresskey_init(&ingress->keys, counters);
    ingress->over_quota = counter_add(counters, "ingress_over_quota",
                                      "requests refused over the quota of "
                                      "their workspace");
    ingress->quota_unknown =
        counter_add(counters, "ingress_quota_unknown",
                    "requests refused because no granter of the quota was "
                    "reached");
    return ingress;
}

static struct retrybudget *
find_budget(struct ingress *ingress, const char *service)
{
    const struct nodesettings *settings = &ingress->node->settings;
    struct ingress_retry_budget *item;
    LIST_FOREACH (item, &ingress->budgets, link) {
        if (strcmp(item->service, service) == 0) {
            return &item->budget;
        }
    }
    item = memory_calloc(1, sizeof(*item));
    snprintf(item->service, sizeof(item->service), "%s", service);
    retrybudget_init(&item->budget,
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
attempt_cancel(struct ingress_attempt *attempt)
{
    if (attempt->relay_call != NULL) {
        relaytask_cancel(attempt->relay_call);
        attempt->relay_call = NULL;
        instancetable_record_ended(attempt->instance);
    }
}

void
ingress_free_call(struct ingress_call *call)
{
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
        attempt_cancel(&call->attempts[i]);
    }
    timer_stop(&call->deadline);
    timer_stop(&call->step);
    quotatask_cancel(&call->quota);
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

/** What the request waits for, as one word. */
static const char *
call_stage(const struct ingress_call *call)
{
    if (call->quota.waiting_for != NULL) {
        return "quota";
    }
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
        if (call->attempts[i].relay_call != NULL) {
            return relaytask_stage(call->attempts[i].relay_call);
        }
    }
    return "instance";
}

static bool
may_have_run(const struct ingress_call *call)
{
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
        const struct relay_call *relay_call = call->attempts[i].relay_call;
        if (relay_call != NULL && relaytask_may_have_run(relay_call)) {
            return true;
        }
    }
    return call->may_have_run;
}

void
ingress_give_up(struct ingress_call *call)
{
    /* Attempts that were sent may still run; their answers are dropped. */
    call->may_have_run = may_have_run(call);
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
        attempt_cancel(&call->attempts[i]);
    }
    ingressanswer_refuse(call);
    ingress_free_call(call);
}

static void
call_withdraw(struct ingress_call *call)
{
    LOG_INFO("withdrawn", LOG_STR("id", call->id),
             LOG_STR("service", call->service),
             LOG_STR("at", call_stage(call)),
             LOG_STR("to", call->instance != NULL ? call->instance : ""),
             LOG_UINT("tries", call->attempt_count),
             LOG_INT("after_ms",
                     (ingress_now_us(call) - call->started_us) / US_PER_MS));
    if (!may_have_run(call)) {
        call->reason = RELAY_REASON_WITHDRAWN;
        ingress_give_up(call);
        return;
    }
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
        if (call->attempts[i].relay_call != NULL) {
            relaytask_withdraw(call->attempts[i].relay_call);
        }
    }
}

void
ingress_withdraw(struct ingress *ingress)
{
    ingress->withdrawing = true;
    struct ingress_call *call = LIST_FIRST(&ingress->calls);
    while (call != NULL) {
        struct ingress_call *next = LIST_NEXT(call, link);
        call_withdraw(call);
        call = next;
    }
}

void
ingress_answer_all(struct ingress *ingress)
{
    struct ingress_call *call = LIST_FIRST(&ingress->calls);
    while (call != NULL) {
        struct ingress_call *next = LIST_NEXT(call, link);
        LOG_WARN("ended_by_stop", LOG_STR("id", call->id),
                 LOG_STR("service", call->service),
                 LOG_STR("at", call_stage(call)),
                 LOG_STR("to", call->instance != NULL ? call->instance : ""));
        ingress_give_up(call);
        call = next;
    }
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

/** Sets the deadlines from the caller's time left and the route. */
static void
set_times(struct ingress_call *call, const struct wire_request *read,
          const struct declared_route *route)
{
    const int64_t now_us = ingress_now_us(call);
    int64_t left_us = route->timeout_us;
    int64_t spent_us = 0;
    int64_t caller_latency_us = 0;
    if (read->has_time_left && read->time_left_us < left_us) {
        /* A caller with less time left than the route allows has made earlier
         * attempts: the objective counts from the first one. */
        spent_us = left_us - read->time_left_us;
        left_us = read->time_left_us;
    }
    /* While this instance stops, requests keep their whole time limit: an
     * answer of the router instead of the target would count as a cut. */
    if (read->has_time_left && !call->ingress->node->stopping) {
        const int64_t usable_us = read->time_left_us - CALLER_LATENCY_US;
        caller_latency_us = usable_us < left_us ? left_us - usable_us : 0;
    }
    left_us = left_us > caller_latency_us ? left_us - caller_latency_us : 0;
    call->started_us = now_us;
    call->deadline_us = now_us + left_us;
    call->objective_us = route->objective_us;
    call->objective_deadline_us = now_us + route->objective_us - spent_us;
    call->wait_until_us =
        now_us + route->objective_us * OWNER_WAIT_PERCENT / 100;
    timer_start(&call->deadline, left_us + ANSWER_GRACE_US);
}

static void
call_start(struct ingress *ingress, struct http_request *request,
           const struct wire_request *read, const struct declared_route *route,
           const struct declared_workspace *workspace)
{
    struct node *node = ingress->node;
    const unsigned draw =
        (unsigned)random_below(&node->random, route->weight_sum);
    const struct declared_service *service =
        declared_pick_service(node->declared, route, draw);
    struct ingress_call *call = memory_calloc(1, sizeof(*call));
    call->ingress = ingress;
    call->http = request;
    call->id = read->id != NULL ? read->id : "";
    if (workspace != NULL) {
        snprintf(call->workspace, sizeof(call->workspace), "%s",
                 workspace->name);
    }
    attemptlimit_init(&call->limit, route->attempts);
    call->message.keyed = service->keyed;
    memcpy(call->service, service->name, sizeof(call->service));
    timer_init(&call->deadline, node->runtime, on_deadline, call);
    timer_init(&call->step, node->runtime, ingressattempt_step, call);
    LIST_INSERT_HEAD(&ingress->calls, call, link);
    ingress->count++;
    http_request_set_data(request, call);
    ingressmessage_fill(call, read, route, workspace);
    set_times(call, read, route);
    call->budget = find_budget(ingress, service->name);
    retrybudget_deposit(call->budget);
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
    ingressquota_start(call, workspace);
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
    if (read.id != NULL && strlen(read.id) > RELAY_TEXT_MAX) {
        ingressanswer_reject(ingress, request, WIRE_INVALID, 0, "id too long");
        return;
    }
    const struct declared_route *route = declared_find_route(
        node->declared, read.host, http_request_path(request));
    if (route == NULL) {
        ingressanswer_reject(ingress, request, WIRE_NO_ROUTE, 0, "no route");
        return;
    }
    const struct declared_workspace *workspace;
    if (ingresskey_authorize(ingress, request, &read, route, &workspace)) {
        call_start(ingress, request, &read, route, workspace);
    }
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
                     (ingress_now_us(call) - call->started_us) / US_PER_MS));
    http_request_reply(request, &(struct http_reply){.status = 503});
    ingress_free_call(call);
}

void
ingress_owners_changed(struct ingress *ingress)
{
    struct ingress_call *call = LIST_FIRST(&ingress->calls);
    while (call != NULL) {
        struct ingress_call *next = LIST_NEXT(call, link);
        if (call->waiting) {
            timer_start(&call->step, 0);
        }
        call = next;
    }
}
