#include "placement/placemodel_internal.h"

#include <string.h>

#include "base/timeunits.h"

#define OUTAGE_MAX_US (8 * US_PER_SECOND)
#define PAUSE_MAX_US (6 * US_PER_SECOND)
#define RESTART_DELAY_MAX_US (10 * US_PER_SECOND)
#define ZONE_OUT_US (10 * US_PER_SECOND)

/* Draws a fault that occurs once in every_s seconds on average. Called once
 * per tick. */
static bool
fault_occurs(struct placemodel *model, double every_s)
{
    return every_s > 0 &&
           random_chance(&model->random,
                         (double)PLACEMODEL_TICK_US / 1e6 / every_s);
}

static void
schedule_restart(struct placemodel *model, unsigned index)
{
    model->members[index].resume_us =
        model->now_us +
        random_range(&model->random, 100000, RESTART_DELAY_MAX_US);
}

static unsigned
random_member(struct placemodel *model)
{
    return (unsigned)random_below(&model->random, model->options.members);
}

static void
crash(struct placemodel *model, unsigned index)
{
    placemodel_member_stop(model, index);
    schedule_restart(model, index);
    model->result.crashes++;
}

static void
recover_members(struct placemodel *model)
{
    for (unsigned i = 0; i < model->options.members; i++) {
        struct placemodel_member *member = &model->members[i];
        if (model->now_us < member->resume_us) {
            continue;
        }
        member->paused = false;
        member->isolated = false;
        if (!member->running && member->resume_us != 0) {
            placemodel_member_start(model, i);
        }
    }
}

static void
inject_member_faults(struct placemodel *model)
{
    const struct placemodel_faults *faults = &model->options.faults;
    struct placemodel_member *member = &model->members[random_member(model)];
    unsigned index = (unsigned)(member - model->members);

    if (fault_occurs(model, faults->crash_every_s)) {
        crash(model, index);
    }
    else if (fault_occurs(model, faults->pause_every_s) && member->running) {
        member->paused = true;
        member->resume_us =
            model->now_us + random_range(&model->random, 10000, PAUSE_MAX_US);
    }
    else if (fault_occurs(model, faults->isolate_every_s) && member->running) {
        member->isolated = true;
        member->resume_us =
            model->now_us + random_range(&model->random, 10000, PAUSE_MAX_US);
    }
    else if (fault_occurs(model, faults->leave_every_s) && member->running) {
        placemodel_leave(model, index);
    }
}

static void
inject_zone_faults(struct placemodel *model)
{
    unsigned zone =
        (unsigned)random_below(&model->random, model->options.zones);

    for (unsigned i = 0; i < model->options.zones; i++) {
        if (model->zone_back_us[i] != 0 &&
            model->now_us >= model->zone_back_us[i]) {
            model->zone_back_us[i] = 0;
            placemodel_set_zone_out(model, i, false);
        }
    }
    if (fault_occurs(model, model->options.faults.zone_every_s)) {
        placemodel_set_zone_out(model, zone, true);
        model->zone_back_us[zone] = model->now_us + ZONE_OUT_US;
    }
}

void
placemodel_random_faults(struct placemodel *model)
{
    const struct placemodel_faults *faults = &model->options.faults;

    if (model->store_up_us != 0 && model->now_us >= model->store_up_us) {
        model->store_up_us = 0;
        placemodel_set_store_down(model, false);
    }
    if (fault_occurs(model, faults->store_down_every_s)) {
        placemodel_set_store_down(model, true);
        model->store_up_us =
            model->now_us + random_range(&model->random, 0, OUTAGE_MAX_US);
    }
    if (fault_occurs(model, faults->restart_all_every_s)) {
        model->result.restarts_of_all++;
        for (unsigned i = 0; i < model->options.members; i++) {
            crash(model, i);
        }
    }
    inject_member_faults(model);
    inject_zone_faults(model);
    recover_members(model);
}

void
placemodel_start(struct placemodel *model, unsigned member)
{
    placemodel_member_start(model, member);
}

void
placemodel_crash(struct placemodel *model, unsigned member)
{
    placemodel_member_stop(model, member);
    model->result.crashes++;
}

void
placemodel_leave(struct placemodel *model, unsigned index)
{
    struct placemodel_member *member = &model->members[index];
    struct placemodel_row *row = &model->rows[index];

    if (!member->running || member->leaving || row->state != PEER_ACTIVE ||
        model->store_down || member->isolated) {
        return;
    }
    placemodel_trace(model, member->name, "leaves", "");
    member->leaving = true;
    row->state = PEER_LEAVING;
    row->version = ++model->store_version;
    placer_set_own_row(member->placer, row->incarnation, row->version,
                       model->now_us);
    placer_set_leaving(member->placer, true);
    placemodel_notify_members(model, index);
}

void
placemodel_set_zone_out(struct placemodel *model, unsigned zone, bool out)
{
    char name[STATE_NAME_MAX + 1];

    if (model->zones_out[zone] == out) {
        return;
    }
    (void)snprintf(name, sizeof(name), "zone-%u", zone);
    placemodel_trace(model, name, out ? "out" : "back", "");
    model->zones_out[zone] = out;
    model->result.zone_outs += out ? 1 : 0;
}

void
placemodel_heal(struct placemodel *model)
{
    model->faults_ended = true;
    memset(&model->options.faults, 0, sizeof(model->options.faults));
    if (model->store_down) {
        placemodel_set_store_down(model, false);
    }
    for (unsigned i = 0; i < model->options.zones; i++) {
        placemodel_set_zone_out(model, i, false);
    }
    for (unsigned i = 0; i < model->options.members; i++) {
        struct placemodel_member *member = &model->members[i];
        member->paused = false;
        member->isolated = false;
        /* Leaving members are restarted. */
        if (member->leaving) {
            placemodel_member_stop(model, i);
        }
        placemodel_member_start(model, i);
    }
}
