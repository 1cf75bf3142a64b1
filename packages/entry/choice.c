#include "entry/choice.h"

#include "base/hash.h"
#include "entry/choice_internal.h"

/* Loads of other entries, seen on a reply, are worth less with time. */
#define REPORT_LIFE_US (100.0 * 1000)
#define SPILL_RATIO 1.3

static double
choice_load(const struct choice_member *member, int64_t now_us)
{
    const double age_us = (double)(now_us - member->report_us);
    const double others = age_us < REPORT_LIFE_US
                              ? member->others * (1 - age_us / REPORT_LIFE_US)
                              : 0;
    return member->outstanding + others;
}

static double
choice_cost(const struct choice *choice, const struct choice_member *member,
            int64_t now_us)
{
    const double latency_us =
        member->samples > 0 ? member->latency_us : choice->reference_us;
    const double load = choice_load(member, now_us);
    return latency_us * (load + 0.5) / member->limit;
}

static bool
choice_usable(const struct choice_member *member, int64_t now_us)
{
    return !member->suspended && now_us >= member->draining_until_us &&
           now_us >= member->full_until_us &&
           member->outstanding < member->allowance;
}

static bool
choice_was_tried(uint32_t number, const uint32_t *tried, size_t tried_count)
{
    for (size_t i = 0; i < tried_count; i++) {
        if (tried[i] == number) {
            return true;
        }
    }
    return false;
}

/* A few draws find two usable members unless most are unusable; then all
 * are looked at, from a random one on. */
static uint32_t
choice_draw(struct choice *choice, const struct choice_set *set,
            const uint32_t *tried, size_t tried_count, uint32_t other,
            int64_t now_us)
{
    const size_t start = random_below(choice->random, set->count);
    for (size_t i = 0; i < set->count; i++) {
        const uint32_t number = set->members[(start + i) % set->count];
        if (number == other || choice_was_tried(number, tried, tried_count)) {
            continue;
        }
        struct choice_member *member = &choice->members[number];
        choice_check_stall(choice, member, now_us);
        if (choice_usable(member, now_us)) {
            return number;
        }
    }
    return CHOICE_NONE;
}

static uint32_t
choice_best_of_two(struct choice *choice, const struct choice_set *set,
                   const uint32_t *tried, size_t tried_count, int64_t now_us)
{
    if (set->count == 0) {
        return CHOICE_NONE;
    }
    const uint32_t a =
        choice_draw(choice, set, tried, tried_count, CHOICE_NONE, now_us);
    if (a == CHOICE_NONE) {
        return a;
    }
    const uint32_t b = choice_draw(choice, set, tried, tried_count, a, now_us);
    if (b == CHOICE_NONE) {
        return a;
    }
    const double cost_a = choice_cost(choice, &choice->members[a], now_us);
    const double cost_b = choice_cost(choice, &choice->members[b], now_us);
    return cost_b < cost_a ? b : a;
}

/* A suspended member whose test is due, or CHOICE_NONE. */
static uint32_t
choice_test_due(struct choice *choice, const uint32_t *tried,
                size_t tried_count, int64_t now_us)
{
    if (choice->suspended_count == 0) {
        return CHOICE_NONE;
    }
    for (uint32_t i = 0; i < choice->count; i++) {
        struct choice_member *member = &choice->members[i];
        if (member->used && !member->removed && !member->out &&
            member->suspended && !member->testing &&
            now_us >= member->test_at_us &&
            now_us >= member->draining_until_us &&
            !choice_was_tried(i, tried, tried_count)) {
            member->testing = true;
            return i;
        }
    }
    return CHOICE_NONE;
}

/* How much there is against a member that is not usable. */
static unsigned
choice_objection(const struct choice_member *member, int64_t now_us)
{
    if (now_us < member->draining_until_us) {
        return 3;
    }
    if (member->failed) {
        return 2;
    }
    return member->suspended ? 1 : 0;
}

/* Rather a suspended member than none: the one with the least against it,
 * then with the fewest tries. */
static uint32_t
choice_any(const struct choice *choice, const uint32_t *tried,
           size_t tried_count, int64_t now_us)
{
    uint32_t best = CHOICE_NONE;
    unsigned best_objection = 0;
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (!member->used || member->removed || member->out ||
            choice_was_tried(i, tried, tried_count)) {
            continue;
        }
        const unsigned objection = choice_objection(member, now_us);
        if (best == CHOICE_NONE || objection < best_objection ||
            (objection == best_objection &&
             member->outstanding < choice->members[best].outstanding)) {
            best = i;
            best_objection = objection;
        }
    }
    return best;
}

uint32_t
choice_pick(struct choice *choice, const uint32_t *tried, size_t tried_count,
            bool may_test, int64_t now_us)
{
    choice_refresh_reference(choice, now_us);
    if (may_test) {
        const uint32_t test =
            choice_test_due(choice, tried, tried_count, now_us);
        if (test != CHOICE_NONE) {
            return test;
        }
    }
    const uint32_t local =
        choice_best_of_two(choice, &choice->local, tried, tried_count, now_us);
    const uint32_t remote = choice_best_of_two(choice, &choice->remote, tried,
                                               tried_count, now_us);
    if (local == CHOICE_NONE && remote == CHOICE_NONE) {
        return choice_any(choice, tried, tried_count, now_us);
    }
    if (local == CHOICE_NONE) {
        return remote;
    }
    if (remote == CHOICE_NONE) {
        return local;
    }
    const double cost_local =
        choice_cost(choice, &choice->members[local], now_us);
    const double cost_remote =
        choice_cost(choice, &choice->members[remote], now_us);
    return cost_local > SPILL_RATIO * cost_remote ? remote : local;
}

uint32_t
choice_home(const struct choice *choice, uint64_t hash, const uint32_t *tried,
            size_t tried_count, int64_t now_us)
{
    uint32_t best = CHOICE_NONE;
    uint64_t best_weight = 0;
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (!member->used || member->removed || member->out ||
            now_us < member->draining_until_us ||
            choice_was_tried(i, tried, tried_count)) {
            continue;
        }
        const uint64_t weight =
            hash_bytes(&member->name_hash, sizeof(member->name_hash), hash);
        if (best == CHOICE_NONE || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

bool
choice_has_slack(const struct choice *choice, uint32_t number, int64_t now_us)
{
    const struct choice_member *member = choice_member(choice, number);
    return member != NULL && choice_usable(member, now_us) &&
           choice_load(member, now_us) < member->limit;
}
