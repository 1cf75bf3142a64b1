/**
 * @file
 * Interface between the runtime and the task module.
 */
#ifndef CHESTNUTGAP_BASE_RUNTIME_INTERNAL_H
#define CHESTNUTGAP_BASE_RUNTIME_INTERNAL_H

#include <sys/queue.h>

#include "base/runtime.h"

struct task;

STAILQ_HEAD(runtime_ready_tasks, task);

/** Tasks with undelivered messages, in the order of their first message. */
struct runtime_ready_tasks *runtime_ready(struct runtime *runtime);

/** Schedules message delivery in the next loop iteration. */
void runtime_wake(struct runtime *runtime);

/** Delivers all posted messages. */
void task_deliver_all(struct runtime *runtime);

#endif
