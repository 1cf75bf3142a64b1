/**
 * @file
 * Admission control and queue of one target: limits concurrent requests, and
 * the rate of starts while the target is cold or names a rate limit. Waiting
 * requests are ordered by priority, then by fair shares between workspaces,
 * then by objective deadline; without a rate limit, one of some starts goes to
 * a less urgent priority, so that none starves while more urgent requests fill
 * the target. Requests that have missed the objective come last within their
 * priority and workspace: under overload, the target would otherwise only run
 * requests that are just too late. Under a rate limit
 * a request that another has overtaken is refused as soon as its turn comes
 * too late, a keyed one also when it is late and more of them arrive than the
 * limit allows, and a repeated one doesn't wait.
 */
#ifndef CHESTNUTGAP_FLEET_TARGETQUEUE_H
#define CHESTNUTGAP_FLEET_TARGETQUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

struct fairshare_flow;

#define TARGETQUEUE_COLD_RATE_MAX 256 /* requests per second */

enum targetqueue_verdict {
    TARGETQUEUE_START,  /**< send the request now */
    TARGETQUEUE_WAIT,   /**< the request is in the queue */
    TARGETQUEUE_REFUSE, /**< it cannot start in time; it has not run */
};

/** The limit that keeps a new request from starting at once. */
enum targetqueue_bound {
    TARGETQUEUE_BOUND_NONE,
    TARGETQUEUE_BOUND_SLOTS, /**< concurrent requests */
    TARGETQUEUE_BOUND_COLD,  /**< starts of a cold target */
    TARGETQUEUE_BOUND_RATE,  /**< the target's rate limit */
};

/** The text of a bound, for logs. */
const char *targetqueue_bound_name(enum targetqueue_bound bound);

enum targetqueue_state {
    TARGETQUEUE_STATE_NONE,
    TARGETQUEUE_STATE_WAITING,
    TARGETQUEUE_STATE_RUNNING,
};

/** A request, embedded in its owner, which sets the fields above flow. All
 * others begin as zero. */
struct targetqueue_request {
    unsigned priority; /**< 0 is the most urgent */
    int64_t objective_deadline_us;
    int64_t expected_service_us; /**< usual for its route */
    int64_t start_deadline_us;   /**< latest start; refused after it */
    uint64_t workspace;          /**< hash of its name; 0: none */
    bool keyed;                  /**< no other target can run it */
    bool repeated; /**< it has reached a target before, or may have */
    struct fairshare_flow *flow; /**< of its workspace, while it waits */
    bool arrived;                /**< it counts as demand of its workspace */
    bool late;                   /**< the objective deadline cannot be met */
    enum targetqueue_state state;
    int64_t started_us;
    TAILQ_ENTRY(targetqueue_request) link;
};

/** Queue of one target. */
struct targetqueue;

/** Aborts if out of memory. */
struct targetqueue *targetqueue_create(unsigned limit);
void targetqueue_destroy(struct targetqueue *queue);

/** Sets the maximum of concurrent requests; 0 counts as 1. */
void targetqueue_set_limit(struct targetqueue *queue, unsigned limit);

/** Limits starts to per_s requests per second until until_us, or not at all if
 * that has passed. */
void targetqueue_set_cold(struct targetqueue *queue, int64_t until_us,
                          double per_s);

/** Limits starts to per_s requests per second, until the next call of one of
 * these. */
void targetqueue_set_rate(struct targetqueue *queue, double per_s,
                          int64_t now_us);
void targetqueue_clear_rate(struct targetqueue *queue);

/** The limit for which a new request would wait longest. */
enum targetqueue_bound targetqueue_bound(const struct targetqueue *queue,
                                         int64_t now_us);

bool targetqueue_is_cold(const struct targetqueue *queue, int64_t now_us);

/** Starts, queues or refuses a new request. */
enum targetqueue_verdict targetqueue_admit(struct targetqueue *queue,
                                           struct targetqueue_request *request,
                                           int64_t now_us);

/** Removes a request that has ended or is withdrawn from the queue. answered:
 * its duration enters the smoothed service time. */
void targetqueue_release(struct targetqueue *queue,
                         struct targetqueue_request *request, int64_t now_us,
                         bool answered);

/** Removes and returns the next waiting request to start or refuse, or NULL.
 * Call it after each event and at targetqueue_wakeup_us() until it returns
 * NULL. */
struct targetqueue_request *
targetqueue_next(struct targetqueue *queue, int64_t now_us,
                 enum targetqueue_verdict *verdict);

/** The first waiting request, or NULL. */
struct targetqueue_request *targetqueue_first(struct targetqueue *queue);

/** When to call targetqueue_next() if no event comes first, or INT64_MAX. */
int64_t targetqueue_wakeup_us(const struct targetqueue *queue, int64_t now_us);

/** Expected wait of a request that arrived now. */
int64_t targetqueue_expected_wait_us(const struct targetqueue *queue,
                                     int64_t now_us);

/** After how long a request that is refused now should return. */
int64_t targetqueue_assign_return_us(struct targetqueue *queue,
                                     int64_t now_us);

unsigned targetqueue_running(const struct targetqueue *queue);
unsigned targetqueue_waiting(const struct targetqueue *queue);
unsigned targetqueue_limit(const struct targetqueue *queue);

/** Smoothed service time of the target's requests. */
int64_t targetqueue_service_us(const struct targetqueue *queue);

#endif
