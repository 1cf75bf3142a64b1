#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "entry/model_internal.h"

#define LEASE_UNLIMITED_US (INT64_MAX / 2)
#define SUSPECTS_MAX 256
#define DEDUP_BYTES (16u << 20)
#define CLOCK_MARGIN_US (500 * US_PER_MS)
#define CONNECT_DELAY_US 100
#define FROZEN_RETRY_US (10 * US_PER_MS)

static struct model_attempt *
attempt_of(struct gate_request *request)
{
    /* gate_request is the first member. */
    return (struct model_attempt *)request;
}

struct model_attempt *
model_attempt_find(struct model *model, uint64_t number)
{
    return number < model->attempt_count ? model->attempts[number] : NULL;
}

struct model_attempt *
model_attempt_create(struct model *model, struct model_call *call,
                     unsigned entry, unsigned target)
{
    struct model_attempt *attempt = calloc(1, sizeof(*attempt));
    model->attempts =
        model_reserve(model->attempts, model->attempt_count,
                      &model->attempt_capacity, sizeof(model->attempts[0]));
    if (attempt == NULL) {
        abort();
    }
    attempt->number = model->attempt_count;
    attempt->call = call;
    attempt->entry = entry;
    attempt->target = target;
    attempt->parent = MODEL_NO_ATTEMPT;
    model->attempts[model->attempt_count++] = attempt;
    return attempt;
}

void
model_attempt_free(struct model *model, struct model_attempt *attempt)
{
    model->attempts[attempt->number] = NULL;
    free(attempt);
}

uint32_t
model_shard_of(const struct model_call *call)
{
    return (uint32_t)(hash_string(call->id) % MODEL_SHARDS);
}

static enum admission_ownership
gate_find_ownership(void *ctx, uint32_t shard, uint64_t *epoch)
{
    const struct model_instance *instance = ctx;
    const struct model *model = instance->model;
    *epoch = model->epochs[shard];
    if (model->owners[shard] != instance->number) {
        return ADMISSION_NOT_OWNED;
    }
    return instance->moving ? ADMISSION_MOVING : ADMISSION_OWNED;
}

static void
gate_connected(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_attempt *attempt = model_attempt_find(model, number);
    if (attempt == NULL ||
        attempt->gate_request.state != GATE_STATE_DISPATCHED) {
        return;
    }
    struct model_instance *instance = &model->instances[attempt->target];
    if (instance->frozen) {
        model_schedule(model, FROZEN_RETRY_US, gate_connected, NULL, number);
        return;
    }
    if (!instance->target.up || instance->target.failing) {
        gate_finish(instance->gate, &attempt->gate_request,
                    GATE_RESULT_CONNECT_FAILED, 0, NULL, 0, model->now_us);
        return;
    }
    if (!gate_begin_send(instance->gate, &attempt->gate_request,
                         model->now_us)) {
        return;
    }
    if (!model_target_accept(model, attempt)) {
        gate_finish(instance->gate, &attempt->gate_request, GATE_RESULT_SHED,
                    0, NULL, 0, model->now_us);
    }
}

static void
gate_on_dispatch(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    struct model_attempt *attempt = attempt_of(request);
    model_schedule(instance->model, CONNECT_DELAY_US, gate_connected, NULL,
                   attempt->number);
}

static void
gate_on_stop(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    model_target_stop(instance->model, attempt_of(request));
}

static void
gate_on_delegate(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    const struct model_attempt *parent = attempt_of(request);
    const uint32_t self = instance->number;
    uint32_t member =
        choice_pick(instance->choice, &self, 1, false, model->now_us);
    if (member == CHOICE_NO_MEMBER) {
        member = self;
    }
    struct model_attempt *attempt =
        model_attempt_create(model, parent->call, instance->number, member);
    attempt->parent = parent->number;
    attempt->gate_request.admission.entry.deadline_us =
        request->admission.entry.deadline_us;
    attempt->gate_request.admission.fingerprint =
        request->admission.fingerprint;
    choice_attempt_started(instance->choice, &attempt->delegated, member,
                           model->now_us);
    model->counts.attempts++;
    model_trace(model, "%s gate delegates #%llu to i%u", instance->name,
                (unsigned long long)parent->call->number, member);
    model_schedule(model, model_delay_us(model, instance->number, member),
                   model_gate_arrive, NULL, attempt->number);
}

struct reply_message {
    struct request_reply reply;
    struct forward_load load;
    uint64_t arrival;
    uint32_t entry_attempt;
    uint64_t call_number;
    uint64_t parent;
    bool lost;
};

static void
delegated_reply(struct model *model, struct reply_message *message)
{
    struct model_attempt *parent = model_attempt_find(model, message->parent);
    if (parent == NULL) {
        return;
    }
    const struct gate_delegated result = {
        .outcome = message->lost ? FORWARD_UNKNOWN : message->reply.outcome,
        .reason =
            message->lost ? FORWARD_REASON_PEER_LOST : message->reply.reason,
        .retry_after_ms = message->reply.retry_after_ms,
        .status = 200,
        .data = &message->call_number,
        .size = sizeof(message->call_number),
    };
    gate_delegated(model->instances[parent->target].gate,
                   &parent->gate_request, &result, model->now_us);
}

static bool
parent_is_frozen(struct model *model, uint64_t number)
{
    const struct model_attempt *parent = model_attempt_find(model, number);
    return parent != NULL && model->instances[parent->target].frozen;
}

static void
reply_arrived(struct model *model, void *ctx, uint64_t arg)
{
    (void)arg;
    struct reply_message *message = ctx;
    if (parent_is_frozen(model, message->parent)) {
        model_schedule(model, FROZEN_RETRY_US, reply_arrived, message, 0);
        return;
    }
    message->reply.load = &message->load;
    if (message->parent != MODEL_NO_ATTEMPT) {
        delegated_reply(model, message);
    }
    else if (message->lost) {
        model_entry_reply_lost(model, message->arrival,
                               message->entry_attempt);
    }
    else {
        model_entry_replied(model, message->arrival, message->entry_attempt,
                            &message->reply, message->call_number);
    }
    free(message);
}

void
model_free_event(const struct model_event *event)
{
    if (event->callback == reply_arrived) {
        free(event->ctx);
    }
}

/* Updates the delegating gate's view of the other gate's load. */
static void
delegated_record_load(struct model *model, struct model_attempt *attempt,
                      const struct reply_message *message)
{
    choice_attempt_ended(model->instances[attempt->entry].choice,
                         &attempt->delegated, model->now_us,
                         message->reply.outcome == FORWARD_ANSWERED
                             ? CHOICE_ANSWERED
                             : CHOICE_REFUSED,
                         &message->load);
}

static void
gate_on_answer(void *ctx, struct gate_request *request,
               const struct gate_answer *answer)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    struct model_attempt *attempt = attempt_of(request);
    struct reply_message *message = calloc(1, sizeof(*message));
    if (message == NULL) {
        abort();
    }
    message->reply = (struct request_reply){
        .outcome = answer->outcome,
        .reason = answer->reason,
        .retry_after_ms = answer->retry_after_ms,
        .owner = CHOICE_NO_MEMBER,
    };
    admission_load(instance->admission, model->now_us, &message->load);
    message->arrival = attempt->arrival;
    message->entry_attempt = attempt->entry_attempt;
    if (answer->outcome == FORWARD_ANSWERED) {
        memcpy(&message->call_number, answer->data,
               sizeof(message->call_number));
    }
    message->parent = attempt->parent;
    if (attempt->parent != MODEL_NO_ATTEMPT) {
        delegated_record_load(model, attempt, message);
    }
    message->lost =
        random_chance(&model->random, model->config.lost_reply_share);
    if (answer->outcome != FORWARD_ANSWERED || message->lost ||
        answer->replayed) {
        model_trace(model, "%s gate: #%llu outcome %d reason %d%s%s",
                    instance->name, (unsigned long long)attempt->call->number,
                    answer->outcome, answer->reason,
                    answer->replayed ? " replayed" : "",
                    message->lost ? " (reply lost)" : "");
    }
    model_schedule(model,
                   model_delay_us(model, attempt->target, attempt->entry),
                   reply_arrived, message, 0);
}

static void
gate_on_done(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    model_attempt_free(instance->model, attempt_of(request));
}

void
model_gate_init(struct model *model, unsigned number)
{
    struct model_instance *instance = &model->instances[number];
    const struct model_config *config = &model->config;
    const struct limit_config limits = {
        .slots = config->slots,
        .connections = config->connections,
        .cold_limit = config->cold_limit,
        .cold_start_us = config->cold_start_us,
    };
    const struct dedup_config dedup = {
        .retention_us = config->retention_us,
        .clock_margin_us = CLOCK_MARGIN_US,
        .bytes_max = DEDUP_BYTES,
    };
    static const struct gate_ops ops = {
        .dispatch = gate_on_dispatch,
        .delegate = gate_on_delegate,
        .stop = gate_on_stop,
        .answer = gate_on_answer,
        .done = gate_on_done,
    };
    instance->suspects = suspects_create(SUSPECTS_MAX);
    instance->admission =
        admission_create(&limits, instance->suspects, gate_find_ownership,
                         instance, model->now_us);
    instance->dedup = dedup_create(&dedup);
    instance->gate = gate_create(instance->admission, instance->dedup, NULL,
                                 instance->suspects, &ops, instance);
    if (instance->gate == NULL) {
        abort();
    }
    admission_set_lease(instance->admission, LEASE_UNLIMITED_US);
    const struct dedup_time time = model_dedup_time(model);
    for (uint32_t shard = 0; shard < MODEL_SHARDS; shard++) {
        if (model->owners[shard] == number) {
            dedup_acquire_shard(instance->dedup, shard, DEDUP_ACQUIRED_NEW,
                                &time);
        }
    }
}

void
model_gate_destroy(struct model_instance *instance)
{
    gate_destroy(instance->gate);
    dedup_destroy(instance->dedup);
    admission_destroy(instance->admission);
    suspects_destroy(instance->suspects);
}

static void
gate_on_deadline(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_attempt *attempt = model_attempt_find(model, number);
    if (attempt != NULL && !attempt->gate_request.answered &&
        !model->instances[attempt->target].frozen) {
        gate_expire(model->instances[attempt->target].gate,
                    &attempt->gate_request, model->now_us);
    }
}

void
model_gate_arrive(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_attempt *attempt = model_attempt_find(model, number);
    if (attempt == NULL) {
        return;
    }
    struct model_instance *instance = &model->instances[attempt->target];
    if (instance->frozen) {
        return; /* a frozen instance receives nothing */
    }
    struct gate_request *request = &attempt->gate_request;
    request->id = attempt->parent == MODEL_NO_ATTEMPT ? attempt->call->id : "";
    request->key = (uint32_t)hash_string(attempt->call->id);
    request->body_hash = attempt->call->number;
    request->admission.shard = model_shard_of(attempt->call);
    const int64_t deadline_us = request->admission.entry.deadline_us;
    model_schedule(model, deadline_us - model->now_us, gate_on_deadline, NULL,
                   number);
    const struct dedup_time time = model_dedup_time(model);
    gate_arrive(instance->gate, request, &time);
}

void
model_gate_cancel(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_attempt *attempt = model_attempt_find(model, number);
    if (attempt != NULL && !model->instances[attempt->target].frozen) {
        gate_cancel(model->instances[attempt->target].gate,
                    &attempt->gate_request, model->now_us);
    }
}

static void
gate_report_end(struct model *model, void *ctx, uint64_t number)
{
    struct model_attempt *attempt = model_attempt_find(model, number);
    if (attempt != NULL) {
        model_gate_ended(model, attempt, (enum gate_result)(uintptr_t)ctx);
    }
}

void
model_gate_ended(struct model *model, struct model_attempt *attempt,
                 enum gate_result result)
{
    struct model_instance *instance = &model->instances[attempt->target];
    if (instance->frozen) {
        attempt->result = result;
        model_schedule(model, FROZEN_RETRY_US, gate_report_end, NULL,
                       attempt->number);
        return;
    }
    const uint64_t call_number = attempt->call->number;
    gate_finish(instance->gate, &attempt->gate_request, result, 200,
                &call_number, sizeof(call_number), model->now_us);
}
