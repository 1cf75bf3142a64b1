/**
 * @file
 * Tasks: units that own their state and sockets and talk by typed messages.
 * All tasks of a runtime run in its loop, one message at a time.
 */
#ifndef CHESTNUTGAP_BASE_TASK_H
#define CHESTNUTGAP_BASE_TASK_H

#include <stdint.h>
#include <sys/queue.h>

struct runtime;
struct task;

/**
 * Header of every message, embedded as the first member of a struct that
 * carries the message's content.
 */
struct message {
    STAILQ_ENTRY(message) link;
    uint32_t type; /**< from the receiver's own enum of message types */
    void (*destroy)(struct message *message); /**< NULL: free() */
};

/** Handles one message, which is destroyed after the call. */
typedef void (*task_handler)(void *ctx, struct message *message);

/** Creates a task, or returns NULL when memory is short. */
struct task *task_create(struct runtime *runtime, const char *name,
                         task_handler handler, void *ctx);

/** Destroys the task and its undelivered messages. */
void task_destroy(struct task *task);

/**
 * Appends a message to the task's mailbox, which then owns it. Delivery is
 * in order, in a later iteration of the loop, never within this call.
 */
void task_post(struct task *task, struct message *message);

const char *task_name(const struct task *task);

/** Destroys a message that no task owns. */
void message_destroy(struct message *message);

#endif
