#include "entry/retry.h"

#define RETRY_TOKENS_MAX 10.0
#define RETRY_TOKENS_PER_SECOND 1.0 /* earned without traffic */
#define FULL_SHARE_WEIGHT (1.0 / 64)
#define OVERLOAD_FULL_SHARE 0.2 /* a higher share is an overload */
#define RETRY_BACKOFF_MIN_US 2000
#define RETRY_BACKOFF_MAX_US 200000

void
retry_init(struct retry *retry, unsigned percent, int64_t now_us)
{
    *retry = (struct retry){.tokens = RETRY_TOKENS_MAX, .refilled_us = now_us};
    retry_configure(retry, percent);
}

void
retry_configure(struct retry *retry, unsigned percent)
{
    retry->tokens_per_request = percent / 100.0;
}

static void
retry_add_tokens(struct retry *retry, double tokens)
{
    retry->tokens += tokens;
    if (retry->tokens > RETRY_TOKENS_MAX) {
        retry->tokens = RETRY_TOKENS_MAX;
    }
}

void
retry_earn_token(struct retry *retry, int64_t now_us)
{
    const double idle_s = (double)(now_us - retry->refilled_us) / 1e6;
    retry->refilled_us = now_us;
    retry_add_tokens(retry, retry->tokens_per_request +
                                idle_s * RETRY_TOKENS_PER_SECOND);
}

bool
retry_take_token(struct retry *retry, int64_t now_us)
{
    const double idle_s = (double)(now_us - retry->refilled_us) / 1e6;
    retry->refilled_us = now_us;
    retry_add_tokens(retry, idle_s * RETRY_TOKENS_PER_SECOND);
    if (retry->tokens < 1) {
        return false;
    }
    retry->tokens -= 1;
    return true;
}

void
retry_record_full(struct retry *retry, bool full)
{
    retry->full_share +=
        FULL_SHARE_WEIGHT * ((full ? 1 : 0) - retry->full_share);
}

bool
retry_is_overloaded(const struct retry *retry)
{
    return retry->full_share > OVERLOAD_FULL_SHARE;
}

int64_t
retry_backoff_us(struct random_state *random, unsigned attempt)
{
    int64_t delay_max_us = RETRY_BACKOFF_MIN_US;
    while (attempt-- > 1 && delay_max_us < RETRY_BACKOFF_MAX_US) {
        delay_max_us *= 2;
    }
    return random_range(random, delay_max_us / 2, delay_max_us);
}
