#include "base/runtime.h"

#include <assert.h>
#include <stdlib.h>
#include <time.h>

#include <event2/event.h>

#include "base/runtime_internal.h"

#define TIMER_HEAP_MIN_CAPACITY 64
#define MANUAL_WALL_START_MS INT64_C(1700000000000) /* 2023-11-14 */

struct runtime {
    struct event_base *event_base;
    struct event *timer_event; /* fires for the earliest timer */
    struct event *wake_event;  /* delivers posted messages */
    struct runtime_ready_tasks ready;
    bool manual;
    int64_t manual_now_us;
    /* Binary heap ordered by (due_us, order); index 0 is unused. */
    struct timer **heap;
    size_t heap_count;
    size_t heap_capacity;
    uint64_t next_order;
};

static bool
timer_fires_before(const struct timer *a, const struct timer *b)
{
    if (a->due_us != b->due_us) {
        return a->due_us < b->due_us;
    }
    return a->order < b->order;
}

static void
heap_set(struct runtime *runtime, size_t index, struct timer *timer)
{
    runtime->heap[index] = timer;
    timer->heap_index = index;
}

static void
heap_sift_up(struct runtime *runtime, size_t index)
{
    struct timer *timer = runtime->heap[index];
    while (index > 1 && timer_fires_before(timer, runtime->heap[index / 2])) {
        heap_set(runtime, index, runtime->heap[index / 2]);
        index /= 2;
    }
    heap_set(runtime, index, timer);
}

static void
heap_sift_down(struct runtime *runtime, size_t index)
{
    struct timer *timer = runtime->heap[index];
    for (;;) {
        size_t child = index * 2;
        if (child > runtime->heap_count) {
            break;
        }
        if (child < runtime->heap_count &&
            timer_fires_before(runtime->heap[child + 1],
                               runtime->heap[child])) {
            child++;
        }
        if (!timer_fires_before(runtime->heap[child], timer)) {
            break;
        }
        heap_set(runtime, index, runtime->heap[child]);
        index = child;
    }
    heap_set(runtime, index, timer);
}

static void
heap_push(struct runtime *runtime, struct timer *timer)
{
    if (runtime->heap_count + 1 >= runtime->heap_capacity) {
        const size_t capacity = runtime->heap_capacity == 0
                                    ? TIMER_HEAP_MIN_CAPACITY
                                    : runtime->heap_capacity * 2;
        struct timer **heap =
            realloc(runtime->heap, capacity * sizeof(runtime->heap[0]));
        if (heap == NULL) {
            abort();
        }
        runtime->heap = heap;
        runtime->heap_capacity = capacity;
    }
    runtime->heap_count++;
    heap_set(runtime, runtime->heap_count, timer);
    heap_sift_up(runtime, runtime->heap_count);
}

static void
heap_remove(struct runtime *runtime, struct timer *timer)
{
    const size_t index = timer->heap_index;
    struct timer *last = runtime->heap[runtime->heap_count--];
    timer->heap_index = 0;
    if (last == timer) {
        return;
    }
    heap_set(runtime, index, last);
    heap_sift_up(runtime, index);
    heap_sift_down(runtime, last->heap_index);
}

static void
runtime_arm_timer(struct runtime *runtime)
{
    if (runtime->manual) {
        return;
    }
    if (runtime->heap_count == 0) {
        event_del(runtime->timer_event);
        return;
    }
    int64_t wait_us = runtime->heap[1]->due_us - runtime_now_us(runtime);
    if (wait_us < 0) {
        wait_us = 0;
    }
    const struct timeval wait = {
        .tv_sec = wait_us / US_PER_SECOND,
        .tv_usec = wait_us % US_PER_SECOND,
    };
    event_add(runtime->timer_event, &wait);
}

static bool
runtime_fire_next_due(struct runtime *runtime, int64_t until_us)
{
    if (runtime->heap_count == 0 || runtime->heap[1]->due_us > until_us) {
        return false;
    }
    struct timer *timer = runtime->heap[1];
    if (runtime->manual && timer->due_us > runtime->manual_now_us) {
        runtime->manual_now_us = timer->due_us;
    }
    heap_remove(runtime, timer);
    timer->callback(timer->ctx);
    return true;
}

static void
runtime_on_timer(evutil_socket_t fd, short what, void *ctx)
{
    struct runtime *runtime = ctx;
    (void)fd;
    (void)what;
    const int64_t now_us = runtime_now_us(runtime);
    while (runtime_fire_next_due(runtime, now_us)) {
    }
    runtime_arm_timer(runtime);
}

static void
runtime_on_wake(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    task_deliver_all(ctx);
}

static struct runtime *
runtime_create_common(bool manual, int64_t start_us, struct error *err)
{
    struct runtime *runtime = calloc(1, sizeof(*runtime));
    if (runtime == NULL) {
        error_set(err, ERROR_NO_MEMORY, "runtime");
        return NULL;
    }
    runtime->manual = manual;
    runtime->manual_now_us = start_us;
    STAILQ_INIT(&runtime->ready);
    struct event_config *config = event_config_new();
    if (config == NULL) {
        goto fail;
    }
    /* Otherwise libevent rounds timeouts up to whole milliseconds. */
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    runtime->event_base = event_base_new_with_config(config);
    event_config_free(config);
    if (runtime->event_base == NULL) {
        goto fail;
    }
    runtime->timer_event =
        evtimer_new(runtime->event_base, runtime_on_timer, runtime);
    runtime->wake_event =
        evtimer_new(runtime->event_base, runtime_on_wake, runtime);
    if (runtime->timer_event == NULL || runtime->wake_event == NULL) {
        goto fail;
    }
    return runtime;

fail:
    error_set(err, ERROR_EVENT_LOOP, "runtime");
    runtime_destroy(runtime);
    return NULL;
}

struct runtime *
runtime_create(struct error *err)
{
    return runtime_create_common(false, 0, err);
}

struct runtime *
runtime_create_manual(int64_t start_us, struct error *err)
{
    return runtime_create_common(true, start_us, err);
}

void
runtime_destroy(struct runtime *runtime)
{
    if (runtime == NULL) {
        return;
    }
    if (runtime->timer_event != NULL) {
        event_free(runtime->timer_event);
    }
    if (runtime->wake_event != NULL) {
        event_free(runtime->wake_event);
    }
    if (runtime->event_base != NULL) {
        event_base_free(runtime->event_base);
    }
    free(runtime->heap);
    free(runtime);
}

struct event_base *
runtime_event_base(struct runtime *runtime)
{
    return runtime->event_base;
}

int64_t
runtime_now_us(const struct runtime *runtime)
{
    if (runtime->manual) {
        return runtime->manual_now_us;
    }
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * US_PER_SECOND + now.tv_nsec / 1000;
}

int64_t
runtime_wall_ms(const struct runtime *runtime)
{
    if (runtime->manual) {
        return MANUAL_WALL_START_MS + runtime->manual_now_us / US_PER_MS;
    }
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * (US_PER_SECOND / US_PER_MS) + now.tv_nsec / 1000000;
}

void
runtime_run(struct runtime *runtime)
{
    event_base_loop(runtime->event_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
runtime_stop(struct runtime *runtime)
{
    event_base_loopbreak(runtime->event_base);
}

void
runtime_poll(struct runtime *runtime)
{
    task_deliver_all(runtime);
    event_base_loop(runtime->event_base, EVLOOP_NONBLOCK);
}

void
runtime_advance(struct runtime *runtime, int64_t duration_us)
{
    assert(runtime->manual);
    const int64_t until_us = runtime->manual_now_us + duration_us;
    runtime_poll(runtime);
    while (runtime_fire_next_due(runtime, until_us)) {
        runtime_poll(runtime);
    }
    runtime->manual_now_us = until_us;
}

struct runtime_ready_tasks *
runtime_ready(struct runtime *runtime)
{
    return &runtime->ready;
}

void
runtime_wake(struct runtime *runtime)
{
    event_active(runtime->wake_event, EV_TIMEOUT, 1);
}

void
timer_init(struct timer *timer, struct runtime *runtime, timer_cb callback,
           void *ctx)
{
    *timer = (struct timer){
        .runtime = runtime,
        .callback = callback,
        .ctx = ctx,
    };
}

void
timer_start(struct timer *timer, int64_t delay_us)
{
    timer_start_at(timer, runtime_now_us(timer->runtime) + delay_us);
}

void
timer_start_at(struct timer *timer, int64_t due_us)
{
    struct runtime *runtime = timer->runtime;
    const struct timer *first =
        runtime->heap_count > 0 ? runtime->heap[1] : NULL;
    const bool was_first = timer == first;
    timer_stop(timer);
    timer->due_us = due_us;
    timer->order = runtime->next_order++;
    heap_push(runtime, timer);
    if (was_first || runtime->heap[1] == timer) {
        runtime_arm_timer(runtime);
    }
}

void
timer_stop(struct timer *timer)
{
    if (timer->heap_index != 0) {
        heap_remove(timer->runtime, timer);
    }
}

bool
timer_running(const struct timer *timer)
{
    return timer->heap_index != 0;
}
