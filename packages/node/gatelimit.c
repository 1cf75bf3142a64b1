#include "node/gatelimit.h"

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

struct gatelimit {
    struct node *node;
    struct timer timer; /* end of the unknown time, or of the silence */
    struct limitnotice notice;
    bool leaving; /* the target has said so */
    struct relay_limit told;
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
is_unknown(const struct gatelimit *gatelimit)
{
    const struct limitnotice *notice = &gatelimit->notice;
    return !notice->heard && !notice->limited &&
           node_now_us(gatelimit->node) < gatelimit->since_us + UNKNOWN_MAX_US;
}

static void
on_timer(void *ctx)
{
    struct gatelimit *gatelimit = ctx;
    const struct limitnotice *notice = &gatelimit->notice;
    const int64_t now_us = node_now_us(gatelimit->node);
    if (!notice->limited) {
        localgate_rate_changed(gatelimit->node->gate);
        return;
    }
    if (now_us >= notice->heard_us + SILENCE_MAX_US) {
        localtarget_probe(gatelimit->node->target);
    }
    timer_start(&gatelimit->timer, SILENCE_MAX_US);
}

struct gatelimit *
gatelimit_create(struct node *node)
{
    struct gatelimit *gatelimit = memory_calloc(1, sizeof(*gatelimit));
    struct counter_registry *counters = node->options.counters;
    gatelimit->node = node;
    timer_init(&gatelimit->timer, node->runtime, on_timer, gatelimit);
    gatelimit->limit = counter_add(
        counters, "gate_rate_limit",
        "requests per 1,000 s that the target accepts; -1: it names no limit");
    gatelimit->limit->value = -1;
    gatelimit->changes =
        counter_add(counters, "gate_rate_changes",
                    "times that the target's rate limit began, changed or "
                    "ended");
    gatelimit->invalid =
        counter_add(counters, "gate_notice_invalid",
                    "answers whose rate limit or departure can't be read");
    return gatelimit;
}

void
gatelimit_destroy(struct gatelimit *gatelimit)
{
    timer_stop(&gatelimit->timer);
    free(gatelimit);
}

int64_t
gatelimit_per_1000_s(const struct gatelimit *gatelimit)
{
    const struct limitnotice *notice = &gatelimit->notice;
    return notice->limited ? (int64_t)(notice->per_s * PER_1000_S) : -1;
}

void
gatelimit_target_changed(struct gatelimit *gatelimit)
{
    const struct localtarget *target = gatelimit->node->target;
    const char *name = localtarget_name(target);
    const int64_t started_ms = localtarget_started_ms(target);
    if (name[0] == '\0' ||
        departures_same_incarnation(name, started_ms, gatelimit->target,
                                    gatelimit->started_ms)) {
        return;
    }
    snprintf(gatelimit->target, sizeof(gatelimit->target), "%s", name);
    gatelimit->started_ms = started_ms;
    gatelimit->since_us = node_now_us(gatelimit->node);
    gatelimit->invalid_logged = false;
    gatelimit->leaving = false;
    gatelimit->notice = (struct limitnotice){.heard = false};
    gatelimit->limit->value = -1;
    timer_start(&gatelimit->timer, UNKNOWN_MAX_US);
}

unsigned
gatelimit_slots(const struct gatelimit *gatelimit, unsigned slots)
{
    return is_unknown(gatelimit) && slots > UNKNOWN_SLOTS ? UNKNOWN_SLOTS
                                                          : slots;
}

static void
note_invalid(struct gatelimit *gatelimit, const struct wire_notice *read)
{
    gatelimit->invalid->value++;
    if (!gatelimit->invalid_logged) {
        gatelimit->invalid_logged = true;
        LOG_WARN("notice_invalid", LOG_STR("target", gatelimit->target),
                 LOG_STR("field", read->invalid_field),
                 LOG_STR("value", read->invalid_value));
    }
}

static void
log_change(struct gatelimit *gatelimit, enum limitnotice_change change,
           enum limitnotice_source source)
{
    const int64_t now_us = node_now_us(gatelimit->node);
    const char *source_name = limitnotice_source_name(source);
    if (change == LIMITNOTICE_ENDED) {
        LOG_INFO("rate_limit_ended", LOG_STR("target", gatelimit->target),
                 LOG_STR("source", source_name));
        return;
    }
    /* A limit may change with each answer. */
    if (change == LIMITNOTICE_CHANGED &&
        now_us - gatelimit->change_logged_us < CHANGE_LOG_INTERVAL_US) {
        return;
    }
    gatelimit->change_logged_us = now_us;
    LOG_INFO("rate_limit", LOG_STR("target", gatelimit->target),
             LOG_STR("source", source_name),
             LOG_BOOL("first", change == LIMITNOTICE_BEGAN),
             LOG_INT("per_1000_s", gatelimit_per_1000_s(gatelimit)));
}

static void
apply(struct gatelimit *gatelimit,
      const struct limitnotice_statement *statement)
{
    const bool was_unknown = is_unknown(gatelimit);
    const enum limitnotice_change change = limitnotice_apply(
        &gatelimit->notice, statement, node_now_us(gatelimit->node));
    if (change == LIMITNOTICE_UNCHANGED) {
        if (was_unknown && !is_unknown(gatelimit)) {
            localgate_rate_changed(gatelimit->node->gate);
        }
        return;
    }
    gatelimit->changes->value++;
    gatelimit->limit->value = gatelimit_per_1000_s(gatelimit);
    log_change(gatelimit, change, statement->source);
    timer_start(&gatelimit->timer, SILENCE_MAX_US);
    localgate_rate_changed(gatelimit->node->gate);
}

void
gatelimit_read(struct gatelimit *gatelimit, enum limitnotice_source source,
               const struct http_headers *headers, int64_t sent_us)
{
    struct wire_notice read;
    if (sent_us < gatelimit->since_us) {
        return; /* of another incarnation */
    }
    gatelimit->node->wire->read_notice(headers, &read);
    if (read.invalid_field != NULL) {
        note_invalid(gatelimit, &read);
    }
    if (read.leaving && !gatelimit->leaving) {
        gatelimit->leaving = true;
        localtarget_record_departure(gatelimit->node->target,
                                     gatelimit->target, gatelimit->started_ms,
                                     "it says so in its answers");
    }
    if (read.limit != WIRE_LIMIT_INVALID) {
        apply(gatelimit, &(struct limitnotice_statement){
                             .source = source,
                             .limited = read.limit == WIRE_LIMIT_NAMED,
                             .per_s = read.limit_per_s,
                             .sent_us = sent_us,
                         });
    }
}

void
gatelimit_hear_instance(struct gatelimit *gatelimit,
                        const struct relay_limit *limit)
{
    if (gatelimit->target[0] == '\0' || !limitnotice_is_valid(limit->per_s) ||
        !departures_same_incarnation(gatelimit->target, gatelimit->started_ms,
                                     limit->of.target, limit->of.started_ms)) {
        return;
    }
    apply(gatelimit, &(struct limitnotice_statement){
                         .source = LIMITNOTICE_INSTANCE,
                         .limited = true,
                         .per_s = limit->per_s,
                     });
}

enum relay_limit_state
gatelimit_state(const struct gatelimit *gatelimit)
{
    const struct limitnotice *notice = &gatelimit->notice;
    if (notice->limited) {
        return RELAY_LIMIT_NAMED;
    }
    return notice->heard ? RELAY_LIMIT_NONE : RELAY_LIMIT_UNKNOWN;
}

void
gatelimit_describe(struct gatelimit *gatelimit, struct relay_reply *reply,
                   int64_t wait_us)
{
    const struct limitnotice *notice = &gatelimit->notice;
    gatelimit->told = (struct relay_limit){
        .of = {.target = gatelimit->target,
               .started_ms = gatelimit->started_ms},
        .per_s = notice->per_s,
        .wait_us = (u_quad_t)wait_us,
    };
    reply->limit_state = gatelimit_state(gatelimit);
    if (notice->limited) {
        reply->limit = &gatelimit->told;
    }
    if (gatelimit->leaving) {
        reply->leaving = &gatelimit->told.of;
    }
}

const struct limitnotice *
gatelimit_notice(const struct gatelimit *gatelimit)
{
    return &gatelimit->notice;
}
