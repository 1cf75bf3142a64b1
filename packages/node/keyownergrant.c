/* Grants to the target and releases. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "grant"
#include "base/log.h"
#include "base/memory.h"
#include "node/keyowner_internal.h"
#include "node/localgate.h"
#include "node/localtarget.h"

#define HOLD_US (3 * US_PER_SECOND)
#define HOLD_MIN_US (300 * US_PER_MS)
#define RENEW_US (1 * US_PER_SECOND)
#define RETRY_US (150 * US_PER_MS)
#define CALL_TIMEOUT_US (600 * US_PER_MS)
#define RELEASE_TIMEOUT_US (3 * US_PER_SECOND)
/* The target may be this much later than the call was sent. */
#define ARRIVAL_US (100 * US_PER_MS)
/* Requests begin no later than this before a hold may end. */
#define START_MARGIN_US (50 * US_PER_MS)
#define CLOCK_PERCENT 3 /* by which a target's clock may be slow, and more */
#define STATUS_OK 200

static const struct http_header order_headers[] = {
    {"Content-Type", "application/json"},
};

void
keyownergrant_free(struct hold *hold)
{
    if (hold->call != NULL) {
        http_call_cancel(hold->call);
    }
    TAILQ_REMOVE(&hold->keyowner->holds, hold, link);
    free(hold);
}

/** Sends a grant or a release to the present life. */
static struct http_call *
send_order(struct node *node, const char *path, const char *body, size_t size,
           int64_t timeout_us, http_done_cb done, void *ctx)
{
    const struct http_call_spec spec = {
        .method = "POST",
        .target = path,
        .headers = order_headers,
        .header_count = 1,
        .body = body,
        .body_size = size,
        .deadline_us = node_now_us(node) + timeout_us,
        .done = done,
        .ctx = ctx,
    };
    return http_call_start(localtarget_client(node->target), &spec);
}

/** Asks the present life to release keys. */
static struct http_call *
send_release_order(struct node *node, const struct wire_grant *grant,
                   int64_t timeout_us, http_done_cb done, void *ctx)
{
    char body[WIRE_BODY_MAX];
    const size_t size = node->wire->write_release(grant, body);
    return send_order(node, node->wire->release_path, body, size, timeout_us,
                      done, ctx);
}

/** The latest time at which the grant last sent may end at the target. */
static int64_t
sent_ends_us(const struct hold *hold)
{
    return hold->sent_us + ARRIVAL_US +
           hold->asked_us * (100 + CLOCK_PERCENT) / 100;
}

/** A grant that was sent but not confirmed may hold, now or later. */
static void
note_unsure(struct hold *hold)
{
    const int64_t ends_us = sent_ends_us(hold);
    if (ends_us > hold->unsure_us) {
        hold->unsure_us = ends_us;
    }
}

static void
grant_confirmed(struct hold *hold)
{
    const bool first = !hold->granted;
    const int64_t until_us = hold->sent_us + hold->asked_us - START_MARGIN_US;
    hold->granted = true;
    hold->token[0] = '\0';
    if (until_us > hold->until_us) {
        hold->until_us = until_us;
    }
    hold->renew_us = hold->sent_us + RENEW_US;
    if (first) {
        LOG_INFO("granted", LOG_UINT("first", hold->first),
                 LOG_UINT("last", hold->last), LOG_UINT("fence", hold->fence),
                 LOG_INT("hold_ms", hold->asked_us / US_PER_MS));
        localgate_keys_changed(hold->keyowner->node->gate);
    }
}

static void
on_granted(void *ctx, const struct http_result *result)
{
    struct hold *hold = ctx;
    struct keyowner *keyowner = hold->keyowner;
    hold->call = NULL;
    if (result->outcome == HTTP_ANSWERED && result->status == STATUS_OK) {
        grant_confirmed(hold);
        return;
    }
    keyowner->grants_failed->value++;
    hold->renew_us = node_now_us(keyowner->node) + RETRY_US;
    LOG_WARN("grant_failed", LOG_UINT("first", hold->first),
             LOG_UINT("last", hold->last), LOG_UINT("fence", hold->fence),
             LOG_INT("outcome", result->outcome),
             LOG_UINT("status", result->status));
    if (result->outcome == HTTP_REFUSED) {
        localtarget_connection_refused(keyowner->node->target);
        return;
    }
    if (result->outcome != HTTP_ANSWERED && result->outcome != HTTP_NOT_SENT) {
        note_unsure(hold);
    }
}

static void
send_grant(struct hold *hold)
{
    struct keyowner *keyowner = hold->keyowner;
    struct node *node = keyowner->node;
    char body[WIRE_BODY_MAX];
    const int64_t now_us = node_now_us(node);
    const int64_t left_us =
        keylease_until_us(&keyowner->lease) - now_us - ARRIVAL_US;
    int64_t hold_us = left_us * 100 / (100 + CLOCK_PERCENT);
    hold_us = hold_us < HOLD_US ? hold_us : HOLD_US;
    if (hold_us > node->settings.hold_max_us) {
        hold_us = node->settings.hold_max_us;
    }
    if (hold_us < HOLD_MIN_US) {
        return;
    }
    const struct wire_grant grant = {
        .first = hold->first,
        .last = hold->last,
        .fence = hold->fence,
        .hold_us = hold_us,
        .token = hold->token,
    };
    const size_t size = node->wire->write_grant(&grant, body);
    hold->sent_us = now_us;
    hold->asked_us = hold_us;
    const int64_t ends_us = sent_ends_us(hold);
    hold->ends_us = ends_us > hold->ends_us ? ends_us : hold->ends_us;
    keyowner->grants->value++;
    hold->call = send_order(node, node->wire->grant_path, body, size,
                            CALL_TIMEOUT_US, on_granted, hold);
}

void
keyownergrant_send_due(struct keyowner *keyowner)
{
    const int64_t now_us = node_now_us(keyowner->node);
    if (!keyowner_may_grant(keyowner) ||
        localtarget_client(keyowner->node->target) == NULL) {
        return;
    }
    struct hold *hold;
    TAILQ_FOREACH (hold, &keyowner->holds, link) {
        if (hold->call == NULL && !hold->moving && now_us >= hold->renew_us) {
            send_grant(hold);
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
    struct hold *hold;
    TAILQ_FOREACH (hold, &keyowner->holds, link) {
        if (hold->first >= handover->first && hold->last <= handover->last) {
            hold->moving = false;
            hold->granted = false;
            hold->renew_us = 0;
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
    LIST_REMOVE(call, link);
    free(call);
    handover->calls--;
    if (result->outcome == HTTP_ANSWERED && result->status == STATUS_OK) {
        const char *token = keyowner->node->wire->read_token(result->headers);
        if (token != NULL) {
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

static void
send_release(struct handover *handover, const struct hold *hold)
{
    struct node *node = handover->keyowner->node;
    struct release_call *call = memory_zeroed(1, sizeof(*call));
    const struct wire_grant grant = {
        .first = hold->first,
        .last = hold->last,
        .fence = hold->fence,
    };
    call->handover = handover;
    LIST_INSERT_HEAD(&handover->keyowner->releases, call, link);
    handover->calls++;
    call->http = send_release_order(node, &grant, RELEASE_TIMEOUT_US,
                                    on_released, call);
}

static void
on_cleared(void *ctx, const struct http_result *result)
{
    struct clearing *clearing = ctx;
    struct keyowner *keyowner = clearing->keyowner;
    clearing->call = NULL;
    if (result->outcome == HTTP_ANSWERED && result->status == STATUS_OK) {
        clearing->done = true;
        keyownermap_write_changes(keyowner);
    }
}

static void
send_clearing(struct clearing *clearing)
{
    struct node *node = clearing->keyowner->node;
    const struct wire_grant grant = {
        .first = clearing->first,
        .last = clearing->last,
        .fence = clearing->fence,
    };
    clearing->call = send_release_order(node, &grant, CALL_TIMEOUT_US,
                                        on_cleared, clearing);
}

bool
keyownergrant_release_stale(struct keyowner *keyowner,
                            const struct keymap_segment *segment)
{
    struct clearing *clearing;
    LIST_FOREACH (clearing, &keyowner->clearings, link) {
        if (clearing->first == segment->first &&
            clearing->last == segment->last &&
            clearing->fence == segment->fence) {
            break;
        }
    }
    if (clearing == NULL) {
        clearing = memory_zeroed(1, sizeof(*clearing));
        clearing->keyowner = keyowner;
        clearing->first = segment->first;
        clearing->last = segment->last;
        clearing->fence = segment->fence;
        LIST_INSERT_HEAD(&keyowner->clearings, clearing, link);
    }
    if (!clearing->done && clearing->call == NULL) {
        send_clearing(clearing);
    }
    return clearing->done;
}

void
keyownergrant_drop_stale_releases(struct keyowner *keyowner)
{
    struct clearing *clearing = LIST_FIRST(&keyowner->clearings);
    while (clearing != NULL) {
        struct clearing *next = LIST_NEXT(clearing, link);
        if (clearing->call != NULL) {
            http_call_cancel(clearing->call);
        }
        free(clearing);
        clearing = next;
    }
    LIST_INIT(&keyowner->clearings);
}

void
keyownergrant_release(struct handover *handover)
{
    struct hold *hold;
    TAILQ_FOREACH (hold, &handover->keyowner->holds, link) {
        if (hold->first >= handover->first && hold->last <= handover->last) {
            hold->moving = true;
            send_release(handover, hold);
        }
    }
}
