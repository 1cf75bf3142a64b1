/* The graceful stop: what was taken is finished, keys go to others. */
#define LOG_MODULE "stop"
#include "base/log.h"
#include "http/httpserver.h"
#include "node/ingress.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/ownrow.h"

#define CHECK_US (20 * US_PER_MS)
#define FLUSH_US (100 * US_PER_MS)
/* Callers are told by then that this instance takes no new work. */
#define NOTICE_US (2300 * US_PER_MS)
/* Time kept of the grace for the end itself. */
#define RESERVE_US (300 * US_PER_MS)
/* From then on new requests are refused, so that those in work end. */
#define REFUSE_US (2700 * US_PER_MS)
/* Keys stay with a target that lives if nobody takes them by then. */
#define HANDOVER_US (3500 * US_PER_MS)

/** True once all answers have been on their way for a moment: what a process
 * has handed over just before its end may be lost. */
static bool
is_flushed(struct node *node)
{
    const int64_t now_us = node_now_us(node);
    if (!http_server_is_flushed(node->callers) ||
        ingress_unanswered_count(node->ingress) > 0 ||
        localgate_load(node->gate) > 0) {
        node->flushed_us = now_us + FLUSH_US;
    }
    return now_us >= node->flushed_us;
}

static bool
is_finished(struct node *node, int64_t elapsed_us)
{
    if (elapsed_us >= node->settings.grace_us - RESERVE_US) {
        return true;
    }
    const bool keys_left = localtarget_is_present(node->target) &&
                           keyowner_owns_keys(node->keyowner) &&
                           keyowner_store_available(node->keyowner) &&
                           elapsed_us < HANDOVER_US;
    return is_flushed(node) && elapsed_us >= NOTICE_US && !keys_left;
}

static void
on_check(void *ctx)
{
    struct node *node = ctx;
    const int64_t elapsed_us = node_now_us(node) - node->stop_us;
    if (!is_finished(node, elapsed_us)) {
        timer_start(&node->stop_timer, CHECK_US);
        return;
    }
    LOG_INFO("stopped", LOG_INT("took_ms", elapsed_us / US_PER_MS),
             LOG_UINT("unanswered", ingress_unanswered_count(node->ingress)),
             LOG_UINT("running", localgate_running(node->gate)));
    node->options.stopped(node->options.ctx);
}

void
nodestop_begin(struct node *node)
{
    if (node->stopping) {
        return;
    }
    node->stopping = true;
    node->stop_us = node_now_us(node);
    LOG_INFO("stopping",
             LOG_UINT("unanswered", ingress_unanswered_count(node->ingress)),
             LOG_UINT("running", localgate_running(node->gate)));
    http_server_retire(node->callers);
    ownrow_update(node->ownrow);
    timer_init(&node->stop_timer, node->runtime, on_check, node);
    timer_start(&node->stop_timer, CHECK_US);
}

bool
nodestop_refuses(const struct node *node)
{
    return node->stopping && node_now_us(node) - node->stop_us >= REFUSE_US;
}

void
nodestop_destroy(struct node *node)
{
    if (node->stopping) {
        timer_stop(&node->stop_timer);
    }
}
