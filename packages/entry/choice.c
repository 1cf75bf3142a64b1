#include "entry/choice.h"

#include "base/hash.h"
#include "entry/choice_internal.h"

/* Reported load of other entries loses weight over this time. */
#define LOAD_REPORT_DECAY_US (100.0 * 1000)
#define REMOTE_ZONE_COST_RATIO 1.3

static double
choice_load(const struct choice_member *member, int64_t now_us)
{
    const double age_us = (double)(now_us - member->others_load_at_us);
    const double others_load =
        age_us < LOAD_REPORT_DECAY_US
            ? member->others_load * (1 - age_us / LOAD_REPORT_DECAY_US)
            : 0;
    return member->outstanding + others_load;
}

static double
choice_cost(const struct choice *choice, const struct choice_member *member,
            int64_t now_us)
{
    const double latency_us =
        member->samples > 0 ? member->latency_us : choice->baseline_us;
    const double load = choice_load(member, now_us);
    return latency_us * (load + 0.5) / member->limit;
}

static bool
choice_is_usable(const struct choice_member *member, int64_t now_us)
{
    return !member->suspended && now_us >= member->draining_until_us &&
           now_us >= member->full_pause_until_us &&
           member->outstanding < member->attempt_limit;
}

static bool
choice_is_listed(uint32_t number, const uint32_t *excluded,
                 size_t excluded_count)
{
    for (size_t i = 0; i < excluded_count; i++) {
        if (excluded[i] == number) {
            return true;
        }
    }
    return false;
}

/* The first usable member from a random position on: a long search only if
 * most members are unusable. */
static uint32_t
choice_pick_usable(struct choice *choice,
                   const struct choice_candidates *candidates,
                   const uint32_t *excluded, size_t excluded_count,
                   uint32_t other, int64_t now_us)
{
    const size_t start = random_below(choice->random, candidates->count);
    for (size_t i = 0; i < candidates->count; i++) {
        const uint32_t number =
            candidates->members[(start + i) % candidates->count];
        if (number == other ||
            choice_is_listed(number, excluded, excluded_count)) {
            continue;
        }
        struct choice_member *member = &choice->members[number];
        choice_check_stall(choice, member, now_us);
        if (choice_is_usable(member, now_us)) {
            return number;
        }
    }
    return CHOICE_NO_MEMBER;
}

static uint32_t
choice_best_of_two(struct choice *choice,
                   const struct choice_candidates *candidates,
                   const uint32_t *excluded, size_t excluded_count,
                   int64_t now_us)
{
    if (candidates->count == 0) {
        return CHOICE_NO_MEMBER;
    }
    const uint32_t a =
        choice_pick_usable(choice, candidates, excluded, excluded_count,
                           CHOICE_NO_MEMBER, now_us);
    if (a == CHOICE_NO_MEMBER) {
        return a;
    }
    const uint32_t b = choice_pick_usable(choice, candidates, excluded,
                                          excluded_count, a, now_us);
    if (b == CHOICE_NO_MEMBER) {
        return a;
    }
    const double cost_a = choice_cost(choice, &choice->members[a], now_us);
    const double cost_b = choice_cost(choice, &choice->members[b], now_us);
    return cost_b < cost_a ? b : a;
}

/* A suspended member whose probe is due, or CHOICE_NO_MEMBER. */
static uint32_t
choice_pick_probe(struct choice *choice, const uint32_t *excluded,
                  size_t excluded_count, int64_t now_us)
{
    if (choice->suspended_count == 0) {
        return CHOICE_NO_MEMBER;
    }
    for (uint32_t i = 0; i < choice->count; i++) {
        struct choice_member *member = &choice->members[i];
        if (member->used && !member->removed && !member->excluded &&
            member->suspended && !member->probing &&
            now_us >= member->probe_at_us &&
            now_us >= member->draining_until_us &&
            !choice_is_listed(i, excluded, excluded_count)) {
            member->probing = true;
            return i;
        }
    }
    return CHOICE_NO_MEMBER;
}

/* Ranks members that are not usable; lower is better. */
static unsigned
choice_penalty(const struct choice_member *member, int64_t now_us)
{
    if (now_us < member->draining_until_us) {
        return 3;
    }
    if (member->unreachable) {
        return 2;
    }
    return member->suspended ? 1 : 0;
}

/* No member is usable: the one with the lowest penalty, then with the fewest
 * attempts. */
static uint32_t
choice_pick_fallback(const struct choice *choice, const uint32_t *excluded,
                     size_t excluded_count, int64_t now_us)
{
    uint32_t best = CHOICE_NO_MEMBER;
    unsigned best_penalty = 0;
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (!member->used || member->removed || member->excluded ||
            choice_is_listed(i, excluded, excluded_count)) {
            continue;
        }
        const unsigned penalty = choice_penalty(member, now_us);
        if (best == CHOICE_NO_MEMBER || penalty < best_penalty ||
            (penalty == best_penalty &&
             member->outstanding < choice->members[best].outstanding)) {
            best = i;
            best_penalty = penalty;
        }
    }
    return best;
}

uint32_t
choice_pick(struct choice *choice, const uint32_t *excluded,
            size_t excluded_count, bool may_probe, int64_t now_us)
{
    choice_refresh_baseline(choice, now_us);
    if (may_probe) {
        const uint32_t probe =
            choice_pick_probe(choice, excluded, excluded_count, now_us);
        if (probe != CHOICE_NO_MEMBER) {
            return probe;
        }
    }
    const uint32_t local = choice_best_of_two(choice, &choice->local, excluded,
                                              excluded_count, now_us);
    const uint32_t remote = choice_best_of_two(
        choice, &choice->remote, excluded, excluded_count, now_us);
    if (local == CHOICE_NO_MEMBER && remote == CHOICE_NO_MEMBER) {
        return choice_pick_fallback(choice, excluded, excluded_count, now_us);
    }
    if (local == CHOICE_NO_MEMBER) {
        return remote;
    }
    if (remote == CHOICE_NO_MEMBER) {
        return local;
    }
    const double cost_local =
        choice_cost(choice, &choice->members[local], now_us);
    const double cost_remote =
        choice_cost(choice, &choice->members[remote], now_us);
    return cost_local > REMOTE_ZONE_COST_RATIO * cost_remote ? remote : local;
}

uint32_t
choice_pick_by_hash(const struct choice *choice, uint64_t hash,
                    const uint32_t *excluded, size_t excluded_count,
                    int64_t now_us)
{
    uint32_t best = CHOICE_NO_MEMBER;
    uint64_t best_weight = 0;
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (!member->used || member->removed || member->excluded ||
            now_us < member->draining_until_us ||
            choice_is_listed(i, excluded, excluded_count)) {
            continue;
        }
        const uint64_t weight =
            hash_bytes(&member->name_hash, sizeof(member->name_hash), hash);
        if (best == CHOICE_NO_MEMBER || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

bool
choice_has_capacity(const struct choice *choice, uint32_t number,
                    int64_t now_us)
{
    const struct choice_member *member = choice_member(choice, number);
    return member != NULL && choice_is_usable(member, now_us) &&
           choice_load(member, now_us) < member->limit;
}
