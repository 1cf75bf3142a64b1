#include "membership/membertask_internal.h"

#include <stdlib.h>

#define LOG_MODULE "membership"
#include "base/log.h"
#include "base/timeunits.h"

#define CERTIFY_PERCENT 67               /* of a lease without contact */
#define JOIN_ALONE_US (2500 * US_PER_MS) /* wait for other members */
#define PREDECESSOR_PAUSE_US (1 * US_PER_SECOND)

bool
member_new_incarnation(struct membertask *task)
{
    const uint64_t mask = (UINT64_C(1) << MEMBER_INCARNATION_BITS) - 1;
    do {
        task->self.self.incarnation = random_u64(&task->random) & mask;
    } while (task->self.self.incarnation == 0);
    guardian_destroy(task->guardian);
    task->guardian = guardian_create(task->self.self.incarnation,
                                     CERTIFY_PERCENT, &task->rules);
    task->contact_count = 0;
    task->step = MEMBER_STEP_SCAN;
    task->poll.complete = false;
    task->poll.next_us = member_now_us(task);
    task->last_watch_us = member_now_us(task);
    return task->guardian != NULL;
}

/** Registers, after fencing a live earlier incarnation of this instance. */
static void
join(struct membertask *task, int64_t now_us)
{
    struct member row;
    bool known = membertable_row(task->table, task->self.self.instance, &row);
    if (!known || !member_is_live(&row)) {
        task->step = MEMBER_STEP_REGISTER;
        task->self.serve_after_us = known ? row.serve_after_us : 0;
        member_lease_start(task, known ? row.version : 0);
        return;
    }
    task->step = MEMBER_STEP_PREDECESSOR;
    if (member_fence_find(task, row.self.incarnation) != NULL ||
        now_us < task->retry_us) {
        return;
    }
    task->retry_us = now_us + PREDECESSOR_PAUSE_US;
    struct member_fence *attempt = member_fence_start(task, &row.self);
    /* This process is bound to the address, so the earlier one is gone. */
    if (attempt != NULL && address_port(&row.rpc) != 0 &&
        address_equal(&row.rpc, &task->self.rpc)) {
        fence_on_connection_refused(attempt->fence);
    }
}

/** Becomes active once the lease is held and has guardians, or after
 * JOIN_ALONE_US without any. */
static void
activate(struct membertask *task, int64_t now_us)
{
    if (!lease_in_state(task->lease, MEMBER_JOINING) || task->leaving ||
        !lease_is_held(task->lease, now_us)) {
        return;
    }
    if (lease_row(task->lease)->guardians.count > 0 ||
        now_us - task->registered_us >= JOIN_ALONE_US) {
        lease_set_state(task->lease, MEMBER_ACTIVE);
    }
}

void
member_lose_lease(struct membertask *task)
{
    LOG_WARN("lease_lost",
             LOG_UINT("incarnation", task->self.self.incarnation));
    task->counters.losses->value++;
    member_lease_stop(task);
    if (!member_new_incarnation(task)) {
        abort();
    }
    if (task->config.callbacks.lease_lost != NULL) {
        task->config.callbacks.lease_lost(task->config.callbacks.ctx);
    }
}

static void
finish_left(struct membertask *task)
{
    void (*on_left)(void *ctx) = task->on_left;
    task->step = MEMBER_STEP_LEFT;
    member_lease_stop(task);
    task->on_left = NULL;
    LOG_INFO("left");
    if (on_left != NULL) {
        on_left(task->on_left_ctx);
    }
}

static bool
ended_by_leaving(const struct membertask *task)
{
    return lease_row(task->lease)->state == MEMBER_LEFT;
}

int64_t
member_join_tick(struct membertask *task, int64_t now_us)
{
    switch (task->step) {
    case MEMBER_STEP_SCAN:
    case MEMBER_STEP_PREDECESSOR:
        if (task->finishing) {
            finish_left(task);
        }
        if (!task->poll.complete || task->leaving) {
            return INT64_MAX;
        }
        join(task, now_us);
        return task->step == MEMBER_STEP_REGISTER ? now_us : task->retry_us;
    case MEMBER_STEP_REGISTER:
        activate(task, now_us);
        int64_t next_us = lease_tick(task->lease, now_us);
        if (lease_status(task->lease) != LEASE_ENDED) {
            return next_us;
        }
        if (ended_by_leaving(task)) {
            finish_left(task);
            return INT64_MAX;
        }
        member_lose_lease(task);
        return now_us;
    case MEMBER_STEP_HALTED:
    case MEMBER_STEP_LEFT:
        break;
    }
    return INT64_MAX;
}
