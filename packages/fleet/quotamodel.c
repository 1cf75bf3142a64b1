#include "fleet/quotamodel.h"

#include <stdlib.h>

#include "base/memory.h"
#include "base/random.h"
#include "base/timeunits.h"
#include "fleet/quotagrants.h"
#include "fleet/quotahand.h"

#define STEP_US (1 * US_PER_MS)
#define RUN_US (40 * US_PER_SECOND)
#define WARM_UP_US (3 * US_PER_SECOND)
#define FAULT_FIRST_US (4 * US_PER_SECOND)
#define FAULT_INTERVAL_US (6 * US_PER_SECOND)
#define MOVE_INTERVAL_US (500 * US_PER_MS)
#define FAULT_DURATION_US (2 * US_PER_SECOND)
#define TAKEOVER_US (4 * US_PER_SECOND)
#define LEASE_US (3 * US_PER_SECOND) /* that a granter cut off still has */
#define CALL_TIMEOUT_US (60 * US_PER_MS)
#define CALL_DELAY_MAX_US (10 * US_PER_MS)
#define WINDOW_US (5 * US_PER_SECOND)
#define WINDOW_OVER 1.1
#define WINDOW_SLACK 20
#define LOW_RATE 0.5 /* of the rate, while it is changed */
#define BUCKET_ID 77

/* A granter's number and the instance that is it now. */
struct granter {
    struct quotagrants *grants;
    struct quotagrants_tenure tenure;
    int64_t silent_from_us; /* no call is answered from then */
    int64_t silent_until_us;
    int64_t cut_until_us; /* from every other instance */
    int64_t move_at_us;   /* 0: its key doesn't move */
};

struct asker {
    struct quotahand hand;
    unsigned waiting;
    bool asking;
    unsigned number; /* of the granter asked */
    unsigned wanted;
    unsigned granted;
    bool answered;
    int64_t empty_us;
    int64_t asked_us;
    int64_t reply_us;
    int64_t paused_until_us;
};

struct model {
    const struct quotamodel_options *options;
    struct random_state random;
    struct granter granters[QUOTAHAND_GRANTERS];
    struct asker *askers;
    uint64_t fence;
    double rate_per_s; /* in force */
    double owed;       /* requests that are due */
    unsigned through;
    uint64_t *sent; /* in each step */
    uint64_t requests;
    uint64_t served;
    uint64_t over;
    uint64_t unknown;
    uint64_t calls;
    int64_t now_us;
};

static const char *const fault_names[QUOTAMODEL_FAULT_COUNT] = {
    "calm", "die",  "pause",       "partition", "restart",
    "move", "rate", "asker_pause", "join",
};

const char *
quotamodel_fault_name(enum quotamodel_fault fault)
{
    return fault_names[fault];
}

static bool
is_counted(const struct model *model)
{
    return model->now_us >= WARM_UP_US;
}

/** Another instance becomes the granter. */
static void
move(struct model *model, struct granter *granter, int64_t since_us)
{
    quotagrants_destroy(granter->grants);
    granter->grants = quotagrants_create();
    granter->tenure.fence = ++model->fence;
    granter->tenure.since_us = since_us;
}

static void
grant(struct model *model, struct asker *asker)
{
    struct granter *granter = &model->granters[asker->number];
    const struct quotagrants_request request = {
        .bucket = BUCKET_ID,
        .tenure = granter->tenure,
        .limit = {.rate_per_s = model->rate_per_s / QUOTAHAND_GRANTERS,
                  .burst = model->options->burst / QUOTAHAND_GRANTERS},
        .wanted = asker->wanted,
    };
    const bool silent = model->now_us >= granter->silent_from_us &&
                        model->now_us < granter->silent_until_us;
    const bool cut = model->now_us < granter->cut_until_us &&
                     (asker - model->askers) % 2 == 0;
    asker->answered = !silent && !cut;
    if (!asker->answered) {
        asker->reply_us = model->now_us + CALL_TIMEOUT_US;
        return;
    }
    const struct quotagrants_reply reply =
        quotagrants_take(granter->grants, &request, model->now_us);
    asker->granted = reply.granted;
    asker->empty_us = reply.wait_us;
    asker->reply_us =
        model->now_us + random_range(&model->random, 0, CALL_DELAY_MAX_US);
}

static void
count_end(struct model *model, enum quotahand_verdict verdict)
{
    if (verdict == QUOTAHAND_SEND) {
        model->sent[model->now_us / STEP_US]++;
    }
    if (is_counted(model)) {
        model->requests++;
        model->served += verdict == QUOTAHAND_SEND;
        model->over += verdict == QUOTAHAND_OVER;
        model->unknown += verdict == QUOTAHAND_UNAVAILABLE;
    }
}

/** Serves waiting requests, or asks for tokens. */
static void
advance(struct model *model, struct asker *asker)
{
    unsigned number = 0;
    while (asker->waiting > 0 && !asker->asking) {
        const enum quotahand_verdict verdict =
            quotahand_take(&asker->hand, model->now_us, &number);
        if (verdict != QUOTAHAND_ASK) {
            asker->waiting--;
            count_end(model, verdict);
            continue;
        }
        asker->asking = true;
        asker->number = number;
        asker->asked_us = model->now_us;
        asker->wanted =
            quotahand_wanted(&asker->hand, asker->waiting, model->now_us);
        model->calls += is_counted(model);
        grant(model, asker);
    }
}

static void
receive(struct model *model, struct asker *asker)
{
    asker->asking = false;
    if (!asker->answered) {
        quotahand_record_failure(&asker->hand, asker->number, model->now_us);
    }
    else {
        const bool fewer = asker->granted < asker->wanted;
        const int64_t empty_us =
            asker->empty_us > 5 * US_PER_MS ? asker->empty_us : 5 * US_PER_MS;
        quotahand_record_reply(&asker->hand, asker->number, asker->granted,
                               fewer ? empty_us : 0, asker->asked_us);
    }
    advance(model, asker);
}

static void
silence(struct granter *granter, int64_t from_us, int64_t until_us)
{
    granter->silent_from_us = from_us;
    granter->silent_until_us = until_us;
}

static void
move_due(struct model *model)
{
    for (size_t i = 0; i < QUOTAHAND_GRANTERS; i++) {
        struct granter *granter = &model->granters[i];
        if (granter->move_at_us != 0 && model->now_us >= granter->move_at_us) {
            granter->move_at_us = 0;
            move(model, granter, model->now_us);
        }
    }
}

static void
inject_fault(struct model *model)
{
    const struct quotamodel_options *options = model->options;
    const int64_t now_us = model->now_us;
    struct granter *granter =
        &model->granters[random_below(&model->random, QUOTAHAND_GRANTERS)];
    switch (options->fault) {
    case QUOTAMODEL_DIE:
        silence(granter, now_us, now_us + TAKEOVER_US);
        granter->move_at_us = now_us + TAKEOVER_US;
        break;
    case QUOTAMODEL_PAUSE:
        silence(granter, now_us, now_us + FAULT_DURATION_US);
        break;
    case QUOTAMODEL_PARTITION:
        silence(granter, now_us + LEASE_US, now_us + TAKEOVER_US);
        granter->cut_until_us = now_us + TAKEOVER_US;
        granter->move_at_us = now_us + TAKEOVER_US;
        break;
    case QUOTAMODEL_RESTART:
        quotahand_init(&model->askers[0].hand, 0);
        break;
    case QUOTAMODEL_MOVE:
        move(model, granter, now_us);
        break;
    case QUOTAMODEL_RATE:
        model->rate_per_s = model->rate_per_s < options->rate_per_s
                                ? options->rate_per_s
                                : options->rate_per_s * LOW_RATE;
        break;
    case QUOTAMODEL_ASKER_PAUSE:
        for (unsigned i = 0; i < options->through; i++) {
            model->askers[i].paused_until_us = now_us + FAULT_DURATION_US;
        }
        break;
    case QUOTAMODEL_JOIN:
        model->through = model->through < options->through
                             ? options->through
                             : (options->through + 1) / 2;
        break;
    case QUOTAMODEL_CALM:
    case QUOTAMODEL_FAULT_COUNT:
        break;
    }
}

static void
arrive(struct model *model)
{
    const struct quotamodel_options *options = model->options;
    const double mean =
        options->rate_per_s * options->demand * STEP_US / US_PER_SECOND;
    for (model->owed += mean; model->owed >= 1; model->owed--) {
        struct asker *asker =
            &model->askers[random_below(&model->random, model->through)];
        asker->waiting++;
        quotahand_record_demand(&asker->hand, model->now_us);
    }
}

static void
step(struct model *model)
{
    arrive(model);
    for (unsigned i = 0; i < model->options->through; i++) {
        struct asker *asker = &model->askers[i];
        if (model->now_us < asker->paused_until_us) {
            continue;
        }
        if (asker->asking && model->now_us >= asker->reply_us) {
            receive(model, asker);
        }
        advance(model, asker);
    }
}

static double
highest_window(const struct model *model)
{
    const double limit =
        (model->options->rate_per_s * WINDOW_US / US_PER_SECOND +
         model->options->burst) *
            WINDOW_OVER +
        WINDOW_SLACK;
    uint64_t sum = 0;
    uint64_t most = 0;
    for (size_t i = 0; i < RUN_US / STEP_US; i++) {
        sum += model->sent[i];
        sum -= i >= WINDOW_US / STEP_US ? model->sent[i - WINDOW_US / STEP_US]
                                        : 0;
        most = sum > most ? sum : most;
    }
    return (double)most / limit;
}

void
quotamodel_run(const struct quotamodel_options *options,
               struct quotamodel_result *result)
{
    struct model model = {
        .options = options,
        .rate_per_s = options->rate_per_s,
        .through = options->through,
    };
    random_seed(&model.random, options->seed);
    model.askers = memory_calloc(options->instances, sizeof(*model.askers));
    model.sent = memory_calloc(RUN_US / STEP_US, sizeof(*model.sent));
    for (unsigned i = 0; i < options->instances; i++) {
        quotahand_init(&model.askers[i].hand, i);
    }
    for (size_t i = 0; i < QUOTAHAND_GRANTERS; i++) {
        move(&model, &model.granters[i], 0);
    }
    int64_t fault_us = FAULT_FIRST_US;
    for (; model.now_us < RUN_US; model.now_us += STEP_US) {
        if (model.now_us >= fault_us) {
            fault_us += options->fault == QUOTAMODEL_MOVE ? MOVE_INTERVAL_US
                                                          : FAULT_INTERVAL_US;
            inject_fault(&model);
        }
        move_due(&model);
        step(&model);
    }
    const double requests = model.requests > 0 ? (double)model.requests : 1;
    *result = (struct quotamodel_result){
        .highest_window = highest_window(&model),
        .served = (double)model.served / requests,
        .refused_over = (double)model.over / requests,
        .refused_unknown = (double)model.unknown / requests,
        .calls_per_s =
            (double)model.calls * US_PER_SECOND / (RUN_US - WARM_UP_US),
    };
    for (size_t i = 0; i < QUOTAHAND_GRANTERS; i++) {
        quotagrants_destroy(model.granters[i].grants);
    }
    free(model.askers);
    free(model.sent);
}
