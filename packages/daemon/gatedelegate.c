#include "daemon/gatetask_internal.h"

#include <stdlib.h>

#include "base/counter.h"
#include "daemon/gatereply.h"

static int64_t
now_of(const struct gatetask *gate)
{
    return runtime_now_us(gate->options.runtime);
}

static void
call_on_delegated(void *ctx, enum rpc_status status,
                  const struct forward_reply *reply)
{
    struct gatetask_call *call = ctx;
    struct gate_delegated result = {
        .outcome = FORWARD_UNKNOWN,
        .reason = FORWARD_REASON_PEER_LOST,
    };
    void *data = NULL;
    call->delegate = NULL;
    if (reply != NULL) {
        result.outcome = reply->outcome;
        result.reason = reply->reason;
        result.retry_after_ms = reply->retry_after_ms;
        result.status = reply->status;
    }
    else if (status == RPC_NOT_SENT || status == RPC_REFUSED_BY_HOST ||
             status == RPC_REJECTED) {
        result.outcome = FORWARD_NOT_RUN;
    }
    if (result.outcome == FORWARD_ANSWERED) {
        data = gatereply_encode((struct forward_reply *)reply, &result.size);
        result.data = data;
    }
    gate_delegated(call->gate->core, &call->gate_request, &result,
                   now_of(call->gate));
    free(data);
}

void
gatedelegate_send(void *ctx, struct gate_request *gate_request)
{
    struct gatetask *gate = ctx;
    struct gatetask_call *call = gatecall_of(gate_request);
    const int64_t timeout_us =
        gate_request->admission.entry.deadline_us - now_of(gate);
    gate->delegated->value++;
    call->delegate = gate->options.delegate(gate->options.ctx, call->request,
                                            timeout_us > 0 ? timeout_us : 1,
                                            call_on_delegated, call);
}
