/**
 * @file
 * Retry budget of one entry and service. Requests earn tokens, so that
 * retries stay a fixed share of traffic however many requests fail.
 */
#ifndef CHESTNUTGAP_ENTRY_RETRY_H
#define CHESTNUTGAP_ENTRY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"

/** Token bucket. Fields are private. */
struct retry {
    double tokens_per_request;
    double tokens;
    int64_t refilled_us;
    double full_share; /* share refused for lack of capacity */
};

/** percent: retries per 100 requests. */
void retry_init(struct retry *retry, unsigned percent, int64_t now_us);

void retry_configure(struct retry *retry, unsigned percent);

/** Call for each arriving request: adds its share of a token. */
void retry_earn_token(struct retry *retry, int64_t now_us);

/** Takes a token for one retry, if there is one. */
bool retry_take_token(struct retry *retry, int64_t now_us);

/** Records that a request found no member with room, or was answered. */
void retry_record_full(struct retry *retry, bool full);

/** Whether so many requests are refused that retries would be as well. */
bool retry_is_overloaded(const struct retry *retry);

/** Delay with jitter before a retry. attempt: 1 for the first retry. */
int64_t retry_backoff_us(struct random_state *random, unsigned attempt);

#endif
