/**
 * @file
 * Tasks (actors): they own their state and sockets and communicate by typed
 * messages. A runtime's loop runs all of its tasks, one message at a time.
 */
#ifndef CHESTNUTGAP_BASE_TASK_H
#define CHESTNUTGAP_BASE_TASK_H

#include <stdint.h>
#include <sys/queue.h>

struct runtime;
struct task;

/**
 * Message header, embedded as the first member of the struct that holds the
 * content.
 */
struct message {
    STAILQ_ENTRY(message) link;
    uint32_t type; /**< from the receiver's own enum of message types */
    void (*destroy)(struct message *message); /**< NULL: free() */
};

/** Handles a message, which is destroyed after the call. */
typedef void (*task_handler)(void *ctx, struct message *message);

/** The name must outlive the task. @return NULL if out of memory */
struct task *task_create(struct runtime *runtime, const char *name,
                         task_handler handler, void *ctx);

/** Destroys the task and its undelivered messages. */
void task_destroy(struct task *task);

/**
 * Appends a message to the task's mailbox, which takes ownership. It is
 * delivered in order, later in the loop, never within this call.
 */
void task_post(struct task *task, struct message *message);

const char *task_name(const struct task *task);

/** For messages that were not posted. */
void message_destroy(struct message *message);

#endif
