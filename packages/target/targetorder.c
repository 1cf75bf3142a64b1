#include "target/target_internal.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define GRANTS_PATH "/chestnutgap/grants"
#define HEALTH_PATH "/chestnutgap/health"
#define LOAD_PATH "/chestnutgap/load"
#define DRAIN_PATH "/chestnutgap/drain"
#define CANCEL_PATH "/chestnutgap/cancel"

/** An order to the target without a result yet. */
struct target_order {
    TAILQ_ENTRY(target_order) link;
    struct target *target;
    struct http_call *http; /* NULL: fails in the next loop iteration */
    struct timer failure;
    struct target_report report;
    target_order_done_cb done;
    target_report_cb reported;
    void *ctx;
};

static void
order_free(struct target_order *order)
{
    TAILQ_REMOVE(&order->target->order_list, order, link);
    order->target->order_count--;
    timer_stop(&order->failure);
    free(order);
}

static void
order_end(struct target_order *order, bool ok)
{
    const struct target_order ended = *order;
    order_free(order);
    if (!ok) {
        ended.target->counters.orders_failed->value++;
    }
    if (ended.done != NULL) {
        ended.done(ended.ctx, ok);
    }
    if (ended.reported != NULL) {
        ended.reported(ended.ctx, &ended.report);
    }
}

static void
on_lost(void *ctx)
{
    struct target_order *order = ctx;
    struct target *target = order->target;
    order_end(order, false);
    target_lost(target);
}

static void
on_no_target(void *ctx)
{
    order_end(ctx, false);
}

static bool
is_success(const struct http_result *result)
{
    return result->outcome == HTTP_ANSWERED && result->status / 100 == 2;
}

/**
 * A refused connection proves that the process has ended. This runs in a
 * callback of the client, so the loss is handled in the next loop iteration.
 *
 * @return true if it was refused.
 */
static bool
order_fail_if_refused(struct target_order *order,
                      const struct http_result *result)
{
    order->http = NULL;
    if (result->outcome != HTTP_REFUSED) {
        return false;
    }
    timer_init(&order->failure, order->target->runtime, on_lost, order);
    timer_start(&order->failure, 0);
    return true;
}

static void
on_order_done(void *ctx, const struct http_result *result)
{
    struct target_order *order = ctx;
    if (!order_fail_if_refused(order, result)) {
        order_end(order, is_success(result));
    }
}

static struct target_order *
order_create(struct target *target, void *ctx)
{
    struct target_order *order = calloc(1, sizeof(*order));
    if (order == NULL) {
        abort();
    }
    order->target = target;
    order->ctx = ctx;
    timer_init(&order->failure, target->runtime, on_no_target, order);
    TAILQ_INSERT_TAIL(&target->order_list, order, link);
    target->order_count++;
    return order;
}

/** Sends the order; takes ownership of body, which may be NULL. */
static void
order_send(struct target_order *order, const char *method, const char *path,
           json_t *body, http_done_cb done)
{
    struct target *target = order->target;
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    json_decref(body);
    if (!target->present) {
        free(text);
        timer_start(&order->failure, 0);
        return;
    }
    const struct http_header header = {"Content-Type", "application/json"};
    order->http = http_call_start(
        target->orders, &(struct http_call_spec){
                            .method = method,
                            .target = path,
                            .headers = &header,
                            .header_count = text != NULL ? 1 : 0,
                            .body = text,
                            .body_size = text != NULL ? strlen(text) : 0,
                            .deadline_us = runtime_now_us(target->runtime) +
                                           TARGET_ORDER_TIMEOUT_US,
                            .done = done,
                            .ctx = order,
                        });
    free(text);
}

static json_t *
grants_to_json(const struct target_grant *grants, size_t count)
{
    json_t *array = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(
            array, json_pack("{sIsI}", "shard", (json_int_t)grants[i].shard,
                             "epoch", (json_int_t)grants[i].epoch));
    }
    return array;
}

void
target_put_grants(struct target *target, const struct target_grant *grants,
                  size_t count, int64_t expires_us, target_order_done_cb done,
                  void *ctx)
{
    struct target_order *order = order_create(target, ctx);
    order->done = done;
    json_t *body = json_pack("{sI}", "expires_us", (json_int_t)expires_us);
    if (count > 0) {
        json_object_set_new(body, "grants", grants_to_json(grants, count));
    }
    order_send(order, "PUT", GRANTS_PATH, body, on_order_done);
}

void
target_delete_grants(struct target *target, const struct target_grant *grants,
                     size_t count, target_order_done_cb done, void *ctx)
{
    struct target_order *order = order_create(target, ctx);
    order->done = done;
    json_t *body = json_pack("{so}", "grants", grants_to_json(grants, count));
    order_send(order, "DELETE", GRANTS_PATH, body, on_order_done);
}

void
target_drain(struct target *target, target_order_done_cb done, void *ctx)
{
    struct target_order *order = order_create(target, ctx);
    order->done = done;
    order_send(order, "POST", DRAIN_PATH, json_object(), on_order_done);
}

void
target_send_cancel(struct target *target, const char *request_id)
{
    if (request_id == NULL || !target->present) {
        return;
    }
    target->counters.cancels->value++;
    struct target_order *order = order_create(target, NULL);
    json_t *body = json_pack("{ss}", "request_id", request_id);
    order_send(order, "POST", CANCEL_PATH, body, on_order_done);
}

static json_t *
parse_answer(const struct http_result *result)
{
    return is_success(result)
               ? json_loadb(result->body, result->body_size, 0, NULL)
               : NULL;
}

static void
on_load_done(void *ctx, const struct http_result *result)
{
    struct target_order *order = ctx;
    if (order_fail_if_refused(order, result)) {
        return;
    }
    json_t *answer = parse_answer(result);
    struct target_report *report = &order->report;
    report->ok = json_is_object(answer);
    report->in_flight =
        (unsigned)json_integer_value(json_object_get(answer, "in_flight"));
    report->queued =
        (unsigned)json_integer_value(json_object_get(answer, "queued"));
    report->cold = json_is_true(json_object_get(answer, "cold"));
    json_decref(answer);
    order_end(order, report->ok);
}

static void
on_health_done(void *ctx, const struct http_result *result)
{
    struct target_order *order = ctx;
    struct target *target = order->target;
    if (order_fail_if_refused(order, result)) {
        return;
    }
    json_t *answer = parse_answer(result);
    const char *status = json_string_value(json_object_get(answer, "status"));
    const char *incarnation =
        json_string_value(json_object_get(answer, "incarnation"));
    const bool other =
        incarnation != NULL &&
        strcmp(incarnation, target->announcement.incarnation) != 0;
    order->report.draining = status != NULL && strcmp(status, "draining") == 0;
    json_decref(answer);
    if (other) {
        /* The announced process has ended; the new one announces itself. */
        timer_init(&order->failure, target->runtime, on_lost, order);
        timer_start(&order->failure, 0);
        return;
    }
    if (status == NULL) {
        order_end(order, false);
        return;
    }
    order_send(order, "GET", LOAD_PATH, NULL, on_load_done);
}

void
target_probe(struct target *target, target_report_cb done, void *ctx)
{
    struct target_order *order = order_create(target, ctx);
    order->reported = done;
    order_send(order, "GET", HEALTH_PATH, NULL, on_health_done);
}

void
target_order_fail(struct target_order *order)
{
    if (order->http != NULL) {
        http_call_cancel(order->http);
    }
    order_end(order, false);
}

void
target_order_discard(struct target_order *order)
{
    if (order->http != NULL) {
        http_call_cancel(order->http);
    }
    order_free(order);
}
