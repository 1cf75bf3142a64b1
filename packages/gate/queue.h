/**
 * @file
 * The bounded queue in front of a target. Refuses a request at once if it
 * can't be served before its deadline. A non-idempotent request may displace
 * an idempotent one.
 */
#ifndef CHESTNUTGAP_GATE_QUEUE_H
#define CHESTNUTGAP_GATE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** A queued request, embedded in the user's struct. Set the first three
 * fields before queue_push(). */
struct queue_entry {
    int64_t deadline_us;
    bool idempotent;
    bool movable; /**< another target may run it */
    bool queued;  /**< private */
    int64_t queued_us;
    TAILQ_ENTRY(queue_entry) link;
};

TAILQ_HEAD(queue_list, queue_entry);

/** The current estimate of the target's capacity. */
struct queue_capacity {
    unsigned limit;     /**< concurrent requests */
    int64_t service_us; /**< time per request */
};

/** Fields are private; initialise with queue_init(). */
struct queue {
    struct queue_list non_idempotent;
    struct queue_list idempotent;
    size_t non_idempotent_count;
    size_t idempotent_count;
    unsigned non_idempotent_in_turn; /* popped since the last idempotent one */
    int64_t next_search_us;
};

void queue_init(struct queue *queue);

size_t queue_count(const struct queue *queue);

/** Estimated wait of a request that is pushed now. */
int64_t queue_wait_us(const struct queue *queue,
                      const struct queue_capacity *capacity, bool idempotent);

/**
 * Appends the entry if it can be served before its deadline. If the queue is
 * full, a non-idempotent entry displaces the newest idempotent one, which
 * queue_pop_expired() then returns.
 *
 * @return false if the entry must be refused.
 */
bool queue_push(struct queue *queue, const struct queue_capacity *capacity,
                struct queue_entry *entry, int64_t now_us);

/** Removes and returns the next entry to serve, or NULL. */
struct queue_entry *queue_pop(struct queue *queue);

/**
 * Removes and returns an entry that can no longer meet its deadline, or NULL.
 * Searches at most once per millisecond.
 */
struct queue_entry *queue_pop_expired(struct queue *queue,
                                      const struct queue_capacity *capacity,
                                      int64_t now_us);

/** Removes and returns the first movable entry, or NULL. */
struct queue_entry *queue_pop_movable(struct queue *queue);

void queue_remove(struct queue *queue, struct queue_entry *entry);

/** When to retry a refused request: the estimated time until the queue is
 * empty, rounded up to milliseconds. */
uint32_t queue_retry_after_ms(const struct queue *queue,
                              const struct queue_capacity *capacity);

#endif
