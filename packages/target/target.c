#include "target/target.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/httpproblem.h"
#include "http/httpserver.h"
#include "target/target_internal.h"

#define LOG_MODULE "target"
#include "base/log.h"

#define ANNOUNCE_PATH "/v1/announce"
#define WITHDRAW_PATH "/v1/withdraw"
#define ANNOUNCE_BODY_MAX_BYTES 65536

static void
target_destroy_clients(struct target *target)
{
    struct http_client *requests = target->requests;
    struct http_client *orders = target->orders;
    target->requests = NULL;
    target->orders = NULL;
    if (orders != requests) {
        http_client_destroy(orders);
    }
    http_client_destroy(requests);
}

/** Fails all calls and orders of the current target, but none that their
 * callbacks start. */
static void
target_detach(struct target *target)
{
    target->present = false;
    for (size_t left = target->call_count;
         left > 0 && !TAILQ_EMPTY(&target->calls); left--) {
        target_call_fail(TAILQ_FIRST(&target->calls));
    }
    for (size_t left = target->order_count;
         left > 0 && !TAILQ_EMPTY(&target->order_list); left--) {
        target_order_fail(TAILQ_FIRST(&target->order_list));
    }
    target->probing = false;
    target_destroy_clients(target);
}

static void
target_attach(struct target *target, const struct announcement *announcement)
{
    target->announcement = *announcement;
    target->present = true;
    /* One of the declared connections is reserved for orders. */
    const bool shared = announcement->connections == 1;
    struct http_client_config config = {
        .address = announcement->address,
        .connections_max = shared ? 1 : announcement->connections - 1,
        .body_max_bytes = target->config.body_max_bytes,
    };
    target->requests =
        http_client_create(target->runtime, &config, target->registry);
    config.connections_max = 1;
    target->orders = shared ? target->requests
                            : http_client_create(target->runtime, &config,
                                                 target->registry);
}

static void
target_report_change(struct target *target, enum target_change change)
{
    static const char *const names[] = {
        [TARGET_ANNOUNCED] = "announced", [TARGET_RESTARTED] = "restarted",
        [TARGET_UPDATED] = "updated",     [TARGET_WITHDRAWN] = "withdrawn",
        [TARGET_LOST] = "lost",
    };
    LOG_INFO("target_change", LOG_STR("change", names[change]),
             LOG_STR("service", target->announcement.service),
             LOG_STR("incarnation", target->announcement.incarnation));
    if (target->config.changed != NULL) {
        target->config.changed(target->config.ctx, change);
    }
}

void
target_lost(struct target *target)
{
    if (!target->present) {
        return;
    }
    target->counters.lost->value++;
    target_detach(target);
    target_report_change(target, TARGET_LOST);
}

static void
on_check_report(void *ctx, const struct target_report *report)
{
    struct target *target = ctx;
    (void)report;
    target->probing = false;
}

void
target_probe_after_disconnect(struct target *target)
{
    if (target->present && !target->probing) {
        target->probing = true;
        target_probe(target, on_check_report, target);
    }
}

static void
target_update(struct target *target, const struct announcement *announcement)
{
    if (announcement_equal(&target->announcement, announcement)) {
        return;
    }
    target->announcement = *announcement;
    if (target->orders != target->requests && announcement->connections > 1) {
        http_client_set_connections(target->requests,
                                    announcement->connections - 1);
    }
    target_report_change(target, TARGET_UPDATED);
}

static void
target_accept_announcement(struct target *target,
                           const struct announcement *announcement)
{
    target->counters.announcements->value++;
    if (!target->present) {
        target_attach(target, announcement);
        target_report_change(target, TARGET_ANNOUNCED);
        return;
    }
    const bool same =
        strcmp(target->announcement.incarnation, announcement->incarnation) ==
            0 &&
        strcmp(target->announcement.service, announcement->service) == 0 &&
        address_equal(&target->announcement.address, &announcement->address);
    if (same) {
        target_update(target, announcement);
        return;
    }
    target->counters.restarts->value++;
    target_detach(target);
    target_attach(target, announcement);
    target_report_change(target, TARGET_RESTARTED);
}

static void
refuse(struct http_request *request, unsigned status, const char *detail)
{
    http_request_reply_problem(
        request, &(struct http_problem){.status = status, .detail = detail},
        0);
}

static void
accept_order(struct http_request *request)
{
    static const char body[] = "{\"accepted\":true}";
    const struct http_header header = {"Content-Type", "application/json"};
    http_request_reply(request, &(struct http_reply){
                                    .status = 200,
                                    .headers = &header,
                                    .header_count = 1,
                                    .body = body,
                                    .body_size = sizeof(body) - 1,
                                });
}

static void
handle_announcement(struct target *target, struct http_request *request)
{
    size_t size;
    const void *body = http_request_body(request, &size);
    struct announcement announcement;
    struct error err = {0};
    if (body == NULL || !announcement_parse(body, size, &announcement, &err)) {
        char text[ERROR_SUBJECT_SIZE * 2];
        target->counters.announcements_refused->value++;
        refuse(request, 400, error_describe(&err, text, sizeof(text)));
        return;
    }
    if (strcmp(http_request_path(request), WITHDRAW_PATH) != 0) {
        accept_order(request);
        target_accept_announcement(target, &announcement);
        return;
    }
    const bool known =
        target->present && strcmp(target->announcement.incarnation,
                                  announcement.incarnation) == 0;
    if (!known) {
        refuse(request, 404, "this incarnation is not known");
        return;
    }
    accept_order(request);
    target->counters.withdrawals->value++;
    target_report_change(target, TARGET_WITHDRAWN);
}

static void
on_request(void *ctx, struct http_request *request)
{
    const char *path = http_request_path(request);
    if (strcmp(path, ANNOUNCE_PATH) != 0 && strcmp(path, WITHDRAW_PATH) != 0) {
        refuse(request, 404, "only " ANNOUNCE_PATH " and " WITHDRAW_PATH);
        return;
    }
    if (strcmp(http_request_method(request), "POST") != 0) {
        refuse(request, 405, "POST is expected");
        return;
    }
    handle_announcement(ctx, request);
}

struct target *
target_create(struct runtime *runtime, const struct target_config *config,
              struct counter_registry *counters, struct error *err)
{
    struct target *target = calloc(1, sizeof(*target));
    if (target == NULL) {
        error_set(err, ERROR_NO_MEMORY, "target");
        return NULL;
    }
    target->runtime = runtime;
    target->config = *config;
    target->registry = counters;
    TAILQ_INIT(&target->calls);
    TAILQ_INIT(&target->order_list);
#define TARGET_COUNTER_ADD(field, help)                                       \
    target->counters.field = counter_add(counters, "target_" #field, help);
    TARGET_COUNTERS(TARGET_COUNTER_ADD)
#undef TARGET_COUNTER_ADD
    const struct http_server_config server_config = {
        .address = config->announce_address,
        .body_max_bytes = ANNOUNCE_BODY_MAX_BYTES,
        .handle = on_request,
        .ctx = target,
    };
    target->server =
        http_server_create(runtime, &server_config, counters, err);
    if (target->server == NULL) {
        free(target);
        return NULL;
    }
    return target;
}

void
target_destroy(struct target *target)
{
    if (target == NULL) {
        return;
    }
    while (!TAILQ_EMPTY(&target->calls)) {
        target_call_discard(TAILQ_FIRST(&target->calls));
    }
    while (!TAILQ_EMPTY(&target->order_list)) {
        target_order_discard(TAILQ_FIRST(&target->order_list));
    }
    target_destroy_clients(target);
    http_server_destroy(target->server);
    free(target);
}

const struct address *
target_announce_address(const struct target *target)
{
    return http_server_address(target->server);
}

const struct announcement *
target_current(const struct target *target)
{
    return target->present ? &target->announcement : NULL;
}

unsigned
target_connections(const struct target *target)
{
    if (!target->present) {
        return 0;
    }
    const unsigned requests = http_client_connections(target->requests);
    return target->orders == target->requests
               ? requests
               : requests + http_client_connections(target->orders);
}
