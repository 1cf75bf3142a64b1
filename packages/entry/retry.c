#include "entry/retry.h"

#define RETRY_BURST 10.0     /* tokens kept */
#define RETRY_PER_SECOND 1.0 /* tokens earned without traffic */
#define FULL_WEIGHT (1.0 / 64)
#define FULL_SHARE 0.2 /* more refusals than this are an overload */
#define RETRY_BACKOFF_MIN_US 2000
#define RETRY_BACKOFF_MAX_US 200000

void
retry_init(struct retry *retry, unsigned percent, int64_t now_us)
{
    *retry = (struct retry){.tokens = RETRY_BURST, .filled_us = now_us};
    retry_configure(retry, percent);
}

void
retry_configure(struct retry *retry, unsigned percent)
{
    retry->per_request = percent / 100.0;
}

static void
retry_add(struct retry *retry, double tokens)
{
    retry->tokens += tokens;
    if (retry->tokens > RETRY_BURST) {
        retry->tokens = RETRY_BURST;
    }
}

void
retry_earn(struct retry *retry, int64_t now_us)
{
    const double idle_s = (double)(now_us - retry->filled_us) / 1e6;
    retry->filled_us = now_us;
    retry_add(retry, retry->per_request + idle_s * RETRY_PER_SECOND);
}

bool
retry_take(struct retry *retry, int64_t now_us)
{
    const double idle_s = (double)(now_us - retry->filled_us) / 1e6;
    retry->filled_us = now_us;
    retry_add(retry, idle_s * RETRY_PER_SECOND);
    if (retry->tokens < 1) {
        return false;
    }
    retry->tokens -= 1;
    return true;
}

void
retry_note_full(struct retry *retry, bool full)
{
    retry->full_share += FULL_WEIGHT * ((full ? 1 : 0) - retry->full_share);
}

bool
retry_all_full(const struct retry *retry)
{
    return retry->full_share > FULL_SHARE;
}

int64_t
retry_backoff_us(struct random_state *random, unsigned attempt)
{
    int64_t most_us = RETRY_BACKOFF_MIN_US;
    while (attempt-- > 1 && most_us < RETRY_BACKOFF_MAX_US) {
        most_us *= 2;
    }
    return random_range(random, most_us / 2, most_us);
}
