/**
 * @file
 * Takes a token of its workspace's quota for each request of a caller: from
 * those in hand, or by a call to a granter, one for all requests that wait.
 */
#ifndef CHESTNUTGAP_NODE_QUOTATASK_H
#define CHESTNUTGAP_NODE_QUOTATASK_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/runtime.h"
#include "fleet/quotahand.h"

struct declared_workspace;
struct node;
struct quotatask;
struct quotatask_workspace;

/** A request that needs a token; part of the request's struct. */
struct quotatask_request {
    TAILQ_ENTRY(quotatask_request) link;
    struct quotatask_workspace *waiting_for; /**< NULL unless it waits */
    double rate_per_s;                       /**< of the workspace */
    int64_t retry_us; /**< set with the verdict, unless a token was taken */
    struct timer timer;
    void (*done)(void *ctx, enum quotahand_verdict verdict);
    void *ctx;
};

/** Aborts if out of memory. */
struct quotatask *quotatask_create(struct node *node);

/** Requests that wait must have been cancelled. */
void quotatask_destroy(struct quotatask *task);

/** Initialises a request that doesn't wait. */
void quotatask_init_request(
    struct quotatask *task, struct quotatask_request *request,
    void (*done)(void *ctx, enum quotahand_verdict verdict), void *ctx);

/** Takes a token. If the verdict is QUOTAHAND_ASK, the request waits until
 * done is called, which is after this function has returned. */
enum quotahand_verdict
quotatask_take(struct quotatask *task, struct quotatask_request *request,
               const struct declared_workspace *declared);

/** Ends a wait without a callback; does nothing if the request doesn't wait.
 */
void quotatask_cancel(struct quotatask_request *request);

#endif
