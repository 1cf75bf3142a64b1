/* Texts of the reasons for which a target gave no answer. */
#include "node/relaytask.h"

#include <stddef.h>

static const char *const reason_texts[] = {
    [RELAY_REASON_NONE] = "none",
    [RELAY_REASON_NO_TARGET] = "no-target",
    [RELAY_REASON_LEAVING] = "leaving",
    [RELAY_REASON_ZONE_OUT] = "zone-out",
    [RELAY_REASON_NOT_OWNER] = "not-owner",
    [RELAY_REASON_MOVING] = "moving",
    [RELAY_REASON_FULL] = "full",
    [RELAY_REASON_SHED] = "shed",
    [RELAY_REASON_DEADLINE] = "deadline",
    [RELAY_REASON_CONNECT] = "connect",
    [RELAY_REASON_CUT] = "cut",
    [RELAY_REASON_INVALID] = "invalid-answer",
    [RELAY_REASON_SUSPECT] = "suspect",
    [RELAY_REASON_LIMITED] = "rate-limited",
    [RELAY_REASON_WITHDRAWN] = "withdrawn",
};

const char *
relaytask_reason(enum relay_reason reason)
{
    const size_t count = sizeof(reason_texts) / sizeof(reason_texts[0]);
    return (size_t)reason < count ? reason_texts[reason] : "other";
}
