#include "standin/targetserver_internal.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ADAPTER_PREFIX "/chestnutgap/"
#define TEST_PREFIX "/standin/"
#define FREEZE_MAX_MS 60000

static void
reply_status(struct http_request *request, unsigned status)
{
    http_request_reply(request, &(struct http_reply){.status = status});
}

/** Replies with JSON; takes the reference to value. */
static void
reply_json(struct http_request *request, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    const struct http_header header = {"Content-Type", "application/json"};
    http_request_reply(request,
                       &(struct http_reply){
                           .status = 200,
                           .headers = &header,
                           .header_count = 1,
                           .body = text,
                           .body_size = text != NULL ? strlen(text) : 0,
                       });
    free(text);
}

static json_t *
parse_body(const struct http_request *request)
{
    size_t size;
    const void *body = http_request_body(request, &size);
    return size > 0 ? json_loadb(body, size, 0, NULL) : json_object();
}

static void
handle_grants(struct target_server *server, struct http_request *request,
              const json_t *body)
{
    const bool withdraw = strcmp(http_request_method(request), "DELETE") == 0;
    size_t i;
    const json_t *item;
    json_array_foreach (json_object_get(body, "grants"), i, item) {
        const uint32_t shard =
            (uint32_t)json_integer_value(json_object_get(item, "shard"));
        const uint64_t epoch =
            (uint64_t)json_integer_value(json_object_get(item, "epoch"));
        if (withdraw) {
            target_grants_withdraw(server->grants, shard, epoch);
        }
        else {
            target_grants_put(server->grants, shard, epoch);
        }
    }
    reply_json(request, json_object());
}

static void
handle_health(const struct target_server *server, struct http_request *request)
{
    const char *status = "ok";
    if (server->draining) {
        status = "draining";
    }
    else if (target_server_is_cold(server)) {
        status = "cold";
    }
    reply_json(request, json_pack("{ss ss}", "status", status, "incarnation",
                                  server->config.incarnation));
}

static void
handle_load(const struct target_server *server, struct http_request *request)
{
    reply_json(request, json_pack("{sI sI sI sb}", "in_flight",
                                  (json_int_t)server->running_count, "queued",
                                  (json_int_t)server->queued_count, "slots",
                                  (json_int_t)server->config.slots, "cold",
                                  target_server_is_cold(server)));
}

static void
handle_cancel(struct target_server *server, struct http_request *request,
              const json_t *body)
{
    const char *id = json_string_value(json_object_get(body, "request_id"));
    const bool cancelled = id != NULL && target_server_cancel(server, id);
    reply_json(request, json_pack("{sb}", "cancelled", cancelled));
}

static void
handle_adapter(struct target_server *server, struct http_request *request,
               const char *name, const json_t *body)
{
    if (strcmp(name, "grants") == 0) {
        handle_grants(server, request, body);
    }
    else if (strcmp(name, "health") == 0) {
        handle_health(server, request);
    }
    else if (strcmp(name, "load") == 0) {
        handle_load(server, request);
    }
    else if (strcmp(name, "drain") == 0) {
        target_server_drain(server);
        reply_json(request, json_object());
    }
    else if (strcmp(name, "cancel") == 0) {
        handle_cancel(server, request, body);
    }
    else {
        reply_status(request, 404);
    }
}

static void
parse_number(const json_t *body, const char *name, double *number)
{
    const json_t *value = json_object_get(body, name);
    if (json_is_number(value)) {
        *number = json_number_value(value);
    }
}

static void
set_faults(struct target_server *server, const json_t *body)
{
    struct target_faults *faults = &server->faults;
    double latency_us = (double)faults->latency_us;
    double cold_ms = -1;
    double freeze_ms = 0;
    parse_number(body, "latency_us", &latency_us);
    faults->latency_us = (int64_t)latency_us;
    parse_number(body, "straggle_factor", &faults->straggle_factor);
    parse_number(body, "shed_percent", &faults->shed_percent);
    parse_number(body, "cut_answers_percent", &faults->cut_percent);
    parse_number(body, "error_percent", &faults->error_percent);
    parse_number(body, "cold_ms", &cold_ms);
    parse_number(body, "freeze_ms", &freeze_ms);
    if (cold_ms >= 0) {
        server->cold_until_us =
            runtime_now_us(server->runtime) + (int64_t)cold_ms * US_PER_MS;
    }
    if (freeze_ms > 0 && freeze_ms <= FREEZE_MAX_MS) {
        usleep((useconds_t)freeze_ms * 1000); /* blocks the whole process */
    }
}

static json_t *
stats_to_json(const struct target_server *server)
{
    const struct target_stats *stats = &server->stats;
    return json_pack("{ss ss sI sI sI sI sI sI sI sI sI sI}", "service",
                     server->config.service, "incarnation",
                     server->config.incarnation, "executions",
                     (json_int_t)target_ledger_execution_count(server->ledger),
                     "peak_in_flight", (json_int_t)stats->peak_in_flight,
                     "peak_cold", (json_int_t)stats->cold_peak_in_flight,
                     "cold_limit", (json_int_t)server->config.cold_limit,
                     "cold_overloads", (json_int_t)stats->cold_overloads,
                     "shed", (json_int_t)stats->shed, "refused_grants",
                     (json_int_t)stats->refused_grants, "refused_deadline",
                     (json_int_t)stats->refused_deadline, "refused_draining",
                     (json_int_t)stats->refused_draining, "cancelled",
                     (json_int_t)stats->cancelled);
}

static void
handle_test(struct target_server *server, struct http_request *request,
            const char *name, const json_t *body)
{
    if (strcmp(name, "ledger") == 0) {
        reply_json(request, target_ledger_counts(server->ledger));
    }
    else if (strcmp(name, "records") == 0) {
        reply_json(request, target_ledger_records(server->ledger));
    }
    else if (strcmp(name, "stats") == 0) {
        reply_json(request, stats_to_json(server));
    }
    else if (strcmp(name, "faults") == 0) {
        set_faults(server, body);
        reply_json(request, json_object());
    }
    else {
        reply_status(request, 404);
    }
}

bool
target_control_handle(struct target_server *server,
                      struct http_request *request)
{
    const char *path = http_request_path(request);
    const bool adapter =
        strncmp(path, ADAPTER_PREFIX, strlen(ADAPTER_PREFIX)) == 0;
    const bool test = strncmp(path, TEST_PREFIX, strlen(TEST_PREFIX)) == 0;
    if (!adapter && !test) {
        return false;
    }
    json_t *body = parse_body(request);
    if (body == NULL) {
        reply_status(request, 400);
    }
    else if (adapter) {
        handle_adapter(server, request, path + strlen(ADAPTER_PREFIX), body);
    }
    else {
        handle_test(server, request, path + strlen(TEST_PREFIX), body);
    }
    json_decref(body);
    return true;
}
