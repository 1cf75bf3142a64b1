#include "entry/model_internal.h"

#include <math.h>

/* Log-normal service times; the 99th percentile is 3.4 times the mean. */
#define SERVICE_SIGMA 0.6
#define RESTART_US (500 * US_PER_MS)
#define CRASH_AFTER_US (2 * US_PER_MS)
/* A target crashes when it runs this many times its capacity for this long. */
#define OVERLOAD_CRASH_RATIO 4
#define OVERLOAD_CRASH_US (100 * US_PER_MS)

void
model_target_init(struct model *model, unsigned number)
{
    struct model_target *target = &model->instances[number].target;
    target->slow_factor = 1;
    target->up = true;
    target->incarnation = 1;
    target->overloaded_since_us = -1;
    target->cold_since_us = model->config.start_warm ? -1 : model->now_us;
}

unsigned
model_target_capacity(const struct model *model, unsigned number)
{
    const struct model_config *config = &model->config;
    const struct model_target *target = &model->instances[number].target;
    const int64_t age_us = model->now_us - target->cold_since_us;
    if (target->cold_since_us < 0 || age_us >= config->cold_start_us) {
        return config->slots;
    }
    return config->cold_limit;
}

static int64_t
target_service_us(struct model *model, unsigned number)
{
    struct model_target *target = &model->instances[number].target;
    const double u = 1 - random_unit(&model->random);
    const double v = random_unit(&model->random);
    const double normal = sqrt(-2 * log(u)) * cos(2 * M_PI * v);
    const double shift = -SERVICE_SIGMA * SERVICE_SIGMA / 2;
    double service_time_us = (double)model->config.service_time_us *
                             exp(shift + SERVICE_SIGMA * normal) *
                             target->slow_factor;
    const unsigned capacity = model_target_capacity(model, number);
    if (capacity < model->config.slots) {
        service_time_us *= 2; /* caches are empty */
    }
    if (target->running > capacity) {
        service_time_us *= (double)target->running / capacity;
    }
    return (int64_t)service_time_us + 1;
}

static void
target_end(struct model *model, struct model_attempt *attempt,
           enum gate_result result)
{
    attempt->at_target = false;
    attempt->running = false;
    if (attempt->direct) {
        model_direct_ended(model, attempt, result);
    }
    else {
        model_gate_ended(model, attempt, result);
    }
}

static void target_serve_next(struct model *model, unsigned number);

static void
target_finished(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_attempt *attempt = model_attempt_find(model, number);
    if (attempt == NULL || !attempt->running) {
        return; /* cancelled in the meantime */
    }
    model->instances[attempt->target].target.running--;
    const unsigned target = attempt->target;
    const bool cut =
        random_chance(&model->random, model->config.cut_answer_share);
    target_end(model, attempt, cut ? GATE_RESULT_CUT : GATE_RESULT_ANSWERED);
    target_serve_next(model, target);
}

static void
target_crash_by_request(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_attempt *attempt = model_attempt_find(model, number);
    if (attempt != NULL && attempt->running) {
        model_crash(model, attempt->target);
    }
}

static void
target_start(struct model *model, struct model_attempt *attempt)
{
    struct model_instance *instance = &model->instances[attempt->target];
    struct model_target *target = &instance->target;
    target->running++;
    target->executions++;
    attempt->running = true;
    attempt->call->executions++;
    model->counts.executions++;
    const unsigned capacity = model_target_capacity(model, attempt->target);
    model->counts.over_capacity += target->running > capacity;
    const int64_t out_us = model->zone_out_since_us[instance->zone];
    model->counts.starts_in_zone_out +=
        model->zone_out[instance->zone] &&
        model->now_us - out_us > 3000 * US_PER_MS;
    model_trace(model, "%s target runs #%llu", instance->name,
                (unsigned long long)attempt->call->number);
    if (attempt->call->kind == MODEL_CRASHING_READ ||
        attempt->call->kind == MODEL_CRASHING_ORDER) {
        model_schedule(model, CRASH_AFTER_US, target_crash_by_request, NULL,
                       attempt->number);
        return;
    }
    model_schedule(model, target_service_us(model, attempt->target),
                   target_finished, NULL, attempt->number);
    if (target->running <= OVERLOAD_CRASH_RATIO * capacity) {
        target->overloaded_since_us = -1;
    }
    else if (target->overloaded_since_us < 0) {
        target->overloaded_since_us = model->now_us;
    }
    else if (model->now_us - target->overloaded_since_us > OVERLOAD_CRASH_US) {
        model_crash(model, attempt->target);
    }
}

static void
target_serve_next(struct model *model, unsigned number)
{
    struct model_target *target = &model->instances[number].target;
    while (target->queue_head != NULL &&
           target->running < model->config.slots) {
        struct model_attempt *attempt = target->queue_head;
        target->queue_head = attempt->next;
        target->queued--;
        target_start(model, attempt);
    }
}

bool
model_target_accept(struct model *model, struct model_attempt *attempt)
{
    struct model_target *target = &model->instances[attempt->target].target;
    const struct model_config *config = &model->config;
    const bool is_shedding = config->actual_slots > 0;
    const unsigned slots = is_shedding ? config->actual_slots : config->slots;
    attempt->at_target = true;
    attempt->next = NULL;
    if (target->running < slots) {
        target_start(model, attempt);
        return true;
    }
    if (is_shedding ||
        target->running + target->queued >= config->connections) {
        attempt->at_target = false;
        return false;
    }
    if (target->queue_head == NULL) {
        target->queue_head = attempt;
    }
    else {
        target->queue_tail->next = attempt;
    }
    target->queue_tail = attempt;
    target->queued++;
    return true;
}

static void
target_unqueue(struct model_target *target,
               const struct model_attempt *attempt)
{
    struct model_attempt **at = &target->queue_head;
    struct model_attempt *previous = NULL;
    while (*at != NULL && *at != attempt) {
        previous = *at;
        at = &(*at)->next;
    }
    if (*at == NULL) {
        return;
    }
    *at = attempt->next;
    target->queued--;
    if (target->queue_tail == attempt) {
        target->queue_tail = previous;
    }
}

void
model_target_stop(struct model *model, struct model_attempt *attempt)
{
    struct model_target *target = &model->instances[attempt->target].target;
    if (!attempt->at_target) {
        return;
    }
    attempt->at_target = false;
    if (!attempt->running) {
        target_unqueue(target, attempt);
        return;
    }
    attempt->running = false;
    target->running--;
    target_serve_next(model, attempt->target);
}

static void
target_restart(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_instance *instance = &model->instances[number];
    instance->target.up = true;
    instance->target.incarnation++;
    instance->target.cold_since_us = model->now_us;
    limit_target_restarted(admission_limit(instance->admission),
                           model->now_us);
    model_trace(model, "%s target started", instance->name);
}

void
model_crash(struct model *model, unsigned number)
{
    struct model_instance *instance = &model->instances[number];
    if (!instance->target.up) {
        return;
    }
    model_trace(model, "%s target crashed", instance->name);
    model->counts.crashes++;
    instance->target.up = false;
    instance->target.running = 0;
    instance->target.queued = 0;
    instance->target.queue_head = NULL;
    instance->target.overloaded_since_us = -1;
    gate_set_incarnation(instance->gate, ((uint64_t)number << 32) |
                                             instance->target.incarnation);
    for (size_t i = 0; i < model->attempt_count; i++) {
        struct model_attempt *attempt = model->attempts[i];
        if (attempt != NULL && attempt->target == number &&
            attempt->at_target) {
            target_end(model, attempt, GATE_RESULT_CUT);
        }
    }
    /* The gate's next connection is refused, which proves the crash. */
    gate_target_crashed(instance->gate,
                        ((uint64_t)number << 32) |
                            instance->target.incarnation,
                        model->now_us);
    model_schedule(model, MODEL_CRASH_PUSH_DELAY_US, model_push_suspects, NULL,
                   0);
    model_schedule(model, RESTART_US, target_restart, NULL, number);
}

void
model_set_slow(struct model *model, unsigned number, double factor)
{
    model->instances[number].target.slow_factor = factor;
    model_trace(model, "%s target takes %.0f times as long",
                model->instances[number].name, factor);
}

void
model_turn_cold(struct model *model, unsigned number)
{
    model->instances[number].target.cold_since_us = model->now_us;
    model_trace(model, "%s target turned cold", model->instances[number].name);
}

void
model_set_failing(struct model *model, unsigned number, bool failing)
{
    model->instances[number].target.failing = failing;
}
