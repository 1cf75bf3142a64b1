#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "cluster.h"

namespace {

/** Compares text with the golden file, or writes the file. */
void
expect_golden(const std::string &name, const std::string &text)
{
    std::string path = std::string(SOURCE_DIR) +
                       "/packages/membership/test/golden/" + name + ".txt";
    if (getenv("CHESTNUTGAP_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
    }
    std::ifstream file(path);
    std::stringstream golden;
    golden << file.rdbuf();
    EXPECT_EQ(golden.str(), text) << path;
}

/** A cluster of three zones with two members each. */
class Session : public ::testing::Test {
  protected:
    void SetUp() override
    {
        invariant_reset();
        for (const char *name : {"llanidloes", "rhayader", "machynlleth"}) {
            cluster.add(std::string(name) + "-1", name);
            cluster.add(std::string(name) + "-2", name);
        }
    }

    void TearDown() override
    {
        EXPECT_EQ(0, invariant_violations(INVARIANT_ONE_OWNER));
    }

    void join()
    {
        cluster.run_ms(8000);
        joined_text = cluster.text;
        joined_us = runtime_now_us(cluster.runtime);
        cluster.text.clear();
        for (auto &node : cluster.nodes) {
            ASSERT_TRUE(membertask_is_active(node->task)) << node->name;
            EXPECT_EQ(3u, membertask_self(node->task)->guardians.count);
            EXPECT_EQ(0u, membertask_self(node->task)->outgoing.count);
        }
    }

    void golden(const char *name)
    {
        expect_golden(name, cluster.text + "audit trail:\n" +
                                cluster.audit(joined_us));
    }

    int64_t total(const char *counter)
    {
        int64_t sum = 0;
        for (auto &node : cluster.nodes) {
            sum += node->task == nullptr
                       ? 0
                       : cluster.counter(node->number, counter);
        }
        return sum;
    }

    Cluster cluster;
    std::string joined_text;
    int64_t joined_us = 0;
};

TEST_F(Session, JoinEndsWithoutLapsesOrFurtherWrites)
{
    join();
    int64_t writes = total("member_store_writes");
    cluster.run_ms(20000);
    EXPECT_EQ(writes, total("member_store_writes"));
    EXPECT_EQ(0, total("member_lease_lapses"));
    EXPECT_EQ(0, total("member_fence_attempts"));
    cluster.text = joined_text;
    joined_us = 0;
    golden("join");
}

TEST_F(Session, CrashedProcessIsFencedAfterRefusedConnection)
{
    join();
    cluster.log(0, "process killed");
    cluster.stop(0);
    int64_t start_us = runtime_now_us(cluster.runtime);
    while (cluster.state(0) != "fenced") {
        cluster.run_ms(1);
        ASSERT_LT(runtime_now_us(cluster.runtime), start_us + 1000000);
    }
    EXPECT_LT(runtime_now_us(cluster.runtime), start_us + 500000);
    cluster.log(0, "process started again");
    cluster.start(0);
    cluster.run_ms(6000);
    EXPECT_EQ("active", cluster.state(0));
    golden("crash");
}

TEST_F(Session, LostMachineIsFencedByCertificates)
{
    join();
    cluster.log(0, "machine lost");
    cluster.nodes[0]->machine_up = false;
    cluster.stop(0);
    cluster.run_ms(900);
    EXPECT_EQ("fenced", cluster.state(0));
    golden("machine_lost");
}

TEST_F(Session, PausedHolderIsFencedAndJoinsAgain)
{
    join();
    uint64_t incarnation = membertask_incarnation(cluster.nodes[2]->task);
    cluster.pause(2);
    cluster.run_ms(5000);
    EXPECT_EQ("fenced", cluster.state(2));
    cluster.resume(2);
    EXPECT_FALSE(membertask_is_active(cluster.nodes[2]->task));
    cluster.run_ms(5000);
    EXPECT_TRUE(membertask_is_active(cluster.nodes[2]->task));
    EXPECT_NE(incarnation, membertask_incarnation(cluster.nodes[2]->task));
    golden("pause");
}

TEST_F(Session, ShortPauseKeepsTheIncarnation)
{
    join();
    uint64_t incarnation = membertask_incarnation(cluster.nodes[2]->task);
    cluster.pause(2);
    cluster.run_ms(400);
    cluster.resume(2);
    cluster.run_ms(3000);
    EXPECT_TRUE(membertask_is_active(cluster.nodes[2]->task));
    EXPECT_EQ(incarnation, membertask_incarnation(cluster.nodes[2]->task));
}

TEST_F(Session, StoreOutageEndsNoLease)
{
    join();
    cluster.log(-1, "store down");
    cluster.set_store(8000, true, 0);
    cluster.run_ms(60000);
    EXPECT_EQ(0, total("member_lease_lapses"));
    cluster.pause(1);
    cluster.run_ms(3000);
    cluster.resume(1);
    cluster.run_ms(2000);
    EXPECT_TRUE(membertask_is_active(cluster.nodes[1]->task));
    cluster.log(-1, "store up");
    cluster.set_store(8000, false, 0);
    cluster.run_ms(10000);
    EXPECT_EQ(0, total("member_fences"));
    EXPECT_EQ(0, total("member_lease_losses"));
    golden("store_outage");
}

TEST_F(Session, LostStoreRepliesDoNotPreventFencing)
{
    join();
    cluster.log(-1, "the store's answers are lost");
    cluster.set_store(8000, false, 70);
    cluster.log(0, "machine lost");
    cluster.nodes[0]->machine_up = false;
    cluster.stop(0);
    cluster.run_ms(6000);
    cluster.set_store(8000, false, 0);
    cluster.run_ms(6000);
    EXPECT_EQ("fenced", cluster.state(0));
    EXPECT_EQ(0, total("member_lease_losses"));
    for (int i = 1; i < 6; i++) {
        EXPECT_TRUE(membertask_is_active(cluster.nodes[i]->task));
    }
    golden("lost_answer");
}

TEST_F(Session, LeavingMemberIsNotFenced)
{
    join();
    bool left = false;
    cluster.log(4, "told to leave");
    membertask_leave(cluster.nodes[4]->task);
    cluster.run_ms(2000);
    EXPECT_EQ("leaving", cluster.state(4));
    EXPECT_GT(membertask_lease_until_us(cluster.nodes[4]->task),
              runtime_now_us(cluster.runtime));
    membertask_finish(
        cluster.nodes[4]->task,
        [](void *ctx) { *static_cast<bool *>(ctx) = true; }, &left);
    EXPECT_LT(membertask_lease_until_us(cluster.nodes[4]->task),
              runtime_now_us(cluster.runtime));
    cluster.run_ms(100);
    EXPECT_TRUE(left);
    EXPECT_EQ("left", cluster.state(4));
    cluster.stop(4);
    cluster.run_ms(3000);
    EXPECT_EQ(0, total("member_fences"));
    golden("leave");
}

TEST_F(Session, RefusedConnectionAlertsGuardians)
{
    join();
    cluster.stop(0);
    const struct membertable *table = membertask_table(cluster.nodes[5]->task);
    struct member row;
    ASSERT_TRUE(membertable_row(table, "llanidloes-1", &row));
    int64_t start_us = runtime_now_us(cluster.runtime);
    membertask_on_refused_connection(cluster.nodes[5]->task, &row.http);
    while (cluster.state(0) != "fenced") {
        cluster.run_ms(1);
        ASSERT_LT(runtime_now_us(cluster.runtime), start_us + 1000000);
    }
    EXPECT_LT(runtime_now_us(cluster.runtime), start_us + 50000);
    EXPECT_EQ(5000000, row.longest_request_us);
    cluster.run_ms(1000);
    ASSERT_TRUE(membertable_row(table, "llanidloes-1", &row));
    EXPECT_EQ(5000000, row.serve_after_us);
}

TEST_F(Session, DeclaredLostIsFencedOnlyIfNoGuardianReportsItAlive)
{
    join();
    char names[1][STATE_NAME_MAX + 1] = {"rhayader-1"};
    auto declare = [&](int except) {
        for (auto &node : cluster.nodes) {
            if (node->task != nullptr && node->number != except) {
                membertask_apply_declared_lost(node->task, names, 1);
            }
        }
    };
    declare(2);
    cluster.run_ms(3000);
    EXPECT_EQ("active", cluster.state(2));
    /* The instance and all of its guardians are lost, so that only the
     * declaration proves the loss. */
    struct guardian_set guardians =
        membertask_self(cluster.nodes[2]->task)->guardians;
    for (auto &node : cluster.nodes) {
        struct member_ref ref = {};
        member_copy_name(ref.instance, node->name.c_str());
        ref.incarnation = membertask_incarnation(node->task);
        if (node->number == 2 || guardian_set_contains(&guardians, &ref)) {
            node->machine_up = false;
            cluster.stop(node->number);
        }
    }
    cluster.run_ms(15000);
    EXPECT_EQ("fenced", cluster.state(2));
}

TEST_F(Session, HolderCutOffFromGuardiansReestablishesThroughTheStore)
{
    join();
    const struct guardian_set guardians =
        membertask_self(cluster.nodes[0]->task)->guardians;
    for (auto &node : cluster.nodes) {
        for (size_t i = 0; i < 2; i++) {
            if (node->name == guardians.refs[i].instance) {
                cluster.cut.insert({0, node->number});
                cluster.cut.insert({node->number, 0});
            }
        }
    }
    cluster.run_ms(10000);
    EXPECT_EQ(0, total("member_lease_lapses"));
    EXPECT_EQ(0, total("member_lease_losses"));
    EXPECT_TRUE(membertask_is_active(cluster.nodes[0]->task));
    const struct member *row = membertask_self(cluster.nodes[0]->task);
    EXPECT_FALSE(guardian_set_contains(&row->guardians, &guardians.refs[0]));
    EXPECT_FALSE(guardian_set_contains(&row->guardians, &guardians.refs[1]));
    EXPECT_EQ(0u, row->outgoing.count);
    EXPECT_LT(cluster.counter(0, "member_store_writes"), 20);
}

TEST_F(Session, FenceIsReportedIfOnlyTheNextIncarnationIsSeen)
{
    join();
    uint64_t incarnation = membertask_incarnation(cluster.nodes[0]->task);
    cluster.stop(0);
    /* Node 5 reads no rows until the instance has joined again. */
    cluster.nodes[5]->task->poll.next_us =
        runtime_now_us(cluster.runtime) + 3 * US_PER_SECOND;
    cluster.run_ms(500);
    ASSERT_EQ("fenced", cluster.state(0));
    cluster.start(0);
    cluster.run_ms(4000);
    ASSERT_EQ("active", cluster.state(0));
    for (int i = 1; i < 6; i++) {
        EXPECT_EQ(1u, cluster.nodes[i]->fenced.count(incarnation)) << i;
        EXPECT_EQ(5000000, cluster.nodes[i]->fenced[incarnation]) << i;
    }
}

TEST_F(Session, SecondProcessOfAnInstanceWaitsUntilTheFirstIsFenced)
{
    join();
    uint64_t first = membertask_incarnation(cluster.nodes[0]->task);
    int second = cluster.add("llanidloes-1", "llanidloes");
    cluster.run_ms(5000);
    EXPECT_EQ(first, membertask_incarnation(cluster.nodes[0]->task));
    EXPECT_TRUE(membertask_is_active(cluster.nodes[0]->task));
    EXPECT_EQ(0u, membertask_incarnation(cluster.nodes[second]->task));
    cluster.nodes[0]->machine_up = false;
    cluster.stop(0);
    cluster.run_ms(5000);
    EXPECT_TRUE(membertask_is_active(cluster.nodes[second]->task));
}

} // namespace
