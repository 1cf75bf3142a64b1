#include "node/localtarget_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "target"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/departures.h"
#include "http/httpserver.h"
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
/* Longest delay of an announcement on its way: one that arrives later than
 * this after the start of the process was sent after the start. */
#define ANNOUNCEMENT_DELAY_MAX_US (20 * US_PER_SECOND)
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400

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

/** Another incarnation has taken the place of a suspended one. */
static void
end_suspended(struct localtarget *target)
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
    return service != NULL && service->connections < needed
               ? service->connections
               : needed;
}

static void
target_begin(struct localtarget *target)
{
    const struct http_client_config config = {
        .address = target->node->settings.target,
        .connections_max = connections_max(target),
        .body_max_bytes = BODY_MAX,
        .bodies_max_bytes = BODIES_MAX,
        .connect_timeout_us = CONNECT_TIMEOUT_US,
        .idle_timeout_us = IDLE_TIMEOUT_US,
        .body_may_end_at_close = true,
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

/** Informs the other modules that the target's state has changed. */
static void
publish_change(struct localtarget *target)
{
    localgate_target_changed(target->node->gate);
    keyowner_target_changed(target->node->keyowner);
    ownrow_update(target->node->ownrow);
}

static void
set_leaving(struct localtarget *target, const char *why)
{
    if (target->leaving) {
        return;
    }
    target->leaving = true;
    target->leaving_since_us = localtarget_now_us(target);
    departures_record(&target->departures, target->announced.target,
                      target->announced.started_ms,
                      localtarget_now_us(target));
    LOG_INFO("target_leaving", LOG_STR("target", target->announced.target),
             LOG_STR("why", why));
}

/** Whether the announcement comes from this instance's target, for a service
 * that is declared. */
static bool
is_own(const struct localtarget *target,
       const struct wire_announcement *announced)
{
    const struct node *node = target->node;
    return address_equal(&announced->address, &node->settings.target) &&
           strcmp(announced->zone, node->settings.zone) == 0 &&
           (node->declared == NULL ||
            declared_find_service(node->declared, announced->service) != NULL);
}

/** True if the announcement is of the latest known incarnation. */
static bool
is_known_incarnation(const struct localtarget *target,
                     const struct wire_announcement *announced)
{
    const struct wire_announcement *known = &target->announced;
    return departures_same_incarnation(announced->target,
                                       announced->started_ms, known->target,
                                       known->started_ms);
}

static bool
is_present_incarnation(const struct localtarget *target,
                       const struct wire_announcement *announced)
{
    return target->present && is_known_incarnation(target, announced);
}

/** True if the announcement is older than what is known. */
static bool
is_stale(const struct localtarget *target,
         const struct wire_announcement *announced)
{
    const struct wire_announcement *known = &target->announced;
    if (is_known_incarnation(target, announced)) {
        /* Without a start time, a target that comes back may be a new
         * incarnation whose sequence starts again. */
        return (target->present || known->started_ms > 0) &&
               announced->sequence <= known->sequence;
    }
    return known->started_ms > 0 && announced->started_ms <= known->started_ms;
}

/** recent: it was sent after this process began. */
static void
apply_announcement(struct localtarget *target,
                   const struct wire_announcement *announced, bool recent)
{
    const int64_t now_us = localtarget_now_us(target);
    const bool same_incarnation = is_present_incarnation(target, announced);
    if (!same_incarnation) {
        localtarget_end(target, "another incarnation announced itself", false);
        target->leaving = false;
        target->confirmed = false;
    }
    if (!is_known_incarnation(target, announced)) {
        end_suspended(target);
    }
    const bool leaving =
        announced->leaving ||
        departures_contains(&target->departures, announced->target,
                            announced->started_ms, now_us);
    const bool changed =
        !same_incarnation || announced->slots != target->announced.slots ||
        leaving != target->leaving || (recent && !target->confirmed);
    target->announced = *announced;
    target->confirmed = target->confirmed || recent;
    target->announced_us = now_us;
    target->cold_until_us =
        announced->cold_left_us > 0 ? now_us + announced->cold_left_us : 0;
    if (!same_incarnation) {
        target_begin(target);
        localtarget_probe(target);
    }
    if (leaving) {
        set_leaving(target,
                    announced->leaving ? "it drains" : "it withdrew earlier");
    }
    targetliveness_heard(target);
    localgate_target_changed(target->node->gate);
    if (changed) {
        publish_change(target);
    }
}

void
localtarget_record_departure(struct localtarget *target, const char *name,
                             int64_t started_ms, const char *why)
{
    const struct wire_announcement *known = &target->announced;
    if (target->present &&
        departures_same_incarnation(name, started_ms, known->target,
                                    known->started_ms)) {
        if (!target->leaving) {
            set_leaving(target, why);
            publish_change(target);
        }
        return;
    }
    /* Without a start time the latest incarnation of that name is meant. */
    if (started_ms == 0 && strcmp(name, known->target) == 0) {
        started_ms = known->started_ms;
    }
    /* Announcements that it sent earlier may still arrive. */
    departures_record(&target->departures, name, started_ms,
                      localtarget_now_us(target));
    if (known->target[0] == '\0') {
        /* Keeps the departure in the own row. */
        snprintf(target->announced.target, sizeof(target->announced.target),
                 "%s", name);
        target->announced.started_ms = started_ms;
        target->leaving = true;
    }
    LOG_INFO("departure_noted", LOG_STR("target", name),
             LOG_INT("born_ms", started_ms));
}

void
localtarget_read_own_row(struct localtarget *target,
                         const struct instancetable_row *instance_row,
                         const char *text, size_t size)
{
    const struct wire_announcement *known = &target->announced;
    const int64_t now_us = localtarget_now_us(target);
    instancetable_read_departures(instance_row, text, size,
                                  &target->departures, now_us);
    if (instance_row->target_started_ms > 0) {
        departures_resolve_start(&target->departures, instance_row->target,
                                 instance_row->target_started_ms);
    }
    if (target->present && !target->leaving &&
        departures_contains(&target->departures, known->target,
                            known->started_ms, now_us)) {
        set_leaving(target, "it left before");
        publish_change(target);
    }
    departureacks_check(target->acks);
}

void
localtarget_own_row_known(struct localtarget *target)
{
    if (target->present) {
        publish_change(target);
    }
}

json_t *
localtarget_departures_json(const struct localtarget *target)
{
    return departures_to_json(&target->departures, localtarget_now_us(target));
}

bool
localtarget_has_unstored_departure(const struct localtarget *target)
{
    return departures_any_unstored(&target->departures,
                                   localtarget_now_us(target));
}

/** Answers an announcement that was applied. A departure is acknowledged once
 * it is stored. */
static void
acknowledge(struct localtarget *target, struct http_request *request,
            const struct wire_announcement *announced)
{
    if (!announced->gone && !announced->leaving) {
        departureacks_reply(request, STATUS_OK);
        return;
    }
    ownrow_update(target->node->ownrow);
    departureacks_add(target->acks, request, announced->target,
                      announced->started_ms);
}

/** True if the announcement was certainly sent after this process began. */
static bool
is_recent(const struct localtarget *target, const struct http_request *request)
{
    return http_request_follows_answer(request) ||
           localtarget_now_us(target) - target->created_us >=
               ANNOUNCEMENT_DELAY_MAX_US;
}

/** Answers an announcement that changes nothing; it may repeat a departure. */
static void
acknowledge_stale(struct localtarget *target, struct http_request *request,
                  const struct wire_announcement *announced)
{
    if (departures_contains(&target->departures, announced->target,
                            announced->started_ms,
                            localtarget_now_us(target))) {
        acknowledge(target, request, announced);
        return;
    }
    departureacks_reply(request, STATUS_OK);
}

void
localtarget_handle_announcement(struct localtarget *target,
                                struct http_request *request)
{
    struct wire_announcement announced;
    struct error err = {.code = ERROR_NONE};
    if (!target->node->wire->read_announcement(request, &announced, &err)) {
        char text[ERROR_SUBJECT_SIZE * 2];
        LOG_WARN("announcement_invalid",
                 LOG_STR("error", error_describe(&err, text, sizeof(text))));
        departureacks_reply(request, STATUS_BAD_REQUEST);
        return;
    }
    if (announced.gone) {
        localtarget_record_departure(target, announced.target,
                                     announced.started_ms, "it withdrew");
        acknowledge(target, request, &announced);
        return;
    }
    if (!is_own(target, &announced)) {
        LOG_WARN("announcement_foreign", LOG_STR("target", announced.target),
                 LOG_STR("service", announced.service),
                 LOG_STR("zone", announced.zone));
        departureacks_reply(request, STATUS_BAD_REQUEST);
        return;
    }
    if (is_stale(target, &announced)) {
        LOG_INFO("announcement_stale", LOG_STR("target", announced.target),
                 LOG_INT("sequence", announced.sequence),
                 LOG_INT("born_ms", announced.started_ms));
        acknowledge_stale(target, request, &announced);
        return;
    }
    apply_announcement(target, &announced, is_recent(target, request));
    acknowledge(target, request, &announced);
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
    publish_change(target);
}
