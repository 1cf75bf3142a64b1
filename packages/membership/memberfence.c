#include "membership/membertask_internal.h"

#include <stdlib.h>
#include <string.h>

#include "store/audit.h"

#define LOG_MODULE "membership"
#include "base/log.h"
#include "base/timeunits.h"

#define ATTEMPT_PAUSE_US (1 * US_PER_SECOND) /* for each holder */

static struct member_fence *
find_by_serial(struct membertask *task, uint64_t serial)
{
    struct member_fence *attempt;
    LIST_FOREACH (attempt, &task->fences, link) {
        if (attempt->serial == serial) {
            return attempt;
        }
    }
    return NULL;
}

static struct member_fence *
find_by_fence(struct membertask *task, const struct fence *fence)
{
    struct member_fence *attempt;
    LIST_FOREACH (attempt, &task->fences, link) {
        if (attempt->fence == fence) {
            return attempt;
        }
    }
    return NULL;
}

struct member_fence *
member_fence_find(struct membertask *task, uint64_t holder)
{
    struct member_fence *attempt;
    LIST_FOREACH (attempt, &task->fences, link) {
        if (fence_holder(attempt->fence)->incarnation == holder) {
            return attempt;
        }
    }
    return NULL;
}

/** Requests a certificate from this process, itself a guardian. */
static void
certify_locally(struct membertask *task, struct fence *fence,
                const struct member_ref *guardian,
                const struct lease_certify_args *args)
{
    struct lease_certify_result result = membertask_on_certify(task, args);
    fence_on_certify_reply(fence, guardian, &result, member_now_us(task));
}

static void
request_certificate(void *ctx, struct fence *fence,
                    const struct member_ref *guardian)
{
    struct membertask *task = ctx;
    const struct member *row = fence_row(fence);
    struct address address;
    struct membertable_view view;
    const struct lease_certify_args args = member_certify_args(row, guardian);
    if (member_ref_equal(guardian, &task->self.self)) {
        certify_locally(task, fence, guardian, &args);
        return;
    }
    if (membertable_find(task->table, guardian->instance, &view) &&
        view.incarnation == guardian->incarnation &&
        view.state == MEMBER_LEFT) {
        fence_on_guardian_gone(fence, guardian, member_now_us(task));
        return;
    }
    if (membertable_rpc_address(task->table, guardian, &address)) {
        member_call_start(task, MEMBER_CALL_CERTIFY,
                          find_by_fence(task, fence)->serial, guardian,
                          &address, &args);
    }
}

/** Probes a guardian that did not reply: if its process is gone, its host
 * refuses the connection. */
static void
probe_guardian(struct membertask *task, const struct member_call *call)
{
    struct address address;
    if (membertable_rpc_address(task->table, &call->peer, &address)) {
        member_call_start(task, MEMBER_CALL_PROBE_GUARDIAN, call->owner_serial,
                          &call->peer, &address, NULL);
    }
}

void
member_fence_on_call_done(struct membertask *task,
                          const struct member_call *call,
                          enum rpc_status status,
                          const struct lease_certify_result *result)
{
    struct member_fence *attempt = find_by_serial(task, call->owner_serial);
    int64_t now_us = member_now_us(task);
    if (attempt == NULL) {
        return;
    }
    attempt->next_us = now_us;
    if (status == RPC_REFUSED_BY_HOST) {
        fence_on_guardian_gone(attempt->fence, &call->peer, now_us);
    }
    else if (call->kind == MEMBER_CALL_CERTIFY) {
        if (status == RPC_OK) {
            fence_on_certify_reply(attempt->fence, &call->peer, result,
                                   now_us);
        }
        else {
            probe_guardian(task, call);
        }
    }
}

static void
on_row_read(void *ctx, const struct store_read_result *result)
{
    struct member_operation *operation = ctx;
    struct membertask *task = operation->task;
    struct member_fence *attempt =
        find_by_serial(task, operation->owner_serial);
    struct member row;
    struct membertable_view view;
    int64_t now_us = member_now_us(task);
    bool found = result->outcome == STORE_COMMITTED &&
                 member_apply_store_row(task, &result->rows[0], &row);
    int64_t first_seen_us = now_us;
    if (found && membertable_find(task->table, row.self.instance, &view) &&
        view.version == row.version) {
        first_seen_us = view.first_seen_us;
    }
    if (attempt != NULL) {
        attempt->next_us = now_us;
        fence_on_read(attempt->fence, result->outcome, found ? &row : NULL,
                      found ? result->rows[0].txn_id : 0, first_seen_us,
                      now_us);
    }
    member_operation_end(operation);
    member_update(task);
}

static void
read_row(void *ctx, struct fence *fence)
{
    struct membertask *task = ctx;
    task->counters.store_reads->value++;
    store_read(
        task->config.store, MEMBER_TABLE, fence_holder(fence)->instance,
        on_row_read,
        member_operation_start(task, find_by_fence(task, fence)->serial, 0));
}

static void
on_written(void *ctx, const struct store_commit_result *result)
{
    struct member_operation *operation = ctx;
    struct membertask *task = operation->task;
    struct member_fence *attempt =
        find_by_serial(task, operation->owner_serial);
    if (attempt != NULL) {
        attempt->next_us = member_now_us(task);
        fence_on_written(attempt->fence, result->outcome, result->version,
                         attempt->next_us);
    }
    member_operation_end(operation);
    member_update(task);
}

static void
write_row(void *ctx, struct fence *fence, const struct member *row,
          uint64_t txn_id)
{
    struct membertask *task = ctx;
    struct store_txn *txn = store_txn_create(txn_id);
    json_t *before = member_to_json(fence_row(fence));
    json_t *after = member_to_json(row);
    const struct audit_entry entry = {
        .who = task->self.self.instance,
        .what = "fence",
        .subject = row->self.instance,
        .before = before,
        .after = after,
        .why = fence_proof_name(fence_proof(fence)),
        .result = "committed",
        .at_us = member_wall_us(task),
    };
    store_txn_expect(txn, MEMBER_TABLE, row->self.instance, row->version);
    audit_add(txn, &entry);
    store_txn_put(txn, MEMBER_TABLE, row->self.instance, after);
    task->counters.store_writes->value++;
    store_commit(task->config.store, txn, on_written,
                 member_operation_start(
                     task, find_by_fence(task, fence)->serial, txn_id));
    store_txn_destroy(txn);
    json_decref(before);
}

struct member_fence *
member_fence_start(struct membertask *task, const struct member_ref *holder)
{
    static const struct fence_ops ops = {
        .request_certificate = request_certificate,
        .read = read_row,
        .write = write_row,
    };
    const struct fence_config config = {
        .rules = task->rules,
        .random = &task->random,
    };
    struct member_fence *attempt = calloc(1, sizeof(*attempt));
    if (attempt == NULL) {
        return NULL;
    }
    attempt->fence =
        fence_create(&config, holder, &ops, task, member_now_us(task));
    if (attempt->fence == NULL) {
        free(attempt);
        return NULL;
    }
    attempt->serial = task->next_serial++;
    attempt->next_us = member_now_us(task);
    task->counters.fence_attempts->value++;
    LIST_INSERT_HEAD(&task->fences, attempt, link);
    LOG_INFO("fence_started", LOG_STR("holder", holder->instance));
    return attempt;
}

static void
end_attempt(struct membertask *task, struct member_fence *attempt)
{
    static const char *const ends[] = {
        [FENCE_RUNNING] = "running",     [FENCE_COMMITTED] = "committed",
        [FENCE_NOT_NEEDED] = "over",     [FENCE_ALIVE] = "alive",
        [FENCE_TIMED_OUT] = "timed_out",
    };
    const struct fence *fence = attempt->fence;
    const struct member_ref holder = *fence_holder(fence);
    LIST_REMOVE(attempt, link);
    LOG_INFO("fence_ended", LOG_STR("holder", holder.instance),
             LOG_STR("end", ends[fence_status(fence)]),
             LOG_STR("proof", fence_proof_name(fence_proof(fence))));
    if (fence_status(fence) == FENCE_COMMITTED) {
        task->counters.fences->value++;
        member_apply_row(task, fence_row(fence));
    }
    for (size_t i = 0; i < task->contact_count; i++) {
        if (task->contacts[i].holder == holder.incarnation) {
            task->contacts[i].fence_after_us =
                member_now_us(task) + ATTEMPT_PAUSE_US;
        }
    }
    fence_destroy(attempt->fence);
    free(attempt);
}

int64_t
member_fence_tick(struct membertask *task, int64_t now_us)
{
    int64_t next_us = INT64_MAX;
    struct member_fence *attempt = LIST_FIRST(&task->fences);
    while (attempt != NULL) {
        struct member_fence *following = LIST_NEXT(attempt, link);
        if (attempt->next_us <= now_us) {
            attempt->next_us = fence_tick(attempt->fence, now_us);
        }
        if (fence_status(attempt->fence) != FENCE_RUNNING) {
            end_attempt(task, attempt);
        }
        else if (attempt->next_us < next_us) {
            next_us = attempt->next_us;
        }
        attempt = following;
    }
    return next_us;
}

void
member_fence_stop_all(struct membertask *task)
{
    struct member_fence *attempt;
    while ((attempt = LIST_FIRST(&task->fences)) != NULL) {
        LIST_REMOVE(attempt, link);
        fence_destroy(attempt->fence);
        free(attempt);
    }
}
