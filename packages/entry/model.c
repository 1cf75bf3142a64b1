#include "entry/model.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "entry/model_internal.h"

#define TRACE_SIZE 200
#define GATE_TICK_US LIMIT_TICK_US
#define SAME_HOST_DELAY_US 50
#define SAME_ZONE_DELAY_US 250
#define FINISH_STEP_US (100 * US_PER_MS)
#define FINISH_STEPS_MAX 600

void *
model_reserve(void *array, size_t count, size_t *capacity, size_t size)
{
    if (count < *capacity) {
        return array;
    }
    *capacity = *capacity > 0 ? *capacity * 2 : 1024;
    void *grown = realloc(array, *capacity * size);
    if (grown == NULL) {
        abort();
    }
    return grown;
}

static bool
event_is_earlier(const struct model_event *a, const struct model_event *b)
{
    if (a->due_us != b->due_us) {
        return a->due_us < b->due_us;
    }
    return a->sequence < b->sequence;
}

void
model_schedule(struct model *model, int64_t delay_us, model_event_cb callback,
               void *ctx, uint64_t arg)
{
    model->heap = model_reserve(model->heap, model->heap_count + 1,
                                &model->heap_capacity, sizeof(model->heap[0]));
    const struct model_event event = {
        .due_us = model->now_us + (delay_us > 0 ? delay_us : 0),
        .sequence = model->next_event++,
        .callback = callback,
        .ctx = ctx,
        .arg = arg,
    };
    size_t index = ++model->heap_count;
    while (index > 1 && event_is_earlier(&event, &model->heap[index / 2])) {
        model->heap[index] = model->heap[index / 2];
        index /= 2;
    }
    model->heap[index] = event;
}

static struct model_event
model_pop_event(struct model *model)
{
    const struct model_event next = model->heap[1];
    const struct model_event last = model->heap[model->heap_count--];
    size_t index = 1;
    for (;;) {
        size_t child = index * 2;
        if (child > model->heap_count) {
            break;
        }
        if (child < model->heap_count &&
            event_is_earlier(&model->heap[child + 1], &model->heap[child])) {
            child++;
        }
        if (!event_is_earlier(&model->heap[child], &last)) {
            break;
        }
        model->heap[index] = model->heap[child];
        index = child;
    }
    model->heap[index] = last;
    return next;
}

bool
model_run_next(struct model *model, int64_t until_us)
{
    if (model->heap_count == 0 || model->heap[1].due_us > until_us) {
        return false;
    }
    const struct model_event event = model_pop_event(model);
    model->now_us = event.due_us;
    event.callback(model, event.ctx, event.arg);
    return true;
}

void
model_trace(struct model *model, const char *format, ...)
{
    if (model->trace == NULL) {
        return;
    }
    char line[TRACE_SIZE];
    const int used = snprintf(line, sizeof(line), "%8.3f ",
                              (double)(model->now_us - MODEL_START_US) / 1e3);
    va_list args;
    va_start(args, format);
    vsnprintf(line + used, sizeof(line) - (size_t)used, format, args);
    va_end(args);
    model->trace(model->trace_ctx, line);
}

int64_t
model_delay_us(struct model *model, unsigned from, unsigned to)
{
    if (from == to) {
        return SAME_HOST_DELAY_US;
    }
    const bool same_zone =
        model->instances[from].zone == model->instances[to].zone;
    const int64_t base_us =
        same_zone ? SAME_ZONE_DELAY_US : model->config.zone_delay_us;
    return base_us + random_range(&model->random, 0, base_us / 5);
}

struct dedup_time
model_dedup_time(const struct model *model)
{
    return (struct dedup_time){
        .now_us = model->now_us,
        .wall_ms = MODEL_WALL_START_MS + model->now_us / US_PER_MS,
    };
}

static void
model_tick_gates(struct model *model, void *ctx, uint64_t arg)
{
    (void)ctx;
    (void)arg;
    for (unsigned i = 0; i < model->config.targets; i++) {
        struct model_instance *instance = &model->instances[i];
        if (!instance->frozen) {
            gate_tick(instance->gate, model->now_us);
        }
    }
    model_schedule(model, GATE_TICK_US, model_tick_gates, NULL, 0);
}

void
model_push_suspects(struct model *model, void *ctx, uint64_t arg)
{
    (void)ctx;
    (void)arg;
    struct suspects_item items[64];
    for (unsigned i = 0; i < model->config.targets; i++) {
        const size_t count =
            suspects_export(model->instances[i].suspects, model->now_us, items,
                            sizeof(items) / sizeof(items[0]));
        for (unsigned j = 0; count > 0 && j < model->config.targets; j++) {
            for (size_t k = 0; k < count && j != i; k++) {
                suspects_import(model->instances[j].suspects, model->now_us,
                                &items[k]);
            }
        }
    }
}

struct model *
model_create(const struct model_config *config)
{
    struct model *model = calloc(1, sizeof(*model));
    if (model == NULL) {
        abort();
    }
    model->config = *config;
    model->rate = config->rate;
    model->now_us = MODEL_START_US;
    random_seed(&model->random, config->seed);
    for (unsigned i = 0; i < MODEL_SHARDS; i++) {
        model->owners[i] = i % config->targets;
        model->epochs[i] = 1;
    }
    for (unsigned i = 0; i < config->targets; i++) {
        struct model_instance *instance = &model->instances[i];
        instance->number = i;
        instance->zone = i % config->zones;
        instance->model = model;
        snprintf(instance->name, sizeof(instance->name), "i%u", i);
        model_target_init(model, i);
        model_gate_init(model, i);
    }
    for (unsigned i = 0; i < config->targets; i++) {
        model_entry_init(model, i);
    }
    model_schedule(model, GATE_TICK_US, model_tick_gates, NULL, 0);
    if (config->rate > 0) {
        model_schedule(model, 0, model_entry_next_arrival, NULL, 0);
    }
    return model;
}

void
model_destroy(struct model *model)
{
    for (size_t i = 1; i <= model->heap_count; i++) {
        model_free_event(&model->heap[i]);
    }
    for (size_t i = 0; i < model->arrival_count; i++) {
        if (model->arrivals[i] != NULL) {
            request_destroy(model->arrivals[i]->request);
            free(model->arrivals[i]);
        }
    }
    for (unsigned i = 0; i < model->config.targets; i++) {
        model_gate_destroy(&model->instances[i]);
        model_entry_destroy(&model->instances[i]);
    }
    for (size_t i = 0; i < model->attempt_count; i++) {
        free(model->attempts[i]);
    }
    for (size_t i = 0; i < model->call_count; i++) {
        free(model->calls[i]);
    }
    free(model->arrivals);
    free(model->attempts);
    free(model->calls);
    free(model->latencies);
    free(model->heap);
    free(model);
}

struct model_config
model_powys_config(uint64_t seed)
{
    return (struct model_config){
        .seed = seed,
        .zones = 3,
        .targets = 4,
        .slots = 20,
        .connections = 130,
        .cold_limit = 2,
        .cold_start_us = 2000 * US_PER_MS,
        .service_time_us = 10 * US_PER_MS,
        .zone_delay_us = 1500,
        .rate = 0.7 * 4 * 20 * 100,
        .order_share = 0.1,
        .deadline_us = 1000 * US_PER_MS,
        .retention_us = 60000 * US_PER_MS,
        .resends = 3,
        .retry_percent = 10,
        .hedge_percent = 3,
        .start_warm = true,
    };
}

struct model_config
model_lagos_config(uint64_t seed)
{
    struct model_config config = model_powys_config(seed);
    config.targets = 3;
    config.slots = 10;
    config.connections = 110;
    config.zone_delay_us = 1000;
    config.rate = 0.7 * 3 * 10 * 100;
    return config;
}

void
model_set_trace(struct model *model, model_trace_cb trace, void *ctx)
{
    model->trace = trace;
    model->trace_ctx = ctx;
}

void
model_run(struct model *model, int64_t until_us)
{
    while (model_run_next(model, until_us)) {
    }
    model->now_us = until_us;
}

size_t
model_open_calls(const struct model *model)
{
    return model->open_calls;
}

void
model_finish(struct model *model)
{
    model->stopped = true;
    for (int i = 0; i < FINISH_STEPS_MAX && model->open_calls > 0; i++) {
        model_run(model, model->now_us + FINISH_STEP_US);
    }
}

int64_t
model_now_us(const struct model *model)
{
    return model->now_us;
}

void
model_set_rate(struct model *model, double rate)
{
    model->rate = rate;
}

void
model_send(struct model *model, unsigned entry, enum model_call_kind kind,
           unsigned resends)
{
    model_send_call(model, model_call_create(model, entry, kind, resends));
}

void
model_reset_counts(struct model *model)
{
    model->counts = (struct model_counts){0};
    model->latency_count = 0;
}

const struct model_counts *
model_get_counts(const struct model *model)
{
    return &model->counts;
}

struct model_ledger
model_get_ledger(const struct model *model)
{
    struct model_ledger ledger = {0};
    for (size_t i = 0; i < model->call_count; i++) {
        const struct model_call *call = model->calls[i];
        if (call->id[0] == '\0' || !call->ended) {
            continue;
        }
        ledger.orders++;
        ledger.doubled += call->executions > 1;
        ledger.lost +=
            call->outcome == FORWARD_ANSWERED && call->executions == 0;
        ledger.false_refusals +=
            call->outcome == FORWARD_NOT_RUN && call->executions > 0;
        ledger.unknown += call->outcome == FORWARD_UNKNOWN;
    }
    return ledger;
}

static int
compare_latency(const void *a, const void *b)
{
    const int64_t x = *(const int64_t *)a;
    const int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

int64_t
model_latency_quantile_us(struct model *model, double quantile)
{
    if (model->latency_count == 0) {
        return 0;
    }
    qsort(model->latencies, model->latency_count, sizeof(model->latencies[0]),
          compare_latency);
    const size_t index =
        (size_t)(quantile * (double)(model->latency_count - 1));
    return model->latencies[index];
}

unsigned
model_running(const struct model *model, unsigned number)
{
    return model->instances[number].target.running;
}

unsigned
model_limit(const struct model *model, unsigned number)
{
    return limit_current(admission_limit(model->instances[number].admission),
                         model->now_us);
}

uint64_t
model_executions(const struct model *model, unsigned number)
{
    return model->instances[number].target.executions;
}
