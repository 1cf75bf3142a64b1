#include "membership/model_internal.h"

#include <stdlib.h>

#include "base/timeunits.h"

#define LATENCY_MIN_US INT64_C(500)
#define LATENCY_MAX_US (4 * US_PER_MS)
#define SLOW_LATENCY_MAX_US (1500 * US_PER_MS)
#define STORE_LATENCY_MIN_US (2 * US_PER_MS)
#define STORE_LATENCY_MAX_US (12 * US_PER_MS)
#define STORE_TIMEOUT_US (400 * US_PER_MS)
#define STORE_LATE_MAX_US (5 * US_PER_SECOND)
#define STORE_FAULT_PERCENT 60 /* of operations during a fault */
#define PERCENT 100

static void
end_event(struct model_event *event)
{
    LIST_REMOVE(event, link);
    timer_stop(&event->timer);
    free(event);
}

static void
reply(struct model *model, const struct model_event *to, enum model_kind kind,
      struct model_event **out)
{
    *out = model_send(model, kind, to->to, to->from);
    if (*out != NULL) {
        (*out)->generation = to->generation;
        (*out)->owner = to->owner;
        (*out)->sent_us = to->sent_us;
        (*out)->renew = to->renew;
        (*out)->certify = to->certify;
        (*out)->incarnation = to->incarnation;
    }
}

/** Handles a call at a node, whose process may be gone. */
static void
handle_call(struct model *model, const struct model_event *event)
{
    struct model_node *node = &model->nodes[event->to];
    struct model_event *answer;
    int64_t now_us = model_local_us(model, event->to);
    if (node->host_down) {
        return;
    }
    if (!node->alive) {
        if (event->kind == MODEL_PROBE) {
            reply(model, event, MODEL_REFUSED, &answer);
        }
        if (event->kind == MODEL_CERTIFY) {
            reply(model, event, MODEL_GUARDIAN_GONE, &answer);
        }
        return;
    }
    if (event->kind == MODEL_RENEW) {
        model->result.renewals++;
        struct lease_renew_result result =
            guardian_renew(node->guardian, &event->renew, now_us);
        reply(model, event, MODEL_RENEWED, &answer);
        if (answer != NULL) {
            answer->renewed = result;
        }
    }
    if (event->kind == MODEL_CERTIFY) {
        struct lease_certify_result result =
            guardian_certify(node->guardian, &event->certify, now_us);
        reply(model, event, MODEL_CERTIFIED, &answer);
        if (answer != NULL) {
            answer->certified = result;
        }
    }
}

static void
deliver_row(struct model *model, const struct model_event *event,
            int64_t now_us)
{
    struct model_node *node = &model->nodes[event->to];
    const struct member *row =
        event->outcome == STORE_COMMITTED && event->row.version > 0
            ? &event->row
            : NULL;
    if (event->owner == MODEL_OWNER_LEASE) {
        lease_on_read(model->lease, event->outcome, row, event->txn_id,
                      now_us);
        return;
    }
    if (row != NULL && row->version > node->seen_version) {
        node->seen_version = row->version;
        node->seen_us = now_us;
    }
    if (node->fence != NULL && event->owner == node->fence_serial) {
        fence_on_read(node->fence, event->outcome, row, event->txn_id,
                      node->seen_us, now_us);
    }
}

static void
deliver_write_outcome(struct model *model, const struct model_event *event,
                      int64_t now_us)
{
    struct model_node *node = &model->nodes[event->to];
    if (event->owner == MODEL_OWNER_LEASE) {
        lease_on_written(model->lease, event->txn_id, event->outcome,
                         event->row.version, now_us);
    }
    else if (node->fence != NULL && event->owner == node->fence_serial) {
        fence_on_written(node->fence, event->outcome, event->row.version,
                         now_us);
    }
}

/** Handles the refusal of a connection by the holder's host. */
static void
deliver_refusal(struct model *model, const struct model_event *event)
{
    struct model_node *node = &model->nodes[event->to];
    if (node->fence == NULL &&
        model->row.self.incarnation == event->incarnation &&
        member_is_live(&model->row)) {
        model_start_fence(model, event->to);
    }
    if (node->fence != NULL &&
        fence_holder(node->fence)->incarnation == event->incarnation) {
        fence_on_connection_refused(node->fence);
    }
}

/** Delivers a reply to the process that sent the request. */
static void
deliver_answer(struct model *model, const struct model_event *event)
{
    struct model_node *node = &model->nodes[event->to];
    int64_t now_us = model_local_us(model, event->to);
    struct member_ref ref = {.incarnation = event->certify.guardian};
    bool current = node->fence != NULL && event->owner == node->fence_serial;
    ref.instance[0] = (char)('0' + event->from);
    switch (event->kind) {
    case MODEL_RENEWED:
        ref.incarnation = event->renew.guardian;
        lease_on_renew_reply(model->lease, &ref, event->renewed.status,
                             event->sent_us);
        break;
    case MODEL_CERTIFIED:
        if (current) {
            fence_on_certify_reply(node->fence, &ref, &event->certified,
                                   now_us);
        }
        break;
    case MODEL_GUARDIAN_GONE:
        if (current) {
            fence_on_guardian_gone(node->fence, &ref, now_us);
        }
        break;
    case MODEL_REFUSED:
        deliver_refusal(model, event);
        break;
    case MODEL_STORE_ROW:
        deliver_row(model, event, now_us);
        break;
    default:
        deliver_write_outcome(model, event, now_us);
        break;
    }
    model_tick_node(model, event->to);
}

static void
schedule_store_answer(struct model *model, const struct model_event *event,
                      enum model_kind kind, enum store_outcome outcome,
                      int64_t delay_us)
{
    struct model_event *answer =
        model_schedule_event(model, kind, event->from, delay_us);
    answer->from = event->from;
    answer->generation = event->generation;
    answer->owner = event->owner;
    answer->txn_id = event->txn_id;
    answer->outcome = outcome;
    answer->row = event->row;
}

/** Executes a write at the store. */
static void
commit(struct model *model, struct model_event *event)
{
    if (model->row.version != event->row.version) {
        event->outcome = STORE_CONFLICT;
        return;
    }
    event->outcome = STORE_COMMITTED;
    event->row.version = ++model->commits;
    model->row = event->row;
    model->row_txn = event->txn_id;
    if (event->owner == MODEL_OWNER_LEASE) {
        model->result.writes++;
    }
    else {
        model->result.fences++;
        if (model->result.first_fence_us == 0) {
            model->result.first_fence_us = model_now_us(model) - US_PER_SECOND;
        }
    }
    model_check(model);
}

static int64_t
store_latency_us(struct model *model)
{
    return random_range(&model->random, STORE_LATENCY_MIN_US,
                        STORE_LATENCY_MAX_US);
}

static void
execute_at_store(struct model *model, struct model_event *event)
{
    if (event->kind == MODEL_STORE_READ) {
        event->row = model->row;
        event->txn_id = model->row_txn;
        schedule_store_answer(model, event, MODEL_STORE_ROW, STORE_COMMITTED,
                              store_latency_us(model));
        return;
    }
    commit(model, event);
    if (event->to != 0) { /* the reply is not lost */
        schedule_store_answer(model, event, MODEL_STORE_WRITTEN,
                              event->outcome, store_latency_us(model));
    }
}

static void
on_event(void *ctx)
{
    struct model_event *event = ctx;
    struct model *model = event->model;
    bool at_store =
        event->kind == MODEL_STORE_WRITE || event->kind == MODEL_STORE_READ;
    struct model_node *node = &model->nodes[at_store ? 0 : event->to];
    if (!at_store && event->kind != MODEL_FAULT &&
        node->paused_until_us > model_now_us(model)) {
        timer_start_at(&event->timer, node->paused_until_us);
        return;
    }
    if (at_store) {
        execute_at_store(model, event);
    }
    else if (event->kind == MODEL_FAULT) {
        model_start_fault(model);
    }
    else if (event->kind == MODEL_RESTART) {
        if (event->to == MODEL_HOLDER) {
            model_start_holder(model);
        }
        else {
            model_start_guardian(model, event->to);
        }
    }
    else if (event->kind == MODEL_RENEW || event->kind == MODEL_CERTIFY ||
             event->kind == MODEL_PROBE) {
        handle_call(model, event);
    }
    else if (node->alive && event->generation == node->generation) {
        deliver_answer(model, event);
    }
    end_event(event);
    model_check(model);
}

struct model_event *
model_schedule_event(struct model *model, enum model_kind kind, int to,
                     int64_t delay_us)
{
    struct model_event *event = calloc(1, sizeof(*event));
    if (event == NULL) {
        abort();
    }
    event->model = model;
    event->kind = kind;
    event->to = to;
    LIST_INSERT_HEAD(&model->events, event, link);
    timer_init(&event->timer, model->runtime, on_event, event);
    timer_start(&event->timer, delay_us);
    return event;
}

static unsigned
loss_percent(const struct model *model)
{
    return model->faults.loss_until_us > model_now_us(model)
               ? model->faults.loss_percent
               : model->config.loss_percent;
}

struct model_event *
model_send(struct model *model, enum model_kind kind, int from, int to)
{
    const struct model_faults *faults = &model->faults;
    int64_t now_us = model_now_us(model);
    unsigned loss = loss_percent(model);
    int64_t delay_us =
        random_range(&model->random, LATENCY_MIN_US, LATENCY_MAX_US);
    if (faults->cut_until_us[from][to] > now_us ||
        (loss > 0 && random_below(&model->random, PERCENT) < loss)) {
        return NULL;
    }
    if (faults->slow_until_us > now_us) {
        delay_us = random_range(&model->random, 0, SLOW_LATENCY_MAX_US);
    }
    struct model_event *event =
        model_schedule_event(model, kind, to, delay_us);
    event->from = from;
    event->generation = model->nodes[from].generation;
    return event;
}

static bool
store_fault_occurs(struct model *model, int64_t until_us)
{
    return until_us > model_now_us(model) &&
           random_below(&model->random, PERCENT) < STORE_FAULT_PERCENT;
}

static struct model_event *
call_store(struct model *model, enum model_kind kind, int from, uint64_t owner,
           int64_t delay_us)
{
    struct model_event *event = model_schedule_event(model, kind, 1, delay_us);
    event->from = from;
    event->generation = model->nodes[from].generation;
    event->owner = owner;
    return event;
}

void
model_write(struct model *model, int from, uint64_t owner,
            const struct member *row, uint64_t txn_id)
{
    const struct model_faults *faults = &model->faults;
    int64_t delay_us = store_latency_us(model);
    bool down = faults->store_down_until_us > model_now_us(model);
    bool late = store_fault_occurs(model, faults->store_late_until_us);
    bool lost =
        late || store_fault_occurs(model, faults->store_lossy_until_us);
    model->result.store_calls++;
    if (late) {
        delay_us = random_range(&model->random, 0, STORE_LATE_MAX_US);
    }
    struct model_event *event =
        call_store(model, MODEL_STORE_WRITE, from, owner, delay_us);
    event->row = *row;
    event->txn_id = txn_id;
    if (down) {
        schedule_store_answer(model, event, MODEL_STORE_WRITTEN,
                              STORE_UNAVAILABLE, delay_us);
        end_event(event);
    }
    else if (lost) {
        schedule_store_answer(model, event, MODEL_STORE_WRITTEN, STORE_UNKNOWN,
                              STORE_TIMEOUT_US);
        event->to = 0;
    }
}

void
model_read(struct model *model, int from, uint64_t owner)
{
    const struct model_faults *faults = &model->faults;
    struct model_event *event = call_store(model, MODEL_STORE_READ, from,
                                           owner, store_latency_us(model));
    model->result.store_calls++;
    if (faults->store_down_until_us > model_now_us(model) ||
        store_fault_occurs(model, faults->store_lossy_until_us)) {
        schedule_store_answer(model, event, MODEL_STORE_ROW, STORE_UNAVAILABLE,
                              STORE_TIMEOUT_US);
        end_event(event);
    }
}

void
model_drop_events(struct model *model)
{
    struct model_event *event = LIST_FIRST(&model->events);
    while (event != NULL) {
        struct model_event *following = LIST_NEXT(event, link);
        timer_stop(&event->timer);
        free(event);
        event = following;
    }
    LIST_INIT(&model->events);
}
