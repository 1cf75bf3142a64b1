#include "membership/membertask_internal.h"

#include "base/timeunits.h"
#include "membership/guardianselect.h"
#include "store/audit.h"

/* A failed guardian is fenced by then. */
#define GUARDIAN_UNRESPONSIVE_US (1200 * US_PER_MS)

static void
send_renewal(void *ctx, const struct member_ref *guardian, uint64_t version,
             int64_t sent_us)
{
    struct membertask *task = ctx;
    struct address address;
    const struct lease_renew_args args = {
        .holder = task->self.self.incarnation,
        .guardian = guardian->incarnation,
        .row_version = version,
        .revision = task->revision,
        .lease_us = (u_int)lease_row(task->lease)->lease_us,
    };
    (void)sent_us;
    if (membertable_rpc_address(task->table, guardian, &address)) {
        task->counters.renewals_sent->value++;
        member_call_start(task, MEMBER_CALL_RENEW, task->lease_serial,
                          guardian, &address, &args);
    }
}

void
member_lease_on_call_done(struct membertask *task,
                          const struct member_call *call,
                          enum rpc_status status,
                          const struct lease_renew_result *result)
{
    if (task->lease == NULL || call->owner_serial != task->lease_serial) {
        return;
    }
    if (status == RPC_REFUSED_BY_HOST) {
        lease_on_guardian_gone(task->lease, &call->peer);
    }
    if (status != RPC_OK) {
        /* The guardian may have been fenced with others of its zone. */
        if (lease_unanswered_us(task->lease, &call->peer,
                                member_now_us(task)) >=
            GUARDIAN_UNRESPONSIVE_US) {
            member_poll_soon(task);
        }
        return;
    }
    task->counters.renewals_answered->value++;
    lease_on_renew_reply(task->lease, &call->peer, result->status,
                         call->sent_us);
    if (result->revision > task->revision &&
        task->config.callbacks.revision_seen != NULL) {
        task->config.callbacks.revision_seen(task->config.callbacks.ctx,
                                             result->revision);
    }
}

static void
on_written(void *ctx, const struct store_commit_result *result)
{
    struct member_operation *operation = ctx;
    struct membertask *task = operation->task;
    if (task->lease != NULL && operation->owner_serial == task->lease_serial) {
        lease_on_written(task->lease, operation->txn_id, result->outcome,
                         result->version, member_now_us(task));
        if (result->outcome == STORE_COMMITTED) {
            member_apply_row(task, lease_row(task->lease));
        }
    }
    member_operation_end(operation);
    member_update(task);
}

static const char *
audit_action(const struct member *row, enum lease_reason reason)
{
    switch (reason) {
    case LEASE_REASON_JOIN:
        return "join";
    case LEASE_REASON_STATE:
        return member_state_name(row->state);
    case LEASE_REASON_REESTABLISH:
        return "reestablish";
    case LEASE_REASON_GUARDIANS:
        return "guardians";
    default:
        return NULL;
    }
}

static const char *
audit_reason(enum lease_reason reason)
{
    switch (reason) {
    case LEASE_REASON_JOIN:
        return "the instance has started";
    case LEASE_REASON_STATE:
        return "the instance's state or abilities have changed";
    case LEASE_REASON_REESTABLISH:
        return "the lease was about to lapse";
    default:
        return "a guardian was lost or is missing";
    }
}

/** Adds an audit entry, except for renewals, which change nothing. */
static void
add_audit(struct membertask *task, struct store_txn *txn,
          const struct member *row, json_t *value, enum lease_reason reason)
{
    struct member before_row;
    json_t *before = NULL;
    if (audit_action(row, reason) == NULL) {
        return;
    }
    if (membertable_row(task->table, row->self.instance, &before_row)) {
        before = member_to_json(&before_row);
    }
    const struct audit_entry entry = {
        .who = row->self.instance,
        .what = audit_action(row, reason),
        .subject = row->self.instance,
        .before = before,
        .after = value,
        .why = audit_reason(reason),
        .result = "committed",
        .at_us = member_wall_us(task),
    };
    audit_add(txn, &entry);
    json_decref(before);
}

static void
write_row(void *ctx, const struct member *row, uint64_t txn_id,
          enum lease_reason reason)
{
    struct membertask *task = ctx;
    struct store_txn *txn = store_txn_create(txn_id);
    json_t *value = member_to_json(row);
    store_txn_expect(txn, MEMBER_TABLE, row->self.instance, row->version);
    add_audit(task, txn, row, value, reason);
    store_txn_put(txn, MEMBER_TABLE, row->self.instance, value);
    task->counters.store_writes->value++;
    store_commit(task->config.store, txn, on_written,
                 member_operation_start(task, task->lease_serial, txn_id));
    store_txn_destroy(txn);
}

static void
on_row_read(void *ctx, const struct store_read_result *result)
{
    struct member_operation *operation = ctx;
    struct membertask *task = operation->task;
    struct member row;
    bool current =
        task->lease != NULL && operation->owner_serial == task->lease_serial;
    bool found = result->outcome == STORE_COMMITTED &&
                 member_apply_store_row(task, &result->rows[0], &row);
    if (current) {
        lease_on_read(task->lease, result->outcome, found ? &row : NULL,
                      found ? result->rows[0].txn_id : 0, member_now_us(task));
    }
    member_operation_end(operation);
    member_update(task);
}

static void
read_row(void *ctx)
{
    struct membertask *task = ctx;
    task->counters.store_reads->value++;
    store_read(task->config.store, MEMBER_TABLE, task->self.self.instance,
               on_row_read,
               member_operation_start(task, task->lease_serial, 0));
}

static void
choose_guardians(void *ctx, const struct member_ref *avoid, size_t avoid_count,
                 struct guardian_set *chosen)
{
    struct membertask *task = ctx;
    guardianselect_add(task->table, &task->self, avoid, avoid_count, chosen);
}

bool
member_lease_start(struct membertask *task, uint64_t version)
{
    static const struct lease_ops ops = {
        .renew = send_renewal,
        .write = write_row,
        .read = read_row,
        .choose = choose_guardians,
    };
    const struct lease_config config = {
        .rules = task->rules,
        .random = &task->random,
    };
    struct member row = task->self;
    row.version = version;
    row.state = MEMBER_JOINING;
    task->lease = lease_create(&config, &row, &ops, task);
    task->lease_serial = task->next_serial++;
    task->registered_us = member_now_us(task);
    return task->lease != NULL;
}

void
member_lease_stop(struct membertask *task)
{
    lease_destroy(task->lease);
    task->lease = NULL;
    task->lease_serial = 0;
}
