#include "entry/choice.h"

#include <math.h>
#include <stdlib.h>

#include "entry/choice_internal.h"

#define LATENCY_WEIGHT (1.0 / 8)
/* Too few samples of a slow member must not raise the baseline. */
#define BASELINE_INTERVAL_US (100 * US_PER_MS)
#define BASELINE_MEMBERS_MAX 64
#define BASELINE_SAMPLES_MIN 8 /* of a member */
#define BASELINE_QUANTILE_DIVISOR 4
/* A member is suspended when it is this much slower than the baseline... */
#define SLOW_RATIO 3.0
#define SLOW_SAMPLES_MIN 3
/* ...or when this many answers were due and none came. */
#define STALL_ANSWERS 12.0
#define STALL_STEP_MAX_US (50 * US_PER_MS)
#define PROBE_GOOD_RATIO 1.8
#define PROBE_DELAY_MAX_US (2000 * US_PER_MS)
#define PROBES_TO_RESUME 3
#define LOSSES_TO_SUSPEND 3
#define FULL_PAUSE_RATIO 0.5 /* of the baseline latency */
#define ATTEMPT_LIMIT_MAX 64.0
#define DRAINING_VALID_US (1000 * US_PER_MS)

static int
compare_latency(const void *a, const void *b)
{
    const double x = *(const double *)a;
    const double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Takes the lower quartile, so that half of the members may be slow. */
void
choice_refresh_baseline(struct choice *choice, int64_t now_us)
{
    if (now_us - choice->baseline_computed_us < BASELINE_INTERVAL_US) {
        return;
    }
    choice->baseline_computed_us = now_us;
    double samples[BASELINE_MEMBERS_MAX];
    size_t count = 0;
    const uint32_t step = 1 + choice->count / BASELINE_MEMBERS_MAX;
    const uint32_t start = (uint32_t)random_below(choice->random, step);
    for (uint32_t i = start; i < choice->count; i += step) {
        const struct choice_member *member = &choice->members[i];
        if (member->used && member->samples >= BASELINE_SAMPLES_MIN &&
            count < BASELINE_MEMBERS_MAX) {
            samples[count++] = member->latency_us;
        }
    }
    if (count > 0) {
        qsort(samples, count, sizeof(samples[0]), compare_latency);
        choice->baseline_us = samples[count / BASELINE_QUANTILE_DIVISOR];
    }
}

static void
choice_suspend(struct choice *choice, struct choice_member *member,
               int64_t now_us)
{
    if (member->suspended && !member->probing) {
        return; /* the attempt began before the suspension */
    }
    member->probing = false;
    if (member->suspended ||
        member->attempt_limit < CHOICE_ATTEMPTS_UNLIMITED) {
        member->probe_delay_us = (int64_t)fmin(
            (double)member->probe_delay_us * 2, (double)PROBE_DELAY_MAX_US);
    }
    else {
        member->probe_delay_us = CHOICE_PROBE_DELAY_MIN_US;
    }
    choice_set_suspended(choice, member, true);
    member->good_probes = 0;
    member->stall_expected_answers = 0;
    member->probe_at_us = now_us + member->probe_delay_us;
}

/* Counts the answers that a healthy member would have given since. */
void
choice_check_stall(struct choice *choice, struct choice_member *member,
                   int64_t now_us)
{
    int64_t step_us = now_us - member->stall_checked_us;
    member->stall_checked_us = now_us;
    if (step_us > STALL_STEP_MAX_US) {
        step_us = STALL_STEP_MAX_US;
    }
    const double normal_us = fmax(choice->baseline_us, member->latency_us);
    member->stall_expected_answers += member->outstanding * (double)step_us /
                                      fmin(normal_us, choice->baseline_us * 2);
    if (member->stall_expected_answers >= STALL_ANSWERS &&
        !member->suspended) {
        choice_suspend(choice, member, now_us);
    }
}

void
choice_attempt_started(struct choice *choice, struct choice_attempt *attempt,
                       uint32_t number, int64_t now_us)
{
    struct choice_member *member = &choice->members[number];
    choice_check_stall(choice, member, now_us);
    attempt->member = number;
    attempt->started_us = now_us;
    attempt->active = true;
    TAILQ_INSERT_TAIL(&member->attempts, attempt, link);
    member->outstanding++;
}

static void
choice_apply_load(struct choice_member *member, int64_t now_us,
                  const struct forward_load *load)
{
    const double total = (double)load->in_flight + load->queued;
    member->others_load =
        total > member->outstanding ? total - member->outstanding : 0;
    member->others_load_at_us = now_us;
    member->limit = load->limit > 0 ? load->limit : 1;
    member->cold = load->cold;
    member->draining_until_us =
        load->draining ? now_us + DRAINING_VALID_US : 0;
}

static void
choice_add_sample(struct choice_member *member, double latency_us)
{
    if (member->samples == 0) {
        member->latency_us = latency_us;
    }
    member->samples++;
    member->latency_us += LATENCY_WEIGHT * (latency_us - member->latency_us);
}

/* Several good probes in a row end the suspension; load then rises slowly. */
static void
choice_probe_answered(struct choice *choice, struct choice_member *member,
                      double latency_us, int64_t now_us)
{
    if (latency_us > PROBE_GOOD_RATIO * choice->baseline_us) {
        choice_suspend(choice, member, now_us);
        return;
    }
    member->probing = false;
    member->latency_us = fmax(latency_us, choice->baseline_us);
    member->probe_at_us = now_us;
    if (++member->good_probes >= PROBES_TO_RESUME) {
        choice_set_suspended(choice, member, false);
        member->attempt_limit = 1;
    }
}

static void
choice_on_answered(struct choice *choice, struct choice_member *member,
                   double latency_us, int64_t now_us)
{
    if (member->suspended) {
        choice_probe_answered(choice, member, latency_us, now_us);
        return;
    }
    choice_add_sample(member, latency_us);
    if (member->samples >= SLOW_SAMPLES_MIN &&
        member->latency_us > SLOW_RATIO * choice->baseline_us + US_PER_MS) {
        choice_suspend(choice, member, now_us);
        return;
    }
    if (member->attempt_limit < CHOICE_ATTEMPTS_UNLIMITED) {
        /* Doubles with each full round of answers. */
        member->attempt_limit += 1;
        if (member->attempt_limit >= ATTEMPT_LIMIT_MAX) {
            member->attempt_limit = CHOICE_ATTEMPTS_UNLIMITED;
        }
    }
}

/* The attempt took at least this long. */
static void
choice_on_abandoned(struct choice *choice, struct choice_member *member,
                    double latency_us, int64_t now_us)
{
    if (member->probing) {
        choice_suspend(choice, member, now_us);
    }
    else if (latency_us > member->latency_us) {
        choice_add_sample(member, latency_us);
    }
}

static void
choice_on_refused(struct choice *choice, struct choice_member *member,
                  int64_t now_us)
{
    if (member->probing) {
        choice_suspend(choice, member, now_us);
    }
}

static void
choice_apply_result(struct choice *choice, struct choice_member *member,
                    enum choice_result result, double latency_us,
                    int64_t now_us)
{
    switch (result) {
    case CHOICE_ANSWERED:
        member->consecutive_losses = 0;
        choice_on_answered(choice, member, latency_us, now_us);
        break;
    case CHOICE_CONNECTION_LOST:
        if (++member->consecutive_losses >= LOSSES_TO_SUSPEND ||
            member->probing) {
            choice_suspend(choice, member, now_us);
        }
        break;
    case CHOICE_UNREACHABLE:
        choice_suspend(choice, member, now_us);
        break;
    case CHOICE_ABANDONED:
        choice_on_abandoned(choice, member, latency_us, now_us);
        break;
    case CHOICE_FULL:
        member->full_pause_until_us =
            now_us + (int64_t)(choice->baseline_us * FULL_PAUSE_RATIO);
        choice_on_refused(choice, member, now_us);
        break;
    case CHOICE_REFUSED:
        choice_on_refused(choice, member, now_us);
        break;
    }
}

void
choice_attempt_ended(struct choice *choice, struct choice_attempt *attempt,
                     int64_t now_us, enum choice_result result,
                     const struct forward_load *load)
{
    if (!attempt->active) {
        return;
    }
    struct choice_member *member = &choice->members[attempt->member];
    const double latency_us = (double)(now_us - attempt->started_us);
    attempt->active = false;
    TAILQ_REMOVE(&member->attempts, attempt, link);
    member->outstanding--;
    if (load != NULL) {
        choice_apply_load(member, now_us, load);
    }
    if (result != CHOICE_ABANDONED) {
        member->stall_expected_answers = 0;
        member->stall_checked_us = now_us;
        member->unreachable = result == CHOICE_UNREACHABLE;
    }
    choice_apply_result(choice, member, result, latency_us, now_us);
    if (member->removed && member->outstanding == 0) {
        choice_free_member(choice, member);
    }
}
