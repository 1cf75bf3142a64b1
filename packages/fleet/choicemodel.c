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
#define SAMPLE_INTERVAL_US (100 * US_PER_MS)
#define TARGETS_MAX (CHOICEMODEL_ZONES * CHOICEMODEL_TARGETS_MAX)
#define ENTRIES_MAX (CHOICEMODEL_ZONES * CHOICEMODEL_ENTRIES_MAX)
#define WORK_SPREAD 0.5 /* sigma of the logarithm of a request's work */
#define SPEED_MIN 0.5   /* of the targets of a fleet */
#define SPEED_MAX 1.5

/** A request at a target. */
struct model_request {
    int64_t arrived_us;
    int64_t started_us;
    int64_t end_us; /* once it runs */
    unsigned entry;
};

struct model_queue {
    struct model_request *requests;
    size_t count;
};

struct model_target {
    struct model_request running[CHOICEMODEL_SLOTS_MAX];
    unsigned running_count;
    struct model_queue queue;
};

struct model_times {
    int64_t *us;
    size_t count;
};

struct model {
    const struct choicemodel_options *options;
    struct random_state random;
    unsigned target_count; /* in all zones */
    unsigned entry_count;
    struct instancetable tables[ENTRIES_MAX];
    struct model_target targets[TARGETS_MAX];
    struct model_queue shared; /* with a single queue */
    int64_t next_arrival_us[CHOICEMODEL_ZONES];
    int64_t next_sample_us;
    int64_t now_us;
    struct model_times latencies;
    struct model_times waits;
    size_t in_zone;
    size_t samples;
    size_t uneven_samples;
    size_t queued_targets; /* sum over the uneven samples */
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
    *options = (struct choicemodel_options){
        .seed = 1,
        .targets = CHOICEMODEL_TARGETS,
        .entries = 1,
        .slots = CHOICEMODEL_SLOTS,
    };
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

void
choicemodel_init_fleet(struct choicemodel_options *options, double load,
                       unsigned targets, unsigned slots, uint64_t seed)
{
    const double work_s = (double)CHOICEMODEL_WORK_US / US_PER_SECOND;
    struct random_state random;
    double speed_sum = 0;
    random_seed(&random, seed);
    *options = (struct choicemodel_options){
        .seed = seed,
        .targets = targets,
        .entries = targets,
        .slots = slots,
    };
    for (unsigned zone = 0; zone < CHOICEMODEL_ZONES; zone++) {
        for (unsigned i = 0; i < targets; i++) {
            const double speed =
                SPEED_MIN + (SPEED_MAX - SPEED_MIN) * random_unit(&random);
            options->slowness[zone][i] = 1 / speed;
            speed_sum += speed;
        }
    }
    for (unsigned zone = 0; zone < CHOICEMODEL_ZONES; zone++) {
        options->requests_per_s[zone] =
            load * speed_sum * slots / work_s / CHOICEMODEL_ZONES;
    }
}

static unsigned
zone_of_target(const struct model *model, unsigned target)
{
    return target / model->options->targets;
}

static unsigned
zone_of_entry(const struct model *model, unsigned entry)
{
    return entry / model->options->entries;
}

static double
slowness_of(const struct model *model, unsigned target)
{
    const unsigned zone = zone_of_target(model, target);
    return model->options->slowness[zone][target % model->options->targets];
}

static void
add_targets(struct model *model, unsigned viewer)
{
    for (unsigned i = 0; i < model->target_count; i++) {
        struct instancetable_row row = {.slots = model->options->slots};
        char address[32];
        if (slowness_of(model, i) == 0) {
            continue;
        }
        snprintf(row.instance, sizeof(row.instance), "target-%u", i);
        snprintf(row.service, sizeof(row.service), "service");
        snprintf(address, sizeof(address), "127.0.0.1:%u", 10000 + i);
        address_parse(address, &row.address, NULL);
        zone_name(row.zone, zone_of_target(model, i));
        row.state = INSTANCETABLE_SERVING;
        /* The version identifies the target. */
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
    const double spread = exp(WORK_SPREAD * draw_normal(&model->random) -
                              WORK_SPREAD * WORK_SPREAD / 2);
    return (int64_t)(CHOICEMODEL_WORK_US * slowness_of(model, target) *
                     spread);
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
push(struct model_queue *queue, const struct model_request *request)
{
    queue->requests = memory_reallocarray(queue->requests, queue->count + 1,
                                          sizeof(*queue->requests));
    queue->requests[queue->count++] = *request;
}

static struct model_request
pop(struct model_queue *queue)
{
    const struct model_request request = queue->requests[0];
    queue->count--;
    memmove(queue->requests, queue->requests + 1,
            queue->count * sizeof(*queue->requests));
    return request;
}

static void
add_time(struct model_times *times, int64_t time_us)
{
    times->us =
        memory_reallocarray(times->us, times->count + 1, sizeof(*times->us));
    times->us[times->count++] = time_us;
}

static void
start_next(struct model *model, unsigned index)
{
    struct model_target *target = &model->targets[index];
    struct model_queue *queue =
        model->options->single_queue ? &model->shared : &target->queue;
    while (target->running_count < model->options->slots && queue->count > 0) {
        struct model_request request = pop(queue);
        request.started_us = model->now_us;
        request.end_us = model->now_us + draw_work_us(model, index);
        target->running[target->running_count++] = request;
    }
}

/** Sends the request to the target that the entry chooses. */
static void
send_to_chosen(struct model *model, const struct model_request *request)
{
    char name[KEYMAP_NAME_MAX + 1];
    zone_name(name, zone_of_entry(model, request->entry));
    const struct instancechoice_criteria criteria = {
        .service = "service",
        .zone = name,
        .objective_us = CHOICEMODEL_OBJECTIVE_US,
        .zone_is_out = no_zone_is_out,
        .now_us = model->now_us,
    };
    struct instancetable_instance *chosen = instancechoice_pick(
        &model->tables[request->entry], &criteria, &model->random);
    const unsigned index = (unsigned)chosen->version - 1;
    instancetable_record_sent(chosen, model->now_us);
    push(&model->targets[index].queue, request);
    start_next(model, index);
}

/** Sends the request to the fastest target that has a free slot. */
static void
send_to_single_queue(struct model *model, const struct model_request *request)
{
    unsigned fastest = model->target_count;
    push(&model->shared, request);
    for (unsigned i = 0; i < model->target_count; i++) {
        if (slowness_of(model, i) > 0 &&
            model->targets[i].running_count < model->options->slots &&
            (fastest == model->target_count ||
             slowness_of(model, i) < slowness_of(model, fastest))) {
            fastest = i;
        }
    }
    if (fastest < model->target_count) {
        start_next(model, fastest);
    }
}

static void
arrive(struct model *model, unsigned zone)
{
    const unsigned entry =
        (unsigned)(random_unit(&model->random) * model->options->entries);
    const struct model_request request = {
        .arrived_us = model->now_us,
        .entry = zone * model->options->entries + entry,
    };
    if (model->options->single_queue) {
        send_to_single_queue(model, &request);
    }
    else {
        send_to_chosen(model, &request);
    }
    plan_arrival(model, zone);
}

/** The entry learns from the reply. */
static void
record_reply(struct model *model, unsigned index,
             const struct model_request *request)
{
    const struct model_target *target = &model->targets[index];
    struct instancetable_instance *known;
    LIST_FOREACH (known, &model->tables[request->entry].instances, link) {
        if (known->version == index + 1) {
            break;
        }
    }
    instancetable_record_ended(known);
    instancetable_record_reached(known, model->now_us);
    instancetable_record_load(
        known, model->now_us,
        target->running_count + (unsigned)target->queue.count, false);
    instancetable_record_result(known, model->now_us,
                                model->now_us - request->arrived_us, false);
}

static void
finish(struct model *model, unsigned index, unsigned slot)
{
    struct model_target *target = &model->targets[index];
    const struct model_request request = target->running[slot];
    target->running[slot] = target->running[--target->running_count];
    start_next(model, index);
    if (!model->options->single_queue) {
        record_reply(model, index, &request);
    }
    if (request.arrived_us >= WARM_UP_US) {
        add_time(&model->latencies, model->now_us - request.arrived_us);
        add_time(&model->waits, request.started_us - request.arrived_us);
        model->in_zone += zone_of_target(model, index) ==
                          zone_of_entry(model, request.entry);
    }
}

static void
sample(struct model *model)
{
    size_t queued = 0;
    bool has_free = false;
    for (unsigned i = 0; i < model->target_count; i++) {
        const struct model_target *target = &model->targets[i];
        const unsigned slots = model->options->slots;
        queued += target->queue.count > 0;
        has_free = has_free || (slowness_of(model, i) > 0 &&
                                (slots - target->running_count) * 3 >= slots);
    }
    model->next_sample_us += SAMPLE_INTERVAL_US;
    if (model->now_us >= WARM_UP_US) {
        model->samples++;
        model->uneven_samples += queued > 0 && has_free;
        model->queued_targets += has_free ? queued : 0;
    }
}

/** Handles the next event. @return false at the end of the time */
static bool
step(struct model *model)
{
    int64_t next_us = DURATION_US;
    unsigned zone = CHOICEMODEL_ZONES;
    unsigned index = model->target_count;
    unsigned slot = 0;
    for (unsigned i = 0; i < CHOICEMODEL_ZONES; i++) {
        if (model->next_arrival_us[i] < next_us) {
            next_us = model->next_arrival_us[i];
            zone = i;
        }
    }
    for (unsigned i = 0; i < model->target_count; i++) {
        for (unsigned k = 0; k < model->targets[i].running_count; k++) {
            if (model->targets[i].running[k].end_us < next_us) {
                next_us = model->targets[i].running[k].end_us;
                index = i;
                slot = k;
            }
        }
    }
    if (model->next_sample_us < next_us) {
        model->now_us = model->next_sample_us;
        sample(model);
        return true;
    }
    model->now_us = next_us;
    if (index < model->target_count) {
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

static double
p99_ms(struct model_times *times)
{
    const size_t p99 = times->count * 99 / 100;
    qsort(times->us, times->count, sizeof(int64_t), compare_times);
    return (double)times->us[p99] / US_PER_MS;
}

static double
mean_ms(const struct model_times *times)
{
    double sum_us = 0;
    for (size_t i = 0; i < times->count; i++) {
        sum_us += (double)times->us[i];
    }
    return sum_us / (double)times->count / US_PER_MS;
}

static void
sum_up(struct model *model, struct choicemodel_result *result)
{
    const double count = (double)model->latencies.count;
    size_t in_time = 0;
    for (size_t i = 0; i < model->latencies.count; i++) {
        in_time += model->latencies.us[i] <= CHOICEMODEL_OBJECTIVE_US;
    }
    *result = (struct choicemodel_result){
        .in_objective = (double)in_time / count,
        .in_zone = (double)model->in_zone / count,
        .p99_ms = p99_ms(&model->latencies),
        .wait_mean_ms = mean_ms(&model->waits),
        .wait_p99_ms = p99_ms(&model->waits),
        .uneven = (double)model->uneven_samples / (double)model->samples,
        .queued_targets = (double)model->queued_targets /
                          (double)model->samples / model->target_count,
    };
}

static void
model_destroy(struct model *model)
{
    for (unsigned i = 0; i < model->entry_count; i++) {
        instancetable_clear(&model->tables[i]);
    }
    for (unsigned i = 0; i < model->target_count; i++) {
        free(model->targets[i].queue.requests);
    }
    free(model->shared.requests);
    free(model->latencies.us);
    free(model->waits.us);
    free(model);
}

void
choicemodel_run(const struct choicemodel_options *options,
                struct choicemodel_result *result)
{
    struct model *model = memory_calloc(1, sizeof(*model));
    model->options = options;
    model->target_count = CHOICEMODEL_ZONES * options->targets;
    model->entry_count = CHOICEMODEL_ZONES * options->entries;
    random_seed(&model->random, options->seed);
    for (unsigned entry = 0; entry < model->entry_count; entry++) {
        add_targets(model, entry);
    }
    for (unsigned zone = 0; zone < CHOICEMODEL_ZONES; zone++) {
        plan_arrival(model, zone);
    }
    while (step(model)) {
    }
    sum_up(model, result);
    model_destroy(model);
}
