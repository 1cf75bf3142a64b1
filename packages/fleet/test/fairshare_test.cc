#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

extern "C" {
#include "base/random.h"
#include "base/runtime.h"
#include "fleet/fairshare.h"
#include "fleet/targetqueue.h"
}

namespace {

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_SECOND;

struct Fairshare : testing::Test {
    struct targetqueue *queue = targetqueue_create(1);
    std::deque<struct targetqueue_request> requests;
    ~Fairshare() override
    {
        targetqueue_destroy(queue);
    }

    struct targetqueue_request *
    Admit(uint64_t workspace, int64_t now_us = 0,
          int64_t start_deadline_us = 60 * S,
          enum targetqueue_verdict expected = TARGETQUEUE_WAIT)
    {
        requests.push_back({});
        struct targetqueue_request *request = &requests.back();
        request->workspace = workspace;
        request->priority = 1;
        request->objective_deadline_us =
            S + static_cast<int64_t>(requests.size());
        request->start_deadline_us = start_deadline_us;
        EXPECT_EQ(expected, targetqueue_admit(queue, request, now_us));
        return request;
    }

    struct targetqueue_request *RunNext(struct targetqueue_request *running,
                                        int64_t now_us = 0)
    {
        enum targetqueue_verdict verdict;
        targetqueue_release(queue, running, now_us, true);
        struct targetqueue_request *next =
            targetqueue_next(queue, now_us, &verdict);
        EXPECT_TRUE(next == nullptr || verdict == TARGETQUEUE_START);
        return next;
    }
};

/* Guards against one workspace that fills the queue before the others. */
TEST_F(Fairshare, OthersDontWaitBehindTheWholeQueueOfOne)
{
    struct targetqueue_request *running =
        Admit(1, 0, 60 * S, TARGETQUEUE_START);
    for (int i = 0; i < 20; i++) {
        Admit(1);
    }
    const struct targetqueue_request *small = Admit(2);
    int before = 0;
    while ((running = RunNext(running)) != small) {
        ASSERT_NE(nullptr, running);
        before++;
    }
    EXPECT_LE(before, 4);
}

/* Guards against refusals of those behind whom nobody would wait. */
TEST_F(Fairshare, AFullQueueRefusesTheWorkspaceThatFillsIt)
{
    const int64_t deadline_us = S; /* ten requests of 100 ms */
    Admit(1, 0, deadline_us, TARGETQUEUE_START);
    for (int i = 0; i < 10; i++) {
        Admit(1, 0, deadline_us);
    }
    Admit(1, 0, deadline_us, TARGETQUEUE_REFUSE);
    Admit(2, 0, deadline_us, TARGETQUEUE_WAIT);
    Admit(1, 0, deadline_us, TARGETQUEUE_REFUSE);
}

/* The order of one workspace, or of none, is by deadline. */
TEST_F(Fairshare, WithinAWorkspaceTheOrderIsByDeadline)
{
    for (const uint64_t workspace : {0U, 7U}) {
        struct targetqueue_request *running =
            Admit(workspace, 0, 60 * S, TARGETQUEUE_START);
        std::vector<struct targetqueue_request *> waiting;
        waiting.reserve(10);
        for (int i = 0; i < 10; i++) {
            waiting.push_back(Admit(workspace));
        }
        for (const struct targetqueue_request *expected : waiting) {
            running = RunNext(running);
            EXPECT_EQ(expected, running);
        }
        EXPECT_EQ(nullptr, RunNext(running));
    }
}

/* Guards against a workspace that was idle and then takes the target for as
 * long as it was. */
TEST_F(Fairshare, IdleTimeEarnsNoCredit)
{
    int64_t now_us = 0;
    for (int i = 0; i < 300; i++, now_us += S) {
        for (const uint64_t workspace : {1U, 2U}) {
            if (workspace == 1 || i < 100) {
                struct targetqueue_request *alone =
                    Admit(workspace, now_us, now_us + S, TARGETQUEUE_START);
                targetqueue_release(queue, alone, now_us + MS, true);
            }
        }
    }
    struct targetqueue_request *running =
        Admit(1, now_us, now_us + 60 * S, TARGETQUEUE_START);
    for (int i = 0; i < 10; i++) {
        Admit(1, now_us, now_us + 60 * S);
        Admit(2, now_us, now_us + 60 * S);
    }
    int first = 0;
    for (int i = 0; i < 8; i++) {
        running = RunNext(running, now_us);
        ASSERT_NE(nullptr, running);
        first += running->workspace == 1;
    }
    EXPECT_GE(first, 2);
    EXPECT_LE(first, 6);
}

/* Guards against state that grows with the number of workspaces, and against
 * a waiting request that loses its flow to others. */
TEST_F(Fairshare, StateIsBoundedAtAHundredThousandWorkspaces)
{
    EXPECT_LT(fairshare_memory(), 160U * 1024);
    struct targetqueue_request *running =
        Admit(1, 0, 3600 * S, TARGETQUEUE_START);
    size_t waiting = 0;
    for (uint64_t i = 2; i < 3000; i++, waiting++) {
        Admit(i, static_cast<int64_t>(i), 3600 * S);
    }
    for (size_t i = 0; i < waiting; i++) {
        running = RunNext(running, 5000);
        ASSERT_NE(nullptr, running);
    }
    EXPECT_EQ(nullptr, RunNext(running, 5000));
    for (uint64_t i = 0; i < 100000; i++) {
        running = Admit(i, static_cast<int64_t>(10000 + i), 3600 * S,
                        TARGETQUEUE_START);
        targetqueue_release(queue, running, static_cast<int64_t>(10000 + i),
                            true);
    }
}

/** Requests of workspaces to one target of four slots and 200 a second. */
class Load {
  public:
    struct Tally {
        int sent = 0;
        int served = 0;
    };
    std::map<int, Tally> tallies;

    /** The first three workspaces send much; the one numbered 20 begins to
     * send 40 times as much as usual. */
    void Run(bool fair)
    {
        constexpr int WORKSPACES = 40;
        constexpr int64_t TICK_US = 1 * MS;
        struct targetqueue *queue = targetqueue_create(4);
        std::deque<Request> requests;
        std::vector<Request *> running;
        random_seed(&random_, 3);
        for (int64_t now_us = 0; now_us < 180 * S; now_us += TICK_US) {
            const bool overload = now_us > 120 * S;
            for (int w = 0; w < WORKSPACES; w++) {
                double rate = w < 3 ? 20 : 3;
                rate *= overload ? 1.2 : 1;
                rate *= overload && w == 20 ? 40 : 1;
                if (random_chance(&random_, rate / 1000)) {
                    requests.push_back({});
                    Arrive(queue, requests.back(), w, fair, now_us, running);
                    tallies[w].sent += overload;
                }
            }
            for (Request *&request : running) {
                if (now_us >= request->done_us) {
                    targetqueue_release(queue, &request->item, now_us, true);
                    tallies[request->workspace].served += overload;
                    request = nullptr;
                }
            }
            running.erase(std::remove(running.begin(), running.end(), nullptr),
                          running.end());
            enum targetqueue_verdict verdict;
            struct targetqueue_request *next;
            while ((next = targetqueue_next(queue, now_us, &verdict)) !=
                   nullptr) {
                if (verdict == TARGETQUEUE_START) {
                    Begin(*reinterpret_cast<Request *>(next), now_us, running);
                }
            }
        }
        targetqueue_destroy(queue);
    }

    /** Lowest share of served requests of a workspace, as a part of that of
     * all. */
    double Worst()
    {
        double worst = 1e9;
        for (const auto &item : tallies) {
            worst = std::min(worst, Served(item.second) / Served(All()));
        }
        return worst;
    }

    Tally All()
    {
        Tally all;
        for (const auto &item : tallies) {
            all.sent += item.second.sent;
            all.served += item.second.served;
        }
        return all;
    }

    /** Share of served requests of all but the one that sends too much. */
    double Others()
    {
        Tally others = All();
        others.sent -= tallies[20].sent;
        others.served -= tallies[20].served;
        return Served(others);
    }

    static double Served(const Tally &tally)
    {
        return static_cast<double>(tally.served) / tally.sent;
    }

  private:
    struct Request {
        struct targetqueue_request item = {}; /* first: cast from it */
        int workspace = 0;
        int64_t done_us = 0;
    };

    void Begin(Request &request, int64_t now_us,
               std::vector<Request *> &running)
    {
        request.done_us =
            now_us + static_cast<int64_t>(random_exponential(&random_, 20000));
        running.push_back(&request);
    }

    void Arrive(struct targetqueue *queue, Request &request, int workspace,
                bool fair, int64_t now_us, std::vector<Request *> &running)
    {
        request.workspace = workspace;
        request.item.workspace =
            fair ? static_cast<uint64_t>(workspace + 1) : 0;
        request.item.priority = 1;
        request.item.expected_service_us = 20 * MS;
        request.item.objective_deadline_us = now_us + 400 * MS;
        request.item.start_deadline_us = now_us + 600 * MS;
        if (targetqueue_admit(queue, &request.item, now_us) ==
            TARGETQUEUE_START) {
            Begin(request, now_us, running);
        }
    }

    struct random_state random_ = {};
};

/* Guards against a workspace that starves the others under overload, and
 * against large workspaces that starve since they are large. */
TEST(FairshareLoad, NoWorkspaceIsServedLessThanAQuarterAsOftenAsAll)
{
    Load fair;
    Load unfair;
    fair.Run(true);
    unfair.Run(false);
    RecordProperty("worst", std::to_string(fair.Worst()));
    printf("share served: all %.3f, others %.3f, worst/all %.3f; "
           "without shares: all %.3f, others %.3f, worst/all %.3f\n",
           Load::Served(fair.All()), fair.Others(), fair.Worst(),
           Load::Served(unfair.All()), unfair.Others(), unfair.Worst());
    EXPECT_GT(fair.Worst(), 0.25);
    EXPECT_GT(fair.Others(), unfair.Others() * 1.2);
    EXPECT_GT(Load::Served(fair.All()), Load::Served(unfair.All()) * 0.97);
}

} // namespace
