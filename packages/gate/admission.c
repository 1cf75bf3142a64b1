#include "gate/admission.h"

#include <stdlib.h>

#include "base/invariant.h"

#define US_PER_MS INT64_C(1000)

#define SUSPECTS_WAITING_MAX 32
/* Time for other requests between two that run alone. */
#define ALONE_GAP_SERVICE_TIMES 4
#define NO_LEASE_RETRY_MS 200
#define MOVING_RETRY_MS 50
#define UNSET_US (-1)

TAILQ_HEAD(admission_list, admission_request);

struct admission {
    struct limit *limit;
    struct queue queue;
    struct suspects *suspects;
    admission_owner_cb owner;
    void *owner_ctx;
    int64_t lease_until_us;
    int64_t leaving_since_us;
    int64_t zone_out_since_us;
    struct admission_list in_flight;
    struct admission_list suspects_waiting;
    size_t suspects_waiting_count;
    struct admission_request *alone; /* request that runs alone now, or NULL */
    int64_t alone_ended_us;
};

struct admission *
admission_create(const struct limit_config *config, struct suspects *suspects,
                 admission_owner_cb owner, void *owner_ctx, int64_t now_us)
{
    struct admission *admission = calloc(1, sizeof(*admission));
    if (admission == NULL) {
        return NULL;
    }
    admission->limit = limit_create(config, now_us);
    if (admission->limit == NULL) {
        free(admission);
        return NULL;
    }
    queue_init(&admission->queue);
    TAILQ_INIT(&admission->in_flight);
    TAILQ_INIT(&admission->suspects_waiting);
    admission->suspects = suspects;
    admission->owner = owner;
    admission->owner_ctx = owner_ctx;
    admission->lease_until_us = now_us;
    admission->leaving_since_us = UNSET_US;
    admission->zone_out_since_us = UNSET_US;
    return admission;
}

void
admission_destroy(struct admission *admission)
{
    if (admission != NULL) {
        limit_destroy(admission->limit);
        free(admission);
    }
}

struct limit *
admission_limit(struct admission *admission)
{
    return admission->limit;
}

void
admission_set_lease(struct admission *admission, int64_t until_us)
{
    admission->lease_until_us = until_us;
}

static void
admission_update_since(int64_t *since_us, bool on, int64_t now_us)
{
    if (!on) {
        *since_us = UNSET_US;
    }
    else if (*since_us == UNSET_US) {
        *since_us = now_us;
    }
}

void
admission_set_leaving(struct admission *admission, bool leaving,
                      int64_t now_us)
{
    admission_update_since(&admission->leaving_since_us, leaving, now_us);
}

void
admission_set_zone_out(struct admission *admission, bool out, int64_t now_us)
{
    admission_update_since(&admission->zone_out_since_us, out, now_us);
}

static struct admission_decision
admission_refuse(enum forward_reason reason, uint32_t retry_after_ms)
{
    return (struct admission_decision){
        .verdict = ADMISSION_REFUSE,
        .reason = reason,
        .retry_after_ms = retry_after_ms,
    };
}

static struct admission_decision
admission_dispatch(void)
{
    return (struct admission_decision){.verdict = ADMISSION_DISPATCH};
}

static bool
admission_grace_expired(int64_t since_us, bool keyed, int64_t now_us)
{
    if (since_us == UNSET_US) {
        return false;
    }
    return !keyed || now_us - since_us >= ADMISSION_GRACE_US;
}

static struct admission_decision
admission_check_shard(const struct admission *admission,
                      const struct admission_request *request)
{
    uint64_t epoch = 0;
    switch (admission->owner(admission->owner_ctx, request->shard, &epoch)) {
    case ADMISSION_OWNED:
        break;
    case ADMISSION_DRAINING:
        if (request->begun) {
            break;
        }
        return admission_refuse(FORWARD_REASON_NOT_OWNER, MOVING_RETRY_MS);
    case ADMISSION_MOVING:
        return admission_refuse(FORWARD_REASON_NOT_OWNER, MOVING_RETRY_MS);
    case ADMISSION_NOT_OWNED:
        return admission_refuse(FORWARD_REASON_NOT_OWNER, 0);
    }
    /* The entry knows of a later owner. */
    if (request->epoch > epoch) {
        return admission_refuse(FORWARD_REASON_NOT_OWNER, 0);
    }
    return admission_dispatch();
}

struct admission_decision
admission_check_owner(const struct admission *admission,
                      const struct admission_request *request, int64_t now_us)
{
    if (now_us >= request->entry.deadline_us) {
        return admission_refuse(FORWARD_REASON_DEADLINE, 0);
    }
    if (now_us >= admission->lease_until_us) {
        return admission_refuse(FORWARD_REASON_NO_LEASE, NO_LEASE_RETRY_MS);
    }
    if (request->keyed) {
        return admission_check_shard(admission, request);
    }
    return admission_dispatch();
}

static struct admission_decision
admission_check(const struct admission *admission,
                const struct admission_request *request, int64_t now_us)
{
    if (admission_grace_expired(admission->leaving_since_us, request->keyed,
                                now_us)) {
        return admission_refuse(FORWARD_REASON_DRAINING, 0);
    }
    if (admission_grace_expired(admission->zone_out_since_us, request->keyed,
                                now_us)) {
        return admission_refuse(FORWARD_REASON_ZONE_OUT, 0);
    }
    if (suspects_get_status(admission->suspects, now_us,
                            request->fingerprint) == SUSPECTS_QUARANTINED) {
        return admission_refuse(FORWARD_REASON_SUSPECT,
                                SUSPECTS_QUARANTINE_US / US_PER_MS);
    }
    return admission_check_owner(admission, request, now_us);
}

static struct queue_capacity
admission_capacity(const struct admission *admission, int64_t now_us)
{
    const int64_t latency_us = limit_latency_us(admission->limit);
    const int64_t baseline_us = limit_baseline_us(admission->limit);
    return (struct queue_capacity){
        .limit = limit_current(admission->limit, now_us),
        .service_us = latency_us > 0 ? latency_us : baseline_us,
    };
}

/* Whether a request that isn't a suspect may start now. */
static bool
admission_has_capacity(const struct admission *admission, int64_t now_us)
{
    return admission->alone == NULL &&
           limit_has_capacity(admission->limit, now_us);
}

bool
admission_prefers_other_target(const struct admission *admission,
                               int64_t now_us)
{
    const enum limit_phase phase = limit_phase(admission->limit);
    if (phase == LIMIT_DEGRADED) {
        return true;
    }
    if (admission_has_capacity(admission, now_us)) {
        return false;
    }
    const struct queue_capacity capacity =
        admission_capacity(admission, now_us);
    return phase == LIMIT_COLD || queue_wait_us(&admission->queue, &capacity,
                                                false) > capacity.service_us;
}

static void
admission_put_in_flight(struct admission *admission,
                        struct admission_request *request, bool alone,
                        int64_t now_us)
{
    limit_start(admission->limit, now_us);
    request->state = ADMISSION_STATE_IN_FLIGHT;
    request->dispatched_us = now_us;
    request->alone = alone;
    if (alone) {
        admission->alone = request;
    }
    TAILQ_INSERT_TAIL(&admission->in_flight, request, link);
}

static struct admission_decision
admission_queue_suspect(struct admission *admission,
                        struct admission_request *request)
{
    if (admission->suspects_waiting_count >= SUSPECTS_WAITING_MAX) {
        return admission_refuse(FORWARD_REASON_SUSPECT, 1000);
    }
    request->state = ADMISSION_STATE_WAITING;
    request->alone = true;
    TAILQ_INSERT_TAIL(&admission->suspects_waiting, request, link);
    admission->suspects_waiting_count++;
    return (struct admission_decision){.verdict = ADMISSION_QUEUED};
}

static struct admission_decision
admission_refuse_full(const struct admission *admission,
                      const struct queue_capacity *capacity)
{
    const bool cold = limit_phase(admission->limit) != LIMIT_WARM;
    return admission_refuse(cold ? FORWARD_REASON_COLD
                                 : FORWARD_REASON_OVERLOADED,
                            queue_retry_after_ms(&admission->queue, capacity));
}

/* Movable requests don't wait for a slow or cold target. */
static bool
admission_may_queue(const struct admission *admission,
                    const struct admission_request *request)
{
    if (request->hedge) {
        return false;
    }
    return !request->entry.movable ||
           limit_phase(admission->limit) == LIMIT_WARM;
}

struct admission_decision
admission_arrive(struct admission *admission,
                 struct admission_request *request, int64_t now_us)
{
    struct admission_decision decision =
        admission_check(admission, request, now_us);
    if (decision.verdict != ADMISSION_DISPATCH) {
        return decision;
    }
    if (request->suspect) {
        suspects_report(admission->suspects, now_us, request->fingerprint,
                        false);
    }
    if (suspects_get_status(admission->suspects, now_us,
                            request->fingerprint) == SUSPECTS_SUSPECT) {
        return admission_queue_suspect(admission, request);
    }
    if (queue_count(&admission->queue) == 0 &&
        TAILQ_EMPTY(&admission->suspects_waiting) &&
        admission_has_capacity(admission, now_us)) {
        admission_put_in_flight(admission, request, false, now_us);
        return decision;
    }
    const struct queue_capacity capacity =
        admission_capacity(admission, now_us);
    if (!admission_may_queue(admission, request) ||
        !queue_push(&admission->queue, &capacity, &request->entry, now_us)) {
        return admission_refuse_full(admission, &capacity);
    }
    request->state = ADMISSION_STATE_WAITING;
    decision.verdict = ADMISSION_QUEUED;
    return decision;
}

bool
admission_lease_held(const struct admission *admission, int64_t now_us)
{
    return now_us < admission->lease_until_us;
}

static bool
admission_max_grace_expired(int64_t since_us, int64_t now_us)
{
    return since_us != UNSET_US && now_us - since_us >= ADMISSION_GRACE_MAX_US;
}

struct admission_decision
admission_start(struct admission *admission, struct admission_request *request,
                int64_t now_us)
{
    const struct admission_decision decision =
        admission_check(admission, request, now_us);
    if (decision.verdict == ADMISSION_REFUSE) {
        admission_finish(admission, request, now_us, LIMIT_SAMPLE_ABANDONED);
        return decision;
    }
    invariant_check(INVARIANT_LEASE_HELD,
                    admission_lease_held(admission, now_us),
                    "admission_start");
    invariant_check(
        INVARIANT_LEAVING,
        !admission_max_grace_expired(admission->leaving_since_us, now_us),
        "admission_start");
    invariant_check(
        INVARIANT_ZONE_OUT,
        !admission_max_grace_expired(admission->zone_out_since_us, now_us),
        "admission_start");
    return decision;
}

void
admission_finish(struct admission *admission,
                 struct admission_request *request, int64_t now_us,
                 enum limit_sample sample)
{
    if (request->state != ADMISSION_STATE_IN_FLIGHT) {
        return;
    }
    request->state = ADMISSION_STATE_NONE;
    TAILQ_REMOVE(&admission->in_flight, request, link);
    limit_finish(admission->limit, now_us, now_us - request->dispatched_us,
                 sample);
    if (request->alone) {
        admission->alone = NULL;
        admission->alone_ended_us = now_us;
        if (sample == LIMIT_SAMPLE_ANSWERED) {
            suspects_clear(admission->suspects, request->fingerprint);
        }
    }
}

static void
admission_dequeue_suspect(struct admission *admission,
                          struct admission_request *request)
{
    TAILQ_REMOVE(&admission->suspects_waiting, request, link);
    admission->suspects_waiting_count--;
    request->state = ADMISSION_STATE_NONE;
}

void
admission_cancel(struct admission *admission,
                 struct admission_request *request, int64_t now_us)
{
    if (request->state == ADMISSION_STATE_IN_FLIGHT) {
        admission_finish(admission, request, now_us, LIMIT_SAMPLE_ABANDONED);
        return;
    }
    if (request->state != ADMISSION_STATE_WAITING) {
        return;
    }
    if (request->alone) {
        admission_dequeue_suspect(admission, request);
        return;
    }
    queue_remove(&admission->queue, &request->entry);
    request->state = ADMISSION_STATE_NONE;
}

void
admission_tick(struct admission *admission, int64_t now_us)
{
    limit_tick(admission->limit, now_us);
}

static struct admission_request *
admission_request_of_entry(struct queue_entry *entry)
{
    /* entry is the first member. */
    return (struct admission_request *)entry;
}

static struct admission_request *
admission_next_suspect(struct admission *admission, int64_t now_us,
                       struct admission_decision *decision)
{
    struct admission_request *request =
        TAILQ_FIRST(&admission->suspects_waiting);
    if (request == NULL) {
        return NULL;
    }
    *decision = admission_check(admission, request, now_us);
    if (decision->verdict == ADMISSION_REFUSE) {
        admission_dequeue_suspect(admission, request);
        return request;
    }
    const int64_t gap_us =
        ALONE_GAP_SERVICE_TIMES * limit_baseline_us(admission->limit);
    if (limit_in_flight(admission->limit) > 0 ||
        now_us - admission->alone_ended_us < gap_us) {
        return NULL;
    }
    admission_dequeue_suspect(admission, request);
    admission_put_in_flight(admission, request, true, now_us);
    return request;
}

/* Whether other requests must wait so that a suspect can run alone. */
static bool
admission_reserved_for_suspect(const struct admission *admission,
                               int64_t now_us)
{
    const int64_t gap_us =
        ALONE_GAP_SERVICE_TIMES * limit_baseline_us(admission->limit);
    return !TAILQ_EMPTY(&admission->suspects_waiting) &&
           now_us - admission->alone_ended_us >= gap_us;
}

struct admission_request *
admission_next(struct admission *admission, int64_t now_us,
               struct admission_decision *decision)
{
    struct admission_request *request =
        admission_next_suspect(admission, now_us, decision);
    if (request != NULL) {
        return request;
    }
    if (queue_count(&admission->queue) == 0) {
        return NULL;
    }
    const struct queue_capacity capacity =
        admission_capacity(admission, now_us);
    struct queue_entry *removed =
        queue_pop_expired(&admission->queue, &capacity, now_us);
    if (removed == NULL && limit_phase(admission->limit) != LIMIT_WARM) {
        /* Movable requests don't wait for a slow or cold target. */
        removed = queue_pop_movable(&admission->queue);
    }
    if (removed != NULL) {
        request = admission_request_of_entry(removed);
        request->state = ADMISSION_STATE_NONE;
        *decision = admission_refuse_full(admission, &capacity);
        return request;
    }
    if (!admission_has_capacity(admission, now_us) ||
        admission_reserved_for_suspect(admission, now_us)) {
        return NULL;
    }
    request = admission_request_of_entry(queue_pop(&admission->queue));
    request->state = ADMISSION_STATE_NONE;
    *decision = admission_check(admission, request, now_us);
    if (decision->verdict == ADMISSION_DISPATCH) {
        admission_put_in_flight(admission, request, false, now_us);
    }
    return request;
}

void
admission_load(const struct admission *admission, int64_t now_us,
               struct forward_load *load)
{
    *load = (struct forward_load){
        .in_flight = limit_in_flight(admission->limit),
        .queued = (uint32_t)(queue_count(&admission->queue) +
                             admission->suspects_waiting_count),
        .limit = limit_current(admission->limit, now_us),
        .latency_us = (uint32_t)limit_latency_us(admission->limit),
        .cold = limit_phase(admission->limit) != LIMIT_WARM,
        .draining = admission->leaving_since_us != UNSET_US ||
                    admission->zone_out_since_us != UNSET_US,
    };
}

bool
admission_idle(const struct admission *admission)
{
    return TAILQ_EMPTY(&admission->in_flight) &&
           queue_count(&admission->queue) == 0 &&
           TAILQ_EMPTY(&admission->suspects_waiting);
}
