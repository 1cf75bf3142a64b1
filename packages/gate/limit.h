/**
 * @file
 * The adaptive limit of requests in flight to one target. It is learned from
 * the target's own answers: latency, shed answers and stalls. A target is
 * cold after a start and after any sudden sign of trouble, and then gets no
 * more than its declared cold limit.
 */
#ifndef CHESTNUTGAP_GATE_LIMIT_H
#define CHESTNUTGAP_GATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** What operators declared about the target. */
struct limit_config {
    unsigned slots;        /**< requests that a warm target runs at once */
    unsigned connections;  /**< most connections to it */
    unsigned cold_limit;   /**< requests that it bears at once while cold */
    int64_t cold_start_us; /**< expected length of a cold start */
};

enum limit_phase {
    LIMIT_COLD,     /**< started or shed: cold for cold_start_us */
    LIMIT_DEGRADED, /**< slowed suddenly: held until latency is good again */
    LIMIT_WARM,
};

/** How a request that was in flight ended. */
enum limit_sample {
    LIMIT_SAMPLE_ANSWERED,
    LIMIT_SAMPLE_SHED,      /**< the target refused for want of capacity */
    LIMIT_SAMPLE_FAILED,    /**< no connection, or the answer was cut */
    LIMIT_SAMPLE_ABANDONED, /**< cancelled; says nothing about the target */
};

/** The limit of one target. */
struct limit;

/** A limit for a target that has just started. NULL without memory. */
struct limit *limit_create(const struct limit_config *config, int64_t now_us);
void limit_destroy(struct limit *limit);

/** Takes new declared numbers over. What has been learned stays. */
void limit_configure(struct limit *limit, const struct limit_config *config);

/** Most requests that may be in flight now; at least 1. */
unsigned limit_current(const struct limit *limit, int64_t now_us);

/**
 * Whether one more request may be sent now. While answers that are due do
 * not come, none is.
 */
bool limit_has_capacity(struct limit *limit, int64_t now_us);

unsigned limit_in_flight(const struct limit *limit);
enum limit_phase limit_phase(const struct limit *limit);

/** Smoothed latency of the target, 0 before the first answer. */
int64_t limit_latency_us(const struct limit *limit);

/** Latency to expect from the target in a good state; never 0. */
int64_t limit_baseline_us(const struct limit *limit);

/** Counts a request that is sent to the target. Checks INVARIANT_LIMIT. */
bool limit_start(struct limit *limit, int64_t now_us);

/** Counts a request that has ended. latency_us: since limit_start(). */
void limit_finish(struct limit *limit, int64_t now_us, int64_t latency_us,
                  enum limit_sample sample);

/** The target was seen to have started anew. It is cold from now on. */
void limit_target_restarted(struct limit *limit, int64_t now_us);

/**
 * A reading of the target's load or health endpoint. It can only lower the
 * limit, for a short time, as such readings come late.
 */
void limit_report_capacity(struct limit *limit, int64_t now_us,
                           unsigned capacity);

/** Looks for stalls. Call every LIMIT_TICK_US. */
void limit_tick(struct limit *limit, int64_t now_us);

#define LIMIT_TICK_US 10000 /* 10 ms */

/**
 * True if the target should be probed: there has been no traffic to learn
 * from, and the budget of probes allows it. Counts the probe.
 */
bool limit_probe_due(struct limit *limit, int64_t now_us);

#endif
