#include "daemon/configtask.h"

#include <stdlib.h>

#define LOG_MODULE "config"
#include "base/counter.h"
#include "base/document.h"
#include "base/log.h"
#include "base/runtime.h"
#include "state/revision.h"

struct configtask {
    struct configtask_options options;
    struct config *config;
    struct state *state;
    struct state *previous_state; /* freed after the callback in_force */
    struct timer poll_timer;
    size_t members;
    bool reading_head;
    uint64_t fetching; /* revision whose document is being read, or 0 */
    struct counter *polls;
    struct counter *poll_failures;
    struct counter *revision_gauge;
};

static bool
configtask_apply(void *ctx, uint64_t revision, const json_t *document)
{
    struct configtask *task = ctx;
    struct document_problems problems = {.count = 0};
    struct state *state = state_parse(document, &problems);
    if (state == NULL) {
        LOG_ERR("document_refused", LOG_UINT("revision", revision),
                LOG_STR("problem", error_name(problems.problems[0].code)),
                LOG_STR("subject", problems.problems[0].subject));
        return false;
    }
    task->previous_state = task->state;
    task->state = state;
    return true;
}

static void
configtask_on_document(void *ctx, const struct store_read_result *result)
{
    struct configtask *task = ctx;
    const uint64_t revision = task->fetching;
    task->fetching = 0;
    if (result->outcome != STORE_COMMITTED || result->row_count == 0 ||
        result->rows[0].value == NULL) {
        task->poll_failures->value++;
        return;
    }
    struct revision_head head;
    struct error err = {.code = ERROR_NONE};
    const json_t *document =
        revision_row_document(result->rows[0].value, &head, &err);
    if (document == NULL) {
        LOG_ERR("revision_row_malformed", LOG_UINT("revision", revision),
                LOG_STR("error", error_name(err.code)),
                LOG_STR("subject", err.subject));
        return;
    }
    configtask_offer(task, revision, document);
}

static void
configtask_fetch(struct configtask *task, uint64_t revision)
{
    char row[REVISION_ROW_NAME_SIZE];
    if (task->fetching != 0) {
        return;
    }
    task->fetching = revision;
    revision_row_name(revision, row);
    store_read(task->options.store, REVISION_TABLE, row,
               configtask_on_document, task);
}

static void
configtask_on_head(void *ctx, const struct store_read_result *result)
{
    struct configtask *task = ctx;
    task->reading_head = false;
    if (result->outcome != STORE_COMMITTED || result->row_count == 0) {
        task->poll_failures->value++;
        return;
    }
    struct revision_head head;
    struct error err = {.code = ERROR_NONE};
    if (!revision_head_parse(result->rows[0].value, &head, &err)) {
        LOG_ERR("config_head_malformed",
                LOG_STR("error", error_name(err.code)),
                LOG_STR("subject", err.subject));
        return;
    }
    configtask_revision_seen(task, head.revision);
}

static void
configtask_poll(void *ctx)
{
    struct configtask *task = ctx;
    int64_t period_us =
        (int64_t)task->members * US_PER_SECOND / CONFIGTASK_POLLS_PER_SECOND;
    if (period_us < task->options.poll_us) {
        period_us = task->options.poll_us;
    }
    timer_start(&task->poll_timer, period_us);
    if (task->reading_head) {
        return;
    }
    task->reading_head = true;
    task->polls->value++;
    store_read(task->options.store, REVISION_TABLE, REVISION_HEAD_ROW,
               configtask_on_head, task);
}

struct configtask *
configtask_create(const struct configtask_options *options)
{
    struct configtask *task = calloc(1, sizeof(*task));
    if (task == NULL) {
        abort();
    }
    task->options = *options;
    task->config = config_create(configtask_apply, task);
    if (task->config == NULL) {
        abort();
    }
    task->polls = counter_add(options->counters, "config_polls",
                              "reads of the configuration's head row");
    task->poll_failures =
        counter_add(options->counters, "config_poll_failures",
                    "failed reads of the configuration");
    task->revision_gauge = counter_add(options->counters, "config_revision",
                                       "revision in force at this instance");
    timer_init(&task->poll_timer, options->runtime, configtask_poll, task);
    timer_start(&task->poll_timer, 0);
    return task;
}

void
configtask_destroy(struct configtask *task)
{
    if (task == NULL) {
        return;
    }
    timer_stop(&task->poll_timer);
    config_destroy(task->config);
    state_destroy(task->state);
    free(task);
}

void
configtask_set_member_count(struct configtask *task, size_t members)
{
    task->members = members;
}

void
configtask_revision_seen(struct configtask *task, uint64_t revision)
{
    const int64_t now_us = runtime_now_us(task->options.runtime);
    if (config_record_newest(task->config, revision, now_us)) {
        configtask_fetch(task, revision);
    }
}

void
configtask_offer(struct configtask *task, uint64_t revision,
                 const json_t *document)
{
    if (config_offer(task->config, revision, document) != CONFIG_IN_FORCE) {
        return;
    }
    task->revision_gauge->value = (int64_t)revision;
    task->options.in_force(task->options.ctx, revision, task->state);
    state_destroy(task->previous_state);
    task->previous_state = NULL;
}

struct config *
configtask_config(struct configtask *task)
{
    return task->config;
}

const struct state *
configtask_state(const struct configtask *task)
{
    return task->state;
}
