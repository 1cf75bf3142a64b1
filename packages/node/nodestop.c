/* Graceful stop: finishes accepted requests and hands keys over. What can't
 * finish in time is answered before the process ends. */
#define LOG_MODULE "stop"
#include "base/log.h"
#include "http/httpserver.h"
#include "node/ingress.h"
#include "node/keyowner.h"
#include "node/localgate.h"
#include "node/localtarget.h"
#include "node/node_internal.h"
#include "node/ownrow.h"
#include "node/relayserve.h"

#define CHECK_INTERVAL_US (20 * US_PER_MS)
#define FLUSH_US (100 * US_PER_MS)
/* By then callers know that this instance accepts no new requests. */
#define NOTICE_MIN_US (2300 * US_PER_MS)
/* Part of the grace time that is left for the exit itself. */
#define EXIT_RESERVE_US (300 * US_PER_MS)
/* Before it, the last answers are sent: callers may be slow to read them. */
#define LAST_ANSWERS_US (200 * US_PER_MS)
/* Requests that have not begun to run by then, in percent of the time until
 * the last answers, are withdrawn, so that those that run can end. */
#define WITHDRAW_PERCENT 80
/* New requests are refused from then on, so that running ones can end. */
#define REFUSE_AFTER_US (2700 * US_PER_MS)
/* A stop no longer waits for handovers then; keys that no other instance has
 * taken over stay with the target, if it is alive. */
#define HANDOVER_MAX_US (3500 * US_PER_MS)

static int64_t
exit_after_us(const struct node *node)
{
    return node->settings.grace_us - EXIT_RESERVE_US;
}

static int64_t
answer_after_us(const struct node *node)
{
    return exit_after_us(node) - LAST_ANSWERS_US;
}

static int64_t
withdraw_after_us(const struct node *node)
{
    return answer_after_us(node) * WITHDRAW_PERCENT / 100;
}

static int64_t
refuse_after_us(const struct node *node)
{
    const int64_t withdraw_us = withdraw_after_us(node);
    return REFUSE_AFTER_US < withdraw_us ? REFUSE_AFTER_US : withdraw_us;
}

/** True once all answers were sent FLUSH_US ago: what a process sends just
 * before it exits may be lost. */
static bool
is_flushed(struct node *node)
{
    const int64_t now_us = node_now_us(node);
    if (!http_server_is_flushed(node->callers) ||
        ingress_unanswered_count(node->ingress) > 0 ||
        !localgate_is_idle(node->gate) ||
        !relayserve_is_idle(node->relayserve) ||
        !rpc_node_is_flushed(node->rpc)) {
        node->flushed_at_us = now_us + FLUSH_US;
    }
    return now_us >= node->flushed_at_us;
}

static bool
is_finished(struct node *node, int64_t elapsed_us)
{
    if (elapsed_us >= exit_after_us(node)) {
        return true;
    }
    const bool keys_left = localtarget_is_present(node->target) &&
                           keyowner_owns_keys(node->keyowner) &&
                           keyowner_store_available(node->keyowner) &&
                           elapsed_us < HANDOVER_MAX_US;
    return is_flushed(node) && elapsed_us >= NOTICE_MIN_US && !keys_left;
}

/** Refuses what waits here: no request starts at the own target any more. */
static void
refuse_waiting(struct node *node)
{
    localgate_readmit(node->gate);
    relayserve_readmit(node->relayserve);
}

/** Answers all requests of callers. What other instances can't have received
 * whole has not run. Requests that still come are refused at once. */
static void
answer_all(struct node *node)
{
    rpc_node_close_outgoing(node->rpc);
    ingress_answer_all(node->ingress);
}

/** Takes the steps of the stop that are due. */
static void
advance(struct node *node, int64_t elapsed_us)
{
    if (node->stop_step == NODE_STOP_BEGUN &&
        elapsed_us >= refuse_after_us(node)) {
        node->stop_step = NODE_STOP_REFUSED;
        refuse_waiting(node);
    }
    if (node->stop_step == NODE_STOP_REFUSED &&
        elapsed_us >= withdraw_after_us(node)) {
        node->stop_step = NODE_STOP_WITHDRAWN;
        ingress_withdraw(node->ingress);
    }
    if (node->stop_step == NODE_STOP_WITHDRAWN &&
        elapsed_us >= answer_after_us(node)) {
        node->stop_step = NODE_STOP_ANSWERED;
        answer_all(node);
    }
}

static void
on_check(void *ctx)
{
    struct node *node = ctx;
    const int64_t elapsed_us = node_now_us(node) - node->stop_started_us;
    advance(node, elapsed_us);
    if (!is_finished(node, elapsed_us)) {
        timer_start(&node->stop_timer, CHECK_INTERVAL_US);
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
    node->stop_started_us = node_now_us(node);
    LOG_INFO("stopping",
             LOG_UINT("unanswered", ingress_unanswered_count(node->ingress)),
             LOG_UINT("running", localgate_running(node->gate)));
    http_server_retire(node->callers);
    ownrow_update(node->ownrow);
    timer_init(&node->stop_timer, node->runtime, on_check, node);
    timer_start(&node->stop_timer, CHECK_INTERVAL_US);
}

bool
nodestop_refuses(const struct node *node)
{
    return node->stopping &&
           node_now_us(node) - node->stop_started_us >= refuse_after_us(node);
}

void
nodestop_destroy(struct node *node)
{
    if (node->stopping) {
        timer_stop(&node->stop_timer);
    }
}
