#include "placement/placemodel_internal.h"

#include <stdlib.h>
#include <string.h>

#define KEY_SLOTS 256 /* for single-key shards, by shard number */

struct placemodel_options
placemodel_defaults(void)
{
    return (struct placemodel_options){
        .members = 12,
        .zones = 3,
        .shards = 256,
        .targets_check_grants = true,
        .one_way_us = 1500,
        .store_us = 5000,
        .longest_request_us = 2000000,
        .drain_mean_us = 2000,
        .moves_per_second = 20,
        .capacity = 20,
        .seed = 1,
    };
}

static bool
is_before(const struct placemodel_event *a, const struct placemodel_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
heap_push(struct placemodel *model, struct placemodel_event *event)
{
    size_t i = model->heap_count++;

    if (model->heap_count > model->heap_capacity) {
        model->heap_capacity = 2 * model->heap_capacity + 64;
        model->heap =
            realloc(model->heap, model->heap_capacity * sizeof(*model->heap));
        if (model->heap == NULL) {
            abort();
        }
    }
    while (i > 0 && is_before(event, model->heap[(i - 1) / 2])) {
        model->heap[i] = model->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    model->heap[i] = event;
}

static struct placemodel_event *
heap_pop(struct placemodel *model)
{
    struct placemodel_event *first = model->heap[0];
    struct placemodel_event *last = model->heap[--model->heap_count];
    size_t i = 0;

    for (;;) {
        size_t child = 2 * i + 1;
        if (child >= model->heap_count) {
            break;
        }
        if (child + 1 < model->heap_count &&
            is_before(model->heap[child + 1], model->heap[child])) {
            child++;
        }
        if (!is_before(model->heap[child], last)) {
            break;
        }
        model->heap[i] = model->heap[child];
        i = child;
    }
    model->heap[i] = last;
    return first;
}

static void
event_destroy(struct placemodel_event *event)
{
    place_action_destroy(event->action);
    free(event->content);
    free(event);
}

struct placemodel_event *
placemodel_event_add(struct placemodel *model, unsigned member,
                     int64_t delay_us, placemodel_event_cb handle)
{
    struct placemodel_event *event = calloc(1, sizeof(*event));

    if (event == NULL) {
        abort();
    }
    event->at_us = model->now_us + delay_us;
    event->order = ++model->order;
    event->handle = handle;
    event->member = member;
    event->generation = model->members[member].generation;
    heap_push(model, event);
    return event;
}

int64_t
placemodel_latency(struct placemodel *model, int64_t mean_us)
{
    return mean_us * 3 / 4 +
           (int64_t)random_exponential(&model->random, (double)mean_us / 4);
}

void
placemodel_trace(struct placemodel *model, const char *member,
                 const char *what, const char *detail)
{
    if (model->options.trace != NULL) {
        (void)fprintf(model->options.trace, "%9.4f %-8s %-9s %s\n",
                      (double)model->now_us / 1e6, member, what, detail);
    }
}

void
placemodel_violation(struct placemodel *model, const char *what,
                     uint32_t shard, const char *member)
{
    if (model->result.violations++ == 0) {
        (void)snprintf(model->result.first_violation,
                       sizeof(model->result.first_violation),
                       "%s: shard %u, %s, at %.4f s", what, shard, member,
                       (double)model->now_us / 1e6);
    }
    placemodel_trace(model, member, "VIOLATION", what);
}

struct placemodel_shard *
placemodel_shard_at(struct placemodel *model, uint32_t shard)
{
    if ((shard & SHARD_KEY_FLAG) == 0) {
        return &model->shards[shard];
    }
    return &model->shards[model->options.shards + shard % KEY_SLOTS];
}

int
placemodel_member_index(const struct placemodel *model, const char *name)
{
    unsigned long index;

    if (name[0] != 'm') {
        return -1;
    }
    index = strtoul(name + 1, NULL, 10);
    return index < model->options.members ? (int)index : -1;
}

static void
init_members(struct placemodel *model)
{
    for (unsigned i = 0; i < model->options.members; i++) {
        struct placemodel_member *member = &model->members[i];
        member->zone_index = i % model->options.zones;
        (void)snprintf(member->name, sizeof(member->name), "m%04u", i);
        (void)snprintf(member->zone, sizeof(member->zone), "zone-%u",
                       member->zone_index);
    }
}

struct placemodel *
placemodel_create(const struct placemodel_options *options)
{
    struct placemodel *model = calloc(1, sizeof(*model));

    if (model == NULL) {
        return NULL;
    }
    model->options = *options;
    model->now_us = US_PER_SECOND;
    random_seed(&model->random, options->seed);
    model->page_count = shardpage_count(options->shards);
    model->rows = calloc(options->members, sizeof(*model->rows));
    model->pages = calloc(model->page_count, sizeof(*model->pages));
    model->members = calloc(options->members, sizeof(*model->members));
    model->shards =
        calloc(options->shards + KEY_SLOTS, sizeof(*model->shards));
    model->zones_out = calloc(options->zones, sizeof(*model->zones_out));
    model->zone_back_us = calloc(options->zones, sizeof(int64_t));
    if (model->rows == NULL || model->pages == NULL ||
        model->members == NULL || model->shards == NULL ||
        model->zones_out == NULL || model->zone_back_us == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < options->shards + KEY_SLOTS; i++) {
        model->shards[i].server = -1;
    }
    init_members(model);
    return model;
}

void
placemodel_destroy(struct placemodel *model)
{
    if (model == NULL) {
        return;
    }
    for (unsigned i = 0; i < model->options.members; i++) {
        placer_destroy(model->members[i].placer);
        shardmap_destroy(model->members[i].map);
    }
    for (size_t i = 0; i < model->heap_count; i++) {
        event_destroy(model->heap[i]);
    }
    free(model->heap);
    free(model->rows);
    free(model->pages);
    free(model->members);
    free(model->shards);
    free(model->zones_out);
    free(model->zone_back_us);
    free(model->gaps_us);
    free(model);
}

/* Events of an earlier generation of a member are dropped. */
static bool
is_lost(const struct placemodel *model, const struct placemodel_event *event)
{
    const struct placemodel_member *member = &model->members[event->member];

    return event->generation != member->generation || !member->running;
}

static void
handle_event(struct placemodel *model, struct placemodel_event *event)
{
    struct placemodel_member *member = &model->members[event->member];

    model->now_us = event->at_us;
    if (is_lost(model, event)) {
        event_destroy(event);
        return;
    }
    if (member->paused) {
        event->at_us = model->now_us + PLACEMODEL_TICK_US;
        event->order = ++model->order;
        heap_push(model, event);
        return;
    }
    model->result.events++;
    event->handle(model, event);
    placemodel_member_run_actions(model, event->member);
    event_destroy(event);
}

static void
tick(struct placemodel *model)
{
    if (!model->faults_ended) {
        placemodel_random_faults(model);
    }
    placemodel_update_leases(model);
    for (unsigned i = 0; i < model->options.members; i++) {
        if (model->members[i].running && !model->members[i].paused) {
            placemodel_member_tick(model, i);
            placemodel_member_run_actions(model, i);
            placemodel_check_serving(model, i);
        }
    }
}

void
placemodel_run(struct placemodel *model, int64_t duration_us)
{
    int64_t end_us = model->now_us + duration_us;

    while (model->next_check_us <= end_us) {
        while (model->heap_count > 0 &&
               model->heap[0]->at_us < model->next_check_us) {
            handle_event(model, heap_pop(model));
        }
        if (model->next_check_us > model->now_us) {
            model->now_us = model->next_check_us;
        }
        tick(model);
        model->next_check_us = model->now_us + PLACEMODEL_TICK_US;
    }
    while (model->heap_count > 0 && model->heap[0]->at_us <= end_us) {
        handle_event(model, heap_pop(model));
    }
    model->now_us = end_us;
}

int64_t
placemodel_now_us(const struct placemodel *model)
{
    return model->now_us;
}

struct placemodel_result
placemodel_result(const struct placemodel *model)
{
    struct placemodel_result result = model->result;

    for (unsigned i = 0; i < model->options.members; i++) {
        if (model->members[i].placer != NULL) {
            struct placer_counts counts =
                placer_counts(model->members[i].placer);
            result.moves_given_up += counts.moves_given_up;
            result.replaced += counts.replaced;
            result.splits += counts.splits;
            result.merges += counts.merges;
        }
    }
    result.moves = model->shards_moved;
    return result;
}

void
placemodel_set_faults(struct placemodel *model,
                      const struct placemodel_faults *faults)
{
    model->options.faults = *faults;
}

void
placemodel_set_store_down(struct placemodel *model, bool down)
{
    model->store_down = down;
    placemodel_trace(model, "store", down ? "down" : "up", "");
}

void
placemodel_lose_next_answer(struct placemodel *model)
{
    model->lose_next_answer = true;
}

void
placemodel_conflict_next_commit(struct placemodel *model)
{
    model->conflict_next_commit = true;
}

void
placemodel_set_load(struct placemodel *model, uint32_t shard, double load)
{
    placemodel_shard_at(model, shard)->load = load;
}

void
placemodel_set_hot_key(struct placemodel *model, uint32_t shard, uint64_t hash,
                       double load)
{
    struct placemodel_shard *known = placemodel_shard_at(model, shard);

    known->hot_hash = hash;
    known->hot_load = load;
}

int
placemodel_server_of(struct placemodel *model, uint32_t shard)
{
    for (unsigned i = 0; i < model->options.members; i++) {
        const struct placemodel_member *member = &model->members[i];
        uint32_t epoch;
        if (member->running && !member->paused && member->placer != NULL &&
            placer_serves(member->placer, shard, model->now_us, &epoch)) {
            return (int)i;
        }
    }
    return -1;
}

static double
sum_served(struct placemodel *model, unsigned index, unsigned *served)
{
    const struct placemodel_member *member = &model->members[index];
    double load = 0;

    *served = 0;
    if (!member->running || member->placer == NULL) {
        return 0;
    }
    for (const struct owned_shard *owned =
             ownedset_first(member->placer->owned);
         owned != NULL; owned = ownedset_next(member->placer->owned, owned)) {
        uint32_t epoch;
        if (placer_serves(member->placer, owned->shard, model->now_us,
                          &epoch)) {
            load += placemodel_shard_at(model, owned->shard)->load;
            (*served)++;
        }
    }
    return load;
}

unsigned
placemodel_served_by(struct placemodel *model, unsigned index)
{
    unsigned served;

    (void)sum_served(model, index, &served);
    return served;
}

double
placemodel_load_of(struct placemodel *model, unsigned index)
{
    unsigned served;

    return sum_served(model, index, &served);
}

const struct placer *
placemodel_placer(const struct placemodel *model, unsigned index)
{
    return model->members[index].placer;
}

size_t
placemodel_move_gaps(const struct placemodel *model, const int64_t **gaps_us)
{
    *gaps_us = model->gaps_us;
    return model->gap_count;
}

double
placemodel_load_moved(const struct placemodel *model)
{
    return model->load_moved;
}

int64_t
placemodel_shards_moved(const struct placemodel *model)
{
    return model->shards_moved;
}

static bool
zone_may_serve(const struct placemodel *model, unsigned index)
{
    const struct placemodel_member *member = &model->members[index];

    return !model->zones_out[member->zone_index] && !member->leaving;
}

bool
placemodel_all_served(struct placemodel *model)
{
    for (uint32_t i = 0; i < model->options.shards; i++) {
        int server = placemodel_server_of(model, i);
        if (server < 0 || !zone_may_serve(model, (unsigned)server)) {
            return false;
        }
    }
    return true;
}
