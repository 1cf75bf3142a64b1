#include "fleet/transferqueue.h"

#include <stdbool.h>

#include "base/timeunits.h"

/* Time with transfers after which what was counted has half its weight. */
#define DECAY_US (2.0 * US_PER_SECOND)
/* The speed is not judged by less. */
#define KNOWN_FROM_US (20.0 * US_PER_MS)
#define TIME_MAX_US (3600.0 * US_PER_SECOND)

void
transferqueue_init(struct transferqueue *queue, size_t limit_bytes)
{
    *queue = (struct transferqueue){.limit_bytes = limit_bytes};
    TAILQ_INIT(&queue->waiting);
}

/** Counts the time since the last event if there were transfers. */
static void
count_time(struct transferqueue *queue, int64_t now_us)
{
    if (queue->running_bytes > 0) {
        queue->busy_us += (double)(now_us - queue->counted_us);
    }
    queue->counted_us = now_us;
    if (queue->busy_us > DECAY_US) {
        queue->busy_us /= 2;
        queue->arrived /= 2;
    }
}

static bool
has_room(const struct transferqueue *queue, size_t size)
{
    return queue->running_bytes == 0 ||
           queue->running_bytes + size <= queue->limit_bytes;
}

static void
start(struct transferqueue *queue, struct transferqueue_transfer *transfer,
      int64_t now_us)
{
    count_time(queue, now_us);
    transfer->state = TRANSFERQUEUE_STATE_RUNNING;
    queue->running_bytes += transfer->size;
}

static void
stop_waiting(struct transferqueue *queue,
             struct transferqueue_transfer *transfer)
{
    TAILQ_REMOVE(&queue->waiting, transfer, link);
    queue->waiting_bytes -= transfer->size;
    transfer->state = TRANSFERQUEUE_STATE_NONE;
}

/** Time in which that many bytes arrive; 0 while the speed isn't known. */
static int64_t
transfer_time_us(const struct transferqueue *queue, size_t bytes)
{
    if (queue->busy_us < KNOWN_FROM_US || queue->arrived <= 0) {
        return 0;
    }
    const double time_us = (double)bytes * queue->busy_us / queue->arrived;
    return time_us < TIME_MAX_US ? (int64_t)time_us : (int64_t)TIME_MAX_US;
}

int64_t
transferqueue_expected_us(const struct transferqueue *queue, size_t size)
{
    return transfer_time_us(queue, queue->running_bytes +
                                       queue->waiting_bytes + size);
}

/** The same, but 0 for the only one: the speed is learnt from transfers, so
 * that one must be tried however low it was. */
static int64_t
expected_us(const struct transferqueue *queue, size_t size)
{
    const bool alone =
        queue->running_bytes == 0 && TAILQ_EMPTY(&queue->waiting);
    return alone ? 0 : transferqueue_expected_us(queue, size);
}

enum transferqueue_verdict
transferqueue_offer(struct transferqueue *queue,
                    struct transferqueue_transfer *transfer, int64_t now_us)
{
    count_time(queue, now_us);
    transfer->state = TRANSFERQUEUE_STATE_NONE;
    if (now_us + expected_us(queue, transfer->size) >= transfer->deadline_us) {
        return TRANSFERQUEUE_REFUSE;
    }
    if (TAILQ_EMPTY(&queue->waiting) && has_room(queue, transfer->size)) {
        start(queue, transfer, now_us);
        return TRANSFERQUEUE_START;
    }
    transfer->state = TRANSFERQUEUE_STATE_WAITING;
    queue->waiting_bytes += transfer->size;
    TAILQ_INSERT_TAIL(&queue->waiting, transfer, link);
    return TRANSFERQUEUE_WAIT;
}

void
transferqueue_arrived(struct transferqueue *queue,
                      struct transferqueue_transfer *transfer, int64_t now_us)
{
    if (transfer->state == TRANSFERQUEUE_STATE_RUNNING) {
        count_time(queue, now_us);
        queue->arrived += (double)transfer->size;
    }
    transferqueue_abandon(queue, transfer, now_us);
}

void
transferqueue_abandon(struct transferqueue *queue,
                      struct transferqueue_transfer *transfer, int64_t now_us)
{
    if (transfer->state == TRANSFERQUEUE_STATE_WAITING) {
        stop_waiting(queue, transfer);
    }
    else if (transfer->state == TRANSFERQUEUE_STATE_RUNNING) {
        count_time(queue, now_us);
        queue->running_bytes -= transfer->size;
        transfer->state = TRANSFERQUEUE_STATE_NONE;
    }
}

struct transferqueue_transfer *
transferqueue_next(struct transferqueue *queue, int64_t now_us,
                   enum transferqueue_verdict *verdict)
{
    struct transferqueue_transfer *first = TAILQ_FIRST(&queue->waiting);
    if (first == NULL) {
        return NULL;
    }
    if (now_us + transfer_time_us(queue, first->size) >= first->deadline_us) {
        stop_waiting(queue, first);
        *verdict = TRANSFERQUEUE_REFUSE;
        return first;
    }
    if (!has_room(queue, first->size)) {
        return NULL;
    }
    stop_waiting(queue, first);
    start(queue, first, now_us);
    *verdict = TRANSFERQUEUE_START;
    return first;
}
