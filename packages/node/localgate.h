/**
 * @file
 * The gate of this instance's target: decides which requests the target runs
 * and when, and sends them. Every request to the target passes through it.
 */
#ifndef CHESTNUTGAP_NODE_LOCALGATE_H
#define CHESTNUTGAP_NODE_LOCALGATE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/limitnotice.h"
#include "protocol/generated/relay.h"

struct http_headers;
struct localgate;
struct node;

/** A request that is not answered yet. */
struct localgate_call;

/** Called once with the answer; never within localgate_submit(). */
typedef void (*localgate_cb)(void *ctx, const struct relay_reply *reply);

/** Aborts if out of memory. */
struct localgate *localgate_create(struct node *node);
void localgate_destroy(struct localgate *gate);

/** request must stay valid until the answer or the cancellation. transit_us:
 * how long ago it was sent; its times left count from then. */
struct localgate_call *localgate_submit(struct localgate *gate,
                                        const struct relay_request *request,
                                        int64_t transit_us, localgate_cb done,
                                        void *ctx);

/** Why a request to the service with that time left would not run if it came
 * now; RELAY_REASON_NONE if it may. retry_after_us: when to come back. */
enum relay_reason localgate_preview(struct localgate *gate,
                                    const char *service, int64_t left_us,
                                    int64_t *retry_after_us);

/** False if the target has not received the request, and won't once it is
 * cancelled. */
bool localgate_may_have_run(const struct localgate_call *call);

/** What the request waits for, as one word, for logs. */
const char *localgate_stage(const struct localgate_call *call);

/** Refuses the request if the target has not received it. */
void localgate_withdraw(struct localgate_call *call);

/** Refuses waiting requests that the conditions of the gate no longer allow,
 * and starts those that they do. */
void localgate_readmit(struct localgate *gate);

/** True if no request waits or runs. */
bool localgate_is_idle(const struct localgate *gate);

/** The answer is no longer needed; the callback isn't called. A request that
 * is not idempotent and has been sent keeps running at the target. */
void localgate_cancel(struct localgate_call *call);

/** The target's process has ended, and with it all running requests. */
void localgate_target_gone(struct localgate *gate);

/** The target's slots or state, a zone or the configuration has changed. */
void localgate_target_changed(struct localgate *gate);

/** The target answered a health request that was sent at sent_us. */
void localgate_read_health(struct localgate *gate,
                           const struct http_headers *headers,
                           int64_t sent_us);

/** The target's rate limit has begun, changed or ended, or is known now. */
void localgate_rate_changed(struct localgate *gate);

/** Keys were granted, released or assigned to another owner. */
void localgate_keys_changed(struct localgate *gate);

/** Lists the keys from first to last of which requests run at the target, in
 * order and each once. @return their number; max + 1 if there are more */
size_t localgate_running_keys(const struct localgate *gate, uint32_t first,
                              uint32_t last, uint32_t *keys, size_t max);

/** Number of waiting and running requests. */
unsigned localgate_load(const struct localgate *gate);

/** Number of requests running at the target. */
unsigned localgate_running(const struct localgate *gate);

/** Smoothed service time of the target's requests. */
int64_t localgate_service_us(const struct localgate *gate);

bool localgate_is_cold(const struct localgate *gate);

/** The target's rate limit, as far as it is known. */
const struct limitnotice *localgate_limit(const struct localgate *gate);

enum relay_limit_state localgate_limit_state(const struct localgate *gate);

/** True if requests were refused for the rate limit in the last seconds. */
bool localgate_exceeds_limit(const struct localgate *gate);

#endif
