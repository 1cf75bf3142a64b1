/**
 * @file
 * The budget of retries of one entry and service. Tokens are earned by
 * requests, so that retries stay a fixed share of traffic however many
 * requests fail.
 */
#ifndef CHESTNUTGAP_ENTRY_RETRY_H
#define CHESTNUTGAP_ENTRY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"

/** A bucket of tokens. Fields are private. */
struct retry {
    double tokens_per_request;
    double tokens;
    int64_t refilled_us;
    double full_share; /* of recent tries, refused for want of capacity */
};

/** percent: extra tries, of requests. */
void retry_init(struct retry *retry, unsigned percent, int64_t now_us);

/** Takes over a changed declaration. */
void retry_configure(struct retry *retry, unsigned percent);

/** A request has arrived, which earns its share of a token. */
void retry_earn_token(struct retry *retry, int64_t now_us);

/** Takes a token for one extra try. */
bool retry_take_token(struct retry *retry, int64_t now_us);

/** A request found no member with room, or was answered. */
void retry_record_full(struct retry *retry, bool full);

/** Whether so many are refused that a retry would only be refused too. */
bool retry_is_overloaded(const struct retry *retry);

/** Delay before try number attempt (1: the first retry), with jitter. */
int64_t retry_backoff_us(struct random_state *random, unsigned attempt);

#endif
