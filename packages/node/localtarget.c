#include "node/localtarget_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "target"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/departures.h"
#include "node/departureack.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/node_internal.h"
#include "node/ownrow.h"
#include "node/retiredclients.h"

#define CONNECT_TIMEOUT_US (400 * US_PER_MS)
#define IDLE_TIMEOUT_US (8 * US_PER_SECOND)
#define BODY_MAX ((size_t)16 << 20)
#define BODIES_MAX ((size_t)48 << 20) /* of all answers in progress */
#define SPARE_CONNECTIONS 8 /* for grants and probes, besides the slots */
#define SLOTS_DEFAULT 8     /* if its announcement is not known */

struct localtarget *
localtarget_create(struct node *node)
{
    struct localtarget *target = memory_calloc(1, sizeof(*target));
    target->node = node;
    target->retired.runtime = node->runtime;
    target->created_us = node_now_us(node);
    target->acks = departureacks_create(node->runtime, &target->departures,
                                        node->options.counters);
    targetliveness_init(target);
    return target;
}

void
localtarget_destroy(struct localtarget *target)
{
    if (target == NULL) {
        return;
    }
    departureacks_destroy(target->acks);
    timer_stop(&target->heartbeat_timer);
    timer_stop(&target->refusal_timer);
    http_client_destroy(target->client);
    retiredclients_clear(&target->retired);
    free(target);
}

int64_t
localtarget_now_us(const struct localtarget *target)
{
    return node_now_us(target->node);
}

/** Forgets the present incarnation. */
static void
target_leave(struct localtarget *target, const char *why)
{
    LOG_WARN("target_gone", LOG_STR("target", target->announced.target),
             LOG_STR("why", why),
             LOG_INT("silent_ms",
                     (localtarget_now_us(target) - target->announced_us) /
                         US_PER_MS));
    target->present = false;
    target->refused = false;
    timer_stop(&target->heartbeat_timer);
    timer_stop(&target->refusal_timer);
    if (target->probe_call != NULL) {
        http_call_cancel(target->probe_call);
        target->probe_call = NULL;
    }
}

void
localtarget_end(struct localtarget *target, const char *why, bool proven_dead)
{
    if (!target->present) {
        return;
    }
    target_leave(target, why);
    localgate_target_gone(target->node->gate);
    keyowner_target_gone(target->node->keyowner, proven_dead);
    retiredclients_add(&target->retired, target->client, false);
    target->client = NULL;
    ownrow_update(target->node->ownrow);
}

void
localtarget_suspend(struct localtarget *target, const char *why)
{
    target_leave(target, why);
    keyowner_target_gone(target->node->keyowner, false);
    retiredclients_add(&target->retired, target->client, true);
    target->client = NULL;
    localgate_target_changed(target->node->gate);
    ownrow_update(target->node->ownrow);
}

void
localtarget_end_suspended(struct localtarget *target)
{
    if (!retiredclients_is_empty(&target->retired)) {
        localgate_target_gone(target->node->gate);
    }
}

static unsigned
connections_max(const struct localtarget *target)
{
    const struct declared_service *service = node_own_service(target->node);
    const unsigned needed = target->announced.slots + SPARE_CONNECTIONS;
    if (service == NULL || service->connections > needed) {
        return needed;
    }
    /* One more stays open, unused, after orders. */
    return service->connections > 1 ? service->connections - 1 : 1;
}

void
localtarget_begin(struct localtarget *target)
{
    const struct http_client_config config = {
        .address = target->node->settings.target,
        .connections_max = connections_max(target),
        .body_max_bytes = BODY_MAX,
        .bodies_max_bytes = BODIES_MAX,
        .connect_timeout_us = CONNECT_TIMEOUT_US,
        .idle_timeout_us = IDLE_TIMEOUT_US,
        .body_may_end_at_close = true,
        .memory = target->node->settings.memory_mb > 0 ? &target->node->memory
                                                       : NULL,
    };
    target->present = true;
    target->present_since_us = localtarget_now_us(target);
    target->probe_failures = 0;
    target->client = http_client_create(target->node->runtime, &config,
                                        target->node->options.counters);
    LOG_INFO(
        "target_present", LOG_STR("target", target->announced.target),
        LOG_STR("service", target->announced.service),
        LOG_INT("born_ms", target->announced.started_ms),
        LOG_UINT("slots", target->announced.slots),
        LOG_INT("cold_left_ms", target->announced.cold_left_us / US_PER_MS));
}

void
localtarget_publish_change(struct localtarget *target)
{
    localgate_target_changed(target->node->gate);
    keyowner_target_changed(target->node->keyowner);
    ownrow_update(target->node->ownrow);
}

/** False while a process that has just started can't know whether an earlier
 * one has acknowledged the target's departure: its own row wasn't read, and
 * the announcements may have been sent before the start. */
static bool
is_certain(const struct localtarget *target)
{
    return target->node->own_row_known || target->confirmed;
}

bool
localtarget_accepts_connections(const struct localtarget *target)
{
    return target->present && !target->refused && is_certain(target);
}

void
localtarget_describe(const struct localtarget *target,
                     struct instancetable_row *instance_row)
{
    const struct nodesettings *settings = &target->node->settings;
    const struct wire_announcement *announced = &target->announced;
    const bool known = announced->service[0] != '\0';
    snprintf(instance_row->service, sizeof(instance_row->service), "%s",
             known ? announced->service : settings->service);
    snprintf(instance_row->target, sizeof(instance_row->target), "%s",
             announced->target);
    instance_row->target_started_ms = announced->started_ms;
    instance_row->slots = announced->slots;
    instance_row->departed = target->leaving;
    instance_row->state = INSTANCETABLE_ABSENT;
    if (target->present) {
        instance_row->state =
            target->leaving ? INSTANCETABLE_LEAVING : INSTANCETABLE_SERVING;
    }
}

bool
localtarget_is_serving(const struct localtarget *target)
{
    return target->present && !target->leaving && is_certain(target);
}

bool
localtarget_is_leaving(const struct localtarget *target)
{
    return target->leaving;
}

int64_t
localtarget_leaving_since_us(const struct localtarget *target)
{
    return target->leaving_since_us;
}

bool
localtarget_is_present(const struct localtarget *target)
{
    return target->present;
}

const char *
localtarget_service(const struct localtarget *target)
{
    return target->present ? target->announced.service : "";
}

struct keymap_holder
localtarget_holder(const struct localtarget *target)
{
    struct keymap_holder holder = {.instance = ""};
    if (target->present) {
        snprintf(holder.instance, sizeof(holder.instance), "%s",
                 target->node->settings.instance);
    }
    return holder;
}

const char *
localtarget_name(const struct localtarget *target)
{
    return target->present ? target->announced.target : "";
}

int64_t
localtarget_started_ms(const struct localtarget *target)
{
    return target->announced.started_ms;
}

int64_t
localtarget_present_since_us(const struct localtarget *target)
{
    return target->present ? target->present_since_us : INT64_MAX;
}

struct http_client *
localtarget_client(const struct localtarget *target)
{
    return target->present ? target->client : NULL;
}

bool
localtarget_is_order_answer(const struct localtarget *target,
                            const struct http_headers *headers)
{
    return target->node->wire->answer_matches_request(headers, NULL);
}

unsigned
localtarget_slots(const struct localtarget *target)
{
    return target->announced.slots > 0 ? target->announced.slots
                                       : SLOTS_DEFAULT;
}

int64_t
localtarget_cold_until_us(const struct localtarget *target)
{
    return target->cold_until_us;
}

void
localtarget_configure(struct localtarget *target)
{
    if (target->present) {
        http_client_set_connections(target->client, connections_max(target));
    }
    localtarget_publish_change(target);
}
