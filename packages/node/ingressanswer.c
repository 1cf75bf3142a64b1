#include <string.h>

#define LOG_MODULE "ingress"
#include "base/log.h"
#include "node/ingress_internal.h"
#include "node/nodemetrics.h"

/* Longest retry delay advised, in percent of the time that the caller has
 * left. */
#define RETRY_LEFT_PERCENT 30
#define RETRY_SPREAD_PERCENT 30 /* of the longest delay */
#define RETRY_MIN_US (40 * US_PER_MS)

static void
log_end(const struct ingress_call *call, const char *outcome, unsigned status)
{
    const struct node *node = call->ingress->node;
    LOG_INFO(
        "request", LOG_STR("id", call->id), LOG_STR("service", call->service),
        LOG_STR("workspace", call->workspace), LOG_STR("outcome", outcome),
        LOG_UINT("status", status),
        LOG_STR("reason", relaytask_reason(call->reason)),
        LOG_STR("to", call->instance != NULL ? call->instance : ""),
        LOG_UINT("tries", call->attempt_count),
        LOG_UINT("reached", call->limit.reached),
        LOG_INT("took_ms", (node_now_us(node) - call->started_us) / US_PER_MS),
        LOG_INT("left_ms",
                (call->deadline_us - node_now_us(node)) / US_PER_MS),
        LOG_INT("key", call->message.keyed ? (int64_t)call->message.key : -1));
}

void
ingressanswer_forward(struct ingress_call *call,
                      const struct relay_reply *reply)
{
    struct http_header headers[RELAY_FIELDS_MAX];
    size_t count = 0;
    for (u_int i = 0; i < reply->fields.fields_len; i++) {
        headers[count++] = (struct http_header){
            reply->fields.fields_val[i].name,
            reply->fields.fields_val[i].value,
        };
    }
    call->ingress->answered->value++;
    nodemetrics_record(call->ingress->node->nodemetrics, NODEMETRICS_ANSWERED,
                       node_now_us(call->ingress->node) - call->started_us);
    if (log_sampled(call->id) || reply->status / 100 != 2 ||
        node_now_us(call->ingress->node) > call->objective_deadline_us) {
        log_end(call, "answered", reply->status);
    }
    http_request_reply(call->http, &(struct http_reply){
                                       .status = reply->status,
                                       .headers = headers,
                                       .header_count = count,
                                       .body = reply->body.body_val,
                                       .body_size = reply->body.body_len,
                                   });
    call->http = NULL;
}

/** Retry delay advised to the caller; leaves it time for the retry. */
static int64_t
retry_after_us(const struct ingress_call *call)
{
    struct node *node = call->ingress->node;
    const int64_t left_us = call->deadline_us - node_now_us(node);
    const int64_t wait_max_us = left_us * RETRY_LEFT_PERCENT / 100;
    int64_t wait_us = call->retry_after_us;
    wait_us = wait_us > RETRY_MIN_US ? wait_us : RETRY_MIN_US;
    wait_us += (int64_t)((double)wait_us * random_unit(&node->random));
    if (wait_us < wait_max_us) {
        return wait_us;
    }
    /* Callers with the same time left don't all return at the same moment. */
    return wait_max_us - (int64_t)((double)wait_max_us * RETRY_SPREAD_PERCENT /
                                   100 * random_unit(&node->random));
}

void
ingressanswer_refuse(struct ingress_call *call)
{
    struct ingress *ingress = call->ingress;
    struct wire_refusal refusal = {
        .kind = WIRE_REFUSED,
        .reason = relaytask_reason(call->reason),
    };
    if (call->may_have_run) {
        refusal.kind = call->timed_out ? WIRE_TIMEOUT : WIRE_UNKNOWN;
        (call->timed_out ? ingress->timeouts : ingress->unknown)->value++;
    }
    else {
        refusal.retry_after_us = retry_after_us(call);
        ingress->refused->value++;
    }
    nodemetrics_record(ingress->node->nodemetrics,
                       call->may_have_run ? NODEMETRICS_UNKNOWN
                                          : NODEMETRICS_NOT_RUN,
                       node_now_us(ingress->node) - call->started_us);
    log_end(call, call->may_have_run ? "unknown" : "not-run", 0);
    ingress->node->wire->refuse(call->http, &refusal);
    call->http = NULL;
}

void
ingressanswer_reject(struct ingress *ingress, struct http_request *request,
                     enum wire_refusal_kind kind, int64_t retry_delay_us,
                     const char *reason)
{
    struct wire_request read;
    ingress->node->wire->read_request(request, &read);
    LOG_INFO("rejected", LOG_STR("id", read.id != NULL ? read.id : ""),
             LOG_STR("host", read.host),
             LOG_STR("path", http_request_path(request)),
             LOG_STR("reason", reason),
             LOG_UINT("config", ingress->node->declared != NULL
                                    ? declared_version(ingress->node->declared)
                                    : 0));
    ingress->refused->value++;
    ingress->node->wire->refuse(request, &(struct wire_refusal){
                                             .kind = kind,
                                             .retry_after_us = retry_delay_us,
                                             .reason = reason,
                                         });
}
