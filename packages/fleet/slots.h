/**
 * @file
 * Admission to one target: how many requests it runs at once, how many it is
 * sent a second while it is cold, and who waits. Waiting requests are served
 * by priority, then by the time at which their answer stops counting in full;
 * those that have missed it come last of their priority, since the target
 * would otherwise be always at work on what is just too late.
 */
#ifndef CHESTNUTGAP_FLEET_SLOTS_H
#define CHESTNUTGAP_FLEET_SLOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#define SLOTS_COLD_MAX 256 /* requests a second that a cold target gets */

enum slots_verdict {
    SLOTS_START,  /**< send it now */
    SLOTS_WAIT,   /**< it is in the queue */
    SLOTS_REFUSE, /**< it will not be started in time; it has not run */
};

enum slots_state {
    SLOTS_STATE_NONE,
    SLOTS_STATE_WAITING,
    SLOTS_STATE_RUNNING,
};

/** A request, embedded in its owner. Set the fields above late. */
struct slots_entry {
    unsigned priority;  /**< 0 is the most urgent */
    int64_t due_us;     /**< then its answer stops counting in full */
    int64_t work_us;    /**< time that the target usually takes for it */
    int64_t give_up_us; /**< it is refused if it has not started by then */
    bool late;          /**< its answer cannot count in full any more */
    enum slots_state state;
    int64_t started_us;
    TAILQ_ENTRY(slots_entry) link;
};

/** Admission to one target. */
struct slots;

/** Aborts when memory is short. */
struct slots *slots_create(unsigned limit);
void slots_destroy(struct slots *slots);

/** Most requests that the target runs at once; at least 1. */
void slots_set_limit(struct slots *slots, unsigned limit);

/** The target is cold until then and bears per_s requests a second. A time
 * that has passed means that it is warm. */
void slots_set_cold(struct slots *slots, int64_t until_us, double per_s);

bool slots_is_cold(const struct slots *slots, int64_t now_us);

/** A request has arrived. */
enum slots_verdict slots_arrive(struct slots *slots, struct slots_entry *entry,
                                int64_t now_us);

/** A running request has ended, or a waiting one is withdrawn. answered: the
 * time that it took tells how fast the target is. */
void slots_leave(struct slots *slots, struct slots_entry *entry,
                 int64_t now_us, bool answered);

/** The next waiting request that has been decided, or NULL. Call it after
 * each event, and at slots_wake_us(), until it returns NULL. */
struct slots_entry *slots_next(struct slots *slots, int64_t now_us,
                               enum slots_verdict *verdict);

/** Any waiting request, or NULL; to refuse all of them. */
struct slots_entry *slots_first(struct slots *slots);

/** When slots_next() may have something without an event; INT64_MAX: not. */
int64_t slots_wake_us(const struct slots *slots, int64_t now_us);

/** How long a request that came now would wait. */
int64_t slots_wait_us(const struct slots *slots, int64_t now_us);

unsigned slots_running(const struct slots *slots);
unsigned slots_waiting(const struct slots *slots);
unsigned slots_limit(const struct slots *slots);

/** Smoothed time that the target takes for a request. */
int64_t slots_service_us(const struct slots *slots);

#endif
