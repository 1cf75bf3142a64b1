#include "fleet/instancenotice.h"

#include <stdio.h>

#include "base/timeunits.h"
#include "fleet/departures.h"
#include "fleet/limitnotice.h"
#include "fleet/ratelimit.h"

void
instancenotice_set_limit(struct instancenotice *notice, const char *target,
                         int64_t started_ms, double per_s, int64_t wait_us,
                         int64_t now_us)
{
    if (!limitnotice_is_valid(per_s)) {
        return;
    }
    if (wait_us < 0 || wait_us > RATELIMIT_INTERVAL_MAX_US) {
        wait_us = RATELIMIT_INTERVAL_MAX_US;
    }
    notice->limited = true;
    notice->per_s = per_s;
    notice->started_ms = started_ms;
    notice->ready_us = now_us + wait_us;
    snprintf(notice->target, sizeof(notice->target), "%s", target);
}

void
instancenotice_clear_limit(struct instancenotice *notice)
{
    notice->limited = false;
}

void
instancenotice_target_changed(struct instancenotice *notice,
                              const char *target, int64_t started_ms)
{
    /* An instance that was restarted may not know its target yet. */
    if (target[0] != '\0' &&
        !departures_same_incarnation(notice->target, notice->started_ms,
                                     target, started_ms)) {
        instancenotice_clear_limit(notice);
    }
}

void
instancenotice_record_sent(struct instancenotice *notice, int64_t now_us)
{
    if (notice->limited) {
        const int64_t from_us =
            notice->ready_us > now_us ? notice->ready_us : now_us;
        notice->ready_us = from_us + ratelimit_interval_us(notice->per_s);
    }
}

int64_t
instancenotice_wait_us(const struct instancenotice *notice, int64_t now_us)
{
    return notice->limited && notice->ready_us > now_us
               ? notice->ready_us - now_us
               : 0;
}

void
instancenotice_record_departure(struct instancenotice *notice,
                                const char *target, int64_t started_ms,
                                int64_t now_us)
{
    if (instancenotice_has_left(notice, target, started_ms)) {
        return;
    }
    snprintf(notice->left_target, sizeof(notice->left_target), "%s", target);
    notice->left_started_ms = started_ms;
    notice->left_at_us = now_us;
}

bool
instancenotice_has_left(const struct instancenotice *notice,
                        const char *target, int64_t started_ms)
{
    return notice->left_target[0] != '\0' &&
           departures_same_incarnation(notice->left_target,
                                       notice->left_started_ms, target,
                                       started_ms);
}
