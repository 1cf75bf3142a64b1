#include "daemon/daemon_internal.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "daemon"
#include "base/hash.h"
#include "base/log.h"
#include "daemon/spreadwire.h"
#include "placement/shardmap.h"

#define HANDOVER_BYTES_MAX ((size_t)4 << 20)

static const struct state_service *
own_service(const struct daemon *daemon)
{
    const struct state *state = configtask_state(daemon->config);
    if (state == NULL || daemon->self.service[0] == '\0') {
        return NULL;
    }
    return state_find_service(state, daemon->self.service);
}

static bool
own_zone_is_out(const struct daemon *daemon)
{
    const struct state *state = configtask_state(daemon->config);
    if (state == NULL) {
        return false;
    }
    const struct state_zone *zone =
        state_find_zone(state, daemon->settings.zone);
    return zone != NULL && zone->out;
}

/* Applies the target's announcement and the declared state. */
static void
apply_target_and_state(struct daemon *daemon)
{
    const struct announcement *target = target_current(daemon->target);
    const struct state *state = configtask_state(daemon->config);
    struct member *self = &daemon->self;
    if (target != NULL && self->service[0] != '\0' &&
        strcmp(self->service, target->service) != 0) {
        /* Ignored: this incarnation owns shards of the former service. */
        LOG_ERR("service_changed", LOG_STR("from", self->service),
                LOG_STR("to", target->service));
    }
    else if (target != NULL) {
        member_copy_name(self->service, target->service);
        self->slots = target->slots;
        self->checks_grants = target->checks_grants;
    }
    const struct state_service *service = own_service(daemon);
    if (service != NULL) {
        self->longest_request_us = service->deadline_max_us;
        self->checks_grants =
            self->checks_grants && service->targets_check_grants;
    }
    if (state != NULL) {
        self->lease_us = state->limits.lease_us;
        self->renewal_max_us = state->limits.store_renewal_max_us;
    }
    gatetask_set_service(daemon->gate, service);
    gatetask_set_zone_out(daemon->gate, own_zone_is_out(daemon));
    membertask_set_attributes(daemon->members, self);
    if (state != NULL) {
        placetask_set_state(daemon->placement, state, self->service);
    }
}

static void
on_lease_changed(void *ctx, int64_t until_us)
{
    struct daemon *daemon = ctx;
    gatetask_set_lease(daemon->gate, until_us);
    placetask_set_lease(daemon->placement, until_us);
}

static void
on_lease_lost(void *ctx)
{
    struct daemon *daemon = ctx;
    LOG_WARN("lease_lost");
    gatetask_set_lease(daemon->gate, 0);
    placetask_set_lease(daemon->placement, 0);
}

static void
on_member_changed(void *ctx, const struct member *row)
{
    struct daemon *daemon = ctx;
    entrytask_update_member(daemon->entry, row);
    placetask_update_member(daemon->placement, row);
    spreadwire_put_member(daemon, row);
    configtask_set_member_count(
        daemon->config,
        membertable_live_count(membertask_table(daemon->members)));
}

static void
on_member_fenced(void *ctx, const struct member *row)
{
    (void)ctx;
    LOG_INFO("member_fenced", LOG_STR("member", row->self.instance),
             LOG_UINT("incarnation", row->self.incarnation));
}

static void
on_revision_seen(void *ctx, uint64_t revision)
{
    struct daemon *daemon = ctx;
    configtask_revision_seen(daemon->config, revision);
}

const struct membertask_callbacks daemonevents_membership = {
    .lease_changed = on_lease_changed,
    .lease_lost = on_lease_lost,
    .member_changed = on_member_changed,
    .member_fenced = on_member_fenced,
    .revision_seen = on_revision_seen,
};

void
daemonevents_config(void *ctx, uint64_t revision, const struct state *state)
{
    struct daemon *daemon = ctx;
    entrytask_set_state(daemon->entry, state);
    apply_target_and_state(daemon);
    membertask_set_revision(daemon->members, revision);
    spreadwire_put_config(daemon);
    membertask_apply_declared_lost(daemon->members,
                                   (const char(*)[STATE_NAME_MAX + 1])
                                       state->lost_instances,
                                   state->lost_instance_count);
}

void
daemonevents_target(void *ctx, enum target_change change)
{
    struct daemon *daemon = ctx;
    const struct announcement *target = target_current(daemon->target);
    switch (change) {
    case TARGET_ANNOUNCED:
    case TARGET_RESTARTED:
        gatetask_target_restarted(daemon->gate,
                                  hash_string(target->incarnation));
        break;
    case TARGET_LOST:
        gatetask_target_lost(daemon->gate);
        break;
    case TARGET_WITHDRAWN:
        daemon->target_withdrew = true;
        daemon_shut_down(daemon);
        break;
    case TARGET_UPDATED:
        break;
    }
    spreadwire_put_suspects(daemon);
    apply_target_and_state(daemon);
}

enum admission_ownership
daemonevents_ownership(void *ctx, uint32_t shard, uint64_t *epoch)
{
    const struct daemon *daemon = ctx;
    uint32_t number = 0;
    *epoch = 0;
    if (placetask_serves(daemon->placement, shard, &number)) {
        *epoch = number;
        return ADMISSION_OWNED;
    }
    if (placetask_drains(daemon->placement, shard, &number)) {
        *epoch = number;
        return ADMISSION_DRAINING;
    }
    return placetask_owns(daemon->placement, shard) ? ADMISSION_MOVING
                                                    : ADMISSION_NOT_OWNED;
}

const char *
daemonevents_find_own_owner(void *ctx, uint32_t shard, uint64_t *epoch)
{
    const struct daemon *daemon = ctx;
    return daemonevents_find_owner(ctx, daemon->self.service, shard, epoch);
}

const char *
daemonevents_find_owner(void *ctx, const char *service, uint32_t shard,
                        uint64_t *epoch)
{
    const struct daemon *daemon = ctx;
    struct shardmap_location location;
    *epoch = 0;
    if (!shardmap_find(placetask_map(daemon->placement), service, shard,
                       &location)) {
        return NULL;
    }
    *epoch = location.epoch;
    return location.owner;
}

bool
daemonevents_find_shard(void *ctx, const char *service, const void *key,
                        size_t key_size, uint32_t *shard)
{
    const struct daemon *daemon = ctx;
    struct shardmap_location location;
    if (!shardmap_lookup(placetask_map(daemon->placement), service, key,
                         key_size, &location)) {
        return false;
    }
    *shard = location.shard;
    return true;
}

void
daemonevents_shard_idle(void *ctx, uint32_t shard)
{
    struct daemon *daemon = ctx;
    size_t size = 0;
    void *blob =
        gatetask_export_ids(daemon->gate, shard, HANDOVER_BYTES_MAX, &size);
    placetask_drained(daemon->placement, shard, blob, size);
    free(blob);
}

void
daemonevents_owner_hint(void *ctx, const char *service, uint32_t shard,
                        const char *owner, uint64_t epoch)
{
    const struct daemon *daemon = ctx;
    placetask_add_owner_hint(daemon->placement, service, shard, owner, epoch);
}

void
daemonevents_target_cut(void *ctx)
{
    /* Other members must know a suspect before its caller retries it. */
    spreadwire_put_suspects(ctx);
}

struct delegate *
daemonevents_delegate(void *ctx, const struct forward_request *request,
                      int64_t timeout_us, forwarder_done_cb done,
                      void *done_ctx)
{
    const struct daemon *daemon = ctx;
    struct entryservice *service =
        entrytask_service(daemon->entry, request->service);
    return delegate_send(daemon->forwarder, daemon->runtime, service,
                         daemon->settings.instance, request, timeout_us, done,
                         done_ctx);
}

static void
on_gained(void *ctx, uint32_t shard, uint32_t epoch, bool planned,
          const void *blob, size_t blob_size)
{
    struct daemon *daemon = ctx;
    (void)epoch;
    gatetask_shard_gained(daemon->gate, shard, planned && blob == NULL, blob,
                          blob_size);
}

static void
on_drain(void *ctx, uint32_t shard)
{
    const struct daemon *daemon = ctx;
    gatetask_drain_shard(daemon->gate, shard);
}

static void
on_resume(void *ctx, uint32_t shard)
{
    const struct daemon *daemon = ctx;
    gatetask_resume_shard(daemon->gate, shard);
}

static void
on_lost(void *ctx, uint32_t shard)
{
    const struct daemon *daemon = ctx;
    gatetask_shard_lost(daemon->gate, shard);
}

static void
on_split(void *ctx, uint32_t base, uint32_t key)
{
    const struct daemon *daemon = ctx;
    gatetask_split_key(daemon->gate, base, key);
}

static void
on_merged(void *ctx, uint32_t base, uint32_t key)
{
    const struct daemon *daemon = ctx;
    gatetask_merge_key(daemon->gate, base, key);
}

static void
on_member_read(void *ctx, const struct member *row)
{
    const struct daemon *daemon = ctx;
    membertask_apply_row(daemon->members, row);
}

static void
on_published(void *ctx, const char *row, uint64_t version, const char *text)
{
    spreadwire_put_page(ctx, row, version, text);
}

static void
set_load(void *ctx, uint32_t shard, double load, uint64_t hot_hash,
         double hot_load)
{
    const struct daemon *daemon = ctx;
    placetask_set_load(daemon->placement, shard, load, hot_hash, hot_load);
}

static void
on_report_timer(void *ctx)
{
    struct daemon *daemon = ctx;
    struct forward_load load;
    timer_start(&daemon->report_timer, US_PER_SECOND);
    gatetask_load(daemon->gate, &load);
    placetask_set_cold(daemon->placement, load.cold, load.limit);
    gatetask_visit_loads(daemon->gate, set_load, daemon);
    spreadwire_put_suspects(daemon);
}

void
daemonevents_start_reports(struct daemon *daemon)
{
    timer_init(&daemon->report_timer, daemon->runtime, on_report_timer,
               daemon);
    timer_start(&daemon->report_timer, US_PER_SECOND);
}

const struct placetask_callbacks daemonevents_placement = {
    .gained = on_gained,
    .drain = on_drain,
    .resume = on_resume,
    .lost = on_lost,
    .split = on_split,
    .merged = on_merged,
    .member_read = on_member_read,
    .published = on_published,
};
