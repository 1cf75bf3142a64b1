/**
 * @file
 * Measures placement: imbalance under a changing hot set, load moved when
 * members or zones change, duration without service in planned moves, and
 * processor time and memory.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LOG_MODULE "bench"
#include "base/log.h"
#include "base/runtime.h"
#include "placement/placemodel.h"
#include "placement/zipfkeys.h"

#define KEYS 100000
#define HOT_KEYS 200
#define UTILISATION 0.6 /* load over the total capacity */
#define IMBALANCE_GOAL 1.10
#define CHURN_GOAL 1.2
#define MEMBERS_MAX 1024

/* A model with keys, and a central planner that knows all loads. */
struct run {
    struct placemodel *model;
    struct zipfkeys *keys;
    unsigned members;
    uint32_t shards;
    double total_load;
    double *loads;
    char alive[MEMBERS_MAX];
    unsigned *planned; /* the planner's owner of each shard */
    double planner_moved;
};

static void
print_figure(const char *name, double value, const char *unit, double goal)
{
    printf("{\"figure\": \"placement_%s\", \"value\": %.4g, \"unit\": "
           "\"%s\", \"goal\": %.4g, \"better\": \"lower\"}\n",
           name, value, unit, goal);
}

static void
print_against(const char *name, double value, const char *unit, double goal,
              double baseline, const char *baseline_name)
{
    printf("{\"figure\": \"placement_%s\", \"value\": %.4g, \"unit\": "
           "\"%s\", \"goal\": %.4g, \"better\": \"lower\", \"baseline\": "
           "%.4g, \"baseline_name\": \"%s\"}\n",
           name, value, unit, goal, baseline, baseline_name);
}

static void
set_loads(struct run *run)
{
    zipfkeys_load_by_shard(run->keys, run->shards, run->loads);
    for (uint32_t i = 0; i < run->shards; i++) {
        run->loads[i] *= run->total_load;
        placemodel_set_load(run->model, i, run->loads[i]);
    }
}

static struct run *
run_create(unsigned members, unsigned start, uint32_t shards, uint64_t seed)
{
    struct run *run = calloc(1, sizeof(*run));
    struct placemodel_options options = placemodel_defaults();

    if (run == NULL) {
        abort();
    }
    options.members = members;
    options.shards = shards;
    options.seed = seed;
    options.reduced_messages = members >= 100;
    run->members = members;
    run->shards = shards;
    run->total_load = UTILISATION * options.capacity * start;
    run->model = placemodel_create(&options);
    run->keys = zipfkeys_create(KEYS, 1.0, seed);
    run->loads = calloc(shards, sizeof(*run->loads));
    run->planned = calloc(shards, sizeof(*run->planned));
    if (run->loads == NULL || run->planned == NULL) {
        abort();
    }
    set_loads(run);
    for (unsigned i = 0; i < start; i++) {
        run->alive[i] = 1;
        placemodel_start(run->model, i);
    }
    for (uint32_t i = 0; i < shards; i++) {
        run->planned[i] = (unsigned)((uint64_t)i * start / shards);
    }
    return run;
}

static void
run_destroy(struct run *run)
{
    if (placemodel_result(run->model).violations != 0) {
        fprintf(stderr, "bench_placement: %s\n",
                placemodel_result(run->model).first_violation);
        exit(1);
    }
    placemodel_destroy(run->model);
    zipfkeys_destroy(run->keys);
    free(run->loads);
    free(run->planned);
    free(run);
}

static double
imbalance(struct run *run)
{
    double highest = 0;
    unsigned alive = 0;

    for (unsigned i = 0; i < run->members; i++) {
        double load = placemodel_load_of(run->model, i);
        highest = load > highest ? load : highest;
        alive += run->alive[i] != 0 ? 1 : 0;
    }
    return highest * alive / run->total_load;
}

/* Moves shards from the most to the least loaded member while it helps. */
static double
plan_moves(struct run *run, unsigned budget)
{
    double loads[MEMBERS_MAX] = {0};
    double mean = run->total_load / run->members;

    for (uint32_t i = 0; i < run->shards; i++) {
        loads[run->planned[i]] += run->loads[i];
    }
    for (;;) {
        unsigned high = 0;
        unsigned low = 0;
        uint32_t best = UINT32_MAX;
        for (unsigned i = 0; i < run->members; i++) {
            high = loads[i] > loads[high] ? i : high;
            low = loads[i] < loads[low] ? i : low;
        }
        if (loads[high] <= 1.02 * mean || budget-- == 0) {
            return loads[high] / mean;
        }
        for (uint32_t i = 0; i < run->shards; i++) {
            bool fits = run->planned[i] == high &&
                        loads[low] + run->loads[i] <= 1.02 * mean;
            if (fits &&
                (best == UINT32_MAX || run->loads[i] > run->loads[best])) {
                best = i;
            }
        }
        if (best == UINT32_MAX || run->loads[best] == 0) {
            return loads[high] / mean;
        }
        run->planned[best] = low;
        loads[high] -= run->loads[best];
        loads[low] += run->loads[best];
        run->planner_moved += run->loads[best];
    }
}

static double
baseline_imbalance(const struct run *run, enum zipf_baseline baseline)
{
    unsigned *owners = calloc(KEYS, sizeof(*owners));
    double value;

    if (owners == NULL) {
        abort();
    }
    zipfkeys_owners(run->keys, baseline, run->alive, run->members, owners);
    value = zipfkeys_imbalance(run->keys, owners, run->alive, run->members);
    free(owners);
    return value;
}

/* Imbalance while the hottest keys change each minute. */
static void
measure_imbalance(unsigned members, uint32_t shards, unsigned changes)
{
    struct run *run = run_create(members, members, shards, members);
    double settled = 0;
    double average = 0;
    double ring = 0;
    double rendezvous = 0;
    double planner = 0;
    double recovery_s = 0;
    double bound = zipfkeys_hottest_share(run->keys) * members;
    char name[64];

    bound = bound > 1 ? bound : 1;
    placemodel_run(run->model, 60 * US_PER_SECOND);
    for (unsigned i = 0; i < changes; i++) {
        double last_above_goal_s = 0;
        zipfkeys_swap_hot(run->keys, HOT_KEYS);
        set_loads(run);
        planner += plan_moves(run, 20 * members) / changes;
        ring += baseline_imbalance(run, ZIPF_RING) / changes;
        rendezvous += baseline_imbalance(run, ZIPF_RENDEZVOUS) / changes;
        for (unsigned second = 1; second <= 60; second++) {
            double value;
            placemodel_run(run->model, US_PER_SECOND);
            value = imbalance(run);
            average += value / 60 / changes;
            last_above_goal_s =
                value > IMBALANCE_GOAL * bound ? second : last_above_goal_s;
            settled += second > 30 ? value / 30 / changes : 0;
        }
        recovery_s =
            last_above_goal_s > recovery_s ? last_above_goal_s : recovery_s;
    }
    (void)snprintf(name, sizeof(name), "imbalance_%u", members);
    print_against(name, settled / bound, "max/mean over the least possible",
                  IMBALANCE_GOAL, rendezvous / bound, "rendezvous hashing");
    (void)snprintf(name, sizeof(name), "imbalance_%u_ring", members);
    print_against(name, settled / bound, "max/mean over the least possible",
                  IMBALANCE_GOAL, ring / bound,
                  "consistent hashing, 100 virtual nodes");
    (void)snprintf(name, sizeof(name), "imbalance_%u_planner", members);
    print_against(name, settled / bound, "max/mean over the least possible",
                  IMBALANCE_GOAL, planner / bound,
                  "central planner with all loads, no delay");
    (void)snprintf(name, sizeof(name), "imbalance_%u_whole_minute", members);
    print_figure(name, average / bound, "max/mean over the least possible",
                 IMBALANCE_GOAL);
    (void)snprintf(name, sizeof(name), "imbalance_%u_least_possible", members);
    print_figure(name, bound, "max/mean", bound);
    (void)snprintf(name, sizeof(name), "imbalance_%u_back_within", members);
    print_figure(name, recovery_s, "s", 60);
    (void)snprintf(name, sizeof(name), "hot_set_load_moved_%u", members);
    print_against(name,
                  (placemodel_load_moved(run->model) - run->total_load) /
                      run->total_load / changes,
                  "of all load a change", 1,
                  run->planner_moved / run->total_load / changes,
                  "central planner");
    run_destroy(run);
}

struct change_cost {
    double moved;      /* of all load */
    double ring;       /* of all load */
    double rendezvous; /* of all load */
};

static void
baseline_moved(const struct run *run, const char *before, const char *after,
               struct change_cost *cost)
{
    unsigned *first = calloc(KEYS, sizeof(*first));
    unsigned *second = calloc(KEYS, sizeof(*second));

    if (first == NULL || second == NULL) {
        abort();
    }
    zipfkeys_owners(run->keys, ZIPF_RING, before, run->members, first);
    zipfkeys_owners(run->keys, ZIPF_RING, after, run->members, second);
    cost->ring = zipfkeys_moved(run->keys, first, second);
    zipfkeys_owners(run->keys, ZIPF_RENDEZVOUS, before, run->members, first);
    zipfkeys_owners(run->keys, ZIPF_RENDEZVOUS, after, run->members, second);
    cost->rendezvous = zipfkeys_moved(run->keys, first, second);
    free(first);
    free(second);
}

static void
print_churn(const char *name, double least, const struct change_cost *cost)
{
    char text[64];

    (void)snprintf(text, sizeof(text), "churn_%s", name);
    print_against(text, cost->moved / least, "load moved over the least",
                  CHURN_GOAL, cost->rendezvous / least, "rendezvous hashing");
    (void)snprintf(text, sizeof(text), "churn_%s_ring", name);
    print_against(text, cost->moved / least, "load moved over the least",
                  CHURN_GOAL, cost->ring / least,
                  "consistent hashing, 100 virtual nodes");
}

static double
load_outside(struct run *run, const char *after)
{
    double load = 0;

    for (unsigned i = 0; i < run->members; i++) {
        load += after[i] == 0 ? placemodel_load_of(run->model, i) : 0;
    }
    return load / run->total_load;
}

/* Members join or leave, or a zone is taken out and back in. */
static void
measure_change(const char *name, unsigned start, unsigned members, int joins,
               int leaves, int zone)
{
    struct run *run = run_create(members, start, 1024, 11);
    struct change_cost cost = {0};
    char before[MEMBERS_MAX];
    char after[MEMBERS_MAX];
    double moved;
    double least;
    char text[64];

    placemodel_run(run->model, 120 * US_PER_SECOND);
    memcpy(before, run->alive, sizeof(before));
    for (unsigned i = 0; zone >= 0 && i < members; i++) {
        run->alive[i] = i % 3 == (unsigned)zone ? 0 : 1;
    }
    for (int i = 0; i < joins; i++) {
        run->alive[start + i] = 1;
    }
    for (int i = 0; i < leaves; i++) {
        run->alive[i] = 0;
    }
    memcpy(after, run->alive, sizeof(after));
    least =
        joins > 0 ? (double)joins / (start + joins) : load_outside(run, after);
    moved = placemodel_load_moved(run->model);
    for (int i = 0; i < joins; i++) {
        placemodel_start(run->model, start + i);
    }
    for (int i = 0; i < leaves; i++) {
        placemodel_leave(run->model, i);
    }
    if (zone >= 0) {
        placemodel_set_zone_out(run->model, zone, true);
        placemodel_run(run->model, 2 * US_PER_SECOND);
        (void)snprintf(text, sizeof(text), "%s_load_left_after_2s", name);
        print_figure(text, load_outside(run, after), "of all load", 0);
    }
    placemodel_run(run->model, 60 * US_PER_SECOND);
    cost.moved = (placemodel_load_moved(run->model) - moved) / run->total_load;
    baseline_moved(run, before, after, &cost);
    print_churn(name, least, &cost);
    if (zone >= 0) {
        moved = placemodel_load_moved(run->model);
        placemodel_set_zone_out(run->model, zone, false);
        memcpy(run->alive, before, sizeof(before));
        placemodel_run(run->model, 60 * US_PER_SECOND);
        cost.moved =
            (placemodel_load_moved(run->model) - moved) / run->total_load;
        print_churn("zone_back", 1.0 / 3, &cost);
        print_figure("zone_back_imbalance_after_60s", imbalance(run),
                     "max/mean", IMBALANCE_GOAL);
    }
    run_destroy(run);
}

static int
compare_times(const void *a, const void *b)
{
    const int64_t *left = a;
    const int64_t *right = b;

    return (*left > *right) - (*left < *right);
}

static double
percentile_ms(const int64_t *sorted, size_t count, size_t percent)
{
    size_t index = count * percent / 100;

    return (double)sorted[index] / 1e3;
}

/* Planned moves of zones taken out and back in, with a mean drain of 2 ms. */
static void
measure_moves(void)
{
    struct run *run = run_create(12, 12, 1024, 5);
    const int64_t *gaps;
    int64_t *sorted;
    size_t count;

    placemodel_run(run->model, 60 * US_PER_SECOND);
    for (unsigned i = 0; i < 6; i++) {
        placemodel_set_zone_out(run->model, i % 3, true);
        placemodel_run(run->model, 20 * US_PER_SECOND);
        placemodel_set_zone_out(run->model, i % 3, false);
        placemodel_run(run->model, 40 * US_PER_SECOND);
    }
    count = placemodel_move_gaps(run->model, &gaps);
    sorted = malloc(count * sizeof(*sorted));
    if (sorted == NULL) {
        abort();
    }
    memcpy(sorted, gaps, count * sizeof(*sorted));
    qsort(sorted, count, sizeof(*sorted), compare_times);
    print_figure("unavailable_p50", percentile_ms(sorted, count, 50), "ms",
                 20);
    print_figure("unavailable_p99", percentile_ms(sorted, count, 99), "ms",
                 20);
    print_figure("unavailable_longest", (double)sorted[count - 1] / 1e3, "ms",
                 100);
    print_figure("moves_measured", (double)count, "moves", 0);
    free(sorted);
    run_destroy(run);
}

/* Time until all shards of a crashed owner are served again. */
static void
measure_replacement(void)
{
    struct run *run = run_create(12, 12, 1024, 5);
    int64_t worst_us = 0;

    placemodel_run(run->model, 30 * US_PER_SECOND);
    for (unsigned i = 0; i < 6; i++) {
        int64_t start_us = placemodel_now_us(run->model);
        placemodel_crash(run->model, i);
        while (!placemodel_all_served(run->model)) {
            placemodel_run(run->model, 10 * US_PER_MS);
        }
        if (placemodel_now_us(run->model) - start_us > worst_us) {
            worst_us = placemodel_now_us(run->model) - start_us;
        }
        placemodel_start(run->model, i);
        placemodel_run(run->model, 30 * US_PER_SECOND);
    }
    print_figure("served_again_after_crash_longest", (double)worst_us / 1e6,
                 "s", 1);
    run_destroy(run);
}

static double
now_s(void)
{
    struct timespec time;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void
fill_page(struct shardpage *page, uint32_t number, uint32_t epoch)
{
    shardpage_init(page, "bench", number, STATE_SHARDS_MAX);
    for (size_t i = 0; i < page->shard_count; i++) {
        (void)snprintf(page->entries[i].owner, sizeof(page->entries[i].owner),
                       "m%04u", (page->entries[i].shard / 57) % 4600);
        page->entries[i].epoch = epoch;
    }
}

static void
measure_map(void)
{
    struct shardmap *map = shardmap_create();
    struct shardmap_location location;
    struct shardpage page;
    double start;
    uint64_t found = 0;

    (void)shardmap_add_service(map, "bench", STATE_SHARDS_MAX, NULL);
    start = now_s();
    for (uint32_t i = 0; i < STATE_SHARDS_MAX / SHARDPAGE_SHARDS; i++) {
        fill_page(&page, i, 1);
        (void)shardmap_apply(map, &page, i + 1, NULL, NULL);
    }
    print_figure("map_apply_page", (now_s() - start) * 1e9 / 4096, "ns",
                 100000);
    start = now_s();
    for (uint64_t i = 0; i < 1000000; i++) {
        found += shardmap_lookup(map, "bench", &i, sizeof(i), &location) &&
                         location.owner != NULL
                     ? 1
                     : 0;
    }
    print_figure("map_lookup", (now_s() - start) * 1e9 / (double)found, "ns",
                 1000);
    print_figure("map_memory_per_shard",
                 (double)shardmap_memory(map) / STATE_SHARDS_MAX, "B", 12);
    print_figure("map_memory", (double)shardmap_memory(map) / 1e6, "MB", 8);
    shardmap_destroy(map);
}

/* Processor time of one member's placer per simulated second. */
static void
measure_member(unsigned members, uint32_t shards)
{
    struct shardmap *map = shardmap_create();
    struct placer_spec spec = {.instance = "m0000",
                               .zone = "z",
                               .service = "bench",
                               .shards = shards,
                               .map = map,
                               .seed = 1};
    struct placer_limits limits = {.targets_check_grants = true,
                                   .longest_request_us = 1000000,
                                   .moves_per_second = 20,
                                   .capacity = 20};
    struct placer *placer;
    int64_t now_us = US_PER_SECOND;
    double start;
    char name[64];

    (void)shardmap_add_service(map, "bench", shards, NULL);
    placer = placer_create(&spec, &limits, now_us);
    for (unsigned i = 0; i < members; i++) {
        struct peer_info info = {.state = PEER_ACTIVE,
                                 .version = 1,
                                 .incarnation = 1,
                                 .capacity = 20};
        (void)snprintf(info.name, sizeof(info.name), "m%04u", i);
        placer_update_member(placer, &info, now_us);
        placer_record_peer_load(placer, info.name, 10, false, 0, false,
                                now_us);
    }
    placer_set_own_row(placer, 1, 1, now_us);
    for (uint32_t i = 0; i < shardpage_count(shards); i++) {
        struct shardpage page;
        shardpage_init(&page, "bench", i, shards);
        for (size_t j = 0; j < page.shard_count; j++) {
            (void)snprintf(page.entries[j].owner,
                           sizeof(page.entries[j].owner), "m%04u",
                           (unsigned)((uint64_t)page.entries[j].shard *
                                      members / shards));
            page.entries[j].epoch = 1;
        }
        placer_apply_page(placer, &page, i + 2, now_us);
    }
    placer_set_lease(placer, INT64_MAX);
    placer_pages_scanned(placer, true, 1000000, now_us);
    start = now_s();
    for (unsigned i = 0; i < 2000; i++) {
        struct place_action *action;
        now_us += 50 * US_PER_MS;
        placer_run(placer, now_us);
        while ((action = placer_next_action(placer)) != NULL) {
            place_action_destroy(action);
        }
    }
    (void)snprintf(name, sizeof(name), "cpu_idle_%u_members_%u_shards",
                   members, shards);
    print_figure(name, (now_s() - start) * 1e6 / 100, "us/s", 11000);
    (void)snprintf(name, sizeof(name), "memory_%u_members_%u_shards", members,
                   shards);
    print_figure(name,
                 (double)(placer_memory(placer) + shardmap_memory(map)) / 1e6,
                 "MB", 32);
    placer_destroy(placer);
    shardmap_destroy(map);
}

int
main(void)
{
    log_init(stderr, LOG_LEVEL_ERROR);
    measure_imbalance(3, 256, 5);
    measure_imbalance(4, 256, 5);
    measure_imbalance(12, 1024, 5);
    measure_imbalance(100, 4096, 2);
    measure_change("join_8_to_9", 8, 9, 1, 0, -1);
    /* With more than 12 members one key exceeds a member's share. */
    measure_change("join", 12, 13, 1, 0, -1);
    measure_change("leave", 12, 12, 0, 1, -1);
    measure_change("zone_out", 12, 12, 0, 0, 0);
    measure_moves();
    measure_replacement();
    measure_map();
    measure_member(12, 1024);
    measure_member(4600, 262144);
    return 0;
}
