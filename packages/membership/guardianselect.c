#include "membership/guardianselect.h"

#include <string.h>

#include "base/hash.h"

/* Costs of a candidate. The candidate with the lowest sum is selected. */
#define COST_GUARDED 1u    /* per holder above MEMBER_GUARDIANS_MAX */
#define COST_ZONE 4u       /* per step of zone_distance() */
#define COST_REGION 64u    /* in another region */
#define COST_AVOIDED 4096u /* did not reply recently */

/** A search for one more guardian. */
struct selection {
    const struct member *holder;
    const struct member_ref *avoid;
    size_t avoid_count;
    const struct guardian_set *chosen;
    char zones[MEMBER_GUARDIANS_MAX][STATE_NAME_MAX + 1]; /* of chosen */
    size_t other_zone_count; /* chosen outside the holder's zone */
    bool found;
    uint64_t best_cost;
    uint64_t best_hash;
    struct member_ref best;
};

static bool
is_chosen(const struct selection *selection, const char *instance)
{
    for (size_t i = 0; i < selection->chosen->count; i++) {
        if (strcmp(selection->chosen->refs[i].instance, instance) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_avoided(const struct selection *selection,
           const struct membertable_view *view)
{
    for (size_t i = 0; i < selection->avoid_count; i++) {
        if (selection->avoid[i].incarnation == view->incarnation) {
            return true;
        }
    }
    return false;
}

/** 0 if the zone is preferred for the next guardian, up to 2. */
static uint64_t
zone_distance(const struct selection *selection, const char *zone)
{
    bool own = strcmp(zone, selection->holder->zone) == 0;
    bool used = false;
    for (size_t i = 0; i < selection->chosen->count; i++) {
        used = used || strcmp(selection->zones[i], zone) == 0;
    }
    bool want_other = selection->other_zone_count + 1 < MEMBER_GUARDIANS_MAX;
    if (want_other) {
        return own ? 2 : used;
    }
    return own ? 0 : 1 + (uint64_t)used;
}

static uint64_t
cost_of(const struct selection *selection, const struct membertable_view *view)
{
    uint64_t cost = 0;
    if (view->guarded_count >= MEMBER_GUARDIANS_MAX) {
        cost += COST_GUARDED *
                (uint64_t)(view->guarded_count + 1 - MEMBER_GUARDIANS_MAX);
    }
    cost += zone_distance(selection, view->zone) * COST_ZONE;
    if (strcmp(view->region, selection->holder->region) != 0) {
        cost += COST_REGION;
    }
    if (is_avoided(selection, view)) {
        cost += COST_AVOIDED;
    }
    return cost;
}

static void
consider_candidate(void *ctx, const struct membertable_view *view)
{
    struct selection *selection = ctx;
    if ((view->state != MEMBER_JOINING && view->state != MEMBER_ACTIVE) ||
        strcmp(view->instance, selection->holder->self.instance) == 0 ||
        is_chosen(selection, view->instance)) {
        return;
    }
    uint64_t cost = cost_of(selection, view);
    if (selection->found && cost > selection->best_cost) {
        return;
    }
    uint64_t hash = hash_bytes(&view->incarnation, sizeof(view->incarnation),
                               selection->holder->self.incarnation);
    if (selection->found && cost == selection->best_cost &&
        hash >= selection->best_hash) {
        return;
    }
    selection->found = true;
    selection->best_cost = cost;
    selection->best_hash = hash;
    member_copy_name(selection->best.instance, view->instance);
    selection->best.incarnation = view->incarnation;
}

static void
record_zones(const struct membertable *table, struct selection *selection)
{
    selection->other_zone_count = 0;
    for (size_t i = 0; i < selection->chosen->count; i++) {
        struct membertable_view view;
        selection->zones[i][0] = '\0';
        if (membertable_find(table, selection->chosen->refs[i].instance,
                             &view)) {
            member_copy_name(selection->zones[i], view.zone);
            selection->other_zone_count +=
                strcmp(view.zone, selection->holder->zone) != 0;
        }
    }
}

void
guardianselect_add(const struct membertable *table,
                   const struct member *holder, const struct member_ref *avoid,
                   size_t avoid_count, struct guardian_set *chosen)
{
    const struct membertable_filter filter = {.live_only = true};
    while (chosen->count < MEMBER_GUARDIANS_MAX) {
        struct selection selection = {
            .holder = holder,
            .avoid = avoid,
            .avoid_count = avoid_count,
            .chosen = chosen,
        };
        record_zones(table, &selection);
        membertable_visit(table, &filter, consider_candidate, &selection);
        if (!selection.found || !guardian_set_add(chosen, &selection.best)) {
            return;
        }
    }
}
