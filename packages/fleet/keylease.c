#include "fleet/keylease.h"

int64_t
keylease_until_us(const struct keylease *lease)
{
    if (!lease->held) {
        return 0;
    }
    return lease->stored_until_us > lease->promised_until_us
               ? lease->stored_until_us
               : lease->promised_until_us;
}

bool
keylease_record_write(struct keylease *lease, int64_t begun_us,
                      uint64_t row_version, uint64_t store_version)
{
    const bool acquired = !lease->held;
    const int64_t until_us = begun_us + KEYLEASE_DURATION_US;
    if (acquired) {
        lease->acquired_version = store_version;
        lease->promised_until_us = 0;
        lease->stored_until_us = until_us;
    }
    lease->held = true;
    lease->version = row_version;
    if (until_us > lease->stored_until_us) {
        lease->stored_until_us = until_us;
    }
    lease->renew_us = begun_us + KEYLEASE_RENEW_INTERVAL_US;
    return acquired;
}

void
keylease_record_loss(struct keylease *lease, uint64_t row_version)
{
    *lease = (struct keylease){.version = row_version};
}

void
keylease_record_write_failure(struct keylease *lease, int64_t now_us)
{
    lease->renew_us = now_us + KEYLEASE_RETRY_DELAY_US;
}

void
keylease_record_promises(struct keylease *lease, int64_t begun_us)
{
    const int64_t until_us = begun_us + KEYLEASE_PROMISE_US;
    const int64_t last_us = lease->stored_until_us + KEYLEASE_PROMISED_MAX_US;
    /* After its end, others may have started a takeover. */
    const bool still_held = begun_us < keylease_until_us(lease);
    if (still_held && until_us <= last_us) {
        lease->promised_until_us = until_us;
    }
}
