/**
 * @file
 * When to hedge a slow idempotent request with a second attempt: after the
 * 95th percentile of recent latencies, within a budget.
 */
#ifndef CHESTNUTGAP_ENTRY_HEDGE_H
#define CHESTNUTGAP_ENTRY_HEDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEDGE_BUCKETS 224 /* 8 for each power of two of microseconds */

/** Latency histogram of one time window. */
struct hedge_window {
    uint32_t counts[HEDGE_BUCKETS];
    uint32_t total;
};

/** Latency estimate and budget for one entry and service. Private fields. */
struct hedge {
    struct hedge_window windows[2];
    unsigned current;
    int64_t window_started_us;
    int64_t delay_us;
    uint32_t new_samples; /* samples since delay_us was computed */
    double tokens_per_request;
    double tokens;
};

/** percent: hedges per 100 requests. */
void hedge_init(struct hedge *hedge, unsigned percent, int64_t now_us);

void hedge_configure(struct hedge *hedge, unsigned percent);

/** Call for each arriving request: adds its share of a token. */
void hedge_earn_token(struct hedge *hedge);

/** Records the latency of an attempt that was not a hedge. */
void hedge_record_latency(struct hedge *hedge, int64_t now_us,
                          int64_t latency_us);

/** Delay before a hedge, or -1 with too few samples. */
int64_t hedge_delay_us(const struct hedge *hedge);

/** Takes a token for one hedge, if there is one. */
bool hedge_take_token(struct hedge *hedge);

/** A quantile (0 to 1) of recent latencies, within 13%, or -1. */
int64_t hedge_quantile_us(const struct hedge *hedge, double quantile);

#endif
