#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "base/timeunits.h"
#include "fleet/freshness.h"
}

namespace {

constexpr int64_t S = US_PER_SECOND;

TEST(Freshness, NothingIsKnownBeforeAWholeRead)
{
    struct freshness freshness = {};
    EXPECT_EQ(INT64_MIN, freshness_until_us(&freshness, 5 * S));
    EXPECT_EQ(INT64_MAX, freshness_age_us(&freshness, 9 * S));
    const struct freshness_read failed = {false, 1 * S, 2 * S, 0, 0};
    freshness_record(&freshness, &failed);
    EXPECT_FALSE(freshness.known);
}

/* Guards against refusals earlier than the bound requires. */
TEST(Freshness, AReadCountsFromItsBeginLessTheDriftOfClocks)
{
    struct freshness freshness = {};
    const struct freshness_read read = {true, 10 * S, 11 * S, 0, 0};
    freshness_record(&freshness, &read);
    EXPECT_EQ(2 * S, freshness_age_us(&freshness, 12 * S));
    EXPECT_EQ(10 * S + 4950 * US_PER_MS,
              freshness_until_us(&freshness, 5 * S));
}

TEST(Freshness, ARelayedReadCountsFromWhatTheOtherKnew)
{
    struct freshness freshness = {};
    const struct freshness_read read = {true, 10 * S, 13 * S, 1 * S, 2 * S};
    freshness_record(&freshness, &read);
    EXPECT_EQ(10 * S + 990 * US_PER_MS - 2020 * US_PER_MS, freshness.as_of_us);
}

/* Guards against a late answer that takes knowledge back. */
TEST(Freshness, NeverMovesBackwards)
{
    struct freshness freshness = {};
    const struct freshness_read good = {true, 10 * S, 11 * S, 0, 0};
    const struct freshness_read older = {true, 10 * S, 12 * S, 0, 3 * S};
    freshness_record(&freshness, &good);
    freshness_record(&freshness, &older);
    EXPECT_EQ(10 * S, freshness.as_of_us);
}

/* Guards against an instance that says it held a call for longer than it
 * took, and against numbers that overflow. */
TEST(Freshness, ImplausibleAnswersProveNothingNew)
{
    struct freshness freshness = {};
    const struct freshness_read invalid[] = {
        {true, 10 * S, 11 * S, -1, 0},
        {true, 10 * S, 11 * S, 0, -1},
        {true, 10 * S, 11 * S, 0, INT64_MAX},
        {true, 10 * S, 11 * S, INT64_MAX, 0},
        {true, 11 * S, 10 * S, 0, 0},
    };
    for (const struct freshness_read &read : invalid) {
        freshness_record(&freshness, &read);
        EXPECT_FALSE(freshness.known);
    }
    const struct freshness_read long_held = {true, 10 * S, 11 * S, 9 * S, 0};
    freshness_record(&freshness, &long_held);
    EXPECT_LE(freshness.as_of_us, 11 * S);
}

/** Faults that the model must notice. */
enum Mutation {
    NONE,
    BEGIN_IS_END,
    AGE_IGNORED,
    PAUSE_IGNORED,
    FAILURE_COUNTS,
};

constexpr int64_t BOUND = 4 * S;
constexpr int64_t PAUSE = 3 * S;
constexpr int DEPTH = 9;

/** An instance: what it believes, and as of when it really knows the store. */
struct Instance {
    struct freshness freshness = {};
    int64_t knows_us = -1; /* the store's state of that time is in force */
    int64_t paused_us = 0; /* in all */
    bool reading = false;  /* the store */
    int64_t begun_us = 0;
};

/** A call of the follower to the reader. */
struct Call {
    enum State {
        IDLE,
        SENT,
        HELD,
        ANSWERED
    } state = IDLE;
    int64_t sent_us = 0;
    int64_t arrived_us = 0;
    int64_t held_us = 0;
    int64_t age_us = 0;
    int64_t knows_us = 0;
};

/**
 * All orders of events at an instance that reads the store and one that reads
 * from it, in steps of a second. The store answers with its state of the time
 * at which a read was begun, the oldest that it may. A key may be revoked at
 * any time.
 */
class Model {
  public:
    explicit Model(Mutation mutation) : mutation_(mutation)
    {
    }

    int violations = 0;
    int64_t states = 0;

    void Explore()
    {
        Step(State(), 0);
    }

  private:
    struct State {
        int64_t now_us = 0;
        Instance reader;
        Instance follower;
        Call call;
    };

    void Record(Instance &instance, struct freshness_read read,
                int64_t knows_us) const
    {
        if (read.ok) {
            instance.knows_us = std::max(instance.knows_us, knows_us);
        }
        if (mutation_ == BEGIN_IS_END) {
            read.begun_us = read.ended_us;
        }
        if (mutation_ == AGE_IGNORED) {
            read.age_us = 0;
        }
        if (mutation_ == FAILURE_COUNTS) {
            read.ok = true;
        }
        freshness_record(&instance.freshness, &read);
    }

    /** True if a request with a key that was revoked at any time runs for
     * longer than the bound after that. */
    bool IsViolated(const Instance &instance, int64_t now_us) const
    {
        const int64_t clock_us =
            mutation_ == PAUSE_IGNORED ? now_us - instance.paused_us : now_us;
        if (clock_us > freshness_until_us(&instance.freshness, BOUND)) {
            return false;
        }
        for (int64_t revoked_us = 0; revoked_us <= now_us; revoked_us += S) {
            if (now_us > revoked_us + BOUND &&
                instance.knows_us < revoked_us) {
                return true;
            }
        }
        return false;
    }

    void Step(const State &state, int depth)
    {
        states++;
        violations += IsViolated(state.reader, state.now_us) ||
                      IsViolated(state.follower, state.now_us);
        if (depth == DEPTH) {
            return;
        }
        Pause(state, depth);
        StoreReads(state, depth, &State::reader);
        StoreReads(state, depth, &State::follower);
        Relays(state, depth);
        if (state.call.state != Call::IDLE) {
            State lost = state;
            lost.call.state = Call::IDLE;
            Next(lost, depth);
        }
    }

    void Next(State state, int depth)
    {
        state.now_us += S;
        Step(state, depth + 1);
    }

    void Pause(State state, int depth)
    {
        state.now_us += PAUSE;
        state.reader.paused_us += PAUSE;
        state.follower.paused_us += PAUSE;
        Step(state, depth + 1);
    }

    void StoreReads(const State &before, int depth, Instance State::*which)
    {
        State state = before;
        Instance &instance = state.*which;
        if (!instance.reading) {
            instance.reading = true;
            instance.begun_us = state.now_us;
            Next(state, depth);
            return;
        }
        instance.reading = false;
        const State after = state;
        for (const bool ok : {true, false}) {
            state = after;
            Record(state.*which, {ok, instance.begun_us, state.now_us, 0, 0},
                   instance.begun_us);
            Next(state, depth);
        }
    }

    void Relays(State state, int depth)
    {
        Call &call = state.call;
        switch (call.state) {
        case Call::IDLE:
            call.state = Call::SENT;
            call.sent_us = state.now_us;
            break;
        case Call::SENT:
            call.state = Call::HELD;
            call.arrived_us = state.now_us;
            break;
        case Call::HELD:
            if (!state.reader.freshness.known) {
                return;
            }
            call.state = Call::ANSWERED;
            call.held_us = state.now_us - call.arrived_us;
            call.age_us =
                freshness_age_us(&state.reader.freshness, state.now_us);
            call.knows_us = state.reader.knows_us;
            break;
        case Call::ANSWERED:
            call.state = Call::IDLE;
            Record(
                state.follower,
                {true, call.sent_us, state.now_us, call.held_us, call.age_us},
                call.knows_us);
            break;
        }
        Next(state, depth);
    }

    Mutation mutation_;
};

/* Guards against a revoked key that runs for longer than the bound. */
TEST(FreshnessModel, NoOrderOfEventsBreaksTheBound)
{
    Model model(NONE);
    model.Explore();
    EXPECT_EQ(0, model.violations);
    EXPECT_GT(model.states, 10000);
}

/* Shows that the model sees the faults that it looks for. */
TEST(FreshnessModel, NoticesFaults)
{
    for (const Mutation mutation :
         {BEGIN_IS_END, AGE_IGNORED, PAUSE_IGNORED, FAILURE_COUNTS}) {
        Model model(mutation);
        model.Explore();
        EXPECT_GT(model.violations, 0) << mutation;
    }
}

} // namespace
