#include <gtest/gtest.h>

#include "cluster.h"

extern "C" {
#define LOG_MODULE "test"
#include "base/log.h"
}

namespace {

constexpr uint64_t SEEDS = 60;
constexpr int MEMBERS = 7;
constexpr int FAULTY_STEPS = 30;

/** A cluster with random faults, checked every millisecond. */
class RandomSession {
  public:
    explicit RandomSession(uint64_t seed) : cluster(seed)
    {
        random_seed(&random, seed);
        for (int i = 0; i < MEMBERS; i++) {
            cluster.add("instance-" + std::to_string(i),
                        "zone-" + std::to_string(i % 3));
        }
    }

    /** @return false if a member held a lease without a live row. */
    bool run(int duration_ms)
    {
        for (int i = 0; i < duration_ms; i++) {
            cluster.run_ms(1);
            if (!check()) {
                return false;
            }
        }
        return true;
    }

    void start_fault()
    {
        int number = static_cast<int>(random_below(&random, MEMBERS));
        Node &node = *cluster.nodes[number];
        switch (random_below(&random, 8)) {
        case 0:
            if (node.task != nullptr && !node.paused) {
                cluster.pause(number);
            }
            break;
        case 1:
            cluster.log(number, "process killed");
            cluster.stop(number);
            break;
        case 2:
            cluster.log(number, "machine lost");
            node.machine_up = false;
            cluster.stop(number);
            break;
        case 3:
            cluster.cut.insert(
                {number, static_cast<int>(random_below(&random, MEMBERS))});
            break;
        case 4:
            for (int i = 0; i < MEMBERS; i++) {
                cluster.cut.insert({i, number});
            }
            break;
        case 5:
            cluster.set_store(8000, true, 0);
            break;
        case 6:
            cluster.set_store(8000, false, 50);
            break;
        default:
            cluster.set_store(20000, false, 0, 50, 3000000);
            break;
        }
    }

    /** Ends the faults of each process and of the network and store with this
     * probability. */
    void end_faults(unsigned percent)
    {
        for (auto &node : cluster.nodes) {
            if (random_below(&random, 100) >= percent) {
                continue;
            }
            if (node->task == nullptr) {
                cluster.log(node->number, "started");
                cluster.start(node->number);
            }
            else if (node->paused) {
                cluster.resume(node->number);
            }
        }
        if (random_below(&random, 100) < percent) {
            cluster.cut.clear();
            cluster.set_store(8000, false, 0);
        }
    }

    Cluster cluster;
    struct random_state random;

  private:
    bool check()
    {
        int64_t now_us = runtime_now_us(cluster.runtime);
        for (auto &node : cluster.nodes) {
            if (node->task != nullptr &&
                membertask_lease_until_us(node->task) > now_us &&
                !cluster.has_live_row(node->number)) {
                cluster.log(node->number, "holds a lease without a live row");
                return false;
            }
        }
        return true;
    }
};

TEST(RandomSession, LeaseIsHeldOnlyWithLiveRowAndRecovers)
{
    int64_t fences = 0;
    log_init(stderr, LOG_LEVEL_OFF);
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        RandomSession session(seed);
        ASSERT_TRUE(session.run(4000)) << seed;
        for (int step = 0; step < FAULTY_STEPS; step++) {
            session.start_fault();
            int gap_ms =
                static_cast<int>(random_range(&session.random, 1, 1500));
            ASSERT_TRUE(session.run(gap_ms))
                << "seed " << seed << "\n"
                << session.cluster.text << session.cluster.audit(0);
            session.end_faults(30);
        }
        session.end_faults(100);
        ASSERT_TRUE(session.run(20000)) << seed;
        for (auto &node : session.cluster.nodes) {
            ASSERT_TRUE(membertask_is_active(node->task))
                << "seed " << seed << " " << node->name << "\n"
                << session.cluster.text << session.cluster.audit(0);
            fences += session.cluster.counter(node->number, "member_fences");
        }
    }
    EXPECT_GT(fences, static_cast<int64_t>(SEEDS));
    EXPECT_EQ(0, invariant_violations(INVARIANT_ONE_OWNER));
    log_init(stderr, LOG_LEVEL_INFO);
}

} // namespace
