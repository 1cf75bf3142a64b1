#include "gate/limit.h"

#include <math.h>
#include <stdlib.h>

#include "base/invariant.h"

#define US_PER_MS INT64_C(1000)

#define BASELINE_DEFAULT_US (10 * US_PER_MS)
/* Shorter delays come from the machine's scheduler, not the target. */
#define BASELINE_FLOOR_US (4 * US_PER_MS)
#define STALL_MIN_US (10 * US_PER_MS)
#define BASELINE_FIRST_SAMPLES 32
#define RECENT_WEIGHT (1.0 / 8)
#define BASELINE_WEIGHT (1.0 / 512)
#define BASELINE_FALL_WEIGHT (1.0 / 32)
#define BASELINE_FALL_RATIO 0.6
#define SAMPLE_CLIP_RATIO 16.0
#define SLOW_RATIO 1.8      /* of the baseline: the limit decreases */
#define DEGRADED_RATIO 3.0  /* of the baseline: enters LIMIT_DEGRADED */
#define RECOVERED_RATIO 1.5 /* of the baseline: the target has recovered */
#define DEGRADED_SAMPLES_MIN 8
#define RECOVERED_SAMPLES_MIN 16
#define STALL_OVERDUE_ANSWERS 16.0 /* a stall when this many are overdue */
/* Sending pauses at this many overdue answers and starts without one. */
#define HOLD_OVERDUE_ANSWERS 4.0
#define HOLD_STARTS 4
#define STALL_STEP_MAX_US (50 * US_PER_MS)
#define SHRINK_FACTOR 0.9
#define SHED_FACTOR 0.5
#define SHED_WINDOW_US (1000 * US_PER_MS)
#define SHEDS_TO_COLD 3 /* in one SHED_WINDOW_US */
#define SHED_CAP_RAISE_US (5000 * US_PER_MS)
#define FAILED_WEIGHT (1.0 / 16)
#define FAILED_SHARE_MAX 0.3
#define DEGRADED_MIN_US (250 * US_PER_MS)
/* Then the current latency becomes the new baseline. */
#define DEGRADED_MAX_US (30000 * US_PER_MS)
/* Trouble within this time doubles the minimum, later trouble resets it. */
#define DEGRADED_FORGET_US (30000 * US_PER_MS)
#define REPORT_VALID_US (2000 * US_PER_MS)
#define PROBE_IDLE_US (1000 * US_PER_MS)
#define PROBE_INTERVAL_US (1000 * US_PER_MS)

struct limit {
    struct limit_config config;
    enum limit_phase phase;
    int64_t phase_since_us;
    int64_t last_trouble_us; /* shed answer, stall, slowdown or restart */
    int64_t degraded_min_us; /* time without trouble before LIMIT_WARM */
    double value;
    double successes; /* since value last changed */
    unsigned in_flight;
    double recent_us;
    double baseline_us;
    unsigned baseline_samples;
    unsigned phase_samples;
    unsigned recovered_samples;
    double overdue_answers;
    unsigned starts_since_finish;
    int64_t stall_checked_us;
    int64_t last_finish_us; /* answer or failure */
    int64_t last_shed_us;
    unsigned sheds;    /* in the current SHED_WINDOW_US */
    unsigned shed_cap; /* 0: none */
    int64_t shed_cap_changed_us;
    double failed_share; /* moving average */
    unsigned report_cap;
    int64_t report_until_us;
    int64_t last_traffic_us;
    int64_t last_probe_us;
};

static unsigned
limit_ceiling(const struct limit *limit)
{
    const struct limit_config *config = &limit->config;
    unsigned ceiling = config->slots < config->connections
                           ? config->slots
                           : config->connections;
    if (limit->phase != LIMIT_WARM && config->cold_limit < ceiling) {
        ceiling = config->cold_limit;
    }
    return ceiling > 0 ? ceiling : 1;
}

static void
limit_set_value(struct limit *limit, double value)
{
    double ceiling = limit_ceiling(limit);
    if (limit->shed_cap > 0 && limit->shed_cap < ceiling) {
        ceiling = limit->shed_cap;
    }
    limit->value = fmin(fmax(value, 1.0), ceiling);
    limit->successes = 0;
}

static void
limit_set_phase(struct limit *limit, enum limit_phase phase, int64_t now_us)
{
    limit->phase = phase;
    limit->phase_since_us = now_us;
    limit->phase_samples = 0;
    limit->recovered_samples = 0;
    limit->overdue_answers = 0;
}

struct limit *
limit_create(const struct limit_config *config, int64_t now_us)
{
    struct limit *limit = calloc(1, sizeof(*limit));
    if (limit == NULL) {
        return NULL;
    }
    limit->config = *config;
    limit->degraded_min_us = DEGRADED_MIN_US;
    limit->last_shed_us = now_us - SHED_WINDOW_US;
    limit->stall_checked_us = now_us;
    limit->last_finish_us = now_us;
    limit->last_traffic_us = now_us;
    limit->last_probe_us = now_us - PROBE_INTERVAL_US;
    limit_target_restarted(limit, now_us);
    return limit;
}

void
limit_destroy(struct limit *limit)
{
    free(limit);
}

void
limit_configure(struct limit *limit, const struct limit_config *config)
{
    limit->config = *config;
    limit_set_value(limit, limit->value);
}

unsigned
limit_current(const struct limit *limit, int64_t now_us)
{
    unsigned current = (unsigned)limit->value;
    if (now_us < limit->report_until_us && limit->report_cap < current) {
        current = limit->report_cap;
    }
    return current > 0 ? current : 1;
}

unsigned
limit_in_flight(const struct limit *limit)
{
    return limit->in_flight;
}

enum limit_phase
limit_phase(const struct limit *limit)
{
    return limit->phase;
}

int64_t
limit_latency_us(const struct limit *limit)
{
    return (int64_t)limit->recent_us;
}

int64_t
limit_baseline_us(const struct limit *limit)
{
    if (limit->baseline_samples == 0) {
        return BASELINE_DEFAULT_US;
    }
    return limit->baseline_us < 1 ? 1 : (int64_t)limit->baseline_us;
}

static double
limit_reference_us(const struct limit *limit)
{
    return fmax((double)limit_baseline_us(limit), BASELINE_FLOOR_US);
}

void
limit_target_restarted(struct limit *limit, int64_t now_us)
{
    limit_set_phase(limit, LIMIT_COLD, now_us);
    limit->last_trouble_us = now_us;
    limit_set_value(limit, 1);
}

/* The target slowed down or stalled suddenly, maybe because of an unannounced
 * cold start or other load on its machine. */
static void
limit_enter_degraded(struct limit *limit, int64_t now_us)
{
    if (limit->phase == LIMIT_WARM) {
        if (now_us - limit->last_trouble_us > DEGRADED_FORGET_US) {
            limit->degraded_min_us = DEGRADED_MIN_US;
        }
        else if (limit->degraded_min_us < limit->config.cold_start_us) {
            limit->degraded_min_us *= 2;
        }
        limit_set_phase(limit, LIMIT_DEGRADED, now_us);
        limit_set_value(limit, limit->config.cold_limit / 2.0);
    }
    limit->last_trouble_us = now_us;
    limit->recovered_samples = 0;
}

/*
 * One shed answer shows how many requests are too many and caps the limit for
 * a time. Several within SHED_WINDOW_US indicate a cold start.
 */
static void
limit_on_shed(struct limit *limit, int64_t now_us)
{
    if (now_us - limit->last_shed_us >= SHED_WINDOW_US) {
        limit->sheds = 0;
    }
    limit->last_shed_us = now_us;
    limit->last_trouble_us = now_us;
    limit->sheds++;
    if (limit->sheds >= SHEDS_TO_COLD || limit->phase != LIMIT_WARM) {
        limit_set_phase(limit, LIMIT_COLD, now_us);
        limit_set_value(limit, limit->value * SHED_FACTOR);
        return;
    }
    limit->shed_cap = limit->in_flight > 1 ? limit->in_flight : 1;
    limit->shed_cap_changed_us = now_us;
    limit_set_value(limit, limit->value);
}

/* Single failures have no effect; only a large share of them does. */
static void
limit_on_failure(struct limit *limit, int64_t now_us)
{
    if (limit->failed_share > FAILED_SHARE_MAX) {
        limit_enter_degraded(limit, now_us);
    }
}

static void
limit_check_stall(struct limit *limit, int64_t now_us)
{
    int64_t step_us = now_us - limit->stall_checked_us;
    limit->stall_checked_us = now_us;
    if (step_us > STALL_STEP_MAX_US) {
        step_us = STALL_STEP_MAX_US; /* this process was paused */
    }
    limit->overdue_answers +=
        (double)limit->in_flight * (double)step_us / limit_reference_us(limit);
    const bool loaded = limit->starts_since_finish >= 2 ||
                        limit->in_flight * 2 >= limit->value;
    const bool stalled = limit->overdue_answers >= STALL_OVERDUE_ANSWERS &&
                         now_us - limit->last_finish_us >= STALL_MIN_US;
    if (stalled && limit->in_flight >= 2 && loaded) {
        limit->overdue_answers = 0;
        limit_enter_degraded(limit, now_us);
    }
}

bool
limit_has_capacity(struct limit *limit, int64_t now_us)
{
    limit_check_stall(limit, now_us);
    if (limit->phase == LIMIT_WARM && limit->in_flight >= HOLD_STARTS &&
        limit->starts_since_finish >= HOLD_STARTS &&
        limit->overdue_answers >= HOLD_OVERDUE_ANSWERS) {
        return false;
    }
    return limit->in_flight < limit_current(limit, now_us);
}

bool
limit_start(struct limit *limit, int64_t now_us)
{
    const bool within_limit = limit->in_flight < limit_current(limit, now_us);
    if (!invariant_check(INVARIANT_LIMIT, within_limit, "limit_start")) {
        return false;
    }
    limit->in_flight++;
    limit->starts_since_finish++;
    limit->last_traffic_us = now_us;
    return true;
}

static void
limit_update_latency(struct limit *limit, double latency_us)
{
    if (limit->baseline_samples < BASELINE_FIRST_SAMPLES) {
        limit->baseline_samples++;
        limit->baseline_us += (latency_us - limit->baseline_us) /
                              (double)limit->baseline_samples;
        limit->recent_us = limit->baseline_us;
        return;
    }
    const double clip_us = SAMPLE_CLIP_RATIO * limit->baseline_us;
    const double clipped_us = fmin(latency_us, clip_us);
    limit->recent_us += RECENT_WEIGHT * (clipped_us - limit->recent_us);
    if (limit->recent_us < BASELINE_FALL_RATIO * limit->baseline_us) {
        limit->baseline_us +=
            BASELINE_FALL_WEIGHT * (limit->recent_us - limit->baseline_us);
        return;
    }
    if (limit->phase == LIMIT_WARM) {
        const double bounded_us =
            fmin(latency_us, DEGRADED_RATIO * limit->baseline_us);
        limit->baseline_us +=
            BASELINE_WEIGHT * (bounded_us - limit->baseline_us);
    }
}

/* If latency has not recovered by now, it becomes the new baseline. */
static void
limit_enter_warm(struct limit *limit, int64_t now_us)
{
    if (limit->recent_us > RECOVERED_RATIO * limit->baseline_us) {
        limit->baseline_us = limit->recent_us;
    }
    limit_set_phase(limit, LIMIT_WARM, now_us);
    limit_set_value(limit, limit->config.cold_limit);
}

static void
limit_check_recovery(struct limit *limit, int64_t now_us)
{
    const int64_t age_us = now_us - limit->phase_since_us;
    const int64_t cold_start_us = limit->config.cold_start_us;
    const bool recovered = limit->recovered_samples >= RECOVERED_SAMPLES_MIN;
    if (limit->phase == LIMIT_COLD) {
        if (age_us >= cold_start_us &&
            (recovered || age_us >= 2 * cold_start_us)) {
            limit_enter_warm(limit, now_us);
        }
        return;
    }
    const bool stable =
        now_us - limit->last_trouble_us >= limit->degraded_min_us;
    if ((recovered && stable) || age_us >= DEGRADED_MAX_US) {
        limit_enter_warm(limit, now_us);
    }
}

static void
limit_adapt(struct limit *limit, int64_t now_us)
{
    const double ratio = limit->recent_us / limit_reference_us(limit);
    const bool degraded =
        ratio > DEGRADED_RATIO && limit->phase_samples >= DEGRADED_SAMPLES_MIN;
    limit->recovered_samples =
        ratio <= RECOVERED_RATIO ? limit->recovered_samples + 1 : 0;
    if (degraded) {
        limit_enter_degraded(limit, now_us);
        return;
    }
    if (limit->phase != LIMIT_WARM) {
        limit_check_recovery(limit, now_us);
    }
    /* The limit only increases while at least half of it is used. */
    const double used = (double)limit->in_flight + 1;
    if (used * 2 >= limit->value) {
        limit->successes++;
    }
    if (ratio > SLOW_RATIO) {
        if (limit->successes >= limit->value) {
            limit_set_value(limit, limit->value * SHRINK_FACTOR);
        }
    }
    else if (limit->successes * 2 >= limit->value) {
        limit_set_value(limit, limit->value + 1);
    }
}

void
limit_finish(struct limit *limit, int64_t now_us, int64_t latency_us,
             enum limit_sample sample)
{
    limit->in_flight--;
    limit->last_traffic_us = now_us;
    if (sample == LIMIT_SAMPLE_ABANDONED) {
        return;
    }
    limit->overdue_answers = 0;
    limit->stall_checked_us = now_us;
    limit->last_finish_us = now_us;
    limit->starts_since_finish = 0;
    const double failed = sample == LIMIT_SAMPLE_FAILED ? 1 : 0;
    limit->failed_share += FAILED_WEIGHT * (failed - limit->failed_share);
    if (sample == LIMIT_SAMPLE_SHED) {
        limit_on_shed(limit, now_us);
        return;
    }
    if (sample == LIMIT_SAMPLE_FAILED) {
        limit_on_failure(limit, now_us);
        return;
    }
    limit->phase_samples++;
    limit_update_latency(limit, (double)latency_us);
    limit_adapt(limit, now_us);
}

void
limit_report_capacity(struct limit *limit, int64_t now_us, unsigned capacity)
{
    limit->report_cap = capacity;
    limit->report_until_us = now_us + REPORT_VALID_US;
}

/* Raises the cap periodically, as the target's capacity may have grown. */
static void
limit_raise_shed_cap(struct limit *limit, int64_t now_us)
{
    if (limit->shed_cap == 0 ||
        now_us - limit->shed_cap_changed_us < SHED_CAP_RAISE_US) {
        return;
    }
    limit->shed_cap_changed_us = now_us;
    limit->shed_cap++;
    if (limit->shed_cap >= limit->config.slots) {
        limit->shed_cap = 0;
    }
}

void
limit_tick(struct limit *limit, int64_t now_us)
{
    limit_check_stall(limit, now_us);
    limit_raise_shed_cap(limit, now_us);
    if (limit->phase != LIMIT_WARM) {
        limit_check_recovery(limit, now_us);
    }
}

bool
limit_probe_due(struct limit *limit, int64_t now_us)
{
    if (limit->in_flight > 0 ||
        now_us - limit->last_traffic_us < PROBE_IDLE_US ||
        now_us - limit->last_probe_us < PROBE_INTERVAL_US) {
        return false;
    }
    limit->last_probe_us = now_us;
    return true;
}
