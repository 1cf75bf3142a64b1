#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "entry/model_internal.h"

#define LEASE_FOREVER_US (INT64_MAX / 2)
#define SUSPECTS_MAX 256
#define DEDUP_BYTES (16u << 20)
#define CLOCK_MARGIN_US (500 * MODEL_MS)
#define LOCAL_CONNECT_US 100
#define FROZEN_STEP_US (10 * MODEL_MS)

static struct model_work *
work_of(struct gate_request *request)
{
    /* The gate's part is the first member. */
    return (struct model_work *)request;
}

struct model_work *
model_work_find(struct model *model, uint64_t number)
{
    return number < model->work_count ? model->works[number] : NULL;
}

struct model_work *
model_work_create(struct model *model, struct model_order *order,
                  unsigned entry, unsigned target)
{
    struct model_work *work = calloc(1, sizeof(*work));
    model->works =
        model_reserve(model->works, model->work_count, &model->work_capacity,
                      sizeof(model->works[0]));
    if (work == NULL) {
        abort();
    }
    work->number = model->work_count;
    work->order = order;
    work->entry = entry;
    work->target = target;
    work->parent = MODEL_NO_WORK;
    model->works[model->work_count++] = work;
    return work;
}

void
model_work_free(struct model *model, struct model_work *work)
{
    model->works[work->number] = NULL;
    free(work);
}

uint32_t
model_shard_of(const struct model_order *order)
{
    return (uint32_t)(hash_string(order->id) % MODEL_SHARDS);
}

static enum admission_ownership
gate_owns(void *ctx, uint32_t shard, uint64_t *epoch)
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
    struct model_work *work = model_work_find(model, number);
    if (work == NULL || work->gate_request.state != GATE_STATE_DISPATCHED) {
        return;
    }
    struct model_instance *instance = &model->instances[work->target];
    if (instance->frozen) {
        model_at(model, FROZEN_STEP_US, gate_connected, NULL, number);
        return;
    }
    if (!instance->target.up || instance->target.failing) {
        gate_finish(instance->gate, &work->gate_request,
                    GATE_RESULT_CONNECT_FAILED, 0, NULL, 0, model->now_us);
        return;
    }
    if (!gate_begin_send(instance->gate, &work->gate_request, model->now_us)) {
        return;
    }
    if (!model_target_take(model, work)) {
        gate_finish(instance->gate, &work->gate_request, GATE_RESULT_SHED, 0,
                    NULL, 0, model->now_us);
    }
}

static void
gate_on_dispatch(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    struct model_work *work = work_of(request);
    model_at(instance->model, LOCAL_CONNECT_US, gate_connected, NULL,
             work->number);
}

static void
gate_on_stop(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    model_target_stop(instance->model, work_of(request));
}

static void
gate_on_delegate(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    const struct model_work *parent = work_of(request);
    const uint32_t self = instance->number;
    uint32_t member =
        choice_pick(instance->choice, &self, 1, false, model->now_us);
    if (member == CHOICE_NONE) {
        member = self;
    }
    struct model_work *work =
        model_work_create(model, parent->order, instance->number, member);
    work->parent = parent->number;
    work->gate_request.admission.entry.deadline_us =
        request->admission.entry.deadline_us;
    work->gate_request.admission.fingerprint = request->admission.fingerprint;
    choice_start(instance->choice, &work->delegated, member, model->now_us);
    model->counts.sends++;
    model_trace(model, "%s gate delegates #%llu to i%u", instance->name,
                (unsigned long long)parent->order->number, member);
    model_at(model, model_delay_us(model, instance->number, member),
             model_gate_arrive, NULL, work->number);
}

struct reply_message {
    struct request_reply reply;
    struct forward_load load;
    uint64_t arrival;
    uint32_t attempt;
    uint64_t order;
    uint64_t parent;
    bool lost;
};

static void
delegated_reply(struct model *model, struct reply_message *message)
{
    struct model_work *parent = model_work_find(model, message->parent);
    if (parent == NULL) {
        return;
    }
    const struct gate_delegated result = {
        .outcome = message->lost ? FORWARD_UNKNOWN : message->reply.outcome,
        .reason =
            message->lost ? FORWARD_REASON_PEER_LOST : message->reply.reason,
        .retry_after_ms = message->reply.retry_after_ms,
        .status = 200,
        .data = &message->order,
        .size = sizeof(message->order),
    };
    gate_delegated(model->instances[parent->target].gate,
                   &parent->gate_request, &result, model->now_us);
}

static bool
parent_is_frozen(struct model *model, uint64_t number)
{
    const struct model_work *parent = model_work_find(model, number);
    return parent != NULL && model->instances[parent->target].frozen;
}

static void
reply_arrives(struct model *model, void *ctx, uint64_t arg)
{
    (void)arg;
    struct reply_message *message = ctx;
    if (parent_is_frozen(model, message->parent)) {
        model_at(model, FROZEN_STEP_US, reply_arrives, message, 0);
        return;
    }
    message->reply.load = &message->load;
    if (message->parent != MODEL_NO_WORK) {
        delegated_reply(model, message);
    }
    else if (message->lost) {
        model_entry_lost(model, message->arrival, message->attempt);
    }
    else {
        model_entry_replied(model, message->arrival, message->attempt,
                            &message->reply, message->order);
    }
    free(message);
}

void
model_drop_event(const struct model_event *event)
{
    if (event->callback == reply_arrives) {
        free(event->ctx);
    }
}

/* The delegating gate's view of the other one's load. */
static void
delegated_finish(struct model *model, struct model_work *work,
                 const struct reply_message *message)
{
    choice_finish(model->instances[work->entry].choice, &work->delegated,
                  model->now_us,
                  message->reply.outcome == FORWARD_ANSWERED ? CHOICE_ANSWERED
                                                             : CHOICE_REFUSED,
                  &message->load);
}

static void
gate_on_answer(void *ctx, struct gate_request *request,
               const struct gate_answer *answer)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    struct model_work *work = work_of(request);
    struct reply_message *message = calloc(1, sizeof(*message));
    if (message == NULL) {
        abort();
    }
    message->reply = (struct request_reply){
        .outcome = answer->outcome,
        .reason = answer->reason,
        .retry_after_ms = answer->retry_after_ms,
        .owner = CHOICE_NONE,
    };
    admission_load(instance->admission, model->now_us, &message->load);
    message->arrival = work->arrival;
    message->attempt = work->attempt;
    if (answer->outcome == FORWARD_ANSWERED) {
        memcpy(&message->order, answer->data, sizeof(message->order));
    }
    message->parent = work->parent;
    if (work->parent != MODEL_NO_WORK) {
        delegated_finish(model, work, message);
    }
    message->lost = random_chance(&model->random, model->config.lost_replies);
    if (answer->outcome != FORWARD_ANSWERED || message->lost ||
        answer->replayed) {
        model_trace(model, "%s gate: #%llu outcome %d reason %d%s%s",
                    instance->name, (unsigned long long)work->order->number,
                    answer->outcome, answer->reason,
                    answer->replayed ? " replayed" : "",
                    message->lost ? " (reply lost)" : "");
    }
    model_at(model, model_delay_us(model, work->target, work->entry),
             reply_arrives, message, 0);
}

static void
gate_on_done(void *ctx, struct gate_request *request)
{
    struct model_instance *instance = ctx;
    model_work_free(instance->model, work_of(request));
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
    instance->admission = admission_create(&limits, instance->suspects,
                                           gate_owns, instance, model->now_us);
    instance->dedup = dedup_create(&dedup);
    instance->gate = gate_create(instance->admission, instance->dedup, NULL,
                                 instance->suspects, &ops, instance);
    if (instance->gate == NULL) {
        abort();
    }
    admission_set_lease(instance->admission, LEASE_FOREVER_US);
    const struct dedup_time time = model_time(model);
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
gate_deadline(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_work *work = model_work_find(model, number);
    if (work != NULL && !work->gate_request.answered &&
        !model->instances[work->target].frozen) {
        gate_expire(model->instances[work->target].gate, &work->gate_request,
                    model->now_us);
    }
}

void
model_gate_arrive(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_work *work = model_work_find(model, number);
    if (work == NULL) {
        return;
    }
    struct model_instance *instance = &model->instances[work->target];
    if (instance->frozen) {
        return; /* lost; see model_freeze() */
    }
    struct gate_request *request = &work->gate_request;
    request->id = work->parent == MODEL_NO_WORK ? work->order->id : "";
    request->key = (uint32_t)hash_string(work->order->id);
    request->body_hash = work->order->number;
    request->admission.shard = model_shard_of(work->order);
    const int64_t left_us = request->admission.entry.deadline_us;
    model_at(model, left_us - model->now_us, gate_deadline, NULL, number);
    const struct dedup_time time = model_time(model);
    gate_arrive(instance->gate, request, &time);
}

void
model_gate_cancel(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_work *work = model_work_find(model, number);
    if (work != NULL && !model->instances[work->target].frozen) {
        gate_cancel(model->instances[work->target].gate, &work->gate_request,
                    model->now_us);
    }
}

static void
gate_ended_later(struct model *model, void *ctx, uint64_t number)
{
    struct model_work *work = model_work_find(model, number);
    if (work != NULL) {
        model_gate_ended(model, work, (enum gate_result)(uintptr_t)ctx);
    }
}

void
model_gate_ended(struct model *model, struct model_work *work,
                 enum gate_result end)
{
    struct model_instance *instance = &model->instances[work->target];
    if (instance->frozen) {
        work->end = end;
        model_at(model, FROZEN_STEP_US, gate_ended_later, NULL, work->number);
        return;
    }
    const uint64_t order = work->order->number;
    gate_finish(instance->gate, &work->gate_request, end, 200, &order,
                sizeof(order), model->now_us);
}
