#include "base/task.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/runtime.h"
#include "base/runtime_internal.h"

STAILQ_HEAD(message_queue, message);

struct task {
    STAILQ_ENTRY(task) ready_link;
    bool is_ready;
    struct runtime *runtime;
    const char *name;
    task_handler handler;
    void *ctx;
    struct message_queue mailbox;
};

struct task *
task_create(struct runtime *runtime, const char *name, task_handler handler,
            void *ctx)
{
    struct task *task = calloc(1, sizeof(*task));
    if (task == NULL) {
        return NULL;
    }
    task->runtime = runtime;
    task->name = name;
    task->handler = handler;
    task->ctx = ctx;
    STAILQ_INIT(&task->mailbox);
    return task;
}

void
task_destroy(struct task *task)
{
    if (task == NULL) {
        return;
    }
    if (task->is_ready) {
        STAILQ_REMOVE(runtime_ready(task->runtime), task, task, ready_link);
    }
    struct message *message;
    while ((message = STAILQ_FIRST(&task->mailbox)) != NULL) {
        STAILQ_REMOVE_HEAD(&task->mailbox, link);
        message_destroy(message);
    }
    free(task);
}

void
task_post(struct task *task, struct message *message)
{
    STAILQ_INSERT_TAIL(&task->mailbox, message, link);
    if (task->is_ready) {
        return;
    }
    task->is_ready = true;
    STAILQ_INSERT_TAIL(runtime_ready(task->runtime), task, ready_link);
    runtime_wake(task->runtime);
}

const char *
task_name(const struct task *task)
{
    return task->name;
}

void
message_destroy(struct message *message)
{
    if (message->destroy != NULL) {
        message->destroy(message);
        return;
    }
    free(message);
}

void
task_deliver_all(struct runtime *runtime)
{
    struct runtime_ready_tasks *ready = runtime_ready(runtime);
    struct task *task;
    while ((task = STAILQ_FIRST(ready)) != NULL) {
        struct message *message = STAILQ_FIRST(&task->mailbox);
        STAILQ_REMOVE_HEAD(ready, ready_link);
        STAILQ_REMOVE_HEAD(&task->mailbox, link);
        task->is_ready = !STAILQ_EMPTY(&task->mailbox);
        if (task->is_ready) {
            STAILQ_INSERT_TAIL(ready, task, ready_link);
        }
        /* The handler may destroy the task: don't use it afterwards. */
        task->handler(task->ctx, message);
        message_destroy(message);
    }
}
