#include "daemon/entrytask.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "entry"
#include "base/counter.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/random.h"
#include "base/runtime.h"
#include "daemon/entryanswer.h"
#include "daemon/entrymessage.h"
#include "daemon/forwarder.h"
#include "entry/requestkey.h"
#include "membership/membertable.h"

#define REFUSED_RETRY_AFTER_MS 1000
/* Gates enforce the deadline; their replies may arrive this much later. */
#define FORWARD_TIMEOUT_MARGIN_US (50 * US_PER_MS)
#define STATUS_NOT_FOUND 404
#define STATUS_BAD_REQUEST 400

/* An attempt of a request. */
struct entrytask_attempt {
    struct entry_request *request;
    struct forwarder_attempt *pending; /* NULL if unused */
    uint32_t number;
};

/* A caller's request in progress. */
struct entry_request {
    LIST_ENTRY(entry_request) link;
    struct entrytask *entry;
    struct entryservice *service;
    struct http_request *http;
    struct request *request;
    struct requestkey key;
    struct entrymessage message;
    struct entrytask_attempt attempts[REQUEST_PARALLEL_ATTEMPTS_MAX];
    struct timer timer;
    const struct forward_reply *reply; /* during its callback */
};

LIST_HEAD(entry_requests, entry_request);
LIST_HEAD(entry_services, entryservice);

struct entrytask {
    struct entrytask_options options;
    struct random_state random;
    struct entry_services services;
    struct entry_requests requests;
    size_t request_count;
    const struct state *state;
    struct counter *by_outcome[FORWARD_UNKNOWN + 1];
    struct counter *invalid;
    struct counter *attempts;
    struct counter *in_progress;
};

struct entryservice *
entrytask_service(const struct entrytask *entry, const char *name)
{
    struct entryservice *service;
    LIST_FOREACH (service, &entry->services, link) {
        if (strcmp(service->declared.name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

static void
entry_request_free(struct entry_request *er)
{
    struct entrytask *entry = er->entry;
    timer_stop(&er->timer);
    request_destroy(er->request);
    entrymessage_clear(&er->message);
    LIST_REMOVE(er, link);
    entry->request_count--;
    entry->in_progress->value = (int64_t)entry->request_count;
    free(er);
}

/* Frees a request that has ended. Not to be called in callbacks of request. */
static void
entry_request_free_if_done(struct entry_request *er)
{
    if (request_state(er->request) == REQUEST_DONE) {
        entry_request_free(er);
    }
}

static enum request_failure
entry_failure_of(enum rpc_status status)
{
    switch (status) {
    case RPC_NOT_SENT:
    case RPC_REFUSED_BY_HOST:
    case RPC_REJECTED:
        return REQUEST_NOT_SENT;
    default:
        return REQUEST_LOST;
    }
}

static void
entry_on_attempt_done(void *ctx, enum rpc_status status,
                      const struct forward_reply *reply)
{
    struct entrytask_attempt *attempt = ctx;
    struct entry_request *er = attempt->request;
    const int64_t now_us = runtime_now_us(er->entry->options.runtime);
    attempt->pending = NULL;
    if (reply == NULL) {
        request_failed(er->request, attempt->number, entry_failure_of(status),
                       now_us);
        entry_request_free_if_done(er);
        return;
    }
    const bool names_owner = reply->owner != NULL && reply->owner[0] != '\0';
    if (names_owner && reply->reason == FORWARD_REASON_NOT_OWNER) {
        er->entry->options.hint(
            er->entry->options.ctx, er->service->declared.name,
            er->message.request.shard, reply->owner, reply->owner_epoch);
    }
    const struct request_reply received = {
        .outcome = reply->outcome,
        .reason = reply->reason,
        .retry_after_ms = reply->retry_after_ms,
        .owner = names_owner
                     ? choice_find_member(er->service->choice, reply->owner)
                     : CHOICE_NO_MEMBER,
        .owner_epoch = reply->owner_epoch,
        .load = &reply->load,
    };
    er->reply = reply;
    request_replied(er->request, attempt->number, &received, now_us);
    er->reply = NULL;
    entry_request_free_if_done(er);
}

static void
entry_send(void *ctx, struct request *request, const struct request_send *send)
{
    struct entrytask *entry = ctx;
    struct entry_request *er = request_data(request);
    struct entrytask_attempt *attempt = &er->attempts[0];
    if (attempt->pending != NULL) {
        attempt = &er->attempts[1];
    }
    attempt->request = er;
    attempt->number = send->number;
    er->message.request.epoch = send->epoch;
    er->message.request.remaining_us = (u_quad_t)send->remaining_us;
    er->message.request.hedge = send->hedge;
    er->message.request.suspect = send->suspect;
    entry->attempts->value++;
    attempt->pending = forwarder_send(
        entry->options.forwarder,
        choice_member_name(er->service->choice, send->member),
        &er->message.request, send->remaining_us + FORWARD_TIMEOUT_MARGIN_US,
        entry_on_attempt_done, attempt);
}

static void
entry_cancel(void *ctx, struct request *request, uint32_t number)
{
    (void)ctx;
    struct entry_request *er = request_data(request);
    for (size_t i = 0; i < REQUEST_PARALLEL_ATTEMPTS_MAX; i++) {
        struct entrytask_attempt *attempt = &er->attempts[i];
        if (attempt->pending != NULL && attempt->number == number) {
            forwarder_cancel(attempt->pending);
            attempt->pending = NULL;
        }
    }
}

static void
entry_answer(void *ctx, struct request *request,
             const struct request_answer *answer)
{
    struct entrytask *entry = ctx;
    struct entry_request *er = request_data(request);
    entry->by_outcome[answer->outcome]->value++;
    if (answer->outcome == FORWARD_ANSWERED && er->reply != NULL) {
        entryanswer_send(er->http, er->reply);
    }
    else {
        entryanswer_refuse(er->http, answer->outcome, answer->reason,
                           answer->retry_after_ms);
    }
    er->http = NULL;
}

static void
entry_on_timer(void *ctx)
{
    struct entry_request *er = ctx;
    request_timer_expired(er->request,
                          runtime_now_us(er->entry->options.runtime));
    entry_request_free_if_done(er);
}

static void
entry_set_timer(void *ctx, struct request *request, int64_t due_us)
{
    (void)ctx;
    struct entry_request *er = request_data(request);
    timer_start_at(&er->timer, due_us);
}

struct entrytask *
entrytask_create(const struct entrytask_options *options)
{
    struct entrytask *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort();
    }
    entry->options = *options;
    random_seed(&entry->random, options->seed);
    LIST_INIT(&entry->services);
    LIST_INIT(&entry->requests);
    struct counter_registry *counters = options->counters;
    entry->by_outcome[FORWARD_ANSWERED] = counter_add(
        counters, "entry_answered", "requests answered by targets");
    entry->by_outcome[FORWARD_NOT_RUN] =
        counter_add(counters, "entry_not_run", "requests refused as not run");
    entry->by_outcome[FORWARD_UNKNOWN] = counter_add(
        counters, "entry_unknown", "requests whose outcome is unknown");
    entry->invalid = counter_add(counters, "entry_invalid",
                                 "invalid requests from callers");
    entry->attempts =
        counter_add(counters, "entry_tries", "attempts sent to gates");
    entry->in_progress =
        counter_add(counters, "entry_in_progress", "requests in progress");
    return entry;
}

void
entrytask_destroy(struct entrytask *entry)
{
    if (entry == NULL) {
        return;
    }
    struct entry_request *er = LIST_FIRST(&entry->requests);
    while (er != NULL) {
        struct entry_request *next = LIST_NEXT(er, link);
        request_caller_gone(er->request,
                            runtime_now_us(entry->options.runtime));
        entry_request_free(er);
        er = next;
    }
    struct entryservice *service = LIST_FIRST(&entry->services);
    while (service != NULL) {
        struct entryservice *next = LIST_NEXT(service, link);
        entryservice_destroy(service);
        service = next;
    }
    free(entry);
}

static const char *
entry_header(void *ctx, const char *name)
{
    return http_request_header(ctx, name);
}

static struct request_spec
entry_spec_of(const struct entry_request *er, int64_t now_us)
{
    const struct forward_request *message = &er->message.request;
    const uint64_t body_hash =
        hash_bytes(message->body.body_val, message->body.body_len, 0);
    return (struct request_spec){
        .shard = message->shard,
        .fingerprint = suspects_fingerprint(message->method, message->target,
                                            body_hash, message->request_id),
        .deadline_us = now_us + er->key.remaining_us,
        .keyed = er->key.keyed,
        .idempotent = er->key.idempotent,
        .has_id = er->key.id[0] != '\0',
        .may_hedge = er->service->declared.hedge,
    };
}

static struct entry_request *
entry_request_create(struct entrytask *entry, struct entryservice *service,
                     struct http_request *http)
{
    struct entry_request *er = calloc(1, sizeof(*er));
    if (er == NULL) {
        abort();
    }
    er->entry = entry;
    er->service = service;
    er->http = http;
    timer_init(&er->timer, entry->options.runtime, entry_on_timer, er);
    LIST_INSERT_HEAD(&entry->requests, er, link);
    entry->request_count++;
    entry->in_progress->value = (int64_t)entry->request_count;
    return er;
}

/* Refuses a request as not run before its state machine is created. */
static void
entry_refuse(struct entrytask *entry, struct http_request *http,
             enum forward_reason reason, uint32_t retry_after_ms)
{
    entry->by_outcome[FORWARD_NOT_RUN]->value++;
    entryanswer_refuse(http, FORWARD_NOT_RUN, reason, retry_after_ms);
}

static void
entry_invalid(struct entrytask *entry, struct http_request *http,
              unsigned status, const struct error *err)
{
    entry->invalid->value++;
    entryanswer_invalid(http, status, err);
}

static void
entry_begin(struct entrytask *entry, struct entryservice *service,
            struct http_request *http, const struct requestkey *key,
            const char *target)
{
    const int64_t now_us = runtime_now_us(entry->options.runtime);
    uint32_t shard = 0;
    if (key->keyed &&
        !entry->options.shard(entry->options.ctx, service->declared.name,
                              key->key, key->key_size, &shard)) {
        entry_refuse(entry, http, FORWARD_REASON_NOT_OWNER,
                     REFUSED_RETRY_AFTER_MS);
        return;
    }
    struct entry_request *er = entry_request_create(entry, service, http);
    er->key = *key;
    entrymessage_fill(&er->message, service->declared.name, http, &er->key,
                      target);
    er->message.request.shard = shard;
    const struct request_spec spec = entry_spec_of(er, now_us);
    er->request = request_create(&service->env, &spec, er);
    if (er->request == NULL) {
        abort();
    }
    http_request_set_data(http, er);
    request_start(er->request, now_us);
    entry_request_free_if_done(er);
}

void
entrytask_handle(struct entrytask *entry, struct http_request *http)
{
    if (entry->state == NULL) {
        entry_refuse(entry, http, FORWARD_REASON_NO_TARGET,
                     REFUSED_RETRY_AFTER_MS);
        return;
    }
    if (entry->request_count >= entry->options.requests_max) {
        entry_refuse(entry, http, FORWARD_REASON_OVERLOADED,
                     REFUSED_RETRY_AFTER_MS);
        return;
    }
    struct error err;
    const struct state_service *declared =
        state_service_for_path(entry->state, http_request_path(http));
    if (declared == NULL) {
        error_set(&err, ERROR_SERVICE_UNKNOWN, "%s", http_request_path(http));
        entry_invalid(entry, http, STATUS_NOT_FOUND, &err);
        return;
    }
    char *target = entrymessage_target(http);
    struct requestkey key;
    const struct requestkey_source source = {
        .method = http_request_method(http),
        .target = target,
        .header = entry_header,
        .header_ctx = http,
    };
    if (requestkey_read(declared, &source, &key, &err)) {
        struct entryservice *service =
            entrytask_service(entry, declared->name);
        entry_begin(entry, service, http, &key, target);
    }
    else {
        entry_invalid(entry, http, STATUS_BAD_REQUEST, &err);
    }
    free(target);
}

void
entrytask_cancelled(struct entrytask *entry, struct http_request *http)
{
    struct entry_request *er = http_request_data(http);
    if (er == NULL) {
        return;
    }
    request_caller_gone(er->request, runtime_now_us(entry->options.runtime));
    if (er->http != NULL) {
        entryanswer_refuse(http, FORWARD_UNKNOWN, FORWARD_REASON_CANCELLED, 0);
        er->http = NULL;
    }
    entry_request_free_if_done(er);
}

void
entrytask_answer_all(struct entrytask *entry)
{
    const int64_t now_us = runtime_now_us(entry->options.runtime);
    struct entry_request *er = LIST_FIRST(&entry->requests);
    while (er != NULL) {
        struct entry_request *next = LIST_NEXT(er, link);
        request_end(er->request, now_us);
        entry_request_free_if_done(er);
        er = next;
    }
}

static bool
entry_zone_is_out(const struct entrytask *entry, const char *name)
{
    if (entry->state == NULL) {
        return false;
    }
    const struct state_zone *zone = state_find_zone(entry->state, name);
    return zone != NULL && zone->out;
}

void
entrytask_update_member(struct entrytask *entry, const struct member *row)
{
    struct entryservice *service;
    LIST_FOREACH (service, &entry->services, link) {
        if (strcmp(service->declared.name, row->service) == 0) {
            entryservice_update_member(service, row,
                                       entry_zone_is_out(entry, row->zone));
        }
        else {
            choice_remove(service->choice, row->self.instance);
        }
    }
}

static void
entry_visit_member(void *ctx, const struct membertable_view *view)
{
    struct entrytask *entry = ctx;
    struct member row;
    if (membertable_row(entry->options.members, view->instance, &row)) {
        entrytask_update_member(entry, &row);
    }
}

void
entrytask_set_state(struct entrytask *entry, const struct state *state)
{
    const struct entryservice_options options = {
        .zone = entry->options.zone,
        .suspects = entry->options.suspects,
        .random = &entry->random,
        .owner = entry->options.owner,
        .owner_ctx = entry->options.ctx,
        .ops =
            {
                .send = entry_send,
                .cancel = entry_cancel,
                .answer = entry_answer,
                .set_timer = entry_set_timer,
            },
        .ops_ctx = entry,
    };
    const int64_t now_us = runtime_now_us(entry->options.runtime);
    entry->state = state;
    for (size_t i = 0; i < state->service_count; i++) {
        const struct state_service *declared = &state->services[i];
        struct entryservice *service =
            entrytask_service(entry, declared->name);
        if (service == NULL) {
            service = entryservice_create(&options, declared, now_us);
            LIST_INSERT_HEAD(&entry->services, service, link);
        }
        entryservice_configure(service, declared, &state->limits);
    }
    const struct membertable_filter all = {.live_only = false};
    membertable_visit(entry->options.members, &all, entry_visit_member, entry);
}

size_t
entrytask_count(const struct entrytask *entry)
{
    return entry->request_count;
}
