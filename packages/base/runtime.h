/**
 * @file
 * Event loop with its clock and timers, the only source of time. A real
 * runtime uses CLOCK_BOOTTIME, which includes time spent in suspend; a manual
 * runtime's clock moves only when a test advances it.
 */
#ifndef CHESTNUTGAP_BASE_RUNTIME_H
#define CHESTNUTGAP_BASE_RUNTIME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/timeunits.h"

struct event_base;
struct runtime;

/** Called when a timer expires. */
typedef void (*timer_cb)(void *ctx);

/** A one-shot timer. Its members are private. */
struct timer {
    struct runtime *runtime;
    timer_cb callback;
    void *ctx;
    int64_t due_us;
    uint64_t order;
    size_t heap_index; /* 0 while stopped */
};

/** @return NULL with err set on failure */
struct runtime *runtime_create(struct error *err);

/**
 * Creates a runtime whose clock starts at start_us and is moved only by
 * runtime_advance(). Sockets work as in a real runtime.
 */
struct runtime *runtime_create_manual(int64_t start_us, struct error *err);

/** Tasks must be destroyed and timers stopped before. */
void runtime_destroy(struct runtime *runtime);

/** The libevent loop, for sockets. Owned by the runtime. */
struct event_base *runtime_event_base(struct runtime *runtime);

/** Monotonic time. */
int64_t runtime_now_us(const struct runtime *runtime);

/** Unix time. It may jump; use it only to compare with clocks of others. A
 * manual runtime's wall clock moves with its clock. */
int64_t runtime_wall_ms(const struct runtime *runtime);

/** Runs until runtime_stop(). */
void runtime_run(struct runtime *runtime);

/** Makes runtime_run() return after the current callback. */
void runtime_stop(struct runtime *runtime);

/** Handles all pending events without blocking. */
void runtime_poll(struct runtime *runtime);

/**
 * Advances a manual clock. Each timer fires at exactly its due time, in order,
 * and posted messages are delivered after each.
 */
void runtime_advance(struct runtime *runtime, int64_t duration_us);

/** Initializes a stopped timer. */
void timer_init(struct timer *timer, struct runtime *runtime,
                timer_cb callback, void *ctx);

/** (Re)starts the timer to fire once after delay_us (0 or more). */
void timer_start(struct timer *timer, int64_t delay_us);

/** (Re)starts the timer to fire once at due_us on the runtime's clock. */
void timer_start_at(struct timer *timer, int64_t due_us);

void timer_stop(struct timer *timer);

bool timer_running(const struct timer *timer);

#endif
