#include "membership/model_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/timeunits.h"

#define TICK_MAX_US (50 * US_PER_MS) /* longest time between ticks */
#define START_US (1 * US_PER_SECOND) /* simulated time at the start */
#define RESTART_US (200 * US_PER_MS) /* restart delay of a fenced holder */
#define SUSPECT_PERCENT 67           /* of the lease without contact */
#define PROBE_PERCENT 50
#define PROBE_INTERVAL_US (100 * US_PER_MS)
#define ATTEMPT_PAUSE_US (1 * US_PER_SECOND)
#define RANDOM_ATTEMPT_PERCENT 1 /* of ticks that fence without suspicion */
#define RENEWAL_SHORT_S 6        /* in a quarter of the runs with faults */
#define RENEWAL_LONG_S 3600
#define PERCENT 100
#define PPM 1000000

struct model_config
model_random_faults(uint64_t seed)
{
    struct lease_rules rules = lease_rules_all();
    rules.drift_ppm = 360000; /* covers two clocks that are 15% off */
    return (struct model_config){
        .seed = seed,
        .rules = rules,
        .faults_us = 20 * US_PER_SECOND,
        .recovery_us = 15 * US_PER_SECOND,
        .drift_ppm = 150000,
        .lease_us = 750 * US_PER_MS,
        .renewal_max_us =
            (seed % 4 == 0 ? RENEWAL_SHORT_S : RENEWAL_LONG_S) * US_PER_SECOND,
        .random_faults = true,
    };
}

struct model_config
model_fault_free(uint64_t seed)
{
    struct model_config config = model_random_faults(seed);
    config.rules = lease_rules_all();
    config.renewal_max_us = RENEWAL_LONG_S * US_PER_SECOND;
    config.drift_ppm = 1000;
    config.random_faults = false;
    return config;
}

int64_t
model_local_us(const struct model *model, int node)
{
    const struct model_node *at = &model->nodes[node];
    return at->offset_us + (int64_t)((double)model_now_us(model) * at->rate);
}

/** The simulated time when the node's clock has reached local_us. */
static int64_t
real_us(const struct model_node *node, int64_t local_us)
{
    return (int64_t)((double)(local_us - node->offset_us) / node->rate) + 1;
}

static int
node_of(const struct member_ref *ref)
{
    return (int)strtol(ref->instance, NULL, 10);
}

static struct member_ref
ref_of(const struct model *model, int number)
{
    struct member_ref ref = {
        .incarnation = model->nodes[number].incarnation,
    };
    snprintf(ref.instance, sizeof(ref.instance), "%d", number);
    return ref;
}

void
model_check(struct model *model)
{
    bool row_is_live = model->lease != NULL &&
                       model->row.self.incarnation ==
                           model->nodes[MODEL_HOLDER].incarnation &&
                       member_is_live(&model->row);
    bool held =
        model->lease != NULL &&
        lease_is_held(model->lease, model_local_us(model, MODEL_HOLDER));
    if (held && !row_is_live && !model->result.violated) {
        model->result.violated = true;
        model->result.violated_us = model_now_us(model) - START_US;
    }
    if (model->held && !held && row_is_live) {
        model->result.lapses++;
    }
    if (!model->held && held && model->result.lapses > 0) {
        model->result.regains++;
    }
    model->held = held;
}

static void
send_renewal(void *ctx, const struct member_ref *guardian, uint64_t version,
             int64_t sent_us)
{
    struct model *model = ctx;
    struct model_event *event =
        model_send(model, MODEL_RENEW, MODEL_HOLDER, node_of(guardian));
    if (event != NULL) {
        event->sent_us = sent_us;
        event->renew = (struct lease_renew_args){
            .holder = model->nodes[MODEL_HOLDER].incarnation,
            .guardian = guardian->incarnation,
            .row_version = version,
            .lease_us = (u_int)lease_row(model->lease)->lease_us,
        };
    }
}

static void
write_lease(void *ctx, const struct member *row, uint64_t txn_id,
            enum lease_reason reason)
{
    (void)reason;
    model_write(ctx, MODEL_HOLDER, MODEL_OWNER_LEASE, row, txn_id);
}

static void
read_lease(void *ctx)
{
    model_read(ctx, MODEL_HOLDER, MODEL_OWNER_LEASE);
}

static bool
is_avoided(const struct member_ref *avoid, size_t count,
           const struct member_ref *ref)
{
    for (size_t i = 0; i < count; i++) {
        if (member_ref_equal(&avoid[i], ref)) {
            return true;
        }
    }
    return false;
}

static void
choose(void *ctx, const struct member_ref *avoid, size_t avoid_count,
       struct guardian_set *chosen)
{
    struct model *model = ctx;
    int first = (int)random_below(&model->random, MODEL_NODES);
    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < MODEL_NODES; i++) {
            int number = (first + i) % MODEL_NODES;
            struct member_ref ref = ref_of(model, number);
            if (number != MODEL_HOLDER &&
                (pass > 0 || !is_avoided(avoid, avoid_count, &ref))) {
                guardian_set_add(chosen, &ref);
            }
        }
    }
}

void
model_start_holder(struct model *model)
{
    static const struct lease_ops ops = {
        .renew = send_renewal,
        .write = write_lease,
        .read = read_lease,
        .choose = choose,
    };
    struct model_node *node = &model->nodes[MODEL_HOLDER];
    const struct lease_config config = {
        .rules = model->config.rules,
        .random = &model->random,
    };
    if (node->host_down || member_is_live(&model->row)) {
        model_schedule_event(model, MODEL_RESTART, MODEL_HOLDER, RESTART_US);
        return;
    }
    node->alive = true;
    node->generation++;
    node->incarnation = ++model->next_serial;
    struct member row = {
        .state = MEMBER_ACTIVE,
        .lease_us = model->config.lease_us,
        .renewal_max_us = model->config.renewal_max_us,
        .version = model->row.version,
    };
    row.self = ref_of(model, MODEL_HOLDER);
    model->lease = lease_create(&config, &row, &ops, model);
    model_tick_node(model, MODEL_HOLDER);
}

void
model_stop_holder(struct model *model)
{
    struct model_node *node = &model->nodes[MODEL_HOLDER];
    lease_destroy(model->lease);
    model->lease = NULL;
    node->alive = false;
    node->generation++;
    timer_stop(&node->tick);
}

void
model_start_guardian(struct model *model, int number)
{
    struct model_node *node = &model->nodes[number];
    node->alive = true;
    node->generation++;
    node->incarnation = ++model->next_serial;
    node->guardian = guardian_create(
        node->incarnation, model->certify_after_percent, &model->config.rules);
    node->seen_version = 0;
    node->last_probe_us = 0;
    node->fence_after_us = 0;
    model_tick_node(model, number);
}

void
model_stop_guardian(struct model *model, int number)
{
    struct model_node *node = &model->nodes[number];
    guardian_destroy(node->guardian);
    node->guardian = NULL;
    fence_destroy(node->fence);
    node->fence = NULL;
    node->alive = false;
    node->generation++;
    timer_stop(&node->tick);
}

static int
node_of_fence(const struct model *model, const struct fence *fence)
{
    int number = 0;
    while (model->nodes[number].fence != fence) {
        number++;
    }
    return number;
}

static void
request_certificate(void *ctx, struct fence *fence,
                    const struct member_ref *guardian)
{
    struct model *model = ctx;
    int number = node_of_fence(model, fence);
    struct model_node *node = &model->nodes[number];
    const struct member *row = fence_row(fence);
    const struct lease_certify_args args = {
        .holder = row->self.incarnation,
        .guardian = guardian->incarnation,
        .row_version = row->version,
        .lease_us = (u_int)row->lease_us,
    };
    if (guardian->incarnation == node->incarnation) {
        struct lease_certify_result result = guardian_certify(
            node->guardian, &args, model_local_us(model, number));
        fence_on_certify_reply(fence, guardian, &result,
                               model_local_us(model, number));
        return;
    }
    struct model_event *event =
        model_send(model, MODEL_CERTIFY, number, node_of(guardian));
    if (event != NULL) {
        event->certify = args;
        event->owner = node->fence_serial;
    }
}

static void
read_fence(void *ctx, struct fence *fence)
{
    struct model *model = ctx;
    int number = node_of_fence(model, fence);
    model_read(model, number, model->nodes[number].fence_serial);
}

static void
write_fence(void *ctx, struct fence *fence, const struct member *row,
            uint64_t txn_id)
{
    struct model *model = ctx;
    int number = node_of_fence(model, fence);
    model_write(model, number, model->nodes[number].fence_serial, row, txn_id);
}

void
model_start_fence(struct model *model, int number)
{
    static const struct fence_ops ops = {
        .request_certificate = request_certificate,
        .read = read_fence,
        .write = write_fence,
    };
    struct model_node *node = &model->nodes[number];
    const struct fence_config config = {
        .rules = model->config.rules,
        .random = &model->random,
    };
    node->fence_serial = ++model->next_serial;
    node->fence = fence_create(&config, &model->row.self, &ops, model,
                               model_local_us(model, number));
}

/** Probes and fences the holder by the rules of the membership task. */
static void
watch_holder(struct model *model, int number, int64_t now_us)
{
    struct model_node *node = &model->nodes[number];
    const struct guardian_holder *record =
        guardian_find(node->guardian, model->row.self.incarnation);
    bool at_random =
        model->config.random_faults &&
        random_below(&model->random, PERCENT) < RANDOM_ATTEMPT_PERCENT;
    int64_t unresponsive_us =
        record == NULL ? 0 : now_us - record->last_contact_us;
    int64_t lease_us = model->config.lease_us;
    if (unresponsive_us >= lease_us * PROBE_PERCENT / PERCENT &&
        now_us - node->last_probe_us >= PROBE_INTERVAL_US) {
        struct model_event *event =
            model_send(model, MODEL_PROBE, number, MODEL_HOLDER);
        node->last_probe_us = now_us;
        if (event != NULL) {
            event->incarnation = model->row.self.incarnation;
        }
    }
    if (member_is_live(&model->row) && now_us >= node->fence_after_us &&
        (at_random ||
         unresponsive_us >= lease_us * SUSPECT_PERCENT / PERCENT)) {
        model_start_fence(model, number);
    }
}

static int64_t
tick_guardian(struct model *model, int number, int64_t now_us)
{
    struct model_node *node = &model->nodes[number];
    if (node->fence == NULL) {
        watch_holder(model, number, now_us);
    }
    if (node->fence == NULL) {
        return INT64_MAX;
    }
    int64_t next_us = fence_tick(node->fence, now_us);
    if (fence_status(node->fence) != FENCE_RUNNING) {
        fence_destroy(node->fence);
        node->fence = NULL;
        node->fence_after_us = now_us + ATTEMPT_PAUSE_US;
    }
    return next_us;
}

static int64_t
tick_holder(struct model *model, int64_t now_us)
{
    int64_t next_us = lease_tick(model->lease, now_us);
    if (lease_status(model->lease) == LEASE_ENDED) {
        model_check(model);
        model_stop_holder(model);
        model_schedule_event(model, MODEL_RESTART, MODEL_HOLDER, RESTART_US);
        return INT64_MAX;
    }
    return next_us;
}

void
model_tick_node(struct model *model, int number)
{
    struct model_node *node = &model->nodes[number];
    if (!node->alive) {
        return;
    }
    int64_t now_us = model_local_us(model, number);
    int64_t next_us = number == MODEL_HOLDER
                          ? tick_holder(model, now_us)
                          : tick_guardian(model, number, now_us);
    if (!node->alive) {
        return;
    }
    if (next_us > now_us + TICK_MAX_US) {
        next_us = now_us + TICK_MAX_US;
    }
    timer_start_at(&node->tick, real_us(node, next_us));
    model_check(model);
}

static void
on_tick(void *ctx)
{
    struct model_event *event = ctx;
    struct model *model = event->model;
    struct model_node *node = &model->nodes[event->to];
    if (node->paused_until_us > model_now_us(model)) {
        timer_start_at(&node->tick, node->paused_until_us);
        return;
    }
    model_tick_node(model, event->to);
}

static void
set_up(struct model *model, struct model_event ticks[MODEL_NODES])
{
    const struct model_config *config = &model->config;
    static const unsigned certify_percents[] = {0, 30, SUSPECT_PERCENT};
    random_seed(&model->random, config->seed);
    model->runtime = runtime_create_manual(START_US, NULL);
    LIST_INIT(&model->events);
    model->certify_after_percent =
        config->random_faults
            ? certify_percents[random_below(&model->random, 3)]
            : SUSPECT_PERCENT;
    for (int i = 0; i < MODEL_NODES; i++) {
        struct model_node *node = &model->nodes[i];
        node->rate =
            1.0 + (double)random_range(&model->random, -config->drift_ppm,
                                       config->drift_ppm) /
                      PPM;
        node->offset_us =
            random_range(&model->random, 0, 1000 * US_PER_SECOND);
        ticks[i] = (struct model_event){.model = model, .to = i};
        timer_init(&node->tick, model->runtime, on_tick, &ticks[i]);
        if (i != MODEL_HOLDER) {
            model_start_guardian(model, i);
        }
    }
    model_start_holder(model);
}

/** Pauses or kills the holder's process, or restarts a guardian's. */
static void
inject_failure(struct model *model)
{
    const struct model_config *config = &model->config;
    struct model_node *node = &model->nodes[MODEL_HOLDER];
    model->result.held_until_us =
        real_us(node, lease_until_us(model->lease)) - START_US;
    if (config->pause_us > 0) {
        node->paused_until_us = model_now_us(model) + config->pause_us;
        return;
    }
    if (config->kill_guardian) {
        int number = node_of(&lease_row(model->lease)->guardians.refs[0]);
        model_stop_guardian(model, number);
        model_start_guardian(model, number);
        return;
    }
    node->host_down = config->kill_host;
    model_stop_holder(model);
}

struct model_result
model_run(const struct model_config *config)
{
    struct model *model = calloc(1, sizeof(*model));
    struct model_event ticks[MODEL_NODES];
    if (model == NULL) {
        abort();
    }
    model->config = *config;
    set_up(model, ticks);
    if (config->random_faults) {
        model_schedule_event(model, MODEL_FAULT, MODEL_HOLDER, US_PER_SECOND);
    }
    if (config->store_down_us > 0) {
        runtime_advance(model->runtime, config->store_down_us);
        model->faults.store_down_until_us = INT64_MAX;
    }
    if (config->kill_us > 0) {
        runtime_advance(model->runtime, config->kill_us);
        inject_failure(model);
    }
    runtime_advance(model->runtime, config->faults_us);
    if (config->random_faults) {
        model_end_faults(model);
    }
    runtime_advance(model->runtime, config->recovery_us);
    model_check(model);
    model->result.recovered = model->held;
    model_stop_holder(model);
    for (int i = MODEL_HOLDER + 1; i < MODEL_NODES; i++) {
        model_stop_guardian(model, i);
    }
    model_drop_events(model);
    runtime_destroy(model->runtime);
    struct model_result result = model->result;
    free(model);
    return result;
}
