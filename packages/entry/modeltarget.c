#include "entry/model_internal.h"

#include <math.h>

/* Spread of service times: log-normal, the 99th percentile is at 3.4 means. */
#define SERVICE_SIGMA 0.6
#define RESTART_US (500 * MODEL_MS)
#define CRASH_AFTER_US (2 * MODEL_MS)
/* A target falls over when it runs this many times what it bears. */
#define FALL_OVER_RATIO 4
/* ...for this long. */
#define FALL_OVER_US (100 * MODEL_MS)

void
model_target_init(struct model *model, unsigned number)
{
    struct model_target *target = &model->instances[number].target;
    target->slow = 1;
    target->up = true;
    target->incarnation = 1;
    target->overrun_since_us = -1;
    target->cold_since_us = model->config.start_warm ? -1 : model->now_us;
}

unsigned
model_target_bears(const struct model *model, unsigned number)
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
    double service_us = (double)model->config.service_us *
                        exp(shift + SERVICE_SIGMA * normal) * target->slow;
    const unsigned bears = model_target_bears(model, number);
    if (bears < model->config.slots) {
        service_us *= 2; /* caches are empty */
    }
    if (target->running > bears) {
        service_us *= (double)target->running / bears;
    }
    return (int64_t)service_us + 1;
}

static void
target_end(struct model *model, struct model_work *work, enum gate_result end)
{
    work->at_target = false;
    work->running = false;
    if (work->plain) {
        model_plain_ended(model, work, end);
    }
    else {
        model_gate_ended(model, work, end);
    }
}

static void target_serve_next(struct model *model, unsigned number);

static void
target_done(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_work *work = model_work_find(model, number);
    if (work == NULL || !work->running) {
        return; /* stopped meanwhile */
    }
    model->instances[work->target].target.running--;
    const unsigned target = work->target;
    const bool cut = random_chance(&model->random, model->config.cut_answers);
    target_end(model, work, cut ? GATE_RESULT_CUT : GATE_RESULT_ANSWERED);
    target_serve_next(model, target);
}

static void
target_crash_event(struct model *model, void *ctx, uint64_t number)
{
    (void)ctx;
    struct model_work *work = model_work_find(model, number);
    if (work != NULL && work->running) {
        model_crash(model, work->target);
    }
}

static void
target_start(struct model *model, struct model_work *work)
{
    struct model_instance *instance = &model->instances[work->target];
    struct model_target *target = &instance->target;
    target->running++;
    target->executions++;
    work->running = true;
    work->order->executions++;
    model->counts.executions++;
    const unsigned bears = model_target_bears(model, work->target);
    model->counts.over_bearing += target->running > bears;
    const int64_t out_us = model->zone_out_since_us[instance->zone];
    model->counts.starts_after_out += model->zone_out[instance->zone] &&
                                      model->now_us - out_us > 3000 * MODEL_MS;
    model_trace(model, "%s target runs #%llu", instance->name,
                (unsigned long long)work->order->number);
    if (work->order->kind == MODEL_CRASHER ||
        work->order->kind == MODEL_CRASHING_ORDER) {
        model_at(model, CRASH_AFTER_US, target_crash_event, NULL,
                 work->number);
        return;
    }
    model_at(model, target_service_us(model, work->target), target_done, NULL,
             work->number);
    if (target->running <= FALL_OVER_RATIO * bears) {
        target->overrun_since_us = -1;
    }
    else if (target->overrun_since_us < 0) {
        target->overrun_since_us = model->now_us;
    }
    else if (model->now_us - target->overrun_since_us > FALL_OVER_US) {
        model_crash(model, work->target);
    }
}

static void
target_serve_next(struct model *model, unsigned number)
{
    struct model_target *target = &model->instances[number].target;
    while (target->first != NULL && target->running < model->config.slots) {
        struct model_work *work = target->first;
        target->first = work->next;
        target->queued--;
        target_start(model, work);
    }
}

bool
model_target_take(struct model *model, struct model_work *work)
{
    struct model_target *target = &model->instances[work->target].target;
    const struct model_config *config = &model->config;
    const bool sheds = config->real_slots > 0;
    const unsigned slots = sheds ? config->real_slots : config->slots;
    work->at_target = true;
    work->next = NULL;
    if (target->running < slots) {
        target_start(model, work);
        return true;
    }
    if (sheds || target->running + target->queued >= config->connections) {
        work->at_target = false;
        return false;
    }
    if (target->first == NULL) {
        target->first = work;
    }
    else {
        target->last->next = work;
    }
    target->last = work;
    target->queued++;
    return true;
}

static void
target_unqueue(struct model_target *target, const struct model_work *work)
{
    struct model_work **at = &target->first;
    struct model_work *before = NULL;
    while (*at != NULL && *at != work) {
        before = *at;
        at = &(*at)->next;
    }
    if (*at == NULL) {
        return;
    }
    *at = work->next;
    target->queued--;
    if (target->last == work) {
        target->last = before;
    }
}

void
model_target_stop(struct model *model, struct model_work *work)
{
    struct model_target *target = &model->instances[work->target].target;
    if (!work->at_target) {
        return;
    }
    work->at_target = false;
    if (!work->running) {
        target_unqueue(target, work);
        return;
    }
    work->running = false;
    target->running--;
    target_serve_next(model, work->target);
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
    instance->target.first = NULL;
    instance->target.overrun_since_us = -1;
    gate_set_incarnation(instance->gate, ((uint64_t)number << 32) |
                                             instance->target.incarnation);
    for (size_t i = 0; i < model->work_count; i++) {
        struct model_work *work = model->works[i];
        if (work != NULL && work->target == number && work->at_target) {
            target_end(model, work, GATE_RESULT_CUT);
        }
    }
    /* The gate's next connection is refused, which proves the crash. */
    gate_target_crashed(instance->gate,
                        ((uint64_t)number << 32) |
                            instance->target.incarnation,
                        model->now_us);
    model_at(model, MODEL_PUSH_US, model_push_suspects, NULL, 0);
    model_at(model, RESTART_US, target_restart, NULL, number);
}

void
model_set_slow(struct model *model, unsigned number, double factor)
{
    model->instances[number].target.slow = factor;
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
