#include <gtest/gtest.h>

extern "C" {
#include "fleet/keylease.h"
}

namespace {

/** Time on the clock of an instance while the given time passes on that of
 * another one, which is 2 % slow. */
int64_t
OnFasterClock(int64_t time_us)
{
    return time_us * 102 / 100;
}

/** The latest end of a lease whose row was written at 0 and that promises
 * extend. */
int64_t
ExtendedEnd()
{
    struct keylease lease = {};
    keylease_record_write(&lease, 0, 1, 1);
    for (int64_t now_us = 0; now_us < keylease_until_us(&lease);
         now_us += 100 * US_PER_MS) {
        keylease_record_promises(&lease, now_us);
    }
    return keylease_until_us(&lease);
}

TEST(KeyLease, IsOverBeforeTakeoverBySlowClock)
{
    struct keylease lease = {};
    keylease_record_write(&lease, 0, 1, 1);
    EXPECT_LT(OnFasterClock(keylease_until_us(&lease)), KEYLEASE_TAKEOVER_US);
}

/* Guards against a takeover by an instance that the row does not name, while
 * promises still extend the lease on a slow clock. */
TEST(KeyLease, IsOverBeforeTakeoverByInstanceThatIsNotNamed)
{
    EXPECT_GT(ExtendedEnd(), KEYLEASE_PROMISED_MAX_US);
    EXPECT_LT(OnFasterClock(ExtendedEnd()), KEYLEASE_TAKEOVER_UNNAMED_US);
}

} // namespace
