#include "entry/request_internal.h"

#define REDIRECTS_MAX 4

static void
request_backoff(struct request *request, int64_t delay_us, int64_t now_us)
{
    request_move(request, REQUEST_BACKOFF);
    request->retry_at_us = now_us + delay_us;
    request_set_timer(request);
}

/* Answers the caller with the latest refusal or loss. */
static void
request_refuse(struct request *request, int64_t now_us)
{
    request_give_up(request, request->refusal.reason,
                    request->refusal.retry_after_ms, now_us);
}

/* Retries after a delay if budget and deadline allow. */
static void
request_retry(struct request *request, bool same_member, int64_t now_us)
{
    int64_t delay_us =
        retry_backoff_us(request->env->random, request->retries + 1);
    const int64_t retry_after_us = request->refusal.retry_after_ms * US_PER_MS;
    if (same_member && retry_after_us > delay_us) {
        delay_us = retry_after_us;
    }
    if (!request_may_send(request) ||
        request->attempt_count >= REQUEST_ATTEMPTS_MAX ||
        now_us + delay_us >= request->spec.deadline_us ||
        !retry_take_token(request->env->retry, now_us)) {
        request_refuse(request, now_us);
        return;
    }
    request->retries++;
    request_backoff(request, delay_us, now_us);
}

/* Sends to another member at once. Costs no retry budget, as the gate refused
 * before any work, but the number of redirects is limited. */
static void
request_redirect(struct request *request, int64_t now_us)
{
    if (request->attempt_count >= REQUEST_ATTEMPTS_MAX ||
        request->redirects >= REDIRECTS_MAX) {
        request_retry(request, false, now_us);
        return;
    }
    request->redirects++;
    request_dispatch(request, now_us);
}

static void
request_on_not_owner(struct request *request,
                     const struct request_reply *reply, int64_t now_us)
{
    if (reply->owner != CHOICE_NO_MEMBER && reply->retry_after_ms == 0 &&
        request->redirects < REDIRECTS_MAX) {
        request->named_owner = reply->owner;
        request->named_owner_epoch = reply->owner_epoch;
        request_redirect(request, now_us);
        return;
    }
    if (request->attempt_count >= REQUEST_ATTEMPTS_MAX) {
        request_refuse(request, now_us);
        return;
    }
    request_wait_for_member(request, now_us);
}

/*
 * The target is full. Another one is tried only if it seems to have room, so
 * that refusals stay quick when all are full.
 */
static void
request_on_full(struct request *request, int64_t now_us)
{
    const struct request_env *env = request->env;
    uint32_t other = CHOICE_NO_MEMBER;
    if (!request->spec.keyed && request->redirects == 0) {
        other = choice_pick(env->choice, request->excluded,
                            request->excluded_count, false, now_us);
    }
    if (other == CHOICE_NO_MEMBER ||
        !choice_has_capacity(env->choice, other, now_us)) {
        retry_record_full(env->retry, true);
        if (retry_is_overloaded(env->retry)) {
            request_refuse(request, now_us);
            return;
        }
        request->excluded_count = 0;
        request_retry(request, request->spec.keyed, now_us);
        return;
    }
    request->redirects++;
    request_send(request, other, 0, false, now_us);
    request_schedule_hedge(request, now_us);
    request_set_timer(request);
}

static void
request_on_not_run(struct request *request, const struct request_reply *reply,
                   int64_t now_us)
{
    const bool keyed = request->spec.keyed;
    switch (reply->reason) {
    case FORWARD_REASON_NOT_OWNER:
        request_on_not_owner(request, reply, now_us);
        return;
    case FORWARD_REASON_NO_LEASE:
    case FORWARD_REASON_DRAINING:
    case FORWARD_REASON_ZONE_OUT:
    case FORWARD_REASON_CANCELLED:
        if (keyed) {
            request_on_not_owner(request, reply, now_us);
        }
        else {
            request_redirect(request, now_us);
        }
        return;
    case FORWARD_REASON_COLD:
    case FORWARD_REASON_OVERLOADED:
        request_on_full(request, now_us);
        return;
    case FORWARD_REASON_TARGET_SHED:
    case FORWARD_REASON_TARGET_CONNECT:
    case FORWARD_REASON_PEER_LOST:
    case FORWARD_REASON_NO_TARGET:
        request_retry(request, keyed, now_us);
        return;
    default:
        request_refuse(request, now_us);
        return;
    }
}

static void
request_on_unknown(struct request *request, const struct request_reply *reply,
                   int64_t now_us)
{
    request->outcome_unknown = true;
    if (reply->reason == FORWARD_REASON_TARGET_CUT) {
        suspects_report(request->env->suspects, now_us,
                        request->spec.fingerprint, request->suspect);
        if (request->suspect) {
            request_refuse(request, now_us);
            return;
        }
        request->suspect = true;
    }
    const bool lost_reply = reply->reason == FORWARD_REASON_PEER_LOST;
    if (request->spec.idempotent ||
        (lost_reply && request->spec.has_id && request->spec.keyed)) {
        request_retry(request, false, now_us);
        return;
    }
    request_refuse(request, now_us);
}

/* Whether the owner's gate looked up the id before it refused. */
static bool
request_reply_proves_new_id(const struct request_reply *reply)
{
    if (reply->outcome != FORWARD_NOT_RUN) {
        return false;
    }
    switch (reply->reason) {
    case FORWARD_REASON_NOT_OWNER:
    case FORWARD_REASON_NO_LEASE:
    case FORWARD_REASON_DEADLINE:
    case FORWARD_REASON_PEER_LOST:
    case FORWARD_REASON_NO_TARGET:
        return false;
    default:
        return true;
    }
}

static enum choice_result
request_choice_result(const struct request_reply *reply)
{
    switch (reply->reason) {
    case FORWARD_REASON_TARGET_CONNECT:
    case FORWARD_REASON_NO_LEASE:
        return CHOICE_UNREACHABLE;
    case FORWARD_REASON_TARGET_CUT:
    case FORWARD_REASON_PEER_LOST:
        return CHOICE_CONNECTION_LOST;
    case FORWARD_REASON_COLD:
    case FORWARD_REASON_OVERLOADED:
        return CHOICE_FULL;
    case FORWARD_REASON_DEADLINE:
        return CHOICE_ABANDONED;
    default:
        break;
    }
    return reply->outcome == FORWARD_ANSWERED ? CHOICE_ANSWERED
                                              : CHOICE_REFUSED;
}

/* An attempt has ended without an answer for the caller. */
static void
request_on_refusal(struct request *request,
                   const struct request_attempt *attempt,
                   const struct request_reply *reply, int64_t now_us)
{
    request->refusal = *reply;
    request->refusal.load = NULL;
    request_exclude_member(request, attempt->choice.member);
    if (request->active_count > 0) {
        /* The other attempt may still be answered. */
        request->outcome_unknown |= reply->outcome == FORWARD_UNKNOWN;
        request->hedge_at_us = NEVER_US;
        request_set_timer(request);
        return;
    }
    if (reply->outcome == FORWARD_UNKNOWN) {
        request_on_unknown(request, reply, now_us);
    }
    else {
        request_on_not_run(request, reply, now_us);
    }
}

void
request_replied(struct request *request, uint32_t number,
                const struct request_reply *reply, int64_t now_us)
{
    struct request_attempt *attempt = request_find_attempt(request, number);
    if (attempt == NULL) {
        return;
    }
    request_end_attempt(request, attempt, now_us, request_choice_result(reply),
                        reply->load);
    request->id_proved_new |= request_reply_proves_new_id(reply);
    if (reply->outcome != FORWARD_ANSWERED) {
        request_on_refusal(request, attempt, reply, now_us);
        return;
    }
    retry_record_full(request->env->retry, false);
    if (!attempt->hedge) {
        hedge_record_latency(request->env->hedge, now_us,
                             now_us - attempt->choice.started_us);
    }
    request_cancel_attempts(request, now_us);
    const struct request_answer answer = {
        .outcome = FORWARD_ANSWERED,
        .number = number,
    };
    request_answer(request, &answer);
}

void
request_failed(struct request *request, uint32_t number,
               enum request_failure failure, int64_t now_us)
{
    struct request_attempt *attempt = request_find_attempt(request, number);
    if (attempt == NULL) {
        return;
    }
    const struct request_reply reply = {
        .outcome =
            failure == REQUEST_NOT_SENT ? FORWARD_NOT_RUN : FORWARD_UNKNOWN,
        .reason = FORWARD_REASON_PEER_LOST,
        .owner = CHOICE_NO_MEMBER,
    };
    const enum choice_result result = failure == REQUEST_NOT_SENT
                                          ? CHOICE_UNREACHABLE
                                          : CHOICE_CONNECTION_LOST;
    request_end_attempt(request, attempt, now_us, result, NULL);
    request_on_refusal(request, attempt, &reply, now_us);
}
