#include "membership/membertask_internal.h"

#include <stdlib.h>

#include "base/timeunits.h"

#define CALL_TIMEOUT_US (250 * US_PER_MS)
#define PROBE_TIMEOUT_US (500 * US_PER_MS)

static void
on_call_done(void *ctx, enum rpc_status status, const void *result)
{
    struct member_call *call = ctx;
    struct membertask *task = call->task;
    LIST_REMOVE(call, link);
    switch (call->kind) {
    case MEMBER_CALL_RENEW:
        member_lease_on_call_done(task, call, status, result);
        break;
    case MEMBER_CALL_CERTIFY:
    case MEMBER_CALL_PROBE_GUARDIAN:
        member_fence_on_call_done(task, call, status, result);
        break;
    case MEMBER_CALL_PROBE_HOLDER:
        member_watch_on_probe_done(task, call, status);
        break;
    }
    free(call);
    member_update(task);
}

static enum rpc_procedure_number
procedure_of(enum member_call_kind kind)
{
    if (kind == MEMBER_CALL_RENEW) {
        return PROCEDURE_RENEW;
    }
    return kind == MEMBER_CALL_CERTIFY ? PROCEDURE_CERTIFY : PROCEDURE_NULL;
}

void
member_call_start(struct membertask *task, enum member_call_kind kind,
                  uint64_t owner_serial, const struct member_ref *peer,
                  const struct address *address, const void *args)
{
    struct member_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        return;
    }
    call->task = task;
    call->kind = kind;
    call->owner_serial = owner_serial;
    call->peer = *peer;
    call->sent_us = member_now_us(task);
    const struct member_call_spec spec = {
        .peer = address,
        .procedure = procedure_of(kind),
        .args = args,
        .timeout_us = args == NULL ? PROBE_TIMEOUT_US : CALL_TIMEOUT_US,
        .done = on_call_done,
        .ctx = call,
    };
    LIST_INSERT_HEAD(&task->calls, call, link);
    call->handle =
        task->config.transport.ops->call(task->config.transport.impl, &spec);
    if (call->handle == NULL) {
        LIST_REMOVE(call, link);
        free(call);
    }
}

void
member_call_cancel_all(struct membertask *task)
{
    struct member_call *call;
    while ((call = LIST_FIRST(&task->calls)) != NULL) {
        LIST_REMOVE(call, link);
        task->config.transport.ops->cancel(task->config.transport.impl,
                                           call->handle);
        free(call);
    }
}

struct member_operation *
member_operation_start(struct membertask *task, uint64_t owner_serial,
                       uint64_t txn_id)
{
    struct member_operation *operation = calloc(1, sizeof(*operation));
    if (operation == NULL) {
        abort();
    }
    operation->task = task;
    operation->owner_serial = owner_serial;
    operation->txn_id = txn_id;
    LIST_INSERT_HEAD(&task->operations, operation, link);
    return operation;
}

void
member_operation_end(struct member_operation *operation)
{
    LIST_REMOVE(operation, link);
    free(operation);
}

struct lease_certify_args
member_certify_args(const struct member *row,
                    const struct member_ref *guardian)
{
    return (struct lease_certify_args){
        .holder = row->self.incarnation,
        .guardian = guardian->incarnation,
        .row_version = row->version,
        .lease_us = (u_int)row->lease_us,
    };
}
