/* What the target says of itself: which announcements count, and what the
 * departures of its incarnations mean. */
#include <stdio.h>
#include <string.h>

#define LOG_MODULE "target"
#include "base/log.h"
#include "fleet/departures.h"
#include "http/httpserver.h"
#include "node/departureack.h"
#include "node/localgate.h"
#include "node/localtarget_internal.h"
#include "node/ownrow.h"

/* Longest delay of an announcement on its way: one that arrives later than
 * this after the start of the process was sent after the start. */
#define ANNOUNCEMENT_DELAY_MAX_US (20 * US_PER_SECOND)
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400

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
    if (known->started_ms == 0 && announced->started_ms > 0) {
        return false; /* another writer may have sent what is known */
    }
    if (is_known_incarnation(target, announced)) {
        /* Without a start time, a target that comes back may be a new
         * incarnation whose sequence starts again. */
        return (target->present || known->started_ms > 0) &&
               announced->sequence <= known->sequence;
    }
    return known->started_ms > 0 && announced->started_ms <= known->started_ms;
}

/** Targets that state their start state it always: an announcement without it
 * is another writer's. */
static bool
lacks_start(const struct localtarget *target,
            const struct wire_announcement *announced)
{
    return announced->started_ms == 0 && target->announced.started_ms > 0;
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
        localtarget_end_suspended(target);
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
        localtarget_begin(target);
        localtarget_probe(target);
    }
    if (leaving) {
        set_leaving(target,
                    announced->leaving ? "it drains" : "it withdrew earlier");
    }
    targetliveness_heard(target);
    localgate_target_changed(target->node->gate);
    if (changed) {
        localtarget_publish_change(target);
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
            localtarget_publish_change(target);
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
        localtarget_publish_change(target);
    }
    departureacks_check(target->acks);
}

void
localtarget_own_row_known(struct localtarget *target)
{
    if (target->present) {
        localtarget_publish_change(target);
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

/** Answers an announcement that is older than what is known. It may be, or
 * repeat, the departure of this or a former incarnation. */
static void
acknowledge_stale(struct localtarget *target, struct http_request *request,
                  const struct wire_announcement *announced)
{
    if (announced->leaving && !is_known_incarnation(target, announced)) {
        localtarget_record_departure(target, announced->target,
                                     announced->started_ms, "it drains");
    }
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
    if (!is_own(target, &announced) || lacks_start(target, &announced)) {
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
