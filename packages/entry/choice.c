#include "entry/choice.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define US_PER_MS INT64_C(1000)

#define NAME_SIZE 64
#define LATENCY_WEIGHT (1.0 / 8)
#define LATENCY_DEFAULT_US 10000.0
/* A slow answer of a member without samples must not count as normal. */
#define REFERENCE_INTERVAL_US (100 * US_PER_MS)
#define REFERENCE_SAMPLES 64
#define REFERENCE_QUARTER 4
/* Loads of other entries, seen on a reply, are worth less with time. */
#define REPORT_LIFE_US (100.0 * 1000)
#define SPILL_RATIO 1.3
/* A member is left when it is this much slower than the others... */
#define SLOW_RATIO 3.0
#define SLOW_SAMPLES 3
/* ...or when this many answers should have come and none did. */
#define STALL_EXPECTED 12.0
#define STALL_STEP_MAX_US (50 * US_PER_MS)
#define GOOD_RATIO 1.8
#define TEST_DELAY_MIN_US (100 * US_PER_MS)
#define TEST_DELAY_MAX_US (2000 * US_PER_MS)
#define TESTS_TO_RETURN 3
#define ALLOWANCE_NONE 1e9
#define ALLOWANCE_ENOUGH 64.0
#define DRAINING_LIFE_US (1000 * US_PER_MS)
#define LIMIT_UNKNOWN 1

TAILQ_HEAD(choice_tries, choice_try);

struct choice_member {
    char name[NAME_SIZE];
    uint64_t name_hash;
    bool used;
    bool removed; /* waits for its last tries */
    bool local;
    bool out;
    struct choice_tries tries; /* oldest first */
    unsigned outstanding;
    double latency_us; /* smoothed, 0 before the first sample */
    unsigned samples;
    double stall_expected;
    int64_t stall_at_us;
    /* Load of all other entries, from the latest reply. */
    double others;
    int64_t report_us;
    uint32_t limit;
    bool cold;
    int64_t draining_until_us;
    /* Left because it was slow or failed. */
    bool suspended;
    bool failed;  /* the latest try did not reach it */
    bool testing; /* a test is under way */
    int64_t test_at_us;
    int64_t test_delay_us;
    unsigned good_tests;
    double allowance; /* most tries at once after the return */
};

/* Numbers of members that may be chosen from. */
struct choice_set {
    uint32_t *members;
    size_t count;
};

struct choice {
    char zone[NAME_SIZE];
    struct random_state *random;
    struct choice_member *members;
    uint32_t count;
    uint32_t capacity;
    struct choice_set local;
    struct choice_set remote;
    size_t suspended_count;
    double reference_us; /* latency of members in a good state */
    int64_t reference_at_us;
};

struct choice *
choice_create(const char *zone, struct random_state *random)
{
    struct choice *choice = calloc(1, sizeof(*choice));
    if (choice == NULL) {
        return NULL;
    }
    strncpy(choice->zone, zone, sizeof(choice->zone) - 1);
    choice->random = random;
    choice->reference_us = LATENCY_DEFAULT_US;
    choice->reference_at_us = INT64_MIN / 2;
    return choice;
}

void
choice_destroy(struct choice *choice)
{
    if (choice != NULL) {
        free(choice->members);
        free(choice->local.members);
        free(choice->remote.members);
        free(choice);
    }
}

static struct choice_member *
choice_member(const struct choice *choice, uint32_t number)
{
    if (number >= choice->count || !choice->members[number].used) {
        return NULL;
    }
    return &choice->members[number];
}

uint32_t
choice_find(const struct choice *choice, const char *name)
{
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (member->used && !member->removed &&
            strcmp(member->name, name) == 0) {
            return i;
        }
    }
    return CHOICE_NONE;
}

const char *
choice_name(const struct choice *choice, uint32_t number)
{
    const struct choice_member *member = choice_member(choice, number);
    return member == NULL ? NULL : member->name;
}

uint32_t
choice_end_of_members(const struct choice *choice)
{
    return choice->count;
}

static void
choice_rebuild_sets(struct choice *choice)
{
    choice->local.count = 0;
    choice->remote.count = 0;
    for (uint32_t i = 0; i < choice->count; i++) {
        const struct choice_member *member = &choice->members[i];
        if (!member->used || member->removed || member->out) {
            continue;
        }
        struct choice_set *set =
            member->local ? &choice->local : &choice->remote;
        set->members[set->count++] = i;
    }
}

/* The lists of tries point into the array, so they are moved with it. */
static bool
choice_grow(struct choice *choice)
{
    const uint32_t capacity = choice->capacity > 0 ? choice->capacity * 2 : 8;
    struct choice_member *members = calloc(capacity, sizeof(members[0]));
    uint32_t *local = calloc(capacity, sizeof(local[0]));
    uint32_t *remote = calloc(capacity, sizeof(remote[0]));
    if (members == NULL || local == NULL || remote == NULL) {
        free(members);
        free(local);
        free(remote);
        return false;
    }
    for (uint32_t i = 0; i < choice->count; i++) {
        members[i] = choice->members[i];
        TAILQ_INIT(&members[i].tries);
        TAILQ_CONCAT(&members[i].tries, &choice->members[i].tries, link);
    }
    free(choice->members);
    free(choice->local.members);
    free(choice->remote.members);
    choice->members = members;
    choice->local.members = local;
    choice->remote.members = remote;
    choice->capacity = capacity;
    return true;
}

static uint32_t
choice_free_number(struct choice *choice)
{
    for (uint32_t i = 0; i < choice->count; i++) {
        if (!choice->members[i].used) {
            return i;
        }
    }
    if (choice->count == choice->capacity && !choice_grow(choice)) {
        return CHOICE_NONE;
    }
    return choice->count++;
}

uint32_t
choice_add(struct choice *choice, const char *name, const char *zone)
{
    uint32_t number = choice_find(choice, name);
    if (number == CHOICE_NONE) {
        number = choice_free_number(choice);
        if (number == CHOICE_NONE) {
            return CHOICE_NONE;
        }
        struct choice_member *member = &choice->members[number];
        *member = (struct choice_member){
            .used = true,
            .name_hash = hash_string(name),
            .limit = LIMIT_UNKNOWN,
            .cold = true,
            .test_delay_us = TEST_DELAY_MIN_US,
            .allowance = ALLOWANCE_NONE,
        };
        strncpy(member->name, name, sizeof(member->name) - 1);
        TAILQ_INIT(&member->tries);
    }
    choice->members[number].local = strcmp(zone, choice->zone) == 0;
    choice_rebuild_sets(choice);
    return number;
}

static void
choice_set_suspended(struct choice *choice, struct choice_member *member,
                     bool suspended)
{
    if (member->suspended != suspended) {
        member->suspended = suspended;
        choice->suspended_count += suspended ? 1 : SIZE_MAX;
    }
}

static void
choice_free_member(struct choice *choice, struct choice_member *member)
{
    choice_set_suspended(choice, member, false);
    member->used = false;
}

void
choice_remove(struct choice *choice, const char *name)
{
    const uint32_t number = choice_find(choice, name);
    if (number == CHOICE_NONE) {
        return;
    }
    struct choice_member *member = &choice->members[number];
    member->removed = true;
    if (member->outstanding == 0) {
        choice_free_member(choice, member);
    }
    choice_rebuild_sets(choice);
}

void
choice_set_out(struct choice *choice, uint32_t number, bool out)
{
    struct choice_member *member = choice_member(choice, number);
    if (member != NULL && member->out != out) {
        member->out = out;
        member->draining_until_us = 0;
        choice_rebuild_sets(choice);
    }
}

static int
choice_compare(const void *a, const void *b)
{
    const double x = *(const double *)a;
    const double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* The lower quartile, so that half of the members may be slow. */
static void
choice_refresh_reference(struct choice *choice, int64_t now_us)
{
    if (now_us - choice->reference_at_us < REFERENCE_INTERVAL_US) {
        return;
    }
    choice->reference_at_us = now_us;
    double samples[REFERENCE_SAMPLES];
    size_t count = 0;
    const uint32_t step = 1 + choice->count / REFERENCE_SAMPLES;
    const uint32_t start = (uint32_t)random_below(choice->random, step);
    for (uint32_t i = start; i < choice->count; i += step) {
        const struct choice_member *member = &choice->members[i];
        if (member->used && member->samples >= SLOW_SAMPLES &&
            count < REFERENCE_SAMPLES) {
            samples[count++] = member->latency_us;
        }
    }
    if (count > 0) {
        qsort(samples, count, sizeof(samples[0]), choice_compare);
        choice->reference_us = samples[count / REFERENCE_QUARTER];
    }
}

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

static void
choice_suspend(struct choice *choice, struct choice_member *member,
               int64_t now_us)
{
    if (member->suspended && !member->testing) {
        return; /* an end of a try from before */
    }
    member->testing = false;
    if (member->suspended || member->allowance < ALLOWANCE_NONE) {
        member->test_delay_us = (int64_t)fmin(
            (double)member->test_delay_us * 2, (double)TEST_DELAY_MAX_US);
    }
    else {
        member->test_delay_us = TEST_DELAY_MIN_US;
    }
    choice_set_suspended(choice, member, true);
    member->good_tests = 0;
    member->stall_expected = 0;
    member->test_at_us = now_us + member->test_delay_us;
}

/* Counts the answers that a member in a good state would have given. */
static void
choice_check_stall(struct choice *choice, struct choice_member *member,
                   int64_t now_us)
{
    int64_t step_us = now_us - member->stall_at_us;
    member->stall_at_us = now_us;
    if (step_us > STALL_STEP_MAX_US) {
        step_us = STALL_STEP_MAX_US;
    }
    const double normal_us = fmax(choice->reference_us, member->latency_us);
    member->stall_expected += member->outstanding * (double)step_us /
                              fmin(normal_us, choice->reference_us * 2);
    if (member->stall_expected >= STALL_EXPECTED && !member->suspended) {
        choice_suspend(choice, member, now_us);
    }
}

static bool
choice_usable(const struct choice_member *member, int64_t now_us)
{
    return !member->suspended && now_us >= member->draining_until_us &&
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

void
choice_start(struct choice *choice, struct choice_try *attempt,
             uint32_t number, int64_t now_us)
{
    struct choice_member *member = &choice->members[number];
    choice_check_stall(choice, member, now_us);
    attempt->member = number;
    attempt->started_us = now_us;
    attempt->active = true;
    TAILQ_INSERT_TAIL(&member->tries, attempt, link);
    member->outstanding++;
}

static void
choice_take_report(struct choice_member *member, int64_t now_us,
                   const struct forward_load *load)
{
    const double total = (double)load->in_flight + load->queued;
    member->others =
        total > member->outstanding ? total - member->outstanding : 0;
    member->report_us = now_us;
    member->limit = load->limit > 0 ? load->limit : 1;
    member->cold = load->cold;
    member->draining_until_us = load->draining ? now_us + DRAINING_LIFE_US : 0;
}

static void
choice_learn(struct choice_member *member, double latency_us)
{
    if (member->samples == 0) {
        member->latency_us = latency_us;
    }
    member->samples++;
    member->latency_us += LATENCY_WEIGHT * (latency_us - member->latency_us);
}

/* Answer of a member that had been left: it comes back step by step. */
static void
choice_tested(struct choice *choice, struct choice_member *member,
              double latency_us, int64_t now_us)
{
    if (latency_us > GOOD_RATIO * choice->reference_us) {
        choice_suspend(choice, member, now_us);
        return;
    }
    member->testing = false;
    member->latency_us = latency_us;
    member->test_at_us = now_us;
    if (++member->good_tests >= TESTS_TO_RETURN) {
        choice_set_suspended(choice, member, false);
        member->allowance = 1;
    }
}

static void
choice_answered(struct choice *choice, struct choice_member *member,
                double latency_us, int64_t now_us)
{
    if (member->suspended) {
        choice_tested(choice, member, latency_us, now_us);
        return;
    }
    choice_learn(member, latency_us);
    if (member->samples >= SLOW_SAMPLES &&
        member->latency_us > SLOW_RATIO * choice->reference_us + US_PER_MS) {
        choice_suspend(choice, member, now_us);
        return;
    }
    if (member->allowance < ALLOWANCE_NONE) {
        /* Doubles once for as many answers as it allows at once. */
        member->allowance += 1;
        if (member->allowance >= ALLOWANCE_ENOUGH) {
            member->allowance = ALLOWANCE_NONE;
        }
    }
}

/* The try took at least this long. */
static void
choice_abandoned(struct choice *choice, struct choice_member *member,
                 double latency_us, int64_t now_us)
{
    if (member->testing) {
        choice_suspend(choice, member, now_us);
    }
    else if (latency_us > member->latency_us) {
        choice_learn(member, latency_us);
    }
}

void
choice_finish(struct choice *choice, struct choice_try *attempt,
              int64_t now_us, enum choice_end end,
              const struct forward_load *load)
{
    if (!attempt->active) {
        return;
    }
    struct choice_member *member = &choice->members[attempt->member];
    const double latency_us = (double)(now_us - attempt->started_us);
    attempt->active = false;
    TAILQ_REMOVE(&member->tries, attempt, link);
    member->outstanding--;
    if (load != NULL) {
        choice_take_report(member, now_us, load);
    }
    if (end != CHOICE_ABANDONED) {
        member->stall_expected = 0;
        member->stall_at_us = now_us;
        member->failed = end == CHOICE_FAILED;
    }
    switch (end) {
    case CHOICE_ANSWERED:
        choice_answered(choice, member, latency_us, now_us);
        break;
    case CHOICE_FAILED:
        choice_suspend(choice, member, now_us);
        break;
    case CHOICE_ABANDONED:
        choice_abandoned(choice, member, latency_us, now_us);
        break;
    case CHOICE_REFUSED:
        if (member->testing) {
            choice_suspend(choice, member, now_us);
        }
        break;
    }
    if (member->removed && member->outstanding == 0) {
        choice_free_member(choice, member);
    }
}

bool
choice_look(const struct choice *choice, uint32_t number, int64_t now_us,
            struct choice_view *view)
{
    const struct choice_member *member = choice_member(choice, number);
    if (member == NULL) {
        return false;
    }
    *view = (struct choice_view){
        .name = member->name,
        .outstanding = member->outstanding,
        .latency_us = (int64_t)member->latency_us,
        .limit = member->limit,
        .suspended = member->suspended,
        .cold = member->cold,
        .draining = now_us < member->draining_until_us,
    };
    return true;
}
