#include "daemon/gatetask_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "gate"
#include "base/counter.h"
#include "base/log.h"

#define CALLERS_CLOCK_MARGIN_US (1 * US_PER_SECOND)
#define EXECUTIONS_INTERVAL_US (5 * US_PER_MS)

static void
gatetask_on_message(void *ctx, struct message *message)
{
    gatecall_deliver(ctx, (struct gate_arrival *)message);
}

static void
gatetask_update_gauges(struct gatetask *gate)
{
    struct forward_load load;
    gatetask_load(gate, &load);
    gate->in_flight->value = load.in_flight;
    gate->queued->value = load.queued;
    gate->limit->value = load.limit;
    gate->dedup_ids->value = (int64_t)dedup_count(gate->dedup);
    gate->dedup_bytes->value = (int64_t)dedup_bytes(gate->dedup);
}

static void
gatetask_on_tick(void *ctx)
{
    struct gatetask *gate = ctx;
    timer_start(&gate->tick, LIMIT_TICK_US);
    if (gate->core == NULL) {
        return;
    }
    gate_tick(gate->core, runtime_now_us(gate->options.runtime));
    gatetask_check_drains(gate);
    gatetask_update_gauges(gate);
}

static void
gatetask_recheck_lease(void *ctx)
{
    gatecall_cancel_late_writes(ctx);
}

static void
gatetask_add_counters(struct gatetask *gate)
{
    struct counter_registry *counters = gate->options.counters;
    gate->requests =
        counter_add(counters, "gate_requests", "requests from entries");
    gate->answered =
        counter_add(counters, "gate_answered", "requests answered");
    gate->not_run =
        counter_add(counters, "gate_not_run", "requests refused as not run");
    gate->unknown = counter_add(counters, "gate_unknown",
                                "requests whose outcome is unknown");
    gate->replayed = counter_add(counters, "gate_replayed",
                                 "answers replayed for the same id");
    gate->cancelled_after_write =
        counter_add(counters, "gate_cancelled_after_write",
                    "requests cancelled because the lease expired while "
                    "they were written");
    gate->delegated =
        counter_add(counters, "gate_delegated",
                    "requests forwarded to another instance's gate");
    gate->in_flight =
        counter_add(counters, "gate_in_flight", "requests at the target");
    gate->queued = counter_add(counters, "gate_queued", "requests waiting");
    gate->limit = counter_add(counters, "gate_limit",
                              "maximum number of requests at the target");
    gate->dedup_ids = counter_add(counters, "gate_dedup_ids",
                                  "idempotency keys in the duplicate table");
    gate->dedup_bytes = counter_add(counters, "gate_dedup_bytes",
                                    "memory of the duplicate table");
}

struct gatetask *
gatetask_create(const struct gatetask_options *options)
{
    struct gatetask *gate = calloc(1, sizeof(*gate));
    if (gate == NULL) {
        abort();
    }
    gate->options = *options;
    random_seed(&gate->random, options->seed);
    snprintf(gate->holder, sizeof(gate->holder), "%s-%016" PRIx64,
             options->instance, options->seed);
    LIST_INIT(&gate->calls);
    LIST_INIT(&gate->drains);
    gate->load = gateload_create(runtime_now_us(options->runtime));
    gatetask_add_counters(gate);
    gate->task =
        task_create(options->runtime, "gate", gatetask_on_message, gate);
    if (gate->task == NULL) {
        abort();
    }
    timer_init(&gate->tick, options->runtime, gatetask_on_tick, gate);
    timer_init(&gate->lease_recheck, options->runtime, gatetask_recheck_lease,
               gate);
    timer_start(&gate->tick, LIMIT_TICK_US);
    return gate;
}

void
gatetask_stop(struct gatetask *gate)
{
    struct gatetask_call *call;
    if (gate == NULL) {
        return;
    }
    LIST_FOREACH (call, &gate->calls, link) {
        if (call->delegate != NULL) {
            delegate_cancel(call->delegate);
            call->delegate = NULL;
        }
    }
}

void
gatetask_destroy(struct gatetask *gate)
{
    if (gate == NULL) {
        return;
    }
    timer_stop(&gate->tick);
    timer_stop(&gate->lease_recheck);
    task_destroy(gate->task);
    struct gatetask_call *call = LIST_FIRST(&gate->calls);
    while (call != NULL) {
        struct gatetask_call *next = LIST_NEXT(call, link);
        call->arrival = NULL;
        gatecall_free(call);
        call = next;
    }
    struct gate_drain *drain = LIST_FIRST(&gate->drains);
    while (drain != NULL) {
        struct gate_drain *next = LIST_NEXT(drain, link);
        free(drain);
        drain = next;
    }
    gateload_destroy(gate->load);
    executions_destroy(gate->executions);
    gate_destroy(gate->core);
    dedup_destroy(gate->dedup);
    admission_destroy(gate->admission);
    free(gate);
}

static struct limit_config
gatetask_limits_of(const struct gatetask *gate,
                   const struct state_service *service)
{
    const struct announcement *target = target_current(gate->options.target);
    struct limit_config limits = {
        .slots = service->slots,
        .connections = service->connections,
        .cold_limit = service->cold_limit,
        .cold_start_us = service->cold_start_us,
    };
    /* The target may announce less capacity than is declared, never more. */
    if (target != NULL && target->slots < limits.slots) {
        limits.slots = target->slots;
    }
    if (target != NULL && target->connections < limits.connections) {
        limits.connections = target->connections;
    }
    return limits;
}

static void
gatetask_create_gate(struct gatetask *gate, const struct limit_config *limits,
                     const struct dedup_config *ids)
{
    const int64_t now_us = runtime_now_us(gate->options.runtime);
    gate->admission =
        admission_create(limits, gate->options.suspects, gate->options.owned,
                         gate->options.ctx, now_us);
    gate->dedup = dedup_create(ids);
    gate->core = gate_create(gate->admission, gate->dedup, NULL,
                             gate->options.suspects, &gatecall_ops, gate);
    if (gate->admission == NULL || gate->dedup == NULL || gate->core == NULL) {
        abort();
    }
    admission_set_lease(gate->admission, gate->lease_until_us);
    gate_set_incarnation(gate->core, gate->target_incarnation);
}

static void
gatetask_create_executions(struct gatetask *gate,
                           const struct state_service *service)
{
    const struct executions_config config = {
        .service = gate->service_name,
        .holder = gate->holder,
        .interval_us = EXECUTIONS_INTERVAL_US,
        .retention_us = service->id_retention_us,
    };
    gate->executions =
        executions_create(&config, gate->options.store, &gate->random,
                          gate_on_execution_verdict, gate->core);
    if (gate->executions == NULL) {
        abort();
    }
    gate_set_executions(gate->core, gate->executions);
}

void
gatetask_set_service(struct gatetask *gate,
                     const struct state_service *service)
{
    if (service == NULL) {
        gate->service.name[0] = '\0';
        return;
    }
    const struct limit_config limits = gatetask_limits_of(gate, service);
    const struct dedup_config ids = {
        .retention_us = service->id_retention_us,
        .clock_margin_us = CALLERS_CLOCK_MARGIN_US,
        .bytes_max = gate->options.memory_bytes,
        .durable = service->durable_at_most_once,
    };
    gate->service = *service;
    snprintf(gate->service_name, sizeof(gate->service_name), "%s",
             service->name);
    if (gate->core == NULL) {
        gatetask_create_gate(gate, &limits, &ids);
    }
    limit_configure(admission_limit(gate->admission), &limits);
    dedup_configure(gate->dedup, &ids);
    if (service->durable_at_most_once && gate->executions == NULL) {
        gatetask_create_executions(gate, service);
    }
    gatetask_dispatch_queued(gate);
}

void
gatetask_set_lease(struct gatetask *gate, int64_t until_us)
{
    gate->lease_until_us = until_us;
    if (gate->core != NULL) {
        admission_set_lease(gate->admission, until_us);
    }
}

void
gatetask_set_leaving(struct gatetask *gate, bool leaving)
{
    if (gate->core != NULL) {
        admission_set_leaving(gate->admission, leaving,
                              runtime_now_us(gate->options.runtime));
        gatetask_dispatch_queued(gate);
    }
}

void
gatetask_set_zone_out(struct gatetask *gate, bool out)
{
    if (gate->core != NULL) {
        admission_set_zone_out(gate->admission, out,
                               runtime_now_us(gate->options.runtime));
        gatetask_dispatch_queued(gate);
    }
}

void
gatetask_target_lost(struct gatetask *gate)
{
    if (gate->core == NULL) {
        return;
    }
    gate_target_crashed(gate->core, gate->target_incarnation,
                        runtime_now_us(gate->options.runtime));
    gatetask_dispatch_queued(gate);
}

void
gatetask_target_restarted(struct gatetask *gate, uint64_t incarnation)
{
    gatetask_target_lost(gate);
    gate->target_incarnation = incarnation;
    if (gate->core != NULL) {
        gate_set_incarnation(gate->core, incarnation);
    }
}

void
gatetask_shard_gained(struct gatetask *gate, uint32_t shard, bool first,
                      const void *blob, size_t blob_size)
{
    if (gate->core == NULL) {
        return;
    }
    const struct dedup_time time = {
        .now_us = runtime_now_us(gate->options.runtime),
        .wall_ms = runtime_wall_ms(gate->options.runtime),
    };
    struct error err = {.code = ERROR_NONE};
    if (blob != NULL &&
        dedup_import(gate->dedup, shard, blob, blob_size, time.now_us, &err)) {
        return;
    }
    if (blob != NULL) {
        LOG_WARN("handover_refused", LOG_UINT("shard", shard),
                 LOG_STR("error", error_name(err.code)));
    }
    dedup_acquire_shard(gate->dedup, shard,
                        first ? DEDUP_ACQUIRED_NEW : DEDUP_ACQUIRED_TAKEOVER,
                        &time);
}

void
gatetask_shard_lost(struct gatetask *gate, uint32_t shard)
{
    if (gate->core != NULL) {
        dedup_drop_shard(gate->dedup, shard);
    }
    gatetask_dispatch_queued(gate);
}

void
gatetask_split_key(struct gatetask *gate, uint32_t base, uint32_t key)
{
    if (gate->core != NULL) {
        dedup_split_key(gate->dedup, base, key);
    }
}

void
gatetask_merge_key(struct gatetask *gate, uint32_t base, uint32_t key)
{
    if (gate->core != NULL) {
        dedup_merge_key(gate->dedup, base, key);
    }
}

static void
gatetask_put_grant(struct gatetask *gate, uint32_t shard)
{
    struct target_grant grant = {.shard = shard};
    const struct announcement *target = target_current(gate->options.target);
    gate->options.owned(gate->options.ctx, shard, &grant.epoch);
    if (target != NULL && target->checks_grants) {
        target_put_grants(gate->options.target, &grant, 1,
                          gate->lease_until_us, NULL, NULL);
    }
}

static void
drain_end(struct gate_drain *drain)
{
    struct gatetask *gate = drain->gate;
    const uint32_t shard = drain->shard;
    const bool resumed = drain->resumed;
    LIST_REMOVE(drain, link);
    free(drain);
    if (resumed) {
        gatetask_put_grant(gate, shard);
        return;
    }
    gate->options.shard_idle(gate->options.ctx, shard);
}

static void
drain_on_withdrawn(void *ctx, bool ok)
{
    struct gate_drain *drain = ctx;
    drain->withdrawing = false;
    if (!ok) {
        /* Safe: no request of the shard runs, and this gate sends no more. */
        LOG_WARN("grant_not_withdrawn", LOG_UINT("shard", drain->shard));
    }
    drain_end(drain);
}

/* Whether requests of the shard are in progress, or rows of the store don't
 * yet say that theirs have not run. */
static bool
gatetask_shard_is_busy(const struct gatetask *gate, uint32_t shard)
{
    return gatecall_count_of_shard(gate, shard) > 0 ||
           (gate->executions != NULL &&
            executions_unsettled_count(gate->executions, shard) > 0);
}

static void
drain_check(struct gate_drain *drain)
{
    struct gatetask *gate = drain->gate;
    if (drain->withdrawing ||
        (!drain->resumed && gatetask_shard_is_busy(gate, drain->shard))) {
        return;
    }
    const struct announcement *target = target_current(gate->options.target);
    if (drain->resumed || target == NULL || !target->checks_grants) {
        drain_end(drain);
        return;
    }
    const struct target_grant grant = {
        .shard = drain->shard,
        .epoch = drain->epoch,
    };
    drain->withdrawing = true;
    target_delete_grants(gate->options.target, &grant, 1, drain_on_withdrawn,
                         drain);
}

void
gatetask_check_drains(struct gatetask *gate)
{
    struct gate_drain *drain = LIST_FIRST(&gate->drains);
    while (drain != NULL) {
        struct gate_drain *next = LIST_NEXT(drain, link);
        drain_check(drain);
        drain = next;
    }
}

void
gatetask_drain_shard(struct gatetask *gate, uint32_t shard)
{
    struct gate_drain *drain = calloc(1, sizeof(*drain));
    if (drain == NULL) {
        abort();
    }
    drain->gate = gate;
    drain->shard = shard;
    gate->options.owned(gate->options.ctx, shard, &drain->epoch);
    LIST_INSERT_HEAD(&gate->drains, drain, link);
    gatetask_dispatch_queued(gate);
    if (!timer_running(&gate->tick)) {
        timer_start(&gate->tick, 0);
    }
}

void
gatetask_resume_shard(struct gatetask *gate, uint32_t shard)
{
    struct gate_drain *drain;
    LIST_FOREACH (drain, &gate->drains, link) {
        if (drain->shard == shard) {
            drain->resumed = true;
        }
    }
    gatetask_put_grant(gate, shard);
}

void *
gatetask_export_ids(struct gatetask *gate, uint32_t shard, size_t size_max,
                    size_t *size)
{
    if (gate->core == NULL) {
        return NULL;
    }
    return dedup_export(gate->dedup, shard, size_max,
                        runtime_now_us(gate->options.runtime), size);
}

void
gatetask_load(const struct gatetask *gate, struct forward_load *load)
{
    memset(load, 0, sizeof(*load));
    if (gate->core != NULL) {
        admission_load(gate->admission, runtime_now_us(gate->options.runtime),
                       load);
    }
}

bool
gatetask_idle(const struct gatetask *gate)
{
    return LIST_EMPTY(&gate->calls);
}

bool
gatetask_settled(const struct gatetask *gate)
{
    return gate->executions == NULL || executions_settled(gate->executions);
}

void
gatetask_visit_loads(struct gatetask *gate, gateload_cb visit, void *ctx)
{
    gateload_visit(gate->load, runtime_now_us(gate->options.runtime), visit,
                   ctx);
}

void
gatetask_dispatch_queued(struct gatetask *gate)
{
    if (gate->core != NULL) {
        gate_dispatch_queued(gate->core,
                             runtime_now_us(gate->options.runtime));
    }
}
