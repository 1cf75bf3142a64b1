/**
 * @file
 * Admission to one target: how many requests it runs at once, how many it is
 * sent a second while it is cold, and who waits. Waiting requests are served
 * by priority, then by the time at which their answer stops counting in full;
 * those that have missed it come last of their priority, since the target
 * would otherwise be always at work on what is just too late.
 */
#ifndef CHESTNUTGAP_FLEET_TARGETQUEUE_H
#define CHESTNUTGAP_FLEET_TARGETQUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#define TARGETQUEUE_COLD_RATE_MAX                                             \
    256 /* requests a second that a cold target gets */

enum targetqueue_verdict {
    TARGETQUEUE_START,  /**< send it now */
    TARGETQUEUE_WAIT,   /**< it is in the queue */
    TARGETQUEUE_REFUSE, /**< it will not be started in time; it has not run */
};

enum targetqueue_state {
    TARGETQUEUE_STATE_NONE,
    TARGETQUEUE_STATE_WAITING,
    TARGETQUEUE_STATE_RUNNING,
};

/** A request, embedded in its owner. Set the fields above late. */
struct targetqueue_request {
    unsigned priority; /**< 0 is the most urgent */
    int64_t due_us;    /**< then its answer stops counting in full */
    int64_t
        expected_service_us; /**< time that the target usually takes for it */
    int64_t give_up_us; /**< it is refused if it has not started by then */
    bool late;          /**< its answer cannot count in full any more */
    enum targetqueue_state state;
    int64_t started_us;
    TAILQ_ENTRY(targetqueue_request) link;
};

/** Admission to one target. */
struct slots;

/** Aborts when memory is short. */
struct slots *targetqueue_create(unsigned limit);
void targetqueue_destroy(struct slots *slots);

/** Most requests that the target runs at once; at least 1. */
void targetqueue_set_limit(struct slots *slots, unsigned limit);

/** The target is cold until then and bears per_s requests a second. A time
 * that has passed means that it is warm. */
void targetqueue_set_cold(struct slots *slots, int64_t until_us, double per_s);

bool targetqueue_is_cold(const struct slots *slots, int64_t now_us);

/** A request has arrived. */
enum targetqueue_verdict targetqueue_admit(struct slots *slots,
                                           struct targetqueue_request *entry,
                                           int64_t now_us);

/** A running request has ended, or a waiting one is withdrawn. answered: the
 * time that it took tells how fast the target is. */
void targetqueue_release(struct slots *slots,
                         struct targetqueue_request *entry, int64_t now_us,
                         bool answered);

/** The next waiting request that has been decided, or NULL. Call it after
 * each event, and at targetqueue_wakeup_us(), until it returns NULL. */
struct targetqueue_request *
targetqueue_next(struct slots *slots, int64_t now_us,
                 enum targetqueue_verdict *verdict);

/** Any waiting request, or NULL; to refuse all of them. */
struct targetqueue_request *targetqueue_first(struct slots *slots);

/** When targetqueue_next() may have something without an event; INT64_MAX:
 * not. */
int64_t targetqueue_wakeup_us(const struct slots *slots, int64_t now_us);

/** How long a request that came now would wait. */
int64_t targetqueue_expected_wait_us(const struct slots *slots,
                                     int64_t now_us);

unsigned targetqueue_running(const struct slots *slots);
unsigned targetqueue_waiting(const struct slots *slots);
unsigned targetqueue_limit(const struct slots *slots);

/** Smoothed time that the target takes for a request. */
int64_t targetqueue_service_us(const struct slots *slots);

#endif
