/* Moves keys between working targets when their loads differ. A key that alone
 * asks for more than a fair share can't be divided: it stays where it is, and
 * the other keys of its owner are moved away from it. */
#include <math.h>
#include <stdlib.h>

#include "base/memory.h"
#include "fleet/keyplan_internal.h"

/* Of a fair share; a single key with more is not divisible. */
#define HOT_KEY_SHARE 0.8
/* A move that keeps the receiver's keys together may be that much smaller. */
#define ADJACENT_FACTOR 2.0

#define CHANCE_DEVIATIONS 1.5 /* standard deviations */

struct balance {
    struct keyplan *plan;
    double *fixed;     /* load of hot keys by target, divided by its weight */
    bool *exhausted;   /* nothing can be moved from the target */
    double fair_share; /* of the divisible load, for a weight of 1 */
};

/** Keys from first to last, or none if found is false. */
struct range {
    uint32_t first;
    uint32_t last;
    bool found;
};

/** Adds up the hot keys of each target, and the share of all that is left. */
static void
find_hot_keys(struct balance *balance)
{
    const struct keyplan *plan = balance->plan;
    const struct keyplan_input *input = plan->input;
    double load = plan->total;
    double weight = plan->weight;
    const double hot_min = HOT_KEY_SHARE * load / weight;
    uint32_t key = 0;
    while (keyload_curve_next_above(input->curve, hot_min, &key)) {
        const struct keymap_segment *segment = keymap_find(&plan->map, key);
        const size_t owner = keyplan_find_target(input, &segment->holder);
        const double key_load = keyload_curve_load(input->curve, key, key);
        if (owner != KEYPLAN_NO_TARGET && !input->targets[owner].limited &&
            key_load >= hot_min * input->targets[owner].weight) {
            load -= key_load;
            if (balance->fixed[owner] == 0 &&
                keyplan_keeps_share(&input->targets[owner])) {
                weight -= input->targets[owner].weight;
            }
            balance->fixed[owner] += key_load / input->targets[owner].weight;
        }
        key++;
    }
    balance->fair_share = weight > 0 ? load / weight : load;
}

/** How much a load may differ by chance: requests arrive at random, so a count
 * has about the deviation of its square root. */
static double
chance_deviation(const struct keyplan *plan, size_t target)
{
    const double weight = plan->input->targets[target].weight;
    const double load = plan->loads[target] * weight;
    return CHANCE_DEVIATIONS * sqrt(load * KEYLOAD_UNITS_PER_REQUEST) / weight;
}

/** Load above what the target should keep; 0 if it does not justify a move. */
static double
excess(const struct balance *balance, size_t target)
{
    const struct keyplan *plan = balance->plan;
    if (balance->fixed[target] > 0) {
        return plan->loads[target] - balance->fixed[target];
    }
    const double over = plan->loads[target] - balance->fair_share;
    const double tolerated =
        balance->fair_share * (plan->input->tolerance - 1.0) +
        chance_deviation(plan, target);
    return over > tolerated ? over : 0;
}

/** The target with the greatest excess, or KEYPLAN_NO_TARGET. */
static size_t
choose_sender(const struct balance *balance)
{
    size_t best = KEYPLAN_NO_TARGET;
    double best_excess = KEYPLAN_MOVE_SHARE_MIN * balance->fair_share;
    for (size_t i = 0; i < balance->plan->input->target_count; i++) {
        const double over = balance->exhausted[i] ? 0 : excess(balance, i);
        if (over > best_excess) {
            best = i;
            best_excess = over;
        }
    }
    return best;
}

/** The least loaded target that accepts keys and has no hot key. */
static size_t
choose_receiver(const struct balance *balance)
{
    const struct keyplan *plan = balance->plan;
    size_t best = KEYPLAN_NO_TARGET;
    for (size_t i = 0; i < plan->input->target_count; i++) {
        if (plan->input->targets[i].can_receive && balance->fixed[i] == 0 &&
            (best == KEYPLAN_NO_TARGET ||
             plan->loads[i] < plan->loads[best])) {
            best = i;
        }
    }
    return best;
}

static bool
is_held_by(const struct keyplan *plan, size_t index, size_t target)
{
    return index < plan->map.count &&
           keyplan_find_target(plan->input,
                               &plan->map.segments[index].holder) == target;
}

/** The first key of a segment from which on the load is at most wanted; after
 * its last key if there is none. */
static uint32_t
first_within(struct keyload_curve *curve, const struct keymap_segment *segment,
             double wanted)
{
    uint32_t low = segment->first;
    uint32_t high = segment->last + 1;
    while (low < high) {
        const uint32_t middle = low + (high - low) / 2;
        if (keyload_curve_load(curve, middle, segment->last) <= wanted) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

/** Keys with at most the wanted load at one end of a segment. */
static struct range
range_at_end(const struct keyplan *plan, size_t index, bool at_start,
             double wanted)
{
    struct keyload_curve *curve = plan->input->curve;
    const struct keymap_segment *segment = &plan->map.segments[index];
    struct range range = {segment->first, segment->last, true};
    if (at_start) {
        range.last = keyload_curve_last_within(curve, segment->first,
                                               segment->last, wanted);
        range.found =
            keyload_curve_load(curve, range.first, range.last) <= wanted;
        return range;
    }
    range.first = first_within(curve, segment, wanted);
    range.found = range.first <= segment->last;
    return range;
}

/** The range of the sender's with the most load up to the wanted one; one next
 * to the receiver's keys is preferred. */
static struct range
choose_range(const struct keyplan *plan, size_t from, size_t to, double wanted)
{
    struct range best = {.found = false};
    double best_score = 0;
    for (size_t i = 0; i < plan->map.count; i++) {
        if (!is_held_by(plan, i, from)) {
            continue;
        }
        for (int end = 0; end < 2; end++) {
            const bool at_start = end == 0;
            const struct range range = range_at_end(plan, i, at_start, wanted);
            if (!range.found) {
                continue;
            }
            const bool adjacent = at_start
                                      ? i > 0 && is_held_by(plan, i - 1, to)
                                      : is_held_by(plan, i + 1, to);
            const double score = keyload_curve_load(plan->input->curve,
                                                    range.first, range.last) *
                                 (adjacent ? ADJACENT_FACTOR : 1.0);
            if (score > best_score) {
                best = range;
                best_score = score;
            }
        }
    }
    return best;
}

/** Moves the hottest key that alone asks for more than the share of a target
 * with a rate limit. @return false if there is none */
static bool
add_hot_key_move(struct balance *balance, size_t from, size_t to)
{
    struct keyplan *plan = balance->plan;
    struct keyload_curve *curve = plan->input->curve;
    const struct keyplan_target *targets = plan->input->targets;
    const double share = balance->fair_share * targets[from].weight;
    uint32_t hottest = 0;
    double most = 0;
    for (uint32_t key = 0; keyload_curve_next_above(curve, share, &key);
         key++) {
        const struct keymap_segment *segment = keymap_find(&plan->map, key);
        const double load = keyload_curve_load(curve, key, key);
        if (keyplan_find_target(plan->input, &segment->holder) == from &&
            load > most) {
            hottest = key;
            most = load;
        }
    }
    if (most > 0) {
        keyplan_add_move(plan, hottest, hottest, to);
        balance->fixed[to] += most / targets[to].weight;
    }
    return most > 0;
}

/** Adds one move. @return false if none is justified any more */
static bool
add_move(struct balance *balance)
{
    struct keyplan *plan = balance->plan;
    const struct keyplan_target *targets = plan->input->targets;
    const size_t from = choose_sender(balance);
    const size_t to = choose_receiver(balance);
    if (from == KEYPLAN_NO_TARGET || to == KEYPLAN_NO_TARGET || from == to) {
        return false;
    }
    const double least = KEYPLAN_MOVE_SHARE_MIN * balance->fair_share;
    const double over = excess(balance, from) * targets[from].weight;
    const double under =
        (balance->fair_share - plan->loads[to]) * targets[to].weight;
    const double wanted = over < under ? over : under;
    if (under < least) {
        return false;
    }
    const struct range range = choose_range(plan, from, to, wanted);
    if (!range.found || keyload_curve_load(plan->input->curve, range.first,
                                           range.last) < least) {
        balance->exhausted[from] =
            !targets[from].limited || !add_hot_key_move(balance, from, to);
        return true;
    }
    keyplan_add_move(plan, range.first, range.last, to);
    return true;
}

void
keybalance_add_moves(struct keyplan *plan)
{
    const size_t count = plan->input->target_count;
    struct balance balance = {.plan = plan};
    balance.fixed = memory_calloc(count + 1, sizeof(*balance.fixed));
    balance.exhausted = memory_calloc(count + 1, sizeof(*balance.exhausted));
    find_hot_keys(&balance);
    while (plan->count < KEYPLAN_MOVES_MAX / 2 && add_move(&balance)) {
    }
    free(balance.fixed);
    free(balance.exhausted);
}
