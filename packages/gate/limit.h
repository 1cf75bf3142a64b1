/**
 * @file
 * The adaptive concurrency limit of one target. It follows the target's
 * latency, shed answers and stalls. After a start, repeated shedding or a
 * sudden slowdown the limit is at most the declared cold limit.
 */
#ifndef CHESTNUTGAP_GATE_LIMIT_H
#define CHESTNUTGAP_GATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** The target's declared capacity. */
struct limit_config {
    unsigned slots;       /**< concurrent requests of a warm target */
    unsigned connections; /**< maximum number of connections */
    unsigned cold_limit;  /**< concurrent requests it can sustain while cold */
    int64_t cold_start_us; /**< expected duration of a cold start */
};

enum limit_phase {
    LIMIT_COLD,     /**< started or shed; lasts cold_start_us or longer */
    LIMIT_DEGRADED, /**< slowed down suddenly, until latency recovers */
    LIMIT_WARM,
};

/** The result of one request. */
enum limit_sample {
    LIMIT_SAMPLE_ANSWERED,
    LIMIT_SAMPLE_SHED,      /**< the target refused it as overloaded */
    LIMIT_SAMPLE_FAILED,    /**< no connection, or the answer was incomplete */
    LIMIT_SAMPLE_ABANDONED, /**< cancelled; not used for the limit */
};

struct limit;

/** The target is assumed to have just started. NULL if out of memory. */
struct limit *limit_create(const struct limit_config *config, int64_t now_us);
void limit_destroy(struct limit *limit);

/** Changes the declared capacity. Learned values stay. */
void limit_configure(struct limit *limit, const struct limit_config *config);

/** The current limit; at least 1. */
unsigned limit_current(const struct limit *limit, int64_t now_us);

/** Whether a request may be sent now; false while answers are overdue. */
bool limit_has_capacity(struct limit *limit, int64_t now_us);

unsigned limit_in_flight(const struct limit *limit);
enum limit_phase limit_phase(const struct limit *limit);

/** Smoothed recent latency; 0 before the first answer. */
int64_t limit_latency_us(const struct limit *limit);

/** Latency of the target when it isn't overloaded; never 0. */
int64_t limit_baseline_us(const struct limit *limit);

/** Counts a request as in flight. Checks INVARIANT_LIMIT. */
bool limit_start(struct limit *limit, int64_t now_us);

/** Records the result of a request. latency_us: since limit_start(). */
void limit_finish(struct limit *limit, int64_t now_us, int64_t latency_us,
                  enum limit_sample sample);

/** Enters LIMIT_COLD after a restart of the target. */
void limit_target_restarted(struct limit *limit, int64_t now_us);

/**
 * Capacity read from the target's load or health endpoint. It only lowers the
 * limit, and only for a short time, because such readings are delayed.
 */
void limit_report_capacity(struct limit *limit, int64_t now_us,
                           unsigned capacity);

/** Detects stalls and updates the phase. Call every LIMIT_TICK_US. */
void limit_tick(struct limit *limit, int64_t now_us);

#define LIMIT_TICK_US 10000 /* 10 ms */

/**
 * Whether to probe the target now: it had no recent traffic and the last probe
 * is long enough ago. If true, the probe counts as sent.
 */
bool limit_probe_due(struct limit *limit, int64_t now_us);

#endif
