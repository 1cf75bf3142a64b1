#include <stdio.h>
#include <stdlib.h>

#include "base/invariant.h"
#include "entry/model_internal.h"

#define RESEND_DELAY_US (50 * US_PER_MS)
#define TIMER_BITS 16
#define SLOW_REFUSAL_US (5 * US_PER_MS)
#define IS_CAPACITY_REFUSAL(reason)                                           \
    ((reason) == FORWARD_REASON_OVERLOADED || (reason) == FORWARD_REASON_COLD)

static struct model_arrival *
entry_arrival(struct model *model, uint64_t number)
{
    return number < model->arrival_count ? model->arrivals[number] : NULL;
}

static uint64_t
arrival_number(const struct request *request)
{
    return ((const struct model_arrival *)request_data(request))->number;
}

static void
entry_on_send(void *ctx, struct request *request,
              const struct request_send *send)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    const uint64_t number = arrival_number(request);
    struct model_arrival *arrival = entry_arrival(model, number);
    struct model_attempt *attempt = model_attempt_create(
        model, arrival->call, arrival->entry, send->member);
    attempt->arrival = number;
    attempt->entry_attempt = send->number;
    struct admission_request *admission = &attempt->gate_request.admission;
    const int64_t delay_us =
        model_delay_us(model, instance->number, send->member);
    const bool is_order = arrival->call->id[0] != '\0';
    admission->entry.deadline_us = model->now_us + send->remaining_us;
    admission->entry.idempotent = !is_order;
    admission->keyed = is_order;
    attempt->gate_request.may_delegate = is_order;
    admission->suspect = send->suspect;
    admission->hedge = send->hedge;
    admission->epoch = send->epoch;
    admission->fingerprint = arrival->call->number;
    arrival->attempts[send->number] = attempt->number;
    model->counts.attempts++;
    model_trace(model, "%s entry sends #%llu try %u to %s%s%s", instance->name,
                (unsigned long long)arrival->call->number, send->number,
                choice_member_name(instance->choice, send->member),
                send->hedge ? " as a hedge" : "",
                send->suspect ? " as a suspect" : "");
    model_schedule(model, delay_us, model_gate_arrive, NULL, attempt->number);
}

static void
entry_on_cancel(void *ctx, struct request *request, uint32_t number)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    const struct model_arrival *arrival = request_data(request);
    const struct model_attempt *attempt =
        model_attempt_find(model, arrival->attempts[number]);
    if (attempt != NULL) {
        model_schedule(
            model, model_delay_us(model, instance->number, attempt->target),
            model_gate_cancel, NULL, attempt->number);
    }
}

static void
entry_timer(struct model *model, void *ctx, uint64_t arg)
{
    (void)ctx;
    struct model_arrival *arrival = entry_arrival(model, arg >> TIMER_BITS);
    if (arrival != NULL && arrival->timer == (uint16_t)arg) {
        request_timer_expired(arrival->request, model->now_us);
    }
}

static void
entry_on_timer(void *ctx, struct request *request, int64_t due_us)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    struct model_arrival *arrival = request_data(request);
    arrival->timer++;
    model_schedule(model, due_us - model->now_us, entry_timer, NULL,
                   (arrival->number << TIMER_BITS) | arrival->timer);
}

static void
entry_free_arrival(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_arrival *arrival = entry_arrival(model, number);
    model->arrivals[number] = NULL;
    if (arrival->request != NULL) {
        request_destroy(arrival->request);
    }
    free(arrival);
}

static void
entry_resend(struct model *model, void *ctx, uint64_t arg)
{
    (void)arg;
    model_send_call(model, ctx);
}

static void
call_ended(struct model *model, struct model_call *call,
           enum forward_outcome outcome, enum forward_reason reason)
{
    call->outcome = outcome;
    if (outcome != FORWARD_ANSWERED && call->resends_left > 0) {
        call->resends_left--;
        if (call->kind != MODEL_CRASHING_READ) {
            call->entry = (call->entry + 1) % model->config.targets;
        }
        model_schedule(model, RESEND_DELAY_US, entry_resend, call, 0);
        return;
    }
    call->ended = true;
    model->open_calls--;
    if (call->kind == MODEL_CRASHING_READ ||
        call->kind == MODEL_CRASHING_ORDER) {
        return;
    }
    const bool is_order = call->id[0] != '\0';
    if (outcome == FORWARD_ANSWERED) {
        model->counts.answered++;
    }
    else if (!is_order) {
        model->counts.reads_failed++;
    }
    else if (outcome == FORWARD_NOT_RUN) {
        model->counts.orders_refused++;
    }
    else {
        model->counts.orders_unknown++;
    }
    model->counts.suspects_refused +=
        outcome != FORWARD_ANSWERED && reason == FORWARD_REASON_SUSPECT;
}

static void
record_latency(struct model *model, int64_t latency_us)
{
    model->latencies =
        model_reserve(model->latencies, model->latency_count,
                      &model->latency_capacity, sizeof(model->latencies[0]));
    model->latencies[model->latency_count++] = latency_us;
}

static void
arrival_finished(struct model *model, struct model_call *call,
                 enum forward_outcome outcome, enum forward_reason reason)
{
    const int64_t latency_us = model->now_us - call->started_us;
    if (outcome == FORWARD_ANSWERED && call->kind <= MODEL_ORDER) {
        record_latency(model, latency_us);
    }
    if (outcome == FORWARD_NOT_RUN && IS_CAPACITY_REFUSAL(reason)) {
        model->counts.refusals++;
        model->counts.slow_refusals += latency_us > SLOW_REFUSAL_US;
    }
    call_ended(model, call, outcome, reason);
}

static void
entry_on_answer(void *ctx, struct request *request,
                const struct request_answer *answer)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    const uint64_t number = arrival_number(request);
    const struct model_arrival *arrival = entry_arrival(model, number);
    model_trace(model, "%s entry answers #%llu outcome %d reason %d",
                instance->name, (unsigned long long)arrival->call->number,
                answer->outcome, answer->reason);
    arrival_finished(model, arrival->call, answer->outcome, answer->reason);
    model_schedule(model, 0, entry_free_arrival, NULL, number);
}

static uint32_t
entry_find_owner(void *ctx, uint32_t shard, uint64_t *epoch)
{
    const struct model_instance *instance = ctx;
    const struct model *model = instance->model;
    *epoch = model->epochs[shard];
    const struct model_instance *owner =
        &model->instances[model->owners[shard]];
    if (owner->moving || owner->frozen) {
        return owner->moving ? CHOICE_NO_MEMBER : owner->number;
    }
    return owner->number;
}

void
model_entry_init(struct model *model, unsigned number)
{
    static const struct request_ops ops = {
        .send = entry_on_send,
        .cancel = entry_on_cancel,
        .answer = entry_on_answer,
        .set_timer = entry_on_timer,
    };
    struct model_instance *instance = &model->instances[number];
    char zone[16];
    snprintf(zone, sizeof(zone), "z%u", instance->zone);
    instance->choice = choice_create(zone, &model->random);
    if (instance->choice == NULL) {
        abort();
    }
    for (unsigned i = 0; i < model->config.targets; i++) {
        char member_zone[16];
        snprintf(member_zone, sizeof(member_zone), "z%u",
                 i % model->config.zones);
        char name[16];
        snprintf(name, sizeof(name), "i%u", i);
        choice_add(instance->choice, name, member_zone);
    }
    retry_init(&instance->retry, model->config.retry_percent, model->now_us);
    hedge_init(&instance->hedge, model->config.hedge_percent, model->now_us);
    instance->env = (struct request_env){
        .choice = instance->choice,
        .retry = &instance->retry,
        .hedge = &instance->hedge,
        .suspects = instance->suspects,
        .random = &model->random,
        .owner = entry_find_owner,
        .owner_ctx = instance,
        .ops = ops,
        .ops_ctx = instance,
    };
}

void
model_entry_destroy(struct model_instance *instance)
{
    choice_destroy(instance->choice);
}

void
model_entry_replied(struct model *model, uint64_t number,
                    uint32_t entry_attempt, const struct request_reply *reply,
                    uint64_t answered_call)
{
    struct model_arrival *arrival = entry_arrival(model, number);
    if (arrival == NULL) {
        return;
    }
    if (reply->outcome == FORWARD_ANSWERED &&
        !invariant_check(INVARIANT_OWN_ANSWER,
                         answered_call == arrival->call->number,
                         arrival->call->id)) {
        model->counts.wrong_answers++;
    }
    request_replied(arrival->request, entry_attempt, reply, model->now_us);
}

void
model_entry_reply_lost(struct model *model, uint64_t number,
                       uint32_t entry_attempt)
{
    struct model_arrival *arrival = entry_arrival(model, number);
    if (arrival != NULL) {
        request_failed(arrival->request, entry_attempt, REQUEST_LOST,
                       model->now_us);
    }
}

struct model_call *
model_call_create(struct model *model, unsigned entry,
                  enum model_call_kind kind, unsigned resends)
{
    struct model_call *call = calloc(1, sizeof(*call));
    model->calls =
        model_reserve(model->calls, model->call_count, &model->call_capacity,
                      sizeof(model->calls[0]));
    if (call == NULL) {
        abort();
    }
    call->number = model->call_count;
    call->kind = kind;
    call->entry = entry;
    call->resends_left = resends;
    call->started_us = model->now_us;
    if (kind == MODEL_ORDER || kind == MODEL_CRASHING_ORDER) {
        const struct dedup_time time = model_dedup_time(model);
        snprintf(call->id, sizeof(call->id), "%lld-%llu",
                 (long long)time.wall_ms, (unsigned long long)call->number);
    }
    model->calls[model->call_count++] = call;
    model->open_calls++;
    return call;
}

static unsigned
direct_pick(struct model *model, struct model_instance *instance)
{
    const unsigned count = model->config.targets;
    const unsigned a = (unsigned)random_below(&model->random, count);
    unsigned b = (unsigned)random_below(&model->random, count);
    unsigned least_loaded = a;
    switch (model->config.policy) {
    case MODEL_ROUND_ROBIN:
        return instance->next_target++ % count;
    case MODEL_TWO_CHOICES:
        while (b == a && count > 1) {
            b = (unsigned)random_below(&model->random, count);
        }
        return instance->outstanding[b] < instance->outstanding[a] ? b : a;
    case MODEL_LEAST_CONNECTIONS:
        for (unsigned i = 0; i < count; i++) {
            const unsigned at = (a + i) % count;
            if (instance->outstanding[at] <
                instance->outstanding[least_loaded]) {
                least_loaded = at;
            }
        }
        return least_loaded;
    case MODEL_RANDOM:
    case MODEL_CHESTNUTGAP:
        break;
    }
    return a;
}

static void
direct_arrived(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_attempt *attempt = model_attempt_find(model, number);
    const struct model_target *target =
        &model->instances[attempt->target].target;
    if (!target->up || target->failing ||
        !model_target_accept(model, attempt)) {
        model_direct_ended(model, attempt, GATE_RESULT_SHED);
    }
}

static void
direct_replied(struct model *model, void *ctx, uint64_t number)
{
    struct model_attempt *attempt = model_attempt_find(model, number);
    struct model_arrival *arrival = entry_arrival(model, attempt->arrival);
    const bool answered = ctx != NULL;
    model->instances[attempt->entry].outstanding[attempt->target]--;
    arrival_finished(model, arrival->call,
                     answered ? FORWARD_ANSWERED : FORWARD_UNKNOWN,
                     FORWARD_REASON_NONE);
    entry_free_arrival(model, NULL, attempt->arrival);
    model_attempt_free(model, attempt);
}

void
model_direct_ended(struct model *model, struct model_attempt *attempt,
                   enum gate_result result)
{
    model_schedule(
        model, model_delay_us(model, attempt->target, attempt->entry),
        direct_replied, result == GATE_RESULT_ANSWERED ? attempt : NULL,
        attempt->number);
}

static void
direct_send(struct model *model, struct model_arrival *arrival,
            uint64_t number)
{
    struct model_instance *instance = &model->instances[arrival->entry];
    const unsigned target = direct_pick(model, instance);
    struct model_attempt *attempt =
        model_attempt_create(model, arrival->call, arrival->entry, target);
    attempt->arrival = number;
    attempt->direct = true;
    instance->outstanding[target]++;
    model->counts.attempts++;
    model_schedule(model, model_delay_us(model, arrival->entry, target),
                   direct_arrived, NULL, attempt->number);
}

void
model_send_call(struct model *model, struct model_call *call)
{
    struct model_arrival *arrival = calloc(1, sizeof(*arrival));
    model->arrivals =
        model_reserve(model->arrivals, model->arrival_count,
                      &model->arrival_capacity, sizeof(model->arrivals[0]));
    if (arrival == NULL) {
        abort();
    }
    arrival->call = call;
    arrival->entry = call->entry;
    const uint64_t number = model->arrival_count;
    arrival->number = number;
    model->arrivals[model->arrival_count++] = arrival;
    if (model->config.policy != MODEL_CHESTNUTGAP) {
        direct_send(model, arrival, number);
        return;
    }
    const bool is_order = call->id[0] != '\0';
    const struct request_spec spec = {
        .shard = model_shard_of(call),
        .fingerprint = call->number,
        .deadline_us = model->now_us + model->config.deadline_us,
        .keyed = is_order,
        .idempotent = !is_order,
        .has_id = is_order,
        .may_hedge = model->config.hedge_percent > 0,
    };
    arrival->request =
        request_create(&model->instances[call->entry].env, &spec, arrival);
    request_start(arrival->request, model->now_us);
}

static unsigned
choose_entry(struct model *model)
{
    unsigned entry;
    do {
        entry = (unsigned)random_below(&model->random, model->config.targets);
    } while (model->instances[entry].frozen ||
             model->instances[entry].leaving ||
             model->zone_out[model->instances[entry].zone]);
    return entry;
}

void
model_entry_next_arrival(struct model *model, void *ctx, uint64_t arg)
{
    (void)ctx;
    (void)arg;
    if (model->stopped) {
        return;
    }
    const bool is_order =
        random_chance(&model->random, model->config.order_share);
    model->counts.requests++;
    struct model_call *call = model_call_create(
        model, choose_entry(model), is_order ? MODEL_ORDER : MODEL_READ,
        is_order ? model->config.resends : 0);
    model_send_call(model, call);
    model_schedule(
        model, (int64_t)random_exponential(&model->random, 1e6 / model->rate),
        model_entry_next_arrival, NULL, 0);
}
