#include "placement/placemodel_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/timeunits.h"

#define RPC_LOST_US (300 * US_PER_MS) /* timeout of a lost call */
#define SEND_PAGE_ATTEMPTS 3
#define SCAN_PERIOD_US (2 * US_PER_SECOND)
#define LOAD_PERIOD_US (1 * US_PER_SECOND)

static bool
message_is_lost(struct placemodel *model, unsigned from, unsigned to)
{
    return model->members[from].isolated || model->members[to].isolated ||
           !model->members[to].running ||
           random_chance(&model->random, model->options.faults.loss);
}

static struct shardpage *
page_of(const struct placemodel_member *member, uint32_t number,
        uint64_t *version)
{
    struct shardpage *page = malloc(sizeof(*page));

    if (page == NULL) {
        abort();
    }
    *version =
        shardmap_copy_page(member->map, PLACEMODEL_SERVICE, number, page);
    return page;
}

static void
page_arrives(struct placemodel *model, struct placemodel_event *event)
{
    placer_apply_page(model->members[event->member].placer, event->content,
                      event->number, model->now_us);
}

static void
send_page(struct placemodel *model, unsigned from, unsigned to,
          uint32_t number, int64_t delay_us)
{
    struct placemodel_event *event;
    uint64_t version;
    struct shardpage *page;

    if (message_is_lost(model, from, to)) {
        return;
    }
    page = page_of(&model->members[from], number, &version);
    event = placemodel_event_add(
        model, to,
        delay_us + placemodel_latency(model, model->options.one_way_us),
        page_arrives);
    event->content = page;
    event->number = version;
}

static void
receiver_answered(struct placemodel *model, struct placemodel_event *event)
{
    placer_receiver_answered(model->members[event->member].placer,
                             event->shard, event->number, event->flag,
                             model->now_us);
}

static void
answer_call(struct placemodel *model, unsigned to, unsigned from,
            const struct place_action *action, bool accepted, int64_t delay_us)
{
    struct placemodel_event *event =
        placemodel_event_add(model, to, delay_us, receiver_answered);

    event->from = from;
    event->shard = action->shard;
    event->number = action->attempt;
    event->flag = accepted;
}

static void
call_arrives(struct placemodel *model, struct placemodel_event *event)
{
    struct placemodel_member *member = &model->members[event->member];
    const struct place_action *action = event->action;
    struct handover_info info = {
        .shard = action->shard,
        .epoch = action->epoch,
        .from = model->members[event->from].name,
        .incarnation = event->number,
        .attempt = action->attempt,
        .weight = action->weight,
        .blob = action->blob,
        .blob_size = action->blob_size,
    };
    bool accepted =
        action->type == PLACE_RESERVE
            ? placer_receive_reservation(member->placer, action->weight,
                                         action->urgent, model->now_us)
            : placer_receive_handover(member->placer, &info, model->now_us);

    /* The sender may have restarted in the meantime. */
    if (model->members[event->from].generation != event->from_generation) {
        return;
    }
    if (message_is_lost(model, event->member, event->from)) {
        answer_call(model, event->from, event->member, action, false,
                    RPC_LOST_US);
        return;
    }
    answer_call(model, event->from, event->member, action, accepted,
                placemodel_latency(model, model->options.one_way_us));
}

static void
send_call(struct placemodel *model, unsigned from, struct place_action *action)
{
    int to = placemodel_member_index(model, action->peer);
    struct placemodel_event *event;

    if (to < 0 || message_is_lost(model, from, (unsigned)to)) {
        answer_call(model, from, from, action, false, RPC_LOST_US);
        place_action_destroy(action);
        return;
    }
    event = placemodel_event_add(
        model, (unsigned)to,
        placemodel_latency(model, model->options.one_way_us), call_arrives);
    event->action = action;
    event->from = from;
    event->from_generation = model->members[from].generation;
    event->number = model->members[from].incarnation;
}

static void
load_arrives(struct placemodel *model, struct placemodel_event *event)
{
    struct placemodel_member *from = &model->members[event->from];

    placer_record_peer_load(model->members[event->member].placer, from->name,
                            event->load, false, 0, event->flag, model->now_us);
}

static void
send_load(struct placemodel *model, unsigned from, unsigned to)
{
    struct placemodel_event *event;
    double load;
    double limit;
    bool cold;
    bool wants_load;

    if (message_is_lost(model, from, to)) {
        return;
    }
    placer_load_report(model->members[from].placer, model->now_us, &load,
                       &cold, &limit, &wants_load);
    event = placemodel_event_add(
        model, to, placemodel_latency(model, model->options.one_way_us),
        load_arrives);
    event->from = from;
    event->load = load;
    event->flag = wants_load;
}

static void
drain_finished(struct placemodel *model, struct placemodel_event *event)
{
    uint64_t token = placemodel_shard_at(model, event->shard)->token;

    placer_drained(model->members[event->member].placer, event->shard, &token,
                   sizeof(token), model->now_us);
}

static void
start_drain(struct placemodel *model, unsigned index, uint32_t shard)
{
    struct placemodel_shard *state = placemodel_shard_at(model, shard);
    double mean = (double)model->options.drain_mean_us;
    int64_t delay_us = (int64_t)random_exponential(&model->random, mean);
    struct placemodel_event *event;

    if (delay_us > model->options.longest_request_us) {
        delay_us = model->options.longest_request_us;
    }
    state->drained_us = model->now_us;
    event = placemodel_event_add(model, index, delay_us, drain_finished);
    event->shard = shard;
}

static void
add_gap(struct placemodel *model, int64_t gap_us)
{
    if (model->gap_count == model->gap_capacity) {
        model->gap_capacity = 2 * model->gap_capacity + 256;
        model->gaps_us =
            realloc(model->gaps_us, model->gap_capacity * sizeof(int64_t));
        if (model->gaps_us == NULL) {
            abort();
        }
    }
    model->gaps_us[model->gap_count++] = gap_us;
}

static void
check_handover(struct placemodel *model, unsigned index,
               const struct place_action *action)
{
    struct placemodel_shard *state = placemodel_shard_at(model, action->shard);
    uint64_t token = 0;

    if (!action->planned) {
        state->drained_us = 0;
        return;
    }
    if (action->blob_size == sizeof(token)) {
        memcpy(&token, action->blob, sizeof(token));
    }
    if (token != state->token) {
        placemodel_violation(model, "handover is not complete", action->shard,
                             model->members[index].name);
    }
    if (state->drained_us != 0) {
        add_gap(model, model->now_us - state->drained_us);
        state->drained_us = 0;
    }
}

static void
check_one_server(struct placemodel *model, unsigned index, uint32_t shard)
{
    uint32_t epoch;

    for (unsigned i = 0; i < model->options.members; i++) {
        const struct placemodel_member *other = &model->members[i];
        if (i != index && other->running && !other->paused &&
            placer_serves(other->placer, shard, model->now_us, &epoch)) {
            placemodel_violation(model, "two owners", shard,
                                 model->members[index].name);
        }
    }
}

/* Checks the invariants of a shard that this member serves now. */
static void
check_shard(struct placemodel *model, unsigned index, uint32_t shard,
            uint32_t epoch)
{
    struct placemodel_shard *state = placemodel_shard_at(model, shard);
    const struct placemodel_member *member = &model->members[index];
    bool same = state->server == (int)index &&
                state->server_generation == member->generation;

    model->result.checks++;
    if (epoch < state->epoch ||
        (epoch == state->epoch && state->server != (int)index &&
         state->server >= 0)) {
        placemodel_violation(model, "epoch does not rise", shard,
                             member->name);
    }
    if (state->server != (int)index && !model->options.targets_check_grants &&
        model->now_us < state->served_us + model->options.longest_request_us) {
        placemodel_violation(model, "served before old requests ended", shard,
                             member->name);
    }
    if (!same) {
        check_one_server(model, index, shard);
    }
    state->epoch = epoch;
    state->server = (int)index;
    state->server_generation = member->generation;
    state->served_us = model->now_us;
    state->token++;
}

void
placemodel_check_serving(struct placemodel *model, unsigned index)
{
    const struct placemodel_member *member = &model->members[index];
    const struct ownedset *set = member->placer->owned;

    for (const struct owned_shard *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        uint32_t epoch;
        if ((owned->shard & SHARD_KEY_FLAG) == 0 &&
            placer_serves(member->placer, owned->shard, model->now_us,
                          &epoch)) {
            check_shard(model, index, owned->shard, epoch);
        }
    }
}

static void
publish(struct placemodel *model, unsigned from, uint32_t page)
{
    if (model->options.reduced_messages) {
        return;
    }
    for (unsigned i = 0; i < model->options.members; i++) {
        if (i != from) {
            send_page(model, from, i, page, 0);
        }
    }
}

static void
assign(struct placemodel *model, unsigned from,
       const struct place_action *action)
{
    int to = placemodel_member_index(model, action->peer);

    for (int i = 0; to >= 0 && i < SEND_PAGE_ATTEMPTS; i++) {
        send_page(model, from, (unsigned)to, action->page, i * RPC_LOST_US);
    }
}

static void
gained(struct placemodel *model, unsigned index,
       const struct place_action *action)
{
    struct placemodel_shard *state = placemodel_shard_at(model, action->shard);
    uint32_t epoch;

    check_handover(model, index, action);
    if ((action->shard & SHARD_KEY_FLAG) != 0) {
        return;
    }
    if (placer_serves(model->members[index].placer, action->shard,
                      model->now_us, &epoch)) {
        if (state->server != (int)index) {
            check_one_server(model, index, action->shard);
        }
        check_shard(model, index, action->shard, epoch);
    }
}

static void
trace_action(struct placemodel *model, unsigned index,
             const struct place_action *action)
{
    char detail[160];

    switch (action->type) {
    case PLACE_EXCHANGE_LOAD:
    case PLACE_PUBLISH_PAGE:
    case PLACE_COMMIT_PAGE:
    case PLACE_READ_MEMBER:
        return;
    case PLACE_READ_PAGE:
    case PLACE_SEND_PAGE:
        (void)snprintf(detail, sizeof(detail), "page %u %s", action->page,
                       action->peer);
        break;
    default:
        (void)snprintf(detail, sizeof(detail), "shard %u epoch %u %s%s",
                       action->shard, action->epoch, action->peer,
                       action->planned ? "planned" : "");
        break;
    }
    placemodel_trace(model, model->members[index].name,
                     place_action_name(action->type), detail);
}

/* @return true if it took ownership of the action. */
static bool
run_action(struct placemodel *model, unsigned index,
           struct place_action *action)
{
    int peer = placemodel_member_index(model, action->peer);

    switch (action->type) {
    case PLACE_COMMIT_PAGE:
        placemodel_store_commit(model, index, action);
        return true;
    case PLACE_RESERVE:
    case PLACE_HANDOVER:
        send_call(model, index, action);
        return true;
    case PLACE_READ_PAGE:
        placemodel_store_read(model, index, action->page);
        return false;
    case PLACE_SCAN_PAGES:
        placemodel_store_scan(model, index, 0, true);
        return false;
    case PLACE_SHARD_GAINED:
        gained(model, index, action);
        return false;
    case PLACE_DRAIN_SHARD:
        start_drain(model, index, action->shard);
        return false;
    case PLACE_RESUME_SHARD:
        placemodel_shard_at(model, action->shard)->drained_us = 0;
        return false;
    case PLACE_SEND_PAGE:
        assign(model, index, action);
        return false;
    case PLACE_PUBLISH_PAGE:
        publish(model, index, action->page);
        return false;
    case PLACE_EXCHANGE_LOAD:
        if (peer >= 0) {
            send_load(model, index, (unsigned)peer);
            send_load(model, (unsigned)peer, index);
        }
        return false;
    case PLACE_READ_MEMBER:
        if (peer >= 0) {
            placemodel_notify_member(model, index, (unsigned)peer, false);
        }
        return false;
    default:
        return false;
    }
}

void
placemodel_member_run_actions(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];
    struct place_action *action;

    while (member->placer != NULL &&
           (action = placer_next_action(member->placer)) != NULL) {
        trace_action(model, index, action);
        if (!run_action(model, index, action)) {
            place_action_destroy(action);
        }
    }
}

static void
set_loads(struct placemodel *model, struct placemodel_member *member)
{
    const struct ownedset *set = member->placer->owned;

    for (const struct owned_shard *owned = ownedset_first(set); owned != NULL;
         owned = ownedset_next(set, owned)) {
        const struct placemodel_shard *shard =
            placemodel_shard_at(model, owned->shard);
        placer_set_load(member->placer, owned->shard, shard->load,
                        shard->hot_hash, shard->hot_load);
    }
}

/* Periodically sends changed pages and rows to the member. */
static void
synchronise(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];

    if (member->isolated ||
        model->now_us - member->synced_us < SCAN_PERIOD_US) {
        return;
    }
    member->synced_us = model->now_us;
    placemodel_store_scan(model, index, 0, false);
    for (unsigned i = 0;
         i < model->options.members && !model->options.reduced_messages; i++) {
        if (model->rows[i].version != 0) {
            placemodel_notify_member(model, index, i, false);
        }
    }
}

void
placemodel_member_tick(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];

    placer_set_lease(member->placer, member->lease_until_us);
    for (unsigned i = 0; i < model->options.zones; i++) {
        char zone[STATE_NAME_MAX + 1];
        (void)snprintf(zone, sizeof(zone), "zone-%u", i);
        placer_set_zone_out(member->placer, zone, model->zones_out[i]);
    }
    if (model->now_us - member->loaded_us >= LOAD_PERIOD_US) {
        member->loaded_us = model->now_us;
        set_loads(model, member);
    }
    synchronise(model, index);
    placer_run(member->placer, model->now_us);
}

void
placemodel_member_start(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];
    struct placer_spec spec = {
        .instance = member->name,
        .zone = member->zone,
        .service = PLACEMODEL_SERVICE,
        .shards = model->options.shards,
        .seed = random_u64(&model->random),
    };
    struct placer_limits limits = {
        .targets_check_grants = model->options.targets_check_grants,
        .longest_request_us = model->options.longest_request_us,
        .moves_per_second = model->options.moves_per_second,
        .capacity = model->options.capacity,
    };

    if (member->running) {
        return;
    }
    /* Sometimes keeps the map, like a process that starts from an old
     * snapshot. */
    if (member->map == NULL || random_chance(&model->random, 0.5)) {
        shardmap_destroy(member->map);
        member->map = shardmap_create();
        (void)shardmap_add_service(member->map, PLACEMODEL_SERVICE,
                                   model->options.shards, NULL);
    }
    spec.map = member->map;
    placer_destroy(member->placer);
    member->placer = placer_create(&spec, &limits, model->now_us);
    member->generation++;
    member->running = true;
    member->paused = false;
    member->leaving = false;
    member->registering = false;
    member->registered = false;
    member->synced_us = model->now_us - SCAN_PERIOD_US;
    member->loaded_us = model->now_us - LOAD_PERIOD_US;
    member->lease_until_us = model->now_us;
    placemodel_trace(model, member->name, "starts", "");
    placemodel_register(model, index);
}

void
placemodel_member_stop(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];

    if (member->running) {
        member->running = false;
        member->generation++;
        placemodel_trace(model, member->name, "stops", "");
    }
}
