#include "fleet/quotahand.h"

#include <math.h>

#include "base/timeunits.h"

#define DEMAND_TIME_S 0.5 /* time constant of the average */
/* Well below QUOTAHAND_VALID_US, so that few tokens expire unused. */
#define AHEAD_S 0.1
#define FAILED_US (100 * US_PER_MS)
/* The rate may rise meanwhile. */
#define EMPTY_MAX_US (1 * US_PER_SECOND)
#define RETURN_SPREAD_US (1 * US_PER_SECOND)
/* By then nothing is left of tokens, demand and what granters said. */
#define IDLE_US (2 * US_PER_SECOND)

void
quotahand_init(struct quotahand *hand, unsigned preferred)
{
    *hand = (struct quotahand){.preferred = preferred % QUOTAHAND_GRANTERS};
}

static double
demand_at(const struct quotahand *hand, int64_t now_us)
{
    const double elapsed_s =
        (double)(now_us - hand->arrived_us) / US_PER_SECOND;
    return hand->demand_per_s *
           exp(-(elapsed_s > 0 ? elapsed_s : 0) / DEMAND_TIME_S);
}

void
quotahand_record_demand(struct quotahand *hand, int64_t now_us)
{
    hand->demand_per_s = demand_at(hand, now_us) + 1 / DEMAND_TIME_S;
    hand->arrived_us = now_us;
}

enum quotahand_verdict
quotahand_take(struct quotahand *hand, int64_t now_us, unsigned *granter)
{
    bool failed = false;
    for (unsigned i = 0; i < QUOTAHAND_GRANTERS; i++) {
        struct quotahand_granter *from = &hand->granters[i];
        if (from->tokens > 0 && now_us < from->valid_until_us) {
            from->tokens--;
            return QUOTAHAND_SEND;
        }
    }
    for (unsigned i = 0; i < QUOTAHAND_GRANTERS; i++) {
        const unsigned number = (hand->preferred + i) % QUOTAHAND_GRANTERS;
        const struct quotahand_granter *from = &hand->granters[number];
        if (now_us < from->failed_until_us) {
            failed = true;
        }
        else if (now_us >= from->empty_until_us) {
            *granter = number;
            return QUOTAHAND_ASK;
        }
    }
    return failed ? QUOTAHAND_UNAVAILABLE : QUOTAHAND_OVER;
}

unsigned
quotahand_wanted(const struct quotahand *hand, unsigned waiting,
                 int64_t now_us)
{
    const double wanted = waiting + floor(demand_at(hand, now_us) * AHEAD_S);
    return wanted < QUOTAHAND_WANTED_MAX ? (unsigned)wanted
                                         : QUOTAHAND_WANTED_MAX;
}

void
quotahand_record_reply(struct quotahand *hand, unsigned granter,
                       unsigned granted, int64_t empty_us, int64_t asked_us)
{
    struct quotahand_granter *from = &hand->granters[granter];
    from->tokens = granted;
    from->valid_until_us = asked_us + QUOTAHAND_VALID_US;
    from->empty_until_us =
        asked_us + (empty_us < EMPTY_MAX_US ? empty_us : EMPTY_MAX_US);
    from->failed_until_us = 0;
}

void
quotahand_record_failure(struct quotahand *hand, unsigned granter,
                         int64_t now_us)
{
    hand->granters[granter].failed_until_us = now_us + FAILED_US;
}

int64_t
quotahand_wait_us(const struct quotahand *hand, int64_t now_us)
{
    int64_t wait_us = INT64_MAX;
    for (unsigned i = 0; i < QUOTAHAND_GRANTERS; i++) {
        const struct quotahand_granter *from = &hand->granters[i];
        const int64_t until_us = from->failed_until_us > from->empty_until_us
                                     ? from->failed_until_us
                                     : from->empty_until_us;
        const int64_t rest_us = until_us > now_us ? until_us - now_us : 0;
        wait_us = rest_us < wait_us ? rest_us : wait_us;
    }
    return wait_us;
}

int64_t
quotahand_assign_return_us(struct quotahand *hand, double rate_per_s,
                           int64_t now_us)
{
    const int64_t first_us = now_us + quotahand_wait_us(hand, now_us);
    const double interval_us = US_PER_SECOND / rate_per_s;
    hand->return_us += interval_us < RETURN_SPREAD_US ? (int64_t)interval_us
                                                      : RETURN_SPREAD_US;
    if (hand->return_us < first_us ||
        hand->return_us > first_us + RETURN_SPREAD_US) {
        hand->return_us = first_us;
    }
    return hand->return_us - now_us;
}

bool
quotahand_is_idle(const struct quotahand *hand, int64_t now_us)
{
    return now_us - hand->arrived_us > IDLE_US;
}
