#include "fleet/targetqueue.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/runtime.h"

#define COLD_WINDOW_US                                                        \
    (1100 * US_PER_MS) /* a second, and what clocks differ */
#define SERVICE_DEFAULT_US (100 * US_PER_MS)
#define SERVICE_WEIGHT 16 /* answers that the smoothed time remembers */

TAILQ_HEAD(slots_queue, targetqueue_request);

struct slots {
    unsigned limit;
    unsigned running;
    unsigned waiting;
    struct slots_queue queue;
    int64_t cold_until_us;
    unsigned cold_max; /* starts within the window */
    int64_t
        starts_us[TARGETQUEUE_COLD_RATE_MAX]; /* ring of the latest starts */
    unsigned start_next;
    int64_t service_us;
};

struct slots *
targetqueue_create(unsigned limit)
{
    struct slots *slots = memory_zeroed(1, sizeof(*slots));
    TAILQ_INIT(&slots->queue);
    slots->cold_max = 1;
    slots->service_us = SERVICE_DEFAULT_US;
    for (unsigned i = 0; i < TARGETQUEUE_COLD_RATE_MAX; i++) {
        slots->starts_us[i] = INT64_MIN / 2;
    }
    targetqueue_set_limit(slots, limit);
    return slots;
}

void
targetqueue_destroy(struct slots *slots)
{
    free(slots);
}

void
targetqueue_set_limit(struct slots *slots, unsigned limit)
{
    slots->limit = limit > 0 ? limit : 1;
}

void
targetqueue_set_cold(struct slots *slots, int64_t until_us, double per_s)
{
    slots->cold_until_us = until_us;
    unsigned max = per_s >= TARGETQUEUE_COLD_RATE_MAX
                       ? TARGETQUEUE_COLD_RATE_MAX
                       : (unsigned)per_s;
    slots->cold_max = max > 0 ? max : 1;
}

bool
targetqueue_is_cold(const struct slots *slots, int64_t now_us)
{
    return now_us < slots->cold_until_us;
}

/** When a cold target may be sent one more request. */
static int64_t
cold_ready_us(const struct slots *slots)
{
    const unsigned oldest =
        (slots->start_next + TARGETQUEUE_COLD_RATE_MAX - slots->cold_max) %
        TARGETQUEUE_COLD_RATE_MAX;
    return slots->starts_us[oldest] + COLD_WINDOW_US;
}

static bool
has_room(const struct slots *slots, int64_t now_us)
{
    return slots->running < slots->limit &&
           (!targetqueue_is_cold(slots, now_us) ||
            now_us >= cold_ready_us(slots));
}

static void
start(struct slots *slots, struct targetqueue_request *entry, int64_t now_us)
{
    entry->state = TARGETQUEUE_STATE_RUNNING;
    entry->started_us = now_us;
    slots->running++;
    slots->starts_us[slots->start_next] = now_us;
    slots->start_next = (slots->start_next + 1) % TARGETQUEUE_COLD_RATE_MAX;
}

static bool
goes_before(const struct targetqueue_request *a,
            const struct targetqueue_request *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->late == b->late ? a->due_us < b->due_us : b->late;
}

static void
enqueue(struct slots *slots, struct targetqueue_request *entry)
{
    struct targetqueue_request *place;
    entry->state = TARGETQUEUE_STATE_WAITING;
    slots->waiting++;
    TAILQ_FOREACH (place, &slots->queue, link) {
        if (goes_before(entry, place)) {
            TAILQ_INSERT_BEFORE(place, entry, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&slots->queue, entry, link);
}

static void
dequeue(struct slots *slots, struct targetqueue_request *entry)
{
    TAILQ_REMOVE(&slots->queue, entry, link);
    slots->waiting--;
    entry->state = TARGETQUEUE_STATE_NONE;
}

/** Time until a request with so many before it in the queue starts. */
static int64_t
wait_behind_us(const struct slots *slots, unsigned before, int64_t now_us)
{
    int64_t wait_us = 0;
    if (slots->running >= slots->limit) {
        wait_us = slots->service_us * (before + 1) / slots->limit;
    }
    if (targetqueue_is_cold(slots, now_us)) {
        const int64_t cold_us =
            cold_ready_us(slots) - now_us +
            (int64_t)before * COLD_WINDOW_US / slots->cold_max;
        wait_us = cold_us > wait_us ? cold_us : wait_us;
    }
    return wait_us;
}

static unsigned
count_before(const struct slots *slots,
             const struct targetqueue_request *entry)
{
    const struct targetqueue_request *place;
    unsigned before = 0;
    TAILQ_FOREACH (place, &slots->queue, link) {
        if (goes_before(entry, place)) {
            break;
        }
        before++;
    }
    return before;
}

static bool
is_late(const struct targetqueue_request *entry, int64_t now_us)
{
    return now_us + entry->expected_service_us > entry->due_us;
}

/** Puts those behind that have become late while they waited. */
static void
demote_late(struct slots *slots, int64_t now_us)
{
    struct targetqueue_request *entry = TAILQ_FIRST(&slots->queue);
    while (entry != NULL) {
        struct targetqueue_request *next = TAILQ_NEXT(entry, link);
        if (!entry->late && is_late(entry, now_us)) {
            dequeue(slots, entry);
            entry->late = true;
            enqueue(slots, entry);
        }
        entry = next;
    }
}

enum targetqueue_verdict
targetqueue_admit(struct slots *slots, struct targetqueue_request *entry,
                  int64_t now_us)
{
    entry->late = is_late(entry, now_us);
    if (TAILQ_EMPTY(&slots->queue) && has_room(slots, now_us)) {
        start(slots, entry, now_us);
        return TARGETQUEUE_START;
    }
    demote_late(slots, now_us);
    const unsigned before = count_before(slots, entry);
    if (now_us + wait_behind_us(slots, before, now_us) > entry->give_up_us) {
        return TARGETQUEUE_REFUSE;
    }
    enqueue(slots, entry);
    return TARGETQUEUE_WAIT;
}

void
targetqueue_release(struct slots *slots, struct targetqueue_request *entry,
                    int64_t now_us, bool answered)
{
    if (entry->state == TARGETQUEUE_STATE_WAITING) {
        dequeue(slots, entry);
        return;
    }
    if (entry->state != TARGETQUEUE_STATE_RUNNING) {
        return;
    }
    entry->state = TARGETQUEUE_STATE_NONE;
    slots->running--;
    if (answered) {
        const int64_t took_us = now_us - entry->started_us;
        slots->service_us += (took_us - slots->service_us) / SERVICE_WEIGHT;
    }
}

struct targetqueue_request *
targetqueue_next(struct slots *slots, int64_t now_us,
                 enum targetqueue_verdict *verdict)
{
    struct targetqueue_request *entry;
    TAILQ_FOREACH (entry, &slots->queue, link) {
        if (now_us >= entry->give_up_us) {
            dequeue(slots, entry);
            *verdict = TARGETQUEUE_REFUSE;
            return entry;
        }
    }
    if (!has_room(slots, now_us)) {
        return NULL;
    }
    demote_late(slots, now_us);
    entry = TAILQ_FIRST(&slots->queue);
    if (entry == NULL) {
        return NULL;
    }
    dequeue(slots, entry);
    start(slots, entry, now_us);
    *verdict = TARGETQUEUE_START;
    return entry;
}

struct targetqueue_request *
targetqueue_first(struct slots *slots)
{
    return TAILQ_FIRST(&slots->queue);
}

int64_t
targetqueue_wakeup_us(const struct slots *slots, int64_t now_us)
{
    int64_t wake_us = INT64_MAX;
    const struct targetqueue_request *entry;
    TAILQ_FOREACH (entry, &slots->queue, link) {
        wake_us = entry->give_up_us < wake_us ? entry->give_up_us : wake_us;
    }
    if (slots->waiting > 0 && slots->running < slots->limit &&
        targetqueue_is_cold(slots, now_us)) {
        int64_t ready_us = cold_ready_us(slots);
        ready_us =
            ready_us < slots->cold_until_us ? ready_us : slots->cold_until_us;
        wake_us = ready_us < wake_us ? ready_us : wake_us;
    }
    return wake_us;
}

int64_t
targetqueue_expected_wait_us(const struct slots *slots, int64_t now_us)
{
    return wait_behind_us(slots, slots->waiting, now_us);
}

unsigned
targetqueue_running(const struct slots *slots)
{
    return slots->running;
}

unsigned
targetqueue_waiting(const struct slots *slots)
{
    return slots->waiting;
}

unsigned
targetqueue_limit(const struct slots *slots)
{
    return slots->limit;
}

int64_t
targetqueue_service_us(const struct slots *slots)
{
    return slots->service_us;
}
