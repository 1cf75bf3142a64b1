/* Takes a token of the workspace's quota before the first attempt. */
#define LOG_MODULE "ingress"
#include "base/log.h"
#include "node/ingress_internal.h"
#include "node/nodemetrics.h"
#include "node/quotagranter.h"

static const char *
granter_name(const struct ingress_call *call, unsigned number)
{
    const struct instancetable_instance *instance;
    quotagranter_find(call->ingress->node, call->workspace, number, &instance);
    return instance != NULL ? instance->instance_row.instance : "";
}

/** Answers a request that has not run. */
static void
refuse(struct ingress_call *call, enum quotahand_verdict verdict)
{
    struct ingress *ingress = call->ingress;
    const bool over = verdict == QUOTAHAND_OVER;
    const struct wire_refusal refusal = {
        .kind = over ? WIRE_OVER_QUOTA : WIRE_REFUSED,
        .retry_after_us = call->quota.retry_us,
        .reason = over ? "over-quota" : "quota-unknown",
    };
    ingress->refused->value++;
    (over ? ingress->over_quota : ingress->quota_unknown)->value++;
    nodemetrics_record(ingress->node->nodemetrics, NODEMETRICS_NOT_RUN,
                       ingress_now_us(call) - call->started_us);
    if (log_sampled(call->id)) {
        LOG_INFO("quota_refused", LOG_STR("id", call->id),
                 LOG_STR("workspace", call->workspace),
                 LOG_STR("reason", refusal.reason),
                 LOG_INT("rate_per_1000_s",
                         (int64_t)(call->quota.rate_per_s * 1000)),
                 LOG_STR("granter", granter_name(call, 0)),
                 LOG_STR("other_granter", granter_name(call, 1)),
                 LOG_INT("retry_ms", call->quota.retry_us / US_PER_MS));
    }
    ingress->node->wire->refuse(call->http, &refusal);
    call->http = NULL;
    ingress_free_call(call);
}

static void
on_verdict(void *ctx, enum quotahand_verdict verdict)
{
    struct ingress_call *call = ctx;
    if (verdict == QUOTAHAND_SEND) {
        ingressattempt_start(call);
    }
    else {
        refuse(call, verdict);
    }
}

void
ingressquota_start(struct ingress_call *call,
                   const struct declared_workspace *workspace)
{
    struct quotatask *quotas = call->ingress->node->quotas;
    enum quotahand_verdict verdict = QUOTAHAND_SEND;
    if (workspace != NULL && workspace->rate_per_s > 0) {
        quotatask_init_request(quotas, &call->quota, on_verdict, call);
        verdict = quotatask_take(quotas, &call->quota, workspace);
    }
    if (verdict != QUOTAHAND_ASK) {
        on_verdict(call, verdict);
    }
}
