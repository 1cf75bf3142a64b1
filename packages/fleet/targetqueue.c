#include "fleet/targetqueue.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/timeunits.h"

#define COLD_WINDOW_US                                                        \
    (1100 * US_PER_MS) /* one second, and 10 % for clock differences */
#define SERVICE_DEFAULT_US (100 * US_PER_MS)
#define SERVICE_SMOOTHING 16 /* a new answer has the weight 1/16 */

TAILQ_HEAD(request_list, targetqueue_request);

struct targetqueue {
    unsigned limit;
    unsigned running;
    unsigned waiting;
    struct request_list requests; /* waiting */
    int64_t cold_until_us;
    unsigned cold_max; /* starts within COLD_WINDOW_US */
    int64_t starts_us[TARGETQUEUE_COLD_RATE_MAX]; /* ring buffer of the latest
                                                     starts */
    unsigned start_next;
    int64_t service_us;
};

struct targetqueue *
targetqueue_create(unsigned limit)
{
    struct targetqueue *queue = memory_calloc(1, sizeof(*queue));
    TAILQ_INIT(&queue->requests);
    queue->cold_max = 1;
    queue->service_us = SERVICE_DEFAULT_US;
    for (unsigned i = 0; i < TARGETQUEUE_COLD_RATE_MAX; i++) {
        queue->starts_us[i] = INT64_MIN / 2;
    }
    targetqueue_set_limit(queue, limit);
    return queue;
}

void
targetqueue_destroy(struct targetqueue *queue)
{
    free(queue);
}

void
targetqueue_set_limit(struct targetqueue *queue, unsigned limit)
{
    queue->limit = limit > 0 ? limit : 1;
}

void
targetqueue_set_cold(struct targetqueue *queue, int64_t until_us, double per_s)
{
    queue->cold_until_us = until_us;
    unsigned max = per_s >= TARGETQUEUE_COLD_RATE_MAX
                       ? TARGETQUEUE_COLD_RATE_MAX
                       : (unsigned)per_s;
    queue->cold_max = max > 0 ? max : 1;
}

bool
targetqueue_is_cold(const struct targetqueue *queue, int64_t now_us)
{
    return now_us < queue->cold_until_us;
}

/** Earliest time of the next start at a cold target. */
static int64_t
cold_ready_us(const struct targetqueue *queue)
{
    const unsigned oldest =
        (queue->start_next + TARGETQUEUE_COLD_RATE_MAX - queue->cold_max) %
        TARGETQUEUE_COLD_RATE_MAX;
    return queue->starts_us[oldest] + COLD_WINDOW_US;
}

static bool
has_capacity(const struct targetqueue *queue, int64_t now_us)
{
    return queue->running < queue->limit &&
           (!targetqueue_is_cold(queue, now_us) ||
            now_us >= cold_ready_us(queue));
}

static void
start(struct targetqueue *queue, struct targetqueue_request *request,
      int64_t now_us)
{
    request->state = TARGETQUEUE_STATE_RUNNING;
    request->started_us = now_us;
    queue->running++;
    queue->starts_us[queue->start_next] = now_us;
    queue->start_next = (queue->start_next + 1) % TARGETQUEUE_COLD_RATE_MAX;
}

static bool
is_before(const struct targetqueue_request *a,
          const struct targetqueue_request *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->late == b->late
               ? a->objective_deadline_us < b->objective_deadline_us
               : b->late;
}

static void
enqueue(struct targetqueue *queue, struct targetqueue_request *request)
{
    struct targetqueue_request *other;
    request->state = TARGETQUEUE_STATE_WAITING;
    queue->waiting++;
    TAILQ_FOREACH (other, &queue->requests, link) {
        if (is_before(request, other)) {
            TAILQ_INSERT_BEFORE(other, request, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&queue->requests, request, link);
}

static void
dequeue(struct targetqueue *queue, struct targetqueue_request *request)
{
    TAILQ_REMOVE(&queue->requests, request, link);
    queue->waiting--;
    request->state = TARGETQUEUE_STATE_NONE;
}

/** Expected wait of a request behind that many others. */
static int64_t
expected_wait_us(const struct targetqueue *queue, unsigned ahead,
                 int64_t now_us)
{
    int64_t wait_us = 0;
    if (queue->running >= queue->limit) {
        wait_us = queue->service_us * (ahead + 1) / queue->limit;
    }
    if (targetqueue_is_cold(queue, now_us)) {
        const int64_t cold_us =
            cold_ready_us(queue) - now_us +
            (int64_t)ahead * COLD_WINDOW_US / queue->cold_max;
        wait_us = cold_us > wait_us ? cold_us : wait_us;
    }
    return wait_us;
}

static unsigned
count_before(const struct targetqueue *queue,
             const struct targetqueue_request *request)
{
    const struct targetqueue_request *other;
    unsigned ahead = 0;
    TAILQ_FOREACH (other, &queue->requests, link) {
        if (is_before(request, other)) {
            break;
        }
        ahead++;
    }
    return ahead;
}

static bool
is_late(const struct targetqueue_request *request, int64_t now_us)
{
    return now_us + request->expected_service_us >
           request->objective_deadline_us;
}

/** Requeues requests that have become late behind those in time. */
static void
demote_late(struct targetqueue *queue, int64_t now_us)
{
    struct targetqueue_request *request = TAILQ_FIRST(&queue->requests);
    while (request != NULL) {
        struct targetqueue_request *next = TAILQ_NEXT(request, link);
        if (!request->late && is_late(request, now_us)) {
            dequeue(queue, request);
            request->late = true;
            enqueue(queue, request);
        }
        request = next;
    }
}

enum targetqueue_verdict
targetqueue_admit(struct targetqueue *queue,
                  struct targetqueue_request *request, int64_t now_us)
{
    request->late = is_late(request, now_us);
    if (TAILQ_EMPTY(&queue->requests) && has_capacity(queue, now_us)) {
        start(queue, request, now_us);
        return TARGETQUEUE_START;
    }
    demote_late(queue, now_us);
    const unsigned ahead = count_before(queue, request);
    if (now_us + expected_wait_us(queue, ahead, now_us) >
        request->start_deadline_us) {
        return TARGETQUEUE_REFUSE;
    }
    enqueue(queue, request);
    return TARGETQUEUE_WAIT;
}

void
targetqueue_release(struct targetqueue *queue,
                    struct targetqueue_request *request, int64_t now_us,
                    bool answered)
{
    if (request->state == TARGETQUEUE_STATE_WAITING) {
        dequeue(queue, request);
        return;
    }
    if (request->state != TARGETQUEUE_STATE_RUNNING) {
        return;
    }
    request->state = TARGETQUEUE_STATE_NONE;
    queue->running--;
    if (answered) {
        const int64_t took_us = now_us - request->started_us;
        queue->service_us += (took_us - queue->service_us) / SERVICE_SMOOTHING;
    }
}

struct targetqueue_request *
targetqueue_next(struct targetqueue *queue, int64_t now_us,
                 enum targetqueue_verdict *verdict)
{
    struct targetqueue_request *request;
    TAILQ_FOREACH (request, &queue->requests, link) {
        if (now_us >= request->start_deadline_us) {
            dequeue(queue, request);
            *verdict = TARGETQUEUE_REFUSE;
            return request;
        }
    }
    if (!has_capacity(queue, now_us)) {
        return NULL;
    }
    demote_late(queue, now_us);
    request = TAILQ_FIRST(&queue->requests);
    if (request == NULL) {
        return NULL;
    }
    dequeue(queue, request);
    start(queue, request, now_us);
    *verdict = TARGETQUEUE_START;
    return request;
}

struct targetqueue_request *
targetqueue_first(struct targetqueue *queue)
{
    return TAILQ_FIRST(&queue->requests);
}

int64_t
targetqueue_wakeup_us(const struct targetqueue *queue, int64_t now_us)
{
    int64_t wake_us = INT64_MAX;
    const struct targetqueue_request *request;
    TAILQ_FOREACH (request, &queue->requests, link) {
        wake_us = request->start_deadline_us < wake_us
                      ? request->start_deadline_us
                      : wake_us;
    }
    if (queue->waiting > 0 && queue->running < queue->limit &&
        targetqueue_is_cold(queue, now_us)) {
        int64_t ready_us = cold_ready_us(queue);
        ready_us =
            ready_us < queue->cold_until_us ? ready_us : queue->cold_until_us;
        wake_us = ready_us < wake_us ? ready_us : wake_us;
    }
    return wake_us;
}

int64_t
targetqueue_expected_wait_us(const struct targetqueue *queue, int64_t now_us)
{
    return expected_wait_us(queue, queue->waiting, now_us);
}

unsigned
targetqueue_running(const struct targetqueue *queue)
{
    return queue->running;
}

unsigned
targetqueue_waiting(const struct targetqueue *queue)
{
    return queue->waiting;
}

unsigned
targetqueue_limit(const struct targetqueue *queue)
{
    return queue->limit;
}

int64_t
targetqueue_service_us(const struct targetqueue *queue)
{
    return queue->service_us;
}
