#include "fleet/choicemodel.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/timeunits.h"
#include "fleet/instancechoice.h"

#define DURATION_US (30 * US_PER_SECOND)
#define WARM_UP_US (5 * US_PER_SECOND)
#define TARGETS (CHOICEMODEL_ZONES * CHOICEMODEL_TARGETS)
#define WORK_SPREAD 0.5 /* sigma of the logarithm of a request's work */

/** A request at a target. */
struct model_request {
    int64_t arrived_us;
    int64_t end_us; /* once it runs */
    unsigned zone;  /* of its caller */
};

struct model_target {
    struct model_request running[CHOICEMODEL_SLOTS];
    unsigned running_count;
    struct model_request *queue;
    size_t queue_count;
};

struct model {
    const struct choicemodel_options *options;
    struct random_state random;
    struct instancetable tables[CHOICEMODEL_ZONES];
    struct instancetable_instance *known[CHOICEMODEL_ZONES][TARGETS];
    struct model_target targets[TARGETS];
    int64_t next_arrival_us[CHOICEMODEL_ZONES];
    int64_t now_us;
    int64_t *latencies_us;
    size_t count;
    size_t in_zone;
};

static bool
no_zone_is_out(void *ctx, const char *zone)
{
    (void)ctx;
    (void)zone;
    return false;
}

void
choicemodel_init(struct choicemodel_options *options, double load)
{
    const double work_s = (double)CHOICEMODEL_WORK_US / US_PER_SECOND;
    *options = (struct choicemodel_options){.seed = 1};
    for (unsigned zone = 0; zone < CHOICEMODEL_ZONES; zone++) {
        options->requests_per_s[zone] =
            load * CHOICEMODEL_TARGETS * CHOICEMODEL_SLOTS / work_s;
        for (unsigned i = 0; i < CHOICEMODEL_TARGETS; i++) {
            options->slowness[zone][i] = 1;
        }
    }
}

static void
zone_name(char name[KEYMAP_NAME_MAX + 1], unsigned zone)
{
    snprintf(name, KEYMAP_NAME_MAX + 1, "zone-%u", zone);
}

static void
add_targets(struct model *model, unsigned viewer)
{
    for (unsigned i = 0; i < TARGETS; i++) {
        const unsigned zone = i / CHOICEMODEL_TARGETS;
        struct instancetable_row row = {.slots = CHOICEMODEL_SLOTS};
        char address[32];
        if (model->options->slowness[zone][i % CHOICEMODEL_TARGETS] == 0) {
            continue;
        }
        snprintf(row.instance, sizeof(row.instance), "target-%u", i);
        snprintf(row.service, sizeof(row.service), "service");
        snprintf(address, sizeof(address), "127.0.0.1:%u", 10000 + i);
        address_parse(address, &row.address, NULL);
        zone_name(row.zone, zone);
        row.state = INSTANCETABLE_SERVING;
        model->known[viewer][i] =
            instancetable_update(&model->tables[viewer], &row, i + 1);
    }
}

static double
draw_normal(struct random_state *random)
{
    double sum = 0;
    for (int i = 0; i < 12; i++) {
        sum += random_unit(random);
    }
    return sum - 6;
}

static int64_t
draw_work_us(struct model *model, unsigned target)
{
    const double slowness =
        model->options->slowness[target / CHOICEMODEL_TARGETS]
                                [target % CHOICEMODEL_TARGETS];
    const double spread = exp(WORK_SPREAD * draw_normal(&model->random) -
                              WORK_SPREAD * WORK_SPREAD / 2);
    return (int64_t)(CHOICEMODEL_WORK_US * slowness * spread);
}

static void
plan_arrival(struct model *model, unsigned zone)
{
    const double gap_s = -log(1 - random_unit(&model->random)) /
                         model->options->requests_per_s[zone];
    model->next_arrival_us[zone] =
        model->now_us + (int64_t)(gap_s * US_PER_SECOND) + 1;
}

static void
start_next(struct model *model, unsigned index)
{
    struct model_target *target = &model->targets[index];
    while (target->running_count < CHOICEMODEL_SLOTS &&
           target->queue_count > 0) {
        struct model_request request = target->queue[0];
        target->queue_count--;
        memmove(target->queue, target->queue + 1,
                target->queue_count * sizeof(*target->queue));
        request.end_us = model->now_us + draw_work_us(model, index);
        target->running[target->running_count++] = request;
    }
}

static void
arrive(struct model *model, unsigned zone)
{
    char name[KEYMAP_NAME_MAX + 1];
    zone_name(name, zone);
    const struct instancechoice_criteria criteria = {
        .service = "service",
        .zone = name,
        .objective_us = CHOICEMODEL_OBJECTIVE_US,
        .zone_is_out = no_zone_is_out,
        .now_us = model->now_us,
    };
    struct instancetable_instance *chosen =
        instancechoice_pick(&model->tables[zone], &criteria, &model->random);
    unsigned index = 0;
    while (model->known[zone][index] != chosen) {
        index++;
    }
    struct model_target *target = &model->targets[index];
    instancetable_record_sent(chosen, model->now_us);
    target->queue = memory_reallocarray(target->queue, target->queue_count + 1,
                                        sizeof(*target->queue));
    target->queue[target->queue_count++] = (struct model_request){
        .arrived_us = model->now_us,
        .zone = zone,
    };
    start_next(model, index);
    plan_arrival(model, zone);
}

static void
finish(struct model *model, unsigned index, unsigned slot)
{
    struct model_target *target = &model->targets[index];
    const struct model_request request = target->running[slot];
    struct instancetable_instance *known = model->known[request.zone][index];
    const int64_t took_us = model->now_us - request.arrived_us;
    target->running[slot] = target->running[--target->running_count];
    start_next(model, index);
    instancetable_record_ended(known);
    instancetable_record_reached(known, model->now_us);
    instancetable_record_load(
        known, target->running_count + (unsigned)target->queue_count, false);
    instancetable_record_result(known, model->now_us, took_us, false);
    if (request.arrived_us >= WARM_UP_US) {
        model->latencies_us =
            memory_reallocarray(model->latencies_us, model->count + 1,
                                sizeof(*model->latencies_us));
        model->latencies_us[model->count++] = took_us;
        model->in_zone += index / CHOICEMODEL_TARGETS == request.zone;
    }
}

/** Handles the next event. @return false at the end of the time */
static bool
step(struct model *model)
{
    int64_t next_us = DURATION_US;
    unsigned zone = CHOICEMODEL_ZONES;
    unsigned index = TARGETS;
    unsigned slot = 0;
    for (unsigned i = 0; i < CHOICEMODEL_ZONES; i++) {
        if (model->next_arrival_us[i] < next_us) {
            next_us = model->next_arrival_us[i];
            zone = i;
        }
    }
    for (unsigned i = 0; i < TARGETS; i++) {
        for (unsigned k = 0; k < model->targets[i].running_count; k++) {
            if (model->targets[i].running[k].end_us < next_us) {
                next_us = model->targets[i].running[k].end_us;
                index = i;
                slot = k;
            }
        }
    }
    model->now_us = next_us;
    if (index < TARGETS) {
        finish(model, index, slot);
    }
    else if (zone < CHOICEMODEL_ZONES) {
        arrive(model, zone);
    }
    return next_us < DURATION_US;
}

static int
compare_times(const void *a, const void *b)
{
    const int64_t first = *(const int64_t *)a;
    const int64_t second = *(const int64_t *)b;
    return first < second ? -1 : first > second;
}

static void
sum_up(struct model *model, struct choicemodel_result *result)
{
    size_t in_time = 0;
    for (size_t i = 0; i < model->count; i++) {
        in_time += model->latencies_us[i] <= CHOICEMODEL_OBJECTIVE_US;
    }
    qsort(model->latencies_us, model->count, sizeof(int64_t), compare_times);
    const size_t p99 = model->count * 99 / 100;
    *result = (struct choicemodel_result){
        .in_objective = (double)in_time / (double)model->count,
        .in_zone = (double)model->in_zone / (double)model->count,
        .p99_ms = (double)model->latencies_us[p99] / US_PER_MS,
    };
}

void
choicemodel_run(const struct choicemodel_options *options,
                struct choicemodel_result *result)
{
    struct model *model = memory_calloc(1, sizeof(*model));
    model->options = options;
    random_seed(&model->random, options->seed);
    for (unsigned zone = 0; zone < CHOICEMODEL_ZONES; zone++) {
        add_targets(model, zone);
        plan_arrival(model, zone);
    }
    while (step(model)) {
    }
    sum_up(model, result);
    for (unsigned zone = 0; zone < CHOICEMODEL_ZONES; zone++) {
        instancetable_clear(&model->tables[zone]);
    }
    for (unsigned i = 0; i < TARGETS; i++) {
        free(model->targets[i].queue);
    }
    free(model->latencies_us);
    free(model);
}
