#include "membership/membertask_internal.h"

#include <string.h>

#include "base/hash.h"
#include "base/timeunits.h"

#define POLL_INTERVAL_US (1 * US_PER_SECOND)        /* see is_poller() */
#define NON_POLLER_INTERVAL_US (60 * US_PER_SECOND) /* of other members */
#define POLL_RETRY_US (500 * US_PER_MS)             /* after a failure */
#define POLL_MISSING_ROW_DELAY_US (20 * US_PER_MS)
#define POLLERS_PER_ZONE 5

/** Counts the members of the zone that precede this one by hash. */
struct poller_rank {
    const char *instance;
    uint64_t hash;
    unsigned before;
};

static void
count_before(void *ctx, const struct membertable_view *view)
{
    struct poller_rank *rank = ctx;
    if (strcmp(view->instance, rank->instance) != 0 &&
        hash_string(view->instance) < rank->hash) {
        rank->before++;
    }
}

/** True if this member is one of the POLLERS_PER_ZONE that poll often. */
static bool
is_poller(const struct membertask *task)
{
    struct poller_rank rank = {
        .instance = task->self.self.instance,
        .hash = hash_string(task->self.self.instance),
    };
    const struct membertable_filter filter = {
        .zone = task->self.zone,
        .live_only = true,
    };
    membertable_visit(task->table, &filter, count_before, &rank);
    return rank.before < POLLERS_PER_ZONE;
}

static int64_t
poll_interval_us(const struct membertask *task)
{
    return task->config.poll_us > 0 ? task->config.poll_us : POLL_INTERVAL_US;
}

static void
finish_scan(struct membertask *task, int64_t now_us)
{
    struct member_poll *poll = &task->poll;
    int64_t interval_us =
        is_poller(task) ? poll_interval_us(task) : NON_POLLER_INTERVAL_US;
    poll->since = poll->next_since;
    poll->after[0] = '\0';
    poll->complete = true;
    poll->next_us = now_us + interval_us -
                    random_range(&task->random, 0, interval_us / 10);
}

static void
on_scanned(void *ctx, const struct store_read_result *result)
{
    struct member_operation *operation = ctx;
    struct membertask *task = operation->task;
    struct member_poll *poll = &task->poll;
    int64_t now_us = member_now_us(task);
    member_operation_end(operation);
    poll->busy = false;
    poll->failing = result->outcome != STORE_COMMITTED;
    if (poll->failing) {
        poll->next_us = now_us + POLL_RETRY_US;
        member_update(task);
        return;
    }
    if (poll->after[0] == '\0') {
        poll->next_since = result->version;
    }
    for (size_t i = 0; i < result->row_count; i++) {
        struct member row;
        member_apply_store_row(task, &result->rows[i], &row);
    }
    if (result->has_more && result->row_count > 0) {
        const char *last = result->rows[result->row_count - 1].name;
        size_t length = strnlen(last, STORE_NAME_MAX);
        memcpy(poll->after, last, length);
        poll->after[length] = '\0';
        poll->next_us = now_us;
    }
    else {
        finish_scan(task, now_us);
    }
    member_update(task);
}

int64_t
member_poll_tick(struct membertask *task, int64_t now_us)
{
    struct member_poll *poll = &task->poll;
    if (poll->busy) {
        return INT64_MAX;
    }
    if (now_us < poll->next_us) {
        return poll->next_us;
    }
    const struct store_scan scan = {
        .table = MEMBER_TABLE,
        .prefix = "",
        .after = poll->after[0] == '\0' ? NULL : poll->after,
        .since = poll->since,
    };
    poll->busy = true;
    poll->started_us = now_us;
    task->counters.store_reads->value++;
    store_scan(task->config.store, &scan, on_scanned,
               member_operation_start(task, 0, 0));
    return INT64_MAX;
}

void
member_poll_soon(struct membertask *task)
{
    int64_t now_us = member_now_us(task);
    int64_t earliest_us = task->poll.started_us + poll_interval_us(task);
    int64_t soon_us = now_us + POLL_MISSING_ROW_DELAY_US;
    int64_t next_us = earliest_us > soon_us ? earliest_us : soon_us;
    if (next_us < task->poll.next_us) {
        task->poll.next_us = next_us;
    }
}
