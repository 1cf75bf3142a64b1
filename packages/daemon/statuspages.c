#include "daemon/daemon_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/invariant.h"
#include "gate/suspects.h"
#include "http/httpproblem.h"

#define SUSPECTS_LISTED_MAX 256
#define FINGERPRINT_SIZE 17 /* bytes of a fingerprint as text */
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_METHOD 405
#define STATUS_INTERNAL_ERROR 500

static void
reply_text(struct http_request *request, const char *type, const char *text)
{
    const struct http_header headers[] = {
        {"Content-Type", type},
        {"Cache-Control", "no-store"},
    };
    const struct http_reply reply = {
        .status = STATUS_OK,
        .headers = headers,
        .header_count = sizeof(headers) / sizeof(headers[0]),
        .body = text,
        .body_size = strlen(text),
    };
    http_request_reply(request, &reply);
}

static void
refuse(struct http_request *request, unsigned status)
{
    const struct http_problem problem = {.status = status};
    http_request_reply_problem(request, &problem, 0);
}

/* Steals the reference to value. */
static void
reply_json(struct http_request *request, json_t *value)
{
    char *text = json_dumps(value, JSON_INDENT(1) | JSON_PRESERVE_ORDER);
    json_decref(value);
    if (text == NULL) {
        refuse(request, STATUS_INTERNAL_ERROR);
        return;
    }
    reply_text(request, "application/json", text);
    free(text);
}

static const char *
phase_name(enum daemon_phase phase)
{
    switch (phase) {
    case DAEMON_SERVING:
        return "serving";
    case DAEMON_DRAINING:
        return "draining";
    case DAEMON_FINISHING:
        break;
    }
    return "finishing";
}

static json_t *
load_to_json(const struct daemon *daemon)
{
    struct forward_load load;
    gatetask_load(daemon->gate, &load);
    return json_pack("{s:I, s:I, s:I, s:I, s:b, s:I}", "in_flight",
                     (json_int_t)load.in_flight, "queued",
                     (json_int_t)load.queued, "limit", (json_int_t)load.limit,
                     "latency_us", (json_int_t)load.latency_us, "cold",
                     (int)load.cold, "callers",
                     (json_int_t)entrytask_count(daemon->entry));
}

static void
page_status(struct daemon *daemon, struct http_request *request)
{
    const struct config *config = configtask_config(daemon->config);
    const struct member *self = membertask_self(daemon->members);
    const int64_t now_us = runtime_now_us(daemon->runtime);
    const int64_t until_us = membertask_lease_until_us(daemon->members);
    json_t *status = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:s, s:s, s:b, s:I, s:I, s:s, s:b}",
        "instance", daemon->settings.instance, "zone", daemon->settings.zone,
        "region", daemon->settings.region, "service", daemon->self.service,
        "incarnation", (json_int_t)membertask_incarnation(daemon->members),
        "state", self != NULL ? member_state_name(self->state) : "joining",
        "phase", phase_name(daemon->phase), "lease_held",
        (int)(until_us > now_us), "lease_until_us", (json_int_t)until_us,
        "revision", (json_int_t)config_revision(config), "digest",
        config_digest_in_force(config), "draining",
        (int)(daemon->phase != DAEMON_SERVING));
    json_object_set_new(status, "now_us", json_integer(now_us));
    json_object_set_new(status, "load", load_to_json(daemon));
    reply_json(request, status);
}

static void
page_promises(struct daemon *daemon, struct http_request *request)
{
    (void)daemon;
    json_t *promises = json_array();
    for (int i = 0; i < INVARIANT_COUNT; i++) {
        const enum invariant id = (enum invariant)i;
        json_array_append_new(
            promises,
            json_pack("{s:s, s:s, s:I, s:I}", "name", invariant_name(id),
                      "text", invariant_text(id), "checks",
                      (json_int_t)invariant_checks(id), "violations",
                      (json_int_t)invariant_violations(id)));
    }
    reply_json(request, promises);
}

static void
page_counters(struct daemon *daemon, struct http_request *request)
{
    char *text = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    if (stream == NULL) {
        abort();
    }
    counter_print(daemon->counters, stream);
    fclose(stream);
    reply_text(request, "text/plain; charset=utf-8", text);
    free(text);
}

static void
append_entry(void *ctx, const struct membertable_view *view)
{
    json_array_append_new(ctx, json_pack("{s:s, s:s, s:s}", "instance",
                                         view->instance, "zone", view->zone,
                                         "region", view->region));
}

static void
page_entries(struct daemon *daemon, struct http_request *request)
{
    const struct membertable *members = membertask_table(daemon->members);
    const struct membertable_filter live = {.live_only = true};
    json_t *entries = json_array();
    membertable_visit(members, &live, append_entry, entries);
    size_t i;
    json_t *entry;
    json_array_foreach (entries, i, entry) {
        struct member row;
        char text[ADDRESS_TEXT_SIZE];
        const char *name =
            json_string_value(json_object_get(entry, "instance"));
        if (membertable_row(members, name, &row)) {
            json_object_set_new(entry, "http",
                                json_string(address_format(&row.http, text)));
        }
    }
    reply_json(request, entries);
}

static const char *
suspects_status_name(enum suspects_status status)
{
    switch (status) {
    case SUSPECTS_CLEAR:
        return "clear";
    case SUSPECTS_SUSPECT:
        return "suspect";
    case SUSPECTS_QUARANTINED:
        break;
    }
    return "condemned";
}

static void
list_suspects(struct daemon *daemon, struct http_request *request)
{
    static struct suspects_item items[SUSPECTS_LISTED_MAX];
    const int64_t now_us = runtime_now_us(daemon->runtime);
    const size_t count =
        suspects_export(daemon->suspects, now_us, items, SUSPECTS_LISTED_MAX);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        char fingerprint[FINGERPRINT_SIZE];
        snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64,
                 items[i].fingerprint);
        json_array_append_new(
            list,
            json_pack("{s:s, s:I, s:I, s:s}", "fingerprint", fingerprint,
                      "crashes", (json_int_t)items[i].crash_count,
                      "remaining_us", (json_int_t)items[i].remaining_us,
                      "standing",
                      suspects_status_name(suspects_get_status(
                          daemon->suspects, now_us, items[i].fingerprint))));
    }
    reply_json(request, list);
}

static void
lift_suspect(struct daemon *daemon, struct http_request *request)
{
    size_t size;
    const char *body = http_request_body(request, &size);
    json_t *document = json_loadb(body != NULL ? body : "", size, 0, NULL);
    const char *text = json_string_value(json_object_get(document, "lift"));
    char *end = NULL;
    const uint64_t fingerprint = text != NULL ? strtoull(text, &end, 16) : 0;
    const bool valid = text != NULL && end != text && *end == '\0';
    json_decref(document);
    if (!valid) {
        refuse(request, STATUS_BAD_REQUEST);
        return;
    }
    const bool lifted = suspects_lift(daemon->suspects, fingerprint);
    reply_json(request, json_pack("{s:b}", "lifted", (int)lifted));
}

static void
page_suspects(struct daemon *daemon, struct http_request *request)
{
    if (strcmp(http_request_method(request), "POST") == 0) {
        lift_suspect(daemon, request);
        return;
    }
    list_suspects(daemon, request);
}

struct page {
    const char *path;
    bool allows_post;
    void (*handle)(struct daemon *daemon, struct http_request *request);
};

static const struct page pages[] = {
    {DAEMON_PAGES_PREFIX "status", false, page_status},
    {DAEMON_PAGES_PREFIX "promises", false, page_promises},
    {DAEMON_PAGES_PREFIX "counters", false, page_counters},
    {DAEMON_PAGES_PREFIX "entries", false, page_entries},
    {DAEMON_PAGES_PREFIX "suspects", true, page_suspects},
};

void
statuspages_handle(struct daemon *daemon, struct http_request *request)
{
    const char *path = http_request_path(request);
    const char *method = http_request_method(request);
    for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
        if (strcmp(pages[i].path, path) != 0) {
            continue;
        }
        const bool allowed =
            strcmp(method, "GET") == 0 ||
            (pages[i].allows_post && strcmp(method, "POST") == 0);
        if (allowed) {
            pages[i].handle(daemon, request);
        }
        else {
            refuse(request, STATUS_METHOD);
        }
        return;
    }
    refuse(request, STATUS_NOT_FOUND);
}
