/**
 * @file
 * When to send a second try of a slow idempotent request: after the 95th
 * percentile of recent latencies, within a budget.
 */
#ifndef CHESTNUTGAP_ENTRY_HEDGE_H
#define CHESTNUTGAP_ENTRY_HEDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEDGE_BUCKETS 224 /* eight for each power of two of microseconds */

/** Latencies of one window. */
struct hedge_window {
    uint32_t counts[HEDGE_BUCKETS];
    uint32_t total;
};

/** Estimator and budget of one entry and service. Fields are private. */
struct hedge {
    struct hedge_window windows[2];
    unsigned current;
    int64_t window_started_us;
    int64_t delay_us;
    uint32_t new_samples; /* samples since delay_us was computed */
    double tokens_per_request;
    double tokens;
};

/** percent: hedges, of requests. */
void hedge_init(struct hedge *hedge, unsigned percent, int64_t now_us);

void hedge_configure(struct hedge *hedge, unsigned percent);

/** A request has arrived, which earns its share of a token. */
void hedge_earn_token(struct hedge *hedge);

/** Records how long a first try took. */
void hedge_record_latency(struct hedge *hedge, int64_t now_us,
                          int64_t latency_us);

/** Delay after which to hedge, or -1 while too little is known. */
int64_t hedge_delay_us(const struct hedge *hedge);

/** Takes a token for one hedge. */
bool hedge_take_token(struct hedge *hedge);

/** A quantile (0 to 1) of recent latencies, within 13%, or -1. */
int64_t hedge_quantile_us(const struct hedge *hedge, double quantile);

#endif
