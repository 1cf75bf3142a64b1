#include "fleet/targetqueue.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/timeunits.h"
#include "fleet/fairshare.h"
#include "fleet/ratelimit.h"
#include "fleet/startturns.h"

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
    struct ratelimit rate;
    struct fairshare *shares;
    int64_t service_us;
    struct startturns turns;
    int64_t started_sum_us; /* of the running requests */
};

struct targetqueue *
targetqueue_create(unsigned limit)
{
    struct targetqueue *queue = memory_calloc(1, sizeof(*queue));
    TAILQ_INIT(&queue->requests);
    queue->cold_max = 1;
    queue->shares = fairshare_create();
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
    if (queue == NULL) {
        return;
    }
    fairshare_destroy(queue->shares);
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

void
targetqueue_set_rate(struct targetqueue *queue, double per_s, int64_t now_us)
{
    ratelimit_set(&queue->rate, per_s, now_us);
}

void
targetqueue_clear_rate(struct targetqueue *queue)
{
    ratelimit_clear(&queue->rate);
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
           now_us >= ratelimit_ready_us(&queue->rate) &&
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
    fairshare_record_start(queue->shares, request->flow);
    queue->started_sum_us += now_us;
    ratelimit_record_start(&queue->rate, now_us);
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
    fairshare_add_waiting(request->flow);
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
    fairshare_remove_waiting(request->flow);
    request->state = TARGETQUEUE_STATE_NONE;
}

/** Service time at the target's present speed. Answers tell of a slowdown only
 * when the first slow requests end; until then, the running ones show it. */
static int64_t
present_service_us(const struct targetqueue *queue, int64_t now_us)
{
    const int64_t mean_age_us =
        queue->running > 0 ? now_us - queue->started_sum_us / queue->running
                           : 0;
    return mean_age_us > queue->service_us ? mean_age_us : queue->service_us;
}

/** Expected wait of a request behind that many others, for a free slot. */
static int64_t
slot_wait_us(const struct targetqueue *queue, unsigned ahead, int64_t now_us)
{
    return queue->running >= queue->limit
               ? present_service_us(queue, now_us) * (ahead + 1) / queue->limit
               : 0;
}

/** The same, for a start at a cold target. */
static int64_t
cold_wait_us(const struct targetqueue *queue, unsigned ahead, int64_t now_us)
{
    return targetqueue_is_cold(queue, now_us)
               ? cold_ready_us(queue) - now_us +
                     (int64_t)ahead * COLD_WINDOW_US / queue->cold_max
               : 0;
}

/** The longest of the expected waits of a request behind that many others, and
 * the limit that causes it. */
static int64_t
longest_wait_us(const struct targetqueue *queue, unsigned ahead,
                int64_t now_us, enum targetqueue_bound *bound)
{
    const int64_t waits_us[] = {
        [TARGETQUEUE_BOUND_NONE] = 0,
        [TARGETQUEUE_BOUND_SLOTS] = slot_wait_us(queue, ahead, now_us),
        [TARGETQUEUE_BOUND_COLD] = cold_wait_us(queue, ahead, now_us),
        [TARGETQUEUE_BOUND_RATE] =
            ratelimit_wait_us(&queue->rate, ahead, now_us),
    };
    *bound = TARGETQUEUE_BOUND_NONE;
    for (int i = 0; i <= TARGETQUEUE_BOUND_RATE; i++) {
        if (waits_us[i] > waits_us[*bound]) {
            *bound = (enum targetqueue_bound)i;
        }
    }
    return waits_us[*bound];
}

static int64_t
expected_wait_us(const struct targetqueue *queue, unsigned ahead,
                 int64_t now_us)
{
    enum targetqueue_bound bound;
    return longest_wait_us(queue, ahead, now_us, &bound);
}

enum targetqueue_bound
targetqueue_bound(const struct targetqueue *queue, int64_t now_us)
{
    enum targetqueue_bound bound;
    longest_wait_us(queue, queue->waiting, now_us, &bound);
    return bound;
}

const char *
targetqueue_bound_name(enum targetqueue_bound bound)
{
    static const char *const names[] = {
        [TARGETQUEUE_BOUND_NONE] = "none",
        [TARGETQUEUE_BOUND_SLOTS] = "slots",
        [TARGETQUEUE_BOUND_COLD] = "cold",
        [TARGETQUEUE_BOUND_RATE] = "rate",
    };
    return names[bound];
}

/** True for the request itself, and for those behind it in the list. */
static bool
is_from(const struct targetqueue_request *other,
        const struct targetqueue_request *request)
{
    return other == request || is_before(request, other);
}

/** Number of waiting requests of the same workspace and priority that start
 * before the request, which may be new. */
static unsigned
count_before_in_flow(const struct targetqueue *queue,
                     const struct targetqueue_request *request)
{
    const struct targetqueue_request *other;
    unsigned ahead = 0;
    TAILQ_FOREACH (other, &queue->requests, link) {
        if (is_from(other, request)) {
            break;
        }
        ahead += other->flow == request->flow;
    }
    return ahead;
}

/** Number of waiting requests that start before the request, which may be new.
 */
static unsigned
count_before(const struct targetqueue *queue,
             const struct targetqueue_request *request)
{
    const double tag = fairshare_start_tag(
        queue->shares, request->flow, count_before_in_flow(queue, request));
    struct targetqueue_request *other;
    unsigned ahead = 0;
    bool listed_before = true;
    fairshare_begin_pass(queue->shares);
    TAILQ_FOREACH (other, &queue->requests, link) {
        listed_before = listed_before && !is_from(other, request);
        if (other->priority > request->priority) {
            break;
        }
        if (other->priority < request->priority ||
            other->flow == request->flow) {
            ahead += listed_before;
            continue;
        }
        const double other_tag =
            fairshare_next_tag(queue->shares, other->flow);
        ahead += other_tag < tag || (other_tag == tag && listed_before);
    }
    return ahead;
}

/** The request of that one's priority whose workspace is furthest behind its
 * share, from that one on; NULL if it is NULL. */
static struct targetqueue_request *
best_by_share(const struct targetqueue *queue,
              struct targetqueue_request *first)
{
    struct targetqueue_request *best = first;
    struct targetqueue_request *other;
    double best_tag = 0;
    fairshare_begin_pass(queue->shares);
    for (other = first; other != NULL && other->priority == first->priority;
         other = TAILQ_NEXT(other, link)) {
        const double tag = fairshare_next_tag(queue->shares, other->flow);
        if (other == first || tag < best_tag) {
            best = other;
            best_tag = tag;
        }
    }
    return best;
}

/** True if starts are shared between priorities. The wait for a rate limit is
 * promised by position in the queue. */
static bool
shares_starts(const struct targetqueue *queue)
{
    return ratelimit_ready_us(&queue->rate) == INT64_MIN;
}

/** Number of starts before that of the request. */
static unsigned
starts_before(const struct targetqueue *queue,
              const struct targetqueue_request *request)
{
    const unsigned ahead = count_before(queue, request);
    const struct targetqueue_request *other;
    unsigned urgent = 0;
    if (request->late || !shares_starts(queue)) {
        return ahead;
    }
    TAILQ_FOREACH (other, &queue->requests, link) {
        urgent += other->priority < request->priority;
    }
    const unsigned shared = startturns_before(ahead - urgent);
    return shared < ahead ? shared : ahead;
}

/** The first request of the priority whose turn it is, or NULL. */
static struct targetqueue_request *
first_in_turn(struct targetqueue *queue)
{
    struct targetqueue_request *first = TAILQ_FIRST(&queue->requests);
    struct targetqueue_request *request;
    if (!startturns_is_less_urgent(&queue->turns) || !shares_starts(queue)) {
        return first;
    }
    TAILQ_FOREACH (request, &queue->requests, link) {
        if (request->priority > first->priority && !request->late) {
            return request;
        }
    }
    return first;
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

/** True if others will always overtake the request: it is late, and more
 * requests arrive than the rate limit allows. Those that other targets may run
 * arrive at several gates, so that their number says little here. */
static bool
is_starved(const struct targetqueue *queue,
           const struct targetqueue_request *request, int64_t now_us)
{
    return request->keyed && request->late &&
           ratelimit_is_saturated(&queue->rate, now_us);
}

/** Whether the rate limit has a start for the request that first attempts are
 * not likely to need. */
static bool
may_take_start(const struct targetqueue *queue,
               const struct targetqueue_request *request, int64_t now_us)
{
    return !request->repeated || ratelimit_has_reserve(&queue->rate, now_us);
}

enum targetqueue_verdict
targetqueue_admit(struct targetqueue *queue,
                  struct targetqueue_request *request, int64_t now_us)
{
    request->late = is_late(request, now_us);
    request->flow = fairshare_find(queue->shares, request->workspace,
                                   request->priority, now_us);
    if (!request->arrived) {
        request->arrived = true;
        fairshare_record_arrival(request->flow, now_us);
    }
    if (request->keyed) {
        ratelimit_record_demand(&queue->rate, now_us);
    }
    if (TAILQ_EMPTY(&queue->requests) && has_capacity(queue, now_us) &&
        may_take_start(queue, request, now_us)) {
        start(queue, request, now_us);
        return TARGETQUEUE_START;
    }
    if (!may_take_start(queue, request, now_us)) {
        return TARGETQUEUE_REFUSE;
    }
    demote_late(queue, now_us);
    const unsigned ahead = starts_before(queue, request);
    if (now_us + expected_wait_us(queue, ahead, now_us) >
            request->start_deadline_us ||
        is_starved(queue, request, now_us)) {
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
    queue->started_sum_us -= request->started_us;
    if (answered) {
        const int64_t took_us = now_us - request->started_us;
        queue->service_us += (took_us - queue->service_us) / SERVICE_SMOOTHING;
    }
}

/** True if the rate limit lets the request start too late, which is behind
 * that many others in the list. */
static bool
is_beyond_rate(const struct targetqueue *queue,
               const struct targetqueue_request *request, unsigned listed,
               int64_t now_us)
{
    const int64_t left_us = request->start_deadline_us - now_us;
    /* Shares may put it before others that are listed before it. */
    return ratelimit_wait_us(&queue->rate, listed, now_us) > left_us &&
           ratelimit_wait_us(&queue->rate, count_before(queue, request),
                             now_us) > left_us;
}

/** The first waiting request whose latest start has passed, or lies before the
 * rate limit lets it start; NULL if there is none. */
static struct targetqueue_request *
first_too_late(const struct targetqueue *queue, int64_t now_us)
{
    struct targetqueue_request *request;
    unsigned ahead = 0;
    TAILQ_FOREACH (request, &queue->requests, link) {
        if (now_us >= request->start_deadline_us ||
            is_beyond_rate(queue, request, ahead, now_us) ||
            is_starved(queue, request, now_us)) {
            return request;
        }
        ahead++;
    }
    return NULL;
}

struct targetqueue_request *
targetqueue_next(struct targetqueue *queue, int64_t now_us,
                 enum targetqueue_verdict *verdict)
{
    struct targetqueue_request *request = first_too_late(queue, now_us);
    if (request != NULL) {
        dequeue(queue, request);
        *verdict = TARGETQUEUE_REFUSE;
        return request;
    }
    if (!has_capacity(queue, now_us)) {
        return NULL;
    }
    demote_late(queue, now_us);
    request = best_by_share(queue, first_in_turn(queue));
    if (request == NULL) {
        return NULL;
    }
    startturns_record(&queue->turns,
                      request->priority !=
                          TAILQ_FIRST(&queue->requests)->priority);
    dequeue(queue, request);
    start(queue, request, now_us);
    *verdict = TARGETQUEUE_START;
    return request;
}

struct targetqueue_request *
targetqueue_first(struct targetqueue *queue)
{
    return best_by_share(queue, TAILQ_FIRST(&queue->requests));
}

/** When the cold start and the rate limit allow the next start; INT64_MAX
 * without either. */
static int64_t
next_start_us(const struct targetqueue *queue, int64_t now_us)
{
    int64_t ready_us = ratelimit_ready_us(&queue->rate);
    if (targetqueue_is_cold(queue, now_us)) {
        int64_t cold_us = cold_ready_us(queue);
        cold_us =
            cold_us < queue->cold_until_us ? cold_us : queue->cold_until_us;
        ready_us = cold_us > ready_us ? cold_us : ready_us;
    }
    return ready_us != INT64_MIN ? ready_us : INT64_MAX;
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
    if (queue->waiting > 0 && queue->running < queue->limit) {
        const int64_t ready_us = next_start_us(queue, now_us);
        wake_us = ready_us < wake_us ? ready_us : wake_us;
    }
    return wake_us;
}

int64_t
targetqueue_expected_wait_us(const struct targetqueue *queue, int64_t now_us)
{
    return expected_wait_us(queue, queue->waiting, now_us);
}

int64_t
targetqueue_assign_return_us(struct targetqueue *queue, int64_t now_us)
{
    return ratelimit_assign_return_us(
        &queue->rate, expected_wait_us(queue, queue->waiting, now_us), now_us);
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
