/**
 * @file
 * The bounded queue before a target. A request that cannot be served within
 * its deadline is refused at once; idempotent requests give way before
 * others.
 */
#ifndef CHESTNUTGAP_GATE_QUEUE_H
#define CHESTNUTGAP_GATE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** A waiting request, embedded in its owner. Set the first three fields. */
struct queue_entry {
    int64_t deadline_us;
    bool idempotent;
    bool movable; /**< another target may run it instead */
    bool queued;  /**< private */
    int64_t queued_us;
    TAILQ_ENTRY(queue_entry) link;
};

TAILQ_HEAD(queue_list, queue_entry);

/** Capacity of the target as it is known now. */
struct queue_capacity {
    unsigned limit;     /**< requests in flight at once */
    int64_t service_us; /**< time that one takes */
};

/** A queue. Fields are private; prepare it with queue_init(). */
struct queue {
    struct queue_list non_idempotent; /* not idempotent */
    struct queue_list idempotent;
    size_t non_idempotent_count;
    size_t idempotent_count;
    unsigned non_idempotent_in_turn; /* taken since the last read */
    int64_t next_search_us;          /* next search for late entries */
};

void queue_init(struct queue *queue);

size_t queue_count(const struct queue *queue);

/** Time that a request which arrives now would wait for its start. */
int64_t queue_wait_us(const struct queue *queue,
                      const struct queue_capacity *capacity, bool idempotent);

/**
 * Appends the entry if it can be served in time. If the queue is full, an
 * order takes the place of the newest read, which queue_pop_expired() returns.
 *
 * @return false if the entry must be refused.
 */
bool queue_push(struct queue *queue, const struct queue_capacity *capacity,
                struct queue_entry *entry, int64_t now_us);

/** Takes the next entry to serve, or NULL. */
struct queue_entry *queue_pop(struct queue *queue);

/**
 * Takes an entry that can no longer be served in time, or NULL. Searches at
 * most once a millisecond.
 */
struct queue_entry *queue_pop_expired(struct queue *queue,
                                      const struct queue_capacity *capacity,
                                      int64_t now_us);

/** Takes an entry that another target may run instead, or NULL. */
struct queue_entry *queue_pop_movable(struct queue *queue);

void queue_remove(struct queue *queue, struct queue_entry *entry);

/** When a refused request should come back, rounded up to milliseconds. */
uint32_t queue_retry_after_ms(const struct queue *queue,
                              const struct queue_capacity *capacity);

#endif
