#include <gtest/gtest.h>

extern "C" {
#include "fleet/keymove.h"
}

namespace {

struct Keymove : testing::Test {
    struct keymove_wait wait;
    struct keymove_state state = {KEYMOVE_NO_DECLINE, false, false};

    Keymove()
    {
        keymove_wait_init(&wait, false, 0);
    }

    enum keymove_verdict DecideAt(int64_t ms)
    {
        return keymove_decide(&wait, &state, ms * US_PER_MS);
    }
};

/* Guards against moves that are declined at a slow target because a grant call
 * happens to be open. */
TEST_F(Keymove, BeginsWhenTheOpenGrantCallHasItsAnswer)
{
    state.decline = KEYMOVE_GRANT_IN_PROGRESS;
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(0));
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(599));
    state.decline = KEYMOVE_NO_DECLINE;
    EXPECT_EQ(KEYMOVE_BEGIN, DecideAt(600));
}

/* Guards against orders that are carried out long after the load that caused
 * them. */
TEST_F(Keymove, IsDeclinedAfterTheWait)
{
    state.decline = KEYMOVE_STORE_UNAVAILABLE;
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(1199));
    EXPECT_EQ(KEYMOVE_DECLINE, DecideAt(1200));
}

TEST_F(Keymove, IsDeclinedAtOnceIfTheReasonStays)
{
    for (const enum keymove_decline decline :
         {KEYMOVE_NO_TARGET, KEYMOVE_NOT_HELD, KEYMOVE_ALREADY_MOVING,
          KEYMOVE_CLAIMING, KEYMOVE_TOO_MANY}) {
        state.decline = decline;
        EXPECT_FALSE(keymove_may_wait(decline));
        EXPECT_EQ(KEYMOVE_DECLINE, DecideAt(0));
    }
}

/* Guards against keys that never leave a target that answers too few grants:
 * each renewal without an answer would begin the time anew. */
TEST_F(Keymove, GrantsWithoutAnswerEndBeforeTheMove)
{
    state.decline = KEYMOVE_GRANT_IN_PROGRESS;
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(0));
    state.decline = KEYMOVE_GRANT_UNRESOLVED;
    EXPECT_EQ(KEYMOVE_SUSPEND, DecideAt(600));
    EXPECT_TRUE(wait.renewals_suspended);
    /* A grant of 3 s that was sent at 0 may last until 3.19 s. */
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(3189));
    state.decline = KEYMOVE_NO_DECLINE;
    EXPECT_EQ(KEYMOVE_BEGIN, DecideAt(3190));
}

TEST_F(Keymove, WaitForTheEndOfGrantsIsBounded)
{
    state.decline = KEYMOVE_GRANT_UNRESOLVED;
    EXPECT_EQ(KEYMOVE_SUSPEND, DecideAt(1000));
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(4499));
    EXPECT_EQ(KEYMOVE_DECLINE, DecideAt(4500));
}

/* Guards against requests of a key that wait for its longest running one. */
TEST_F(Keymove, KeyWithRunningRequestsWaitsForAMomentWithoutAny)
{
    keymove_wait_init(&wait, true, 0);
    state.running = true;
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(0));
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(400));
    state.running = false;
    EXPECT_EQ(KEYMOVE_BEGIN, DecideAt(500));
}

/* Guards against hot keys that never move. */
TEST_F(Keymove, KeyThatAlwaysHasRequestsMovesAfterTheWait)
{
    keymove_wait_init(&wait, true, 0);
    state.running = true;
    EXPECT_EQ(KEYMOVE_WAIT, DecideAt(1199));
    EXPECT_EQ(KEYMOVE_BEGIN, DecideAt(1200));
}

/* Guards against a stop or an evacuation that waits for requests twice. */
TEST_F(Keymove, NothingWaitsForRequestsIfTheKeysMustLeave)
{
    keymove_wait_init(&wait, true, 0);
    state.running = true;
    state.urgent = true;
    EXPECT_EQ(KEYMOVE_BEGIN, DecideAt(0));
}

} // namespace
