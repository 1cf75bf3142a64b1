#include "gate/queue.h"

#define US_PER_MS INT64_C(1000)

/* Places per request in flight: a full queue waits about two service times. */
#define QUEUE_PLACES_PER_SLOT 2
#define QUEUE_PLACES_MIN 4
/* Orders served in a row while reads wait. */
#define QUEUE_ORDERS_IN_TURN 3
#define QUEUE_SEARCH_INTERVAL_US US_PER_MS

void
queue_init(struct queue *queue)
{
    *queue = (struct queue){0};
    TAILQ_INIT(&queue->orders);
    TAILQ_INIT(&queue->reads);
}

size_t
queue_count(const struct queue *queue)
{
    return queue->order_count + queue->read_count;
}

static int64_t
queue_time_us(const struct queue_rate *rate, size_t ahead)
{
    const unsigned limit = rate->limit > 0 ? rate->limit : 1;
    return (int64_t)ahead * rate->service_us / limit;
}

int64_t
queue_wait_us(const struct queue *queue, const struct queue_rate *rate,
              bool idempotent)
{
    /* Reads get every fourth turn, so orders wait for some of them. */
    const size_t reads_between = queue->order_count / QUEUE_ORDERS_IN_TURN;
    const size_t reads =
        queue->read_count < reads_between ? queue->read_count : reads_between;
    const size_t ahead =
        idempotent ? queue_count(queue) : queue->order_count + reads;
    return queue_time_us(rate, ahead + 1);
}

static bool
queue_in_time(const struct queue *queue, const struct queue_rate *rate,
              const struct queue_entry *entry, int64_t now_us)
{
    const int64_t wait_us = queue_wait_us(queue, rate, entry->idempotent);
    return now_us + wait_us + rate->service_us <= entry->deadline_us;
}

static bool
queue_full(const struct queue *queue, const struct queue_rate *rate)
{
    size_t places = (size_t)rate->limit * QUEUE_PLACES_PER_SLOT;
    if (places < QUEUE_PLACES_MIN) {
        places = QUEUE_PLACES_MIN;
    }
    return queue_count(queue) >= places;
}

bool
queue_push(struct queue *queue, const struct queue_rate *rate,
           struct queue_entry *entry, int64_t now_us)
{
    if (!queue_in_time(queue, rate, entry, now_us)) {
        return false;
    }
    if (queue_full(queue, rate)) {
        const struct queue_entry *read = TAILQ_LAST(&queue->reads, queue_list);
        if (entry->idempotent || read == NULL || read->deadline_us <= now_us) {
            return false;
        }
        TAILQ_LAST(&queue->reads, queue_list)->deadline_us = now_us;
        queue->search_at_us = now_us;
    }
    entry->queued = true;
    entry->queued_us = now_us;
    if (entry->idempotent) {
        TAILQ_INSERT_TAIL(&queue->reads, entry, link);
        queue->read_count++;
    }
    else {
        TAILQ_INSERT_TAIL(&queue->orders, entry, link);
        queue->order_count++;
    }
    return true;
}

struct queue_entry *
queue_pop(struct queue *queue)
{
    struct queue_entry *read = TAILQ_FIRST(&queue->reads);
    struct queue_entry *order = TAILQ_FIRST(&queue->orders);
    struct queue_entry *entry = order;
    if (order == NULL ||
        (read != NULL && queue->orders_in_turn >= QUEUE_ORDERS_IN_TURN)) {
        entry = read;
    }
    if (entry == NULL) {
        return NULL;
    }
    queue->orders_in_turn = entry == order ? queue->orders_in_turn + 1 : 0;
    queue_remove(queue, entry);
    return entry;
}

static struct queue_entry *
queue_find_late(struct queue_list *list, int64_t earliest_end_us)
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
queue_expire(struct queue *queue, const struct queue_rate *rate,
             int64_t now_us)
{
    if (now_us < queue->search_at_us) {
        return NULL;
    }
    /* Half a service time: a request may still finish early. */
    const int64_t earliest_end_us = now_us + rate->service_us / 2;
    struct queue_entry *late = queue_find_late(&queue->reads, earliest_end_us);
    if (late == NULL) {
        late = queue_find_late(&queue->orders, earliest_end_us);
    }
    if (late == NULL) {
        queue->search_at_us = now_us + QUEUE_SEARCH_INTERVAL_US;
        return NULL;
    }
    queue_remove(queue, late);
    return late;
}

struct queue_entry *
queue_pop_movable(struct queue *queue)
{
    struct queue_list *lists[] = {&queue->orders, &queue->reads};
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
        TAILQ_REMOVE(&queue->reads, entry, link);
        queue->read_count--;
    }
    else {
        TAILQ_REMOVE(&queue->orders, entry, link);
        queue->order_count--;
    }
}

uint32_t
queue_retry_after_ms(const struct queue *queue, const struct queue_rate *rate)
{
    const int64_t drain_us =
        queue_time_us(rate, queue_count(queue) + 1) + rate->service_us;
    return (uint32_t)((drain_us + US_PER_MS - 1) / US_PER_MS);
}
