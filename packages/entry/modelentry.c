#include <stdio.h>
#include <stdlib.h>

#include "base/invariant.h"
#include "entry/model_internal.h"

#define RESEND_DELAY_US (50 * MODEL_MS)
#define TIMER_BITS 16
#define QUICK_REFUSAL_US (5 * MODEL_MS)
#define CAPACITY_REFUSAL(reason)                                              \
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
    struct model_work *work =
        model_work_create(model, arrival->order, arrival->entry, send->member);
    work->arrival = number;
    work->attempt = send->number;
    struct admission_request *admission = &work->gate_request.admission;
    const int64_t delay_us =
        model_delay_us(model, instance->number, send->member);
    const bool order = arrival->order->id[0] != '\0';
    admission->entry.deadline_us = model->now_us + send->remaining_us;
    admission->entry.idempotent = !order;
    admission->keyed = order;
    work->gate_request.may_delegate = order;
    admission->suspect = send->suspect;
    admission->hedge = send->hedge;
    admission->epoch = send->epoch;
    admission->fingerprint = arrival->order->number;
    arrival->works[send->number] = work->number;
    model->counts.sends++;
    model_trace(model, "%s entry sends #%llu try %u to %s%s%s", instance->name,
                (unsigned long long)arrival->order->number, send->number,
                choice_name(instance->choice, send->member),
                send->hedge ? " as a hedge" : "",
                send->suspect ? " as a suspect" : "");
    model_at(model, delay_us, model_gate_arrive, NULL, work->number);
}

static void
entry_on_cancel(void *ctx, struct request *request, uint32_t number)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    const struct model_arrival *arrival = request_data(request);
    const struct model_work *work =
        model_work_find(model, arrival->works[number]);
    if (work != NULL) {
        model_at(model, model_delay_us(model, instance->number, work->target),
                 model_gate_cancel, NULL, work->number);
    }
}

static void
entry_timer(struct model *model, void *ctx, uint64_t arg)
{
    (void)ctx;
    struct model_arrival *arrival = entry_arrival(model, arg >> TIMER_BITS);
    if (arrival != NULL && arrival->timer == (uint16_t)arg) {
        request_timer(arrival->request, model->now_us);
    }
}

static void
entry_on_timer(void *ctx, struct request *request, int64_t due_us)
{
    struct model_instance *instance = ctx;
    struct model *model = instance->model;
    struct model_arrival *arrival = request_data(request);
    arrival->timer++;
    model_at(model, due_us - model->now_us, entry_timer, NULL,
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
    model_send_order(model, ctx);
}

static void
order_ended(struct model *model, struct model_order *order,
            enum forward_outcome told, enum forward_reason reason)
{
    order->told = told;
    if (told != FORWARD_ANSWERED && order->resends_left > 0) {
        order->resends_left--;
        if (order->kind != MODEL_CRASHER) {
            order->entry = (order->entry + 1) % model->config.targets;
        }
        model_at(model, RESEND_DELAY_US, entry_resend, order, 0);
        return;
    }
    order->ended = true;
    model->open--;
    if (order->kind == MODEL_CRASHER || order->kind == MODEL_CRASHING_ORDER) {
        return;
    }
    const bool is_order = order->id[0] != '\0';
    if (told == FORWARD_ANSWERED) {
        model->counts.answered++;
    }
    else if (!is_order) {
        model->counts.reads_failed++;
    }
    else if (told == FORWARD_NOT_RUN) {
        model->counts.orders_refused++;
    }
    else {
        model->counts.orders_unknown++;
    }
    model->counts.suspects_refused +=
        told != FORWARD_ANSWERED && reason == FORWARD_REASON_SUSPECT;
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
arrival_ended(struct model *model, struct model_order *order,
              enum forward_outcome outcome, enum forward_reason reason)
{
    const int64_t latency_us = model->now_us - order->first_us;
    if (outcome == FORWARD_ANSWERED && order->kind <= MODEL_ORDER) {
        record_latency(model, latency_us);
    }
    if (outcome == FORWARD_NOT_RUN && CAPACITY_REFUSAL(reason)) {
        model->counts.refusals++;
        model->counts.slow_refusals += latency_us > QUICK_REFUSAL_US;
    }
    order_ended(model, order, outcome, reason);
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
                instance->name, (unsigned long long)arrival->order->number,
                answer->outcome, answer->reason);
    arrival_ended(model, arrival->order, answer->outcome, answer->reason);
    model_at(model, 0, entry_free_arrival, NULL, number);
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
        return owner->moving ? CHOICE_NONE : owner->number;
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
model_entry_replied(struct model *model, uint64_t number, uint32_t attempt,
                    const struct request_reply *reply, uint64_t answered_order)
{
    struct model_arrival *arrival = entry_arrival(model, number);
    if (arrival == NULL) {
        return;
    }
    if (reply->outcome == FORWARD_ANSWERED &&
        !invariant_check(INVARIANT_OWN_ANSWER,
                         answered_order == arrival->order->number,
                         arrival->order->id)) {
        model->counts.wrong_answers++;
    }
    request_replied(arrival->request, attempt, reply, model->now_us);
}

void
model_entry_lost(struct model *model, uint64_t number, uint32_t attempt)
{
    struct model_arrival *arrival = entry_arrival(model, number);
    if (arrival != NULL) {
        request_failed(arrival->request, attempt, REQUEST_LOST, model->now_us);
    }
}

struct model_order *
model_order_create(struct model *model, unsigned entry, enum model_kind kind,
                   unsigned resends)
{
    struct model_order *order = calloc(1, sizeof(*order));
    model->orders =
        model_reserve(model->orders, model->order_count,
                      &model->order_capacity, sizeof(model->orders[0]));
    if (order == NULL) {
        abort();
    }
    order->number = model->order_count;
    order->kind = kind;
    order->entry = entry;
    order->resends_left = resends;
    order->first_us = model->now_us;
    if (kind == MODEL_ORDER || kind == MODEL_CRASHING_ORDER) {
        const struct dedup_time time = model_time(model);
        snprintf(order->id, sizeof(order->id), "%lld-%llu",
                 (long long)time.wall_ms, (unsigned long long)order->number);
    }
    model->orders[model->order_count++] = order;
    model->open++;
    return order;
}

static unsigned
plain_choose(struct model *model, struct model_instance *instance)
{
    const unsigned count = model->config.targets;
    const unsigned a = (unsigned)random_below(&model->random, count);
    unsigned b = (unsigned)random_below(&model->random, count);
    unsigned least = a;
    switch (model->config.policy) {
    case MODEL_ROUND_ROBIN:
        return instance->turn++ % count;
    case MODEL_TWO_CHOICES:
        while (b == a && count > 1) {
            b = (unsigned)random_below(&model->random, count);
        }
        return instance->outstanding[b] < instance->outstanding[a] ? b : a;
    case MODEL_LEAST_CONNECTIONS:
        for (unsigned i = 0; i < count; i++) {
            const unsigned at = (a + i) % count;
            if (instance->outstanding[at] < instance->outstanding[least]) {
                least = at;
            }
        }
        return least;
    case MODEL_RANDOM:
    case MODEL_CHESTNUTGAP:
        break;
    }
    return a;
}

static void
plain_arrives(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_work *work = model_work_find(model, number);
    const struct model_target *target = &model->instances[work->target].target;
    if (!target->up || target->failing || !model_target_take(model, work)) {
        model_plain_ended(model, work, GATE_RESULT_SHED);
    }
}

static void
plain_replied(struct model *model, void *ctx, uint64_t number)
{
    struct model_work *work = model_work_find(model, number);
    struct model_arrival *arrival = entry_arrival(model, work->arrival);
    const bool answered = ctx != NULL;
    model->instances[work->entry].outstanding[work->target]--;
    arrival_ended(model, arrival->order,
                  answered ? FORWARD_ANSWERED : FORWARD_UNKNOWN,
                  FORWARD_REASON_NONE);
    entry_free_arrival(model, NULL, work->arrival);
    model_work_free(model, work);
}

void
model_plain_ended(struct model *model, struct model_work *work,
                  enum gate_result end)
{
    model_at(model, model_delay_us(model, work->target, work->entry),
             plain_replied, end == GATE_RESULT_ANSWERED ? work : NULL,
             work->number);
}

static void
plain_send(struct model *model, struct model_arrival *arrival, uint64_t number)
{
    struct model_instance *instance = &model->instances[arrival->entry];
    const unsigned target = plain_choose(model, instance);
    struct model_work *work =
        model_work_create(model, arrival->order, arrival->entry, target);
    work->arrival = number;
    work->plain = true;
    instance->outstanding[target]++;
    model->counts.sends++;
    model_at(model, model_delay_us(model, arrival->entry, target),
             plain_arrives, NULL, work->number);
}

void
model_send_order(struct model *model, struct model_order *order)
{
    struct model_arrival *arrival = calloc(1, sizeof(*arrival));
    model->arrivals =
        model_reserve(model->arrivals, model->arrival_count,
                      &model->arrival_capacity, sizeof(model->arrivals[0]));
    if (arrival == NULL) {
        abort();
    }
    arrival->order = order;
    arrival->entry = order->entry;
    const uint64_t number = model->arrival_count;
    arrival->number = number;
    model->arrivals[model->arrival_count++] = arrival;
    if (model->config.policy != MODEL_CHESTNUTGAP) {
        plain_send(model, arrival, number);
        return;
    }
    const bool is_order = order->id[0] != '\0';
    const struct request_spec spec = {
        .shard = model_shard_of(order),
        .fingerprint = order->number,
        .deadline_us = model->now_us + model->config.deadline_us,
        .keyed = is_order,
        .idempotent = !is_order,
        .has_id = is_order,
        .may_hedge = model->config.hedge_percent > 0,
    };
    arrival->request =
        request_create(&model->instances[order->entry].env, &spec, arrival);
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
    const bool is_order = random_chance(&model->random, model->config.orders);
    model->counts.requests++;
    struct model_order *order = model_order_create(
        model, choose_entry(model), is_order ? MODEL_ORDER : MODEL_READ,
        is_order ? model->config.resends : 0);
    model_send_order(model, order);
    model_at(model,
             (int64_t)random_exponential(&model->random, 1e6 / model->rate),
             model_entry_next_arrival, NULL, 0);
}
