#include "membership/model_internal.h"

#include <string.h>

#include "base/timeunits.h"

#define FAULT_GAP_MAX_US (1500 * US_PER_MS) /* between starts of faults */
#define FAULT_MIN_US (100 * US_PER_MS)      /* length of a fault */
#define FAULT_MAX_US (5 * US_PER_SECOND)
#define LEASE_MIN_US (400 * US_PER_MS)
#define LEASE_MAX_US (1500 * US_PER_MS)
#define LOSS_MAX_PERCENT 60
#define SECOND_FAULT_PERCENT 30 /* of faults that start with a second one */
#define PERCENT 100

enum fault_kind {
    FAULT_PAUSE,
    FAULT_PAUSE_HOLDER,
    FAULT_CUT_LINK,
    FAULT_CUT_SENDER,
    FAULT_CUT_RECEIVER,
    FAULT_LOSS,
    FAULT_SLOW,
    FAULT_STORE_DOWN,
    FAULT_STORE_LOSSY,
    FAULT_STORE_LATE,
    FAULT_RESTART_GUARDIAN,
    FAULT_KILL_HOLDER,
    FAULT_CHANGE_LEASE,
    FAULT_LEAVE,
    FAULT_KIND_COUNT,
};

static int
any_node(struct model *model)
{
    return (int)random_below(&model->random, MODEL_NODES);
}

/** Cuts a link, or one direction of all links of a node. */
static void
cut(struct model *model, enum fault_kind kind, int64_t until_us)
{
    int a = any_node(model);
    int b = any_node(model);
    if (random_chance(&model->random, 0.5)) {
        a = MODEL_HOLDER;
    }
    for (int i = 0; i < MODEL_NODES; i++) {
        if (kind == FAULT_CUT_SENDER) {
            model->faults.cut_until_us[a][i] = until_us;
        }
        if (kind == FAULT_CUT_RECEIVER) {
            model->faults.cut_until_us[i][a] = until_us;
        }
    }
    if (kind == FAULT_CUT_LINK) {
        model->faults.cut_until_us[a][b] = until_us;
        if (random_chance(&model->random, 0.5)) {
            model->faults.cut_until_us[b][a] = until_us;
        }
    }
}

static void
restart_guardian(struct model *model)
{
    int number = 1 + (int)random_below(&model->random, MODEL_NODES - 1);
    if (model->nodes[number].alive) {
        model_stop_guardian(model, number);
        model_schedule_event(model, MODEL_RESTART, number,
                             random_range(&model->random, 0, FAULT_MAX_US));
    }
}

static void
kill_holder(struct model *model)
{
    if (model->lease != NULL) {
        model_stop_holder(model);
        model_schedule_event(
            model, MODEL_RESTART, MODEL_HOLDER,
            random_range(&model->random, FAULT_MIN_US, FAULT_MAX_US));
    }
}

/** Changes lease_us and renewal_max_us, as an operator can. */
static void
change_lease(struct model *model)
{
    struct member row = {
        .lease_us = random_range(&model->random, LEASE_MIN_US, LEASE_MAX_US),
        .renewal_max_us = model->config.renewal_max_us / 2,
    };
    if (random_chance(&model->random, 0.5)) {
        row.renewal_max_us = model->config.renewal_max_us;
    }
    if (model->lease != NULL) {
        lease_set_attributes(model->lease, &row);
    }
}

static void
start_random_fault(struct model *model)
{
    struct model_faults *faults = &model->faults;
    enum fault_kind kind =
        (enum fault_kind)random_below(&model->random, FAULT_KIND_COUNT);
    int64_t until_us =
        model_now_us(model) +
        random_range(&model->random, FAULT_MIN_US, FAULT_MAX_US);
    model->result.faults++;
    switch (kind) {
    case FAULT_PAUSE:
        model->nodes[any_node(model)].paused_until_us = until_us;
        break;
    case FAULT_PAUSE_HOLDER:
        model->nodes[MODEL_HOLDER].paused_until_us = until_us;
        break;
    case FAULT_LOSS:
        faults->loss_percent =
            (unsigned)random_below(&model->random, LOSS_MAX_PERCENT);
        faults->loss_until_us = until_us;
        break;
    case FAULT_SLOW:
        faults->slow_until_us = until_us;
        break;
    case FAULT_STORE_DOWN:
        faults->store_down_until_us = until_us;
        break;
    case FAULT_STORE_LOSSY:
        faults->store_lossy_until_us = until_us;
        break;
    case FAULT_STORE_LATE:
        faults->store_late_until_us = until_us;
        break;
    case FAULT_RESTART_GUARDIAN:
        restart_guardian(model);
        break;
    case FAULT_KILL_HOLDER:
        kill_holder(model);
        break;
    case FAULT_CHANGE_LEASE:
        change_lease(model);
        break;
    case FAULT_LEAVE:
        if (model->lease != NULL && random_chance(&model->random, 0.3)) {
            lease_set_state(model->lease, MEMBER_LEFT);
        }
        break;
    default:
        cut(model, kind, until_us);
        break;
    }
}

void
model_start_fault(struct model *model)
{
    start_random_fault(model);
    if (random_below(&model->random, PERCENT) < SECOND_FAULT_PERCENT) {
        start_random_fault(model);
    }
    model_schedule_event(model, MODEL_FAULT, MODEL_HOLDER,
                         random_range(&model->random, 0, FAULT_GAP_MAX_US));
}

void
model_end_faults(struct model *model)
{
    struct model_event *event;
    memset(&model->faults, 0, sizeof(model->faults));
    for (int i = 0; i < MODEL_NODES; i++) {
        model->nodes[i].paused_until_us = 0;
    }
    LIST_FOREACH (event, &model->events, link) {
        if (event->kind == MODEL_FAULT) {
            timer_stop(&event->timer);
        }
    }
}
