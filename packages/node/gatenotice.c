#include "node/gatenotice.h"

#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "gate"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/departures.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/node_internal.h"

#define PER_1000_S 1000.0
#define CHANGE_LOG_INTERVAL_US (1 * US_PER_SECOND)

/* A target that this process does not know yet may have told others of a rate
 * limit. Its first answer tells it; one that does not answer in time is
 * treated like others. */
#define UNKNOWN_SLOTS 2
#define UNKNOWN_MAX_US (1 * US_PER_SECOND)
/* A target with a limit that has not answered for so long is asked for its
 * health, which may tell of the end of the limit. */
#define SILENCE_MAX_US (1 * US_PER_SECOND)

struct gatenotice {
    struct node *node;
    struct timer timer; /* end of the unknown time, or of the silence */
    struct limitnotice notice;
    bool leaving;                     /* the target has said so */
    struct relay_limit reply_limit;   /* part of the latest reply */
    char target[KEYMAP_NAME_MAX + 1]; /* incarnation; empty: none yet */
    int64_t started_ms;
    int64_t since_us;    /* when it was first present */
    bool invalid_logged; /* a field that can't be read */
    int64_t change_logged_us;
    struct counter *limit;
    struct counter *changes;
    struct counter *invalid;
};

static bool
is_unknown(const struct gatenotice *gatenotice)
{
    const struct limitnotice *notice = &gatenotice->notice;
    return !notice->heard && !notice->limited &&
           node_now_us(gatenotice->node) <
               gatenotice->since_us + UNKNOWN_MAX_US;
}

static void
on_timer(void *ctx)
{
    struct gatenotice *gatenotice = ctx;
    const struct limitnotice *notice = &gatenotice->notice;
    const int64_t now_us = node_now_us(gatenotice->node);
    if (!notice->limited) {
        localgate_rate_changed(gatenotice->node->gate);
        return;
    }
    if (now_us >= notice->heard_us + SILENCE_MAX_US) {
        localtarget_probe(gatenotice->node->target);
    }
    timer_start(&gatenotice->timer, SILENCE_MAX_US);
}

struct gatenotice *
gatenotice_create(struct node *node)
{
    struct gatenotice *gatenotice = memory_calloc(1, sizeof(*gatenotice));
    struct counter_registry *counters = node->options.counters;
    gatenotice->node = node;
    timer_init(&gatenotice->timer, node->runtime, on_timer, gatenotice);
    gatenotice->limit = counter_add(
        counters, "gate_rate_limit",
        "requests per 1,000 s that the target accepts; -1: it names no limit");
    gatenotice->limit->value = -1;
    gatenotice->changes =
        counter_add(counters, "gate_rate_changes",
                    "times that the target's rate limit began, changed or "
                    "ended");
    gatenotice->invalid =
        counter_add(counters, "gate_notice_invalid",
                    "answers whose rate limit or departure can't be read");
    return gatenotice;
}

void
gatenotice_destroy(struct gatenotice *gatenotice)
{
    timer_stop(&gatenotice->timer);
    free(gatenotice);
}

int64_t
gatenotice_per_1000_s(const struct gatenotice *gatenotice)
{
    const struct limitnotice *notice = &gatenotice->notice;
    return notice->limited ? (int64_t)(notice->per_s * PER_1000_S) : -1;
}

void
gatenotice_target_changed(struct gatenotice *gatenotice)
{
    const struct localtarget *target = gatenotice->node->target;
    const char *name = localtarget_name(target);
    const int64_t started_ms = localtarget_started_ms(target);
    if (name[0] == '\0' ||
        departures_same_incarnation(name, started_ms, gatenotice->target,
                                    gatenotice->started_ms)) {
        return;
    }
    snprintf(gatenotice->target, sizeof(gatenotice->target), "%s", name);
    gatenotice->started_ms = started_ms;
    gatenotice->since_us = node_now_us(gatenotice->node);
    gatenotice->invalid_logged = false;
    gatenotice->leaving = false;
    gatenotice->notice = (struct limitnotice){.heard = false};
    gatenotice->limit->value = -1;
    timer_start(&gatenotice->timer, UNKNOWN_MAX_US);
}

unsigned
gatenotice_slots(const struct gatenotice *gatenotice, unsigned slots)
{
    return is_unknown(gatenotice) && slots > UNKNOWN_SLOTS ? UNKNOWN_SLOTS
                                                           : slots;
}

static void
note_invalid(struct gatenotice *gatenotice, const struct wire_notice *read)
{
    gatenotice->invalid->value++;
    if (!gatenotice->invalid_logged) {
        gatenotice->invalid_logged = true;
        LOG_WARN("notice_invalid", LOG_STR("target", gatenotice->target),
                 LOG_STR("field", read->invalid_field),
                 LOG_STR("value", read->invalid_value));
    }
}

static void
log_change(struct gatenotice *gatenotice, enum limitnotice_change change,
           enum limitnotice_source source)
{
    const int64_t now_us = node_now_us(gatenotice->node);
    const char *source_name = limitnotice_source_name(source);
    if (change == LIMITNOTICE_ENDED) {
        LOG_INFO("rate_limit_ended", LOG_STR("target", gatenotice->target),
                 LOG_STR("source", source_name));
        return;
    }
    /* A limit may change with each answer. */
    if (change == LIMITNOTICE_CHANGED &&
        now_us - gatenotice->change_logged_us < CHANGE_LOG_INTERVAL_US) {
        return;
    }
    gatenotice->change_logged_us = now_us;
    LOG_INFO("rate_limit", LOG_STR("target", gatenotice->target),
             LOG_STR("source", source_name),
             LOG_BOOL("first", change == LIMITNOTICE_BEGAN),
             LOG_INT("per_1000_s", gatenotice_per_1000_s(gatenotice)));
}

static void
apply(struct gatenotice *gatenotice,
      const struct limitnotice_statement *statement)
{
    const bool was_unknown = is_unknown(gatenotice);
    const enum limitnotice_change change = limitnotice_apply(
        &gatenotice->notice, statement, node_now_us(gatenotice->node));
    if (change == LIMITNOTICE_UNCHANGED) {
        if (was_unknown && !is_unknown(gatenotice)) {
            localgate_rate_changed(gatenotice->node->gate);
        }
        return;
    }
    gatenotice->changes->value++;
    gatenotice->limit->value = gatenotice_per_1000_s(gatenotice);
    log_change(gatenotice, change, statement->source);
    timer_start(&gatenotice->timer, SILENCE_MAX_US);
    localgate_rate_changed(gatenotice->node->gate);
}

void
gatenotice_read(struct gatenotice *gatenotice, enum limitnotice_source source,
                const struct http_headers *headers, int64_t sent_us)
{
    struct wire_notice read;
    if (sent_us < gatenotice->since_us) {
        return; /* of another incarnation */
    }
    gatenotice->node->wire->read_notice(headers, &read);
    if (read.invalid_field != NULL) {
        note_invalid(gatenotice, &read);
    }
    if (read.leaving && !gatenotice->leaving) {
        gatenotice->leaving = true;
        localtarget_record_departure(
            gatenotice->node->target, gatenotice->target,
            gatenotice->started_ms, "it says so in its answers");
    }
    if (read.limit != WIRE_LIMIT_INVALID) {
        apply(gatenotice, &(struct limitnotice_statement){
                              .source = source,
                              .limited = read.limit == WIRE_LIMIT_NAMED,
                              .per_s = read.limit_per_s,
                              .sent_us = sent_us,
                          });
    }
}

void
gatenotice_hear_peer_limit(struct gatenotice *gatenotice,
                           const struct relay_limit *limit)
{
    if (gatenotice->target[0] == '\0' || !limitnotice_is_valid(limit->per_s) ||
        !departures_same_incarnation(
            gatenotice->target, gatenotice->started_ms,
            limit->incarnation.target, limit->incarnation.started_ms)) {
        return;
    }
    apply(gatenotice, &(struct limitnotice_statement){
                          .source = LIMITNOTICE_INSTANCE,
                          .limited = true,
                          .per_s = limit->per_s,
                      });
}

enum relay_limit_state
gatenotice_state(const struct gatenotice *gatenotice)
{
    const struct limitnotice *notice = &gatenotice->notice;
    if (notice->limited) {
        return RELAY_LIMIT_NAMED;
    }
    return notice->heard ? RELAY_LIMIT_NONE : RELAY_LIMIT_UNKNOWN;
}

void
gatenotice_fill_reply(struct gatenotice *gatenotice, struct relay_reply *reply,
                      int64_t wait_us)
{
    const struct limitnotice *notice = &gatenotice->notice;
    gatenotice->reply_limit = (struct relay_limit){
        .incarnation = {.target = gatenotice->target,
                        .started_ms = gatenotice->started_ms},
        .per_s = notice->per_s,
        .wait_us = (u_quad_t)wait_us,
    };
    reply->limit_state = gatenotice_state(gatenotice);
    if (notice->limited) {
        reply->limit = &gatenotice->reply_limit;
    }
    if (gatenotice->leaving) {
        reply->leaving = &gatenotice->reply_limit.incarnation;
    }
}

const struct limitnotice *
gatenotice_limit(const struct gatenotice *gatenotice)
{
    return &gatenotice->notice;
}
