#include "membership/choice.h"

#include <string.h>

#include "base/hash.h"

/* Costs of a candidate; the least sum is chosen. */
#define COST_WARD 1u       /* each ward above the fair number */
#define COST_ZONE 4u       /* each step away from the zone that is wanted */
#define COST_REGION 64u    /* another region */
#define COST_AVOIDED 4096u /* did not answer lately */

/** A search for one more guardian. */
struct choice {
    const struct member *holder;
    const struct member_ref *avoid;
    size_t avoid_count;
    const struct guardian_set *chosen;
    char zones[MEMBER_GUARDIANS_MAX][STATE_NAME_MAX + 1]; /* of chosen */
    size_t others;                                        /* not in ours */
    bool found;
    uint64_t best_cost;
    uint64_t best_hash;
    struct member_ref best;
};

static bool
is_chosen(const struct choice *choice, const char *instance)
{
    for (size_t i = 0; i < choice->chosen->count; i++) {
        if (strcmp(choice->chosen->refs[i].instance, instance) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_avoided(const struct choice *choice, const struct directory_view *view)
{
    for (size_t i = 0; i < choice->avoid_count; i++) {
        if (choice->avoid[i].incarnation == view->incarnation) {
            return true;
        }
    }
    return false;
}

/** 0 for the zone that is wanted most, up to 2. */
static uint64_t
zone_steps(const struct choice *choice, const char *zone)
{
    bool own = strcmp(zone, choice->holder->zone) == 0;
    bool used = false;
    for (size_t i = 0; i < choice->chosen->count; i++) {
        used = used || strcmp(choice->zones[i], zone) == 0;
    }
    bool want_other = choice->others + 1 < MEMBER_GUARDIANS_MAX;
    if (want_other) {
        return own ? 2 : used;
    }
    return own ? 0 : 1 + (uint64_t)used;
}

static uint64_t
cost_of(const struct choice *choice, const struct directory_view *view)
{
    uint64_t cost = 0;
    if (view->wards >= MEMBER_GUARDIANS_MAX) {
        cost += COST_WARD * (uint64_t)(view->wards + 1 - MEMBER_GUARDIANS_MAX);
    }
    cost += zone_steps(choice, view->zone) * COST_ZONE;
    if (strcmp(view->region, choice->holder->region) != 0) {
        cost += COST_REGION;
    }
    if (is_avoided(choice, view)) {
        cost += COST_AVOIDED;
    }
    return cost;
}

static void
consider(void *ctx, const struct directory_view *view)
{
    struct choice *choice = ctx;
    if ((view->state != MEMBER_JOINING && view->state != MEMBER_ACTIVE) ||
        strcmp(view->instance, choice->holder->self.instance) == 0 ||
        is_chosen(choice, view->instance)) {
        return;
    }
    uint64_t cost = cost_of(choice, view);
    if (choice->found && cost > choice->best_cost) {
        return;
    }
    uint64_t hash = hash_bytes(&view->incarnation, sizeof(view->incarnation),
                               choice->holder->self.incarnation);
    if (choice->found && cost == choice->best_cost &&
        hash >= choice->best_hash) {
        return;
    }
    choice->found = true;
    choice->best_cost = cost;
    choice->best_hash = hash;
    member_copy_name(choice->best.instance, view->instance);
    choice->best.incarnation = view->incarnation;
}

static void
note_zones(const struct directory *directory, struct choice *choice)
{
    choice->others = 0;
    for (size_t i = 0; i < choice->chosen->count; i++) {
        struct directory_view view;
        choice->zones[i][0] = '\0';
        if (directory_find(directory, choice->chosen->refs[i].instance,
                           &view)) {
            member_copy_name(choice->zones[i], view.zone);
            choice->others += strcmp(view.zone, choice->holder->zone) != 0;
        }
    }
}

void
choice_add_guardians(const struct directory *directory,
                     const struct member *holder,
                     const struct member_ref *avoid, size_t avoid_count,
                     struct guardian_set *chosen)
{
    const struct directory_filter filter = {.live_only = true};
    while (chosen->count < MEMBER_GUARDIANS_MAX) {
        struct choice choice = {
            .holder = holder,
            .avoid = avoid,
            .avoid_count = avoid_count,
            .chosen = chosen,
        };
        note_zones(directory, &choice);
        directory_visit(directory, &filter, consider, &choice);
        if (!choice.found || !guardian_set_add(chosen, &choice.best)) {
            return;
        }
    }
}
