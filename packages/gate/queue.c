#include "gate/queue.h"

#define US_PER_MS INT64_C(1000)

/* A full queue takes about two service times to empty. */
#define QUEUE_PLACES_PER_SLOT 2
#define QUEUE_PLACES_MIN 4
/* Non-idempotent requests served in a row while idempotent ones wait. */
#define QUEUE_NON_IDEMPOTENT_IN_TURN 3
#define QUEUE_SEARCH_INTERVAL_US US_PER_MS

void
queue_init(struct queue *queue)
{
    *queue = (struct queue){0};
    TAILQ_INIT(&queue->non_idempotent);
    TAILQ_INIT(&queue->idempotent);
}

size_t
queue_count(const struct queue *queue)
{
    return queue->non_idempotent_count + queue->idempotent_count;
}

static int64_t
queue_service_time_us(const struct queue_capacity *capacity, size_t ahead)
{
    const unsigned limit = capacity->limit > 0 ? capacity->limit : 1;
    return (int64_t)ahead * capacity->service_us / limit;
}

int64_t
queue_wait_us(const struct queue *queue, const struct queue_capacity *capacity,
              bool idempotent)
{
    /* Every fourth turn goes to an idempotent request. */
    const size_t idempotent_turns =
        queue->non_idempotent_count / QUEUE_NON_IDEMPOTENT_IN_TURN;
    const size_t idempotent_ahead = queue->idempotent_count < idempotent_turns
                                        ? queue->idempotent_count
                                        : idempotent_turns;
    const size_t ahead = idempotent
                             ? queue_count(queue)
                             : queue->non_idempotent_count + idempotent_ahead;
    return queue_service_time_us(capacity, ahead + 1);
}

static bool
queue_meets_deadline(const struct queue *queue,
                     const struct queue_capacity *capacity,
                     const struct queue_entry *entry, int64_t now_us)
{
    const int64_t wait_us = queue_wait_us(queue, capacity, entry->idempotent);
    return now_us + wait_us + capacity->service_us <= entry->deadline_us;
}

static bool
queue_full(const struct queue *queue, const struct queue_capacity *capacity)
{
    size_t places = (size_t)capacity->limit * QUEUE_PLACES_PER_SLOT;
    if (places < QUEUE_PLACES_MIN) {
        places = QUEUE_PLACES_MIN;
    }
    return queue_count(queue) >= places;
}

bool
queue_push(struct queue *queue, const struct queue_capacity *capacity,
           struct queue_entry *entry, int64_t now_us)
{
    if (!queue_meets_deadline(queue, capacity, entry, now_us)) {
        return false;
    }
    if (queue_full(queue, capacity)) {
        const struct queue_entry *newest =
            TAILQ_LAST(&queue->idempotent, queue_list);
        if (entry->idempotent || newest == NULL ||
            newest->deadline_us <= now_us) {
            return false;
        }
        TAILQ_LAST(&queue->idempotent, queue_list)->deadline_us = now_us;
        queue->next_search_us = now_us;
    }
    entry->queued = true;
    entry->queued_us = now_us;
    if (entry->idempotent) {
        TAILQ_INSERT_TAIL(&queue->idempotent, entry, link);
        queue->idempotent_count++;
    }
    else {
        TAILQ_INSERT_TAIL(&queue->non_idempotent, entry, link);
        queue->non_idempotent_count++;
    }
    return true;
}

struct queue_entry *
queue_pop(struct queue *queue)
{
    struct queue_entry *idempotent = TAILQ_FIRST(&queue->idempotent);
    struct queue_entry *non_idempotent = TAILQ_FIRST(&queue->non_idempotent);
    struct queue_entry *entry = non_idempotent;
    if (non_idempotent == NULL ||
        (idempotent != NULL &&
         queue->non_idempotent_in_turn >= QUEUE_NON_IDEMPOTENT_IN_TURN)) {
        entry = idempotent;
    }
    if (entry == NULL) {
        return NULL;
    }
    queue->non_idempotent_in_turn =
        entry == non_idempotent ? queue->non_idempotent_in_turn + 1 : 0;
    queue_remove(queue, entry);
    return entry;
}

static struct queue_entry *
queue_find_expired(struct queue_list *list, int64_t earliest_end_us)
{
    struct queue_entry *entry;
    TAILQ_FOREACH (entry, list, link) {
        if (entry->deadline_us < earliest_end_us) {
            return entry;
        }
    }
    return NULL;
}

struct queue_entry *
queue_pop_expired(struct queue *queue, const struct queue_capacity *capacity,
                  int64_t now_us)
{
    if (now_us < queue->next_search_us) {
        return NULL;
    }
    /* Half a service time, as a request may finish early. */
    const int64_t earliest_end_us = now_us + capacity->service_us / 2;
    struct queue_entry *expired =
        queue_find_expired(&queue->idempotent, earliest_end_us);
    if (expired == NULL) {
        expired = queue_find_expired(&queue->non_idempotent, earliest_end_us);
    }
    if (expired == NULL) {
        queue->next_search_us = now_us + QUEUE_SEARCH_INTERVAL_US;
        return NULL;
    }
    queue_remove(queue, expired);
    return expired;
}

struct queue_entry *
queue_pop_movable(struct queue *queue)
{
    struct queue_list *lists[] = {&queue->non_idempotent, &queue->idempotent};
    for (size_t i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
        struct queue_entry *entry;
        TAILQ_FOREACH (entry, lists[i], link) {
            if (entry->movable) {
                queue_remove(queue, entry);
                return entry;
            }
        }
    }
    return NULL;
}

void
queue_remove(struct queue *queue, struct queue_entry *entry)
{
    if (!entry->queued) {
        return;
    }
    entry->queued = false;
    if (entry->idempotent) {
        TAILQ_REMOVE(&queue->idempotent, entry, link);
        queue->idempotent_count--;
    }
    else {
        TAILQ_REMOVE(&queue->non_idempotent, entry, link);
        queue->non_idempotent_count--;
    }
}

uint32_t
queue_retry_after_ms(const struct queue *queue,
                     const struct queue_capacity *capacity)
{
    const int64_t drain_us =
        queue_service_time_us(capacity, queue_count(queue) + 1) +
        capacity->service_us;
    return (uint32_t)((drain_us + US_PER_MS - 1) / US_PER_MS);
}
