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

struct gatelimit {
    struct node *node;
    struct limitnotice notice;
    char target[KEYMAP_NAME_MAX + 1]; /* incarnation; empty: none yet */
    int64_t started_ms;
    int64_t since_us;    /* when it was first present */
    bool invalid_logged; /* a field that can't be read */
    int64_t change_logged_us;
    struct counter *limit;
    struct counter *changes;
    struct counter *invalid;
};

struct gatelimit *
gatelimit_create(struct node *node)
{
    struct gatelimit *gatelimit = memory_calloc(1, sizeof(*gatelimit));
    struct counter_registry *counters = node->options.counters;
    gatelimit->node = node;
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
    gatelimit->notice = (struct limitnotice){.heard = false};
    gatelimit->limit->value = -1;
    localgate_rate_changed(gatelimit->node->gate);
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
    const enum limitnotice_change change = limitnotice_apply(
        &gatelimit->notice, statement, node_now_us(gatelimit->node));
    if (change == LIMITNOTICE_UNCHANGED) {
        return;
    }
    gatelimit->changes->value++;
    gatelimit->limit->value = gatelimit_per_1000_s(gatelimit);
    log_change(gatelimit, change, statement->source);
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
    if (read.limit != WIRE_LIMIT_INVALID) {
        apply(gatelimit, &(struct limitnotice_statement){
                             .source = source,
                             .limited = read.limit == WIRE_LIMIT_NAMED,
                             .per_s = read.limit_per_s,
                             .sent_us = sent_us,
                         });
    }
}

const struct limitnotice *
gatelimit_notice(const struct gatelimit *gatelimit)
{
    return &gatelimit->notice;
}
