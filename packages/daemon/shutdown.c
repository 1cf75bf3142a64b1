#include "daemon/daemon_internal.h"

#define LOG_MODULE "shutdown"
#include "base/invariant.h"
#include "base/log.h"

#define DRAIN_CHECK_INTERVAL_US (20 * US_PER_MS)
#define TOTALS_TIMEOUT_US (1 * US_PER_SECOND)

static void
on_totals_written(void *ctx, bool written)
{
    struct daemon *daemon = ctx;
    if (!written) {
        LOG_WARN("promises_not_written");
    }
    runtime_stop(daemon->runtime);
}

static void
on_left(void *ctx)
{
    struct daemon *daemon = ctx;
    LOG_INFO("left");
    invariantlog_finish(daemon->invariantlog, TOTALS_TIMEOUT_US,
                        on_totals_written, daemon);
}

static void
on_http_stopped(void *ctx)
{
    (void)ctx;
    LOG_INFO("callers_finished");
}

static void
find_receiver(void *ctx, const struct membertable_view *view)
{
    bool *found = ctx;
    *found = *found || view->state == MEMBER_ACTIVE;
}

/* Whether another instance could receive the shards. The own row is not
 * active, since this instance is leaving. */
static bool
has_receiver(const struct daemon *daemon)
{
    const struct membertable_filter filter = {
        .service = daemon->self.service,
        .live_only = true,
    };
    bool found = false;
    membertable_visit(membertask_table(daemon->members), &filter,
                      find_receiver, &found);
    return found;
}

static bool
has_requests(const struct daemon *daemon)
{
    return entrytask_count(daemon->entry) > 0 || !gatetask_idle(daemon->gate);
}

/* A restarted process would take rows that were not settled for requests that
 * began. */
static bool
is_drained(const struct daemon *daemon)
{
    return !has_requests(daemon) && gatetask_settled(daemon->gate) &&
           (placetask_owned_count(daemon->placement) == 0 ||
            !has_receiver(daemon));
}

static void
finish(struct daemon *daemon)
{
    daemon->phase = DAEMON_FINISHING;
    if (daemon->target_withdrew && target_current(daemon->target) != NULL) {
        target_drain(daemon->target, NULL, NULL);
    }
    membertask_finish(daemon->members, on_left, daemon);
}

static void
on_drain_check(void *ctx)
{
    struct daemon *daemon = ctx;
    const int64_t now_us = runtime_now_us(daemon->runtime);
    const bool late = now_us >= daemon->drain_deadline_us;
    if (daemon->phase == DAEMON_DRAINING && is_drained(daemon)) {
        invariant_check(INVARIANT_GRACEFUL_STOP, true, "drained");
        finish(daemon);
    }
    else if (daemon->phase == DAEMON_DRAINING && late) {
        invariant_check(INVARIANT_GRACEFUL_STOP, !has_requests(daemon),
                        "requests still run at the end of drain_max_ms");
        entrytask_answer_all(daemon->entry);
        finish(daemon);
    }
    else if (daemon->phase == DAEMON_FINISHING && late) {
        /* The store is unresponsive; the row will be fenced instead. */
        LOG_WARN("left_without_row");
        runtime_stop(daemon->runtime);
        return;
    }
    timer_start(&daemon->drain_timer, DRAIN_CHECK_INTERVAL_US);
}

void
shutdown_begin(struct daemon *daemon)
{
    if (daemon->phase != DAEMON_SERVING) {
        return;
    }
    LOG_INFO("draining");
    daemon->phase = DAEMON_DRAINING;
    daemon->drain_deadline_us =
        runtime_now_us(daemon->runtime) + daemon->settings.drain_max_us;
    membertask_leave(daemon->members);
    placetask_leave(daemon->placement);
    gatetask_set_leaving(daemon->gate, true);
    http_server_stop(daemon->http, on_http_stopped, daemon);
    timer_init(&daemon->drain_timer, daemon->runtime, on_drain_check, daemon);
    timer_start(&daemon->drain_timer, DRAIN_CHECK_INTERVAL_US);
}
