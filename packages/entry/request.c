#include "entry/request.h"

#include <stdlib.h>

#include "base/invariant.h"
#include "entry/request_internal.h"

#define WAIT_MAX_US                                                           \
    (1000 * US_PER_MS) /* until an owner or target is known                   \
                        */
#define WAIT_POLL_US (20 * US_PER_MS)
#define OWNER_QUERIES_MAX 4 /* members tried while the owner is unknown */
#define NO_TARGET_RETRY_MS 1000

static const bool
    request_transitions[REQUEST_STATE_COUNT][REQUEST_STATE_COUNT] = {
        [REQUEST_NEW] = {[REQUEST_TRYING] = true,
                         [REQUEST_WAITING] = true,
                         [REQUEST_DONE] = true},
        [REQUEST_WAITING] = {[REQUEST_TRYING] = true, [REQUEST_DONE] = true},
        [REQUEST_TRYING] = {[REQUEST_WAITING] = true,
                            [REQUEST_BACKOFF] = true,
                            [REQUEST_DONE] = true},
        [REQUEST_BACKOFF] = {[REQUEST_TRYING] = true,
                             [REQUEST_WAITING] = true,
                             [REQUEST_DONE] = true},
};

struct request *
request_create(const struct request_env *env, const struct request_spec *spec,
               void *data)
{
    struct request *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        return NULL;
    }
    request->env = env;
    request->spec = *spec;
    request->data = data;
    request->named_owner = CHOICE_NO_MEMBER;
    request->hedge_at_us = NEVER_US;
    request->retry_at_us = NEVER_US;
    return request;
}

void
request_destroy(struct request *request)
{
    free(request);
}

void *
request_data(const struct request *request)
{
    return request->data;
}

enum request_state
request_state(const struct request *request)
{
    return request->state;
}

uint32_t
request_attempt_count(const struct request *request)
{
    return request->attempt_count;
}

bool
request_outcome_is_unknown(const struct request *request)
{
    return request->outcome_unknown || request->active_count > 0;
}

void
request_move(struct request *request, enum request_state state)
{
    if (request->state == state) {
        return;
    }
    invariant_check(INVARIANT_REQUEST_STATE,
                    request_transitions[request->state][state],
                    "request_move");
    request->state = state;
}

void
request_set_timer(struct request *request)
{
    int64_t due_us = request->spec.deadline_us;
    if (request->state == REQUEST_TRYING) {
        if (request->hedge_at_us < due_us) {
            due_us = request->hedge_at_us;
        }
    }
    else if (request->retry_at_us < due_us) {
        due_us = request->retry_at_us;
    }
    request->env->ops.set_timer(request->env->ops_ctx, request, due_us);
}

struct request_attempt *
request_find_attempt(struct request *request, uint32_t number)
{
    for (size_t i = 0; i < REQUEST_PARALLEL_ATTEMPTS_MAX; i++) {
        struct request_attempt *attempt = &request->attempts[i];
        if (attempt->active && attempt->number == number) {
            return attempt;
        }
    }
    return NULL;
}

void
request_end_attempt(struct request *request, struct request_attempt *attempt,
                    int64_t now_us, enum choice_result result,
                    const struct forward_load *load)
{
    attempt->active = false;
    request->active_count--;
    choice_attempt_ended(request->env->choice, &attempt->choice, now_us,
                         result, load);
}

void
request_cancel_attempts(struct request *request, int64_t now_us)
{
    for (size_t i = 0; i < REQUEST_PARALLEL_ATTEMPTS_MAX; i++) {
        struct request_attempt *attempt = &request->attempts[i];
        if (attempt->active) {
            request->outcome_unknown = true;
            request_end_attempt(request, attempt, now_us, CHOICE_ABANDONED,
                                NULL);
            request->env->ops.cancel(request->env->ops_ctx, request,
                                     attempt->number);
        }
    }
}

void
request_answer(struct request *request, const struct request_answer *answer)
{
    if (answer->outcome == FORWARD_NOT_RUN) {
        invariant_check(INVARIANT_NOT_RUN,
                        !request_outcome_is_unknown(request),
                        "request_answer");
    }
    request_move(request, REQUEST_DONE);
    request->env->ops.answer(request->env->ops_ctx, request, answer);
}

/* Whether it is proved that no earlier arrival with the same id has run. */
static bool
request_is_first_arrival(const struct request *request)
{
    const struct request_spec *spec = &request->spec;
    return spec->idempotent || !spec->has_id || request->id_proved_new;
}

void
request_give_up(struct request *request, enum forward_reason reason,
                uint32_t retry_after_ms, int64_t now_us)
{
    request_cancel_attempts(request, now_us);
    const bool not_run =
        !request->outcome_unknown && request_is_first_arrival(request);
    const struct request_answer answer = {
        .outcome = not_run ? FORWARD_NOT_RUN : FORWARD_UNKNOWN,
        .reason = reason,
        .number = REQUEST_NO_ATTEMPT,
        .retry_after_ms = retry_after_ms,
    };
    request_answer(request, &answer);
}

/*
 * A request that is not idempotent may be sent again only if each earlier
 * attempt is proved not to have run, or if the owner's gate records its id.
 */
bool
request_may_send(const struct request *request)
{
    const struct request_spec *spec = &request->spec;
    return spec->idempotent || (spec->has_id && spec->keyed) ||
           !request_outcome_is_unknown(request);
}

void
request_send(struct request *request, uint32_t member, uint64_t epoch,
             bool hedge, int64_t now_us)
{
    if (!invariant_check(INVARIANT_AT_MOST_ONCE, request_may_send(request),
                         "request_send")) {
        return;
    }
    struct request_attempt *attempt = &request->attempts[0];
    if (attempt->active) {
        attempt = &request->attempts[1];
    }
    attempt->active = true;
    attempt->hedge = hedge;
    attempt->number = request->attempt_count++;
    request->active_count++;
    choice_attempt_started(request->env->choice, &attempt->choice, member,
                           now_us);
    request_move(request, REQUEST_TRYING);
    const struct request_send send = {
        .number = attempt->number,
        .member = member,
        .epoch = epoch,
        .remaining_us = request->spec.deadline_us - now_us,
        .hedge = hedge,
        .suspect = request->suspect,
    };
    request->env->ops.send(request->env->ops_ctx, request, &send);
}

static uint32_t
request_find_owner(struct request *request, uint64_t *epoch)
{
    const struct request_env *env = request->env;
    *epoch = 0;
    uint32_t owner = env->owner(env->owner_ctx, request->spec.shard, epoch);
    if (request->named_owner != CHOICE_NO_MEMBER &&
        request->named_owner_epoch >= *epoch &&
        choice_member_name(env->choice, request->named_owner) != NULL) {
        owner = request->named_owner;
        *epoch = request->named_owner_epoch;
    }
    return owner;
}

/* While the owner is unknown, sends to each member once: a gate that does not
 * own the key runs nothing, and names the owner if it knows it. */
static uint32_t
request_find_keyed_member(struct request *request, uint64_t *epoch,
                          int64_t now_us)
{
    const uint32_t owner = request_find_owner(request, epoch);
    if (owner != CHOICE_NO_MEMBER ||
        request->excluded_count >= OWNER_QUERIES_MAX) {
        return owner;
    }
    *epoch = 0;
    return choice_pick(request->env->choice, request->excluded,
                       request->excluded_count, false, now_us);
}

static uint32_t
request_find_member(struct request *request, uint64_t *epoch, int64_t now_us)
{
    struct choice *choice = request->env->choice;
    const struct request_spec *spec = &request->spec;
    *epoch = 0;
    if (spec->keyed) {
        return request_find_keyed_member(request, epoch, now_us);
    }
    if (request->suspect) {
        return choice_pick_by_hash(choice, spec->fingerprint,
                                   request->excluded, request->excluded_count,
                                   now_us);
    }
    return choice_pick(choice, request->excluded, request->excluded_count,
                       spec->idempotent && request->attempt_count == 0,
                       now_us);
}

void
request_wait_for_member(struct request *request, int64_t now_us)
{
    if (request->wait_until_us == 0) {
        request->wait_until_us = now_us + WAIT_MAX_US;
    }
    if (now_us >= request->wait_until_us) {
        const enum forward_reason reason =
            request->refusal.reason != FORWARD_REASON_NONE
                ? request->refusal.reason
                : FORWARD_REASON_NO_TARGET;
        request_give_up(request, reason, NO_TARGET_RETRY_MS, now_us);
        return;
    }
    request_move(request, REQUEST_WAITING);
    request->retry_at_us = now_us + WAIT_POLL_US;
    if (!request->spec.keyed) {
        request->excluded_count = 0;
    }
    request_set_timer(request);
}

void
request_schedule_hedge(struct request *request, int64_t now_us)
{
    const int64_t delay_us = hedge_delay_us(request->env->hedge);
    request->hedge_at_us = NEVER_US;
    if (request->spec.may_hedge && request->spec.idempotent &&
        !request->spec.keyed && !request->suspect && !request->hedged &&
        delay_us >= 0) {
        request->hedge_at_us = now_us + delay_us;
    }
}

void
request_dispatch(struct request *request, int64_t now_us)
{
    uint64_t epoch;
    const uint32_t member = request_find_member(request, &epoch, now_us);
    if (member == CHOICE_NO_MEMBER) {
        request_wait_for_member(request, now_us);
        return;
    }
    request->named_owner = CHOICE_NO_MEMBER;
    request_send(request, member, epoch, false, now_us);
    request_schedule_hedge(request, now_us);
    request_set_timer(request);
}

void
request_start(struct request *request, int64_t now_us)
{
    const struct request_env *env = request->env;
    retry_earn_token(env->retry, now_us);
    hedge_earn_token(env->hedge);
    switch (suspects_get_status(env->suspects, now_us,
                                request->spec.fingerprint)) {
    case SUSPECTS_QUARANTINED:
        if (!request->spec.idempotent && request->spec.has_id) {
            break; /* the owner's gate knows whether it has run */
        }
        request_give_up(request, FORWARD_REASON_SUSPECT,
                        SUSPECTS_QUARANTINE_US / US_PER_MS, now_us);
        return;
    case SUSPECTS_SUSPECT:
        request->suspect = true;
        break;
    case SUSPECTS_CLEAR:
        break;
    }
    request_dispatch(request, now_us);
}

void
request_exclude_member(struct request *request, uint32_t member)
{
    if (request->excluded_count < REQUEST_ATTEMPTS_MAX) {
        request->excluded[request->excluded_count++] = member;
    }
}

static void
request_send_hedge(struct request *request, int64_t now_us)
{
    const struct request_env *env = request->env;
    request->hedge_at_us = NEVER_US;
    const uint32_t first = request->attempts[0].active
                               ? request->attempts[0].choice.member
                               : request->attempts[1].choice.member;
    request_exclude_member(request, first);
    const uint32_t member =
        choice_pick(env->choice, request->excluded, request->excluded_count,
                    false, now_us);
    if (member == CHOICE_NO_MEMBER ||
        request->attempt_count >= REQUEST_ATTEMPTS_MAX ||
        !choice_has_capacity(env->choice, member, now_us) ||
        !hedge_take_token(env->hedge)) {
        return;
    }
    request->hedged = true;
    request_send(request, member, 0, true, now_us);
}

void
request_timer_expired(struct request *request, int64_t now_us)
{
    if (request->state == REQUEST_DONE) {
        return;
    }
    if (now_us >= request->spec.deadline_us) {
        request_give_up(request, FORWARD_REASON_DEADLINE, 0, now_us);
        return;
    }
    switch (request->state) {
    case REQUEST_TRYING:
        if (now_us >= request->hedge_at_us) {
            request_send_hedge(request, now_us);
        }
        request_set_timer(request);
        return;
    case REQUEST_WAITING:
    case REQUEST_BACKOFF:
        if (now_us >= request->retry_at_us) {
            request_dispatch(request, now_us);
            return;
        }
        request_set_timer(request);
        return;
    case REQUEST_NEW:
    case REQUEST_DONE:
    case REQUEST_STATE_COUNT:
        return;
    }
}

void
request_end(struct request *request, int64_t now_us)
{
    if (request->state != REQUEST_DONE) {
        request_give_up(request, FORWARD_REASON_DRAINING, 0, now_us);
    }
}

void
request_caller_gone(struct request *request, int64_t now_us)
{
    request_cancel_attempts(request, now_us);
    request_move(request, REQUEST_DONE);
}
