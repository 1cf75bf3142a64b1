/* State of the other instances of the service: which respond, their load, and
 * which started earlier. */
#include "node/planner_internal.h"

#include <stdio.h>
#include <string.h>

#define LOG_MODULE "planner"
#include "base/log.h"
#include "base/memory.h"
#include "fleet/limitnotice.h"
#include "node/localtarget.h"
#include "node/relaytask.h"

#define FAILURES_MAX 2 /* unanswered queries until it counts as lost */
#define SERVICE_TIME_SMOOTHING 6 /* samples */
#define LOAD_SMOOTHING 2         /* samples */

struct peer_load *
planner_find_peer(const struct planner *planner, const char *instance)
{
    struct peer_load *peer;
    LIST_FOREACH (peer, &planner->peers, link) {
        if (strcmp(peer->instance, instance) == 0) {
            return peer;
        }
    }
    return NULL;
}

bool
planner_is_self(const struct planner *planner, const char *instance)
{
    return strcmp(instance, planner->node->settings.instance) == 0;
}

bool
planner_answers(const struct planner *planner, const char *instance)
{
    const struct peer_load *peer = planner_find_peer(planner, instance);
    return peer != NULL && peer->received_us > 0 &&
           peer->failures < FAILURES_MAX;
}

bool
planner_is_lost(const struct planner *planner, const char *instance)
{
    const struct peer_load *peer = planner_find_peer(planner, instance);
    return !planner_is_self(planner, instance) && peer != NULL &&
           peer->failures >= FAILURES_MAX;
}

bool
planner_is_unresponsive(const struct planner *planner, const char *instance)
{
    const struct peer_load *peer = planner_find_peer(planner, instance);
    return !planner_is_self(planner, instance) && peer != NULL &&
           peer->failures > 0;
}

bool
planner_serves_own_service(const struct planner *planner,
                           const struct instancetable_row *instance_row)
{
    const struct declared_service *service = node_own_service(planner->node);
    return instance_row->state != INSTANCETABLE_ABSENT &&
           strcmp(instance_row->service, service->name) == 0;
}

static bool
is_working(const struct planner *planner,
           const struct instancetable_row *instance_row)
{
    return planner_serves_own_service(planner, instance_row) &&
           instance_row->state == INSTANCETABLE_SERVING &&
           !planner_is_lost(planner, instance_row->instance);
}

/** How many working instances of the service started earlier. Those that
 * joined last rank last, because leases don't name them yet. */
static size_t
rank_of(const struct planner *planner,
        const struct instancetable_row *instance_row)
{
    const struct instancetable_instance *instance;
    size_t rank = 0;
    LIST_FOREACH (instance, &planner->node->instancetable.instances, link) {
        rank += is_working(planner, &instance->instance_row) &&
                instancetable_started_earlier(&instance->instance_row,
                                              instance_row);
    }
    return rank;
}

size_t
planner_rank(const struct planner *planner)
{
    const struct node *node = planner->node;
    const struct instancetable_instance *self =
        instancetable_find(&node->instancetable, node->settings.instance);
    return self != NULL && localtarget_is_present(node->target)
               ? rank_of(planner, &self->instance_row)
               : SIZE_MAX;
}

int64_t
planner_smooth_service_time(int64_t before_us, int64_t now_us)
{
    return before_us > 0
               ? before_us + (now_us - before_us) / SERVICE_TIME_SMOOTHING
               : now_us;
}

double
planner_smooth_load(double before, unsigned load, unsigned slots)
{
    const double now = (double)load / (slots > 0 ? slots : 1);
    return before + (now - before) / LOAD_SMOOTHING;
}

/** Records the rate limit of a peer's target. One whose process doesn't know
 * it may have told this one before it was restarted. */
static void
record_limit(struct peer_load *peer,
             const struct instancetable_instance *known,
             const struct relay_loads *loads)
{
    peer->limited = loads->limit_state == RELAY_LIMIT_NAMED &&
                    limitnotice_is_valid(loads->limit_per_s);
    peer->limit_per_s = loads->limit_per_s;
    peer->limit_exceeded = peer->limited && loads->limit_exceeded;
    if (loads->limit_state == RELAY_LIMIT_UNKNOWN && known != NULL &&
        known->notice.limited) {
        peer->limited = true;
        peer->limit_per_s = known->notice.per_s;
    }
}

static void
on_loads(void *ctx, const char *instance, const struct relay_loads *loads)
{
    struct planner *planner = ctx;
    struct peer_load *peer = planner_find_peer(planner, instance);
    struct instancetable_instance *known =
        instancetable_find(&planner->node->instancetable, instance);
    const int64_t now_us = node_now_us(planner->node);
    if (peer == NULL) {
        return;
    }
    peer->query_pending = false;
    if (loads == NULL) {
        peer->failures++;
        if (peer->failures == FAILURES_MAX) {
            LOG_WARN("instance_lost", LOG_STR("peer", instance));
        }
        if (known != NULL && peer->failures >= FAILURES_MAX) {
            instancetable_record_unreachable(known, now_us);
        }
        return;
    }
    if (peer->failures >= FAILURES_MAX) {
        LOG_INFO("instance_found", LOG_STR("peer", instance));
    }
    if (known != NULL) {
        instancetable_record_reached(known, now_us);
    }
    peer->failures = 0;
    peer->received_us = now_us;
    peer->slots = loads->slots;
    peer->service_us = planner_smooth_service_time(peer->service_us,
                                                   (int64_t)loads->service_us);
    peer->cold = loads->cold;
    record_limit(peer, known, loads);
    peer->load_per_slot =
        planner_smooth_load(peer->load_per_slot, loads->load, loads->slots);
    peer->step_count = loads->steps.steps_len;
    peer->steps = memory_reallocarray(peer->steps, peer->step_count + 1,
                                      sizeof(*peer->steps));
    for (size_t i = 0; i < peer->step_count; i++) {
        peer->steps[i].first = loads->steps.steps_val[i].first;
        peer->steps[i].load = loads->steps.steps_val[i].load;
    }
}

void
planner_poll_peers(struct planner *planner, bool is_watcher, int64_t now_us)
{
    struct instancetable_instance *instance;
    LIST_FOREACH (instance, &planner->node->instancetable.instances, link) {
        const char *name = instance->instance_row.instance;
        if (!planner_serves_own_service(planner, &instance->instance_row) ||
            planner_is_self(planner, name) ||
            (!is_watcher && rank_of(planner, &instance->instance_row) >=
                                PLANNER_PEERS_NAMED)) {
            continue;
        }
        struct peer_load *peer = planner_find_peer(planner, name);
        if (peer == NULL) {
            peer = memory_calloc(1, sizeof(*peer));
            snprintf(peer->instance, sizeof(peer->instance), "%s", name);
            LIST_INSERT_HEAD(&planner->peers, peer, link);
        }
        const int64_t gap_us = peer->failures > 0
                                   ? PLANNER_POLL_INTERVAL_US / 4
                                   : PLANNER_POLL_INTERVAL_US;
        if (!peer->query_pending && now_us - peer->queried_us >= gap_us) {
            peer->query_pending = true;
            peer->queried_us = now_us;
            relaytask_query_loads(planner->node->relay, instance, on_loads,
                                  planner);
        }
    }
}
