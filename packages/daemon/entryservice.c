#include "daemon/entryservice.h"

#include <stdlib.h>

static uint32_t
entryservice_find_owner(void *ctx, uint32_t shard, uint64_t *epoch)
{
    struct entryservice *service = ctx;
    const char *owner = service->owner(service->owner_ctx,
                                       service->declared.name, shard, epoch);
    if (owner == NULL) {
        return CHOICE_NO_MEMBER;
    }
    return choice_find_member(service->choice, owner);
}

struct entryservice *
entryservice_create(const struct entryservice_options *options,
                    const struct state_service *declared, int64_t now_us)
{
    struct entryservice *service = calloc(1, sizeof(*service));
    if (service == NULL) {
        abort();
    }
    service->declared = *declared;
    service->choice = choice_create(options->zone, options->random);
    if (service->choice == NULL) {
        abort();
    }
    retry_init(&service->retry, 0, now_us);
    hedge_init(&service->hedge, 0, now_us);
    service->owner = options->owner;
    service->owner_ctx = options->owner_ctx;
    service->env = (struct request_env){
        .choice = service->choice,
        .retry = &service->retry,
        .hedge = &service->hedge,
        .suspects = options->suspects,
        .random = options->random,
        .owner = entryservice_find_owner,
        .owner_ctx = service,
        .ops = options->ops,
        .ops_ctx = options->ops_ctx,
    };
    return service;
}

void
entryservice_destroy(struct entryservice *service)
{
    choice_destroy(service->choice);
    free(service);
}

void
entryservice_configure(struct entryservice *service,
                       const struct state_service *declared,
                       const struct state_limits *limits)
{
    service->declared = *declared;
    retry_configure(&service->retry, limits->retry_percent);
    hedge_configure(&service->hedge, limits->hedge_percent);
}

void
entryservice_update_member(struct entryservice *service,
                           const struct member *row, bool zone_out)
{
    if (!member_is_live(row)) {
        choice_remove(service->choice, row->self.instance);
        return;
    }
    const uint32_t member =
        choice_add(service->choice, row->self.instance, row->zone);
    /* A leaving member still serves the shards that it owns. */
    choice_set_excluded(service->choice, member,
                        zone_out || row->state != MEMBER_ACTIVE);
}
