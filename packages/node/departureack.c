#include "node/departureack.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>

#define LOG_MODULE "target"
#include "base/counter.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/runtime.h"
#include "fleet/departures.h"
#include "http/httpserver.h"

/* Below the target's timeout of 1 s, so that it hears the refusal. */
#define WAIT_MAX_US (900 * US_PER_MS)
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

struct waiting_request {
    LIST_ENTRY(waiting_request) link;
    struct departureacks *acks;
    struct http_request *request;
    char target[KEYMAP_NAME_MAX + 1];
    int64_t started_ms;
    int64_t since_us;
    struct timer timer;
};

LIST_HEAD(waiting_requests, waiting_request);

struct departureacks {
    struct runtime *runtime;
    const struct departures *departures;
    struct waiting_requests waiting;
    struct counter *acknowledged;
    struct counter *expired;
};

struct departureacks *
departureacks_create(struct runtime *runtime,
                     const struct departures *departures,
                     struct counter_registry *counters)
{
    struct departureacks *acks = memory_calloc(1, sizeof(*acks));
    acks->runtime = runtime;
    acks->departures = departures;
    acks->acknowledged = counter_add(counters, "departures_acknowledged",
                                     "departures acknowledged to the target");
    acks->expired =
        counter_add(counters, "departures_not_stored",
                    "departures not acknowledged: not stored in time");
    return acks;
}

static void
waiting_free(struct waiting_request *waiting)
{
    timer_stop(&waiting->timer);
    LIST_REMOVE(waiting, link);
    free(waiting);
}

void
departureacks_destroy(struct departureacks *acks)
{
    if (acks == NULL) {
        return;
    }
    struct waiting_request *waiting = LIST_FIRST(&acks->waiting);
    while (waiting != NULL) {
        struct waiting_request *next = LIST_NEXT(waiting, link);
        waiting_free(waiting);
        waiting = next;
    }
    free(acks);
}

void
departureacks_reply(struct http_request *request, unsigned status)
{
    static const struct http_header headers[] = {
        {"Content-Type", "application/json"},
    };
    http_request_reply(request, &(struct http_reply){
                                    .status = status,
                                    .headers = headers,
                                    .header_count = 1,
                                    .body = "{}",
                                    .body_size = 2,
                                });
}

static void
waiting_end(struct waiting_request *waiting, unsigned status)
{
    struct http_request *request = waiting->request;
    const int64_t now_us = runtime_now_us(waiting->acks->runtime);
    const int64_t waited_ms = (now_us - waiting->since_us) / US_PER_MS;
    if (status == STATUS_OK) {
        waiting->acks->acknowledged->value++;
        LOG_INFO("departure_acknowledged", LOG_STR("target", waiting->target),
                 LOG_INT("waited_ms", waited_ms));
    }
    else {
        waiting->acks->expired->value++;
        LOG_WARN("departure_not_stored", LOG_STR("target", waiting->target),
                 LOG_INT("waited_ms", waited_ms));
    }
    waiting_free(waiting);
    departureacks_reply(request, status);
}

static void
on_wait_over(void *ctx)
{
    waiting_end(ctx, STATUS_UNAVAILABLE);
}

void
departureacks_add(struct departureacks *acks, struct http_request *request,
                  const char *target, int64_t started_ms)
{
    struct waiting_request *waiting = memory_calloc(1, sizeof(*waiting));
    waiting->acks = acks;
    waiting->request = request;
    snprintf(waiting->target, sizeof(waiting->target), "%s", target);
    waiting->started_ms = started_ms;
    waiting->since_us = runtime_now_us(acks->runtime);
    timer_init(&waiting->timer, acks->runtime, on_wait_over, waiting);
    timer_start(&waiting->timer, WAIT_MAX_US);
    LIST_INSERT_HEAD(&acks->waiting, waiting, link);
    departureacks_check(acks);
}

void
departureacks_check(struct departureacks *acks)
{
    const int64_t now_us = runtime_now_us(acks->runtime);
    struct waiting_request *waiting = LIST_FIRST(&acks->waiting);
    while (waiting != NULL) {
        struct waiting_request *next = LIST_NEXT(waiting, link);
        if (departures_is_stored(acks->departures, waiting->target,
                                 waiting->started_ms, now_us)) {
            waiting_end(waiting, STATUS_OK);
        }
        waiting = next;
    }
}
