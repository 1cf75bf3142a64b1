/**
 * @file
 * The one way into the target beside this instance: decides which requests
 * it runs and when, and sends them.
 */
#ifndef CHESTNUTGAP_NODE_LOCALGATE_H
#define CHESTNUTGAP_NODE_LOCALGATE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/generated/relay.h"

struct localgate;
struct node;

/** A request that is not answered. */
struct localgate_call;

/** Answers a request, once; never within localgate_submit(). */
typedef void (*localgate_cb)(void *ctx, const struct relay_reply *reply);

/** Aborts when memory is short. */
struct localgate *localgate_create(struct node *node);
void localgate_destroy(struct localgate *gate);

/** request must stay valid until the answer or the cancellation. */
struct localgate_call *localgate_submit(struct localgate *gate,
                                        const struct relay_request *request,
                                        localgate_cb done, void *ctx);

/** Nobody waits any more; there will be no answer. What may run once only
 * and has begun goes on at the target. */
void localgate_cancel(struct localgate_call *call);

/** The target's process is gone, with all that it ran. */
void localgate_target_gone(struct localgate *gate);

/** Its slots, its state, zones or the configuration have changed. */
void localgate_target_changed(struct localgate *gate);

/** Which keys may run has changed. */
void localgate_keys_changed(struct localgate *gate);

/** Requests that wait or run. */
unsigned localgate_load(const struct localgate *gate);

/** Requests of the target that run now. */
unsigned localgate_running(const struct localgate *gate);

/** Smoothed time of a request at the target. */
int64_t localgate_service_us(const struct localgate *gate);

bool localgate_is_cold(const struct localgate *gate);

#endif
