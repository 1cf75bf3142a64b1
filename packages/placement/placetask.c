#include "placement/placetask_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "placement"
#include "base/log.h"

#define RUN_DELAY_MIN_US (1 * US_PER_MS)
#define RUN_DELAY_MAX_US (100 * US_PER_MS)
/* Limit for the reads of changed pages by all members together. */
#define TOTAL_POLLS_PER_SECOND 200

int64_t
placetask_now_us(const struct placetask *task)
{
    return runtime_now_us(task->options.runtime);
}

struct place_operation *
place_operation_start(struct placetask *task, struct place_action *action)
{
    struct place_operation *operation = calloc(1, sizeof(*operation));
    if (operation == NULL) {
        abort();
    }
    operation->task = task;
    operation->action = action;
    LIST_INSERT_HEAD(&task->operations, operation, link);
    return operation;
}

void
place_operation_end(struct place_operation *operation)
{
    LIST_REMOVE(operation, link);
    place_action_destroy(operation->action);
    free(operation);
}

static void
run_gate_action(struct placetask *task, const struct place_action *action)
{
    const struct placetask_callbacks *gate = &task->options.callbacks;
    switch (action->type) {
    case PLACE_SHARD_GAINED:
        gate->gained(gate->ctx, action->shard, action->epoch, action->planned,
                     action->blob, action->blob_size);
        break;
    case PLACE_DRAIN_SHARD:
        gate->drain(gate->ctx, action->shard);
        break;
    case PLACE_RESUME_SHARD:
        gate->resume(gate->ctx, action->shard);
        break;
    case PLACE_SHARD_LOST:
        gate->lost(gate->ctx, action->shard);
        break;
    case PLACE_KEY_SPLIT:
        gate->split(gate->ctx, action->base, action->shard);
        break;
    case PLACE_KEY_MERGED:
        gate->merged(gate->ctx, action->base, action->shard);
        break;
    default:
        break;
    }
}

/* Takes ownership of the action. */
static void
run_action(struct placetask *task, struct place_action *action)
{
    switch (action->type) {
    case PLACE_COMMIT_PAGE:
        placestore_commit(task, action);
        return;
    case PLACE_READ_PAGE:
        placestore_read(task, action);
        return;
    case PLACE_READ_MEMBER:
        placestore_read_member(task, action);
        return;
    case PLACE_RESERVE:
        placerpc_reserve(task, action);
        return;
    case PLACE_HANDOVER:
        placerpc_handover(task, action);
        return;
    case PLACE_SCAN_PAGES:
        placestore_scan(task, true);
        break;
    case PLACE_SEND_PAGE:
        placerpc_send_page(task, action->peer, action->page);
        break;
    case PLACE_EXCHANGE_LOAD:
        placerpc_exchange_load(task, action->peer);
        break;
    case PLACE_PUBLISH_PAGE:
        placerpc_publish(task, action->page);
        break;
    default:
        run_gate_action(task, action);
        break;
    }
    place_action_destroy(action);
}

static void
update_counters(struct placetask *task)
{
    const struct placer_counts counts = placer_counts(task->placer);
    task->moves_started->value = counts.moves_started;
    task->moves_done->value = counts.moves_done;
    task->moves_given_up->value = counts.moves_given_up;
    task->replaced->value = counts.replaced;
    task->claimed->value = counts.claimed;
    task->owned->value = (int64_t)placer_owned_count(task->placer);
    task->map_bytes->value = (int64_t)shardmap_memory(task->map);
}

void
placetask_run_actions(struct placetask *task)
{
    struct place_action *action;
    if (task->placer == NULL) {
        return;
    }
    while ((action = placer_next_action(task->placer)) != NULL) {
        run_action(task, action);
    }
    const int64_t now_us = placetask_now_us(task);
    int64_t due_us = placer_due_us(task->placer);
    if (due_us < now_us + RUN_DELAY_MIN_US) {
        due_us = now_us + RUN_DELAY_MIN_US;
    }
    if (due_us > now_us + RUN_DELAY_MAX_US) {
        due_us = now_us + RUN_DELAY_MAX_US;
    }
    timer_start_at(&task->run_timer, due_us);
}

static void
on_run(void *ctx)
{
    struct placetask *task = ctx;
    if (task->placer == NULL) {
        return;
    }
    placer_run(task->placer, placetask_now_us(task));
    placetask_run_actions(task);
    update_counters(task);
}

static void
on_poll(void *ctx)
{
    struct placetask *task = ctx;
    const int64_t members =
        (int64_t)membertable_live_count(task->options.members);
    int64_t period_us = members * US_PER_SECOND / TOTAL_POLLS_PER_SECOND;
    if (period_us < task->options.poll_us) {
        period_us = task->options.poll_us;
    }
    timer_start(&task->poll_timer, period_us);
    placestore_scan(task, false);
}

static void
add_counters(struct placetask *task)
{
    struct counter_registry *counters = task->options.counters;
    task->commits =
        counter_add(counters, "place_commits", "conditional writes of pages");
    task->conflicts =
        counter_add(counters, "place_conflicts",
                    "page writes refused after a concurrent change");
    task->unknown = counter_add(counters, "place_unknown",
                                "page writes with unknown outcome");
    task->scans = counter_add(counters, "place_scans", "scans of pages");
    task->moves_started = counter_add(counters, "place_moves_started",
                                      "moves of shards started");
    task->moves_done =
        counter_add(counters, "place_moves_done", "moves of shards completed");
    task->moves_given_up = counter_add(counters, "place_moves_given_up",
                                       "moves of shards cancelled");
    task->replaced =
        counter_add(counters, "place_replaced",
                    "shards of fenced or left members reassigned");
    task->claimed = counter_add(counters, "place_claimed",
                                "shards without earlier owner assigned");
    task->owned = counter_add(counters, "place_owned", "shards owned now");
    task->map_bytes = counter_add(counters, "place_map_bytes",
                                  "bytes in use by the shard map");
}

struct placetask *
placetask_create(const struct placetask_options *options)
{
    struct placetask *task = calloc(1, sizeof(*task));
    if (task == NULL) {
        abort();
    }
    task->options = *options;
    random_seed(&task->random, options->seed);
    LIST_INIT(&task->operations);
    task->map = shardmap_create();
    if (task->map == NULL) {
        abort();
    }
    add_counters(task);
    timer_init(&task->run_timer, options->runtime, on_run, task);
    timer_init(&task->poll_timer, options->runtime, on_poll, task);
    timer_start(&task->poll_timer, 0);
    placerpc_serve(task);
    return task;
}

void
placetask_destroy(struct placetask *task)
{
    if (task == NULL) {
        return;
    }
    timer_stop(&task->run_timer);
    timer_stop(&task->poll_timer);
    struct place_operation *operation = LIST_FIRST(&task->operations);
    while (operation != NULL) {
        struct place_operation *next = LIST_NEXT(operation, link);
        place_operation_end(operation);
        operation = next;
    }
    placer_destroy(task->placer);
    shardmap_destroy(task->map);
    free(task);
}

static struct placer_limits
limits_of(const struct state *state, const struct state_service *service)
{
    /* Without keys a shard contains only request ids, which the tables of
     * duplicates and executions protect; no target has state that needs a sole
     * owner. */
    const bool needs_wait = service->key_source != STATE_KEY_NONE &&
                            !service->targets_check_grants;
    return (struct placer_limits){
        .targets_check_grants = !needs_wait,
        .longest_request_us = service->deadline_max_us,
        .moves_per_second = state->limits.moves_per_second,
        .capacity = service->slots,
    };
}

static void
add_member(void *ctx, const struct membertable_view *view)
{
    struct placetask *task = ctx;
    struct member row;
    if (membertable_row(task->options.members, view->instance, &row)) {
        placetask_update_member(task, &row);
    }
}

static void
create_placer(struct placetask *task, const struct state *state,
              const struct state_service *service)
{
    const struct placer_spec spec = {
        .instance = task->options.instance,
        .zone = task->options.zone,
        .service = service->name,
        .shards = service->shards,
        .map = task->map,
        .seed = random_u64(&task->random),
    };
    const struct placer_limits limits = limits_of(state, service);
    member_copy_name(task->service, service->name);
    task->placer = placer_create(&spec, &limits, placetask_now_us(task));
    if (task->placer == NULL) {
        abort();
    }
    placer_set_lease(task->placer, task->lease_until_us);
    placer_set_leaving(task->placer, task->leaving);
    if (task->self.version != 0) {
        placetask_update_member(task, &task->self);
    }
    const struct membertable_filter all = {.live_only = false};
    membertable_visit(task->options.members, &all, add_member, task);
}

static void
add_services(struct placetask *task, const struct state *state)
{
    for (size_t i = 0; i < state->service_count; i++) {
        const struct state_service *service = &state->services[i];
        struct error err = {.code = ERROR_NONE};
        if (shardmap_shard_count(task->map, service->name) == 0) {
            /* Pages of the service were ignored until now. */
            task->known_version = 0;
        }
        if (!shardmap_add_service(task->map, service->name, service->shards,
                                  &err)) {
            LOG_ERR("shards_changed", LOG_STR("service", service->name),
                    LOG_STR("error", error_name(err.code)));
        }
    }
}

void
placetask_set_state(struct placetask *task, const struct state *state,
                    const char *name)
{
    const struct state_service *service =
        name[0] != '\0' ? state_find_service(state, name) : NULL;
    add_services(task, state);
    if (service == NULL) {
        return;
    }
    if (task->placer == NULL) {
        create_placer(task, state, service);
    }
    const struct placer_limits limits = limits_of(state, service);
    placer_set_limits(task->placer, &limits);
    for (size_t i = 0; i < state->zone_count; i++) {
        placer_set_zone_out(task->placer, state->zones[i].name,
                            state->zones[i].out);
    }
    placetask_run_actions(task);
}

static enum peer_state
peer_state_of(const struct placetask *task, const struct member *row)
{
    if (strcmp(row->service, task->service) != 0) {
        return PEER_UNKNOWN;
    }
    switch (row->state) {
    case MEMBER_ACTIVE:
        return PEER_ACTIVE;
    case MEMBER_LEAVING:
        return PEER_LEAVING;
    case MEMBER_LEFT:
    case MEMBER_FENCED:
        return PEER_GONE;
    case MEMBER_UNKNOWN:
    case MEMBER_JOINING:
        break;
    }
    return PEER_UNKNOWN;
}

void
placetask_update_member(struct placetask *task, const struct member *row)
{
    const bool own = strcmp(row->self.instance, task->options.instance) == 0;
    if (own) {
        task->self = *row;
    }
    if (task->placer == NULL || (!own && row->service[0] != '\0' &&
                                 strcmp(row->service, task->service) != 0)) {
        return;
    }
    struct peer_info info = {
        .state = peer_state_of(task, row),
        .incarnation = row->self.incarnation,
        .version = row->version,
        .capacity = row->slots > 0 ? row->slots : 1,
    };
    member_copy_name(info.name, row->self.instance);
    member_copy_name(info.zone, row->zone);
    if (own && member_is_live(row)) {
        placer_set_own_row(task->placer, row->self.incarnation, row->version,
                           placetask_now_us(task));
    }
    placer_update_member(task->placer, &info, placetask_now_us(task));
    placetask_run_actions(task);
}

void
placetask_set_lease(struct placetask *task, int64_t until_us)
{
    task->lease_until_us = until_us;
    if (task->placer != NULL) {
        placer_set_lease(task->placer, until_us);
    }
}

void
placetask_leave(struct placetask *task)
{
    task->leaving = true;
    if (task->placer != NULL) {
        placer_set_leaving(task->placer, true);
        placetask_run_actions(task);
    }
}

void
placetask_set_cold(struct placetask *task, bool cold, double limit)
{
    if (task->placer != NULL) {
        placer_set_cold(task->placer, cold, limit);
    }
}

void
placetask_set_load(struct placetask *task, uint32_t shard, double load,
                   uint64_t hot_hash, double hot_load)
{
    if (task->placer != NULL) {
        placer_set_load(task->placer, shard, load, hot_hash, hot_load);
    }
}

void
placetask_drained(struct placetask *task, uint32_t shard, const void *blob,
                  size_t blob_size)
{
    if (task->placer != NULL) {
        placer_drained(task->placer, shard, blob, blob_size,
                       placetask_now_us(task));
        placetask_run_actions(task);
    }
}

bool
placetask_serves(const struct placetask *task, uint32_t shard, uint32_t *epoch)
{
    return task->placer != NULL &&
           placer_serves(task->placer, shard, placetask_now_us(task), epoch);
}

bool
placetask_drains(const struct placetask *task, uint32_t shard, uint32_t *epoch)
{
    return task->placer != NULL &&
           placer_drains(task->placer, shard, placetask_now_us(task), epoch);
}

bool
placetask_owns(const struct placetask *task, uint32_t shard)
{
    struct shardmap_location location;
    return task->placer != NULL &&
           shardmap_find(task->map, task->service, shard, &location) &&
           location.owner != NULL &&
           strcmp(location.owner, task->options.instance) == 0;
}

size_t
placetask_owned_count(const struct placetask *task)
{
    return task->placer != NULL ? placer_owned_count(task->placer) : 0;
}

const struct shardmap *
placetask_map(const struct placetask *task)
{
    return task->map;
}

bool
placetask_apply_page(struct placetask *task, const char *text,
                     uint64_t version)
{
    struct shardpage page;
    struct error err = {.code = ERROR_NONE};
    json_t *value = json_loads(text, 0, NULL);
    const bool valid =
        value != NULL && shardpage_from_json(&page, value, &err);
    json_decref(value);
    if (!valid) {
        LOG_WARN("page_malformed", LOG_STR("error", error_name(err.code)));
        return false;
    }
    if (task->placer != NULL) {
        placer_apply_page(task->placer, &page, version,
                          placetask_now_us(task));
        placetask_run_actions(task);
    }
    else {
        shardmap_apply(task->map, &page, version, NULL, NULL);
    }
    return true;
}

void
placetask_add_owner_hint(struct placetask *task, const char *service,
                         uint32_t shard, const char *owner, uint64_t epoch)
{
    shardmap_add_owner_hint(task->map, service, shard, owner, (uint32_t)epoch);
}
