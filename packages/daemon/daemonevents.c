#include "daemon/daemon_internal.h"

#include <string.h>

#define LOG_MODULE "daemon"
#include "base/hash.h"
#include "base/log.h"
#include "placement/shardmap.h"

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

/* Puts what the target and the declared state say into effect. */
static void
apply_target(struct daemon *daemon)
{
    const struct announcement *target = target_current(daemon->target);
    const struct state *state = configtask_state(daemon->config);
    struct member *self = &daemon->self;
    if (target != NULL && self->service[0] != '\0' &&
        strcmp(self->service, target->service) != 0) {
        /* The shards that this incarnation owns are another service's. */
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
    membertask_set_abilities(daemon->members, self);
}

static void
on_lease_changed(void *ctx, int64_t until_us)
{
    struct daemon *daemon = ctx;
    gatetask_set_lease(daemon->gate, until_us);
}

static void
on_lease_lost(void *ctx)
{
    struct daemon *daemon = ctx;
    LOG_WARN("lease_lost");
    gatetask_set_lease(daemon->gate, 0);
}

static void
on_member_changed(void *ctx, const struct member *row)
{
    struct daemon *daemon = ctx;
    entrytask_member(daemon->entry, row);
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
    configtask_heard(daemon->config, revision);
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
    apply_target(daemon);
    membertask_set_revision(daemon->members, revision);
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
        gatetask_target_restarted(daemon->gate, random_u64(&daemon->random));
        break;
    case TARGET_WITHDRAWN:
        daemon_shut_down(daemon);
        break;
    case TARGET_UPDATED:
        break;
    }
    apply_target(daemon);
}

enum admission_ownership
daemonevents_owned(void *ctx, uint32_t shard, uint64_t *epoch)
{
    struct daemon *daemon = ctx;
    const char *owner = daemonevents_owner_of_own_service(ctx, shard, epoch);
    return owner != NULL && strcmp(owner, daemon->settings.instance) == 0
               ? ADMISSION_OWNED
               : ADMISSION_NOT_OWNED;
}

const char *
daemonevents_owner_of_own_service(void *ctx, uint32_t shard, uint64_t *epoch)
{
    const struct daemon *daemon = ctx;
    return daemonevents_owner(ctx, daemon->self.service, shard, epoch);
}

const char *
daemonevents_owner(void *ctx, const char *service, uint32_t shard,
                   uint64_t *epoch)
{
    const struct daemon *daemon = ctx;
    return ownership_find(daemon->ownership, service, shard, epoch);
}

bool
daemonevents_shard(void *ctx, const char *service, const void *key,
                   size_t key_size, uint32_t *shard)
{
    const struct daemon *daemon = ctx;
    const struct state *state = configtask_state(daemon->config);
    const struct state_service *declared =
        state != NULL ? state_find_service(state, service) : NULL;
    if (declared == NULL) {
        return false;
    }
    *shard = shardmap_shard_of(shardmap_hash(service, key, key_size),
                               declared->shards);
    return true;
}

void
daemonevents_shard_idle(void *ctx, uint32_t shard)
{
    (void)ctx;
    (void)shard;
}
