#include "placement/model_internal.h"

#include <string.h>

#define OUTAGE_MAX_US INT64_C(8000000)
#define PAUSE_MAX_US INT64_C(6000000)
#define DOWN_MAX_US INT64_C(10000000)
#define ZONE_OUT_US INT64_C(10000000)

/* True with the chance of an event that comes once in every seconds. */
static bool
strikes(struct model *model, double every)
{
    return every > 0 &&
           random_chance(&model->random, (double)MODEL_TICK_US / 1e6 / every);
}

static void
start_later(struct model *model, unsigned index)
{
    model->members[index].resume_us =
        model->now_us + random_range(&model->random, 100000, DOWN_MAX_US);
}

static unsigned
random_member(struct model *model)
{
    return (unsigned)random_below(&model->random, model->options.members);
}

static void
crash(struct model *model, unsigned index)
{
    model_member_stop(model, index);
    start_later(model, index);
    model->result.crashes++;
}

static void
heal_members(struct model *model)
{
    for (unsigned i = 0; i < model->options.members; i++) {
        struct model_member *member = &model->members[i];
        if (model->now_us < member->resume_us) {
            continue;
        }
        member->paused = false;
        member->isolated = false;
        if (!member->running && member->resume_us != 0) {
            model_member_start(model, i);
        }
    }
}

static void
hit_members(struct model *model)
{
    const struct model_faults *faults = &model->options.faults;
    struct model_member *member = &model->members[random_member(model)];
    unsigned index = (unsigned)(member - model->members);

    if (strikes(model, faults->crash_every)) {
        crash(model, index);
    }
    else if (strikes(model, faults->pause_every) && member->running) {
        member->paused = true;
        member->resume_us =
            model->now_us + random_range(&model->random, 10000, PAUSE_MAX_US);
    }
    else if (strikes(model, faults->isolate_every) && member->running) {
        member->isolated = true;
        member->resume_us =
            model->now_us + random_range(&model->random, 10000, PAUSE_MAX_US);
    }
    else if (strikes(model, faults->leave_every) && member->running) {
        model_leave(model, index);
    }
}

static void
hit_zones(struct model *model)
{
    unsigned zone =
        (unsigned)random_below(&model->random, model->options.zones);

    for (unsigned i = 0; i < model->options.zones; i++) {
        if (model->zone_back_us[i] != 0 &&
            model->now_us >= model->zone_back_us[i]) {
            model->zone_back_us[i] = 0;
            model_set_zone_out(model, i, false);
        }
    }
    if (strikes(model, model->options.faults.zone_every)) {
        model_set_zone_out(model, zone, true);
        model->zone_back_us[zone] = model->now_us + ZONE_OUT_US;
    }
}

void
model_random_faults(struct model *model)
{
    const struct model_faults *faults = &model->options.faults;

    if (model->store_up_us != 0 && model->now_us >= model->store_up_us) {
        model->store_up_us = 0;
        model_set_store_down(model, false);
    }
    if (strikes(model, faults->store_down_every)) {
        model_set_store_down(model, true);
        model->store_up_us =
            model->now_us + random_range(&model->random, 0, OUTAGE_MAX_US);
    }
    if (strikes(model, faults->restart_all_every)) {
        model->result.restarts_of_all++;
        for (unsigned i = 0; i < model->options.members; i++) {
            crash(model, i);
        }
    }
    hit_members(model);
    hit_zones(model);
    heal_members(model);
}

void
model_start(struct model *model, unsigned member)
{
    model_member_start(model, member);
}

void
model_crash(struct model *model, unsigned member)
{
    model_member_stop(model, member);
    model->result.crashes++;
}

void
model_leave(struct model *model, unsigned index)
{
    struct model_member *member = &model->members[index];
    struct model_row *row = &model->rows[index];

    if (!member->running || member->leaving || row->state != PEER_ACTIVE ||
        model->store_down || member->isolated) {
        return;
    }
    model_trace(model, member->name, "leaves", "");
    member->leaving = true;
    row->state = PEER_LEAVING;
    row->version = ++model->store_version;
    placer_set_self(member->placer, row->incarnation, row->version,
                    model->now_us);
    placer_set_leaving(member->placer, true);
    model_tell_members(model, index);
}

void
model_set_zone_out(struct model *model, unsigned zone, bool out)
{
    char name[STATE_NAME_MAX + 1];

    if (model->zones_out[zone] == out) {
        return;
    }
    (void)snprintf(name, sizeof(name), "zone-%u", zone);
    model_trace(model, name, out ? "out" : "back", "");
    model->zones_out[zone] = out;
    model->result.zone_outs += out ? 1 : 0;
}

void
model_heal(struct model *model)
{
    model->quiet = true;
    memset(&model->options.faults, 0, sizeof(model->options.faults));
    if (model->store_down) {
        model_set_store_down(model, false);
    }
    for (unsigned i = 0; i < model->options.zones; i++) {
        model_set_zone_out(model, i, false);
    }
    for (unsigned i = 0; i < model->options.members; i++) {
        struct model_member *member = &model->members[i];
        member->paused = false;
        member->isolated = false;
        /* Whoever was leaving stops and starts afresh. */
        if (member->leaving) {
            model_member_stop(model, i);
        }
        model_member_start(model, i);
    }
}
