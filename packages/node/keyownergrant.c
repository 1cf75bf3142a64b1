/* Grant and release calls to the target. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "grant"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"

#define GRANT_DURATION_US (3 * US_PER_SECOND)
#define GRANT_DURATION_MIN_US (300 * US_PER_MS)
#define RENEW_INTERVAL_US (1 * US_PER_SECOND)
#define RETRY_DELAY_US (150 * US_PER_MS)
#define CALL_TIMEOUT_US (600 * US_PER_MS)
#define RELEASE_TIMEOUT_US (3 * US_PER_SECOND)
/* A target may receive a grant this long after it was sent. */
#define SEND_DELAY_MAX_US (100 * US_PER_MS)
/* No request starts this close to the end of a grant. */
#define START_MARGIN_US (50 * US_PER_MS)
#define CLOCK_DRIFT_PERCENT 3 /* of a slow target's clock, with a margin */
#define STATUS_OK 200

static const struct http_header order_headers[] = {
    {"Content-Type", "application/json"},
};

void
keyownergrant_free(struct key_grant *grant)
{
    if (grant->call != NULL) {
        http_call_cancel(grant->call);
    }
    TAILQ_REMOVE(&grant->keyowner->grants, grant, link);
    free(grant);
}

void
keyownergrant_forget(struct key_grant *grant)
{
    struct keyowner *keyowner = grant->keyowner;
    const int64_t unresolved_until_us = grant->call != NULL
                                            ? grant->latest_end_us
                                            : grant->unresolved_until_us;
    if (grant->latest_end_us > keyowner->former_grants_end_us) {
        keyowner->former_grants_end_us = grant->latest_end_us;
    }
    if (unresolved_until_us > keyowner->unresolved_until_us) {
        keyowner->unresolved_until_us = unresolved_until_us;
    }
    keyownergrant_free(grant);
}

/** True if all pages of the grant were read in that era. Others may be missing
 * in the copy, or have been written by others since. */
static bool
pages_are_present(const struct key_grant *grant, const struct keyera *era)
{
    const struct node_keymap *keys = keyowner_keys(grant->keyowner);
    if (keys == NULL) {
        return false;
    }
    for (unsigned page = keymap_page_of(grant->first);
         page <= keymap_page_of(grant->last); page++) {
        if (!keyera_is_present(era, keys->map.pages[page].version)) {
            return false;
        }
    }
    return true;
}

bool
keyownergrant_was_certain(const struct key_grant *grant,
                          const struct keyera *era)
{
    const int64_t now_us = node_now_us(grant->keyowner->node);
    return grant->retained || keyera_is_present(era, grant->fence) ||
           (keyera_is_settled(era, now_us) && pages_are_present(grant, era));
}

bool
keyownergrant_is_certain(const struct key_grant *grant)
{
    return keyownergrant_was_certain(grant, &grant->keyowner->node->keyera);
}

/** Sends an order to the present incarnation. Answers to orders bear no id: a
 * late one to an earlier order would look like its own. */
static struct http_call *
send_order(struct node *node, struct http_call_spec *spec, int64_t timeout_us)
{
    spec->method = "POST";
    spec->headers = order_headers;
    spec->header_count = 1;
    spec->needs_own_connection = true;
    /* Nothing else fits beside the only connection of a target. */
    const struct declared_service *service = node_own_service(node);
    spec->stays_open = service != NULL && service->connections > 1;
    spec->deadline_us = node_now_us(node) + timeout_us;
    return http_call_start(localtarget_client(node->target), spec);
}

static bool
is_release_answer(void *ctx, const struct http_headers *headers)
{
    const struct release_call *call = ctx;
    return localtarget_is_order_answer(call->handover->keyowner->node->target,
                                       headers);
}

/** The latest time at which the grant last sent may end at the target. */
static int64_t
sent_grant_end_us(const struct key_grant *grant)
{
    return grant->sent_us + SEND_DELAY_MAX_US +
           grant->requested_hold_us * (100 + CLOCK_DRIFT_PERCENT) / 100;
}

/** The grant last sent has no answer and may still take effect. */
static void
record_unresolved(struct key_grant *grant)
{
    const int64_t latest_end_us = sent_grant_end_us(grant);
    if (latest_end_us > grant->unresolved_until_us) {
        grant->unresolved_until_us = latest_end_us;
    }
}

static void
grant_confirmed(struct key_grant *grant)
{
    const bool first = !grant->confirmed;
    const int64_t until_us =
        grant->sent_us + grant->requested_hold_us - START_MARGIN_US;
    grant->confirmed = true;
    grant->token[0] = '\0';
    if (until_us > grant->start_until_us) {
        grant->start_until_us = until_us;
    }
    grant->renew_at_us = grant->sent_us + RENEW_INTERVAL_US;
    if (grant->first_confirmed_us == 0) {
        grant->first_confirmed_us = node_now_us(grant->keyowner->node);
    }
    if (first) {
        LOG_INFO("granted", LOG_UINT("first", grant->first),
                 LOG_UINT("last", grant->last),
                 LOG_UINT("fence", grant->fence),
                 LOG_INT("hold_ms", grant->requested_hold_us / US_PER_MS));
        localgate_keys_changed(grant->keyowner->node->gate);
    }
}

static void
on_granted(void *ctx, const struct http_result *result)
{
    struct key_grant *grant = ctx;
    struct keyowner *keyowner = grant->keyowner;
    grant->call = NULL;
    if (result->outcome == HTTP_ANSWERED && result->status == STATUS_OK) {
        grant_confirmed(grant);
        keyownerprocess_answered(grant);
        keyownermove_advance(keyowner);
        return;
    }
    if (result->outcome == HTTP_NOT_SENT &&
        grant->sent_fence <= keyowner->former_fence_max) {
        keyownergrant_send_due(keyowner);
        return;
    }
    keyowner->grants_failed->value++;
    grant->renew_at_us = node_now_us(keyowner->node) + RETRY_DELAY_US;
    LOG_WARN("grant_failed", LOG_UINT("first", grant->first),
             LOG_UINT("last", grant->last), LOG_UINT("fence", grant->fence),
             LOG_INT("outcome", result->outcome),
             LOG_UINT("status", result->status));
    if (result->outcome == HTTP_REFUSED) {
        localtarget_connection_refused(keyowner->node->target);
        return;
    }
    if (result->outcome != HTTP_ANSWERED && result->outcome != HTTP_NOT_SENT) {
        record_unresolved(grant);
    }
    keyownermove_advance(keyowner);
}

/** Fence of the grant at the target. */
static uint64_t
target_fence(const struct key_grant *grant)
{
    const struct keyowner *keyowner = grant->keyowner;
    const uint64_t least = keyowner->fence_min > keyowner->process_fence_min
                               ? keyowner->fence_min
                               : keyowner->process_fence_min;
    return grant->fence > least ? grant->fence : least;
}

/** False once the grant would last longer than was reckoned, as it has waited
 * for a connection, or if it would reach another process. */
static bool
may_send_grant(void *ctx)
{
    struct key_grant *grant = ctx;
    return node_now_us(grant->keyowner->node) <=
               grant->sent_us + SEND_DELAY_MAX_US &&
           keyownerprocess_may_grant(grant);
}

static bool
is_grant_answer(void *ctx, const struct http_headers *headers)
{
    const struct key_grant *grant = ctx;
    return localtarget_is_order_answer(grant->keyowner->node->target, headers);
}

static void
send_grant(struct key_grant *grant)
{
    struct keyowner *keyowner = grant->keyowner;
    struct node *node = keyowner->node;
    char body[WIRE_BODY_MAX];
    const int64_t now_us = node_now_us(node);
    const int64_t left_us =
        keylease_until_us(&keyowner->lease) - now_us - SEND_DELAY_MAX_US;
    int64_t hold_us = left_us * 100 / (100 + CLOCK_DRIFT_PERCENT);
    hold_us = hold_us < GRANT_DURATION_US ? hold_us : GRANT_DURATION_US;
    if (hold_us > node->settings.hold_max_us) {
        hold_us = node->settings.hold_max_us;
    }
    if (hold_us < GRANT_DURATION_MIN_US) {
        return;
    }
    const struct wire_grant order = {
        .first = grant->first,
        .last = grant->last,
        .fence = target_fence(grant),
        .hold_us = hold_us,
        .token = grant->token,
    };
    const size_t size = node->wire->write_grant(&order, body);
    grant->sent_us = now_us;
    grant->sent_fence = order.fence;
    grant->requested_hold_us = hold_us;
    const int64_t latest_end_us = sent_grant_end_us(grant);
    grant->latest_end_us = latest_end_us > grant->latest_end_us
                               ? latest_end_us
                               : grant->latest_end_us;
    keyowner->grants_sent->value++;
    struct http_call_spec spec = {
        .target = node->wire->grant_path,
        .body = body,
        .body_size = size,
        .may_send = may_send_grant,
        .answer_matches = is_grant_answer,
        .done = on_granted,
        .ctx = grant,
    };
    grant->call = send_order(node, &spec, CALL_TIMEOUT_US);
}

void
keyownergrant_send_due(struct keyowner *keyowner)
{
    const int64_t now_us = node_now_us(keyowner->node);
    if (!keyowner_may_grant(keyowner) || keyowner->claiming ||
        keyownerprocess_needs_fence(keyowner) ||
        localtarget_client(keyowner->node->target) == NULL) {
        return;
    }
    struct key_grant *grant;
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        if (grant->call == NULL && !grant->releasing &&
            now_us >= grant->renew_at_us && keyownergrant_is_certain(grant) &&
            !keyownermove_suspends_renewals(grant)) {
            send_grant(grant);
        }
    }
}

void
keyownergrant_drop_handover(struct handover *handover)
{
    struct keyowner *keyowner = handover->keyowner;
    struct release_call *call = LIST_FIRST(&keyowner->releases);
    while (call != NULL) {
        struct release_call *next = LIST_NEXT(call, link);
        if (call->handover == handover) {
            http_call_cancel(call->http);
            LIST_REMOVE(call, link);
            free(call);
        }
        call = next;
    }
    struct key_grant *grant;
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        if (grant->first >= handover->first && grant->last <= handover->last) {
            grant->releasing = false;
            grant->confirmed = false;
            grant->renew_at_us = 0;
        }
    }
    TAILQ_REMOVE(&keyowner->handovers, handover, link);
    free(handover);
}

static void
on_released(void *ctx, const struct http_result *result)
{
    struct release_call *call = ctx;
    struct handover *handover = call->handover;
    struct keyowner *keyowner = handover->keyowner;
    const bool same_process = call->same_process;
    LIST_REMOVE(call, link);
    free(call);
    handover->calls--;
    if (result->outcome == HTTP_ANSWERED && result->status == STATUS_OK) {
        const char *token = keyowner->node->wire->read_token(result->headers);
        if (token != NULL && same_process) {
            snprintf(handover->token, sizeof(handover->token), "%s", token);
        }
    }
    else {
        handover->failed = true;
    }
    if (handover->calls > 0) {
        return;
    }
    if (handover->failed) {
        LOG_WARN("release_failed", LOG_UINT("first", handover->first),
                 LOG_UINT("last", handover->last),
                 LOG_INT("outcome", result->outcome));
        keyownergrant_drop_handover(handover);
        keyownergrant_send_due(keyowner);
        return;
    }
    handover->released = true;
    keyownermap_write_changes(keyowner);
}

/** A release is sent in any case: a process that has ended holds no keys. */
static bool
before_release(void *ctx)
{
    struct release_call *call = ctx;
    const struct keyowner *keyowner = call->handover->keyowner;
    call->same_process =
        keyowner->order_sent_us > 0 && keyownerprocess_is_same(keyowner);
    if (!call->same_process) {
        LOG_INFO("release_to_unknown",
                 LOG_UINT("first", call->handover->first),
                 LOG_UINT("last", call->handover->last));
    }
    return true;
}

static void
send_release(struct handover *handover, const struct key_grant *grant)
{
    struct node *node = handover->keyowner->node;
    struct release_call *call = memory_calloc(1, sizeof(*call));
    const struct wire_grant order = {
        .first = grant->first,
        .last = grant->last,
        .fence = target_fence(grant),
    };
    char body[WIRE_BODY_MAX];
    call->handover = handover;
    LIST_INSERT_HEAD(&handover->keyowner->releases, call, link);
    handover->calls++;
    struct http_call_spec spec = {
        .target = node->wire->release_path,
        .body = body,
        .body_size = node->wire->write_release(&order, body),
        .may_send = before_release,
        .answer_matches = is_release_answer,
        .done = on_released,
        .ctx = call,
    };
    call->http = send_order(node, &spec, RELEASE_TIMEOUT_US);
}

void
keyownergrant_release(struct handover *handover)
{
    struct key_grant *grant;
    TAILQ_FOREACH (grant, &handover->keyowner->grants, link) {
        if (grant->first >= handover->first && grant->last <= handover->last) {
            grant->releasing = true;
            send_release(handover, grant);
        }
    }
}
