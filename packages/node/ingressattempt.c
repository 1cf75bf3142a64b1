/* Attempts of a request: choice of the instance, retries, hedges, replies. */
#include <string.h>

#include "node/ingress_internal.h"

#define LOG_MODULE "ingress"
#include "base/log.h"
#include "node/nodemetrics.h"

/* The gate itself answers at the deadline; its reply may take this much
 * longer. */
#define REPLY_MARGIN_US (60 * US_PER_MS)
#define WAIT_RECHECK_US (20 * US_PER_MS)
#define HEDGE_FACTOR 3 /* times the usual service time of the instance */
#define HEDGE_MIN_US (60 * US_PER_MS)
#define HEDGE_LEFT_PERCENT 25 /* minimum, of the whole time */
#define FULL_ATTEMPTS_MAX 2   /* after more, overload is final */
#define RETRY_TIME_LEFT_MIN_US (50 * US_PER_MS)

static void on_reply(void *ctx, enum rpc_status status,
                     const struct relay_reply *reply);

bool
ingressattempt_is_pending(const struct ingress_call *call)
{
    for (size_t i = 0; i < INGRESS_CONCURRENT_MAX; i++) {
        if (call->attempts[i].relay_call != NULL) {
            return true;
        }
    }
    return false;
}

/** Waits for an owner or an instance; gives up after wait_until_us. */
static void
call_wait(struct ingress_call *call, enum relay_reason reason)
{
    const int64_t now_us = ingress_now_us(call);
    if (!call->may_have_run) {
        call->reason = reason;
    }
    if (now_us >= call->wait_until_us) {
        ingress_give_up(call);
        return;
    }
    call->waiting = true;
    const int64_t recheck_us = now_us + WAIT_RECHECK_US;
    timer_start_at(&call->step, recheck_us < call->wait_until_us
                                    ? recheck_us
                                    : call->wait_until_us);
}

static void
exclude(struct ingress_call *call, struct instancetable_instance *instance)
{
    if (call->excluded_count < INSTANCECHOICE_EXCLUDED_MAX) {
        call->excluded[call->excluded_count++] = instance;
    }
}

/** True if the owner's target said that it leaves so long ago that its keys
 * are not served there any more. */
static bool
has_left(const struct ingress_call *call,
         const struct instancetable_instance *owner, int64_t now_us)
{
    const struct node *node = call->ingress->node;
    const struct instancetable_row *row = &owner->instance_row;
    const struct instancenotice *notice = &owner->notice;
    return instancenotice_has_left(notice, row->target,
                                   row->target_started_ms) &&
           now_us >= notice->left_at_us + node->settings.drain_us *
                                              NODE_KEYED_SERVE_PERCENT / 100;
}

static struct instancetable_instance *
choose_owner(struct ingress_call *call)
{
    const struct node *node = call->ingress->node;
    const struct node_keymap *keys = node_find_keymap(node, call->service);
    if (keys == NULL) {
        return NULL;
    }
    const struct keymap_segment *segment =
        keymap_find(&keys->map, call->message.key);
    struct instancetable_instance *owner = call->owner;
    call->message.map_version =
        keys->map.pages[keymap_page_of(call->message.key)].version;
    if (owner != NULL && call->owner_version > call->message.map_version) {
        call->message.map_version = call->owner_version;
    }
    else {
        owner =
            instancetable_find(&node->instancetable, segment->holder.instance);
    }
    const int64_t now_us = ingress_now_us(call);
    return owner != NULL && now_us >= owner->unreachable_until_us &&
                   !has_left(call, owner, now_us)
               ? owner
               : NULL;
}

static struct instancetable_instance *
choose_any(const struct ingress_call *call)
{
    struct node *node = call->ingress->node;
    struct instancechoice_criteria choice = {
        .service = call->service,
        .zone = node->settings.zone,
        .objective_us = call->objective_us,
        .zone_is_out = node_zone_is_out,
        .ctx = node,
        .excluded_count = call->excluded_count,
        .now_us = ingress_now_us(call),
    };
    memcpy(choice.excluded, call->excluded, sizeof(choice.excluded));
    return instancechoice_pick(&node->instancetable, &choice, &node->random);
}

/** Tells the instance which limit its target has named: its process may have
 * been restarted since. */
static void
fill_limit(struct ingress_call *call,
           const struct instancetable_instance *instance)
{
    const struct instancenotice *notice = &instance->notice;
    call->message.limit = NULL;
    if (notice->limited) {
        call->known_limit = (struct relay_limit){
            .incarnation = {.target = (char *)notice->target,
                            .started_ms = notice->started_ms},
            .per_s = notice->per_s,
        };
        call->message.limit = &call->known_limit;
    }
}

static void
attempt_send(struct ingress_call *call,
             struct instancetable_instance *instance)
{
    struct ingress *ingress = call->ingress;
    const int64_t now_us = ingress_now_us(call);
    struct ingress_attempt *attempt = &call->attempts[0];
    if (attempt->relay_call != NULL) {
        attempt = &call->attempts[1];
    }
    const int64_t left_us = call->deadline_us - now_us;
    call->waiting = false;
    call->owner = NULL;
    call->attempt_count++;
    call->instance = instance->instance_row.instance;
    call->message.to = (char *)call->instance;
    call->message.process = ingress->node->options.seed;
    call->message.sent_us = now_us;
    call->message.left_us = (u_quad_t)(left_us > 0 ? left_us : 0);
    call->message.due_us = call->objective_deadline_us - now_us;
    call->message.repeated = call->limit.reached + call->limit.pending > 0;
    fill_limit(call, instance);
    attempt->call = call;
    attempt->instance = instance;
    attempt->sent_us = now_us;
    attemptlimit_begin(&call->limit);
    instancetable_record_sent(instance, now_us);
    if (call->attempt_count > 1 || log_sampled(call->id)) {
        LOG_STEP("sent", LOG_STR("id", call->id),
                 LOG_STR("to", instance->instance_row.instance),
                 LOG_UINT("try", call->attempt_count),
                 LOG_UINT("load", instance->reported_load),
                 LOG_INT("usual_ms", instance->service_us / US_PER_MS),
                 LOG_UINT("row_version", instance->version),
                 LOG_INT("left_ms", left_us / US_PER_MS));
    }
    attempt->relay_call =
        relaytask_send(ingress->node->relay, instance, &call->message,
                       left_us + REPLY_MARGIN_US, on_reply, attempt);
}

/** Starts the timer for a hedge, in case the first attempt is slow. */
static void
plan_hedge(struct ingress_call *call,
           const struct instancetable_instance *instance)
{
    int64_t delay_us = instance->service_us > 0
                           ? instance->service_us * HEDGE_FACTOR
                           : call->objective_us;
    delay_us = delay_us > HEDGE_MIN_US ? delay_us : HEDGE_MIN_US;
    const bool may_hedge = call->message.idempotent && !call->message.keyed &&
                           !call->hedged && attemptlimit_allows(&call->limit);
    if (may_hedge) {
        timer_start(&call->step, delay_us);
    }
}

void
ingressattempt_start(struct ingress_call *call)
{
    if (call->ingress->withdrawing ||
        call->attempt_count >= INGRESS_ATTEMPTS_MAX) {
        ingress_give_up(call);
        return;
    }
    struct instancetable_instance *instance =
        call->message.keyed ? choose_owner(call) : choose_any(call);
    if (instance == NULL) {
        if (!call->message.keyed && call->excluded_count > 0) {
            ingress_give_up(call);
            return;
        }
        call_wait(call, RELAY_REASON_NO_TARGET);
        return;
    }
    attempt_send(call, instance);
    plan_hedge(call, instance);
}

static void
call_hedge(struct ingress_call *call)
{
    struct ingress *ingress = call->ingress;
    const int64_t left_us = call->deadline_us - ingress_now_us(call);
    const int64_t total_us = call->deadline_us - call->started_us;
    exclude(call, call->attempts[0].instance);
    struct instancetable_instance *instance = choose_any(call);
    const bool has_free_slot =
        instance != NULL && !instance->notice.limited &&
        instance->reported_load + instance->sent_since_report <
            instance->instance_row.slots;
    if (ingress->withdrawing || !attemptlimit_allows(&call->limit) ||
        !has_free_slot || left_us < total_us * HEDGE_LEFT_PERCENT / 100 ||
        !retrybudget_withdraw(call->budget)) {
        return;
    }
    call->hedged = true;
    ingress->hedges->value++;
    attempt_send(call, instance);
}

void
ingressattempt_step(void *ctx)
{
    struct ingress_call *call = ctx;
    if (call->waiting) {
        ingressattempt_start(call);
    }
    else if (call->attempts[0].relay_call != NULL &&
             call->attempts[1].relay_call == NULL) {
        call_hedge(call);
    }
}

/** Whether the request may be sent to one more target. */
static bool
may_retry(struct ingress_call *call)
{
    struct ingress *ingress = call->ingress;
    if (!attemptlimit_allows(&call->limit) ||
        (call->may_have_run && !call->message.idempotent) ||
        call->deadline_us - ingress_now_us(call) < RETRY_TIME_LEFT_MIN_US) {
        return false;
    }
    if (call->limit.reached == 0) {
        return true;
    }
    if (!retrybudget_withdraw(call->budget)) {
        return false;
    }
    ingress->retries->value++;
    return true;
}

/** An attempt ended without an answer of the target. */
static void
call_failed(struct ingress_call *call, struct instancetable_instance *instance)
{
    if (ingressattempt_is_pending(call)) {
        return;
    }
    if (call->ingress->withdrawing) {
        ingress_give_up(call);
        return;
    }
    const bool owner_changes =
        call->message.keyed && (call->reason == RELAY_REASON_NOT_OWNER ||
                                call->reason == RELAY_REASON_MOVING ||
                                call->reason == RELAY_REASON_LEAVING ||
                                call->reason == RELAY_REASON_ZONE_OUT ||
                                call->reason == RELAY_REASON_NO_TARGET);
    if (owner_changes && call->owner != NULL && call->owner != instance) {
        ingressattempt_start(call);
        return;
    }
    if (owner_changes && ingress_now_us(call) < call->wait_until_us) {
        call_wait(call, call->reason);
        return;
    }
    const bool full = call->reason == RELAY_REASON_FULL ||
                      call->reason == RELAY_REASON_LIMITED ||
                      call->reason == RELAY_REASON_SUSPECT;
    if ((call->message.keyed && (full || owner_changes)) ||
        (full && call->attempt_count > FULL_ATTEMPTS_MAX) ||
        !may_retry(call)) {
        ingress_give_up(call);
        return;
    }
    if (!call->message.keyed) {
        exclude(call, instance);
    }
    ingressattempt_start(call);
}

static void
on_answered(struct ingress_call *call, const struct relay_reply *reply)
{
    ingresscrash_clear(call->ingress, call->message.fingerprint);
    ingressanswer_forward(call, reply);
    ingress_free_call(call);
}

/** No reply arrived: the instance or the connection to it is lost. */
static void
on_no_reply(struct ingress_call *call, struct instancetable_instance *instance,
            enum rpc_status status)
{
    const bool not_sent =
        status == RPC_NOT_SENT || status == RPC_REFUSED_BY_HOST;
    call->reason = RELAY_REASON_CONNECT;
    attemptlimit_end(&call->limit, !not_sent);
    if (status != RPC_TIMED_OUT) {
        instancetable_record_unreachable(instance, ingress_now_us(call));
    }
    if (!not_sent) {
        call->may_have_run = true;
        call->reason = RELAY_REASON_CUT;
    }
    LOG_STEP("no_reply", LOG_STR("id", call->id),
             LOG_STR("to", instance->instance_row.instance),
             LOG_INT("status", status));
    call_failed(call, instance);
}

/** Records in the instance table what a reply tells about the target. */
static void
record_notice(struct instancetable_instance *instance,
              const struct relay_reply *reply, int64_t now_us)
{
    const struct relay_limit *limit = reply->limit;
    if (limit != NULL) {
        instancenotice_set_limit(&instance->notice, limit->incarnation.target,
                                 limit->incarnation.started_ms, limit->per_s,
                                 (int64_t)limit->wait_us, now_us);
    }
    else if (reply->limit_state == RELAY_LIMIT_NONE) {
        instancenotice_clear_limit(&instance->notice);
    }
    if (reply->leaving != NULL) {
        instancetable_record_departure(instance, reply->leaving->target,
                                       reply->leaving->started_ms, now_us);
    }
}

/** Records in the instance table what a reply tells about the instance. */
static void
record_reply(const struct ingress_attempt *attempt,
             const struct relay_reply *reply)
{
    struct instancetable_instance *instance = attempt->instance;
    const int64_t now_us = ingress_now_us(attempt->call);
    const bool failed = reply->outcome == RELAY_UNKNOWN ||
                        reply->reason == RELAY_REASON_SHED ||
                        reply->reason == RELAY_REASON_CONNECT;
    instancetable_record_reached(instance, now_us);
    if (reply->reason == RELAY_REASON_FULL ||
        reply->reason == RELAY_REASON_LIMITED) {
        instancetable_record_overload(instance, now_us,
                                      (int64_t)reply->retry_after_us);
    }
    if (reply->reason == RELAY_REASON_LEAVING) {
        /* Its row may show this later, or not at all. */
        instance->instance_row.state = INSTANCETABLE_LEAVING;
    }
    instancetable_record_load(instance, now_us, reply->load, reply->cold);
    record_notice(instance, reply, now_us);
    if (reply->outcome == RELAY_ANSWERED || failed) {
        instancetable_record_result(instance, now_us,
                                    now_us - attempt->sent_us, failed);
    }
}

/** Handles a reply without an answer of the target. */
static void
on_not_answered(struct ingress_call *call,
                struct instancetable_instance *instance,
                const struct relay_reply *reply)
{
    call->reason = reply->reason;
    call->timed_out = reply->reason == RELAY_REASON_DEADLINE;
    call->owner = reply->owner[0] != '\0'
                      ? instancetable_find(&call->ingress->node->instancetable,
                                           reply->owner)
                      : NULL;
    call->owner_version = reply->map_version;
    call->retry_after_us = (int64_t)reply->retry_after_us;
    attemptlimit_end(&call->limit,
                     reply->reached || reply->outcome == RELAY_UNKNOWN);
    call->may_have_run = call->may_have_run || reply->outcome == RELAY_UNKNOWN;
    LOG_STEP("try_failed", LOG_STR("id", call->id),
             LOG_STR("to", instance->instance_row.instance),
             LOG_STR("outcome",
                     reply->outcome == RELAY_NOT_RUN ? "not-run" : "unknown"),
             LOG_STR("reason", relaytask_reason(reply->reason)),
             LOG_UINT("load", reply->load));
    call_failed(call, instance);
}

static void
on_reply(void *ctx, enum rpc_status status, const struct relay_reply *reply)
{
    struct ingress_attempt *attempt = ctx;
    struct ingress_call *call = attempt->call;
    struct instancetable_instance *instance = attempt->instance;
    attempt->relay_call = NULL;
    instancetable_record_ended(instance);
    nodemetrics_record(call->ingress->node->nodemetrics, NODEMETRICS_RELAY,
                       ingress_now_us(call) - attempt->sent_us);
    if (status != RPC_OK) {
        on_no_reply(call, instance, status);
        return;
    }
    record_reply(attempt, reply);
    if (reply->outcome == RELAY_ANSWERED) {
        on_answered(call, reply);
        return;
    }
    on_not_answered(call, instance, reply);
}
