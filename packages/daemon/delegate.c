#include "daemon/delegate.h"

#include <stdlib.h>

#include "base/runtime.h"

struct delegate {
    struct runtime *runtime;
    struct entryservice *service;
    struct choice_attempt choice;
    struct forwarder_attempt *attempt;
    forwarder_done_cb done;
    void *ctx;
};

static enum choice_result
choice_result_of(const struct forward_reply *reply)
{
    if (reply == NULL) {
        return CHOICE_UNREACHABLE;
    }
    switch (reply->outcome) {
    case FORWARD_ANSWERED:
        return CHOICE_ANSWERED;
    case FORWARD_NOT_RUN:
        return CHOICE_REFUSED;
    case FORWARD_UNKNOWN:
        break;
    }
    return CHOICE_UNREACHABLE;
}

static void
finish_choice(struct delegate *delegate, enum choice_result result,
              const struct forward_load *load)
{
    if (delegate->choice.active) {
        choice_attempt_ended(delegate->service->choice, &delegate->choice,
                             runtime_now_us(delegate->runtime), result, load);
    }
}

static void
on_done(void *ctx, enum rpc_status status, const struct forward_reply *reply)
{
    struct delegate *delegate = ctx;
    const forwarder_done_cb done = delegate->done;
    void *done_ctx = delegate->ctx;
    finish_choice(delegate, choice_result_of(reply),
                  reply != NULL ? &reply->load : NULL);
    free(delegate);
    done(done_ctx, status, reply);
}

/* The member to send to, "" if there is no other instance. */
static const char *
choose(struct delegate *delegate, const char *instance, int64_t now_us)
{
    struct choice *choice = delegate->service->choice;
    const uint32_t own = choice_find_member(choice, instance);
    const uint32_t member = choice_pick(choice, &own, 1, false, now_us);
    if (member == CHOICE_NO_MEMBER || member == own) {
        return "";
    }
    choice_attempt_started(choice, &delegate->choice, member, now_us);
    return choice_member_name(choice, member);
}

struct delegate *
delegate_send(struct forwarder *forwarder, struct runtime *runtime,
              struct entryservice *service, const char *instance,
              const struct forward_request *request, int64_t timeout_us,
              forwarder_done_cb done, void *ctx)
{
    struct delegate *delegate = calloc(1, sizeof(*delegate));
    if (delegate == NULL) {
        abort();
    }
    delegate->runtime = runtime;
    delegate->service = service;
    delegate->done = done;
    delegate->ctx = ctx;
    struct forward_request message = *request;
    message.keyed = false;
    message.epoch = 0;
    message.request_id = "";
    message.remaining_us = (u_quad_t)timeout_us;
    const char *member = choose(delegate, instance, runtime_now_us(runtime));
    delegate->attempt = forwarder_send(forwarder, member, &message, timeout_us,
                                       on_done, delegate);
    return delegate;
}

void
delegate_cancel(struct delegate *delegate)
{
    finish_choice(delegate, CHOICE_ABANDONED, NULL);
    forwarder_cancel(delegate->attempt);
    free(delegate);
}
