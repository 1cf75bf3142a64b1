#include "entry/hedge.h"

#include <string.h>

#define HEDGE_QUANTILE 0.95
#define HEDGE_WINDOW_US 10000000 /* 10 s */
#define HEDGE_SAMPLES_MIN 40
#define HEDGE_REFRESH_SAMPLES 64
#define HEDGE_TOKENS_MAX 5.0
#define BUCKETS_PER_OCTAVE_BITS 3
#define BUCKETS_PER_OCTAVE (1 << BUCKETS_PER_OCTAVE_BITS)

void
hedge_init(struct hedge *hedge, unsigned percent, int64_t now_us)
{
    *hedge = (struct hedge){.delay_us = -1, .window_started_us = now_us};
    hedge_configure(hedge, percent);
}

void
hedge_configure(struct hedge *hedge, unsigned percent)
{
    hedge->tokens_per_request = percent / 100.0;
}

void
hedge_earn_token(struct hedge *hedge)
{
    hedge->tokens += hedge->tokens_per_request;
    if (hedge->tokens > HEDGE_TOKENS_MAX) {
        hedge->tokens = HEDGE_TOKENS_MAX;
    }
}

static size_t
hedge_bucket(int64_t latency_us)
{
    const uint64_t value = latency_us < BUCKETS_PER_OCTAVE
                               ? BUCKETS_PER_OCTAVE
                               : (uint64_t)latency_us;
    const unsigned octave = 63 - (unsigned)__builtin_clzll(value);
    const uint64_t fraction =
        (value >> (octave - BUCKETS_PER_OCTAVE_BITS)) - BUCKETS_PER_OCTAVE;
    const size_t bucket =
        (size_t)(octave - BUCKETS_PER_OCTAVE_BITS) * BUCKETS_PER_OCTAVE +
        fraction;
    return bucket < HEDGE_BUCKETS ? bucket : HEDGE_BUCKETS - 1;
}

/* The upper end of a bucket. */
static int64_t
hedge_bucket_end_us(size_t bucket)
{
    const size_t octave = bucket / BUCKETS_PER_OCTAVE;
    const size_t fraction = bucket % BUCKETS_PER_OCTAVE;
    return (int64_t)(BUCKETS_PER_OCTAVE + fraction + 1) << octave;
}

int64_t
hedge_quantile_us(const struct hedge *hedge, double quantile)
{
    const struct hedge_window *a = &hedge->windows[0];
    const struct hedge_window *b = &hedge->windows[1];
    const uint32_t total = a->total + b->total;
    if (total < HEDGE_SAMPLES_MIN) {
        return -1;
    }
    uint32_t above = (uint32_t)((1 - quantile) * total);
    for (size_t i = HEDGE_BUCKETS; i > 0; i--) {
        const uint32_t count = a->counts[i - 1] + b->counts[i - 1];
        if (count > above) {
            return hedge_bucket_end_us(i - 1);
        }
        above -= count;
    }
    return -1;
}

void
hedge_record_latency(struct hedge *hedge, int64_t now_us, int64_t latency_us)
{
    if (now_us - hedge->window_started_us >= HEDGE_WINDOW_US) {
        hedge->current = 1 - hedge->current;
        memset(&hedge->windows[hedge->current], 0,
               sizeof(hedge->windows[hedge->current]));
        hedge->window_started_us = now_us;
    }
    struct hedge_window *window = &hedge->windows[hedge->current];
    window->counts[hedge_bucket(latency_us)]++;
    window->total++;
    hedge->new_samples++;
    if (hedge->delay_us < 0 || hedge->new_samples >= HEDGE_REFRESH_SAMPLES) {
        hedge->new_samples = 0;
        hedge->delay_us = hedge_quantile_us(hedge, HEDGE_QUANTILE);
    }
}

int64_t
hedge_delay_us(const struct hedge *hedge)
{
    return hedge->delay_us;
}

bool
hedge_take_token(struct hedge *hedge)
{
    if (hedge->tokens < 1) {
        return false;
    }
    hedge->tokens -= 1;
    return true;
}
