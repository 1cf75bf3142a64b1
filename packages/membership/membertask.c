#include "membership/membertask_internal.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LOG_MODULE "membership"
#include "base/log.h"
#include "base/timeunits.h"

#define REPLACEMENT_JITTER_PER_MEMBER_US (2 * US_PER_MS)
#define ALERT_INTERVAL_US (100 * US_PER_MS)

int64_t
member_now_us(const struct membertask *task)
{
    return runtime_now_us(task->runtime);
}

int64_t
member_wall_us(const struct membertask *task)
{
    struct timespec now;
    if (task->config.wall_clock_us != NULL) {
        return task->config.wall_clock_us(task->config.wall_clock_ctx);
    }
    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * US_PER_SECOND + now.tv_nsec / 1000;
}

static void
add_counters(struct membertask *task, struct counter_registry *registry)
{
    struct member_counters *counters = &task->counters;
    counters->renewals_sent = counter_add(registry, "member_renewals_sent",
                                          "Renewals sent to guardians");
    counters->renewals_answered =
        counter_add(registry, "member_renewals_answered",
                    "Renewals that guardians answered");
    counters->renewals_served = counter_add(registry, "member_renewals_served",
                                            "Renewals answered as a guardian");
    counters->lapses = counter_add(registry, "member_lease_lapses",
                                   "Lapses of this instance's lease");
    counters->losses =
        counter_add(registry, "member_lease_losses",
                    "Permanent losses of this instance's lease");
    counters->fences = counter_add(registry, "member_fences",
                                   "Members fenced by this instance");
    counters->fence_attempts =
        counter_add(registry, "member_fence_attempts",
                    "Started attempts to fence a member");
    counters->certificates = counter_add(registry, "member_certificates",
                                         "Certificates issued as a guardian");
    counters->store_writes = counter_add(registry, "member_store_writes",
                                         "Transactions sent to the store");
    counters->store_reads = counter_add(registry, "member_store_reads",
                                        "Reads and scans sent to the store");
    counters->members =
        counter_add(registry, "member_members", "Known live members");
}

static void
on_timer(void *ctx)
{
    member_update(ctx);
}

struct membertask *
membertask_create(const struct membertask_config *config, struct error *err)
{
    struct membertask *task = calloc(1, sizeof(*task));
    if (task == NULL) {
        error_set(err, ERROR_NO_MEMORY, "membership");
        return NULL;
    }
    task->config = *config;
    task->runtime = config->runtime;
    task->self = config->self;
    task->rules = lease_rules_all();
    task->next_serial = 1;
    task->reported_until_us = LEASE_NEVER_US;
    task->lapsed = true;
    random_seed(&task->random, config->seed);
    LIST_INIT(&task->calls);
    LIST_INIT(&task->operations);
    LIST_INIT(&task->fences);
    timer_init(&task->timer, task->runtime, on_timer, task);
    task->table = membertable_create();
    if (task->table == NULL || !member_new_incarnation(task)) {
        error_set(err, ERROR_NO_MEMORY, "membership");
        membertask_destroy(task);
        return NULL;
    }
    task->next_overdue_check_us = member_now_us(task);
    add_counters(task, config->counters);
    timer_start(&task->timer, 0);
    return task;
}

void
membertask_destroy(struct membertask *task)
{
    if (task == NULL) {
        return;
    }
    timer_stop(&task->timer);
    member_call_cancel_all(task);
    member_fence_stop_all(task);
    while (!LIST_EMPTY(&task->operations)) {
        member_operation_end(LIST_FIRST(&task->operations));
    }
    member_lease_stop(task);
    guardian_destroy(task->guardian);
    membertable_destroy(task->table);
    free(task->contacts);
    free(task->declared_lost);
    free(task);
}

/** Reports to the lease if the row shows that a guardian is gone or leaves. */
static void
report_guardian_gone(struct membertask *task, const struct member *row)
{
    const struct guardian_set *set = &lease_row(task->lease)->guardians;
    bool stays = row->state == MEMBER_JOINING || row->state == MEMBER_ACTIVE;
    for (size_t i = 0; i < set->count; i++) {
        if (strcmp(set->refs[i].instance, row->self.instance) == 0 &&
            (!stays || set->refs[i].incarnation != row->self.incarnation)) {
            lease_on_guardian_gone(task->lease, &set->refs[i]);
        }
    }
}

/** Reports a fence, even if only the next incarnation's row was received. */
static void
report_fence(struct membertask *task, const struct member *before,
             const struct member *row)
{
    const struct membertask_callbacks *callbacks = &task->config.callbacks;
    struct member fenced = *row;
    if (row->state != MEMBER_FENCED) {
        if (before == NULL || !member_is_live(before) ||
            before->self.incarnation == row->self.incarnation) {
            return;
        }
        fenced = *before;
        fenced.state = MEMBER_FENCED;
        fenced.version = row->version;
        fenced.serve_after_us = row->serve_after_us;
    }
    if (callbacks->member_fenced != NULL) {
        callbacks->member_fenced(callbacks->ctx, &fenced);
    }
}

/** Updates the jitter of guardian replacements, which keeps the write rate
 * after the loss of a zone within the store's capacity. */
static void
update_member_count(struct membertask *task)
{
    size_t live = membertable_live_count(task->table);
    task->counters.members->value = (int64_t)live;
    if (task->lease != NULL) {
        lease_set_replacement_jitter(
            task->lease, (int64_t)live * REPLACEMENT_JITTER_PER_MEMBER_US);
    }
}

bool
member_apply_row(struct membertask *task, const struct member *row)
{
    const struct membertask_callbacks *callbacks = &task->config.callbacks;
    int64_t now_us = member_now_us(task);
    struct member before;
    bool known = membertable_row(task->table, row->self.instance, &before);
    if (!membertable_apply(task->table, row, now_us)) {
        return false;
    }
    update_member_count(task);
    if (guardian_find(task->guardian, row->self.incarnation) != NULL ||
        guardian_set_contains(&row->guardians, &task->self.self)) {
        guardian_record_version(task->guardian, row->self.incarnation,
                                row->version, row->lease_us, now_us);
    }
    if (task->lease != NULL) {
        report_guardian_gone(task, row);
        if (strcmp(row->self.instance, task->self.self.instance) == 0) {
            lease_on_row(task->lease, row, now_us);
        }
    }
    if (callbacks->member_changed != NULL) {
        callbacks->member_changed(callbacks->ctx, row);
    }
    report_fence(task, known ? &before : NULL, row);
    return true;
}

bool
member_apply_store_row(struct membertask *task, const struct store_row *row,
                       struct member *out)
{
    struct error err = {0};
    if (row->value == NULL) {
        return false;
    }
    if (!member_from_json(row->value, row->version, out, &err) ||
        strcmp(out->self.instance, row->name) != 0) {
        LOG_ERR("members_row_broken", LOG_STR("row", row->name),
                LOG_STR("field", err.subject));
        return false;
    }
    member_apply_row(task, out);
    return true;
}

static void
report_lease(struct membertask *task, int64_t now_us)
{
    int64_t until_us = membertask_lease_until_us(task);
    bool lapsed = until_us <= now_us;
    if (lapsed && !task->lapsed) {
        task->counters.lapses->value++;
        LOG_WARN("lease_lapsed");
    }
    task->lapsed = lapsed;
    if (until_us != task->reported_until_us &&
        task->config.callbacks.lease_changed != NULL) {
        task->reported_until_us = until_us;
        task->config.callbacks.lease_changed(task->config.callbacks.ctx,
                                             until_us);
    }
}

void
member_update(struct membertask *task)
{
    if (task->updating) {
        return;
    }
    task->updating = true;
    int64_t now_us = member_now_us(task);
    int64_t next_us = member_poll_tick(task, now_us);
    int64_t due_us = member_join_tick(task, now_us);
    next_us = due_us < next_us ? due_us : next_us;
    if (task->step != MEMBER_STEP_LEFT && task->step != MEMBER_STEP_HALTED) {
        due_us = member_watch_tick(task, now_us);
        next_us = due_us < next_us ? due_us : next_us;
        due_us = member_fence_tick(task, now_us);
        next_us = due_us < next_us ? due_us : next_us;
    }
    report_lease(task, now_us);
    int64_t latest_us = now_us + US_PER_SECOND;
    timer_start_at(&task->timer, next_us < latest_us ? next_us : latest_us);
    task->updating = false;
}

int64_t
membertask_lease_until_us(const struct membertask *task)
{
    return task->lease == NULL ? LEASE_NEVER_US : lease_until_us(task->lease);
}

bool
membertask_is_active(const struct membertask *task)
{
    return task->lease != NULL && lease_in_state(task->lease, MEMBER_ACTIVE) &&
           lease_is_held(task->lease, member_now_us(task));
}

uint64_t
membertask_incarnation(const struct membertask *task)
{
    return task->lease != NULL && lease_status(task->lease) == LEASE_REGISTERED
               ? task->self.self.incarnation
               : 0;
}

const struct member *
membertask_self(const struct membertask *task)
{
    return task->lease == NULL ? &task->self : lease_row(task->lease);
}

const struct membertable *
membertask_table(const struct membertask *task)
{
    return task->table;
}

bool
membertask_apply_row(struct membertask *task, const struct member *row)
{
    bool applied = member_apply_row(task, row);
    if (applied) {
        member_update(task);
    }
    return applied;
}

void
membertask_set_attributes(struct membertask *task, const struct member *self)
{
    member_copy_name(task->self.service, self->service);
    task->self.slots = self->slots;
    task->self.checks_grants = self->checks_grants;
    task->self.longest_request_us = self->longest_request_us;
    task->self.lease_us = self->lease_us;
    task->self.renewal_max_us = self->renewal_max_us;
    if (task->lease != NULL) {
        lease_set_attributes(task->lease, &task->self);
    }
    member_update(task);
}

void
membertask_set_revision(struct membertask *task, uint64_t revision)
{
    task->revision = revision;
}

void
membertask_leave(struct membertask *task)
{
    task->leaving = true;
    if (task->lease != NULL) {
        lease_set_state(task->lease, MEMBER_LEAVING);
    }
    member_update(task);
}

void
membertask_finish(struct membertask *task, void (*done)(void *ctx), void *ctx)
{
    task->leaving = true;
    task->finishing = true;
    task->on_left = done;
    task->on_left_ctx = ctx;
    if (task->lease != NULL) {
        lease_set_state(task->lease, MEMBER_LEFT);
    }
    member_update(task);
}

/** Requests certificates from the member's guardians, which makes them probe
 * the member. */
static void
alert_guardians(struct membertask *task, const struct member *row)
{
    for (size_t i = 0; i < row->guardians.count; i++) {
        const struct member_ref *guardian = &row->guardians.refs[i];
        struct address address;
        const struct lease_certify_args args =
            member_certify_args(row, guardian);
        if (member_ref_equal(guardian, &task->self.self)) {
            member_watch_probe(task, row->self.incarnation);
        }
        else if (membertable_rpc_address(task->table, guardian, &address)) {
            member_call_start(task, MEMBER_CALL_CERTIFY, 0, guardian, &address,
                              &args);
        }
    }
}

/** @return false if the address was recorded in the last ALERT_INTERVAL_US,
 * since each of many requests may be refused. */
static bool
record_alert(struct membertask *task, const struct address *address)
{
    struct endpoint endpoint = endpoint_from_address(address);
    int64_t now_us = member_now_us(task);
    for (size_t i = 0; i < MEMBER_ALERTS; i++) {
        const struct member_alert *alert = &task->alerts[i];
        if (memcmp(&alert->endpoint, &endpoint, sizeof(endpoint)) == 0 &&
            now_us - alert->at_us < ALERT_INTERVAL_US) {
            return false;
        }
    }
    task->alerts[task->next_alert++ % MEMBER_ALERTS] =
        (struct member_alert){endpoint, now_us};
    return true;
}

void
membertask_on_refused_connection(struct membertask *task,
                                 const struct address *address)
{
    struct member row;
    if (record_alert(task, address) &&
        membertable_row_by_address(task->table, address, &row) &&
        row.self.incarnation != task->self.self.incarnation) {
        alert_guardians(task, &row);
    }
}

void
membertask_apply_declared_lost(struct membertask *task,
                               const char (*names)[STATE_NAME_MAX + 1],
                               size_t count)
{
    bool self_lost = false;
    bool changed = count != task->declared_lost_count;
    task->declared_lost =
        realloc(task->declared_lost,
                (count == 0 ? 1 : count) * sizeof(*task->declared_lost));
    if (task->declared_lost == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        changed = changed || strcmp(task->declared_lost[i], names[i]) != 0;
        member_copy_name(task->declared_lost[i], names[i]);
        self_lost |= strcmp(names[i], task->self.self.instance) == 0;
    }
    task->declared_lost_count = count;
    task->next_declared_lost_check_us = member_now_us(task);
    if (changed) {
        task->declared_lost_changed_us = task->next_declared_lost_check_us;
    }
    if (self_lost && task->step != MEMBER_STEP_LEFT &&
        task->step != MEMBER_STEP_HALTED) {
        LOG_ERR("declared_lost");
        member_lose_lease(task);
        task->step = MEMBER_STEP_HALTED;
    }
    else if (!self_lost && task->step == MEMBER_STEP_HALTED) {
        task->step = MEMBER_STEP_SCAN;
    }
    member_update(task);
}

struct lease_renew_result
membertask_on_renew(struct membertask *task, const struct address *peer,
                    const struct lease_renew_args *args)
{
    struct lease_renew_result result = {.status = LEASE_NOT_GUARDIAN};
    struct member row;
    int64_t now_us = member_now_us(task);
    if (task->step == MEMBER_STEP_LEFT || task->finishing ||
        args->guardian != task->self.self.incarnation) {
        return result;
    }
    bool is_new = guardian_find(task->guardian, args->holder) == NULL;
    result = guardian_renew(task->guardian, args, now_us);
    result.revision = task->revision;
    task->counters.renewals_served->value++;
    member_watch_record_renewal(task, args->holder, peer);
    if (is_new &&
        !membertable_row_by_incarnation(task->table, args->holder, &row)) {
        member_poll_soon(task);
        member_update(task);
    }
    if (args->revision > task->revision &&
        task->config.callbacks.revision_seen != NULL) {
        task->config.callbacks.revision_seen(task->config.callbacks.ctx,
                                             args->revision);
    }
    return result;
}

struct lease_certify_result
membertask_on_certify(struct membertask *task,
                      const struct lease_certify_args *args)
{
    /* A member that has left acknowledges no renewals. */
    if (task->step == MEMBER_STEP_LEFT || task->finishing) {
        return (struct lease_certify_result){
            .status = LEASE_CERTIFY_NOT_GUARDIAN,
            .row_version = args->row_version,
        };
    }
    member_watch_check_pause(task, member_now_us(task));
    struct lease_certify_result result =
        guardian_certify(task->guardian, args, member_now_us(task));
    task->counters.certificates->value += result.status == LEASE_CERTIFY_DONE;
    if (result.status == LEASE_CERTIFY_ALIVE) {
        member_watch_probe(task, args->holder);
    }
    return result;
}
