/* Whether the target is alive: missed heartbeats, probes of its health and
 * connections that it refuses or cuts. */
#include <string.h>

#include "node/localgate.h"
#include "node/localtarget_internal.h"

#define PROBE_TIMEOUT_US (700 * US_PER_MS)
#define PROBE_RETRY_DELAY_US (300 * US_PER_MS)
#define PROBE_FAILURES_MAX 2 /* consecutive, until it counts as gone */
/* A stopping target closes its listening socket before its last answers are
 * sent; one that has ended closes all connections within this time. */
#define REFUSAL_SETTLE_US (50 * US_PER_MS)
#define HEARTBEATS_MISSED_MAX 3 /* until it is probed */

static void
on_probed(void *ctx, const struct http_result *result)
{
    struct localtarget *target = ctx;
    struct wire_health health;
    target->probe_call = NULL;
    if (result->outcome == HTTP_REFUSED) {
        localtarget_connection_refused(target);
        return;
    }
    if (result->outcome != HTTP_ANSWERED) {
        target->probe_failures++;
        if (target->probe_failures >= PROBE_FAILURES_MAX) {
            localtarget_suspend(target, "silent");
            return;
        }
        timer_start(&target->heartbeat_timer, PROBE_RETRY_DELAY_US);
        return;
    }
    target->probe_failures = 0;
    target->node->wire->read_health(result, &health);
    if (health.target[0] != '\0' &&
        strcmp(health.target, target->announced.target) != 0) {
        localtarget_end(target, "another target answers", false);
        return;
    }
    localgate_read_health(target->node->gate, result->headers,
                          target->probed_us);
    if (health.has_cold_left) {
        target->cold_until_us =
            health.cold_left_us > 0
                ? localtarget_now_us(target) + health.cold_left_us
                : 0;
        localgate_target_changed(target->node->gate);
    }
    targetliveness_heard(target);
}

static bool
is_health_answer(void *ctx, const struct http_headers *headers)
{
    return localtarget_is_order_answer(ctx, headers);
}

void
localtarget_probe(struct localtarget *target)
{
    const struct declared_service *service = node_own_service(target->node);
    if (!target->present || target->probe_call != NULL || service == NULL) {
        return;
    }
    target->probed_us = localtarget_now_us(target);
    target->probe_call = http_call_start(
        target->client,
        &(struct http_call_spec){
            .method = "GET",
            .target = service->health_path,
            .deadline_us = localtarget_now_us(target) + PROBE_TIMEOUT_US,
            .answer_matches = is_health_answer,
            .needs_own_connection = true, /* its answer bears no id */
            .done = on_probed,
            .ctx = target,
        });
}

static void
on_heartbeat_missed(void *ctx)
{
    struct localtarget *target = ctx;
    if (node_own_service(target->node) == NULL) {
        timer_start(&target->heartbeat_timer, PROBE_RETRY_DELAY_US);
        return;
    }
    localtarget_probe(target);
}

/** True if a target that refused a connection has certainly ended. Connections
 * of a dead target have closed by now; one that leaves may have closed them
 * itself before it ends. */
static bool
has_ended(const struct localtarget *target)
{
    return !target->leaving && http_client_connections(target->client) == 0;
}

static void
on_refusal_settled(void *ctx)
{
    struct localtarget *target = ctx;
    if (localgate_running(target->node->gate) == 0) {
        localtarget_end(target, "refused", has_ended(target));
    }
    else {
        localtarget_suspend(target, "refused");
    }
}

void
localtarget_connection_refused(struct localtarget *target)
{
    if (target->present && !target->refused) {
        target->refused = true;
        timer_start(&target->refusal_timer, REFUSAL_SETTLE_US);
    }
}

void
localtarget_connection_cut(struct localtarget *target)
{
    localtarget_probe(target);
}

void
localtarget_assume_cold(struct localtarget *target)
{
    const struct declared_service *service = node_own_service(target->node);
    if (target->present && service != NULL) {
        target->cold_until_us =
            localtarget_now_us(target) + service->cold_start_us;
        localgate_target_changed(target->node->gate);
        localtarget_probe(target);
    }
}

void
targetliveness_init(struct localtarget *target)
{
    struct runtime *runtime = target->node->runtime;
    timer_init(&target->heartbeat_timer, runtime, on_heartbeat_missed, target);
    timer_init(&target->refusal_timer, runtime, on_refusal_settled, target);
}

void
targetliveness_heard(struct localtarget *target)
{
    timer_start(&target->heartbeat_timer,
                target->node->settings.heartbeat_us * HEARTBEATS_MISSED_MAX);
}
